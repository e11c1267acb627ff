//! The endpoint list in the discovery service's format, and its conversion to the decision module's entries.

use super::Names;
use aniseyoke_decision::api::{server_id, Entry, Nanos, State};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// State of a cache node that has been removed from the list.
const GONE: &str = "gone";

/// The list of cache nodes, or changes to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Version of the list that includes these changes.
    pub version: u64,
    /// Whether this is the full list: nodes that it does not contain are gone.
    pub full: bool,
    /// The nodes, or those that changed.
    pub servers: Vec<Endpoint>,
}

/// A cache node as listed by the discovery service.
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
    /// Returns the node's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Whether the node has been removed from the list.
    pub fn gone(&self) -> bool {
        self.state == GONE
    }
}

impl Names {
    /// Converts a list to the decision module's entries, with the nodes' addresses where they are valid.
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
                // A node in an unknown state gets no new requests.
                _ => State::Draining,
            },
            weight: endpoint.weight.unwrap_or(1.0),
            started: (endpoint.started_ms.unwrap_or(0.0) * 1e6) as Nanos,
        };
        (entry, endpoint.addr.parse().ok())
    }
}

/// Returns the index of a name in the settings. Unknown names share one number after the known ones.
fn number(names: &[String], name: &Value) -> u32 {
    let known = name.as_str().and_then(|name| names.iter().position(|n| n == name));
    known.unwrap_or(names.len()) as u32
}
