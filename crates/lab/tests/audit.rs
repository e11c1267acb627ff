//! Tests the auditor with faulty proxies. For each rule, a proxy that breaks it on purpose is reported for that rule
//! only. A proxy that breaks no rule passes.

#[path = "broken/proxy.rs"]
mod proxy;

use aniseyoke_lab_audit::Rule;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_trial::{run, Options, Report};
use proxy::Fault;
use std::sync::{Mutex, PoisonError};

/// A short day at a small site.
const DAY: &str = r#"
name = "short"
about = "A few seconds for proxies that break a rule."
length = "3s"
seed = 5

[site.proxy]
count = 1

[site.cache]
count = 4
memory = 0.5
kinds = [{ name = "std", share = 1.0, speed = 1.0 }]

[site.ledger]
cores = 4
repeats = "500ms"

[site.roster]
lag_least = "20ms"
lag_most = "50ms"

[load]
rate = 120
keys = 500
zipf = 1.0
retries = { most = 0 }
classes = [
    { name = "track-lookup", share = 0.8, effect = "safe", work = "4ms", aim = "600ms", give_up = "1500ms", worth = 2 },
    { name = "cod-settle", share = 0.1, effect = "unsafe", write = true, work = "4ms", aim = "800ms", give_up = "1500ms", worth = 10, body_bytes = 100 },
    { name = "scan-event", share = 0.1, effect = "keyed", write = true, work = "4ms", aim = "1s", give_up = "1500ms", worth = 2, body_bytes = 100 },
]
tenants = [{ name = "hanbit-main", share = 1.0 }]
"#;

fn day(change: impl FnOnce(String) -> String) -> Day {
    Day::parse("short", &change(DAY.to_owned())).unwrap_or_else(|e| panic!("{e}"))
}

/// Ensures that only one day runs at a time. Concurrent days delay each other's load on a busy machine, and a day whose
/// load is sent late is void.
static PLAYING: Mutex<()> = Mutex::new(());

fn play(day: &Day, fault: Fault) -> Report {
    let _guard = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let report = run(day, &fault, &Options::default()).expect("played");
    assert_eq!(report.void, None, "{}", report.text());
    assert!(report.all.requests > 100, "{}", report.text());
    report
}

/// Returns the rules that were broken.
fn broken(report: &Report) -> Vec<Rule> {
    report.audit.broken.keys().copied().collect()
}

fn assert_only_breaks(fault: Fault, rule: Rule) {
    let report = play(&day(|text| text), fault);
    assert_eq!(broken(&report), [rule], "{}", report.text());
    let violation = &report.audit.violations[0];
    assert!(!violation.history.is_empty() && !violation.what.is_empty());
}

/// Adds the deployment of one node to the day.
fn with_deploy(text: String) -> String {
    text + "\n[[trouble]]\nkind = \"deploy\"\nat = \"300ms\"\nfor = \"4s\"\nnodes = [1]\n"
}

fn with_crash(text: String) -> String {
    text + "\n[[trouble]]\nkind = \"crash\"\nat = \"300ms\"\nfor = \"500ms\"\nnodes = [1]\n"
}

#[test]
fn a_proxy_that_breaks_no_rule_passes() {
    let report = play(&day(|t| with_deploy(t).replace("length = \"3s\"", "length = \"6s\"")), Fault::None);
    assert_eq!(broken(&report), [], "{}", report.text());
    assert!(report.passed());
}

#[test]
fn a_lost_answer_is_caught() {
    // A client assumes that a connection closed without a response was closed before its request arrived, and sends the
    // request again. A request that is not idempotent may then be executed twice.
    let report = play(&day(|text| text), Fault::ClosesWithoutResponse);
    assert!(
        broken(&report) == [Rule::Lost] || broken(&report) == [Rule::Lost, Rule::RanTwice],
        "{}",
        report.text()
    );
}

#[test]
fn a_request_without_a_response_is_caught() {
    assert_only_breaks(Fault::NeverResponds, Rule::Unanswered);
}

#[test]
fn a_second_answer_is_caught() {
    assert_only_breaks(Fault::RespondsTwice, Rule::AnsweredTwice);
}

#[test]
fn a_repeated_request_that_is_not_idempotent_is_caught() {
    assert_only_breaks(Fault::RepeatsNotIdempotent, Rule::RanTwice);
}

#[test]
fn a_repeat_after_its_mark_is_forgotten_is_caught() {
    assert_only_breaks(Fault::RepeatsKeyed, Rule::KeyedTwice);
}

#[test]
fn a_request_forwarded_after_its_client_disconnected_is_caught() {
    let day = day(|text| text.replace("[load]", "[load]\nrude = { leave_waiting = 0.3 }"));
    let report = play(&day, Fault::ForwardsLate);
    assert_eq!(broken(&report), [Rule::SentForNobody, Rule::AttemptForNobody], "{}", report.text());
    assert!(
        report.audit.forwarded_after_abort * 4 > report.audit.left && report.audit.left > 20,
        "{}",
        report.text()
    );
    let without_fault = play(&day, Fault::None);
    assert_eq!(
        (broken(&without_fault), without_fault.audit.forwarded_after_abort),
        (vec![], 0),
        "{}",
        without_fault.text()
    );
    assert!(without_fault.audit.left > 20, "{}", without_fault.text());
}

#[test]
fn attempts_soon_after_a_client_disconnected_are_caught_from_the_third() {
    let with_aborts = |part: &str| {
        let with_aborts = format!("[load]\nrude = {{ leave_waiting = {part} }}");
        day(|text| text.replace("[load]", &with_aborts))
    };
    let report = play(&with_aborts("0.3"), Fault::ForwardsSoon);
    assert_eq!(broken(&report), [Rule::AttemptForNobody], "{}", report.text());
    let audit = &report.audit;
    assert!(audit.attempts_after_abort > 20, "{}", report.text());
    assert_eq!(audit.broken[&Rule::AttemptForNobody], audit.attempts_after_abort - 2, "{}", report.text());
}

#[test]
fn a_changed_answer_is_caught() {
    assert_only_breaks(Fault::CorruptsResponses, Rule::ForeignAnswer);
}

#[test]
fn an_invented_request_is_caught() {
    assert_only_breaks(Fault::InventsRequests, Rule::ForeignRequest);
}

#[test]
fn a_request_sent_to_a_draining_node_is_caught() {
    let day = day(|text| with_deploy(text).replace("length = \"3s\"", "length = \"5s\""));
    let report = play(&day, Fault::IgnoresDraining);
    assert_eq!(broken(&report), [Rule::Drain], "{}", report.text());
}

#[test]
fn a_cold_node_that_is_pushed_over_is_caught() {
    let day = day(|text| {
        with_crash(text)
            .replace(
                "memory = 0.5",
                "memory = 0.5\ncold_from = 0.1\ncold = \"10s\"\nfall = \"1s\"\nmiss_work = 1.0",
            )
            .replace("rate = 120", "rate = 250")
    });
    let report = play(&day, Fault::OverloadsColdNode);
    assert_eq!(broken(&report), [Rule::ColdFall], "{}", report.text());
}

#[test]
fn an_origin_overload_by_misses_at_a_cold_node_is_caught() {
    let day = day(|text| {
        with_crash(text)
            .replace("cores = 4", "cores = 0.5\nstop_after = \"1s\"\nroom = 100000\nslots = 500")
            .replace("memory = 0.5", "memory = 0.5\ncold = \"10s\"\nfall_multiple = 1000.0")
            .replace("name = \"cod-settle\", share = 0.1", "name = \"cod-settle\", share = 0.01")
            .replace("name = \"scan-event\", share = 0.1", "name = \"scan-event\", share = 0.01")
            .replace("share = 0.8", "share = 0.98")
    });
    let report = play(&day, Fault::OverloadsOrigin);
    assert!(broken(&report).contains(&Rule::LedgerStop), "{}", report.text());
}

#[test]
fn a_proxy_that_ends_by_itself_is_caught_with_its_last_lines() {
    let report = play(&day(|text| text), Fault::Exits);
    assert!(broken(&report).contains(&Rule::Crash), "{}", report.text());
    assert!(report.crashes[0].contains("the last line"), "{:?}", report.crashes);
    assert!(!report.passed());
}
