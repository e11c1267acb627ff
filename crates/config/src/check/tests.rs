use super::*;

fn faults(text: &str) -> Vec<String> {
    check(text, "f.toml", true).1.faults.iter().map(ToString::to_string).collect()
}

#[test]
fn a_sound_text_has_no_fault() {
    let text = "[log]\nlevel = \"debug\"\n[limits.queue]\ninterval = \"50ms\"\n[pools.a]\nzones = [\"x\"]";
    assert_eq!(faults(text), Vec::<String>::new());
}

#[test]
fn all_faults_are_told_at_once_with_their_places() {
    let text = "[log]\nlevl = \"info\"\nburst = 0\nformat = \"xml\"\n[limits.queue]\ninterval = 5\ntarget = \"5\"\n[nothing]\n";
    let told = faults(text);
    let wanted = [
        "f.toml:2:1: log.levl: there is no such key; did you mean \"level\"?",
        "f.toml:3:9: log.burst: 0 lies outside of 1 to 100000",
        "f.toml:4:10: log.format: \"xml\" is none of plain, json",
        "f.toml:6:12: limits.queue.interval: a text with a time and its unit, such as \"100ms\" is wanted, not a whole number",
        "f.toml:7:10: limits.queue.target: \"5\" is no time with a unit",
        "f.toml:8:2: nothing: there is no such key; there is control, features, limits, list, log, opening, overlays, pools, routes, tenants",
    ];
    assert_eq!(told.len(), wanted.len(), "{told:#?}");
    for want in wanted {
        assert!(told.iter().any(|t| t.starts_with(want)), "{want} is not in {told:#?}");
    }
}

#[test]
fn a_cycle_for_lists_that_comes_too_late_is_refused_with_the_reason() {
    let told = faults("[list]\nevery = \"4s\"\n");
    let why = "a change of the list counts as told 6 s after the list service could be reached";
    assert_eq!(told, [format!("f.toml:2:9: list.every: 4s lies outside of 100ms to 3s 600ms: {why}")]);
    assert_eq!(faults("[list]\nevery = \"3600ms\"\n"), Vec::<String>::new());
}

#[test]
fn a_text_that_is_no_toml_is_told_with_every_line_at_fault() {
    let told = faults("a = \nb = 1\nc = [1,\n");
    assert!(told.iter().any(|t| t.starts_with("f.toml:1:")), "{told:?}");
    assert!(told.len() >= 2, "{told:?}");
}

#[test]
fn the_faults_of_a_text_without_sense_are_bounded() {
    let text: String = (0..10_000).map(|n| format!("k{n} = 1\n")).collect();
    assert_eq!(check(&text, "f", true).1.faults.len(), FAULTS_MOST);
}

#[test]
fn a_number_of_any_size_or_form_is_no_panic() {
    for number in ["99999999999999999999", "0x7fffffffffffffff", "-1", "1e400", "nan", "inf", "1_000"] {
        faults(&format!("[log]\nburst = {number}\n[tenants.a]\nshare = {number}\n"));
    }
}
