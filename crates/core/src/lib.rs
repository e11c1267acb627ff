//! The core of the proxy: the sole owner of the decision module and of all requests, attempts and timers. It knows no
//! wire format; a front hands it requests in the module's terms, and a node side ([`fleet::Fleet`]) carries them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
pub mod engine;
pub mod fleet;
pub mod limits;
mod listed;
mod listing;
pub mod plan;
mod starts;
pub mod tally;
pub mod ticket;

pub use clock::margin;
pub use engine::{Asked, Engine};
pub use fleet::{Ended, Fleet, Job, Tether};
pub use limits::Limits;
pub use plan::Plan;
pub use tally::Tally;
pub use ticket::{Answer, Ticket};
