//! Where requests may go by the operators' word, without I/O or clock: which request goes to which pool ([`Table`]), what
//! operators say of nodes on top of the list ([`Overlay`]), and what a change of either would cost ([`review`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod overlay;
pub mod review;
pub mod table;

pub use overlay::Overlay;
pub use table::{Fault, Rule, Table, PREFIX_MOST};

/// What is said of requests and of nodes. Classes, tenants and pools go by their numbers in the settings.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Which requests go to which pool.
    pub table: Table<u32>,
    /// What is said of nodes.
    pub overlay: Overlay,
}
