//! Responds to each client request with exactly one final answer.

use super::client::Client;
use super::headers::strip_hop_by_hop;
use super::rejection::Rejection;
use super::request::ParsedRequest;
use super::Server;
use crate::body_arrival::BodyArrival;
use crate::metrics::Metric;
use crate::relay::ResponseBody;
use crate::request_ids::IdError;
use crate::socket::{PeerHandle, Presence, Probe};
use crate::upstream::UpstreamResponse;
use aniseyoke_core::Answer;
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A presence probe of a client that may have disconnected takes at most the remaining time divided by this,
const PRESENCE_PROBE_DIVISOR: u64 = 20;
/// but no longer than this.
const MAX_PRESENCE_PROBE: Duration = Duration::from_millis(20);

impl Server {
    /// Serves a request that was received from `client`.
    pub(super) async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        received_at: Instant,
        client: &Client,
    ) -> Response<ResponseBody> {
        if request.uri().path() == "/_health" {
            return self.health();
        }
        let is_http_11 = request.version() == Version::HTTP_11;
        let probe = if is_http_11 { Probe::InterimResponse } else { Probe::StatusLineByte };
        let socket = &client.socket;
        let arrival = Rc::<BodyArrival>::default();
        let mut body_watch = std::pin::pin!(client.watch_body(&arrival, |unwritten_at| {
            let time_limit = arrival.time_limit()?;
            Some(unwritten_at + self.engine.time_limit(unwritten_at.into_std(), time_limit))
        }));
        let parsed = tokio::select! {
            biased;
            parsed = self.parse_request(request, received_at, &arrival) => parsed,
            never = &mut body_watch => match never {},
        };
        let ParsedRequest { mut incoming, runs_once } = match parsed {
            Ok(parsed) => parsed,
            Err(rejection) => return reject_request(&rejection, client),
        };
        // Keeps what may arrive unread within the bytes that are searched for the end of the body.
        let is_streamed = incoming.job.body.upload().is_some();
        if is_streamed && client.heads.unread_body.borrow().is_chunked() {
            socket.prepare_for_streaming();
        }
        // Nodes and the retry records identify a request by its id.
        let id = incoming.job.id.clone();
        let reserved_id = match self.request_ids.reserve(&id, runs_once) {
            Ok(reserved_id) => reserved_id,
            Err(error) => return self.reject_repeated(&id, error, client),
        };
        incoming.job.reserved_id = Some(reserved_id.clone());
        let is_head = incoming.job.method == Method::HEAD;
        // A client that closed its sending side before its request was read may have disconnected long ago,
        // and an attempt would then be sent for nobody.
        let probe_time =
            Duration::from_nanos(incoming.request.remaining / PRESENCE_PROBE_DIVISOR).min(MAX_PRESENCE_PROBE);
        if socket.presence(probe, probe_time).await == Presence::Gone {
            return client_gone();
        }
        incoming.job.client_handle = Some(PeerHandle::new(socket, probe, probe_time));
        let mut ticket = self.engine.submit(incoming);
        let mut response = tokio::select! {
            biased;
            answer = ticket.answer() => {
                log_answer(&id, &answer, received_at.elapsed());
                to_response(answer, is_head)
            }
            never = &mut body_watch => match never {},
            () = socket.closed_by_peer(probe) => client_gone(),
        };
        if response.body().is_streamed() {
            response.body_mut().hold_until_sent(reserved_id);
        }
        response
    }

    fn health(&self) -> Response<ResponseBody> {
        let ready = !self.drain.is_active() && self.engine.can_serve();
        text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
    }

    /// Rejects a request whose id is in use, or was sent before.
    fn reject_repeated(&self, id: &HeaderValue, error: IdError, client: &Client) -> Response<ResponseBody> {
        self.metrics.count(Metric::RepeatedId);
        tracing::info!("{}: rejected request {id:?}: {error}", client.peer);
        reject(StatusCode::CONFLICT, error.reason())
    }
}

/// Rejects a request that could not be parsed.
pub fn reject_request(rejection: &Rejection, client: &Client) -> Response<ResponseBody> {
    tracing::debug!("{}: rejected with {rejection}", client.peer);
    let mut response = reject(rejection.status, rejection.reason);
    if rejection.status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, HEAD, PUT"));
    }
    response
}

/// Returns the response for a client that has disconnected. It is never read.
fn client_gone() -> Response<ResponseBody> {
    text_response(StatusCode::BAD_GATEWAY, "the client has gone")
}

/// Logs the final answer of a request, `elapsed` after its head was received.
fn log_answer(id: &HeaderValue, answer: &Answer<UpstreamResponse>, elapsed: Duration) {
    let id = id.to_str().unwrap_or_default();
    match answer {
        Answer::Served(_) => tracing::debug!("request {id}: served after {elapsed:?}"),
        Answer::Rejected(wait) => {
            tracing::debug!("request {id}: refused after {elapsed:?}, to come again in {wait:?}");
        }
        Answer::Failed => tracing::debug!("request {id}: failed after {elapsed:?}"),
        Answer::TimedOut => {
            tracing::warn!("request {id} timed out: no answer from the engine by the deadline");
        }
    }
}

/// Converts the engine's answer to a response. For a HEAD request, `Content-Length` states the length of the
/// body that is not sent.
fn to_response(answer: Answer<UpstreamResponse>, is_head: bool) -> Response<ResponseBody> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            strip_hop_by_hop(&mut head.headers);
            // Hyper would use this header without a check, and a buffered body has its own length.
            // It refuses to send the header more than once.
            let length = head.headers.remove(header::CONTENT_LENGTH);
            if let Some(length) = length.filter(|_| is_head) {
                head.headers.insert(header::CONTENT_LENGTH, length);
            }
            head.version = Version::HTTP_11;
            Response::from_parts(head, body)
        }
        Answer::Rejected(wait) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if !wait.is_zero() {
                if let Ok(retry_after) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
                    response.headers_mut().insert(header::RETRY_AFTER, retry_after);
                }
            }
            response
        }
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
        Answer::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Rejects a request and closes its connection. Further bytes on the connection may be the rest of this
/// request, and a client that keeps sending malformed requests costs less if it has to reconnect for each.
pub fn reject(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = text_response(status, reason);
    close_connection(&mut response);
    response
}

/// Sets `Connection: close`, so that the connection is closed after this response.
pub fn close_connection(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
