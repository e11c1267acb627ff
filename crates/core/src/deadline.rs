//! How much of a client's time is reserved for the network.

use aniseyoke_decision::api::Nanos;

/// The most that is reserved: a client's time runs from its sending, and the answer takes its time on the way back.
const MAX_MARGIN: Nanos = 10_000_000;
/// At most this part of the client's time is reserved, one in so many. Danger: some clients wait for little longer than an
/// answer takes; a margin made for long waits would leave them none.
const MARGIN_DIVISOR: Nanos = 12;

/// What is reserved of a client's time for the request's way here and the answer's way back.
pub fn deadline_margin(client_patience: Nanos) -> Nanos {
    MAX_MARGIN.min(client_patience / MARGIN_DIVISOR)
}

#[cfg(test)]
mod tests;
