//! Runs shortened days with the real proxy as a child process. No rule is broken, and the result is reproducible.

use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::{find_proxy, Program};
use aniseyoke_lab_trial::{run, Options, Report};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};

/// Ensures that only one day runs at a time, because a day uses most of the machine.
fn exclusive() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    EXCLUSIVE.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn proxy() -> Program {
    Program::new(find_proxy(None).expect("the proxy"))
}

fn play(day: &Day) -> Report {
    let report = run(day, &proxy(), &Options::default()).expect("played");
    assert!(report.passed(), "{}", report.text());
    report
}

fn shortened(name: &str, part: f64) -> Report {
    let _guard = exclusive();
    let day = Day::open(name).expect("built in").shortened(part);
    play(&day)
}

#[test]
fn quiet() {
    let report = shortened("quiet", 0.2);
    assert!(report.all.goodput > 0.98, "{}", report.text());
}

#[test]
fn deploy_twice_with_the_same_result() {
    for _ in 0..2 {
        let report = shortened("deploy", 0.35);
        assert!(report.all.goodput > 0.8, "{}", report.text());
    }
}

#[test]
fn silence() {
    let report = shortened("silence", 0.3);
    assert!(report.all.goodput > 0.8, "{}", report.text());
    assert!(report.all.outcomes.contains_key("left"), "some clients disconnect early: {}", report.text());
}

#[test]
fn ledger() {
    shortened("ledger", 0.35);
}

#[test]
fn chuseok() {
    let report = shortened("chuseok", 0.3);
    assert!(report.all.goodput > 0.7, "{}", report.text());
}

#[test]
fn rough() {
    let report = shortened("rough", 0.4);
    assert!(report.all.goodput > 0.7, "{}", report.text());
}

/// Guards against exhaustion by idle connections: they must not prevent clients that send requests from being served.
#[test]
fn a_thousand_hanging_connections() {
    let _guard = exclusive();
    let mut day = Day::open("quiet").expect("built in").shortened(0.25);
    day.load.misbehaving.idle_connections = 1000;
    let report = play(&day);
    assert!(report.all.goodput > 0.95, "{}", report.text());
    assert!(
        report.proxies.iter().all(|p| p.descriptors > 200),
        "the idle connections are open: {}",
        report.text()
    );
}

#[test]
fn concurrent_trials_do_not_interfere() {
    let _guard = exclusive();
    let mut day = Day::open("quiet").expect("built in").shortened(0.15);
    day.load.rate = 80.0;
    std::thread::scope(|scope| {
        let other = scope.spawn(|| play(&day));
        play(&day);
        other.join().expect("played");
    });
}

#[test]
fn a_program_that_does_not_start_is_reported_with_its_last_lines() {
    let day = Day::open("quiet").expect("built in");
    let program = Program {
        args: vec!["-c".into(), "echo no such luck >&2; exit 3".into()],
        ..Program::new(PathBuf::from("/bin/sh"))
    };
    let error = run(&day, &program, &Options::default()).expect_err("a failed start").to_string();
    assert!(error.contains("no such luck") && error.contains('3'), "{error}");
}
