//! A minimal pass-through proxy on hyper. It forwards each request to the next cache node in sequence and returns the
//! response, without load balancing, retries, timeouts or limits. Its cost is the lower bound for a proxy of this
//! design, and the baseline for comparisons with the real proxy.

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};

type Body = Full<Bytes>;

/// An error that stops the pass-through from serving.
#[derive(Debug, thiserror::Error)]
pub enum PassThroughError {
    /// The configuration lists no servers.
    #[error("known.servers is missing")]
    NoServers,
    /// A server has no address.
    #[error("no address in {0}")]
    NoAddress(Value),
    /// No cache node is listed.
    #[error("no cache node is listed")]
    NoNodes,
    /// The configuration has no address to listen on.
    #[error("listen is not a socket address")]
    NoListenAddress,
    /// The listener could not be bound.
    #[error("{addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The local address could not be determined, or the signal handler could not be installed.
    #[error("{0}")]
    System(#[source] std::io::Error),
}

struct Node {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Body>>>,
}

/// Maximum number of idle connections to a node that stay open for reuse.
const MAX_IDLE_CONNECTIONS: usize = 256;

struct PassThrough {
    nodes: Vec<Node>,
    next: Cell<usize>,
}

impl PassThrough {
    async fn forward(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Box<dyn std::error::Error>> {
        let (head, body) = request.into_parts();
        let body = Full::new(body.collect().await?.to_bytes());
        let sequence = self.next.get();
        self.next.set(sequence + 1);
        let node = &self.nodes[sequence % self.nodes.len()];
        let idle = || node.idle.borrow_mut().pop();
        let mut sender = loop {
            match idle() {
                Some(sender) if sender.is_closed() => {}
                Some(sender) => break sender,
                None => {
                    let stream = TcpStream::connect(node.addr).await?;
                    stream.set_nodelay(true)?;
                    let (sender, driver) = handshake(TokioIo::new(stream)).await?;
                    tokio::task::spawn_local(driver);
                    break sender;
                }
            }
        };
        sender.ready().await?;
        let response = sender.send_request(Request::from_parts(head, body)).await?;
        let (head, body) = response.into_parts();
        let body = Full::new(body.collect().await?.to_bytes());
        if node.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            node.idle.borrow_mut().push(sender);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/_health" {
            return Response::new(Body::default());
        }
        self.forward(request).await.unwrap_or_else(|e| {
            tracing::debug!("request not forwarded: {e}");
            let mut response = Response::new(Body::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }
}

/// Returns the cache nodes that a proxy's configuration lists, in the platform's format.
fn nodes(config: &Value) -> Result<Vec<Node>, PassThroughError> {
    let servers = config["known"]["servers"].as_array().ok_or(PassThroughError::NoServers)?;
    let cache = servers.iter().filter(|s| s["kind"] != "ledger");
    let nodes: Vec<Node> = cache
        .map(|s| {
            let addr = s["addr"].as_str().and_then(|a| a.parse().ok());
            let addr = addr.ok_or_else(|| PassThroughError::NoAddress(s.clone()))?;
            Ok(Node { addr, idle: RefCell::default() })
        })
        .collect::<Result<_, PassThroughError>>()?;
    if nodes.is_empty() {
        return Err(PassThroughError::NoNodes);
    }
    Ok(nodes)
}

/// Serves with a proxy's configuration until SIGTERM. Writes its address to standard error as the proxy does.
///
/// # Errors
/// Fails if the configuration is invalid, or if a system call fails.
pub async fn serve(config: &Value) -> Result<(), PassThroughError> {
    let pass_through = Rc::new(PassThrough { nodes: nodes(config)?, next: Cell::new(0) });
    let listen: SocketAddr =
        config["listen"].as_str().and_then(|a| a.parse().ok()).ok_or(PassThroughError::NoListenAddress)?;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| PassThroughError::Listen { addr: listen, source })?;
    let addr = listener.local_addr().map_err(PassThroughError::System)?;
    eprintln!("floor: listening on {addr}");
    let mut terminate = signal(SignalKind::terminate()).map_err(PassThroughError::System)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = terminate.recv() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let pass_through = pass_through.clone();
        tokio::task::spawn_local(async move {
            let service =
                service_fn(|request| async { Ok::<_, Infallible>(pass_through.respond(request).await) });
            // A client that disconnects is not an error of the pass-through.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
