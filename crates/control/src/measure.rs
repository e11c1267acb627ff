//! Measures the time from publishing a version until emulated proxies have received it, and the CPU time of
//! the service.

use aniseyoke_control::frame::{encode, ProxyMessage, HEADER_BYTES, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use aniseyoke_control::hosted::{ServiceThread, ServiceThreadError};
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use hdrhistogram::Histogram;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// The measurement fails if some proxies lack a version and no further proxy receives it within this time.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Frames shorter than this have no version, since all versions of the measurement are longer.
const MIN_VERSION_BYTES: usize = 200;
/// Number of file descriptors for other purposes than connections: standard streams, listeners, those of the
/// runtimes.
const OTHER_DESCRIPTORS: u64 = 64;
/// Number of proxies that connect without a pause. Connections that exceed the listener's queue would be
/// retried by the kernel only a second later.
const CONNECT_BURST: usize = 50;
const CONNECT_PAUSE: Duration = Duration::from_millis(5);
/// Time that is allowed for all proxies to connect.
const CONNECT_TIME: Duration = Duration::from_secs(3);
/// Time that is allowed for the service to read all acknowledgements of a version.
const ACK_TIME: Duration = Duration::from_millis(500);
const READ_BYTES: usize = 16 << 10;
/// Number of significant digits of measured times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Arguments of `measure`.
#[derive(clap::Args)]
pub struct Measure {
    /// Number of emulated proxies.
    #[arg(long, default_value_t = 5000)]
    proxies: usize,
    /// Number of versions that are published after the first one, each with one changed route.
    #[arg(long, default_value_t = 5)]
    versions: u64,
    /// Number of routes in each version.
    #[arg(long, default_value_t = 1000)]
    routes: u64,
}

/// Why a measurement fails.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The limit of file descriptors is too low.
    #[error(
        "{proxies} proxies need {need} descriptors (two for each connection, {OTHER_DESCRIPTORS} others), and this \
         process may have {limit}: {short} short; raise the limit (ulimit -n), or ask for at most {possible} proxies"
    )]
    Descriptors {
        /// Number of emulated proxies.
        proxies: usize,
        /// Number of descriptors that they need.
        need: u64,
        /// The limit.
        limit: u64,
        /// Number of descriptors by which the limit is too low.
        short: u64,
        /// Maximum number of proxies that the limit allows.
        possible: u64,
    },
    /// The limit of file descriptors can't be read or raised.
    #[error("the limit of descriptors: {0}")]
    Limit(#[from] nix::Error),
    /// The service can't be started.
    #[error("the service can't be started: {0}")]
    Start(#[from] std::io::Error),
    /// A version can't be published.
    #[error(transparent)]
    Publish(#[from] ServiceThreadError),
    /// A version was not received within the time limit. Holds the number of proxies that have it.
    #[error("only {0} proxies have the version after {TIMEOUT:?}")]
    Timeout(usize),
    /// The histogram can't be created.
    #[error("the histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Reports that a proxy has received a version.
struct Received {
    at: Instant,
    bytes: usize,
}

fn body(routes: u64, changed: u64) -> Value {
    let route = |n: u64| {
        let is_changed = n == changed;
        let pool = if is_changed { "b" } else { "a" };
        let text = "x".repeat(if is_changed { 200 } else { 0 });
        json!({ "class": format!("class-of-requests-{n}"), "pool": pool, "text": text })
    };
    let pools = json!({ "a": { "kinds": ["k"] }, "b": { "kinds": ["l"] } });
    json!({ "pools": pools, "routes": (0..routes).map(route).collect::<Vec<_>>() })
}

/// Emulates a proxy. It acknowledges each version as soon as its last byte has arrived, and does not parse
/// it, because otherwise the measurement would mostly show the time of a thousand parsers on one machine.
async fn emulate(n: usize, addr: SocketAddr, received: Sender<Received>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    let frame = |message: ProxyMessage| encode(&message).map_err(std::io::Error::other);
    let hello = ProxyMessage::Hello {
        protocol: PROTOCOL_VERSION,
        instance: format!("proxy-{n}"),
        boot: 1,
        labels: BTreeMap::new(),
        max_frame_bytes: MAX_FRAME_BYTES,
        running: None,
        purges: None,
    };
    stream.write_all(&frame(hello)?).await?;
    let (mut number, mut chunk) = (0, vec![0; READ_BYTES]);
    loop {
        let mut header = [0; HEADER_BYTES];
        stream.read_exact(&mut header).await?;
        let bytes = u32::from_be_bytes(header) as usize;
        let mut remaining = bytes;
        while remaining > 0 {
            let size = remaining.min(chunk.len());
            remaining -= stream.read_exact(&mut chunk[..size]).await?;
        }
        if bytes < MIN_VERSION_BYTES {
            stream.write_all(&frame(ProxyMessage::Heartbeat)?).await?;
            continue;
        }
        number += 1;
        // Sending fails only when the measurement is over.
        let _ = received.send(Received { at: Instant::now(), bytes });
        stream.write_all(&frame(ProxyMessage::Ack { stamp: Stamp { epoch: 1, number } })?).await?;
    }
}

/// Connects all proxies and runs them forever.
async fn emulate_all(proxies: usize, addr: SocketAddr, received: Sender<Received>) {
    for n in 0..proxies {
        let received = received.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = emulate(n, addr, received).await {
                eprintln!("proxy-{n}: {error}");
            }
        });
        if n % CONNECT_BURST == CONNECT_BURST - 1 {
            tokio::time::sleep(CONNECT_PAUSE).await;
        }
    }
    std::future::pending::<()>().await;
}

/// Raises the limit of file descriptors as far as possible, and checks that it suffices. Each connection
/// needs two descriptors, since both of its ends are in this process.
fn raise_descriptor_limit(proxies: usize) -> Result<(), MeasureError> {
    let (_, limit) = getrlimit(Resource::RLIMIT_NOFILE)?;
    setrlimit(Resource::RLIMIT_NOFILE, limit, limit)?;
    let need = 2 * proxies as u64 + OTHER_DESCRIPTORS;
    match need.checked_sub(limit) {
        None | Some(0) => Ok(()),
        Some(short) => {
            let possible = limit.saturating_sub(OTHER_DESCRIPTORS) / 2;
            Err(MeasureError::Descriptors { proxies, need, limit, short, possible })
        }
    }
}

/// Runs the measurement and prints its results.
pub fn run(m: &Measure) -> Result<(), MeasureError> {
    raise_descriptor_limit(m.proxies)?;
    let service = ServiceThread::start(1)?;
    let addr = service.addr;
    let (sender, received) = channel();
    let proxies = m.proxies;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || LocalSet::new().block_on(&runtime, emulate_all(proxies, addr, sender)));
    std::thread::sleep(CONNECT_TIME);
    let bytes = body(m.routes, 0).to_string().len();
    println!("{} proxies, {} routes, {bytes} bytes whole", m.proxies, m.routes);
    for n in 0..=m.versions {
        println!("{}", measure_version(m, n, &service, &received)?);
    }
    Ok(())
}

/// Publishes one version and waits until all proxies have received it. Returns a line with the result.
fn measure_version(
    m: &Measure,
    n: u64,
    service: &ServiceThread,
    received: &Receiver<Received>,
) -> Result<String, MeasureError> {
    let before = service.cpu_time();
    let (_, published) = service.publish(body(m.routes, n), Plan::default())?;
    let mut times = Histogram::<u64>::new_with_max(TIMEOUT.as_micros() as u64, SIGNIFICANT_DIGITS)?;
    let mut total = 0;
    for count in 0..m.proxies {
        let Received { at, bytes } =
            received.recv_timeout(TIMEOUT).map_err(|_| MeasureError::Timeout(count))?;
        times.saturating_record(at.saturating_duration_since(published).as_micros() as u64);
        total += bytes;
    }
    std::thread::sleep(ACK_TIME);
    let cpu = service.cpu_time().saturating_sub(before).as_secs_f64() * 1000.0;
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    let (p50, p99, all) = (ms(0.5), ms(0.99), times.max() as f64 / 1000.0);
    let label = if n == 0 { "whole".to_owned() } else { format!("delta {n}") };
    Ok(format!(
        "{label}: taken after {p50:.1} ms (p50), {p99:.1} ms (p99), {all:.1} ms (all); {total} bytes, CPU of the \
         service {cpu:.0} ms"
    ))
}
