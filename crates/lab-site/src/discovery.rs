//! The discovery server: the full endpoint list, and long polls for its changes. Each proxy polls an address of its
//! own, so that the evidence shows which change each proxy was notified of, and when.

use super::http::HttpConnection;
use super::state::SiteState;
use aniseyoke_lab_world::{Endpoint, EndpointList};
use serde_json::{json, Value};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Maximum wait of a long poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Serves the polls of one proxy while the site is open.
pub async fn serve_proxy(state: Rc<SiteState>, proxy: usize, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(connection(state.clone(), proxy, stream))),
            Err(e) => {
                tracing::warn!("failed to accept a discovery connection of proxy {proxy}: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(state: Rc<SiteState>, proxy: usize, stream: TcpStream) {
    let mut up = state.discovery.subscribe();
    let mut http = HttpConnection::new(stream);
    let down = async {
        // The wait also ends when the site closes and the sender is dropped.
        let _ = up.wait_for(|up| !up).await;
    };
    let broken = tokio::select! {
        biased;
        () = down => true,
        served = serve(&state, proxy, &mut http) => served.is_err(),
    };
    if broken {
        http.reset();
    }
}

/// The value of a numeric query parameter.
pub fn query_parameter(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, v)| v.parse().ok())
}

/// The entries to send to a caller with version `from`: the changes since then, or the full list; and whether it is
/// the full list.
fn changes_since(list: &EndpointList, from: Option<u64>) -> (Vec<Endpoint>, bool) {
    match from.and_then(|from| list.since(from)) {
        Some(changes) => (changes, false),
        None => (list.all(), true),
    }
}

/// The JSON of a full list or of changes, with the addresses at which `proxy` reaches the members.
pub fn list(state: &SiteState, proxy: usize, endpoints: &[Endpoint], full: bool) -> Value {
    let listed = |endpoint: &Endpoint| {
        let mut member = state.member(*endpoint)?;
        if let Some(route) = &state.options.route {
            member.addr = route(proxy, member.addr, &member.kind);
        }
        Some(member.json())
    };
    let servers: Vec<Value> = endpoints.iter().filter_map(listed).collect();
    json!({"version": state.model.borrow().endpoint_list().version(), "full": full, "servers": servers})
}

async fn serve(state: &Rc<SiteState>, proxy: usize, http: &mut HttpConnection) -> io::Result<()> {
    let mut list_version = state.list_version.subscribe();
    while let Some(head) = http.read_request().await? {
        http.read_body(head.framing, |_| {}).await?;
        if !head.path.starts_with("/catalog/members") {
            http.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        if !state.admit_list_call() {
            let after = state.options.retry_after_s;
            let rejection = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {after}\r\nContent-Length: 0\r\n\r\n"
            );
            http.write(rejection.as_bytes()).await?;
            continue;
        }
        let from = query_parameter(&head.path, "from");
        if let (Some(from), Some(hold)) = (from, query_parameter(&head.path, "hold_ms")) {
            let hold = Duration::from_millis(hold).min(MAX_POLL_WAIT);
            tokio::select! {
                // Also returns at once if the caller's version is newer than the list.
                _ = list_version.wait_for(|version| *version != from) => {}
                () = tokio::time::sleep(hold) => {}
                () = http.closed() => return Ok(()),
            }
        }
        let (endpoints, full) = changes_since(state.model.borrow().endpoint_list(), from);
        let body = list(state, proxy, &endpoints, full).to_string();
        state.record_notified(proxy, &endpoints, full);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        http.write(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes()).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
