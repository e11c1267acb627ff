use crate::plan::{DelayedThread, Phase, Reader, StartPlan, Terminate, DELAYED_CALLS, DELAY_RULE};
use crate::threads::ThreadUsage;
use crate::verdict::{allowed_end, End, Fault, StartReport};
use aniseyoke_faults::CallTarget;
use std::collections::HashSet;
use std::os::unix::process::ExitStatusExt;
use std::process::ExitStatus;
use std::time::Duration;

#[test]
fn start_plans_are_repeatable_and_cover_every_call() {
    let text = |seed, number| format!("{:?}", StartPlan::draw(seed, number));
    assert_eq!(text(7, 123), text(7, 123));
    assert_ne!(text(7, 123), text(8, 123));
    let calls: u64 = DELAYED_CALLS.iter().map(|(_, _, most)| most).sum();
    let all = 2 * calls;
    let holds = (0..all).map(|number| StartPlan::draw(7, number).hold);
    let kinds: HashSet<String> =
        holds.map(|h| format!("{:?} {:?} {} {:?}", h.thread, h.call, h.nth, h.phase)).collect();
    assert_eq!(kinds.len() as u64, all);
    let (first, again) = (StartPlan::draw(7, 0).hold, StartPlan::draw(7, all).hold);
    assert_eq!((first.call, first.nth, first.phase), (again.call, again.nth, again.phase));
}

#[test]
fn a_call_is_delayed_only_in_its_phase() {
    let hold = StartPlan::draw(7, 0).hold;
    let delay_rules =
        |phase| hold.plan(phase, "a").rules.iter().filter(|rule| rule.name == DELAY_RULE).count();
    assert_eq!((hold.phase, delay_rules(Phase::Start), delay_rules(Phase::End)), (Phase::Start, 1, 0));
}

/// Guards against a rule that matches no thread because the program's file has another name.
#[test]
fn a_rule_for_the_serving_thread_names_the_truncated_program_name() {
    let hold =
        (0..).map(|number| StartPlan::draw(7, number).hold).find(|h| h.thread == DelayedThread::Serving);
    let hold = hold.expect("one");
    let about = hold.plan(hold.phase, "a-program-with-a-long-name").rules.pop().map(|rule| rule.about);
    assert_eq!(about, Some(CallTarget::Thread("a-program-with-".into())));
}

fn spent(ran_ms: u64, waited_ms: u64) -> ThreadUsage {
    let [elapsed, ran, waited] = [1000, ran_ms, waited_ms].map(Duration::from_millis);
    ThreadUsage { thread: "log".into(), elapsed, ran, waited }
}

/// A thread that waits for a processor is due to the machine's load; a thread that never sleeps is a fault of
/// the program.
#[test]
fn spinning_starving_and_working_threads_are_distinguished() {
    let judged = |spent: ThreadUsage| (spent.spins(), spent.starves());
    assert_eq!(judged(spent(970, 10)), (true, false));
    assert_eq!(judged(spent(300, 690)), (true, true), "it spins on a busy machine");
    assert_eq!(judged(spent(50, 900)), (false, true), "it starves");
    assert_eq!(judged(spent(500, 20)), (false, false), "it sleeps half of the time");
}

fn plan(terminate: Terminate) -> StartPlan {
    let mut plan = StartPlan::draw(1, 1);
    plan.hold.hold_ms = 60;
    plan.longest_deadline_ms = 4000;
    plan.reader = Reader::Reads;
    plan.terminate = terminate;
    plan
}

fn ended(terminate: Terminate, ready: bool, status: i32, took_ms: u64) -> Vec<Fault> {
    let mut report = StartReport::new(plan(terminate));
    report.ready_after = ready.then_some(Duration::ZERO);
    let (took, status) = (Duration::from_millis(took_ms), ExitStatus::from_raw(status));
    report.judge_end(&End { took, status, killed: false });
    report.faults
}

#[test]
fn an_exit_is_judged_by_its_time_and_status() {
    let (early, late) = (Terminate::AfterSpawn(0), Terminate::AfterReady(0));
    // The longest deadline is capped at 3 s, the margin is 0.7 s, and the harness adds a delay of 0.06 s.
    assert_eq!(allowed_end(&plan(late)), Duration::from_millis(3760));
    assert_eq!(ended(late, true, 0, 3760), []);
    assert!(matches!(ended(late, true, 0, 3761)[..], [Fault::EndsLate { .. }]));
    assert!(matches!(ended(late, true, 1 << 8, 0)[..], [Fault::WrongStatus(_)]));
    assert!(matches!(ended(late, true, nix::libc::SIGTERM, 0)[..], [Fault::WrongStatus(_)]));
    assert_eq!(ended(early, false, nix::libc::SIGTERM, 0), [], "SIGTERM was not handled yet");
    assert!(matches!(ended(early, false, nix::libc::SIGABRT, 0)[..], [Fault::WrongStatus(_)]));
}

#[test]
fn a_log_that_is_read_must_contain_the_listening_and_draining_lines() {
    let mut report = StartReport::new(plan(Terminate::AfterReady(0)));
    report.lines = vec!["aniseyoke: listening on 127.0.0.1:1".into()];
    report.judge_log();
    assert_eq!(report.faults, [Fault::LineMissing("draining")]);
    report.faults.clear();
    report.plan.reader = Reader::Gone;
    report.judge_log();
    assert_eq!(report.faults, []);
}
