//! Tests which day files are accepted, and the errors for those that are rejected.

use super::*;

const QUIET: &str = include_str!("../days/quiet.toml");

fn problems(text: &str) -> Vec<String> {
    Day::parse("my.toml", text).expect_err("refused").problems
}

#[test]
fn every_built_in_day_is_valid_and_has_its_own_name() {
    for (name, text) in BUILTIN {
        let day = Day::parse(name, text).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(day.name, name);
    }
}

#[test]
fn an_unknown_key_is_rejected_with_its_position() {
    let problem = problems(&QUIET.replace("rate =", "rats ="));
    assert!(problem[0].contains("rats") && problem[0].contains("line"), "{problem:?}");
}

#[test]
fn a_wrong_unit_is_rejected_with_its_position() {
    let problem = problems(&QUIET.replace("length = \"20s\"", "length = \"20 parsecs\""));
    assert!(problem[0].contains("parsecs") && problem[0].contains("line 3"), "{problem:?}");
}

/// Guards against errors that are reported one at a time, so that each correction needs another run.
#[test]
fn all_invalid_values_are_reported_at_once_each_with_its_key() {
    let text = QUIET
        .replace("rate = 250", "rate = -1")
        .replace("count = 10", "count = 0")
        .replace("aim = \"600ms\"", "aim = \"6s\"")
        .replace("share = 0.55", "share = 0.95");
    let text = format!("{text}\n[[trouble]]\nkind = \"slow\"\nat = \"1h\"\nfor = \"1s\"\nnodes = [77]\n");
    let problems = problems(&text);
    let keys: Vec<&str> = problems.iter().filter_map(|f| f.split(':').next()).collect();
    assert_eq!(
        keys,
        [
            "site.cache.count",
            "load.rate",
            "load.classes.0.aim",
            "load.tenants",
            "trouble.0.at",
            "trouble.0.nodes",
            "trouble.0.size"
        ],
        "{problems:?}"
    );
}

/// Guards against a site that runs out of addresses: each node that a deploy starts needs its own.
#[test]
fn more_deploys_than_a_site_has_addresses_for_are_rejected() {
    let deploy = "\n[[trouble]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"1s\"\npart = 1.0\n".repeat(301);
    let problems = problems(&(QUIET.to_owned() + &deploy));
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems.iter().all(|f| f.starts_with("trouble: ")), "{problems:?}");
}

#[test]
fn the_error_for_an_unknown_day_lists_the_built_in_days() {
    let error = Day::open("no-such-day").expect_err("nowhere").to_string();
    assert!(error.contains("no-such-day") && error.contains("chuseok"), "{error}");
}

#[test]
fn a_shortened_day_scales_the_times_of_its_faults() {
    let day = Day::open("deploy").expect("built in").shortened(0.5);
    assert_eq!((day.length, day.faults[0].at), (Duration::from_secs(15), Duration::from_secs(2)));
}
