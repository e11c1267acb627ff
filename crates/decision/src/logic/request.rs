//! Requests that are waiting for their final answer, and their attempts.

use super::*;

/// An attempt of a request at a server.
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// The zone of that server.
    pub zone: u32,
    /// The cell of that server.
    pub cell: u32,
    /// When it was sent.
    pub sent: Nanos,
    /// Whether it is still in flight.
    pub pending: bool,
    /// When the first byte of its answer arrived.
    pub response_started: Option<Nanos>,
    /// Whether it has ended and may have run.
    pub may_have_run: bool,
}

/// Why a request is not answered in time, by the outcome of its last attempt.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum FailureCause {
    /// No other cause is known: the request is late.
    #[default]
    Late,
    /// The server had no spare capacity.
    Overloaded,
    /// The origin, or a fault of the server that less load would not fix.
    Other,
}

impl FailureCause {
    /// Returns the cause that an outcome shows; `fetch` if the answer had to come from the origin.
    pub fn of(o: &Outcome, fetch: bool) -> Self {
        match o.status {
            Status::Rejected | Status::ConnectFailed => FailureCause::Overloaded,
            Status::Error | Status::Reset | Status::Miss => FailureCause::Other,
            Status::Ok if o.hit == Some(false) => FailureCause::Other,
            _ if fetch => FailureCause::Other,
            _ => FailureCause::Late,
        }
    }
}

/// A request that is waiting for its final answer.
#[derive(Default)]
pub struct ActiveRequest {
    /// The settings at its arrival; they apply to it until its final answer.
    pub settings: Arc<Settings>,
    /// Index of its class.
    pub class: usize,
    /// Index of the pool that it is routed to.
    pub pool: Option<usize>,
    /// The bucket of its key.
    pub bucket: Option<u32>,
    /// Whether it is a write.
    pub write: bool,
    /// Time at which its latency objective is reached.
    pub objective_at: Nanos,
    /// Time at which its client gives up.
    pub deadline: Nanos,
    /// Whether the proxy has begun to send the client its answer.
    pub answer_begun: bool,
    /// Whether a part of its body is still to come.
    pub body_pending: bool,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Time of its arrival.
    pub arrived: Nanos,
    /// Whether it arrived with enough time for its outcome to count for or against the servers.
    pub judges_servers: bool,
    /// Whether it has a low priority weight for its work.
    pub low_priority: bool,
    /// Whether its server will probably fetch the value from the origin.
    pub fetch_expected: bool,
    /// Why it is not answered in time, by the outcome of its last attempt.
    pub failure_cause: FailureCause,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

impl ActiveRequest {
    /// Whether an attempt is in flight.
    pub fn has_pending(&self) -> bool {
        self.attempts.iter().any(|a| a.pending)
    }

    /// Whether an attempt's answer began to arrive within the latency objective.
    pub fn response_started_in_time(&self) -> bool {
        let in_time = |a: &Attempt| a.response_started.is_some_and(|at| at <= self.objective_at);
        self.attempts.iter().any(in_time)
    }

    /// Whether its settings allow one more attempt.
    pub fn may_attempt_again(&self) -> bool {
        (self.attempts.len() as u32) < self.settings.max_attempts.max(1)
    }

    /// Returns the time left to its latency objective, or to its deadline if that is earlier, in nanoseconds.
    pub fn time_left(&self, now: Nanos) -> f64 {
        self.objective_at.min(self.deadline).saturating_sub(now) as f64
    }
}
