//! Parses a client request for the engine, or rejects it.

use super::headers::{strip_hop_by_hop, CORRELATION_ID, IDEMPOTENCY_KEY};
use super::rejection::Rejection;
use super::Server;
use crate::body_arrival::BodyArrival;
use crate::time_left::TIME_LEFT;
use crate::upload;
use crate::upstream::Job;
use aniseyoke_core::IncomingRequest;
use aniseyoke_decision::api::{self, Idempotency, Nanos};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const RETRY_MARK: HeaderName = HeaderName::from_static("x-repeat");
/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum value of the time-left header, in seconds. Larger values count as this.
const MAX_TIME_LEFT: f64 = 3600.0;

/// A request that may be submitted to the engine.
pub(super) struct ParsedRequest {
    pub(super) incoming: IncomingRequest<Job>,
    /// Whether it must not run twice.
    pub(super) runs_once: bool,
}

/// The checked head of a request.
struct CheckedHead {
    id: HeaderValue,
    class: usize,
    write: bool,
    time_left: Nanos,
}

impl Server {
    /// Parses a request whose head was received at `received_at`, and reads its body. The time left counts
    /// from the last byte of the request, whose arrival is recorded in `arrival`.
    pub(super) async fn parse_request(
        &self,
        request: Request<Incoming>,
        mut received_at: Instant,
        arrival: &Rc<BodyArrival>,
    ) -> Result<ParsedRequest, Rejection> {
        let (head, body) = request.into_parts();
        let checked = self.check_head(&head)?;
        arrival.set_time_limit(Duration::from_nanos(checked.time_left));
        let body =
            upload::read(body, checked.write, &self.budget, arrival, Duration::from_nanos(checked.time_left))
                .await?;
        if !body.is_empty() {
            received_at = arrival.at().unwrap_or_else(Instant::now);
        }
        let request = self.engine_request(&head, &checked);
        let runs_once = self.settings.classes[checked.class].idempotency != Idempotency::Idempotent;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = path.parse().map_err(|_| Rejection::bad_request("bad path"))?;
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        // The forwarded request gets the actual length of the body.
        headers.remove(header::CONTENT_LENGTH);
        let job = Job {
            id: checked.id,
            reserved_id: None,
            method: head.method,
            uri,
            headers,
            body,
            client_handle: None,
        };
        let incoming = IncomingRequest { request, job, received_at: received_at.into_std() };
        Ok(ParsedRequest { incoming, runs_once })
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
        let time_left = match single_value(head, &TIME_LEFT, "more than one X-Time-Left")? {
            None => settings.deadline,
            // The class's deadline limits how long the state of a request is kept.
            Some(value) => {
                let time_left = parse_time_left(value).ok_or(Rejection::bad_request("bad X-Time-Left"))?;
                time_left.min(settings.deadline)
            }
        };
        let id = single_value(head, &CORRELATION_ID, "more than one X-Correlation-Id")?;
        let id = id.filter(|id| is_valid_id(id));
        let id = id.and_then(|id| HeaderValue::from_bytes(id.as_bytes()).ok());
        // A copy, since the id outlives the head, whose buffer it would keep.
        let id = id.ok_or(Rejection::bad_request("no X-Correlation-Id, or a bad one"))?;
        let idempotency_key = single_value(head, &IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
        if write
            && settings.idempotency == Idempotency::WithKey
            && idempotency_key.is_none_or(HeaderValue::is_empty)
        {
            return Err(Rejection::bad_request("no Idempotency-Key"));
        }
        Ok(CheckedHead { id, class, write, time_left })
    }

    /// Returns the request for the engine.
    fn engine_request(&self, head: &Parts, checked: &CheckedHead) -> api::Request {
        let account = head.headers.get(ACCOUNT).and_then(|account| account.to_str().ok());
        let tenant = account.and_then(|account| self.names.tenants.iter().position(|name| name == account));
        let key = path_segments(head).skip(1).last().filter(|key| !key.is_empty());
        api::Request {
            id: 0,
            class: checked.class as u32,
            tenant: tenant.map(|tenant| tenant as u32),
            pool: None,
            key: key.map(parse_key),
            remaining: checked.time_left,
            write: checked.write,
            retry: head.headers.get(RETRY_MARK).is_some_and(|value| value == "1"),
            // Set by the engine.
            body_pending: false,
        }
    }
}

/// Returns the segments of the path. The first is the class, the last is the key.
fn path_segments(head: &Parts) -> impl Iterator<Item = &str> {
    let path = head.uri.path();
    path.strip_prefix('/').unwrap_or("").split('/')
}

/// Returns the value of a header, and rejects the request if the header occurs more than once.
fn single_value<'a>(
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

/// Whether a request id has a valid length and only printable characters without blanks. Other characters may
/// be interpreted differently by the receivers of the forwarded request.
fn is_valid_id(id: &HeaderValue) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
}

/// Parses decimal seconds to nanoseconds.
fn parse_time_left(value: &HeaderValue) -> Option<Nanos> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some((seconds.min(MAX_TIME_LEFT) * 1e9) as Nanos)
}

/// Returns the number of a key: 16 hexadecimal digits are parsed as the simulator does, anything else is
/// hashed.
fn parse_key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| api::server_id(text))
}

#[cfg(test)]
mod tests;
