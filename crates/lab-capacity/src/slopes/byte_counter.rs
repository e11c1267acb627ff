//! A TCP relay that counts the bytes and messages between one process and one service.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The size of the buffer of one read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The traffic relayed so far, the sum of both directions.
#[derive(Default)]
pub struct ByteCounter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl ByteCounter {
    /// The relayed bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// The relayed messages, one for each read. On a connection with little traffic these are the peers' messages.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Relays connections to `target` on the current thread until its runtime is dropped; returns the address and the
/// counter.
///
/// # Errors
/// If no port or descriptor is available.
pub async fn open(target: SocketAddr) -> io::Result<(SocketAddr, Arc<ByteCounter>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (addr, counter) = (listener.local_addr()?, Arc::<ByteCounter>::default());
    let shared_counter = counter.clone();
    tokio::task::spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            let shared_counter = shared_counter.clone();
            tokio::task::spawn_local(async move {
                let Ok(target_stream) = TcpStream::connect(target).await else { return };
                // A failure only adds latency.
                let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
                let ((client_read, client_write), (target_read, target_write)) =
                    (client.into_split(), target_stream.into_split());
                // The end of either direction closes both.
                tokio::select! {
                    () = forward(client_read, target_write, &shared_counter) => {}
                    () = forward(target_read, client_write, &shared_counter) => {}
                }
            });
        }
    });
    Ok((addr, counter))
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counter: &ByteCounter) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while let Ok(n) = from.read(&mut buffer).await {
        if n == 0 || to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
        counter.add(n);
    }
}
