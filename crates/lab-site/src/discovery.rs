//! Discovery on its sockets: the whole list, and watches on its changes. Each proxy has an address of its own, so that
//! it is known what each was told when.

use super::hall::Hall;
use super::wire::Wire;
use aniseyoke_lab_world::{Line, Roster};
use serde_json::{json, Value};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A watch waits no longer than this.
const HOLD_MOST: Duration = Duration::from_secs(60);

/// Takes the calls of one proxy for as long as the site stands.
pub async fn attend(hall: Rc<Hall>, proxy: usize, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(connection(hall.clone(), proxy, stream))),
            Err(e) => {
                tracing::warn!("discovery for proxy {proxy}: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(hall: Rc<Hall>, proxy: usize, stream: TcpStream) {
    let mut up = hall.discovery.subscribe();
    let mut wire = Wire::new(stream);
    let down = async {
        // A site that ends takes discovery with it.
        let _ = up.wait_for(|up| !up).await;
    };
    let broken = tokio::select! {
        biased;
        () = down => true,
        served = serve(&hall, proxy, &mut wire) => served.is_err(),
    };
    if broken {
        wire.reset();
    }
}

/// The value of a parameter of a query.
pub fn parameter(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, v)| v.parse().ok())
}

/// What is told to who has `from`: changes, or the whole list.
fn news(roster: &Roster, from: Option<u64>) -> (Vec<Line>, bool) {
    match from.and_then(|from| roster.since(from)) {
        Some(changes) => (changes, false),
        None => (roster.all(), true),
    }
}

/// A list, or changes of one, in discovery's form, as proxy `proxy` is to be told it.
pub fn list(hall: &Hall, proxy: usize, lines: &[Line], whole: bool) -> Value {
    let told = |line: &Line| {
        let mut member = hall.member(*line)?;
        if let Some(mesh) = &hall.rigging.mesh {
            member.addr = mesh(proxy, member.addr, &member.kind);
        }
        Some(member.json())
    };
    let servers: Vec<Value> = lines.iter().filter_map(told).collect();
    json!({"version": hall.world.borrow().roster().version(), "full": whole, "servers": servers})
}

async fn serve(hall: &Rc<Hall>, proxy: usize, wire: &mut Wire) -> io::Result<()> {
    let mut listed = hall.listed.subscribe();
    while let Some(asked) = wire.request().await? {
        wire.body(asked.framing, |_| {}).await?;
        if !asked.path.starts_with("/catalog/members") {
            wire.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        if !hall.list_ask() {
            let after = hall.rigging.retry_after_s;
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {after}\r\nContent-Length: 0\r\n\r\n"
            );
            wire.write(refusal.as_bytes()).await?;
            continue;
        }
        let from = parameter(&asked.path, "from");
        if let (Some(from), Some(hold)) = (from, parameter(&asked.path, "hold_ms")) {
            let hold = Duration::from_millis(hold).min(HOLD_MOST);
            tokio::select! {
                // Newer than that, or from a future that this discovery does not know.
                _ = listed.wait_for(|version| *version != from) => {}
                () = tokio::time::sleep(hold) => {}
                () = wire.ended() => return Ok(()),
            }
        }
        let (lines, whole) = news(hall.world.borrow().roster(), from);
        let body = list(hall, proxy, &lines, whole).to_string();
        hall.told(proxy, &lines, whole);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
        wire.write(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes()).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
