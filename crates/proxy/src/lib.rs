//! The network side of the proxy, between its sockets and the decision module.
#![deny(unsafe_code)]
#![doc = include_str!("../../../README.md")]

pub mod admin;
mod background_writer;
mod bind;
mod body_arrival;
mod budget;
pub mod cli;
pub mod config;
pub mod control;
mod descriptors;
pub mod discovery;
pub mod drain;
mod duration;
mod file_stamp;
pub mod front;
mod handover;
mod listed_nodes;
mod metrics;
mod opening;
pub mod operator;
mod operator_orders;
mod peers;
mod plan;
mod relay;
mod request_ids;
mod serve;
mod shared_ids;
mod signals;
mod socket;
mod startup;
mod time_left;
mod transfer_coding;
mod upload;
mod upstream;
mod versions;
mod wall_clock;

use http_body_util::Full;
use hyper::body::Bytes;

/// Longest request or answer body that is buffered completely; a longer one is streamed.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Longest body that is accepted, and then streamed.
const MAX_STREAMED_BODY_BYTES: u64 = 40 << 20;
/// Size of the send and receive buffers of a socket that carries a large body, in bytes; the kernel uses
/// about twice as much. Buffers that the kernel sizes itself grow to megabytes, and delay the detection of a
/// peer that reads nothing.
const KERNEL_BUFFER_BYTES: usize = 128 << 10;
/// Maximum size of a connection's read buffer, which must also hold a complete head.
const MAX_READ_BUFFER_BYTES: usize = 16 << 10;
/// The core engine with HTTP connections to the cache nodes.
pub type Engine = aniseyoke_core::Engine<upstream::Upstreams>;
/// A completely buffered body.
type Body = Full<Bytes>;
