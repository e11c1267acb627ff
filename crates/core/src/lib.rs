//! The core of the proxy: the sole owner of the decision module and of all requests, attempts and timers. It knows no wire
//! format: the front hands it requests in the decision module's terms, and a [`Transport`] carries attempts to nodes.
//!
//! - [`engine`]: carries out the decision module's actions; each request gets one final answer.
//! - [`transport`]: what the engine needs of the side that talks to nodes.
//! - [`pending_response`]: the handle by which a client waits for its answer.
//! - [`limits`]: concurrency limits, queues and tenants' quotas, without I/O or clock.
//! - [`config`]: the configuration that the engine works by.
//! - [`counters`]: requests by outcome, for other threads to read.
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
mod seen_servers;
mod start_times;
pub mod transport;

pub use config::EngineConfig;
pub use counters::{RequestCounters, RequestCounts, RequestOutcome};
pub use deadline::deadline_margin;
pub use endpoint_list::Endpoint;
pub use engine::{Engine, IncomingRequest, QueueStatus, ReconfigureError};
pub use limits::Limits;
pub use pending_response::{Answer, PendingResponse};
pub use transport::{AttemptHandle, AttemptOutcome, Job, Transport};
