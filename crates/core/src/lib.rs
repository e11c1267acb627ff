//! The core of the proxy: the sole owner of the decision module and of all requests, attempts and timers. It knows no
//! wire format; a front hands it requests in the module's terms, and a node side ([`fleet::Fleet`]) carries them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod engine;
pub mod fleet;

pub use engine::{Answer, Asked, Engine, Ticket};
pub use fleet::{Ended, Fleet, Job, Tether};
