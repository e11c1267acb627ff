//! `aniseyoke ctl ...`: one call at a running proxy's door.

use aniseyoke_sockets::{connect, Uninterrupted};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;

/// An answer at the door is shorter than this, in bytes.
const ANSWER_MOST: usize = 64 << 10;

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

pub fn run(ctl: &Ctl) -> Result<String, Vec<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| vec![e.to_string()])?;
    let door = ctl.door;
    let answer = runtime.block_on(async {
        let call = call(door, &ctl.call);
        let late = |_| format!("the door at {door} gave no answer within {:?}", ctl.within);
        tokio::time::timeout(ctl.within, call).await.map_err(late)?
    });
    let (status, body) = answer.map_err(|e| vec![e])?;
    if status.is_success() {
        Ok(body)
    } else {
        Err(vec![format!("the door at {door} says {}: {}", status.as_u16(), body.trim())])
    }
}

async fn call(door: SocketAddr, call: &Call) -> Result<(StatusCode, String), String> {
    let told = |e: &dyn std::fmt::Display| format!("the door at {door}: {e}");
    let stream = connect(door, || ()).await.map_err(|e| told(&e))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(Uninterrupted(stream)))
        .await
        .map_err(|e| told(&e))?;
    // It ends by itself with the answer; what went wrong with it is told by the exchange.
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(call.request(door)).await.map_err(|e| told(&e))?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MOST).collect().await.map_err(|e| told(&e))?;
    driver.abort();
    Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}
