//! The servers of cache nodes and the origin: connections, requests, and responses written as the model specifies.

use super::http::{HttpConnection, RequestHead};
use super::listener::MemberListener;
use super::state::{ConnectionEpochs, MemberHandle, SiteState};
use aniseyoke_lab_audit::Observation;
use aniseyoke_lab_world::{Attempt, AttemptId, Delivery, ProcessState, Reply};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

/// Pause between two fragments of a response.
const FRAGMENT_PAUSE: Duration = Duration::from_millis(1);
/// Number of body bytes that an oversize response sends before it stalls.
const MAX_OVERSIZE_BYTES: usize = 64 << 20;

/// Starts the task that accepts the connections of one member.
pub fn spawn_member(
    state: Rc<SiteState>,
    member: usize,
    listener: MemberListener,
    member_handle: Rc<MemberHandle>,
) {
    tokio::task::spawn_local(serve_member(state, member, listener, member_handle));
}

/// Accepts the connections of one member while the site is open.
async fn serve_member(
    state: Rc<SiteState>,
    member: usize,
    mut listener: MemberListener,
    member_handle: Rc<MemberHandle>,
) {
    let mut process = member_handle.process.subscribe();
    let now = *process.borrow_and_update();
    if let Err(e) = listener.set_process(now).await {
        tracing::error!("failed to change the listener of member {member} at {}: {e}", listener.addr);
    }
    loop {
        tokio::select! {
            biased;
            changed = process.changed() => {
                if changed.is_err() {
                    return;
                }
                let now = *process.borrow_and_update();
                if let Err(e) = listener.set_process(now).await {
                    tracing::error!("failed to change the listener of member {member} at {}: {e}", listener.addr);
                }
            }
            stream = listener.accept() => {
                tokio::task::spawn_local(connection(state.clone(), member, stream, member_handle.clone()));
            }
        }
    }
}

/// Serves one connection until its peer closes it or its member's process ends.
///
/// The epochs are read by the call itself and not when the future is first polled: the process may go down in between,
/// and the connections that it had accepted must then be reset.
fn connection(
    state: Rc<SiteState>,
    member: usize,
    stream: TcpStream,
    member_handle: Rc<MemberHandle>,
) -> impl Future<Output = ()> {
    let mut epochs = member_handle.epochs.subscribe();
    let epochs_at_open = *epochs.borrow_and_update();
    async move {
        let mut http = HttpConnection::new(stream);
        let attempt_id = Cell::new(None);
        let origin = state.model.borrow().is_origin(member);
        let accepted = state.connection_load.borrow_mut().opened(state.clock.now(), member, origin);
        let reset = tokio::select! {
            biased;
            () = wait_for_reset(&mut epochs, epochs_at_open) => true,
            ended = async {
                match accepted {
                    true => serve(&state, member, &mut http, &member_handle, epochs_at_open, &attempt_id).await,
                    false => reject_connection(&state, member, &mut http).await,
                }
            } => ended.is_err(),
        };
        if let Some(attempt_id) = attempt_id.take() {
            state.connection_load.borrow_mut().in_flight(member, origin, false);
            state.cancel(attempt_id);
        }
        state.connection_load.borrow_mut().closed(member);
        if reset {
            http.reset();
        }
    }
}

async fn wait_for_reset(epochs: &mut watch::Receiver<ConnectionEpochs>, epochs_at_open: ConnectionEpochs) {
    loop {
        if epochs.borrow_and_update().resets != epochs_at_open.resets || epochs.changed().await.is_err() {
            return;
        }
    }
}

/// Rejects the first request of a connection that exceeds its member's limits, and closes the connection.
async fn reject_connection(
    state: &Rc<SiteState>,
    member: usize,
    http: &mut HttpConnection,
) -> io::Result<()> {
    let Some(head) = http.read_request().await? else { return Ok(()) };
    let Some(request) = head.correlation_id.as_deref().and_then(request_id) else { return Ok(()) };
    let attempt = state.next_attempt_id();
    state.recorder.record(Observation::Reached { request, member, attempt });
    http.read_body(head.framing, |_| {}).await?;
    state.recorder.record(Observation::Arrived { request, attempt });
    let (status, digest, never_ran, sound) = (503, xxh3_64(&[]), true, true);
    state.recorder.record(Observation::Made { request, attempt, status, digest, never_ran, sound });
    let head = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nConnection: close\r\n";
    http.write(format!("{head}Content-Length: 0\r\n\r\n").as_bytes()).await
}

/// Converts a request at a member to an attempt of the model; class and key are in the path.
fn attempt_of(
    state: &SiteState,
    member: usize,
    attempt_id: AttemptId,
    request: u64,
    head: &RequestHead,
) -> Attempt {
    let path = head.path.split('?').next().unwrap_or("");
    let mut parts = path.trim_start_matches('/').split('/');
    let class = parts.next().unwrap_or("");
    let class = state.day.load.classes.iter().position(|c| c.name == class);
    let key = parts.next_back().unwrap_or("");
    let key = u64::from_str_radix(key, 16).unwrap_or_else(|_| xxh3_64(key.as_bytes()));
    let idempotency_key = head.idempotency_key.as_ref().map(|r| xxh3_64(r.as_bytes()));
    Attempt { attempt_id, member, request, class, key, write: head.method == "PUT", idempotency_key }
}

/// Parses a request id of sixteen hex digits.
pub fn request_id(id: &str) -> Option<u64> {
    (id.len() == 16).then(|| u64::from_str_radix(id, 16).ok()).flatten()
}

async fn serve(
    state: &Rc<SiteState>,
    member: usize,
    http: &mut HttpConnection,
    member_handle: &MemberHandle,
    epochs_at_open: ConnectionEpochs,
    open: &Cell<Option<AttemptId>>,
) -> io::Result<()> {
    while let Some(head) = http.read_request().await? {
        let Some(request) = head.correlation_id.as_deref().and_then(request_id) else {
            state.recorder.record(Observation::Stray { member });
            let (status, text) =
                if head.correlation_id.is_some() { ("400 Bad Request", "id") } else { ("404 Not Found", "") };
            http.write(
                format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{text}", text.len()).as_bytes(),
            )
            .await?;
            continue;
        };
        let attempt = state.next_attempt_id();
        let reached_at = state.clock.now().saturating_sub(http.first_byte_at.elapsed().as_nanos() as u64);
        state.recorder.record_at(reached_at, Observation::Reached { request, member, attempt });
        http.read_body(head.framing, |_| {}).await?;
        state.recorder.record(Observation::Arrived { request, attempt });
        let silenced = || member_handle.epochs.borrow().silences != epochs_at_open.silences;
        if silenced() || *member_handle.process.borrow() == ProcessState::Silent {
            // A silent machine may have executed the request, but never responds.
            http.closed().await;
            return Ok(());
        }
        let parsed = attempt_of(state, member, attempt, request, &head);
        let origin = state.model.borrow().is_origin(member);
        if origin {
            state.origin_requests.set(state.origin_requests.get() + 1);
        }
        state.connection_load.borrow_mut().in_flight(member, origin, true);
        open.set(Some(attempt));
        let answered = state.arrive(parsed);
        let answered = tokio::select! {
            biased;
            answered = answered => answered.ok(),
            () = http.closed() => return Ok(()),
        };
        if open.take().is_some() {
            state.connection_load.borrow_mut().in_flight(member, origin, false);
        }
        let Some((reply, delivery)) = answered.filter(|_| !silenced()) else {
            http.closed().await;
            return Ok(());
        };
        respond(state, &parsed, reply, delivery, http).await?;
    }
    Ok(())
}

/// The value that a node returns for a request; each response is unique.
fn value(state: &SiteState, attempt: &Attempt, version: u32) -> Vec<u8> {
    let length = state.key_space.value_length(attempt.key);
    let Attempt { attempt_id, request, key, .. } = *attempt;
    let line = format!(
        "{} {request:016x} {key:016x} v{version} #{attempt_id}\n",
        state.model.borrow().name(attempt.member).0
    );
    let mut value = Vec::with_capacity(length + line.len());
    while value.len() < length {
        value.extend_from_slice(line.as_bytes());
    }
    value.truncate(length.max(line.len()));
    value
}

async fn respond(
    state: &SiteState,
    attempt: &Attempt,
    reply: Reply,
    delivery: Delivery,
    http: &mut HttpConnection,
) -> io::Result<()> {
    let count = |counter: &Cell<u64>| counter.set(counter.get() + 1);
    let (status, reason, extra, body) = match reply {
        Reply::Served { hit, version } => {
            if hit {
                count(&state.hits);
            }
            (200, "OK", "", value(state, attempt, version))
        }
        Reply::Miss => {
            count(&state.misses);
            (404, "Not Found", "", Vec::new())
        }
        Reply::Error => (500, "Internal Server Error", "", Vec::new()),
        Reply::Rejected => {
            state.connection_load.borrow_mut().rejected(state.model.borrow().is_origin(attempt.member));
            (503, "Service Unavailable", "X-Unprocessed: 1\r\n", Vec::new())
        }
    };
    let sound = matches!(delivery, Delivery::Unmodified | Delivery::Fragmented(_));
    let (request, attempt) = (attempt.request, attempt.attempt_id);
    let never_ran = matches!(reply, Reply::Miss | Reply::Rejected);
    state.recorder.record(Observation::Made {
        request,
        attempt,
        status,
        digest: xxh3_64(&body),
        never_ran,
        sound,
    });
    let head = format!("HTTP/1.1 {status} {reason}\r\n{extra}");
    write_response(http, &head, &body, delivery, attempt).await
}

/// Writes a response with the delivery that the model specifies; `head` lacks `Content-Length` and the empty line.
async fn write_response(
    http: &mut HttpConnection,
    head: &str,
    body: &[u8],
    delivery: Delivery,
    attempt: AttemptId,
) -> io::Result<()> {
    let head = |length: u64| format!("{head}Content-Length: {length}\r\n\r\n");
    let complete_response = || [head(body.len() as u64).as_bytes(), body].concat();
    match delivery {
        Delivery::Unmodified => http.write(&complete_response()).await,
        Delivery::Fragmented(size) => {
            for fragment in complete_response().chunks(size) {
                http.write(fragment).await?;
                tokio::time::sleep(FRAGMENT_PAUSE).await;
            }
            Ok(())
        }
        Delivery::Truncated => {
            http.write(head(body.len() as u64).as_bytes()).await?;
            http.write(&body[..body.len() / 2]).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Delivery::Malformed => {
            let malformed_response: &[u8] = match attempt % 3 {
                0 => b"\x00\xff\xfe noise that is no answer\r\n\r\n",
                1 => b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nnothing",
                _ => {
                    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
                }
            };
            http.write(malformed_response).await?;
            http.closed().await;
            Ok(())
        }
        Delivery::Stuck => {
            let head = head(body.len() as u64);
            http.write(&head.as_bytes()[..head.len() / 2]).await?;
            http.closed().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        }
        Delivery::Oversize => {
            http.write(head(3 << 30).as_bytes()).await?;
            let mut sent = 0;
            while sent < MAX_OVERSIZE_BYTES {
                http.write(body).await?;
                sent += body.len();
            }
            http.closed().await;
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
