use super::*;

#[test]
fn the_defaults_are_valid() {
    assert_eq!(LimitsConfig::default().check(), Ok(()));
}

/// Guards against a renamed key, which would make a proxy reject existing operators' files.
#[test]
fn the_keys_match_the_format_of_operators_files() {
    fn keys(value: &serde_json::Value) -> Vec<&str> {
        value.as_object().expect("a table").keys().map(String::as_str).collect()
    }
    let written = serde_json::to_value(LimitsConfig::default()).expect("serializable");
    let mut top_keys = keys(&written);
    top_keys.sort_unstable();
    assert_eq!(top_keys, ["node", "origin", "over_share_part", "queue"]);
    for bounds in ["node", "origin"] {
        let mut bounds_keys = keys(&written[bounds]);
        bounds_keys.sort_unstable();
        assert_eq!(bounds_keys, ["ceiling", "floor", "start", "tolerance"]);
    }
    let mut queue_keys = keys(&written["queue"]);
    queue_keys.sort_unstable();
    assert_eq!(queue_keys, ["interval", "most", "target"]);
    let read: LimitsConfig = serde_json::from_value(written).expect("readable");
    assert_eq!(read, LimitsConfig::default());
}

/// Guards against a renamed definition, which editors and checks that refer to it by name would no longer
/// find.
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
