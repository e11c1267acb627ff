//! Parses a client's request for the engine, or says why it is rejected.

use super::headers::{strip_hop_by_hop, CORRELATION_ID};
use super::Server;
use crate::duration::nanos;
use crate::time_left::TIME_LEFT;
use crate::upload;
use crate::upstream::Job;
use aniseyoke_core::IncomingRequest;
use aniseyoke_decision::api::{self, Idempotency, Nanos};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use thiserror::Error;
use tokio::time::Instant;

const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// An id is at most this long, in bytes.
const MAX_ID_BYTES: usize = 128;
/// A client may not give a request more time than this, in seconds.
const MAX_TIME_LEFT: f64 = 3600.0;

/// Why a request is rejected before the engine sees it.
#[derive(Debug, Error)]
#[error("{status}: {reason}")]
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// The text of the response.
    pub reason: &'static str,
}

impl Rejection {
    fn new(status: StatusCode, reason: &'static str) -> Self {
        Rejection { status, reason }
    }

    fn bad_request(reason: &'static str) -> Self {
        Rejection::new(StatusCode::BAD_REQUEST, reason)
    }
}

impl From<upload::UploadError> for Rejection {
    fn from(error: upload::UploadError) -> Self {
        let (status, reason) = match error {
            upload::UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            upload::UploadError::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
            upload::UploadError::Broken => (StatusCode::BAD_REQUEST, "the body is broken"),
            upload::UploadError::NoRoom => (StatusCode::SERVICE_UNAVAILABLE, "no room for the body"),
        };
        Rejection { status, reason }
    }
}

/// What the head of a request says, once it has been checked.
struct CheckedHead {
    class: usize,
    write: bool,
    time_left: Nanos,
}

impl Server {
    /// Parses a request whose head was received at a time and reads its body, or says why it is rejected. Its time counts
    /// from its last byte.
    pub(super) async fn parse_request(
        &self,
        request: Request<Incoming>,
        mut received_at: Instant,
    ) -> Result<IncomingRequest<Job>, Rejection> {
        let (head, body) = request.into_parts();
        let checked = self.check_head(&head)?;
        let body = upload::read(body, checked.write, &self.budget).await?;
        if !body.is_empty() {
            received_at = Instant::now();
        }
        let request = self.engine_request(&head, &checked, received_at);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().map_err(|_| Rejection::bad_request("bad path"))?;
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        // The body is forwarded with the length that it has.
        headers.remove(header::CONTENT_LENGTH);
        let job = Job { method: head.method, uri, headers, body, waiter: None };
        Ok(IncomingRequest { request, job, received_at: received_at.into_std() })
    }

    /// Checks the head of a request, before its body is read.
    fn check_head(&self, head: &Parts) -> Result<CheckedHead, Rejection> {
        let name = path_segments(head).next().unwrap_or("");
        let class = self.names.classes.iter().position(|class| class == name);
        let class = class.ok_or(Rejection::new(StatusCode::NOT_FOUND, "no such class"))?;
        let write = match head.method {
            Method::GET | Method::HEAD => false,
            Method::PUT => true,
            _ => return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "only GET, HEAD and PUT")),
        };
        let settings = &self.settings.classes[class];
        let time_left = match single(head, &TIME_LEFT, "more than one X-Time-Left")? {
            None => settings.deadline,
            // A request may not have its state kept for longer than its class allows.
            Some(value) => {
                let time_left = parse_time_left(value).ok_or(Rejection::bad_request("bad X-Time-Left"))?;
                time_left.min(settings.deadline)
            }
        };
        let id = single(head, &CORRELATION_ID, "more than one X-Correlation-Id")?;
        if !id.is_some_and(well_formed) {
            return Err(Rejection::bad_request("no X-Correlation-Id, or a bad one"));
        }
        let idempotency_key = single(head, &IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
        if write
            && settings.idempotency == Idempotency::WithKey
            && idempotency_key.is_none_or(HeaderValue::is_empty)
        {
            return Err(Rejection::bad_request("no Idempotency-Key"));
        }
        Ok(CheckedHead { class, write, time_left })
    }

    /// The request in the engine's terms, once its body has come.
    fn engine_request(&self, head: &Parts, checked: &CheckedHead, received_at: Instant) -> api::Request {
        let account = head.headers.get(ACCOUNT).and_then(|account| account.to_str().ok());
        let tenant = account.and_then(|account| self.names.tenants.iter().position(|name| name == account));
        let key = path_segments(head).skip(1).last().filter(|key| !key.is_empty());
        let until_kill =
            self.kill_deadline.get().map(|deadline| nanos(deadline.saturating_duration_since(received_at)));
        api::Request {
            id: 0,
            class: checked.class as u32,
            tenant: tenant.map(|tenant| tenant as u32),
            pool: None,
            key: key.map(parse_key),
            remaining: until_kill.map_or(checked.time_left, |until| until.min(checked.time_left)),
            write: checked.write,
            retry: head.headers.get(REPEAT).is_some_and(|value| value == "1"),
        }
    }
}

/// The segments of the path: the class first, the key last.
fn path_segments(head: &Parts) -> impl Iterator<Item = &str> {
    let path = head.uri.path();
    path.strip_prefix('/').unwrap_or("").split('/')
}

/// The value of a header that may come once only.
fn single<'a>(
    head: &'a Parts,
    name: &HeaderName,
    reason: &'static str,
) -> Result<Option<&'a HeaderValue>, Rejection> {
    let mut values = head.headers.get_all(name).iter();
    let value = values.next();
    match values.next() {
        None => Ok(value),
        Some(_) => Err(Rejection::bad_request(reason)),
    }
}

/// An id is printable and has no blanks: anything else may be read otherwise by who it is forwarded to.
fn well_formed(id: &HeaderValue) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
}

/// Seconds with decimals, as nanoseconds.
fn parse_time_left(value: &HeaderValue) -> Option<Nanos> {
    let text = value.to_str().ok()?.trim();
    let decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| decimal)?;
    Some((seconds.min(MAX_TIME_LEFT) * 1e9) as Nanos)
}

/// A key as a number: hex as on the simulator's wire, anything else hashed.
fn parse_key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| api::server_id(text))
}

#[cfg(test)]
mod tests;
