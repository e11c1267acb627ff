use super::*;

fn errors(text: &str) -> Vec<String> {
    check_text(text, "f.toml", true).1.errors.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_text_has_no_errors() {
    let text = "[log]\nlevel = \"debug\"\n[limits.queue]\ninterval = \"50ms\"\n[pools.a]\nzones = [\"x\"]";
    assert_eq!(errors(text), Vec::<String>::new());
}

#[test]
fn all_errors_are_reported_at_once_with_their_locations() {
    let text = "[log]\nlevl = \"info\"\nburst = 0\nformat = \"xml\"\n[limits.queue]\ninterval = 5\ntarget = \"5\"\n[nothing]\n";
    let reported = errors(text);
    let wanted = [
        "f.toml:2:1: log.levl: there is no such key; did you mean \"level\"?",
        "f.toml:3:9: log.burst: 0 lies outside of 1 to 100000",
        "f.toml:4:10: log.format: \"xml\" is none of plain, json",
        "f.toml:6:12: limits.queue.interval: a text with a time and its unit, such as \"100ms\" is wanted, not a whole number",
        "f.toml:7:10: limits.queue.target: \"5\" is no time with a unit",
        "f.toml:8:2: nothing: there is no such key; there is control, features, limits, list, log, opening, overlays, pools, routes, tenants",
    ];
    assert_eq!(reported.len(), wanted.len(), "{reported:#?}");
    for want in wanted {
        assert!(reported.iter().any(|t| t.starts_with(want)), "{want} is not in {reported:#?}");
    }
}

#[test]
fn a_poll_interval_that_is_too_long_is_rejected_with_the_reason() {
    let reported = errors("[list]\nevery = \"4s\"\n");
    let why = "a change of the list counts as told 6 s after the list service could be reached";
    assert_eq!(reported, [format!("f.toml:2:9: list.every: 4s lies outside of 100ms to 3s 600ms: {why}")]);
    assert_eq!(errors("[list]\nevery = \"3600ms\"\n"), Vec::<String>::new());
}

#[test]
fn a_text_that_is_not_toml_is_reported_with_each_invalid_line() {
    let reported = errors("a = \nb = 1\nc = [1,\n");
    assert!(reported.iter().any(|t| t.starts_with("f.toml:1:")), "{reported:?}");
    assert!(reported.len() >= 2, "{reported:?}");
}

#[test]
fn the_number_of_reported_errors_is_bounded() {
    let text: String = (0..10_000).map(|n| format!("k{n} = 1\n")).collect();
    assert_eq!(check_text(&text, "f", true).1.errors.len(), MAX_ERRORS);
}

#[test]
fn no_number_causes_a_panic() {
    for number in ["99999999999999999999", "0x7fffffffffffffff", "-1", "1e400", "nan", "inf", "1_000"] {
        errors(&format!("[log]\nburst = {number}\n[tenants.a]\nshare = {number}\n"));
    }
}
