//! The endpoint list in the discovery service's form, and its translation to the decision module's.

use super::Names;
use aniseyoke_decision::api::{server_id, Entry, Nanos, State};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// The state of a cache node that has left the list.
const GONE: &str = "gone";

/// A list of cache nodes, or changes of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// The version of the list with this.
    pub version: u64,
    /// Whether this is the full list: what it does not name is gone.
    pub full: bool,
    /// The nodes.
    pub servers: Vec<Endpoint>,
}

/// A cache node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    id: String,
    #[serde(default)]
    addr: String,
    #[serde(default)]
    zone: Value,
    #[serde(default)]
    kind: Value,
    #[serde(default)]
    cell: Option<u32>,
    state: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: Option<f64>,
}

impl Endpoint {
    /// The node's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Whether it has left the list.
    pub fn gone(&self) -> bool {
        self.state == GONE
    }
}

impl Names {
    /// A list in the decision module's form, with the addresses of its nodes.
    pub fn entries(&self, list: &EndpointList) -> Vec<(Entry, Option<SocketAddr>)> {
        list.servers.iter().map(|endpoint| self.entry(endpoint)).collect()
    }

    fn entry(&self, endpoint: &Endpoint) -> (Entry, Option<SocketAddr>) {
        let entry = Entry {
            server: server_id(&endpoint.id),
            zone: number(&self.zones, &endpoint.zone),
            kind: number(&self.kinds, &endpoint.kind),
            cell: endpoint.cell.unwrap_or(0),
            state: match endpoint.state.as_str() {
                "ready" => State::Ready,
                GONE => State::Gone,
                // A state that is new here gets nothing new.
                _ => State::Draining,
            },
            weight: endpoint.weight.unwrap_or(1.0),
            started: (endpoint.started_ms.unwrap_or(0.0) * 1e6) as Nanos,
        };
        (entry, endpoint.addr.parse().ok())
    }
}

/// The number of a name; one that the settings do not list is none of those that they do.
fn number(names: &[String], name: &Value) -> u32 {
    let known = name.as_str().and_then(|name| names.iter().position(|n| n == name));
    known.unwrap_or(names.len()) as u32
}
