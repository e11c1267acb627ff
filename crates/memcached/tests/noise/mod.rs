//! Properties of the codec that hold for arbitrary bytes, shared by the property tests and the fuzz target.

use aniseyoke_memcached::{encode, Decoder, Direction, Header, Limits, Part, ProtocolError};
use bytes::BytesMut;

/// Maximum length of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1000;

/// A decoded packet: its header, its value or why it is invalid, and whether its end was reached.
#[derive(Debug, PartialEq)]
enum Decoded {
    Packet(Header, Vec<u8>, bool),
    InvalidRequest(Header, aniseyoke_memcached::decode::InvalidRequest, bool),
}

/// Decodes bytes that arrive `step` at a time.
fn decode(direction: Direction, bytes: &[u8], step: usize) -> (Vec<Decoded>, Option<ProtocolError>) {
    let mut decoder =
        Decoder::new(direction, Limits { max_value_bytes: MAX_VALUE_BYTES, ..Limits::default() });
    let (mut buffer, mut packets) = (BytesMut::new(), Vec::new());
    for part in bytes.chunks(step.max(1)) {
        buffer.extend_from_slice(part);
        loop {
            match decoder.next(&mut buffer) {
                Ok(None) => break,
                Ok(Some(Part::Header(header))) => packets.push(Decoded::Packet(header, Vec::new(), false)),
                Ok(Some(Part::Invalid(header, invalid))) => {
                    packets.push(Decoded::InvalidRequest(header, invalid, false));
                }
                Ok(Some(Part::Value(value))) => match packets.last_mut() {
                    Some(Decoded::Packet(_, all, false)) => all.extend_from_slice(&value),
                    other => panic!("a value after {other:?}"),
                },
                Ok(Some(Part::End)) => match packets.last_mut() {
                    Some(Decoded::Packet(header, value, ended @ false)) => {
                        assert_eq!(header.value_len, value.len());
                        *ended = true;
                    }
                    Some(Decoded::InvalidRequest(_, _, ended @ false)) => *ended = true,
                    other => panic!("an end after {other:?}"),
                },
                Err(error) => return (packets, Some(error)),
            }
        }
        assert!(buffer.len() < 24 + 20 + 250, "more is buffered than a header needs");
    }
    (packets, None)
}

/// Checks that bytes are decoded alike whether they arrive at once or one by one, and that encoding the
/// decoded packets gives the same bytes.
pub fn check_codec(bytes: &[u8]) {
    for direction in [Direction::Request, Direction::Response] {
        let (at_once, one_by_one) = (decode(direction, bytes, bytes.len()), decode(direction, bytes, 1));
        assert_eq!(at_once, one_by_one);
        if direction == Direction::Request {
            check_encoding(bytes, &at_once.0);
        }
    }
}

/// Checks that the packets up to the first invalid or incomplete one are encoded to the bytes that they were
/// decoded from.
fn check_encoding(bytes: &[u8], packets: &[Decoded]) {
    let mut written = Vec::new();
    for packet in packets {
        let Decoded::Packet(header, value, true) = packet else { break };
        encode::packet(Direction::Request, header, value, &mut written).expect("it was decoded");
    }
    assert_eq!(&bytes[..written.len()], written);
}
