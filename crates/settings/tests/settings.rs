//! Tests the parsing of settings as the platform writes them, and the errors for invalid ones.

use aniseyoke_decision::api::{Group, Idempotency};
use aniseyoke_settings::{parse_settings, SettingsError, DEFAULT_CONN_IDLE};

#[test]
fn settings_of_proxy_classes_and_tenants_are_read() {
    let pairs = [
        "n_instances=3",
        "self_index=2",
        "discovery=subscribe",
        "report.columns=tps,load_share",
        "categories.count=2",
        "categories.1.effect=keyed",
        "categories.1.group=zone",
        "categories.1.allowed_in=0,2",
        "customers.count=1",
        "customers.0.quota_rps=12.5",
        "an.unknown.path=1",
    ];
    let settings = parse_settings(pairs).expect("sound");
    assert_eq!((settings.proxies, settings.proxy_index, settings.subscribes), (3, 2, true));
    assert_eq!((settings.report_columns.rate, settings.report_columns.busy), (Some(0), Some(1)));
    let class = &settings.classes[1];
    assert_eq!((class.idempotency, class.group), (Idempotency::WithKey, Group::Zone));
    assert_eq!(class.allowed_servers.zones, Some(vec![0, 2]));
    assert_eq!(settings.tenants[0].quota_rps, 12.5);
}

#[test]
fn idle_time_origin_and_retry_after_have_defaults() {
    let settings = parse_settings([]).expect("sound");
    assert_eq!((settings.idle_timeout, settings.origin_kind), (DEFAULT_CONN_IDLE, None));
    let pairs = [
        "caps.conn_idle_ns=0",
        "family_info.origin_kind=4",
        "caps.max_retry_after_ns=9",
        "caps.retry_after=false",
    ];
    let settings = parse_settings(pairs).expect("sound");
    assert_eq!((settings.idle_timeout, settings.origin_kind, settings.max_retry_after), (0, Some(4), 0));
}

#[test]
fn errors_name_the_setting() {
    let error = |pair| parse_settings([pair]).expect_err("refused");
    assert_eq!(error("zone"), SettingsError::MissingValue("zone".into()));
    let bad_value = SettingsError::BadValue { path: "rules.fall_ns".into(), value: "soon".into() };
    assert_eq!(error("rules.fall_ns=soon"), bad_value);
    let too_large = SettingsError::TooLarge { path: "customers.count".into(), count: 4097 };
    assert_eq!(error("customers.count=4097"), too_large);
}

#[test]
fn fields_of_classes_beyond_the_count_are_ignored() {
    let settings = parse_settings(["categories.count=1", "categories.7.value=x"]).expect("sound");
    assert_eq!(settings.classes.len(), 1);
}
