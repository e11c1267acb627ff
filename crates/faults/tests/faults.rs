//! Tests of fault injection into a child process, which is this test binary started again to run `subject`
//! only.

use aniseyoke_faults::{
    configure_preload, errno, ActivePlan, Call, CallTarget, Effect, Frequency, Plan, Rule,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// Number of reads that the subject makes from its socket.
const READ_COUNT: usize = 200;
/// Environment variable that makes the subject wait for a byte on standard input after each half of its
/// reads.
const WAIT_VARIABLE: &str = "SUBJECT_WAITS";

/// Reads a loopback connection byte by byte and prints the result of each read. Without a plan no read fails.
#[test]
fn subject() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (mut server, _) = listener.accept().expect("accepted");
    server.write_all(&[7; READ_COUNT]).expect("written");
    for _ in 0..2 {
        let outcomes: Vec<i32> = (0..READ_COUNT / 2).map(|_| read_one(&mut client)).collect();
        println!("\noutcomes: {outcomes:?}");
        if std::env::var_os(WAIT_VARIABLE).is_none() {
            assert_eq!(outcomes, vec![0; READ_COUNT / 2]);
        } else {
            let mut signal = [0];
            std::io::stdin().read_exact(&mut signal).expect("signalled to continue");
        }
    }
}

/// Reads one byte; returns 0 on success, 1 at the end of the stream, or else the error number.
fn read_one(stream: &mut TcpStream) -> i32 {
    let read = stream.read(&mut [0]);
    read.map_or_else(|e| e.raw_os_error().expect("a number"), |n| i32::from(n != 1))
}

fn read_outcomes(stdout: &mut impl BufRead) -> Vec<i32> {
    let mut line = String::new();
    while stdout.read_line(&mut line).expect("a line") > 0 {
        if let Some(list) = line.trim_end().strip_prefix("outcomes: ") {
            let list = list.trim_matches(['[', ']']).split(", ");
            return list.map(|n| n.parse().expect("a number")).collect();
        }
        line.clear();
    }
    panic!("no outcomes")
}

/// Runs the subject under two plans in turn; returns the results of its reads under each.
fn run_under_two_plans(first: &Plan, second: &Plan) -> ([Vec<i32>; 2], ActivePlan, TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    command.args(["--exact", "subject", "--nocapture"]).env(WAIT_VARIABLE, "1");
    let active_plan = configure_preload(&mut command, folder.path(), first).expect("armed");
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("started");
    let mut stdin = child.stdin.take().expect("stdin");
    let mut stdout = BufReader::new(child.stdout.take().expect("stdout"));
    let before = read_outcomes(&mut stdout);
    active_plan.change(second).expect("changed");
    stdin.write_all(b".").expect("told");
    let after = read_outcomes(&mut stdout);
    stdin.write_all(b".").expect("told");
    assert!(child.wait().expect("ended").success());
    ([before, after], active_plan, folder)
}

fn receive_rule(name: &str, effect: Effect, often: Frequency) -> Rule {
    Rule::new(name, &Call::RECEIVING, effect).about(CallTarget::Sockets).often(often)
}

#[test]
fn the_first_calls_fail_and_a_changed_plan_applies_at_once() {
    let first = receive_rule("interrupted", Effect::Fail(errno::ENOBUFS), Frequency::First(3));
    let second = receive_rule("timed-out", Effect::Fail(errno::ETIMEDOUT), Frequency::Only(2));
    let ([before, after], active_plan, _folder) =
        run_under_two_plans(&Plan::new(1, &[first]), &Plan::new(1, &[second]));
    assert_eq!(before[..4], [errno::ENOBUFS, errno::ENOBUFS, errno::ENOBUFS, 0]);
    assert_eq!(after[..3], [0, errno::ETIMEDOUT, 0]);
    assert_eq!((active_plan.forced("interrupted"), active_plan.forced("timed-out")), (3, 1));
    assert_eq!(active_plan.forced_in(Call::Recv), 4);
}

#[test]
fn a_seed_selects_the_same_calls_again_at_about_the_configured_rate() {
    let plan = Plan::new(5, &[receive_rule("drawn", Effect::Fail(errno::ENOMEM), Frequency::OneIn(4))]);
    let ([before, after], active_plan, _folder) = run_under_two_plans(&plan, &plan);
    let failed = before.iter().filter(|n| **n == errno::ENOMEM).count();
    assert!((10..50).contains(&failed), "{failed} of {}", READ_COUNT / 2);
    assert_eq!(before, after, "call counts must restart at 0 when a plan is replaced");
    assert_eq!(active_plan.forced("drawn"), 2 * failed);
}

/// Guards against delays that count their own clock readings, to which a rule about the clock would apply.
#[test]
fn each_delay_reports_its_overrun_and_reads_no_clock_that_rules_count() {
    let delay = receive_rule("delayed", Effect::DelayBefore(1_000), Frequency::Always);
    let reading = Rule::new("reading", &[Call::ClockGettime], Effect::DelayAfter(0));
    let plan = Plan::new(1, &[delay, reading]);
    let (_, active_plan, _folder) = run_under_two_plans(&plan, &Plan::default());
    assert!(active_plan.forced("delayed") > 0, "the test must delay some calls");
    assert_eq!(active_plan.overruns().len(), active_plan.forced("delayed"));
    assert!(
        active_plan.overruns().iter().any(|overrun| !overrun.is_zero()),
        "no thread wakes up within 1 us"
    );
    // The runner of the subject reads the clock a few times itself.
    assert!(
        active_plan.forced("reading") < active_plan.forced("delayed"),
        "{}",
        active_plan.forced("reading")
    );
}

#[test]
fn a_rule_about_files_does_not_affect_sockets() {
    let rule = receive_rule("files", Effect::Fail(errno::EIO), Frequency::Always)
        .about(CallTarget::Files("/".into()));
    let ([before, _], active_plan, _folder) = run_under_two_plans(&Plan::new(1, &[rule]), &Plan::default());
    assert_eq!(before, vec![0; READ_COUNT / 2]);
    assert_eq!(
        active_plan.forced("files"),
        active_plan.forced_in(Call::Read),
        "only reads of files may fail"
    );
}

#[test]
fn a_written_plan_is_read_back_and_an_invalid_one_is_rejected_with_path_and_field() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("plan.json");
    let rule = Rule::new("short", &Call::SENDING, Effect::Short(7))
        .about(CallTarget::PeerPort(80))
        .often(Frequency::OneIn(9));
    let plan = Plan::new(3, &[rule]);
    plan.write(&file).expect("written");
    assert_eq!(Plan::read(&file).expect("read"), plan);
    std::fs::write(&file, r#"{"seed": 1, "rules": [{"name": "a"}]}"#).expect("written");
    let error = Plan::read(&file).expect_err("no calls").to_string();
    assert!(error.contains("plan.json") && error.contains("calls"), "{error}");
}
