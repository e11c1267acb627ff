//! The fault tool against a process of its own: this test's program started again, whose one step is `subject`.

use aniseyoke_faults::{arm, errno, About, Armed, Call, Effect, Often, Plan, Rule};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// How many reads the subject makes of its socket.
const READS: usize = 200;
/// Names the file that the subject reads, and waits to be told of.
const SECOND_PLAN: &str = "SUBJECT_WAITS";

/// Reads a connection of its own byte by byte and prints what came of each read. Without a plan nothing fails.
#[test]
fn subject() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let mut near = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (mut far, _) = listener.accept().expect("accepted");
    far.write_all(&[7; READS]).expect("written");
    for _ in 0..2 {
        let outcomes: Vec<i32> = (0..READS / 2).map(|_| read_one(&mut near)).collect();
        println!("\noutcomes: {outcomes:?}");
        if std::env::var_os(SECOND_PLAN).is_none() {
            assert_eq!(outcomes, vec![0; READS / 2]);
        } else {
            let mut told = [0];
            std::io::stdin().read_exact(&mut told).expect("told to go on");
        }
    }
}

/// The error number of one read, 0 if it brought a byte.
fn read_one(stream: &mut TcpStream) -> i32 {
    let read = stream.read(&mut [0]);
    read.map_or_else(|e| e.raw_os_error().expect("a number"), |n| i32::from(n != 1))
}

fn outcomes(out: &mut impl BufRead) -> Vec<i32> {
    let mut line = String::new();
    while out.read_line(&mut line).expect("a line") > 0 {
        if let Some(list) = line.trim_end().strip_prefix("outcomes: ") {
            let list = list.trim_matches(['[', ']']).split(", ");
            return list.map(|n| n.parse().expect("a number")).collect();
        }
        line.clear();
    }
    panic!("no outcomes")
}

/// Plays the subject under two plans; what its reads came to under each.
fn played(first: &Plan, second: &Plan) -> ([Vec<i32>; 2], Armed, TempDir) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    command.args(["--exact", "subject", "--nocapture"]).env(SECOND_PLAN, "1");
    let armed = arm(&mut command, folder.path(), first).expect("armed");
    let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("started");
    let mut tell = child.stdin.take().expect("stdin");
    let mut out = BufReader::new(child.stdout.take().expect("stdout"));
    let before = outcomes(&mut out);
    armed.change(second).expect("changed");
    tell.write_all(b".").expect("told");
    let after = outcomes(&mut out);
    tell.write_all(b".").expect("told");
    assert!(child.wait().expect("ended").success());
    ([before, after], armed, folder)
}

fn receiving(name: &str, effect: Effect, often: Often) -> Rule {
    Rule::new(name, &Call::RECEIVING, effect).about(About::Sockets).often(often)
}

#[test]
fn the_first_calls_fail_and_a_changed_plan_is_in_force_at_once() {
    let first = receiving("interrupted", Effect::Fail(errno::ENOBUFS), Often::First(3));
    let second = receiving("timed-out", Effect::Fail(errno::ETIMEDOUT), Often::Only(2));
    let ([before, after], armed, _folder) = played(&Plan::new(1, &[first]), &Plan::new(1, &[second]));
    assert_eq!(before[..4], [errno::ENOBUFS, errno::ENOBUFS, errno::ENOBUFS, 0]);
    assert_eq!(after[..3], [0, errno::ETIMEDOUT, 0]);
    assert_eq!((armed.forced("interrupted"), armed.forced("timed-out")), (3, 1));
    assert_eq!(armed.forced_in(Call::Recv), 4);
}

#[test]
fn a_seed_draws_the_same_calls_again_and_about_as_many_as_asked() {
    let plan = Plan::new(5, &[receiving("drawn", Effect::Fail(errno::ENOMEM), Often::OneIn(4))]);
    let ([before, after], armed, _folder) = played(&plan, &plan);
    let failed = before.iter().filter(|n| **n == errno::ENOMEM).count();
    assert!((10..50).contains(&failed), "{failed} of {}", READS / 2);
    assert_eq!(before, after, "the counts begin anew with a plan");
    assert_eq!(armed.forced("drawn"), 2 * failed);
}

#[test]
fn a_rule_about_files_spares_sockets() {
    let rule = receiving("files", Effect::Fail(errno::EIO), Often::Always).about(About::Files("/".into()));
    let ([before, _], armed, _folder) = played(&Plan::new(1, &[rule]), &Plan::default());
    assert_eq!(before, vec![0; READS / 2]);
    assert_eq!(armed.forced("files"), armed.forced_in(Call::Read), "reads of files alone");
}

#[test]
fn a_plan_is_read_as_it_was_written_and_nonsense_is_refused_by_name() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("plan.json");
    let rule = Rule::new("short", &Call::SENDING, Effect::Short(7))
        .about(About::PeerPort(80))
        .often(Often::OneIn(9));
    let plan = Plan::new(3, &[rule]);
    plan.write(&file).expect("written");
    assert_eq!(Plan::read(&file).expect("read"), plan);
    std::fs::write(&file, r#"{"seed": 1, "rules": [{"name": "a"}]}"#).expect("written");
    let error = Plan::read(&file).expect_err("no calls").to_string();
    assert!(error.contains("plan.json") && error.contains("calls"), "{error}");
}
