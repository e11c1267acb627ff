use super::*;
use proptest::prelude::*;

fn rule(class: Option<u8>, tenant: Option<u8>, prefix: &str, pool: u32) -> RouteRule<u8> {
    RouteRule { class, tenant, prefix: prefix.into(), pool }
}

#[test]
fn the_first_matching_rule_applies_even_if_a_later_one_is_more_specific() {
    let rules = [
        rule(Some(1), None, "a/", 10),
        rule(None, Some(7), "", 11),
        rule(Some(1), None, "a", 12),
        rule(None, None, "b", 13),
    ];
    let table = RoutingTable::new(&rules).expect("sound");
    let pool =
        |class: u8, tenant: Option<u8>, key: &str| table.pool(Some(&class), tenant.as_ref(), key.as_bytes());
    assert_eq!(pool(1, Some(7), "a/x"), Some(10));
    assert_eq!(pool(1, Some(7), "ab"), Some(11));
    assert_eq!(pool(1, None, "ab"), Some(12));
    assert_eq!(pool(2, None, "b"), Some(13));
    assert_eq!(pool(2, None, "c"), None);
    assert_eq!(pool(1, None, ""), None);
}

#[test]
fn rules_that_can_never_apply_are_reported_with_the_rule_that_shadows_them() {
    let rules = [
        rule(Some(1), None, "a", 0),
        rule(Some(1), Some(2), "ab", 1),
        rule(None, None, "", 2),
        rule(None, Some(2), "ab", 3),
        rule(Some(1), None, &"x".repeat(300), 4),
    ];
    let errors = RoutingTable::new(&rules).expect_err("three");
    let expected =
        [(1, RouteError::Shadowed { by: 0 }), (2, RouteError::NoCondition), (4, RouteError::PrefixTooLong)];
    assert_eq!(errors, expected);
}

fn matches(rule: &RouteRule<u8>, class: u8, tenant: Option<u8>, key: &[u8]) -> bool {
    rule.class.is_none_or(|c| c == class)
        && rule.tenant.is_none_or(|t| Some(t) == tenant)
        && key.starts_with(&rule.prefix)
}

fn some_rule() -> impl Strategy<Value = RouteRule<u8>> {
    (prop::option::of(0u8..3), prop::option::of(0u8..3), "[ab]{0,3}", 0u32..9)
        .prop_map(|(class, tenant, prefix, pool)| RouteRule { class, tenant, prefix: prefix.into(), pool })
}

proptest! {
    #[test]
    fn the_index_finds_the_same_rule_as_a_sequential_scan(
        rules in prop::collection::vec(some_rule(), 0..12),
        requests in prop::collection::vec((0u8..4, prop::option::of(0u8..4), "[abc]{0,4}"), 1..20),
    ) {
        // Rules that are rejected are removed, as an operator would do.
        let mut accepted = rules;
        while let Err(errors) = RoutingTable::new(&accepted) {
            accepted.remove(errors[0].0);
        }
        let table = RoutingTable::new(&accepted).expect("sound");
        for (class, tenant, key) in requests {
            let scanned = accepted.iter().find(|r| matches(r, class, tenant, key.as_bytes())).map(|r| r.pool);
            prop_assert_eq!(table.pool(Some(&class), tenant.as_ref(), key.as_bytes()), scanned);
        }
    }

    #[test]
    fn a_rule_rejected_as_shadowed_never_applies(rules in prop::collection::vec(some_rule(), 1..10)) {
        for (index, error) in RoutingTable::new(&rules).err().unwrap_or_default() {
            let RouteError::Shadowed { by } = error else { continue };
            prop_assert!(by < index);
            for class in 0..4 {
                for tenant in [None, Some(0), Some(1), Some(2), Some(3)] {
                    let key = [&rules[index].prefix[..], b"b"].concat();
                    prop_assert!(
                        !matches(&rules[index], class, tenant, &key)
                            || matches(&rules[by], class, tenant, &key)
                    );
                }
            }
        }
    }
}
