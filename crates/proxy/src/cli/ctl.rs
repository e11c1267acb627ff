//! `aniseyoke ctl ...`: one call at a running proxy's admin endpoint.

use aniseyoke_sockets::{connect, ConnectError, Uninterrupted};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// An answer is shorter than this, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

#[derive(clap::Args)]
pub struct Ctl {
    /// The door's address.
    #[arg(long, value_name = "ADDRESS", env = "PROXY_MGMT")]
    door: SocketAddr,
    /// How long to wait for its answer.
    #[arg(long, value_name = "TIME", default_value = "5s", value_parser = humantime::parse_duration)]
    within: Duration,
    #[command(subcommand)]
    call: Call,
}

#[derive(clap::Subcommand, Clone)]
pub enum Call {
    /// Does it serve?
    Ready,
    /// Leave a cache node alone.
    Exclude {
        /// The node's id in discovery.
        id: String,
    },
    /// Give a cache node back.
    Include {
        /// The node's id in discovery.
        id: String,
    },
    /// Send clients elsewhere.
    Evacuate,
    /// Let clients come again.
    Rejoin,
    /// Which program and which configuration runs there?
    Version,
}

impl Call {
    fn request(&self, door: SocketAddr) -> Request<Full<Bytes>> {
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
        let host = hyper::header::HeaderValue::from_str(&door.to_string());
        request.headers_mut().extend(host.ok().map(|host| (hyper::header::HOST, host)));
        request
    }
}

/// Why a call was not carried out.
#[derive(Debug, Error)]
enum CtlError {
    /// The runtime could not be built.
    #[error("{0}")]
    Runtime(#[source] std::io::Error),
    /// No connection to the admin endpoint.
    #[error("the door at {door}: {source}")]
    Connect {
        /// The admin endpoint.
        door: SocketAddr,
        /// Why there is none.
        source: ConnectError,
    },
    /// The exchange with the admin endpoint broke.
    #[error("the door at {door}: {source}")]
    Exchange {
        /// The admin endpoint.
        door: SocketAddr,
        /// Where it broke.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// There was no answer in time.
    #[error("the door at {door} gave no answer within {within:?}")]
    TimedOut {
        /// The admin endpoint.
        door: SocketAddr,
        /// How long it was waited for.
        within: Duration,
    },
    /// The admin endpoint did not do it.
    #[error("the door at {door} says {}: {reason}", .status.as_u16())]
    Rejected {
        /// The admin endpoint.
        door: SocketAddr,
        /// The status of its answer.
        status: StatusCode,
        /// The text of its answer.
        reason: String,
    },
}

/// Makes the call; returns the answer, or what went wrong.
pub fn run(ctl: &Ctl) -> Result<String, Vec<String>> {
    answer(ctl).map_err(|error| vec![error.to_string()])
}

fn answer(ctl: &Ctl) -> Result<String, CtlError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CtlError::Runtime)?;
    let (door, within) = (ctl.door, ctl.within);
    let (status, body) = runtime.block_on(async {
        let answered = tokio::time::timeout(within, call(door, &ctl.call)).await;
        answered.unwrap_or(Err(CtlError::TimedOut { door, within }))
    })?;
    if status.is_success() {
        Ok(body)
    } else {
        Err(CtlError::Rejected { door, status, reason: body.trim().to_owned() })
    }
}

async fn call(door: SocketAddr, call: &Call) -> Result<(StatusCode, String), CtlError> {
    let failed = |source: hyper::Error| CtlError::Exchange { door, source: source.into() };
    let stream = connect(door, || ()).await.map_err(|source| CtlError::Connect { door, source })?;
    let io = TokioIo::new(Uninterrupted(stream));
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.map_err(failed)?;
    // It ends by itself with the answer; what went wrong with it is reported by the exchange.
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(call.request(door)).await.map_err(failed)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|source| CtlError::Exchange { door, source })?;
    driver.abort();
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
