//! Operators' calls, and their parser for HTTP requests.

use super::reply::AdminReply;
use crate::transfer_coding::TransferCoding;
use serde::Deserialize;

/// Maximum length of a call, head and body together.
pub(super) const MAX_CALL_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 64;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Returns whether this process can serve.
    Ready,
    /// Bans the cache node with this id: it gets no requests.
    Exclude(String),
    /// Lifts the ban of the cache node with this id.
    Include(String),
    /// Starts the drain: health checks fail, so that clients move to other proxies.
    Evacuate,
    /// Ends the drain.
    Rejoin,
    /// Returns the versions of the program and of its configuration.
    Version,
}

/// Parses a call. Returns `None` as long as more bytes are needed to complete or reject it.
pub(super) fn parse(received: &[u8]) -> Option<Result<Call, AdminReply>> {
    if received.len() > MAX_CALL_BYTES {
        return Some(Err(AdminReply::BadCall("the call is too long")));
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(received) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => return Some(Err(AdminReply::BadCall("the head is malformed"))),
    };
    let target = head.path.unwrap_or("");
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let method = match path {
        "/api/ready" | "/api/version" => "GET",
        "/api/exclude" | "/api/include" | "/api/evacuate" | "/api/rejoin" => "POST",
        _ => return Some(Err(AdminReply::NotFound("no such path"))),
    };
    if head.method != Some(method) {
        return Some(Err(AdminReply::MethodNotAllowed(method)));
    }
    let body = match body(head.version, head.headers, &received[length..])? {
        Ok(body) => body,
        Err(reply) => return Some(Err(reply)),
    };
    Some(match path {
        "/api/ready" => Ok(Call::Ready),
        "/api/version" => Ok(Call::Version),
        "/api/evacuate" => Ok(Call::Evacuate),
        "/api/rejoin" => Ok(Call::Rejoin),
        "/api/exclude" => id(&body).map(Call::Exclude),
        _ => id(&body).map(Call::Include),
    })
}

/// Returns the body, or `None` as long as more bytes are needed to complete or reject it.
fn body(
    minor_version: Option<u8>,
    headers: &[httparse::Header<'_>],
    received: &[u8],
) -> Option<Result<Vec<u8>, AdminReply>> {
    let values = |name: &'static str| {
        headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    };
    let mut lengths = values("content-length");
    let length = lengths.next();
    let coding = TransferCoding::of(values("transfer-encoding"));
    if lengths.next().is_some() || length.is_some() && coding != TransferCoding::None {
        return Some(Err(AdminReply::BadCall("the length is told twice")));
    }
    match coding {
        TransferCoding::None => {}
        TransferCoding::Chunked if minor_version != Some(0) => return decode_chunks(received),
        _ => return Some(Err(AdminReply::BadCall("the body has an unknown coding"))),
    }
    let digits = |v: &&[u8]| !v.is_empty() && v.iter().all(u8::is_ascii_digit);
    let length = match length {
        None => Some(0),
        Some(v) => Some(v).filter(digits).and_then(|v| std::str::from_utf8(v).ok()?.parse::<usize>().ok()),
    };
    match length {
        None => Some(Err(AdminReply::BadCall("the length is no number"))),
        Some(length) if length > MAX_CALL_BYTES => Some(Err(AdminReply::BadCall("the call is too long"))),
        Some(length) => received.get(..length).map(|body| Ok(body.to_vec())),
    }
}

/// Decodes a chunked body. Returns `None` as long as chunks are missing.
fn decode_chunks(mut received: &[u8]) -> Option<Result<Vec<u8>, AdminReply>> {
    const MALFORMED: AdminReply = AdminReply::BadCall("the chunks are malformed");
    let mut body = Vec::new();
    loop {
        let (from, size) = match httparse::parse_chunk_size(received) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => return Some(Err(MALFORMED)),
        };
        if size == 0 {
            return Some(Ok(body));
        }
        let Some(to) = usize::try_from(size).ok().filter(|s| *s <= MAX_CALL_BYTES).map(|s| from + s) else {
            return Some(Err(AdminReply::BadCall("the call is too long")));
        };
        body.extend_from_slice(received.get(from..to)?);
        if received.get(to..to + 2)? != b"\r\n" {
            return Some(Err(MALFORMED));
        }
        received = &received[to + 2..];
    }
}

fn id(body: &[u8]) -> Result<String, AdminReply> {
    #[derive(Deserialize)]
    struct NodeId {
        id: String,
    }
    let node: Result<NodeId, _> = serde_json::from_slice(body);
    node.map(|node| node.id).map_err(|_| AdminReply::BadCall("the body is not {id: text} in JSON"))
}

#[cfg(test)]
mod tests;
