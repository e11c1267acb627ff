//! By when a proxy has to have a change of the endpoint list, and what that leaves for each call.
//!
//! The platform counts a proxy as notified of a change a fixed time after the discovery service had the change and could
//! be reached, whatever became of the calls before. So of any two consecutive calls the second has to start soon enough
//! after the start of the first, and each has to be given enough time for an answer.

use super::{Nanos, SECOND};

/// A proxy counts as notified of a change so long after the discovery service had it and could be reached.
pub const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;
/// A call may wait so long in the queue of the discovery service.
pub const MAX_QUEUE_WAIT: Nanos = 2 * SECOND;
/// A connection takes at most so long to open where nothing is wrong.
pub const CONNECT_TIME: Nanos = SECOND / 5;
/// Reserved for timers that fire late and for the answer's way back.
pub const SAFETY_MARGIN: Nanos = SECOND / 5;
/// No call is given less time than this: a discovery service that can be reached answers within it.
pub const MIN_CALL_TIMEOUT: Nanos = CONNECT_TIME + MAX_QUEUE_WAIT;
/// The longest time from the start of one call to the start of the next. In the worst case discovery becomes reachable just
/// after the first call started, and that call fails or is never answered.
pub const MAX_CALL_INTERVAL: Nanos = NOTIFICATION_DEADLINE - SAFETY_MARGIN - MIN_CALL_TIMEOUT;
