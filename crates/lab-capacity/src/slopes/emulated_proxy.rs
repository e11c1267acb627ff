//! An emulated proxy for the control service: it acknowledges each version after the last byte without parsing it,
//! since the cost of thousands of parsers on one machine would dominate the measurement.

use aniseyoke_control::frame::{encode, ProxyMessage, HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use aniseyoke_control::Stamp;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The interval of reports, that of a real proxy with clients.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The stamp of a frame with a version is contained in this many first bytes.
const STAMP_PREFIX_BYTES: usize = 160;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Capacity of the queue of versions that are received but not yet acknowledged.
const MAX_UNACKNOWLEDGED: usize = 16;

/// A received version with the time at which it is acknowledged.
type Received = (tokio::time::Instant, Stamp);

/// An emulated proxy with one connection to the control service.
pub struct EmulatedProxy {
    /// The number in the proxy's instance name.
    pub index: usize,
    /// The address of the control service.
    pub service: SocketAddr,
    /// The delay from a version's last byte to its acknowledgement.
    pub reply_delay: Duration,
    /// Receives the number of each version with the time of its last byte.
    pub received_version: Sender<(u64, Instant)>,
    /// Notified once the Hello message is sent.
    pub connected: Sender<()>,
    /// Counts the bytes that the service sends.
    pub bytes: Arc<AtomicU64>,
}

fn encoded(frame: &ProxyMessage) -> io::Result<Vec<u8>> {
    encode(frame).map_err(|e| io::Error::other(e.to_string()))
}

impl EmulatedProxy {
    /// Runs until the connection closes.
    pub async fn run(&self) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.service).await?;
        stream.set_nodelay(true)?;
        let hello = ProxyMessage::Hello {
            protocol: PROTOCOL_VERSION,
            instance: format!("proxy-{}", self.index),
            boot: 1,
            labels: BTreeMap::new(),
            max_frame_bytes: MAX_FRAME_BYTES,
            running: None,
            purges: None,
        };
        stream.write_all(&encoded(&hello)?).await?;
        // The receiver is dropped if opening the fleet has timed out.
        let _ = self.connected.send(());
        let (read_half, write_half) = stream.into_split();
        let (sender, receiver) = mpsc::channel(MAX_UNACKNOWLEDGED);
        tokio::select! {
            done = self.read(read_half, sender) => done,
            done = write(write_half, receiver) => done,
        }
    }

    /// Reads frames, and forwards the stamp of each frame with a version.
    async fn read(&self, mut stream: OwnedReadHalf, received: mpsc::Sender<Received>) -> io::Result<()> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let mut head = [0; HEADER_BYTES];
            stream.read_exact(&mut head).await?;
            let length = u32::from_be_bytes(head) as usize;
            self.bytes.fetch_add((HEADER_BYTES + length) as u64, Ordering::Relaxed);
            let (mut remaining, mut stamp) = (length, None);
            while remaining > 0 {
                let wanted = remaining.min(buffer.len());
                let got = stream.read_exact(&mut buffer[..wanted]).await?;
                if remaining == length {
                    stamp = version_stamp(&buffer[..got.min(STAMP_PREFIX_BYTES)]);
                }
                remaining -= got;
            }
            if let Some(stamp) = stamp {
                // The fleet is dropped only after the measurement.
                let _ = self.received_version.send((stamp.number, Instant::now()));
                let due = tokio::time::Instant::now() + self.reply_delay;
                let _ = received.send((due, stamp)).await;
            }
        }
    }
}

/// Acknowledges versions when they are due, and sends reports at `REPORT_INTERVAL`.
async fn write(mut stream: OwnedWriteHalf, mut received: mpsc::Receiver<Received>) -> io::Result<()> {
    let mut running = None;
    let mut reports = tokio::time::interval(REPORT_INTERVAL);
    loop {
        let frame = tokio::select! {
            Some((due, stamp)) = received.recv() => {
                tokio::time::sleep_until(due).await;
                running = Some(stamp);
                ProxyMessage::Ack { stamp }
            }
            _ = reports.tick() => match running {
                Some(stamp) => ProxyMessage::Report { stamp, served: 1000, rejected: 1, failed: 0 },
                None => ProxyMessage::Heartbeat,
            },
        };
        stream.write_all(&encoded(&frame)?).await?;
    }
}

/// Extracts the stamp from the first bytes of a frame with a version; none for other frames.
fn version_stamp(first_bytes: &[u8]) -> Option<Stamp> {
    let text = String::from_utf8_lossy(first_bytes);
    if !text.starts_with("{\"type\":\"full\"") && !text.starts_with("{\"type\":\"delta\"") {
        return None;
    }
    let (_, stamp) = text.split_once("\"stamp\":{\"epoch\":")?;
    let (epoch, rest) = stamp.split_once(',')?;
    let (_, number) = rest.split_once("\"number\":")?;
    let digits = |text: &str| text.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok();
    Some(Stamp { epoch: digits(epoch)?, number: digits(number)? })
}
