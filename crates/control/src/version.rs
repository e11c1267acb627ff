//! A version of the configuration: its stamp, its digest, its body, and the delta between two versions.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Identifies a version. Stamps are ordered by epoch, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Rises with each start of the service, be it from nothing, after a restart or from a backup.
    pub epoch: u64,
    /// The number of the version within the epoch, from 1.
    pub number: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// JSON text in canonical form: no whitespace, keys in the order of their bytes. Danger: as a tree ten thousand routes
/// take fifteen times as much memory, and a proxy has 32 MB for everything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CanonicalJson(Arc<str>);

impl CanonicalJson {
    /// The canonical form of a value.
    pub fn new(value: &Value) -> Self {
        let mut text = String::new();
        write_canonical(value, &mut text);
        CanonicalJson(text.into())
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The value as a tree.
    pub fn value(&self) -> Value {
        // The text was written from a value, so that it can be parsed.
        serde_json::from_str(&self.0).unwrap_or_default()
    }

    /// The SHA-256 of the text, in hex. It does not depend on the order in which keys were written originally.
    pub fn digest(&self) -> String {
        Sha256::digest(self.0.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Serialize for CanonicalJson {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.value().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for CanonicalJson {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Value::deserialize(deserializer).map(|value| CanonicalJson::new(&value))
    }
}

/// Writes a value with all keys in the order of their bytes.
fn write_canonical(value: &Value, text: &mut String) {
    match value {
        Value::Object(members) => {
            let mut sorted: Vec<_> = members.iter().collect();
            sorted.sort_by_key(|(name, _)| name.as_bytes());
            text.push('{');
            for (n, (name, value)) in sorted.into_iter().enumerate() {
                text.push_str(if n == 0 { "" } else { "," });
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                write_canonical(value, text);
            }
            text.push('}');
        }
        Value::Array(items) => {
            text.push('[');
            for (n, item) in items.iter().enumerate() {
                text.push_str(if n == 0 { "" } else { "," });
                write_canonical(item, text);
            }
            text.push(']');
        }
        scalar => text.push_str(&scalar.to_string()),
    }
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Identifies it.
    pub stamp: Stamp,
    /// The digest of its body ([`CanonicalJson::digest`]).
    pub digest: String,
    /// The operator's file as JSON.
    pub body: CanonicalJson,
}

/// Why a version or a delta is not valid.
#[derive(Debug, thiserror::Error)]
pub enum VersionError {
    /// A delta can't be applied to its base.
    #[error("the patch can't be applied: {0}")]
    Patch(#[from] json_patch::PatchError),
    /// The body is not the one that the digest was made of.
    #[error("the digest of the body is {actual}, and {expected} is expected")]
    Digest {
        /// The digest that came with the version.
        expected: String,
        /// The digest of the body.
        actual: String,
    },
}

impl Version {
    /// A version with the digest of its body.
    pub fn new(stamp: Stamp, body: &Value) -> Self {
        let body = CanonicalJson::new(body);
        Version { stamp, digest: body.digest(), body }
    }

    /// Checks that the digest is that of the body.
    ///
    /// # Errors
    /// [`VersionError::Digest`] if it is not.
    pub fn verify(&self) -> Result<(), VersionError> {
        let actual = self.body.digest();
        if actual == self.digest {
            Ok(())
        } else {
            Err(VersionError::Digest { expected: self.digest.clone(), actual })
        }
    }

    /// The delta from this version to another, as a JSON Patch (RFC 6902).
    pub fn delta(&self, to: &Version) -> json_patch::Patch {
        json_patch::diff(&self.body.value(), &to.body.value())
    }

    /// Applies a delta to this version, which results in the version with this stamp and digest.
    ///
    /// # Errors
    /// If the delta can't be applied, or does not result in a body with that digest.
    pub fn apply(
        &self,
        patch: &json_patch::Patch,
        stamp: Stamp,
        digest: &str,
    ) -> Result<Version, VersionError> {
        let mut body = self.body.value();
        json_patch::patch(&mut body, patch)?;
        let version = Version { stamp, digest: digest.to_owned(), body: CanonicalJson::new(&body) };
        version.verify().map(|()| version)
    }
}

#[cfg(test)]
mod tests;
