//! The HTTP connection to the discovery service, on which one poll goes out after another.

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

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// One connection, and old ones that are just ending.
pub const DESCRIPTORS: usize = 4;
/// A list is at most this long, in bytes; a thousand entries take a fifth of it.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A connection to the service.
pub(super) struct Connection {
    sender: SendRequest<Body>,
    socket: Rc<Socket>,
}

/// A complete answer, and the connection, on which the next poll can go out.
pub(super) struct Answer {
    pub(super) connection: Connection,
    pub(super) list: Result<EndpointList, PollError>,
}

impl Connection {
    /// Opens a connection; `permit` is for its descriptor.
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

    /// Sends one poll and reads its answer. The connection comes back with a complete answer only.
    pub(super) async fn exchange(mut self, addr: SocketAddr, path: String) -> Result<Answer, ExchangeError> {
        // Where a link falls silent, the kernel would go on sending a poll that was given up. Once the link is well those of
        // all proxies would come to the service together, each beside the poll that took its place.
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

/// The wait that an answer advises, in seconds with or without decimals; a date is ignored.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
