//! How a proxy whose calls are not paced watches the list: how long a call asks discovery to wait, when it is given up,
//! and by when the next goes out whatever became of it ([`told`](crate::told)).

use super::told::{ANSWERED, CALL_WITHIN, TURN};
use super::{Nanos, SECOND};

/// The shortest wait that is asked for.
const HOLD_LEAST: Nanos = SECOND;
/// How long discovery may take beyond the wait that it was asked for.
const GRACE: Nanos = SECOND;
/// The same once no answer came in that time: it may be that calls wait for their turn.
const GRACE_MOST: Nanos = TURN;
/// How long the first call for the whole list may take, which waits for nothing.
const WHOLE: Nanos = 1200 * SECOND / 1000;

/// One proxy's watch.
#[derive(Clone, Debug)]
pub struct Watch {
    hold: Nanos,
    /// No answer came in time, and none has come in time since.
    slow: bool,
    /// There was no answer since the last one, or since the start.
    failed: bool,
    /// When the last call went out.
    last: Nanos,
}

impl Watch {
    /// By the time within which the platform wants the list asked for, in nanoseconds; 0: it names none.
    pub fn new(must_ask_in: Nanos) -> Self {
        let most = CALL_WITHIN - GRACE;
        let hold = match must_ask_in {
            0 => most,
            limit => (limit / 2).clamp(HOLD_LEAST, most),
        };
        Watch { hold, slow: false, failed: false, last: 0 }
    }

    /// A call goes out.
    pub fn called(&mut self, now: Nanos) {
        self.last = now;
    }

    /// For how long a call that goes out now asks discovery to wait for a change.
    pub fn hold(&self) -> Nanos {
        // Danger: a call that waits for long and is then given more time as well may be silent for longer than there is.
        if self.slow {
            self.hold.min(CALL_WITHIN - GRACE_MOST)
        } else {
            self.hold
        }
    }

    /// After what time a call is given up; `whole`: it is for the whole list, and asks for no wait. Danger: a call that is
    /// given up before its turn came is one more that waits for a turn, and nothing is ever heard.
    pub fn limit(&self, whole: bool) -> Nanos {
        match (whole, self.failed) {
            (true, false) => WHOLE,
            (true, true) => ANSWERED,
            (false, _) => (self.hold() + if self.slow { GRACE_MOST } else { GRACE }).max(ANSWERED),
        }
    }

    /// An answer has come.
    pub fn answered(&mut self, now: Nanos) {
        if now.saturating_sub(self.last) < self.hold() + GRACE {
            self.slow = false;
        }
        self.failed = false;
    }

    /// There was no answer in time. Returns whether that says no more than that this one call was lost, and the next goes
    /// out at once.
    pub fn late(&mut self) -> bool {
        self.failed = true;
        !std::mem::replace(&mut self.slow, true)
    }

    /// The call failed otherwise, or was refused.
    pub fn failed(&mut self) {
        self.failed = true;
    }

    /// When the next call goes out at the latest, if the last one got no answer.
    pub fn by(&self) -> Option<Nanos> {
        self.failed.then(|| self.last.saturating_add(CALL_WITHIN))
    }

    /// Discovery is at another address: what was learned of the old one is void.
    pub fn moved(&mut self) {
        (self.slow, self.failed) = (false, false);
    }
}

#[cfg(test)]
mod tests;
