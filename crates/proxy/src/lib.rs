//! The sockets' side of the proxy: it translates between the network and the decision module.
#![deny(unsafe_code)]
#![doc = include_str!("../../../README.md")]

pub mod admin;
mod background_writer;
mod bind;
mod budget;
pub mod cli;
pub mod config;
pub mod control;
mod descriptors;
pub mod discovery;
pub mod drain;
mod duration;
pub mod front;
mod handover;
mod opening;
pub mod operator;
mod operator_orders;
mod peers;
mod plan;
mod relay;
mod serve;
mod signals;
mod socket;
mod startup;
mod time_left;
mod upload;
mod upstream;
mod versions;
mod wall_clock;

use http_body_util::Full;
use hyper::body::Bytes;

/// Bodies and answers up to this length are held whole; beyond it they are passed on as they come.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Nothing that is passed on is longer than this.
const MAX_STREAMED_BODY_BYTES: u64 = 40 << 20;
/// What the kernel holds of a connection that carries something large is about twice this, in bytes. A buffer that the
/// kernel sizes itself takes megabytes, and hides for long that the other side takes nothing.
const KERNEL_BUFFER_BYTES: usize = 128 << 10;
/// What is read ahead of a connection, heads among it, holds at most this.
const MAX_READ_BUFFER_BYTES: usize = 16 << 10;
/// The core over the HTTP node side.
pub type Engine = aniseyoke_core::Engine<upstream::Upstreams>;
/// A body that is held whole.
type Body = Full<Bytes>;
