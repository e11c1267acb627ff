//! Answers a client's request, each with one final answer.

use super::request::CORRELATION_ID;
use super::Server;
use crate::relay::Outgoing;
use crate::socket::{Presence, Socket, Waiter, Word};
use crate::upstream::Reply;
use aniseyoke_core::Answer;
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use std::rc::Rc;
use std::time::Duration;

/// Headers that belong to one connection and do not go on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A client that may have gone is asked, and what it says waited for so long: a part of its time, and this at most.
const ASK_PART: u64 = 20;
const ASK_MOST: Duration = Duration::from_millis(20);

/// A request's id, taken while its answer is due.
struct OpenId {
    server: Rc<Server>,
    id: HeaderValue,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.server.ids.borrow_mut().remove(&self.id);
    }
}

impl Server {
    pub(super) async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        socket: &Rc<Socket>,
    ) -> Response<Outgoing> {
        if request.uri().path() == "/_health" {
            let ready = !self.drain.is_active() && self.engine.can_serve();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let word = if request.version() == Version::HTTP_11 { Word::Interim } else { Word::Begin };
        let mut asked = match self.asked(request).await {
            Ok(asked) => asked,
            Err((status, why)) => {
                let mut response = bad(status, why);
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, HEAD, PUT"));
                }
                return response;
            }
        };
        // Danger: nodes and the bookkeeping of repeats know a request by its id; a second one that bears it is
        // somebody else's, and must not disturb the first.
        let id = asked.job.headers[CORRELATION_ID].clone();
        if !self.ids.borrow_mut().insert(id.clone()) {
            return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
        }
        let open = OpenId { server: self.clone(), id };
        let bodiless = asked.job.method == Method::HEAD;
        // Danger: of a client that ended its sending before its request was read nobody knows for how long it has been
        // gone; what is sent for it now may be sent for nobody.
        let most = Duration::from_nanos(asked.request.remaining / ASK_PART).min(ASK_MOST);
        if socket.presence(word, most).await == Presence::Gone {
            return gone();
        }
        asked.job.waiter = Some(Waiter::new(socket, word, most));
        let mut ticket = self.engine.submit(asked);
        let mut response = tokio::select! {
            biased;
            answer = ticket.answer() => respond_with(answer, bodiless),
            () = socket.hung_up(word) => gone(),
        };
        if response.body().relayed() {
            response.body_mut().keep(open);
        }
        response
    }
}

/// Nobody is left to read this.
fn gone() -> Response<Outgoing> {
    plain(StatusCode::BAD_GATEWAY, "the client has gone")
}

/// Takes out what belongs to one connection alone.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// `bodiless`: the answer to a HEAD, which tells the length of a body that does not come.
fn respond_with(answer: Answer<Reply>, bodiless: bool) -> Response<Outgoing> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            strip(&mut head.headers);
            // Danger: hyper believes a length that stands here; the body held has one of its own.
            if !bodiless {
                head.headers.remove(header::CONTENT_LENGTH);
            }
            head.version = Version::HTTP_11;
            Response::from_parts(head, body)
        }
        Answer::Rejected(wait) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if !wait.is_zero() {
                if let Ok(advice) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
                    response.headers_mut().insert(header::RETRY_AFTER, advice);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::TimedOut => {
            tracing::warn!("a request was left unanswered until its deadline");
            plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        }
    }
}

/// Turns away what is malformed or too large. Danger: a client that sends the like again and again on one connection
/// costs more than one that has to connect for it; and what follows on it may be the rest of this one.
pub fn bad(status: StatusCode, why: &'static str) -> Response<Outgoing> {
    let mut response = plain(status, why);
    closing(&mut response);
    response
}

pub fn closing(response: &mut Response<Outgoing>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn plain(status: StatusCode, text: &'static str) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::whole(Bytes::from_static(text.as_bytes()), None));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
