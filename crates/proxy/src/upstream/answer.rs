//! A node's answer: reading it, and what its head tells of the node.

use super::{Outcome, Reply};
use crate::budget::Budget;
use crate::relay::{ResponseBody, StreamedBody};
use crate::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES};
use aniseyoke_decision::api::{Load, Status};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Set by a node that has not run the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Whether a node had the value.
const LOOKUP: HeaderName = HeaderName::from_static("x-lookup");
/// A node's load report.
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// An answer of unknown length that is not whole so long after its head is streamed.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(20);

/// What has been read of an answer.
pub(super) enum Received {
    /// It can't be read, or is not worth it; its connection is of no further use.
    Unusable,
    /// All of it.
    Whole(Outcome),
    /// The rest of it still comes.
    Streamed(StreamedAnswer),
}

/// An answer of which a part has been read.
pub(super) struct StreamedAnswer {
    head: Parts,
    read_ahead: Bytes,
    rest: Incoming,
}

impl StreamedAnswer {
    /// The outcome of an attempt that was served; `done` is called when all of the answer has come.
    pub(super) fn into_outcome(self, done: impl FnOnce() + 'static) -> Outcome {
        let (hit, load) = (hit(&self.head.headers), load(&self.head.headers));
        let body = StreamedBody::new(self.read_ahead, self.rest, done);
        let answer = Response::from_parts(self.head, body.into());
        Outcome { status: Status::Ok, hit, load, answer: Some(answer) }
    }
}

/// Reads a small answer to its end. A body that is streamed would leave the client with half an answer when it breaks, so
/// only what is large, or has no room in the budget, is streamed.
pub(super) async fn receive(response: Response<Incoming>, budget: &Rc<Budget>) -> Received {
    if is_malformed(&response) {
        return Received::Unusable;
    }
    let (head, mut body) = response.into_parts();
    let size = body.size_hint();
    let small = size.lower() <= MAX_BUFFERED_BODY_BYTES as u64;
    let room = size
        .exact()
        .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
    let mut held = if small { budget.reserve(room) } else { None };
    let mut read_ahead = Vec::new();
    // What tells no length may be large, and the first bytes of a slow one would wait for long.
    let unknown_length = size.exact().is_none() && status(&head) == Status::Ok;
    let mut buffer_timeout = std::pin::pin!(sleep(BUFFER_TIMEOUT));
    // Read to its end and not just to its last byte: by then hyper has seen what may stand behind it.
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut buffer_timeout, if unknown_length && !read_ahead.is_empty() => {
                return Received::Streamed(StreamedAnswer { head, read_ahead: read_ahead.into(), rest: body });
            }
        };
        let Some(frame) = frame else { break };
        // What can't be read may have run.
        let Ok(frame) = frame else { return Received::Unusable };
        let Ok(data) = frame.into_data() else { continue };
        read_ahead.extend_from_slice(&data);
        if held.is_none() || read_ahead.len() > MAX_BUFFERED_BODY_BYTES {
            return match status(&head) {
                Status::Ok => {
                    Received::Streamed(StreamedAnswer { head, read_ahead: read_ahead.into(), rest: body })
                }
                // An error is not worth reading through.
                _ => Received::Unusable,
            };
        }
    }
    if let Some(held) = &mut held {
        held.shrink(read_ahead.len());
    }
    let (status, hit, load) = (status(&head), hit(&head.headers), load(&head.headers));
    let answer: Option<Reply> = (status == Status::Ok)
        .then(|| Response::from_parts(head, ResponseBody::buffered(read_ahead.into(), held)));
    Received::Whole(Outcome { status, hit, load, answer })
}

/// Whether an answer's head is one that no sound node sends: a switch of protocols, a length that contradicts itself or is
/// over the limit, or none though the connection is to stay open, so that its end could not be told.
fn is_malformed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_coding = headers.contains_key(TRANSFER_ENCODING);
    let closes = response.version() == Version::HTTP_10
        || headers.get_all(CONNECTION).iter().any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    response.status().is_informational()
        || has_length && has_coding
        || response.body().size_hint().lower() > MAX_STREAMED_BODY_BYTES
        || !has_length && !has_coding && !closes && !response.body().is_end_stream()
}

fn status(head: &Parts) -> Status {
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Status::Ok,
        StatusCode::NOT_FOUND => Status::Miss,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Status::Rejected,
        _ => Status::Error,
    }
}

fn hit(headers: &HeaderMap) -> Option<bool> {
    headers.get(&LOOKUP).map(|value| value == "hit")
}

/// What an answer says of its node's load; a report that can't be read says nothing.
fn load(headers: &HeaderMap) -> Option<Load> {
    #[derive(serde::Deserialize)]
    struct Report {
        load_share: f64,
        tps: f64,
    }
    let report: Report = serde_json::from_slice(headers.get(&LOAD)?.as_bytes()).ok()?;
    Load::new(report.load_share, report.tps)
}

#[cfg(test)]
mod tests;
