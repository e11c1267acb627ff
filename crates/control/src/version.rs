//! A version: its stamp, its digest, its body, and what leads from one to the next.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};
use std::fmt;

/// When a version was made. The epoch counts how often the service began anew, from nothing or from a backup; the
/// number counts within it. Later epochs count before earlier ones, whatever their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// How often the service began anew.
    pub epoch: u64,
    /// The version within the epoch, from 1.
    pub number: u64,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// A whole version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// When it was made.
    pub stamp: Stamp,
    /// SHA-256 of its body in canonical form, in hex.
    pub digest: String,
    /// What it sets: the operator's file as JSON.
    pub body: Value,
}

/// What keeps a change from being applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// It does not fit what it is to be applied to.
    Unfit(String),
    /// What comes out is not what was meant.
    Digest {
        /// As told.
        told: String,
        /// As it came out.
        found: String,
    },
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Unfit(why) => write!(f, "the change does not fit: {why}"),
            Broken::Digest { told, found } => write!(f, "the digest is {found}, and {told} was told"),
        }
    }
}

impl Version {
    /// A version with its digest.
    pub fn new(stamp: Stamp, body: Value) -> Self {
        Version { stamp, digest: digest(&body), body }
    }

    /// Whether the body is what the digest says.
    ///
    /// # Errors
    /// [`Broken::Digest`] if it is not.
    pub fn check(&self) -> Result<(), Broken> {
        let found = digest(&self.body);
        if found == self.digest {
            Ok(())
        } else {
            Err(Broken::Digest { told: self.digest.clone(), found })
        }
    }

    /// What leads from this version to another, as a JSON Patch (RFC 6902).
    pub fn delta(&self, to: &Version) -> json_patch::Patch {
        json_patch::diff(&self.body, &to.body)
    }

    /// Applies what leads to another version.
    ///
    /// # Errors
    /// If it does not fit, or does not lead to what the digest says.
    pub fn apply(&self, patch: &json_patch::Patch, stamp: Stamp, told: &str) -> Result<Version, Broken> {
        let mut body = self.body.clone();
        json_patch::patch(&mut body, patch).map_err(|e| Broken::Unfit(e.to_string()))?;
        let version = Version { stamp, digest: told.to_owned(), body };
        version.check().map(|()| version)
    }
}

/// The digest of a body: alike for two bodies that say the same, in whatever order their keys stand.
pub fn digest(body: &Value) -> String {
    let text = canonical(body).to_string();
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A value with all keys in the order of their bytes.
fn canonical(value: &Value) -> Value {
    match value {
        Value::Object(members) => {
            let mut sorted: Vec<_> = members.iter().collect();
            sorted.sort_by_key(|(name, _)| name.as_bytes());
            let members = sorted.into_iter().map(|(name, value)| (name.clone(), canonical(value)));
            Value::Object(members.collect::<Map<_, _>>())
        }
        Value::Array(items) => Value::Array(items.iter().map(canonical).collect()),
        plain => plain.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use serde_json::json;

    const ONE: Stamp = Stamp { epoch: 1, number: 1 };
    const TWO: Stamp = Stamp { epoch: 1, number: 2 };

    #[test]
    fn a_service_that_began_anew_counts_before_one_with_higher_numbers() {
        assert!(Stamp { epoch: 2, number: 1 } > Stamp { epoch: 1, number: 900 });
        assert!(TWO > ONE);
    }

    #[test]
    fn the_digest_goes_by_what_is_said() {
        let read = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");
        assert_eq!(
            digest(&read(r#"{"a":1,"b":{"d":2,"c":3}}"#)),
            digest(&read(r#"{"b":{"c":3,"d":2},"a":1}"#))
        );
        assert_ne!(digest(&json!({"a": 1})), digest(&json!({"a": 2})));
    }

    #[test]
    fn a_change_to_another_version_than_meant_is_turned_down() {
        let (one, two) = (Version::new(ONE, json!({"a": [1, 2]})), Version::new(TWO, json!({"a": [1, 3]})));
        let delta = one.delta(&two);
        assert_eq!(one.apply(&delta, TWO, &two.digest), Ok(two.clone()));
        let other = Version::new(ONE, json!({"a": [7, 2]}));
        assert!(matches!(other.apply(&delta, TWO, &two.digest), Err(Broken::Digest { .. })));
        let none = Version::new(ONE, json!({}));
        assert!(matches!(none.apply(&delta, TWO, &two.digest), Err(Broken::Unfit(_))));
    }

    fn value() -> impl Strategy<Value = Value> {
        let leaf = prop_oneof![
            Just(Value::Null),
            any::<bool>().prop_map(Value::from),
            any::<i32>().prop_map(Value::from),
            "[a-z/~]{0,4}".prop_map(Value::from),
        ];
        leaf.prop_recursive(3, 24, 4, |inner| {
            prop_oneof![
                prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
                prop::collection::btree_map("[a-d/~]{1,2}", inner, 0..4)
                    .prop_map(|m| Value::Object(m.into_iter().collect())),
            ]
        })
    }

    proptest! {
        #[test]
        fn a_delta_leads_where_the_whole_does(from in value(), to in value()) {
            let (from, to) = (Version::new(ONE, from), Version::new(TWO, to));
            let sent = serde_json::to_string(&from.delta(&to)).expect("JSON");
            let delta = serde_json::from_str(&sent).expect("read");
            prop_assert_eq!(from.apply(&delta, TWO, &to.digest), Ok(to));
        }
    }
}
