//! Routing rules of the operators, without I/O or clock: which request goes to which pool ([`RoutingTable`]), what
//! operators change of nodes on top of the endpoint list ([`Overlay`]), and what a change of either would break
//! ([`review`](review::review)).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod overlay;
pub mod review;
pub mod table;

pub use overlay::Overlay;
pub use table::{RouteError, RouteRule, RoutingTable, MAX_PREFIX_BYTES};

/// What operators say of requests and of nodes. Classes, tenants and pools are named by their indexes in the settings.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Which requests go to which pool.
    pub table: RoutingTable<u32>,
    /// What is changed of nodes.
    pub overlay: Overlay,
}
