//! The part of a client's timeout that is reserved for network delay.

use aniseyoke_decision::api::Nanos;

/// Maximum margin in nanoseconds. A client's timeout starts when it sends the request, and the answer needs
/// time to travel back.
const MAX_MARGIN: Nanos = 10_000_000;
/// The margin is at most the client's timeout divided by this. Some clients wait only a little longer than an
/// answer takes, and a margin sized for long timeouts would leave them no time.
const MARGIN_DIVISOR: Nanos = 12;

/// Returns the time reserved for the transfer of the request from the client and of the answer back to it.
pub fn deadline_margin(client_timeout: Nanos) -> Nanos {
    MAX_MARGIN.min(client_timeout / MARGIN_DIVISOR)
}

#[cfg(test)]
mod tests;
