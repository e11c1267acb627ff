//! How long it takes from publishing to in force, at emulated proxies, and what it costs the service.

use aniseyoke_control::frame::{encode, FromProxy, FRAME_MOST, HEAD, PROTOCOL};
use aniseyoke_control::hosted::Hosted;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::Stamp;
use hdrhistogram::Histogram;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// All proxies have a version within this time, or the measurement fails.
const WITHIN: Duration = Duration::from_secs(120);

#[derive(clap::Args)]
pub struct Measure {
    /// Emulated proxies.
    #[arg(long, default_value_t = 5000)]
    proxies: usize,
    /// Versions that are published after the first, each with one route changed.
    #[arg(long, default_value_t = 5)]
    versions: u64,
    /// Routes in each version.
    #[arg(long, default_value_t = 1000)]
    routes: u64,
}

fn body(routes: u64, changed: u64) -> Value {
    let route = |n: u64| json!({ "class": format!("class-of-requests-{n}"), "pool": if n == changed { "b" } else { "a" }, "text": "x".repeat(if n == changed { 200 } else { 0 }) });
    json!({ "pools": { "a": { "kinds": ["k"] }, "b": { "kinds": ["l"] } }, "routes": (0..routes).map(route).collect::<Vec<_>>() })
}

/// Frames shorter than this carry no version here, in bytes.
const SHORT: usize = 200;

/// A proxy as the service sees it: it takes each version as soon as its last byte is there, tells when and how long it
/// was, and reads none of it, since a thousand readers on one machine would be measured instead.
async fn emulate(n: usize, addr: SocketAddr, took: Sender<(Instant, usize)>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    let send = |frame: FromProxy| encode(&frame).map_err(|e| std::io::Error::other(e.to_string()));
    let hello = FromProxy::Hello {
        protocol: PROTOCOL,
        instance: format!("proxy-{n}"),
        boot: 1,
        labels: BTreeMap::new(),
        frame_most: FRAME_MOST,
        running: None,
        purges: None,
    };
    stream.write_all(&send(hello)?).await?;
    let (mut number, mut part) = (0, vec![0; 16 << 10]);
    loop {
        let mut head = [0; HEAD];
        stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes(head) as usize;
        let mut left = length;
        while left > 0 {
            let most = left.min(part.len());
            left -= stream.read_exact(&mut part[..most]).await?;
        }
        if length < SHORT {
            stream.write_all(&send(FromProxy::Alive)?).await?;
            continue;
        }
        number += 1;
        // The receiver is gone only when the measurement is over.
        let _ = took.send((Instant::now(), length));
        stream.write_all(&send(FromProxy::Taken { stamp: Stamp { epoch: 1, number } })?).await?;
    }
}

/// Descriptors of a measurement beside its connections: standard ones, listeners, those of the runtimes.
const OWN: u64 = 64;

/// Raises the limit of descriptors as far as it may, and says what is short: both ends of each connection are here.
fn secure(proxies: usize) -> Result<(), String> {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|e| e.to_string())?;
    setrlimit(Resource::RLIMIT_NOFILE, hard, hard).map_err(|e| e.to_string())?;
    let need = 2 * proxies as u64 + OWN;
    match need.checked_sub(hard) {
        None | Some(0) => Ok(()),
        Some(short) => Err(format!(
            "{proxies} proxies need {need} descriptors (two for each connection, {OWN} others), and this process may \
             have {hard}: {short} short; raise the limit (ulimit -n), or ask for at most {} proxies",
            hard.saturating_sub(OWN) / 2
        )),
    }
}

pub fn run(m: &Measure) -> Result<(), String> {
    secure(m.proxies)?;
    let service = Hosted::start(1).map_err(|e| e.to_string())?;
    let addr = service.addr;
    let (applied, times) = channel();
    let proxies = m.proxies;
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            for n in 0..proxies {
                let applied = applied.clone();
                tokio::task::spawn_local(async move {
                    if let Err(e) = emulate(n, addr, applied).await {
                        eprintln!("proxy-{n}: {e}");
                    }
                });
                if n % 50 == 49 {
                    // Danger: more connections at once than the listener's queue takes come again a second later.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            std::future::pending::<()>().await;
        });
    });
    std::thread::sleep(Duration::from_secs(3));
    println!(
        "{} proxies, {} routes, {} bytes whole",
        m.proxies,
        m.routes,
        body(m.routes, 0).to_string().len()
    );
    for n in 0..=m.versions {
        let before = service.cpu();
        let (_, published) = service.publish(body(m.routes, n), Plan::default())?;
        let mut spans =
            Histogram::<u64>::new_with_max(WITHIN.as_micros() as u64, 3).map_err(|e| e.to_string())?;
        let mut bytes = 0;
        for have in 0..m.proxies {
            let (at, length) =
                times.recv_timeout(WITHIN).map_err(|_| format!("only {have} proxies have it"))?;
            spans.saturating_record(at.saturating_duration_since(published).as_micros() as u64);
            bytes += length;
        }
        // What they answered has to be read as well.
        std::thread::sleep(Duration::from_millis(500));
        let after = service.cpu();
        let ms = |q: f64| spans.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{}: taken after {:.1} ms (p50), {:.1} ms (p99), {:.1} ms (all); {bytes} bytes, CPU of the service {:.0} ms",
            if n == 0 { "whole".to_owned() } else { format!("delta {n}") },
            ms(0.5),
            ms(0.99),
            spans.max() as f64 / 1000.0,
            (after.saturating_sub(before)).as_secs_f64() * 1000.0
        );
    }
    Ok(())
}
