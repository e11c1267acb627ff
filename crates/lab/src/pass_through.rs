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

struct Node {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Body>>>,
}

/// Idle connections kept to a node.
const IDLE_MOST: usize = 256;

struct Floor {
    nodes: Vec<Node>,
    next: Cell<usize>,
}

impl Floor {
    async fn pass(&self, request: Request<Incoming>) -> Result<Response<Body>, Box<dyn std::error::Error>> {
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
        if node.idle.borrow().len() < IDLE_MOST {
            node.idle.borrow_mut().push(sender);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/_health" {
            return Response::new(Body::default());
        }
        self.pass(request).await.unwrap_or_else(|e| {
            tracing::debug!("not passed: {e}");
            let mut response = Response::new(Body::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        })
    }
}

/// The cache nodes of a proxy's configuration, in the platform's form.
fn nodes(config: &Value) -> Result<Vec<Node>, String> {
    let servers = config["known"]["servers"].as_array().ok_or("known.servers is missing")?;
    let cache = servers.iter().filter(|s| s["kind"] != "ledger");
    let nodes: Result<Vec<Node>, String> = cache
        .map(|s| {
            let addr = s["addr"].as_str().and_then(|a| a.parse().ok());
            let addr = addr.ok_or_else(|| format!("no address in {s}"))?;
            Ok(Node { addr, idle: RefCell::default() })
        })
        .collect();
    nodes.and_then(|nodes| if nodes.is_empty() { Err("no cache node is listed".into()) } else { Ok(nodes) })
}

/// Serves as a proxy's configuration says, until SIGTERM. Tells its address on standard error as the proxy does.
///
/// # Errors
/// Names what is wrong with the configuration, or what the system refused.
pub async fn serve(config: &Value) -> Result<(), String> {
    let floor = Rc::new(Floor { nodes: nodes(config)?, next: Cell::new(0) });
    let listen: SocketAddr =
        config["listen"].as_str().and_then(|a| a.parse().ok()).ok_or("listen is no address")?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    eprintln!("floor: listening on {addr}");
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = terminate.recv() => return Ok(()),
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let floor = floor.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| async { Ok::<_, Infallible>(floor.answer(request).await) });
            // A client that breaks off is none of the floor's business.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
