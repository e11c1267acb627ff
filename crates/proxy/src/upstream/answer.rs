//! Reading a node's answer, and the state of the node that its head reports.

use super::{Outcome, UpstreamResponse};
use crate::budget::{Budget, Reservation};
use crate::relay::{ResponseBody, StreamRecord, StreamedBody};
use crate::transfer_coding::TransferCoding;
use crate::{MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES};
use aniseyoke_decision::api::{Load, Status};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep, Instant};

/// Header set to 1 by a node that has not run the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Header with the result of the cache lookup: `hit` or another value.
const LOOKUP: HeaderName = HeaderName::from_static("x-lookup");
/// Header with the node's load report, in JSON.
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
/// An answer of unknown length that is still incomplete this long after its head is streamed.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(20);

/// Why an answer can't be used.
#[derive(Debug, Error)]
pub(super) enum AnswerError {
    #[error("it switches the protocol")]
    ProtocolSwitch,
    #[error("it has both Content-Length and Transfer-Encoding")]
    ContradictoryFraming,
    #[error("its body has a transfer coding other than chunked alone")]
    Coded,
    #[error("the end of its body can't be determined")]
    NoLength,
    #[error("it is longer than allowed")]
    TooLong,
    #[error("it is broken: {0}")]
    Broken(#[source] hyper::Error),
    #[error("an error with a long body, which is not read")]
    LongError,
}

/// The result of reading an answer.
pub(super) enum Received {
    /// The answer can't be read, or is an error that is not read to its end; its connection must be closed.
    Unusable(AnswerError),
    /// The answer was read to its end.
    Complete(Outcome),
    /// The rest of the answer is still to be received.
    Streamed(StreamedAnswer),
}

/// An answer of which only the beginning has been read.
pub(super) struct StreamedAnswer {
    head: Parts,
    read_ahead: Bytes,
    rest: Incoming,
}

impl StreamedAnswer {
    /// Returns the outcome of a served attempt; `on_complete` is called when the whole answer has been
    /// received.
    pub(super) fn into_outcome(self, record: StreamRecord, on_complete: impl FnOnce() + 'static) -> Outcome {
        let (hit, load) = (hit(&self.head.headers), load(&self.head.headers));
        let body = StreamedBody::new(self.read_ahead, self.rest, record, on_complete);
        let answer = Response::from_parts(self.head, body.into());
        Outcome { status: Status::Ok, hit, load, answer: Some(answer) }
    }
}

/// Reads an answer: to its end if it is small. If a streamed body fails, the client is left with half an
/// answer, so an answer is streamed only if it is large, exceeds the budget, or is slow and of unknown
/// length. A streamed answer begins with its head: its body may come later than `deadline`, the end of the
/// attempt.
pub(super) async fn receive(
    response: Response<Incoming>,
    budget: &Arc<Budget>,
    deadline: Instant,
) -> Received {
    if let Err(error) = check_head(&response) {
        return Received::Unusable(error);
    }
    let (head, mut body) = response.into_parts();
    let size = body.size_hint();
    let small = size.lower() <= MAX_BUFFERED_BODY_BYTES as u64;
    let reserved_bytes = size
        .exact()
        .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES as u64) as usize);
    let reservation = if small { budget.reserve(reserved_bytes) } else { None };
    let mut read_ahead = Vec::new();
    if reservation.is_none() && status(&head) == Status::Ok && !body.is_end_stream() {
        return Received::Streamed(StreamedAnswer { head, read_ahead: Bytes::new(), rest: body });
    }
    // An answer of unknown length may be large; buffering a slow one would delay its first bytes.
    let unknown_length = size.exact().is_none() && status(&head) == Status::Ok;
    let time_left = deadline.saturating_duration_since(Instant::now());
    let mut buffer_timeout = std::pin::pin!(sleep(BUFFER_TIMEOUT.min(time_left / 2)));
    // Reads to the end of the stream, not just to the last byte: by then hyper has seen any surplus bytes.
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut buffer_timeout, if unknown_length => {
                return Received::Streamed(StreamedAnswer { head, read_ahead: hold(reservation, read_ahead), rest: body });
            }
        };
        let Some(frame) = frame else { break };
        // The node may have run the request although its answer can't be read.
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return Received::Unusable(AnswerError::Broken(error)),
        };
        let Ok(data) = frame.into_data() else { continue };
        read_ahead.extend_from_slice(&data);
        if reservation.is_none() || read_ahead.len() > MAX_BUFFERED_BODY_BYTES {
            return match status(&head) {
                Status::Ok => Received::Streamed(StreamedAnswer {
                    head,
                    read_ahead: hold(reservation, read_ahead),
                    rest: body,
                }),
                // A long error body is not read to its end.
                _ => Received::Unusable(AnswerError::LongError),
            };
        }
    }
    let (status, hit, load) = (status(&head), hit(&head.headers), load(&head.headers));
    let answer: Option<UpstreamResponse> = (status == Status::Ok)
        .then(|| Response::from_parts(head, ResponseBody::buffered(hold(reservation, read_ahead))));
    Received::Complete(Outcome { status, hit, load, answer })
}

/// Returns what was read of an answer, with its reservation if it has one.
fn hold(reservation: Option<Reservation>, read_ahead: Vec<u8>) -> Bytes {
    match reservation {
        Some(reservation) => reservation.hold(read_ahead),
        None => read_ahead.into(),
    }
}

/// Checks that the head of an answer is valid, and that the body is what the node meant to send. Hyper undoes only
/// the last transfer coding of a body.
fn check_head(response: &Response<Incoming>) -> Result<(), AnswerError> {
    let headers = response.headers();
    let lines = headers.get_all(TRANSFER_ENCODING).iter();
    let coding = TransferCoding::of(lines.map(HeaderValue::as_bytes));
    if response.status().is_informational() {
        return Err(AnswerError::ProtocolSwitch);
    }
    if headers.contains_key(CONTENT_LENGTH) && coding != TransferCoding::None {
        return Err(AnswerError::ContradictoryFraming);
    }
    if response.body().size_hint().lower() > MAX_STREAMED_BODY_BYTES {
        return Err(AnswerError::TooLong);
    }
    if response.body().is_end_stream() {
        return Ok(());
    }
    let is_coded = matches!(coding, TransferCoding::ChunkedOverOthers | TransferCoding::Undelimited);
    // Of other answers the body is not used.
    if is_coded && response.status() == StatusCode::OK {
        return Err(AnswerError::Coded);
    }
    let is_delimited = headers.contains_key(CONTENT_LENGTH)
        || matches!(coding, TransferCoding::Chunked | TransferCoding::ChunkedOverOthers);
    if !is_delimited && !closes(response) {
        return Err(AnswerError::NoLength);
    }
    Ok(())
}

/// Whether the node closes the connection after its answer.
fn closes(response: &Response<Incoming>) -> bool {
    response.version() == Version::HTTP_10
        || response
            .headers()
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
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

/// Returns the load report of an answer, if it has a valid one.
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
