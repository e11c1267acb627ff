//! What holds for any bytes whatever, shared by the property tests and the fuzz target.

use aniseyoke_memcached::{encode, Decoder, Direction, Header, Limits, Part, ProtocolError};
use bytes::BytesMut;

/// Values up to this length are taken, in bytes.
const MAX_VALUE_BYTES: usize = 1000;

/// A packet as it was read: its header, or why it was passed over, and its value.
#[derive(Debug, PartialEq)]
enum Read {
    Packet(Header, Vec<u8>, bool),
    InvalidRequest(Header, aniseyoke_memcached::decode::InvalidRequest, bool),
}

/// Reads bytes that come `step` at a time.
fn read(side: Direction, bytes: &[u8], step: usize) -> (Vec<Read>, Option<ProtocolError>) {
    let mut decoder = Decoder::new(side, Limits { max_value_bytes: MAX_VALUE_BYTES, ..Limits::default() });
    let (mut buffer, mut packets) = (BytesMut::new(), Vec::new());
    for part in bytes.chunks(step.max(1)) {
        buffer.extend_from_slice(part);
        loop {
            match decoder.next(&mut buffer) {
                Ok(None) => break,
                Ok(Some(Part::Header(header))) => packets.push(Read::Packet(header, Vec::new(), false)),
                Ok(Some(Part::Invalid(header, invalid))) => {
                    packets.push(Read::InvalidRequest(header, invalid, false));
                }
                Ok(Some(Part::Value(value))) => match packets.last_mut() {
                    Some(Read::Packet(_, all, false)) => all.extend_from_slice(&value),
                    other => panic!("a value behind {other:?}"),
                },
                Ok(Some(Part::End)) => match packets.last_mut() {
                    Some(Read::Packet(header, value, ended @ false)) => {
                        assert_eq!(header.value_len, value.len());
                        *ended = true;
                    }
                    Some(Read::InvalidRequest(_, _, ended @ false)) => *ended = true,
                    other => panic!("an end behind {other:?}"),
                },
                Err(fault) => return (packets, Some(fault)),
            }
        }
        assert!(buffer.len() < 24 + 20 + 250, "more is kept back than a header needs");
    }
    (packets, None)
}

/// Whether bytes come at once or one by one, the same is read; and what was read is written as it stood.
pub fn holds(bytes: &[u8]) {
    for side in [Direction::Request, Direction::Response] {
        let (at_once, one_by_one) = (read(side, bytes, bytes.len()), read(side, bytes, 1));
        assert_eq!(at_once, one_by_one);
        if side == Direction::Request {
            written_again(bytes, &at_once.0);
        }
    }
}

/// Packets from the front, as long as they could be read, are the bytes that they buffer from.
fn written_again(bytes: &[u8], packets: &[Read]) {
    let mut written = Vec::new();
    for packet in packets {
        let Read::Packet(header, value, true) = packet else { break };
        encode::packet(Direction::Request, header, value, &mut written).expect("it was read");
    }
    assert_eq!(&bytes[..written.len()], written);
}
