//! Calls at a list service, in simulated time: the day `join`, in which six in ten nodes are replaced within seconds.

use super::{Family, Quantity, Setup};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_sim::{Options, Service, Sim};
use std::time::Duration;

/// Before what is reported the load runs for so long.
const WARM: Duration = Duration::from_secs(2);
/// Nodes where proxies are the size, and the other way round.
const NODES_OF: usize = 60;
const PROXIES_OF: usize = 60;
/// The day is squeezed to this part of its length.
const PART: f64 = 0.5;

/// Against proxies.
pub const PROXIES: Family = Family {
    name: "list.proxies",
    role: "list service",
    against: "proxies, 60 nodes of which 36 are replaced",
    at: &[20.0, 40.0, 60.0, 100.0, 200.0],
    quantities: &[Quantity {
        name: "list.calls.proxies",
        quantity: "calls in the day (simulated)",
        unit: "1",
    }],
    measure: |_: &Setup, proxies| calls(proxies as usize, NODES_OF),
};

/// Against nodes.
pub const NODES: Family = Family {
    name: "list.nodes",
    role: "list service",
    against: "nodes of which six in ten are replaced, 60 proxies",
    at: &[20.0, 40.0, 60.0, 100.0, 200.0],
    quantities: &[Quantity { name: "list.calls.nodes", quantity: "calls in the day (simulated)", unit: "1" }],
    measure: |_: &Setup, nodes| calls(PROXIES_OF, nodes as usize),
};

fn calls(proxies: usize, nodes: usize) -> Result<Vec<f64>, String> {
    let day = Day::open("join").map_err(|e| e.to_string())?.squeezed(PART);
    let day = day.sized(proxies, nodes).map_err(|e| e.to_string())?;
    let list =
        Service { paced: false, takes: None, retry_after: Duration::from_secs(1), down: Duration::ZERO };
    let counts = Sim::new(&day, Options { warm: WARM, list: Some(list), ..Options::default() }).run();
    Ok(vec![counts.list_asks.iter().sum::<u64>() as f64])
}
