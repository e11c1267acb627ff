//! What goes over the wire of purges: where somebody stands, and keys as one base64 text.

use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The bytes of a key.
const KEY: usize = 8;

/// Where somebody stands in the log of purges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Progress {
    /// The log's epoch; 0 with 0: it holds nothing that a purge could concern.
    pub epoch: u64,
    /// Everything through this number is done.
    pub through: u64,
}

impl Progress {
    /// Whether it holds nothing yet that a purge could concern.
    pub fn is_empty(&self) -> bool {
        *self == Progress::default()
    }
}

/// Keys of purges, in their order: XXH3-64 of each object's key. Written as one base64 text (RFC 4648, section 4) of
/// eight bytes each, the highest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Keys(pub Vec<u64>);

impl Serialize for Keys {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self.0.iter().flat_map(|key| key.to_be_bytes()).collect();
        to.serialize_str(&STANDARD.encode(bytes))
    }
}

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let bytes = STANDARD.decode(&text).map_err(|e| D::Error::custom(format!("keys: {e}")))?;
        if !bytes.len().is_multiple_of(KEY) {
            return Err(D::Error::custom(format!("keys: {} bytes are no multiple of {KEY}", bytes.len())));
        }
        let (whole, _) = bytes.as_chunks::<KEY>();
        Ok(Keys(whole.iter().map(|key| u64::from_be_bytes(*key)).collect()))
    }
}

#[cfg(test)]
mod tests;
