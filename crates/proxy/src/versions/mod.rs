//! Versions of the configuration from a control service. Reading, checking and keeping them is the work of a thread of its
//! own (`follow`); the serving thread only exchanges what is ready between two events (`serving`). Danger: to parse and
//! check ten thousand routes takes longer than requests may wait for the one thread that serves.

mod below;
mod follow;
mod serving;

pub use below::{last_good, Below, InForce};
pub use follow::Subscription;
pub use serving::Serving;

/// The file in the folder that keeps the last good version.
const KEPT: &str = "aniseyoke-version";
