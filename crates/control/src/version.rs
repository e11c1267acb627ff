//! A version: its stamp, its digest, its body, and what leads from one to the next.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

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

/// What a version sets, as JSON in canonical form: no blanks, keys in the order of their bytes. Danger: as a tree ten
/// thousand routes take fifteen times as much memory, and a proxy has 32 MB for everything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body(Arc<str>);

impl Body {
    /// The canonical form of a value.
    pub fn new(value: &Value) -> Self {
        let mut text = String::new();
        write(value, &mut text);
        Body(text.into())
    }

    /// Its text.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// The value as a tree.
    pub fn value(&self) -> Value {
        // What was written from a value can be read.
        serde_json::from_str(&self.0).unwrap_or_default()
    }

    /// Its SHA-256, in hex: alike for two bodies that say the same, in whatever order their keys stood.
    pub fn digest(&self) -> String {
        Sha256::digest(self.0.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        self.value().serialize(to)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Value::deserialize(from).map(|value| Body::new(&value))
    }
}

/// Writes a value with all keys in the order of their bytes.
fn write(value: &Value, text: &mut String) {
    match value {
        Value::Object(members) => {
            let mut sorted: Vec<_> = members.iter().collect();
            sorted.sort_by_key(|(name, _)| name.as_bytes());
            text.push('{');
            for (n, (name, value)) in sorted.into_iter().enumerate() {
                text.push_str(if n == 0 { "" } else { "," });
                text.push_str(&Value::from(name.as_str()).to_string());
                text.push(':');
                write(value, text);
            }
            text.push('}');
        }
        Value::Array(items) => {
            text.push('[');
            for (n, item) in items.iter().enumerate() {
                text.push_str(if n == 0 { "" } else { "," });
                write(item, text);
            }
            text.push(']');
        }
        plain => text.push_str(&plain.to_string()),
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
    pub body: Body,
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
    pub fn new(stamp: Stamp, body: &Value) -> Self {
        let body = Body::new(body);
        Version { stamp, digest: body.digest(), body }
    }

    /// Whether the body is what the digest says.
    ///
    /// # Errors
    /// [`Broken::Digest`] if it is not.
    pub fn check(&self) -> Result<(), Broken> {
        let found = self.body.digest();
        if found == self.digest {
            Ok(())
        } else {
            Err(Broken::Digest { told: self.digest.clone(), found })
        }
    }

    /// What leads from this version to another, as a JSON Patch (RFC 6902).
    pub fn delta(&self, to: &Version) -> json_patch::Patch {
        json_patch::diff(&self.body.value(), &to.body.value())
    }

    /// Applies what leads to another version.
    ///
    /// # Errors
    /// If it does not fit, or does not lead to what the digest says.
    pub fn apply(&self, patch: &json_patch::Patch, stamp: Stamp, told: &str) -> Result<Version, Broken> {
        let mut body = self.body.value();
        json_patch::patch(&mut body, patch).map_err(|e| Broken::Unfit(e.to_string()))?;
        let version = Version { stamp, digest: told.to_owned(), body: Body::new(&body) };
        version.check().map(|()| version)
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
        let digest = |value: &Value| Body::new(value).digest();
        assert_eq!(
            digest(&read(r#"{"a":1,"b":{"d":2,"c":3}}"#)),
            digest(&read(r#"{"b":{"c":3,"d":2},"a":1}"#))
        );
        assert_ne!(digest(&json!({"a": 1})), digest(&json!({"a": 2})));
    }

    #[test]
    fn a_change_to_another_version_than_meant_is_turned_down() {
        let (one, two) = (Version::new(ONE, &json!({"a": [1, 2]})), Version::new(TWO, &json!({"a": [1, 3]})));
        let delta = one.delta(&two);
        assert_eq!(one.apply(&delta, TWO, &two.digest), Ok(two.clone()));
        let other = Version::new(ONE, &json!({"a": [7, 2]}));
        assert!(matches!(other.apply(&delta, TWO, &two.digest), Err(Broken::Digest { .. })));
        let none = Version::new(ONE, &json!({}));
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
        fn the_canonical_form_says_the_same(value in value()) {
            let body = Body::new(&value);
            prop_assert_eq!(body.value(), value.clone());
            let sent = serde_json::to_string(&body).expect("JSON");
            prop_assert_eq!(serde_json::from_str::<Body>(&sent).expect("read"), body);
        }

        #[test]
        fn a_delta_leads_where_the_whole_does(from in value(), to in value()) {
            let (from, to) = (Version::new(ONE, &from), Version::new(TWO, &to));
            let sent = serde_json::to_string(&from.delta(&to)).expect("JSON");
            let delta = serde_json::from_str(&sent).expect("read");
            prop_assert_eq!(from.apply(&delta, TWO, &to.digest), Ok(to));
        }
    }
}
