//! Versions of the configuration, each with a stamp, a digest and a body, and deltas between them.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// The identifier of a version. Stamps are ordered by epoch, then by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The epoch of the service, which increases with each start: the first one, a restart, or one from a
    /// backup.
    pub epoch: u64,
    /// The number of the version within the epoch, from 1.
    pub number: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// JSON text in canonical form: without whitespace, and with keys in the order of their bytes.
///
/// A body is stored as text because a tree of values with ten thousand routes takes fifteen times as much
/// memory, and a proxy has 32 MB for everything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CanonicalJson(Arc<str>);

impl CanonicalJson {
    /// Converts a value to its canonical form.
    pub fn new(value: &Value) -> Self {
        let mut text = String::new();
        write_canonical(value, &mut text);
        CanonicalJson(text.into())
    }

    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Parses the text into a tree of values.
    pub fn value(&self) -> Value {
        // Parsing can't fail, since the text was written from a value.
        serde_json::from_str(&self.0).unwrap_or_default()
    }

    /// Returns the SHA-256 of the text, in hex. It does not depend on the order of the keys in the original
    /// text.
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

/// Appends the canonical form of a value to `text`.
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
    /// Its identifier.
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
    /// The digest does not match the body.
    #[error("the digest of the body is {actual}, and {expected} is expected")]
    Digest {
        /// The digest in the version or the delta.
        expected: String,
        /// The digest of the body.
        actual: String,
    },
}

impl Version {
    /// Creates a version with this body, and computes the digest.
    pub fn new(stamp: Stamp, body: &Value) -> Self {
        let body = CanonicalJson::new(body);
        Version { stamp, digest: body.digest(), body }
    }

    /// Checks that the digest matches the body.
    ///
    /// # Errors
    /// [`VersionError::Digest`] if it does not.
    pub fn verify(&self) -> Result<(), VersionError> {
        let actual = self.body.digest();
        if actual == self.digest {
            Ok(())
        } else {
            Err(VersionError::Digest { expected: self.digest.clone(), actual })
        }
    }

    /// Computes the delta from this version to another, as a JSON Patch (RFC 6902).
    pub fn delta(&self, to: &Version) -> json_patch::Patch {
        json_patch::diff(&self.body.value(), &to.body.value())
    }

    /// Applies a delta to this version. The result has the given stamp and digest.
    ///
    /// # Errors
    /// If the delta can't be applied, or the digest of the resulting body is another one.
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
