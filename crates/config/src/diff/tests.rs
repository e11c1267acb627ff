use super::*;
use crate::layers::{resolve, Layer};

fn parsed(text: &str) -> Operator {
    resolve([Layer::File("f".into(), text.into())]).expect("sound").operator
}

#[test]
fn changes_are_reported_with_whether_they_require_a_restart() {
    let before = parsed("[log]\nlevel = \"warn\"\nburst = 3");
    let after = parsed("[log]\nburst = 3\n[log.targets]\ndiscovery = \"debug\"\n[tenants.a]\nshare = 5.0");
    let reported: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
    let wanted = [
        "log.level: \"warn\" -> \"info\" (reload)",
        "log.targets.discovery: - -> \"debug\" (reload)",
        "tenants.a.share: - -> 5.0 (restart)",
    ];
    assert_eq!(reported, wanted);
}

#[test]
fn equivalent_configurations_do_not_differ() {
    assert_eq!(diff(&parsed(""), &parsed("[log]\nformat = \"plain\"")), []);
}
