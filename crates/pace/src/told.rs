//! By when a proxy has to have a change of the list, and what that leaves for each call. A change counts as told so long
//! after discovery had it and could be reached, whatever became of the calls before: so of any two calls one upon the
//! other the second goes out soon enough after the first went out, and each is given time for an answer.

use super::{Nanos, SECOND};

/// A change counts as told so long after discovery had it and could be reached.
pub const TOLD_AFTER: Nanos = 6 * SECOND;
/// A call may wait so long for its turn at discovery.
pub const TURN: Nanos = 2 * SECOND;
/// A connection takes so long to come up where all is well.
pub const OPENING: Nanos = SECOND / 5;
/// What is kept for timers that run late and for the answer's way.
pub const MARGIN: Nanos = SECOND / 5;
/// No call is given less than this: in that time a discovery that can be reached answers what it knows.
pub const ANSWERED: Nanos = OPENING + TURN;
/// From one call to the next at most. Worst order: discovery can be reached from just after the one went out on, and
/// so that one fails, or says nothing.
pub const CALL_WITHIN: Nanos = TOLD_AFTER - MARGIN - ANSWERED;
