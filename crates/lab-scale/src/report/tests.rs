use super::super::figures::quantile;
use super::super::host::{MemberReport, MemberTraffic};
use super::super::play::ChildUsage;
use super::super::tally::CompletionTally;
use super::*;
use std::collections::BTreeMap;

const PLAN: &str = "length = \"10s\"\ntopology = \"direct\"\nregions = 1\nzones = 1\nsites = 1\n\
                    proxies = 2\nnodes = 0\nreal = 1\n[purges]\nper_second = 1\n";

fn outcome() -> Outcome {
    let mut hollow = MemberReport {
        purges: CompletionTally::new(2),
        versions: CompletionTally::new(2),
        ..MemberReport::default()
    };
    for member in 0..2 {
        hollow.purges.record(member, 1, 250_000_000);
        hollow.versions.record(member, 2, 300_000_000);
        let traffic = Traffic { bytes_in: 900, bytes_out: 100, frames_in: 5, frames_out: 5, segments: 10 };
        let name = format!("hollow-{member}");
        hollow.members.push(MemberTraffic { name, node: false, control: traffic, list: Traffic::default() });
    }
    let mut real = CompletionTally::new(1);
    real.record(0, 2, 700_000_000);
    let published = |number| Published {
        number,
        due: Duration::from_millis(50),
        due_at: 50_000_000,
        called_at: 51_000_000,
        answered_at: 52_000_000,
    };
    let usage = |kind| (kind, vec![ChildUsage { cpu_s: 0.1, memory_mb: 8.0 }]);
    Outcome {
        seconds: 10.0,
        processes: 3,
        hollow,
        real,
        purges: vec![published(1)],
        changes: vec![published(2)],
        due: (1, 1),
        retries: (0, String::new()),
        usage: BTreeMap::from([usage("root"), usage("real"), usage("host")]),
        played: Vec::new(),
        problems: Vec::new(),
        schedule: Default::default(),
    }
}

fn value(evaluation: &Evaluation, name: &str) -> f64 {
    let found = evaluation.scale.figures.iter().find(|f| f.name == name);
    found.unwrap_or_else(|| panic!("no figure {name}")).value
}

#[test]
fn the_last_member_real_or_hollow_determines_the_propagation_time() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    let evaluation = evaluate("a", "p.toml", &plan, 1, &outcome());
    assert!(evaluation.complete, "{:?}", evaluation.problems);
    assert_eq!(value(&evaluation, "purge.done_everywhere.most"), 200.0);
    assert_eq!(value(&evaluation, "change.done_everywhere.p50"), 650.0);
    assert_eq!(value(&evaluation, "hollow_proxy.control.bytes.mean"), 100.0);
    assert_eq!(value(&evaluation, "hollow_proxy.control.bytes_with_headers_estimated.mean"), 152.0);
    assert_eq!(value(&evaluation, "hollow_member.core.mean"), 0.005);
    let json = serde_json::to_value(&evaluation.scale).expect("JSON");
    assert_eq!(json["figures"][0]["name"], "run.complete");
    assert!(json["figures"][0].get("limit").is_none());
    assert!(table(&evaluation, &outcome()).contains("\ncomplete"));
}

#[test]
fn a_purge_missing_at_one_member_is_reported_and_the_run_is_incomplete() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    let mut lacking = outcome();
    lacking.hollow.purges = CompletionTally::new(2);
    lacking.hollow.purges.record(0, 1, 1);
    let evaluation = evaluate("a", "p.toml", &plan, 1, &lacking);
    assert!(!evaluation.complete);
    assert_eq!(value(&evaluation, "purge.not_done_everywhere"), 1.0);
    assert!(evaluation.problems.iter().any(|t| t.contains("hollow-1@0")), "{:?}", evaluation.problems);
    let mut unmade = outcome();
    unmade.due.0 = 2;
    assert!(!evaluate("a", "p.toml", &plan, 1, &unmade).complete);
}

#[test]
fn quantiles_are_elements_of_the_values() {
    let values: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!([0.5, 0.99, 1.0].map(|q| quantile(&values, q)), [Some(50.0), Some(99.0), Some(100.0)]);
    assert_eq!((quantile(&[7.0], 0.01), quantile(&[], 0.5)), (Some(7.0), None));
}
