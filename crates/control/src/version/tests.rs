use super::*;
use proptest::prelude::*;
use serde_json::json;

const ONE: Stamp = Stamp { epoch: 1, number: 1 };
const TWO: Stamp = Stamp { epoch: 1, number: 2 };

#[test]
fn a_later_epoch_is_newer_than_any_number_of_an_earlier_one() {
    assert!(Stamp { epoch: 2, number: 1 } > Stamp { epoch: 1, number: 900 });
    assert!(TWO > ONE);
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_keys() {
    let read = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");
    let digest = |value: &Value| CanonicalJson::new(value).digest();
    assert_eq!(digest(&read(r#"{"a":1,"b":{"d":2,"c":3}}"#)), digest(&read(r#"{"b":{"c":3,"d":2},"a":1}"#)));
    assert_ne!(digest(&json!({"a": 1})), digest(&json!({"a": 2})));
}

#[test]
fn a_delta_that_results_in_another_digest_is_an_error() {
    let (one, two) = (Version::new(ONE, &json!({"a": [1, 2]})), Version::new(TWO, &json!({"a": [1, 3]})));
    let delta = one.delta(&two);
    assert_eq!(one.apply(&delta, TWO, &two.digest).ok(), Some(two.clone()));
    let other = Version::new(ONE, &json!({"a": [7, 2]}));
    assert!(matches!(other.apply(&delta, TWO, &two.digest), Err(VersionError::Digest { .. })));
    let none = Version::new(ONE, &json!({}));
    assert!(matches!(none.apply(&delta, TWO, &two.digest), Err(VersionError::Patch(_))));
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
    fn the_canonical_form_preserves_the_value(value in value()) {
        let body = CanonicalJson::new(&value);
        prop_assert_eq!(body.value(), value.clone());
        let sent = serde_json::to_string(&body).expect("JSON");
        prop_assert_eq!(serde_json::from_str::<CanonicalJson>(&sent).expect("read"), body);
    }

    #[test]
    fn a_delta_results_in_the_same_version_as_a_snapshot(from in value(), to in value()) {
        let (from, to) = (Version::new(ONE, &from), Version::new(TWO, &to));
        let sent = serde_json::to_string(&from.delta(&to)).expect("JSON");
        let delta = serde_json::from_str(&sent).expect("read");
        prop_assert_eq!(from.apply(&delta, TWO, &to.digest).ok(), Some(to));
    }
}
