//! Routing rules of the operators, without I/O or clock: the pool of each request ([`RoutingTable`]),
//! overrides of nodes on top of the endpoint list ([`Overlay`]), and a check of what a change of either would
//! break ([`review`](review::review)).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod overlay;
pub mod review;
pub mod table;

pub use overlay::Overlay;
pub use table::{RouteError, RouteRule, RoutingTable, MAX_PREFIX_BYTES};

/// The routes and node overrides of the operators. Classes, tenants and pools are given by index in the
/// settings.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The routes of requests to pools.
    pub table: RoutingTable<u32>,
    /// The overrides of nodes.
    pub overlay: Overlay,
}
