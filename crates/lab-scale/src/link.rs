//! A link between regions. It delays the bytes of every connection in order, and forwards nothing while it is cut. Many
//! chunks of bytes are in flight at the same time. The fault rig's relay forwards one chunk at a time, which would add
//! further delay to the chunks queued behind it.

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

const MAX_CHUNK_BYTES: usize = 16 << 10;
/// The maximum number of chunks in flight in one direction; above it, reading stops.
const MAX_CHUNKS_IN_FLIGHT: usize = 1024;
/// The time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The one-way delay of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelay {
    /// The minimum delay.
    pub delay: Duration,
    /// The maximum addition, drawn for each chunk.
    pub jitter: Duration,
}

/// The thread that serves all links. It runs nothing else, and ends when this value is dropped.
pub struct LinkRuntime {
    /// The handle of the thread's runtime.
    pub handle: Handle,
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl LinkRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails if the system has no threads or file descriptors available.
    pub fn start() -> io::Result<LinkRuntime> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        // The error of a dropped sender is the signal to end.
        let run_links = move || drop(runtime.block_on(stopped));
        std::thread::Builder::new().name("links".into()).spawn(run_links)?;
        Ok(LinkRuntime { handle, _stop: stop })
    }
}

/// An open link between regions.
pub struct Link {
    /// The address on which the link accepts connections.
    pub addr: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Link {
    /// Cuts or restores the link.
    pub fn cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

/// Opens a link to `target` on the runtime of `handle`.
///
/// # Errors
/// Fails if no loopback port is available.
pub fn open(handle: &Handle, target: SocketAddr, link_delay: LinkDelay, seed: u64) -> io::Result<Link> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    // All members of a region connect at once, and the standard library sets a backlog of only 128.
    socket2::SockRef::from(&listener).listen(4096)?;
    let addr = listener.local_addr()?;
    let (cut, is_cut) = watch::channel(false);
    handle.spawn(async move {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => return tracing::error!("link {addr} could not register its listener: {e}"),
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
                    tracing::warn!("link {addr} failed to accept a connection: {e}");
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
    // A connection made while the link is cut is accepted, but not served until the link is restored, as if its SYN
    // were retransmitted until then.
    if is_cut.wait_for(|cut| !cut).await.is_err() {
        return;
    }
    let Ok(Ok(server)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await else { return };
    // Without TCP_NODELAY the connection is only slower, so errors are ignored.
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
