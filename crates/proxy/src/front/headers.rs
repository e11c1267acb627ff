//! Headers that the proxy reads or does not forward.

use hyper::header::{self, HeaderMap, HeaderName};

/// The request id, chosen by the client.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");

/// The key by which a node recognizes a repeated write.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that are forwarded even if `Connection` names them: they are meant for the node, and a request must
/// not reach it without them.
const END_TO_END: [HeaderName; 2] = [CORRELATION_ID, IDEMPOTENCY_KEY];

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Removes the hop-by-hop headers: the standard ones, and those that `Connection` names, but for
/// [`END_TO_END`].
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
