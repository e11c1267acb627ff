//! The `aniseyoke ctl` commands: one call to a running proxy's admin endpoint.

use aniseyoke_sockets::{connect, ConnectError, UninterruptedStream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum length of an answer's body.
const MAX_ANSWER_BYTES: usize = 64 << 10;

#[derive(clap::Args)]
pub struct Ctl {
    /// Address of the proxy's admin endpoint.
    #[arg(long, value_name = "ADDRESS", env = "PROXY_MGMT")]
    door: SocketAddr,
    /// Time limit for the call.
    #[arg(long, value_name = "TIME", default_value = "5s", value_parser = humantime::parse_duration)]
    within: Duration,
    #[command(subcommand)]
    call: Call,
}

#[derive(clap::Subcommand, Clone)]
pub enum Call {
    /// Check whether the proxy can serve.
    Ready,
    /// Ban a cache node, so that it gets no requests.
    Exclude {
        /// The node's id in the discovery service.
        id: String,
    },
    /// Lift the ban of a cache node.
    Include {
        /// The node's id in the discovery service.
        id: String,
    },
    /// Start draining: fail health checks, so that clients move to other proxies.
    Evacuate,
    /// End draining, so that clients come back.
    Rejoin,
    /// Print the versions of the running program and its configuration.
    Version,
}

impl Call {
    fn request(&self, addr: SocketAddr) -> Request<Full<Bytes>> {
        let (method, path, id) = match self {
            Call::Ready => (Method::GET, "/api/ready", None),
            Call::Version => (Method::GET, "/api/version", None),
            Call::Exclude { id } => (Method::POST, "/api/exclude", Some(id)),
            Call::Include { id } => (Method::POST, "/api/include", Some(id)),
            Call::Evacuate => (Method::POST, "/api/evacuate", None),
            Call::Rejoin => (Method::POST, "/api/rejoin", None),
        };
        let body = id.map_or(Bytes::new(), |id| serde_json::json!({ "id": id }).to_string().into());
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = hyper::Uri::from_static(path);
        let host = hyper::header::HeaderValue::from_str(&addr.to_string());
        request.headers_mut().extend(host.ok().map(|host| (hyper::header::HOST, host)));
        request
    }
}

/// Why a call failed.
#[derive(Debug, Error)]
enum CtlError {
    /// The runtime could not be built.
    #[error("{0}")]
    Runtime(#[source] std::io::Error),
    /// The connection to the admin endpoint could not be opened.
    #[error("admin endpoint at {addr}: {source}")]
    Connect {
        /// Address of the admin endpoint.
        addr: SocketAddr,
        /// Cause.
        source: ConnectError,
    },
    /// The HTTP exchange with the admin endpoint failed.
    #[error("admin endpoint at {addr}: {source}")]
    Exchange {
        /// Address of the admin endpoint.
        addr: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The call timed out.
    #[error("admin endpoint at {addr}: no answer within {within:?}")]
    TimedOut {
        /// Address of the admin endpoint.
        addr: SocketAddr,
        /// Time limit of the call.
        within: Duration,
    },
    /// The admin endpoint rejected the call.
    #[error("admin endpoint at {addr} says {}: {reason}", .status.as_u16())]
    Rejected {
        /// Address of the admin endpoint.
        addr: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        reason: String,
    },
}

/// Makes the call and returns the answer, or the error as lines of text.
pub fn run(ctl: &Ctl) -> Result<String, Vec<String>> {
    answer(ctl).map_err(|error| vec![error.to_string()])
}

fn answer(ctl: &Ctl) -> Result<String, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CtlError::Runtime)?;
    let (addr, within) = (ctl.door, ctl.within);
    let (status, body) = runtime.block_on(async {
        let answered = tokio::time::timeout(within, call(addr, &ctl.call)).await;
        answered.unwrap_or(Err(CtlError::TimedOut { addr, within }))
    })?;
    if status.is_success() {
        Ok(body)
    } else {
        Err(CtlError::Rejected { addr, status, reason: body.trim().to_owned() })
    }
}

async fn call(addr: SocketAddr, call: &Call) -> Result<(StatusCode, String), CtlError> {
    let failed = |source: hyper::Error| CtlError::Exchange { addr, source: source.into() };
    let stream = connect(addr, || ()).await.map_err(|source| CtlError::Connect { addr, source })?;
    let io = TokioIo::new(UninterruptedStream(stream));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.map_err(failed)?;
    // The task ends by itself after the answer; its errors are reported by the exchange.
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(call.request(addr)).await.map_err(failed)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|source| CtlError::Exchange { addr, source })?;
    driver.abort();
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
