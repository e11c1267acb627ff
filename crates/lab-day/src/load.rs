//! The clients of a day: the rate and kinds of their requests, and their behavior.

use serde::Deserialize;
use std::time::Duration;

/// The load of a day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second over all proxies, without retries.
    pub rate: f64,
    /// The rate oscillates by this fraction of its mean.
    #[serde(default)]
    pub swing: f64,
    /// The period of the oscillation.
    #[serde(default = "default_swing_period", rename = "period", with = "humantime_serde")]
    pub swing_period: Duration,
    /// Number of keys.
    pub keys: u64,
    /// The Zipf exponent of the keys' popularity.
    pub zipf: f64,
    /// Mean length of a response, in bytes.
    #[serde(default = "default_response_bytes", rename = "answer_bytes")]
    pub response_bytes: u64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// How clients retry after a failed attempt.
    #[serde(default)]
    pub retries: Retries,
    /// Clients that are slow, disconnect early, or stay idle.
    #[serde(default, rename = "rude")]
    pub misbehaving: MisbehavingClients,
    /// Clients with short timeouts and immediate retries for part of the day.
    #[serde(default, rename = "hasty")]
    pub impatient: Option<ImpatientClients>,
}

fn default_swing_period() -> Duration {
    Duration::from_secs(20)
}
fn default_response_bytes() -> u64 {
    600
}

/// Clients that, for part of the day, use a short timeout for each attempt and retry immediately.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ImpatientClients {
    /// When the period begins; requests that are due in it can be impatient.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The length of the period.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// The fraction of the requests whose client is impatient.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// The timeout of each attempt.
    #[serde(rename = "try", with = "humantime_serde")]
    pub attempt_timeout: Duration,
    /// Retries after the first attempt.
    #[serde(rename = "again")]
    pub max_retries: u32,
}

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    #[serde(rename = "safe")]
    Idempotent,
    /// The request has an idempotency key, by which the origin drops repeated requests for a limited time.
    #[serde(rename = "keyed")]
    WithKey,
    /// The request must never be executed twice.
    #[serde(rename = "unsafe")]
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in the path.
    pub name: String,
    /// Fraction of the traffic.
    pub share: f64,
    /// Whether its requests may be executed more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Whether its requests are writes.
    #[serde(default)]
    pub write: bool,
    /// Mean work of a request, on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Standard deviation of the work over its mean (log-normal).
    #[serde(default = "default_work_spread")]
    pub work_spread: f64,
    /// Responses within this latency count as good.
    #[serde(rename = "aim", with = "humantime_serde")]
    pub latency_objective: Duration,
    /// The client gives up after this time.
    #[serde(rename = "give_up", with = "humantime_serde")]
    pub deadline: Duration,
    /// Priority weight of a request.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// Mean length of a write's body, in bytes.
    #[serde(default)]
    pub body_bytes: u64,
}

fn default_work_spread() -> f64 {
    1.0
}

/// A tenant and its share of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name in the `X-Account` header.
    pub name: String,
    /// Fraction of the traffic that it is entitled to.
    pub share: f64,
    /// The traffic that it sends, as a multiple of its share.
    #[serde(default = "default_usage")]
    pub usage: f64,
}

fn default_usage() -> f64 {
    1.0
}

/// How clients retry after a failed attempt.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries after the first attempt.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// The backoff before the first retry. It doubles with each retry; the actual delay is drawn from half the backoff
    /// to all of it.
    #[serde(rename = "wait", with = "humantime_serde")]
    pub initial_backoff: Duration,
    /// Fraction of the clients that honor `Retry-After`.
    #[serde(rename = "heed")]
    pub honor_retry_after: f64,
    /// The timeout of an attempt, as a fraction of the class's deadline.
    #[serde(rename = "try_part")]
    pub attempt_timeout_fraction: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            max_retries: 2,
            initial_backoff: Duration::from_millis(100),
            honor_retry_after: 0.85,
            attempt_timeout_fraction: 0.7,
        }
    }
}

/// Clients that are slow, disconnect early, or stay idle.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MisbehavingClients {
    /// Number of connections that are opened at the start and never used.
    #[serde(rename = "idle")]
    pub idle_connections: usize,
    /// Fraction of the requests whose client reads slowly.
    pub slow_readers: f64,
    /// Fraction whose client writes its request in pieces.
    pub slow_writers: f64,
    /// Fraction whose client disconnects in the middle of its request.
    #[serde(rename = "leave_asking")]
    pub abort_sending: f64,
    /// Fraction whose client disconnects before its response.
    #[serde(rename = "leave_waiting")]
    pub abort_waiting: f64,
}
