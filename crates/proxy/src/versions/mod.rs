//! Versions of the configuration from a control service.
//!
//! - `follow` receives, checks and stores versions on a thread of its own, since parsing and checking ten
//!   thousand routes takes longer than requests may wait for the one serving thread;
//! - `updater` replaces the configuration in force on the serving thread, between two events;
//! - `layers` merges a version with the other layers of the configuration.

mod follow;
mod layers;
mod updater;

pub use follow::Subscription;
pub use layers::{last_good, BaseLayers, ConfigInForce};
pub use updater::ConfigUpdater;

/// Divisor of a proxy's memory for the part that is reserved for versions if control services are followed.
const RESERVED_DIVISOR: usize = 4;
/// Memory that a version takes while it is parsed and checked, in bytes per byte of its text. Measured: 59,
/// for 10,000 routes of 39 bytes each.
const MEMORY_PER_TEXT_BYTE: usize = 60;

/// Returns the memory that is reserved for versions, in bytes.
pub fn memory_reserve(memory: usize) -> usize {
    memory / RESERVED_DIVISOR
}

/// Returns the length of the longest frame that a proxy with this memory accepts from a control service, in
/// bytes.
fn max_frame_bytes(memory: usize) -> usize {
    (memory_reserve(memory) / MEMORY_PER_TEXT_BYTE).min(aniseyoke_control::frame::MAX_FRAME_BYTES)
}

/// Name of the file with the last good version.
const LAST_GOOD_FILE: &str = "aniseyoke-version";
