//! Throughput of decoding and encoding packets.

use aniseyoke_memcached::{encode, Decoder, Direction, Extras, Header, Limits, Opcode, Part};
use bytes::{Bytes, BytesMut};
use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use std::hint::black_box;

/// Number of packets in the buffer, like the requests of a pipelining client.
const PACKETS: u64 = 64;

fn request(opcode: Opcode, extras: Extras) -> Header {
    Header { extras, key: Bytes::from_static(b"parcel/7f3a9c21e0b4d655"), ..Header::request(opcode) }
}

fn codec(c: &mut Criterion) {
    for (name, length) in [("get", 0usize), ("set 100 B", 100), ("set 16 KiB", 16 << 10)] {
        let header = match length {
            0 => request(Opcode::Get, Extras::None),
            _ => request(Opcode::Set, Extras::Store { flags: 0, expires: 0 }),
        };
        let value = vec![b'v'; length];
        let mut bytes = BytesMut::new();
        for _ in 0..PACKETS {
            encode::packet(Direction::Request, &header, &value, &mut bytes).expect("fits");
        }
        let mut group = c.benchmark_group(name);
        group.throughput(Throughput::Elements(PACKETS));
        group.bench_function("decode", |b| {
            b.iter_batched(
                || bytes.clone(),
                |mut buffer| {
                    let mut decoder = Decoder::new(Direction::Request, Limits::default());
                    let mut ends = 0;
                    while let Some(part) = decoder.next(&mut buffer).expect("sound") {
                        ends += u64::from(matches!(black_box(part), Part::End));
                    }
                    assert_eq!(ends, PACKETS);
                },
                criterion::BatchSize::SmallInput,
            );
        });
        group.bench_function("encode", |b| {
            let mut out = BytesMut::with_capacity(bytes.len());
            b.iter(|| {
                out.clear();
                for _ in 0..PACKETS {
                    encode::packet(Direction::Request, black_box(&header), &value, &mut out).expect("fits");
                }
            });
        });
        group.finish();
    }
}

criterion_group!(benches, codec);
criterion_main!(benches);
