//! A request without its final answer, and its attempts.

use super::*;

/// An attempt to have a request answered by a server.
pub struct Attempt {
    /// Where it was sent.
    pub server: ServerId,
    /// The zone of that server.
    pub zone: u32,
    /// The cell of that server.
    pub cell: u32,
    /// When it was sent.
    pub sent: Nanos,
    /// It has not ended.
    pub pending: bool,
    /// It has ended, and may have run.
    pub may_have_run: bool,
}

/// What the last bad outcome of a request says of the servers.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum FailureCause {
    /// Nothing yet: if it ends so, it was late.
    #[default]
    Late,
    /// The server had no capacity left.
    Overloaded,
    /// The origin's doing, or the server's own fault: sending less would not mend it.
    Other,
}

impl FailureCause {
    /// What an outcome says; `fetch` where it had to come from the origin.
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

/// A request without its final answer.
#[derive(Default)]
pub struct ActiveRequest {
    /// The settings that it came under, which say where it may go until its answer.
    pub settings: Arc<Settings>,
    /// Index of its class.
    pub class: usize,
    /// Index of the pool that it is routed to.
    pub pool: Option<usize>,
    /// The bucket of its key.
    pub bucket: Option<u32>,
    /// It writes.
    pub write: bool,
    /// When its latency objective is reached.
    pub objective_at: Nanos,
    /// When its client gives up.
    pub deadline: Nanos,
    /// The client is getting its answer.
    pub answer_begun: bool,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// When it arrived.
    pub arrived: Nanos,
    /// It came with enough time for its end to say something of the servers.
    pub judges_servers: bool,
    /// It has little weight for its work.
    pub low_priority: bool,
    /// Its server will probably fetch it from the origin.
    pub fetch_expected: bool,
    /// What its last bad outcome says of the servers.
    pub failure_cause: FailureCause,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

impl ActiveRequest {
    /// Whether an attempt is in flight.
    pub fn has_pending(&self) -> bool {
        self.attempts.iter().any(|a| a.pending)
    }

    /// Whether its settings allow one more attempt.
    pub fn may_attempt_again(&self) -> bool {
        (self.attempts.len() as u32) < self.settings.max_attempts.max(1)
    }

    /// The time left to its objective, or to its deadline if that is sooner, in nanoseconds.
    pub fn time_left(&self, now: Nanos) -> f64 {
        self.objective_at.min(self.deadline).saturating_sub(now) as f64
    }
}
