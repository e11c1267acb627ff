//! The core of the proxy. It owns the decision module and all requests, attempts and timers. It does not
//! depend on a wire format: callers submit requests in the decision module's terms, and a [`Transport`] sends
//! attempts to nodes.
//!
//! - [`engine`]: executes the decision module's actions and gives each request exactly one final answer.
//! - [`transport`]: the interface between the engine and the code that communicates with nodes.
//! - [`pending_response`]: the handle by which a client waits for its answer.
//! - [`limits`]: concurrency limits, queues and tenant quotas, without I/O and without a clock.
//! - [`config`]: the engine's configuration.
//! - [`counters`]: counters of requests by outcome, readable from other threads.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
pub mod config;
pub mod counters;
mod deadline;
mod endpoint_list;
pub mod engine;
pub mod limits;
pub mod pending_response;
mod start_times;
pub mod transport;

pub use config::EngineConfig;
pub use counters::{RequestCounters, RequestCounts, RequestOutcome};
pub use deadline::deadline_margin;
pub use endpoint_list::Endpoint;
pub use engine::{Engine, IncomingRequest, QueueStatus, ReconfigureError};
pub use limits::Limits;
pub use pending_response::{Answer, PendingResponse};
pub use transport::{AttemptHandle, AttemptOutcome, Job, ResponseWait, Transport};
