//! A relay that counts what goes through it: the bytes at one process's sockets to one service.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Read at a time, in bytes.
const READ_SIZE: usize = 16 << 10;

/// What went through so far, both ways together.
#[derive(Default)]
pub struct ByteCounter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl ByteCounter {
    /// Bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Messages: parts that were written at once. On a quiet connection these are the peers' own messages.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Relays to `target` on the current thread, for as long as its runtime lives; returns the address, and the counts.
///
/// # Errors
/// If the system lacks ports or descriptors.
pub async fn open(target: SocketAddr) -> io::Result<(SocketAddr, Arc<ByteCounter>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (addr, counted) = (listener.local_addr()?, Arc::<ByteCounter>::default());
    let counts = counted.clone();
    tokio::task::spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let counts = counts.clone();
            tokio::task::spawn_local(async move {
                let Ok(far) = TcpStream::connect(target).await else { return };
                // It only costs time.
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_reads, near_writes), (far_reads, far_writes)) =
                    (near.into_split(), far.into_split());
                // Whichever ends first ends both.
                tokio::select! {
                    () = pass(near_reads, far_writes, &counts) => {}
                    () = pass(far_reads, near_writes, &counts) => {}
                }
            });
        }
    });
    Ok((addr, counted))
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, counted: &ByteCounter) {
    let mut part = vec![0; READ_SIZE];
    while let Ok(n) = from.read(&mut part).await {
        if n == 0 || to.write_all(&part[..n]).await.is_err() {
            return;
        }
        counted.add(n);
    }
}
