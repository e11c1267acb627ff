//! The ends of client connections as the proxies log them, which show how many requests the proxies have read and
//! answered.

use serde::Serialize;

/// Counts of the ends of connections in a log.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConnectionEnds {
    /// Number of connections that ended.
    pub ended: u64,
    /// Log lines of the connections on which a request was read but not answered.
    pub unanswered: Vec<String>,
    /// Number of connections that were closed with unread bytes.
    pub unread: u64,
    /// Number of connections that the client closed after a part of a request, when the proxy was about to close them.
    pub crossed: u64,
}

impl ConnectionEnds {
    /// Counts the ends of connections in a log.
    pub fn count(log: &str) -> Self {
        let mut ends = ConnectionEnds::default();
        for line in log.lines() {
            let Some(end) = parse(line) else { continue };
            ends.ended += 1;
            ends.unread += u64::from(end.unread_bytes > 0);
            ends.crossed += u64::from(end.crossed);
            if end.requests > end.answered || (end.partial_bytes > 0 && !end.partial_allowed) {
                ends.unanswered.push(line.to_owned());
            }
        }
        ends
    }
}

struct End {
    requests: u64,
    answered: u64,
    partial_bytes: u64,
    /// Whether the partial request was answered with an error, or the connection was not closed by the proxy.
    partial_allowed: bool,
    unread_bytes: u64,
    /// Whether the client closed the connection after a part of a request, when the proxy was about to close it.
    crossed: bool,
}

/// The causes of an end where a partial request gets an error response, or no client remains to receive one.
const ALLOWED_CAUSES: [&str; 3] = ["ended by its client", "its socket failed", "malformed head"];

/// Parses a line of this format:
///
/// `ADDRESS closed (CAUSE[; was to be closed: REASON]): N requests read, N answered, N bytes of another[ refused], N bytes unread`.
fn parse(line: &str) -> Option<End> {
    let (_, rest) = line.split_once(" closed (")?;
    let (causes, counts) = rest.rsplit_once("): ")?;
    let mut parts = counts.split(", ");
    let mut next = || {
        let part = parts.next()?;
        Some((part.split(' ').next()?.parse::<u64>().ok()?, part))
    };
    let (requests, _) = next()?;
    let (answered, _) = next()?;
    let (partial_bytes, partial) = next()?;
    let (unread_bytes, _) = next()?;
    let (cause, close_reason) =
        causes.split_once(';').map_or((causes, None), |(cause, rest)| (cause, Some(rest)));
    let partial_allowed = partial.ends_with("refused") || ALLOWED_CAUSES.contains(&cause);
    let crossed = partial_bytes > 0 && close_reason.is_some() && cause == "ended by its client";
    Some(End { requests, answered, partial_bytes, partial_allowed, unread_bytes, crossed })
}
