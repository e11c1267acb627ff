//! Decides by the head of a request how its body is framed, or why the request is rejected. A proxy and a node
//! that understand the framing in different ways see different requests in the same bytes (request smuggling),
//! or different values.

use super::rejection::Rejection;
use crate::transfer_coding::TransferCoding;
use hyper::StatusCode;

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It is chunked.
    Chunked,
    /// Its length is malformed; hyper rejects the request.
    Malformed,
}

/// Returns the framing of a request of HTTP/1.`minor_version` with these headers.
///
/// # Errors
/// If the framing is ambiguous, or the body has a coding that the proxy does not undo. Hyper would remove the
/// length without an error, or forward the body as it was coded.
pub fn of_request(minor_version: Option<u8>, headers: &[httparse::Header<'_>]) -> Result<Framing, Rejection> {
    let mut lengths = values(headers, "content-length");
    let length = lengths.next();
    let coding = TransferCoding::of(values(headers, "transfer-encoding"));
    match (coding, length) {
        (TransferCoding::None, None) => Ok(Framing::Length(0)),
        (TransferCoding::None, Some(length)) => Ok(parse_length(length)),
        (_, Some(_)) => Err(Rejection::bad_request("both Content-Length and Transfer-Encoding")),
        _ if minor_version == Some(0) => Err(Rejection::bad_request("Transfer-Encoding in HTTP/1.0")),
        (TransferCoding::Chunked, None) => Ok(Framing::Chunked),
        (TransferCoding::ChunkedOverOthers, None) => {
            Err(Rejection::new(StatusCode::NOT_IMPLEMENTED, "a transfer coding other than chunked"))
        }
        (TransferCoding::Undelimited, None) => {
            Err(Rejection::bad_request("a transfer coding behind chunked, or without it"))
        }
    }
}

/// Returns the values of all lines of a header, in their order.
fn values<'a>(headers: &'a [httparse::Header<'a>], name: &'static str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

fn parse_length(value: &[u8]) -> Framing {
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
    length.map_or(Framing::Malformed, Framing::Length)
}
