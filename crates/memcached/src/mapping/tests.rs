use super::*;
use bytes::Bytes;

const CLASS_IDEMPOTENCY: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::WithKey];

fn rule(operations: &[Opcode], prefix: &str, class: usize) -> ClassRule {
    ClassRule { operations: operations.to_vec(), prefix: prefix.into(), class }
}

/// Class 0 is idempotent, class 1 is not, and the requests of class 2 have idempotency keys.
fn mapping(retry_bit: bool) -> RequestMapping {
    let rules = vec![
        rule(&[Opcode::Set, Opcode::Add, Opcode::Delete], "cod/", 1),
        rule(&[Opcode::Increment, Opcode::Decrement, Opcode::Append], "", 2),
        rule(&[Opcode::Get, Opcode::GetK, Opcode::Touch, Opcode::Set], "", 0),
    ];
    let tenants = TenantRules {
        users: HashMap::from([("acme".to_owned(), 0)]),
        prefixes: vec![(b"cod/".to_vec(), 1), (b"cod/seo/".to_vec(), 2)],
    };
    RequestMapping::new(rules, tenants, &CLASS_IDEMPOTENCY, retry_bit).expect("sound")
}

fn header(operation: Opcode, key: &'static str) -> Header {
    Header { key: Bytes::from_static(key.as_bytes()), ..Header::request(operation) }
}

#[test]
fn the_first_rule_that_matches_applies_and_a_quiet_operation_is_treated_like_its_counterpart() {
    let m = mapping(false);
    let class = |operation, key| m.map(&header(operation, key), None).map(|mapped| mapped.class);
    assert_eq!(class(Opcode::SetQ, "cod/7"), Ok(1));
    assert_eq!(class(Opcode::Set, "way/7"), Ok(0));
    assert_eq!(class(Opcode::GetKQ, "cod/7"), Ok(0));
    assert_eq!(class(Opcode::Increment, "cod/7"), Ok(2));
    for (operation, key) in
        [(Opcode::Add, "way/7"), (Opcode::Prepend, "cod/7"), (Opcode::Noop, ""), (Opcode::Flush, "")]
    {
        assert_eq!(class(operation, key), Err(Unmapped::NoClass), "{operation:?}");
    }
}

#[test]
fn only_retrievals_that_change_nothing_are_not_writes() {
    let m = mapping(false);
    let write = |operation| m.map(&header(operation, "cod/7"), None).expect("a class").write;
    assert!(!write(Opcode::Get) && !write(Opcode::GetKQ));
    assert!(write(Opcode::Set) && write(Opcode::Touch) && write(Opcode::Decrement));
}

#[test]
fn a_client_that_has_authenticated_does_not_become_another_tenant_by_its_keys() {
    let m = mapping(false);
    let tenant = |key, user| m.map(&header(Opcode::Get, key), user).expect("a class").tenant;
    assert_eq!(tenant("cod/seo/1", Some("acme")), Some(0));
    assert_eq!(tenant("cod/seo/1", Some("nobody")), None);
    assert_eq!(tenant("cod/seo/1", None), Some(2), "the longest prefix");
    assert_eq!((tenant("cod/1", None), tenant("way/1", None)), (Some(1), None));
}

#[test]
fn retries_are_marked_by_a_bit_only_where_the_rules_say_so() {
    let marked = Header { vbucket_or_status: RETRY_BIT | 7, ..header(Opcode::Get, "way/7") };
    assert!(mapping(true).map(&marked, None).expect("a class").retry);
    assert!(!mapping(false).map(&marked, None).expect("a class").retry);
    assert!(!mapping(true).map(&header(Opcode::Get, "way/7"), None).expect("a class").retry);
}

/// Guards against a counter in an idempotent class, which counts twice after one lost response.
#[test]
fn rules_that_put_operations_into_wrong_classes_are_rejected_with_every_pair() {
    let rules =
        vec![rule(&[], "", 0), rule(&[Opcode::GetQ, Opcode::Noop], "", 1), rule(&[Opcode::Get], "", 9)];
    let errors =
        RequestMapping::new(rules, TenantRules::default(), &CLASS_IDEMPOTENCY, false).expect_err("unsound");
    let not_idempotent =
        errors.iter().filter(|e| matches!(e, MappingError::NotIdempotent { rule: 0, .. })).count();
    assert_eq!(not_idempotent, 6, "add, delete, both counters, append, prepend: {errors:?}");
    for error in [
        MappingError::NotForNodes { rule: 1, operation: Opcode::GetQ },
        MappingError::NotForNodes { rule: 1, operation: Opcode::Noop },
        MappingError::UnknownClass { rule: 2, class: 9 },
    ] {
        assert!(errors.contains(&error), "{error}");
    }
    assert!(errors.iter().all(|e| e.to_string().starts_with("rule ")));
}

/// Guards against a misleading response: a store that is bound to a version responds `exists` when it is
/// executed twice.
#[test]
fn a_request_bound_to_a_version_is_not_mapped_to_an_idempotent_class() {
    let m = mapping(false);
    let bound = |key| m.map(&Header { cas: 5, ..header(Opcode::Set, key) }, None).map(|mapped| mapped.class);
    assert_eq!(bound("way/7"), Err(Unmapped::BoundToVersion));
    assert_eq!(bound("cod/7"), Ok(1));
}

/// For any rules, no operation is mapped to a class that does not allow it.
#[test]
fn no_request_is_mapped_to_a_class_that_does_not_allow_it() {
    use proptest::prelude::*;
    let any = (proptest::collection::vec((any::<u16>(), 0usize..4), 0..6), 0u8..0x26, 0u64..3);
    proptest!(|((rules, opcode, cas) in any)| {
        let rules = rules.iter().map(|(bits, class)| {
            let all = Opcode::VARIANTS.iter().copied().filter(|o| is_for_nodes(*o)).enumerate();
            let operations = all.filter(|(n, _)| bits >> n & 1 == 1).map(|(_, o)| o).collect();
            ClassRule { operations, prefix: Vec::new(), class: *class }
        }).collect();
        if let Ok(m) = RequestMapping::new(rules, TenantRules::default(), &CLASS_IDEMPOTENCY, true) {
            let header = Header { opcode, cas, ..header(Opcode::Get, "k") };
            if let Ok(mapped) = m.map(&header, None) {
                let operation = header.operation().expect("mapped");
                prop_assert!(class_allows(CLASS_IDEMPOTENCY[mapped.class], repeat_effect(operation, cas)));
            }
        }
    });
}
