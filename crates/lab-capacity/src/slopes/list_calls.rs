//! Calls to a list service in simulated time: the day `join`, in which six in ten nodes are replaced within seconds.

use super::{Family, Quantity, Setup};
use crate::MeasureError;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_sim::{ListService, Options, Sim};
use std::time::Duration;

/// The time that the load runs before the reported part.
const WARM_UP: Duration = Duration::from_secs(2);
/// Nodes in the family over proxies.
const NODES_FIXED: usize = 60;
/// Proxies in the family over nodes.
const PROXIES_FIXED: usize = 60;
/// The fraction of its length to which the day is shortened.
const DAY_LENGTH_FRACTION: f64 = 0.5;

/// Calls against the number of proxies.
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
    measure: |_: &Setup, proxies| calls(proxies as usize, NODES_FIXED),
};

/// Calls against the number of nodes.
pub const NODES: Family = Family {
    name: "list.nodes",
    role: "list service",
    against: "nodes of which six in ten are replaced, 60 proxies",
    at: &[20.0, 40.0, 60.0, 100.0, 200.0],
    quantities: &[Quantity { name: "list.calls.nodes", quantity: "calls in the day (simulated)", unit: "1" }],
    measure: |_: &Setup, nodes| calls(PROXIES_FIXED, nodes as usize),
};

fn calls(proxies: usize, nodes: usize) -> Result<Vec<f64>, MeasureError> {
    let day = Day::open("join")?.shortened(DAY_LENGTH_FRACTION);
    let day = day.resized(proxies, nodes)?;
    let list = ListService {
        paced: false,
        max_per_second: None,
        retry_after: Duration::from_secs(1),
        down: Duration::ZERO,
    };
    let counts = Sim::new(&day, Options { warm_up: WARM_UP, list: Some(list), ..Options::default() }).run();
    Ok(vec![counts.list_calls.iter().sum::<u64>() as f64])
}
