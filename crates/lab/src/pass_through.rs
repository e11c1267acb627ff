//! A bare pass-through on hyper: takes a request, sends it to the next cache node, returns what comes. No choice, no
//! retry, no time-out, no rule. It is the least that any proxy of this make costs, and what ours is measured against.

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

/// Why the pass-through could not serve.
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
    #[error("listen is no address")]
    NoListenAddress,
    /// The listener could not be bound.
    #[error("{addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The address or the signal could not be had.
    #[error("{0}")]
    System(#[source] std::io::Error),
}

struct Node {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Body>>>,
}

/// Idle connections kept to a node.
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
        let turn = self.next.get();
        self.next.set(turn + 1);
        let node = &self.nodes[turn % self.nodes.len()];
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
            tracing::debug!("not passed: {e}");
            let mut response = Response::new(Body::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }
}

/// The cache nodes of a proxy's configuration, in the platform's form.
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

/// Serves as a proxy's configuration says, until SIGTERM. Writes its address to standard error as the proxy does.
///
/// # Errors
/// Names what is wrong with the configuration, or what the system refused.
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
            // A client that disconnects is no error of the pass-through.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
