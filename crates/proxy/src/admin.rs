//! The operators' door: a listener of its own that takes one call a connection and answers it at once.

use crate::bind::{bind, BindError};
use aniseyoke_sockets::{accept_error, AcceptError, Uninterrupted};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// So many callers are heard at once. Danger: callers that never finish would fill the door for good; one more
/// pushes out the oldest of them.
const CALLERS: usize = 8;
/// The descriptors that the door may need: its listener, its callers, and one that has just come.
pub const DESCRIPTORS: usize = CALLERS + 2;
/// A call is at most this long, head and body, in bytes.
const CALL_MOST: usize = 8 << 10;
/// The memory that the door may need.
pub const MEMORY: usize = (CALLERS + 1) * 4 * CALL_MOST;
const HEADERS_MOST: usize = 64;
/// A call comes whole within this time.
const CALL_WITHIN: Duration = Duration::from_secs(10);
/// What a caller still sends after its answer is read for so long, or the answer might be lost with it.
const LINGER: Duration = Duration::from_millis(100);

/// What operators may ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Can this process serve?
    Ready,
    /// Nothing more to this cache node.
    Exclude(String),
    /// The cache node may be used again.
    Include(String),
    /// Drain.
    Evacuate,
    /// The drain is over.
    Rejoin,
    /// Which program and which configuration is this?
    Version,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Yes,
    /// The answer is this JSON.
    Told(String),
    /// The call can't be read, or is too long.
    Bad(&'static str),
    /// There is no such path, or no such cache node.
    Unknown(&'static str),
    /// The path takes this method alone.
    Only(&'static str),
    /// Not now.
    Unready(&'static str),
}

/// Listens at `addr` and has each call carried out by `act`.
pub async fn open<F, A>(addr: SocketAddr, act: F) -> Result<(), BindError>
where
    F: Fn(Call) -> A + 'static,
    A: Future<Output = Verdict> + 'static,
{
    let (listener, bound) = bind("PROXY_MGMT", addr).await?;
    tracing::info!("operators call at {bound}");
    tokio::task::spawn_local(take_all(listener, Rc::new(act)));
    Ok(())
}

/// A caller that is being heard.
struct Caller {
    number: u64,
    /// Its call is whole, so that an answer is owed.
    whole: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn take_all<F, A>(listener: TcpListener, act: Rc<F>)
where
    F: Fn(Call) -> A + 'static,
    A: Future<Output = Verdict> + 'static,
{
    let callers: Rc<RefCell<Vec<Caller>>> = Rc::default();
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) if accept_error(&e) == AcceptError::Passing => continue,
            Err(e) => {
                tracing::warn!("operators' door: accept: {e}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if callers.borrow().len() >= CALLERS {
            let mut heard = callers.borrow_mut();
            // Those whose call is whole are owed an answer, and have it within a moment.
            let oldest = heard.iter().position(|c| !c.whole.get()).unwrap_or(0);
            heard.remove(oldest).task.abort();
        }
        let whole = Rc::new(Cell::new(false));
        let (told, act, heard) = (whole.clone(), act.clone(), callers.clone());
        let task = tokio::task::spawn_local(async move {
            let _ = timeout(CALL_WITHIN, hear(stream, &told, &*act)).await;
            heard.borrow_mut().retain(|c| c.number != number);
        });
        callers.borrow_mut().push(Caller { number, whole, task: task.abort_handle() });
    }
}

async fn hear<F, A>(stream: TcpStream, whole: &Cell<bool>, act: &F) -> io::Result<()>
where
    F: Fn(Call) -> A,
    A: Future<Output = Verdict>,
{
    let mut stream = Uninterrupted(stream);
    let mut came = Vec::new();
    let read = loop {
        if let Some(read) = read(&came) {
            break read;
        }
        let mut part = [0; 1024];
        match stream.read(&mut part).await? {
            0 => break Err(Verdict::Bad("the call is not whole")),
            n => came.extend_from_slice(&part[..n]),
        }
        if came.starts_with(b"\r\n") {
            came.drain(..2);
        }
    };
    whole.set(true);
    let verdict = match read {
        Ok(call) => {
            let verdict = act(call.clone()).await;
            if !matches!(call, Call::Ready | Call::Version) {
                tracing::info!("operators' call {call:?}: {verdict:?}");
            }
            verdict
        }
        Err(verdict) => {
            tracing::info!("operators' call that is none: {verdict:?}");
            verdict
        }
    };
    stream.write_all(worded(verdict).as_bytes()).await?;
    stream.shutdown().await?;
    let _ = timeout(LINGER, async { while matches!(stream.read(&mut [0; 1024]).await, Ok(1..)) {} }).await;
    Ok(())
}

fn worded(verdict: Verdict) -> String {
    let mut told = None;
    let (status, more, why) = match verdict {
        Verdict::Yes => ("200 OK", String::new(), ""),
        Verdict::Told(json) => {
            told = Some(json);
            ("200 OK", String::new(), "")
        }
        Verdict::Bad(why) => ("400 Bad Request", String::new(), why),
        Verdict::Unknown(why) => ("404 Not Found", String::new(), why),
        Verdict::Only(method) => {
            ("405 Method Not Allowed", format!("Allow: {method}\r\n"), "the path takes another method")
        }
        Verdict::Unready(why) => ("503 Service Unavailable", String::new(), why),
    };
    let body = match why {
        "" => told.map_or("{\"ok\":true}\n".to_owned(), |json| json + "\n"),
        // The reasons are texts of this program, without anything that JSON would have to hide.
        why => format!("{{\"ok\":false,\"why\":\"{why}\"}}\n"),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{more}Content-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    )
}

/// What has come, once it is a whole call or can never be one.
fn read(came: &[u8]) -> Option<Result<Call, Verdict>> {
    if came.len() > CALL_MOST {
        return Some(Err(Verdict::Bad("the call is too long")));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(came) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(Err(Verdict::Bad("the head is malformed"))),
    };
    let target = head.path.unwrap_or("");
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let takes = match path {
        "/api/ready" | "/api/version" => "GET",
        "/api/exclude" | "/api/include" | "/api/evacuate" | "/api/rejoin" => "POST",
        _ => return Some(Err(Verdict::Unknown("no such path"))),
    };
    if head.method != Some(takes) {
        return Some(Err(Verdict::Only(takes)));
    }
    let body = match body(head.headers, &came[length..])? {
        Ok(body) => body,
        Err(verdict) => return Some(Err(verdict)),
    };
    Some(match path {
        "/api/ready" => Ok(Call::Ready),
        "/api/version" => Ok(Call::Version),
        "/api/evacuate" => Ok(Call::Evacuate),
        "/api/rejoin" => Ok(Call::Rejoin),
        "/api/exclude" => id(&body).map(Call::Exclude),
        _ => id(&body).map(Call::Include),
    })
}

/// The body, once it is whole or can never be.
fn body(headers: &[httparse::Header<'_>], came: &[u8]) -> Option<Result<Vec<u8>, Verdict>> {
    let named = |name: &'static str| {
        headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    };
    let mut lengths = named("content-length");
    let (told, coding) = (lengths.next(), named("transfer-encoding").next());
    if lengths.next().is_some() || told.is_some() && coding.is_some() {
        return Some(Err(Verdict::Bad("the length is told twice")));
    }
    if let Some(coding) = coding {
        return match coding.eq_ignore_ascii_case(b"chunked") {
            true => unchunked(came),
            false => Some(Err(Verdict::Bad("the body has an unknown coding"))),
        };
    }
    let digits = |v: &&[u8]| !v.is_empty() && v.iter().all(u8::is_ascii_digit);
    let length = match told {
        None => Some(0),
        Some(v) => Some(v).filter(digits).and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok()),
    };
    match length {
        None => Some(Err(Verdict::Bad("the length is no number"))),
        Some(length) if length > CALL_MOST => Some(Err(Verdict::Bad("the call is too long"))),
        Some(length) => came.get(..length).map(|body| Ok(body.to_vec())),
    }
}

/// The body that came in chunks, once its last one is there.
fn unchunked(mut came: &[u8]) -> Option<Result<Vec<u8>, Verdict>> {
    const BROKEN: Verdict = Verdict::Bad("the chunks are malformed");
    let mut body = Vec::new();
    loop {
        let (from, size) = match httparse::parse_chunk_size(came) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Err(BROKEN)),
        };
        if size == 0 {
            return Some(Ok(body));
        }
        let Some(to) = usize::try_from(size).ok().filter(|s| *s <= CALL_MOST).map(|s| from + s) else {
            return Some(Err(Verdict::Bad("the call is too long")));
        };
        body.extend_from_slice(came.get(from..to)?);
        if came.get(to..to + 2)? != b"\r\n" {
            return Some(Err(BROKEN));
        }
        came = &came[to + 2..];
    }
}

fn id(body: &[u8]) -> Result<String, Verdict> {
    #[derive(Deserialize)]
    struct Named {
        id: String,
    }
    let named: Result<Named, _> = serde_json::from_slice(body);
    named.map(|n| n.id).map_err(|_| Verdict::Bad("the body is not {id: text} in JSON"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(path: &str, body: &str) -> String {
        format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    #[test]
    fn whole_calls_are_read_however_they_are_framed() {
        let chunked = "POST /api/include HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                       5\r\n{\"id\"\r\n5;x=1\r\n:\"a\"}\r\n0\r\n\r\n";
        let cases = [
            ("GET /api/ready HTTP/1.1\r\n\r\n".to_owned(), Call::Ready),
            ("GET /api/version HTTP/1.1\r\n\r\n".to_owned(), Call::Version),
            ("GET /api/ready?now HTTP/1.0\r\nHost: a\r\n\r\n".to_owned(), Call::Ready),
            (post("/api/exclude", "{\"id\":\"a b\",\"more\":1}"), Call::Exclude("a b".into())),
            (chunked.to_owned(), Call::Include("a".into())),
            (post("/api/evacuate", ""), Call::Evacuate),
            ("POST /api/rejoin HTTP/1.1\r\n\r\n".to_owned(), Call::Rejoin),
        ];
        for (text, call) in cases {
            assert_eq!(read(text.as_bytes()), Some(Ok(call)), "{text}");
            let end = text.len() - if text.contains("chunked") { 4 } else { 1 };
            assert_eq!(read(&text.as_bytes()[..end]), None, "{text}");
        }
    }

    #[test]
    fn what_is_no_call_is_told_so() {
        let long = format!("GET /api/ready HTTP/1.1\r\nX: {}\r\n", "x".repeat(CALL_MOST));
        let head = "POST /api/exclude HTTP/1.1\r\n";
        let cases = [
            (long, "Bad"),
            ("noise\r\n\r\n".to_owned(), "Bad"),
            (post("/api/exclude", "{\"id\":7}"), "Bad"),
            (post("/api/exclude", "{\"id\":"), "Bad"),
            (post("/api/exclude", ""), "Bad"),
            (format!("{head}Content-Length: -1\r\n\r\n"), "Bad"),
            (format!("{head}Content-Length: +1\r\n\r\n1"), "Bad"),
            (format!("{head}Content-Length: 60000000\r\n\r\n"), "Bad"),
            (format!("{head}Content-Length: 1\r\nContent-Length: 1\r\n\r\n1"), "Bad"),
            (format!("{head}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), "Bad"),
            (format!("{head}Transfer-Encoding: gzip\r\n\r\n"), "Bad"),
            (format!("{head}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"), "Bad"),
            (format!("{head}Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n"), "Bad"),
            ("GET /api/nothing HTTP/1.1\r\n\r\n".to_owned(), "Unknown"),
            ("POST /api/ready HTTP/1.1\r\n\r\n".to_owned(), "Only"),
            ("GET /api/exclude HTTP/1.1\r\n\r\n".to_owned(), "Only"),
        ];
        for (text, kind) in cases {
            let found = read(text.as_bytes()).expect("decided").expect_err("no call");
            assert!(format!("{found:?}").starts_with(kind), "{found:?}: {text:.80}");
        }
    }
}
