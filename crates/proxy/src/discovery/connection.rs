//! The HTTP connection to the discovery service that successive polls share.

use super::error::{ExchangeError, PollError};
use crate::config::EndpointList;
use crate::descriptors::DescriptorPermit;
use crate::socket::{Io, Socket};
use crate::Body;
use aniseyoke_sockets::connect;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Descriptors for the connection, and for earlier ones that are still closing.
pub const DESCRIPTORS: usize = 4;
/// Maximum length of a list; a thousand entries take a fifth of it.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A connection to the discovery service.
pub(super) struct Connection {
    sender: SendRequest<Body>,
    socket: Rc<Socket>,
}

/// A complete answer, and its connection for the next poll.
pub(super) struct Answer {
    pub(super) connection: Connection,
    pub(super) list: Result<EndpointList, PollError>,
}

impl Connection {
    /// Opens a connection, which holds `permit` for its descriptor.
    pub(super) async fn open(addr: SocketAddr, permit: DescriptorPermit) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(addr, || ())).await;
        let stream =
            connecting.map_err(|_elapsed| ExchangeError::ConnectTimeout)?.map_err(ExchangeError::Connect)?;
        let socket = Socket::new(stream, permit);
        let io = TokioIo::new(Io(socket.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(ExchangeError::Handshake)?;
        tokio::task::spawn_local(driver);
        Ok(Connection { sender, socket })
    }

    /// Sends one poll and reads its answer. Returns the connection only with a complete answer.
    pub(super) async fn exchange(mut self, addr: SocketAddr, path: String) -> Result<Answer, ExchangeError> {
        // If the network drops packets, the kernel would go on retransmitting a poll that was given up. Once
        // the network recovers, these polls of all proxies would reach the service at once, in addition to
        // those that replaced them.
        self.socket.reset_on_close(true);
        self.sender.ready().await.map_err(ExchangeError::ConnectionLost)?;
        let request = Request::get(path).header(HOST, addr.to_string()).body(Body::default())?;
        let response = self.sender.send_request(request).await.map_err(ExchangeError::NoAnswer)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_LIST_BYTES).collect().await.map_err(ExchangeError::BrokenAnswer)?;
        self.socket.reset_on_close(false);
        let list = match head.status {
            StatusCode::OK => parse_list(&body.to_bytes()),
            status => Err(PollError::Rejected { status, retry_after: retry_after(&head.headers) }),
        };
        Ok(Answer { connection: self, list })
    }
}

fn parse_list(body: &[u8]) -> Result<EndpointList, PollError> {
    let list = serde_json::from_slice(body).map_err(ExchangeError::NotAList)?;
    Ok(list)
}

/// Returns the delay of the `Retry-After` header, in seconds with or without decimals; a date is ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
