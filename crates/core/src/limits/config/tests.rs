use super::*;

#[test]
fn the_defaults_are_sound() {
    assert_eq!(LimitsConfig::default().check(), Ok(()));
}

/// Danger: a key that is renamed makes a proxy refuse the file that its operator has written.
#[test]
fn the_keys_are_those_that_operators_write() {
    fn keys(value: &serde_json::Value) -> Vec<&str> {
        value.as_object().expect("a table").keys().map(String::as_str).collect()
    }
    let written = serde_json::to_value(LimitsConfig::default()).expect("serializable");
    let mut top = keys(&written);
    top.sort_unstable();
    assert_eq!(top, ["node", "origin", "over_share_part", "queue"]);
    for bounds in ["node", "origin"] {
        let mut of_bounds = keys(&written[bounds]);
        of_bounds.sort_unstable();
        assert_eq!(of_bounds, ["ceiling", "floor", "start", "tolerance"]);
    }
    let mut of_queue = keys(&written["queue"]);
    of_queue.sort_unstable();
    assert_eq!(of_queue, ["interval", "most", "target"]);
    let read: LimitsConfig = serde_json::from_value(written).expect("readable");
    assert_eq!(read, LimitsConfig::default());
}

/// Danger: an editor or a check that refers to a definition by its name in the schema would no longer find it.
#[test]
fn the_schema_names_the_same_keys_and_definitions() {
    let schema = schemars::schema_for!(LimitsConfig).to_value();
    assert_eq!(schema["title"], "Rules");
    for key in ["node", "origin", "over_share_part", "queue"] {
        assert!(schema["properties"][key].is_object(), "{key} is not in {schema}");
    }
    assert!(schema["$defs"]["Bounds"]["properties"]["floor"].is_object(), "{schema}");
    assert!(schema["$defs"]["QueueRules"]["properties"]["most"].is_object(), "{schema}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut config = LimitsConfig { over_quota_fraction: 2.0, ..LimitsConfig::default() };
    config.node.tolerance = 0.0;
    config.queue.interval = Duration::ZERO;
    let keys: Vec<&str> = config.validate().iter().map(|error| error.key).collect();
    assert_eq!(keys, ["node.tolerance", "over_share_part", "queue.interval", "queue.target"]);
}

#[test]
fn each_bad_value_is_reported_with_its_key_and_reason() {
    type Change = fn(&mut LimitsConfig);
    let cases: [(&str, Change, &str); 10] = [
        ("node.floor", |c| c.node.floor = 0.0, "outside"),
        ("node.floor", |c| c.node.floor = 600.0, "above the ceiling"),
        ("node.floor", |c| c.node.floor = 9.0, "above the start"),
        ("origin.start", |c| c.origin.start = 1e6, "outside"),
        ("node.start", |c| c.node.start = 513.0, "above the ceiling"),
        ("node.tolerance", |c| c.node.tolerance = f64::NAN, "outside"),
        ("over_share_part", |c| c.over_quota_fraction = 1.5, "outside"),
        ("queue.most", |c| c.queue.max_length = 1 << 20, "outside"),
        ("queue.interval", |c| c.queue.interval = Duration::from_secs(60), "outside"),
        ("queue.target", |c| c.queue.target = Duration::from_millis(200), "above the interval"),
    ];
    for (key, change, reason) in cases {
        let mut config = LimitsConfig::default();
        change(&mut config);
        let error = config.check().expect_err(key);
        assert_eq!(error.key, key);
        assert!(error.to_string().contains(reason), "{error}");
    }
}
