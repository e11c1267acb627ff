//! The clients of a day: how many requests of which kinds they send, and how they behave.

use serde::Deserialize;
use std::time::Duration;

/// The requests of a day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second over all proxies, retries not counted.
    pub rate: f64,
    /// The rate rises and falls by this fraction.
    #[serde(default)]
    pub swing: f64,
    /// The length of one rise and fall.
    #[serde(default = "default_swing_period", rename = "period", with = "humantime_serde")]
    pub swing_period: Duration,
    /// Number of keys.
    pub keys: u64,
    /// The exponent of their popularity (Zipf).
    pub zipf: f64,
    /// Mean length of a response, in bytes.
    #[serde(default = "default_response_bytes", rename = "answer_bytes")]
    pub response_bytes: u64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// What clients do after a failed response.
    #[serde(default)]
    pub retries: Retries,
    /// Clients that are slow, abort, or stay idle.
    #[serde(default, rename = "rude")]
    pub misbehaving: MisbehavingClients,
    /// Clients that lose patience for a while.
    #[serde(default, rename = "hasty")]
    pub impatient: Option<ImpatientClients>,
}

fn default_swing_period() -> Duration {
    Duration::from_secs(20)
}
fn default_response_bytes() -> u64 {
    600
}

/// Clients that give each of their attempts little time for a while, and retry at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ImpatientClients {
    /// From when their requests are due.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// The fraction of the clients that is impatient.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// The time that they give each attempt.
    #[serde(rename = "try", with = "humantime_serde")]
    pub attempt_timeout: Duration,
    /// Retries after the first attempt.
    #[serde(rename = "again")]
    pub max_retries: u32,
}

/// Whether a request of a class may be executed again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// It carries an idempotency key, by which repeats are dropped for a time.
    #[serde(rename = "keyed")]
    WithKey,
    /// It must never be executed twice.
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
    /// Whether it may be executed again.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Whether it writes.
    #[serde(default)]
    pub write: bool,
    /// Mean work of a request, on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Standard deviation of the work over its mean (log-normal).
    #[serde(default = "default_work_spread")]
    pub work_spread: f64,
    /// A response counts as good up to here.
    #[serde(rename = "aim", with = "humantime_serde")]
    pub latency_objective: Duration,
    /// The client gives up here.
    #[serde(rename = "give_up", with = "humantime_serde")]
    pub deadline: Duration,
    /// Priority weight of a request.
    #[serde(rename = "worth")]
    pub weight: f64,
    /// Mean length of a written body, in bytes.
    #[serde(default)]
    pub body_bytes: u64,
}

fn default_work_spread() -> f64 {
    1.0
}

/// A tenant with its part of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name in the header.
    pub name: String,
    /// Fraction of the traffic that it is entitled to.
    pub share: f64,
    /// What it sends, as a multiple of that.
    #[serde(default = "default_usage")]
    pub usage: f64,
}

fn default_usage() -> f64 {
    1.0
}

/// What clients do after a failed response.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Retries after the first attempt.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// The wait before the first retry; it doubles with each, and is drawn between half and all of that.
    #[serde(rename = "wait", with = "humantime_serde")]
    pub initial_backoff: Duration,
    /// Fraction of the clients that honor `Retry-After`.
    #[serde(rename = "heed")]
    pub honor_retry_after: f64,
    /// An attempt is given up after this fraction of the class's deadline.
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

/// Clients that are slow, abort, or stay idle.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MisbehavingClients {
    /// Connections that are opened at the start and never used.
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
