//! The deadline by which a proxy receives a change of the endpoint list, and the call timeouts that follow
//! from it.
//!
//! The platform counts a proxy as notified of a change a fixed time after the discovery service has the
//! change and is reachable, even if earlier calls failed. The interval between the starts of consecutive
//! calls is therefore bounded, and each call is given enough time for an answer.

use super::{Nanos, SECOND};

/// The time from when the discovery service has a change and is reachable until a proxy counts as notified of
/// it.
pub const NOTIFICATION_DEADLINE: Nanos = 6 * SECOND;
/// The longest time a call may wait in the queue of the discovery service.
pub const MAX_QUEUE_WAIT: Nanos = 2 * SECOND;
/// The longest time to open a connection in the absence of faults.
pub const CONNECT_TIME: Nanos = SECOND / 5;
/// Reserved for timers that fire late and for the transfer of the answer.
pub const SAFETY_MARGIN: Nanos = SECOND / 5;
/// The shortest call timeout: a reachable discovery service answers within it.
pub const MIN_CALL_TIMEOUT: Nanos = CONNECT_TIME + MAX_QUEUE_WAIT;
/// The longest time from the start of one call to the start of the next. In the worst case the discovery
/// service becomes reachable just after the first call started, and that call fails or is never answered.
pub const MAX_CALL_INTERVAL: Nanos = NOTIFICATION_DEADLINE - SAFETY_MARGIN - MIN_CALL_TIMEOUT;
