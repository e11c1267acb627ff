//! Polls the endpoint list for a hollow proxy, in the proxy's own time slots as computed by `aniseyoke-pace`.

use super::member::{SharedState, Traffic};
use super::now;
use aniseyoke_lab_day::clock::SECOND;
use aniseyoke_pace::PollRules;
use aniseyoke_pace::{FleetPosition, PollSchedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const MAX_LIST_BYTES: usize = 4 << 20;
/// The maximum length of a response's header section, in bytes.
const MAX_HEAD_BYTES: usize = 4096;

/// Polls until its task is aborted. `place` is the proxy's number and the number of proxies.
pub async fn poll_list(
    n: usize,
    place: (u32, u32),
    poll_interval: u64,
    addr: SocketAddr,
    shared: Rc<SharedState>,
) {
    let rules = PollRules {
        interval: poll_interval,
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
        let call_timeout = Duration::from_nanos(polls.call_timeout(at, hold));
        match timeout(call_timeout, fetch_list(stream.take(), addr, version, hold / 1_000_000)).await {
            Ok(Ok(PollResponse { stream: open, version: polled, traffic })) => {
                (stream, version) = (Some(open), polled.or(version));
                polls.answered();
                let mut sum = shared.list_polls[n].get();
                sum.add(&traffic);
                shared.list_polls[n].set(sum);
            }
            Ok(Err(_)) => polls.failed(now()),
            Err(_) => polls.timed_out(now()),
        }
    }
}

/// The response to a poll.
struct PollResponse {
    stream: TcpStream,
    /// The version of the list, if the response contains one.
    version: Option<u64>,
    traffic: Traffic,
}

async fn fetch_list(
    open: Option<TcpStream>,
    addr: SocketAddr,
    version: Option<u64>,
    hold_ms: u64,
) -> io::Result<PollResponse> {
    let mut stream = match open {
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
    traffic.count(request.len(), true);
    let (mut received, mut buffer) = (Vec::new(), vec![0; 4096]);
    let invalid_data = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_owned());
    let (head, length) = loop {
        if let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length: usize =
                length.and_then(|l| l.trim().parse().ok()).ok_or(invalid_data("no content length"))?;
            if !head.starts_with("http/1.1 200") || length > MAX_LIST_BYTES {
                return Err(invalid_data("refused"));
            }
            break (end + 4, length);
        }
        if received.len() > MAX_HEAD_BYTES {
            return Err(invalid_data("response header too long"));
        }
        match stream.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => received.extend_from_slice(&buffer[..n]),
        }
    };
    while received.len() < head + length {
        match stream.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => received.extend_from_slice(&buffer[..n]),
        }
    }
    traffic.count(received.len(), false);
    let list: serde_json::Value = serde_json::from_slice(&received[head..head + length])?;
    Ok(PollResponse { stream, version: list["version"].as_u64(), traffic })
}
