//! Parts of the wire format of purges: a position in the log, and keys encoded as one base64 string.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The size of a key, in bytes.
const KEY_BYTES: usize = 8;

/// A position in the purge log. The default value means that the holder has no cached object that a purge
/// could affect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The log's epoch, or 0 in the default value.
    pub epoch: u64,
    /// All entries up to and including this number have been applied.
    pub through: u64,
}

impl Progress {
    /// Whether the holder has no cached object that a purge could affect.
    pub fn is_empty(&self) -> bool {
        *self == Progress::default()
    }
}

/// Purged keys in log order: the XXH3-64 hash of each object's key. Serialized as one base64 string (RFC
/// 4648, section 4) of the hashes, eight bytes each in big-endian order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys(pub Vec<u64>);

impl Serialize for Keys {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self.0.iter().flat_map(|key| key.to_be_bytes()).collect();
        serializer.serialize_str(&STANDARD.encode(bytes))
    }
}

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(&text).map_err(|e| D::Error::custom(format!("keys: {e}")))?;
        if !bytes.len().is_multiple_of(KEY_BYTES) {
            let length = bytes.len();
            return Err(D::Error::custom(format!("keys: {length} bytes are no multiple of {KEY_BYTES}")));
        }
        let (chunks, _) = bytes.as_chunks::<KEY_BYTES>();
        Ok(Keys(chunks.iter().map(|chunk| u64::from_be_bytes(*chunk)).collect()))
    }
}

#[cfg(test)]
mod tests;
