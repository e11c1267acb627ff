//! Tests of the plans of seeds, and of the evaluation of the proxies' log.

use crate::batch::parse_seeds;
use crate::connection_ends::ConnectionEnds;
use crate::plan::{SignalKind, SoakPlan, Succession};
use crate::verdict::ProcessEnd;

#[test]
fn a_plan_is_determined_by_its_seed_and_within_the_limits() {
    for seed in 0..500 {
        let plan = SoakPlan::draw(seed);
        let again = SoakPlan::draw(seed);
        assert_eq!(serde_json::to_value(&plan).expect("JSON"), serde_json::to_value(&again).expect("JSON"));
        assert!(plan.kill_after().as_millis() <= 3700, "seed {seed}: {plan:?}");
        for restart in &plan.restarts {
            let terminates: Vec<i64> =
                restart.signals.iter().filter(|s| s.kind == SignalKind::Terminate).map(|s| s.at_ms).collect();
            assert_eq!(terminates[0], 0, "seed {seed}: {restart:?}");
            assert!(
                (2..=4).contains(&terminates.len())
                    && terminates[1..].iter().all(|at| (10..=900).contains(at))
            );
        }
        assert!(plan.succession == Succession::Handover || plan.restarts.len() > 1, "seed {seed}: {plan:?}");
        plan.day().expect("a valid day");
    }
    let plans: Vec<SoakPlan> = (0..50).map(SoakPlan::draw).collect();
    assert!(plans.iter().any(|plan| plan.crowd > 0) && plans.iter().any(|plan| plan.crowd == 0));
    assert!(plans.iter().any(|plan| plan.longest_deadline_ms < 1000));
    assert!(plans.iter().any(|plan| plan.succession == Succession::AfterEnd));
}

#[test]
fn a_request_that_was_read_but_not_answered_is_detected_in_the_log() {
    let log = "     1.0 p0[7] aniseyoke: 127.0.0.1:4 closed (idle): 2 requests read, 2 answered, 0 bytes of another, 0 bytes unread
     1.1 p0[7] aniseyoke: 127.0.0.1:5 closed (displaced): 2 requests read, 1 answered, 0 bytes of another, 0 bytes unread
     1.2 p0[7] aniseyoke: 127.0.0.1:6 closed (its head is overdue): 0 requests read, 0 answered, 20 bytes of another refused, 0 bytes unread
     1.3 p0[7] aniseyoke: 127.0.0.1:7 closed (idle): 0 requests read, 0 answered, 20 bytes of another, 0 bytes unread
     1.4 p0[7] aniseyoke: 127.0.0.1:8 closed (ended by its client): 0 requests read, 0 answered, 20 bytes of another, 0 bytes unread
     1.4 p0[7] aniseyoke: 127.0.0.1:10 closed (ended by its client; was to be closed: displaced): 0 requests read, 0 answered, 20 bytes of another, 0 bytes unread
     1.4 p0[7] aniseyoke: 127.0.0.1:11 closed (ended with an answer; was to be closed: idle): 1 requests read, 1 answered, 20 bytes of another, 0 bytes unread
     1.4 p0[7] aniseyoke: 127.0.0.1:12 closed (malformed head): 0 requests read, 0 answered, 20 bytes of another, 0 bytes unread
     1.5 p0[7] aniseyoke: 127.0.0.1:9 closed (displaced): 1 requests read, 1 answered, 0 bytes of another, 90 bytes unread
     1.6 p0[7] aniseyoke: draining";
    let ends = ConnectionEnds::count(log);
    assert_eq!((ends.ended, ends.unread, ends.crossed), (9, 1, 1));
    let ports: Vec<bool> =
        [":5 ", ":7 ", ":11 "].iter().zip(&ends.unanswered).map(|(port, line)| line.contains(port)).collect();
    assert_eq!((ends.unanswered.len(), ports), (3, vec![true, true, true]));
}

#[test]
fn only_a_successful_end_after_sigterm_and_before_the_kill_is_clean() {
    let end = |status: Option<&str>| ProcessEnd { proxy: 0, after_s: 1.0, status: status.map(str::to_owned) };
    assert!(end(Some("exit status: 0")).is_clean());
    for status in
        [None, Some("exit status: 1"), Some("signal: 15 (SIGTERM)"), Some("exit status: 0 before SIGTERM")]
    {
        assert!(!end(status).is_clean(), "{status:?}");
    }
}

#[test]
fn seeds_are_a_range_or_a_single_number() {
    assert_eq!(parse_seeds("3..7").expect("a range"), 3..=7);
    assert_eq!(parse_seeds("5").expect("one"), 5..=5);
    for bad in ["", "7..3", "a..b", "1..", "-1..2", "1..18446744073709551615"] {
        let error = parse_seeds(bad).expect_err("no seeds").to_string();
        assert!(error.contains(&format!("{bad:?}")), "{error}");
    }
}
