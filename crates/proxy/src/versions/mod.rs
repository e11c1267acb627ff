//! Versions of the configuration from a control service. Reading, checking and keeping them is the work of a thread of its
//! own (`follow`); the serving thread only replaces the configuration in force between two events (`updater`). `layers` lays
//! a version over the other layers of the configuration: to parse and
//! check ten thousand routes takes longer than requests may wait for the one thread that serves.

mod follow;
mod layers;
mod updater;

pub use follow::Subscription;
pub use layers::{last_good, BaseLayers, ConfigInForce};
pub use updater::ConfigUpdater;

/// The part of a proxy's memory that is kept free for versions where services are followed.
const RESERVED_DIVISOR: usize = 4;
/// The memory of a version while it is read and checked, as a multiple of its text: 59 was measured for 10,000 routes of
/// 39 bytes each.
const MEMORY_PER_BYTE: usize = 60;

/// The memory that is kept free for versions, in bytes.
pub fn memory_reserve(memory: usize) -> usize {
    memory / RESERVED_DIVISOR
}

/// The longest frame with a version that a proxy of so much memory can take, in bytes.
fn max_frame_bytes(memory: usize) -> usize {
    (memory_reserve(memory) / MEMORY_PER_BYTE).min(aniseyoke_control::frame::MAX_FRAME_BYTES)
}

/// The file in the folder that keeps the last good version.
const KEPT: &str = "aniseyoke-version";
