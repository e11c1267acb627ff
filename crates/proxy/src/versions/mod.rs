//! Versions of the configuration from a control service. Reading, checking and keeping them is the work of a thread of its
//! own (`follow`); the serving thread only exchanges what is ready between two events (`serving`). Danger: to parse and
//! check ten thousand routes takes longer than requests may wait for the one thread that serves.

mod below;
mod follow;
mod serving;

pub use below::{last_good, Below, InForce};
pub use follow::Subscription;
pub use serving::Serving;

/// The part of a proxy's memory that is kept free for versions where services are followed.
const MEMORY_PART: usize = 4;
/// What a version takes while it is read and checked, as a multiple of its text: 59 was measured for 10,000 routes of
/// 39 bytes each.
const TAKES: usize = 60;

/// The memory that is kept free for versions, in bytes.
pub fn reserve(memory: usize) -> usize {
    memory / MEMORY_PART
}

/// The longest frame with a version that a proxy of so much memory can take, in bytes.
fn max_frame_bytes(memory: usize) -> usize {
    (reserve(memory) / TAKES).min(aniseyoke_control::frame::MAX_FRAME_BYTES)
}

/// The file in the folder that keeps the last good version.
const KEPT: &str = "aniseyoke-version";
