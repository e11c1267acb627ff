use super::*;

#[test]
fn a_key_is_explained_with_all_its_properties() {
    let explained = explain("log.burst").expect("known");
    for part in ["integer", "lines", "100", "1 to 100000", "since     0.3", "takes a restart", "at once"] {
        assert!(explained.contains(part), "{part} is not in {explained}");
    }
    assert!(explain("log.level").expect("known").contains("takes a reload"));
    let explained = explain("limits.queue.interval").expect("known");
    assert!(explained.contains("duration") && explained.contains("100ms"), "{explained}");
}

#[test]
fn every_key_has_a_description_and_a_first_version() {
    for key in keys() {
        let of = |name| key.property(name).and_then(Value::as_str).unwrap_or_default();
        assert!(of("description").len() > 10, "{} has no meaning", key.path);
        assert!(!of("x-since").is_empty(), "{} has no since", key.path);
        assert!(["reload", "restart"].contains(&of("x-apply")), "{} does not say how it changes", key.path);
    }
    assert!(keys().len() > 15);
}

#[test]
fn an_unknown_key_is_answered_with_the_nearest_one_and_a_table_with_all_below_it() {
    assert!(explain("log.brust").expect_err("none").to_string().contains("log.burst"));
    assert!(explain("limits.node").expect("a part").contains("limits.node.ceiling"));
    assert!(explain("pools.east.zones").expect("by pattern").contains("Names of zones"));
}
