//! A link between regions: every connection over it is delayed, order kept, and goes silent while the link is cut.
//! Many chunks of bytes are in flight at the same time; the fault rig's relay carries one at a time, which would delay those
//! behind it further.

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout, Instant};

/// The longest chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Chunks of one direction in flight at once at most; past that the sender waits.
const MAX_CHUNKS_IN_FLIGHT: usize = 1024;
/// The far end is reached within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay of a link, one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelay {
    /// The least delay.
    pub delay: Duration,
    /// Up to this much more, for each chunk.
    pub jitter: Duration,
}

/// The thread that carries bytes over all links, apart from everything else; it ends when this is dropped.
pub struct LinkRuntime {
    /// Where links are opened.
    pub handle: Handle,
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl LinkRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the system lacks threads or descriptors.
    pub fn start() -> io::Result<LinkRuntime> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        // It ends when the sender is gone, which is no error here.
        let run_links = move || drop(runtime.block_on(stopped));
        std::thread::Builder::new().name("links".into()).spawn(run_links)?;
        Ok(LinkRuntime { handle, _stop: stop })
    }
}

/// An open link.
pub struct Link {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Cuts it, or heals it.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

/// Opens a link to `target` on `handle`'s runtime.
///
/// # Errors
/// If no port on loopback could be had.
pub fn open(handle: &Handle, target: SocketAddr, link_delay: LinkDelay, seed: u64) -> io::Result<Link> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    // A whole region connects at once; the standard library asks for room for 128.
    socket2::SockRef::from(&listener).listen(4096)?;
    let addr = listener.local_addr()?;
    let (cut, is_cut) = watch::channel(false);
    handle.spawn(async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return tracing::error!("link {addr}: {e}"),
        };
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(forward_connection(
                        stream,
                        target,
                        link_delay,
                        rng.random(),
                        is_cut.clone(),
                    ));
                }
                Err(e) => {
                    tracing::warn!("link {addr}: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    });
    Ok(Link { addr, cut })
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    link_delay: LinkDelay,
    seed: u64,
    mut is_cut: watch::Receiver<bool>,
) {
    // A connection made while the link is cut is taken and not answered, as a SYN sent again would find it.
    if is_cut.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(Ok(server)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await else { return };
    // They only cost time.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let ((client_reader, client_writer), (server_reader, server_writer)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = forward_bytes(client_reader, server_writer, link_delay, seed, is_cut.clone()) => {}
        () = forward_bytes(server_reader, client_writer, link_delay, seed ^ 1, is_cut) => {}
    }
}

async fn forward_bytes(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    link_delay: LinkDelay,
    seed: u64,
    mut is_cut: watch::Receiver<bool>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async move {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut buffer = vec![0; MAX_CHUNK_BYTES];
        while let Ok(length @ 1..) = reader.read(&mut buffer).await {
            let due = Instant::now() + link_delay.delay + link_delay.jitter.mul_f64(rng.random::<f64>());
            if sender.send((due, buffer[..length].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, bytes)) = receiver.recv().await {
            sleep_until(due).await;
            if is_cut.wait_for(|cut| !cut).await.is_err() || writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}

#[cfg(test)]
mod tests;
