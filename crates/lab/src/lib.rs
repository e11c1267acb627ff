//! The laboratory of aniseyoke: everything that a figure of this project needs and that CI can have.
//!
//! - [`day`]: a site and its day as one TOML file, checked whole before anything starts.
//! - [`world`]: the model of cache nodes, ledger, roster and troubles; no I/O, no clock of its own.
//! - [`site`]: the model on loopback sockets, in the platform's protocol.
//! - [`load`]: clients in open loop, well-behaved and not.
//! - [`audit`]: what clients sent and got and what nodes received, held against the rules.
//! - [`trial`]: one day from start to end: site, subjects, load, audit, report.
//! - [`rig`]: real proxies and stand-ins with faults on the links between them and on the processes.
//! - [`scale`]: a whole fleet, real proxies beside hollow ones, before one control service or a tree of relays.
//! - [`fleet`]: many real proxies behind one control service.
//! - [`sim`]: whole fleets in simulated time, with the real decision module.
//! - [`slopes`]: what one more node, change, route, proxy or request costs each role.
//! - [`capacity`]: the page of figures at the target's size, from slopes and runs.
//! - [`keeper`]: what a memcached server does with its values.
//! - [`floor`]: a bare pass-through, the least that any proxy costs.
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod capacity;
pub mod clock;
pub mod day;
pub mod fleet;
pub mod floor;
pub mod keeper;
pub mod load;
pub mod rig;
pub mod scale;
pub mod sim;
pub mod site;
pub mod slopes;
pub mod trial;
pub mod world;
