//! Operators' requests, one per connection: the server that handles them, and the client of the command line.

use crate::frame::{decode, encode, FrameError, OperatorRequest, OperatorResponse, MAX_FRAME_BYTES};
use crate::publisher::{PublishError, Publisher};
use crate::service::{Service, ACCEPT_RETRY_DELAY, READ_BUFFER_BYTES};
use crate::version::Stamp;
use aniseyoke_sockets::{classify_accept_error, connect, AcceptError, ConnectError, UninterruptedStream};
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The timeout of a request, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of concurrent operator connections. Further ones are closed without a response.
const MAX_CONNECTIONS: usize = 32;

/// Serves operators and never returns.
pub async fn serve(service: Rc<Service>, listener: TcpListener) -> Infallible {
    let active = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if active.get() < MAX_CONNECTIONS => {
                active.set(active.get() + 1);
                let (service, active) = (service.clone(), active.clone());
                tokio::task::spawn_local(async move {
                    // After a failure or a timeout the connection is closed, and nobody waits for the
                    // response.
                    let _ = timeout(REQUEST_TIMEOUT, serve_operator(&service, stream)).await;
                    active.set(active.get() - 1);
                });
            }
            Ok(_) => {}
            Err(e) if classify_accept_error(&e) == AcceptError::Transient => {}
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_operator(service: &Service, stream: TcpStream) -> io::Result<()> {
    let mut stream = UninterruptedStream(stream);
    let response = match receive::<OperatorRequest>(&mut stream).await? {
        Ok(OperatorRequest::Purge { publisher, sequence, keys }) => match service.purge_queue() {
            Some(queue) => queue.submit(publisher, sequence, &keys).await,
            None => rejected("this service accepts no purges: it was not started with --purges"),
        },
        Ok(request) => respond(service, request),
        Err(error) => rejected(&error.to_string()),
    };
    stream.write_all(&encode(&response).unwrap_or_default()).await?;
    stream.shutdown().await
}

/// Handles all requests except purges, whose responses have to wait until they are written to the log.
fn respond(service: &Service, request: OperatorRequest) -> OperatorResponse {
    match request {
        OperatorRequest::Publish { .. } | OperatorRequest::RollBack { .. } | OperatorRequest::Halt { .. }
            if service.is_relay() =>
        {
            rejected("this is a relay: versions are published at the service that it follows")
        }
        OperatorRequest::Publish { body, plan } => published(service.publish(body, plan)),
        OperatorRequest::RollBack { to, plan } => published(service.roll_back(to, plan)),
        OperatorRequest::Halt { reason } => {
            service.halt(&reason);
            status(service)
        }
        OperatorRequest::Status => status(service),
        OperatorRequest::PurgeStatus => {
            service.purge_status().unwrap_or_else(|| rejected("this service distributes no purges"))
        }
        OperatorRequest::Purge { .. } => rejected("a purge has to be queued"),
    }
}

fn published(result: Result<Stamp, PublishError>) -> OperatorResponse {
    match result {
        Ok(stamp) => OperatorResponse::Published { stamp },
        Err(error) => rejected(&error.to_string()),
    }
}

fn status(service: &Service) -> OperatorResponse {
    service.with_publisher(|publisher: &Publisher| OperatorResponse::Status {
        newest: publisher.newest().map(|v| v.stamp),
        rollout: publisher.rollout().map(ToString::to_string),
        proxies: publisher.statuses(),
    })
}

fn rejected(reason: &str) -> OperatorResponse {
    OperatorResponse::Rejected { reason: reason.to_owned() }
}

/// Reads one message. The outer error is an I/O error of the connection, the inner one an invalid frame.
async fn receive<T: DeserializeOwned>(
    stream: &mut UninterruptedStream<TcpStream>,
) -> io::Result<Result<T, FrameError>> {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        match decode(&mut buffer, MAX_FRAME_BYTES) {
            Ok(Some(message)) => return Ok(Ok(message)),
            Err(error) => return Ok(Err(error)),
            Ok(None) => match stream.read(&mut chunk).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => buffer.extend_from_slice(&chunk[..n]),
            },
        }
    }
}

/// An error of [`call`].
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("the control service at {addr}: {source}")]
    ConnectFailed {
        /// The address at which the service accepts operators' requests.
        addr: SocketAddr,
        /// The cause.
        source: ConnectError,
    },
    /// The connection failed before the response was complete.
    #[error("the control service at {addr}: {source}")]
    Connection {
        /// The address at which the service accepts operators' requests.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The request or the response is not a valid frame.
    #[error("the control service at {addr}: {source}")]
    Frame {
        /// The address at which the service accepts operators' requests.
        addr: SocketAddr,
        /// The cause.
        source: FrameError,
    },
}

/// Sends a request to a service and returns the response.
///
/// # Errors
/// If the connection can't be established or fails, or if the request or the response is not a valid frame.
pub async fn call(addr: SocketAddr, request: &OperatorRequest) -> Result<OperatorResponse, CallError> {
    let to_connect_error = |source| CallError::ConnectFailed { addr, source };
    let to_connection_error = |source| CallError::Connection { addr, source };
    let to_frame_error = |source| CallError::Frame { addr, source };
    let mut stream = UninterruptedStream(connect(addr, || ()).await.map_err(to_connect_error)?);
    let bytes = encode(request).map_err(to_frame_error)?;
    stream.write_all(&bytes).await.map_err(to_connection_error)?;
    receive(&mut stream).await.map_err(to_connection_error)?.map_err(to_frame_error)
}
