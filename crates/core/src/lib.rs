//! The core of the proxy: the sole owner of the decision module and of all requests, attempts and timers. It knows no
//! wire format; a front hands it requests in the module's terms, and a node side ([`fleet::Fleet`]) carries them.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
pub mod config;
pub mod counters;
mod endpoint_list;
pub mod engine;
pub mod fleet;
pub mod limits;
mod seen_servers;
pub mod ticket;

pub use clock::margin;
pub use config::EngineConfig;
pub use counters::{RequestCounters, RequestCounts, RequestOutcome};
pub use endpoint_list::Endpoint;
pub use engine::{Asked, Engine};
pub use fleet::{Ended, Fleet, Job, Tether};
pub use limits::Limits;
pub use ticket::{Answer, Ticket};
