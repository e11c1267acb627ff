//! Fuzz target for the codec: `cargo fuzz run codec` in `crates/memcached`.
#![no_main]

#[path = "../../tests/noise/mod.rs"]
mod noise;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| noise::check_codec(bytes));
