use super::*;

#[test]
fn a_key_is_explained_with_all_its_properties() {
    let explained = explain("log.burst").expect("known");
    for part in ["integer", "lines", "100", "1 to 100000", "since     0.3", "requires a restart", "at once"] {
        assert!(explained.contains(part), "{part} is not in {explained}");
    }
    assert!(explain("log.level").expect("known").contains("requires a reload"));
    let explained = explain("limits.queue.interval").expect("known");
    assert!(explained.contains("duration") && explained.contains("100ms"), "{explained}");
}

#[test]
fn every_key_has_a_description_and_a_first_version() {
    for key in keys() {
        let of = |name| key.property(name).and_then(Value::as_str).unwrap_or_default();
        assert!(of("description").len() > 10, "{} has no description", key.path);
        assert!(!of("x-since").is_empty(), "{} has no first version", key.path);
        assert!(
            ["reload", "restart"].contains(&of("x-apply")),
            "{} does not say what a change requires",
            key.path
        );
    }
    assert!(keys().len() > 15);
}

#[test]
fn an_unknown_key_gets_the_most_similar_one_and_a_table_all_its_keys() {
    assert!(explain("log.brust").expect_err("none").to_string().contains("log.burst"));
    assert!(explain("limits.node").expect("a table").contains("limits.node.ceiling"));
    assert!(explain("pools.east.zones").expect("by pattern").contains("Names of zones"));
}
