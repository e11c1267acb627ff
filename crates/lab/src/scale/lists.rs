//! A hollow proxy's calls for the list of cache nodes, in its own slots as `aniseyoke-pace` gives them.

use super::member::{Shared, Traffic};
use super::now;
use crate::clock::SECOND;
use aniseyoke_pace::PollRules;
use aniseyoke_pace::{FleetPosition, PollSchedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A list is at most so long, in bytes.
const LIST_MOST: usize = 4 << 20;
const HEAD_MOST: usize = 4096;

/// Asks for good; `place`: which of how many proxies.
pub async fn ask(n: usize, place: (u32, u32), every: u64, addr: SocketAddr, shared: Rc<Shared>) {
    let rules = PollRules {
        interval: every,
        max_backoff: 10 * SECOND,
        answer_timeout: SECOND,
        max_answer_timeout: 8 * SECOND,
    }
    .bounded();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let mut polls = PollSchedule::new(rules, FleetPosition::new(place.0, place.1), unix, now());
    let (mut stream, mut version) = (None, None);
    loop {
        let at = now();
        sleep(Duration::from_nanos(polls.next_poll(at).saturating_sub(at))).await;
        let at = now();
        polls.poll_started(at);
        let hold = version.map_or(0, |_| polls.watch_duration(at));
        let within = Duration::from_nanos(polls.call_timeout(at, hold));
        match timeout(within, call(stream.take(), addr, version, hold / 1_000_000)).await {
            Ok(Ok((kept, told, traffic))) => {
                (stream, version) = (Some(kept), told.or(version));
                polls.answered();
                let mut sum = shared.lists[n].get();
                sum.add(&traffic);
                shared.lists[n].set(sum);
            }
            Ok(Err(_)) => polls.failed(now()),
            Err(_) => polls.timed_out(now()),
        }
    }
}

type Told = (TcpStream, Option<u64>, Traffic);

async fn call(
    kept: Option<TcpStream>,
    addr: SocketAddr,
    version: Option<u64>,
    hold_ms: u64,
) -> io::Result<Told> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect(addr).await?,
    };
    let path = match version {
        None => "/catalog/members".to_owned(),
        Some(version) => format!("/catalog/members?from={version}&hold_ms={hold_ms}"),
    };
    let request = format!("GET {path} HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    let mut traffic = Traffic::default();
    stream.write_all(request.as_bytes()).await?;
    traffic.frame(request.len(), true);
    let (mut came, mut part) = (Vec::new(), vec![0; 4096]);
    let broken = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_owned());
    let (head, length) = loop {
        if let Some(end) = came.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&came[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length: usize = length.and_then(|l| l.trim().parse().ok()).ok_or(broken("no length"))?;
            if !head.starts_with("http/1.1 200") || length > LIST_MOST {
                return Err(broken("refused"));
            }
            break (end + 4, length);
        }
        if came.len() > HEAD_MOST {
            return Err(broken("a long head"));
        }
        match stream.read(&mut part).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => came.extend_from_slice(&part[..n]),
        }
    };
    while came.len() < head + length {
        match stream.read(&mut part).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => came.extend_from_slice(&part[..n]),
        }
    }
    traffic.frame(came.len(), false);
    let list: serde_json::Value = serde_json::from_slice(&came[head..head + length])?;
    Ok((stream, list["version"].as_u64(), traffic))
}
