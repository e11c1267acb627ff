//! The publisher's state of a connected proxy.

use super::Nanos;
use crate::frame::ProxyStatus;
use crate::version::{Stamp, Version};
use std::collections::BTreeMap;

/// Maximum number of reasons of a rejection that are stored. Further ones are dropped.
const MAX_REASONS: usize = 20;
/// Maximum length of a stored reason. Longer ones are truncated.
const MAX_REASON_BYTES: usize = 500;
/// Maximum length of a proxy's name, and of the name and the value of a label.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of labels of a proxy.
const MAX_LABELS: usize = 32;

/// A connected proxy.
pub(super) struct Subscriber {
    pub instance: String,
    pub boot: u64,
    pub labels: BTreeMap<String, String>,
    pub max_frame_bytes: usize,
    /// The version that it runs, and its digest.
    pub running: Option<(Stamp, String)>,
    /// Time from publishing the version that it runs until its acknowledgement; `None` if it already ran that
    /// version when it connected.
    pub ack_latency: Option<Nanos>,
    /// The version that it was sent last and has not answered yet.
    pub in_flight: Option<Stamp>,
    /// The last version that it rejected, and the reasons.
    pub rejected_version: Option<(Stamp, Vec<String>)>,
    pub last_received: Nanos,
    pub last_sent: Nanos,
}

impl Subscriber {
    /// Returns its status for operators. `wanted` is the version that it should run.
    pub fn status(&self, wanted: Option<Stamp>) -> ProxyStatus {
        ProxyStatus {
            instance: self.instance.clone(),
            boot: self.boot,
            running: self.running.as_ref().map(|(stamp, _)| *stamp),
            ack_latency: self.ack_latency,
            wanted,
            rejected: self.rejected_version.clone(),
        }
    }

    /// Returns whether it runs this version.
    pub fn runs(&self, version: &Version) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|(stamp, digest)| *stamp == version.stamp && *digest == version.digest)
    }

    /// Returns whether this is the last version that it rejected.
    pub fn has_rejected(&self, stamp: Stamp) -> bool {
        self.rejected_version.as_ref().is_some_and(|(rejected, _)| *rejected == stamp)
    }

    /// Returns why its name or its labels are not valid, or `None` if they are.
    pub fn invalid_identity(&self) -> Option<&'static str> {
        let is_long = |text: &str| text.len() > MAX_NAME_BYTES;
        if self.instance.is_empty() || is_long(&self.instance) {
            return Some("the name of the instance is empty or too long");
        }
        let has_long = self.labels.iter().any(|(name, value)| is_long(name) || is_long(value));
        if self.labels.len() > MAX_LABELS || has_long {
            return Some("there are too many labels, or one is too long");
        }
        None
    }
}

/// Limits the number and the length of reasons.
pub(super) fn truncate_reasons(reasons: &mut Vec<String>) {
    reasons.truncate(MAX_REASONS);
    for reason in reasons {
        let max = MAX_REASON_BYTES.min(reason.len());
        let end = (0..=max).rev().find(|n| reason.is_char_boundary(*n));
        reason.truncate(end.unwrap_or(0));
    }
}
