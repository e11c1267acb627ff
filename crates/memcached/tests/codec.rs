//! Tests of the codec with packets from the specification, with generated packets, and with random bytes.

mod noise;

use aniseyoke_memcached::decode::InvalidRequest;
use aniseyoke_memcached::{
    encode, opcode, Decoder, Direction, Extras, Header, Limits, Opcode, Part, ProtocolError, Status,
};
use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use strum::VariantArray;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).expect("ASCII"), 16).expect("hex"))
        .collect()
}

/// Decodes all packets, each with its complete value.
fn decode_all(decoder: &mut Decoder, bytes: &[u8]) -> Result<Vec<(Part, Vec<u8>)>, ProtocolError> {
    let mut buffer = BytesMut::from(bytes);
    let mut packets: Vec<(Part, Vec<u8>)> = Vec::new();
    while let Some(part) = decoder.next(&mut buffer)? {
        match part {
            Part::Value(value) => packets.last_mut().expect("after a header").1.extend_from_slice(&value),
            Part::End => {}
            header => packets.push((header, Vec::new())),
        }
    }
    Ok(packets)
}

fn decode_requests(bytes: &[u8]) -> Result<Vec<(Part, Vec<u8>)>, ProtocolError> {
    decode_all(&mut Decoder::new(Direction::Request, Limits::default()), bytes)
}

/// The specification's example of a request: adds the value "World" under the key "Hello", with flags
/// 0xdeadbeef and an expiration of one hour.
const ADD: &str =
    "80 02 0005 08 00 0000 00000012 00000000 0000000000000000 deadbeef 00000e10 48656c6c6f 576f726c64";

#[test]
fn a_request_is_decoded_and_encoded_as_in_the_specification() {
    let read = decode_requests(&hex(ADD)).expect("sound");
    let [(Part::Header(header), value)] = &read[..] else { panic!("{read:?}") };
    let extras = Extras::Store { flags: 0xdead_beef, expires: 3600 };
    let key = Bytes::from_static(b"Hello");
    assert_eq!(*header, Header { extras, key, value_len: 5, ..Header::request(Opcode::Add) });
    assert_eq!(value, b"World");
    let mut written = Vec::new();
    encode::packet(Direction::Request, header, b"World", &mut written).expect("fits");
    assert_eq!(written, hex(ADD));
}

#[test]
fn a_response_is_decoded_and_encoded_as_in_the_specification() {
    // A hit with key, flags 0xdeadbeef and version 1.
    let found =
        hex("81 00 0005 04 00 0000 0000000e 00000000 0000000000000001 deadbeef 48656c6c6f 576f726c64");
    // A miss with the text of its status.
    let missing = hex("81 00 0000 00 00 0001 00000009 0badcafe 0000000000000000 4e6f7420666f756e64");
    let mut decoder = Decoder::new(Direction::Response, Limits::default());
    let read = decode_all(&mut decoder, &[found.clone(), missing.clone()].concat()).expect("sound");
    let [(Part::Header(first), value), (Part::Header(second), words)] = &read[..] else { panic!("{read:?}") };
    assert_eq!((first.status(), first.cas, first.extras), (Some(Status::Ok), 1, Extras::Flags(0xdead_beef)));
    assert_eq!((&first.key[..], &value[..]), (&b"Hello"[..], &b"World"[..]));
    assert_eq!((second.status(), second.opaque), (Some(Status::NotFound), 0x0bad_cafe));
    assert_eq!(words, Status::NotFound.text().as_bytes());
    let mut written = Vec::new();
    encode::packet(Direction::Response, first, value, &mut written).expect("fits");
    encode::packet(Direction::Response, second, words, &mut written).expect("fits");
    assert_eq!(written, [found, missing].concat());
}

fn fixed_header(opcode: u8, key: u16, extras: u8, body: u32) -> Vec<u8> {
    let mut bytes = vec![0x80, opcode];
    bytes.extend(key.to_be_bytes());
    bytes.extend([extras, 0, 0, 0]);
    bytes.extend(body.to_be_bytes());
    bytes.extend([0, 0, 0, 7]);
    bytes.extend([0; 8]);
    bytes
}

/// Guards against an allocation of up to 4 GiB, or a slice past the end, because of an unchecked length in a
/// header.
#[test]
fn inconsistent_or_excessive_lengths_end_the_connection_at_the_header() {
    let lengths = ProtocolError::InconsistentLengths { key: 5, extras: 8, body: 12 };
    assert_eq!(decode_requests(&fixed_header(1, 5, 8, 12)), Err(lengths));
    assert_eq!(
        decode_requests(&fixed_header(1, 5, 8, u32::MAX)),
        Err(ProtocolError::ValueTooLarge { value: u32::MAX as usize - 13, opaque: 7, opcode: 1 })
    );
    let mut decoder = Decoder::new(Direction::Request, Limits::default());
    assert_eq!(decode_all(&mut decoder, &fixed_header(1, 5, 8, 12)), Err(lengths));
    assert_eq!(decode_all(&mut decoder, &hex(ADD)), Err(lengths), "the error is permanent");
}

#[test]
fn a_client_of_the_text_protocol_is_recognised_by_its_first_byte() {
    for text in ["get k\r\n", "s", "\r\n"] {
        assert_eq!(decode_requests(text.as_bytes()), Err(ProtocolError::TextProtocol), "{text:?}");
    }
    assert_eq!(
        decode_requests(&[0x81]),
        Err(ProtocolError::UnknownMagic(0x81)),
        "a response is not a request"
    );
    assert!(ProtocolError::TextProtocol.to_string().contains("binary"));
}

#[test]
fn an_invalid_request_is_skipped_and_the_next_is_read() {
    let body = |header: Vec<u8>, length: usize| [header, vec![b'x'; length]].concat();
    let cases = [
        (body(fixed_header(0x77, 3, 1, 9), 9), InvalidRequest::UnknownOpcode),
        (body(fixed_header(0x00, 0, 0, 0), 0), InvalidRequest::Malformed("the key is missing")),
        (body(fixed_header(0x0a, 1, 0, 1), 1), InvalidRequest::Malformed("the operation has no key")),
        (body(fixed_header(0x00, 1, 0, 4), 4), InvalidRequest::Malformed("the operation has no value")),
        (
            body(fixed_header(0x01, 1, 4, 9), 9),
            InvalidRequest::Malformed("the operation has no extras of this length"),
        ),
        (body(fixed_header(0x00, 251, 0, 251), 251), InvalidRequest::KeyTooLong),
        (body(fixed_header(0x00, u16::MAX, 0, 65535), 65535), InvalidRequest::KeyTooLong),
    ];
    for (bytes, wanted) in cases {
        let read = decode_requests(&[bytes, hex(ADD)].concat()).expect("the next request can be read");
        let [(Part::Invalid(header, invalid), _), (Part::Header(next), value)] = &read[..] else {
            panic!("{read:?}")
        };
        assert_eq!((*invalid, header.opaque), (wanted, 7));
        assert_eq!((next.operation(), &value[..]), (Some(Opcode::Add), &b"World"[..]));
    }
}

#[test]
fn a_key_too_long_for_the_format_is_not_encoded() {
    let key = Bytes::from(vec![b'k'; 65_536]);
    let mut out = Vec::new();
    assert!(encode::header(Direction::Request, &Header { key, ..Header::request(Opcode::Get) }, &mut out)
        .is_err());
    assert!(out.is_empty());
}

fn arbitrary_request() -> impl Strategy<Value = (Header, Vec<u8>)> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u32>(), any::<u32>());
    let texts = (prop::collection::vec(any::<u8>(), 1..=250), prop::collection::vec(any::<u8>(), 0..600));
    (prop::sample::select(Opcode::VARIANTS.to_vec()), numbers, any::<u16>(), texts).prop_map(
        |(opcode, (a, b, c, opaque), vbucket_or_status, (key, value))| {
            let extras = match (opcode.without_quiet(), opcode.extras().last()) {
                (Opcode::Verbosity, _) => Extras::Verbosity(c),
                (_, Some(4)) => Extras::Expiration(c),
                (_, Some(8)) => Extras::Store { flags: c, expires: opaque },
                (_, Some(20)) => Extras::Counter { delta: a, initial: b, expires: c },
                _ => Extras::None,
            };
            let key = if opcode.key() == opcode::Presence::Forbidden { Vec::new() } else { key };
            let value = if opcode.value() == opcode::Presence::Forbidden { Vec::new() } else { value };
            let (length, key) = (value.len(), key.into());
            let header = Header {
                opcode: opcode as u8,
                vbucket_or_status,
                opaque,
                cas: b,
                extras,
                key,
                value_len: length,
            };
            (header, value)
        },
    )
}

proptest! {
    #[test]
    fn encoded_packets_are_decoded_however_the_bytes_are_split(
        packets in prop::collection::vec(arbitrary_request(), 1..6),
        cuts in prop::collection::vec(1usize..200, 1..40),
    ) {
        let mut bytes = Vec::new();
        for (header, value) in &packets {
            encode::packet(Direction::Request, header, value, &mut bytes).expect("fits");
        }
        let mut decoder = Decoder::new(Direction::Request, Limits::default());
        let (mut buffer, mut read, mut ends) = (BytesMut::new(), Vec::<(Header, Vec<u8>)>::new(), 0);
        let (mut rest, mut cuts) = (&bytes[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (now, later) = rest.split_at(cuts.next().expect("endless").min(rest.len()));
            rest = later;
            buffer.extend_from_slice(now);
            while let Some(part) = decoder.next(&mut buffer).expect("sound") {
                match part {
                    Part::Header(header) => read.push((header, Vec::new())),
                    Part::Value(value) => {
                        prop_assert!(!value.is_empty());
                        read.last_mut().expect("after a header").1.extend_from_slice(&value);
                    }
                    Part::End => ends += 1,
                    Part::Invalid(_, invalid) => prop_assert!(false, "{invalid:?}"),
                }
            }
            // What is buffered until more bytes arrive must not depend on the lengths in a header.
            prop_assert!(buffer.len() < 24 + 20 + 250);
        }
        prop_assert_eq!(ends, packets.len());
        prop_assert!(!decoder.in_packet() && buffer.is_empty());
        prop_assert_eq!(read, packets);
    }

    #[test]
    fn random_bytes_are_decoded_or_rejected_without_a_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        first in prop::sample::select(vec![0x80u8, 0x81, b'g']),
    ) {
        if let Some(byte) = bytes.first_mut() {
            *byte = first;
        }
        noise::check_codec(&bytes);
    }

    /// Random bytes rarely have consistent lengths; valid packets with a few changed bytes often do.
    #[test]
    fn corrupted_packets_are_decoded_or_rejected_without_a_panic(
        packets in prop::collection::vec(arbitrary_request(), 1..4),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        for (header, value) in &packets {
            encode::packet(Direction::Request, header, value, &mut bytes).expect("fits");
        }
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        noise::check_codec(&bytes[..cut.index(bytes.len() + 1)]);
    }
}

/// Runs the fuzz target's corpus in CI as well.
#[test]
fn the_fuzz_corpus_passes_the_codec_checks() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("fuzz/corpus/codec");
    let mut files = 0;
    for file in std::fs::read_dir(folder).expect("the corpus") {
        noise::check_codec(&std::fs::read(file.expect("a file").path()).expect("its bytes"));
        files += 1;
    }
    assert!(files >= 8, "{files} files");
}
