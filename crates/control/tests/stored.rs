//! Tests of the data that the service stores on disk (versions, the epoch, the purge log) while writes and syncs fail and
//! when the service is killed during a write.

use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::{call, CallError};
use aniseyoke_control::rollout::Plan as Rollout;
use aniseyoke_faults::{
    configure_preload, errno, ActivePlan, Call, CallTarget, Effect, Frequency, Plan, Rule,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{BufRead as _, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The time limit of every wait.
const TIMEOUT: Duration = Duration::from_secs(30);

fn until(expected: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {expected}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The state directory of the service, and a directory for the fault plan.
struct TestDirectories {
    state: TempDir,
    faults: TempDir,
}

/// A running service process. It is killed on drop.
struct Service {
    child: Child,
    operators: SocketAddr,
}

impl Drop for Service {
    fn drop(&mut self) {
        // The process may have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestDirectories {
    fn new() -> Self {
        let directory = || tempfile::tempdir().expect("a folder");
        TestDirectories { state: directory(), faults: directory() }
    }

    fn command(&self, plan: &Plan) -> (Command, ActivePlan) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-control"));
        command.args(["serve", "--purges", "--listen", "127.0.0.1:0", "--door", "127.0.0.1:0"]);
        command.args(["--batch", "0ms", "--log-entries", "30", "--dir"]).arg(self.state.path());
        command.stderr(Stdio::piped());
        let fault_plan = configure_preload(&mut command, self.faults.path(), plan).expect("armed");
        (command, fault_plan)
    }

    fn start(&self, plan: &Plan) -> (Service, ActivePlan) {
        let (mut command, fault_plan) = self.command(plan);
        let mut child = command.spawn().expect("started");
        let mut lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
        let operators = loop {
            let line = lines.next().expect("it listens").expect("text");
            if let Some((_, addr)) = line.split_once("operators call at") {
                break addr.trim().parse().expect("an address");
            }
        };
        // Reads on, since a full pipe would block the service.
        std::thread::spawn(move || lines.map_while(Result::ok).count());
        (Service { child, operators }, fault_plan)
    }

    /// A rule by which these system calls fail on files whose path in the state directory begins with `name`.
    fn fault_rule(&self, calls: &[Call], name: &str, effect: Effect) -> Rule {
        // An empty name matches the directory itself and all files in it.
        let path = if name.is_empty() { self.state.path().into() } else { self.state.path().join(name) };
        Rule::new(&format!("at-{}", name.replace('/', "-")), calls, effect).about(CallTarget::Files(path))
    }

    fn segments(&self) -> Vec<PathBuf> {
        let entries = std::fs::read_dir(self.state.path().join("purges")).expect("the log");
        let mut all: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
        all.sort();
        all
    }
}

fn plan(rules: &[Rule]) -> Plan {
    Plan::new(1, rules)
}

impl Service {
    fn call(&self, request: &OperatorRequest) -> Result<OperatorResponse, CallError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(call(self.operators, request))
    }

    fn purge(&self, sequence: u64) -> Result<(u64, u64), String> {
        let keys = vec![format!("key {sequence}")];
        match self
            .call(&OperatorRequest::Purge { publisher: "p".into(), sequence, keys })
            .map_err(|e| e.to_string())?
        {
            OperatorResponse::PurgeAccepted { epoch, through } => Ok((epoch, through)),
            OperatorResponse::Rejected { reason } => Err(reason),
            other => panic!("{other:?}"),
        }
    }

    /// Publishes a version that contains this number; the error is the reason of a rejection.
    fn publish(&self, number: u64) -> Result<(), String> {
        let body = json!({ "log": { "burst": number } });
        match self
            .call(&OperatorRequest::Publish { body, plan: Rollout::default() })
            .map_err(|e| e.to_string())?
        {
            OperatorResponse::Published { .. } => Ok(()),
            OperatorResponse::Rejected { reason } => Err(reason),
            other => panic!("{other:?}"),
        }
    }

    fn newest(&self) -> Option<u64> {
        match self.call(&OperatorRequest::Status) {
            Ok(OperatorResponse::Status { newest, .. }) => newest.map(|stamp| stamp.number),
            other => panic!("{other:?}"),
        }
    }

    fn kill_once_stopped(mut self) {
        let stat = format!("/proc/{}/stat", self.child.id());
        until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("a state");
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }
}

/// The number that the version on disk contains.
fn stored(directories: &TestDirectories) -> Option<u64> {
    use aniseyoke_control::store::{Disk, Loaded, Store};
    match Store::new(Disk, directories.state.path().join("newest")).load().expect("read") {
        Loaded::Valid(stored) => stored.version.body.value()["log"]["burst"].as_u64(),
        Loaded::Missing => None,
        Loaded::Damaged { reason, .. } => panic!("{reason}"),
    }
}

/// Guards against lost versions: if a version were acknowledged before it is on disk, a kill would lose it and all proxies
/// would return to the previous one.
#[test]
fn a_published_version_is_on_disk_if_the_service_is_killed_right_after_the_response() {
    let (mut acknowledged, mut lost) = (0, 0);
    for n in 1..=10 {
        let directories = TestDirectories::new();
        let slow = directories.fault_rule(&[Call::Open], "newest.new", Effect::DelayBefore(200_000));
        let (service, _fault_plan) = directories.start(&plan(&[slow]));
        service.publish(n).expect("published");
        drop(service);
        acknowledged += 1;
        lost += u64::from(stored(&directories) != Some(n));
    }
    assert_eq!(lost, 0, "of {acknowledged} acknowledged versions {lost} are lost");
}

#[test]
fn a_version_that_cannot_be_stored_is_rejected_and_the_current_version_remains() {
    use Call::{Fsync, Open, Rename, Write};
    let steps = [
        (Open, "newest.new", Frequency::Always),
        (Write, "newest.new", Frequency::Always),
        (Fsync, "newest.new", Frequency::Always),
        (Rename, "newest", Frequency::Always),
        // The second sync is that of the directory, after that of the file.
        (Fsync, "", Frequency::Only(2)),
    ];
    let (mut calls, mut false_successes) = (0, Vec::new());
    for number in [errno::ENOSPC, errno::EIO] {
        for (step, name, often) in steps {
            let directories = TestDirectories::new();
            let (service, fault_plan) = directories.start(&Plan::default());
            service.publish(1).expect("published");
            until("it is stored", || stored(&directories) == Some(1));
            let rule = directories.fault_rule(&[step], name, Effect::Fail(number)).often(often);
            fault_plan.change(&plan(&[rule])).expect("changed");
            calls += 1;
            match service.publish(2) {
                Ok(()) => false_successes.push(format!("{step:?} {name}: published despite error {number}")),
                Err(error_text) => assert!(error_text.contains("can't be stored"), "{error_text}"),
            }
            assert!(service.newest() == Some(1) || !false_successes.is_empty());
            fault_plan.change(&Plan::default()).expect("changed");
            until("the current version is on disk", || {
                stored(&directories) == Some(1) || !false_successes.is_empty()
            });
            service.publish(3).expect("the disk works again");
            drop(service);
            assert!(stored(&directories) == Some(3) || !false_successes.is_empty(), "{step:?} {name}");
        }
    }
    assert!(
        false_successes.is_empty(),
        "{} of {calls} requests succeeded: {false_successes:#?}",
        false_successes.len()
    );
}

#[test]
fn a_service_killed_while_storing_a_version_restarts_with_the_previous_one() {
    for bytes in [0, 20, 200] {
        let directories = TestDirectories::new();
        let (service, fault_plan) = directories.start(&Plan::default());
        service.publish(1).expect("published");
        let partial_write = directories.fault_rule(&[Call::Write], "newest.new", Effect::StopAfter(bytes));
        fault_plan.change(&plan(&[partial_write])).expect("changed");
        let operators = service.operators;
        let caller = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let body = json!({ "log": { "burst": 2 } });
            let publish = OperatorRequest::Publish { body, plan: Rollout::default() };
            runtime.expect("a runtime").block_on(call(operators, &publish))
        });
        service.kill_once_stopped();
        assert!(caller.join().expect("no panic").is_err(), "there was a response");
        let (service, _fault_plan) = directories.start(&Plan::default());
        assert_eq!((stored(&directories), service.newest()), (Some(1), Some(1)));
        service.publish(3).expect("published");
        assert_eq!(stored(&directories), Some(3));
    }
}

/// Guards against reused numbers: an epoch that could not be read or stored could be assigned twice, and with it every
/// number under it.
#[test]
fn a_service_that_cannot_read_or_store_its_epoch_exits_with_an_error() {
    use Call::{Fsync, Open, Write};
    for (calls, name) in [(Open, "epoch"), (Write, "epoch.new"), (Fsync, "epoch.new")] {
        let directories = TestDirectories::new();
        let (service, _fault_plan) = directories.start(&Plan::default());
        let first = service.purge(1).expect("taken");
        drop(service);
        let fault_rule = directories.fault_rule(&[calls], name, Effect::Fail(errno::EIO));
        let (mut command, _fault_plan) = directories.command(&plan(&[fault_rule]));
        let mut child = command.spawn().expect("started");
        let mut error_text = String::new();
        let mut errors = BufReader::new(child.stderr.take().expect("its errors"));
        while !error_text.contains("epoch") && !error_text.contains("operators call at") {
            assert!(
                errors.read_line(&mut error_text).expect("text") > 0,
                "the service exited with {error_text:?}"
            );
        }
        let started = error_text.contains("operators call at");
        let _ = child.kill();
        errors.read_to_string(&mut error_text).expect("text");
        assert!(
            !child.wait().expect("ended").success() && !started,
            "{calls:?} {name}: the service started: {error_text}"
        );
        let (service, _fault_plan) = directories.start(&Plan::default());
        assert_eq!(service.purge(1).expect("known"), first);
    }
}

/// Sends purge requests of one publisher; returns the numbers of the acknowledged ones, by sequence.
fn acknowledged_purges(
    service: &Service,
    sequences: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, (u64, u64))> {
    sequences.filter_map(|sequence| Some((sequence, service.purge(sequence).ok()?))).collect()
}

/// Asserts that all acknowledged purges have their number after a restart, and that no number was assigned twice.
fn assert_all_recovered(directories: &TestDirectories, acknowledged: &[(u64, (u64, u64))]) {
    let numbers: BTreeSet<(u64, u64)> = acknowledged.iter().map(|(_, number)| *number).collect();
    assert_eq!(numbers.len(), acknowledged.len(), "a number was assigned twice: {acknowledged:?}");
    let (service, _fault_plan) = directories.start(&Plan::default());
    let missing: Vec<u64> = acknowledged
        .iter()
        .filter(|(sequence, number)| service.purge(*sequence).as_ref() != Ok(number))
        .map(|(sequence, _)| *sequence)
        .collect();
    assert!(
        missing.is_empty(),
        "of {} acknowledged purges {} are lost: {missing:?}",
        acknowledged.len(),
        missing.len()
    );
}

/// Guards against two faults of the purge log: a record that is appended after the remains of a failed write can't be read
/// back, and a rejected purge must not get a number.
#[test]
fn purges_resume_after_disk_faults_and_no_acknowledged_purge_is_lost() {
    use Call::{Fdatasync, Fsync, Ftruncate, Open, Write};
    let (full, broken) = (Effect::Fail(errno::ENOSPC), Effect::Fail(errno::EIO));
    let fault = |calls: &[Call], effect| (calls.to_vec(), effect);
    let faults: [Vec<(Vec<Call>, Effect)>; 7] = [
        vec![fault(&[Write], full)],
        // Part of a record, then no space on the disk.
        vec![fault(&[Write], Effect::Short(9)), fault(&[Write], full)],
        vec![fault(&[Write], Effect::Short(9)), fault(&[Write], full), fault(&[Ftruncate], broken)],
        vec![fault(&[Fdatasync], broken)],
        vec![fault(&[Fdatasync, Ftruncate], broken)],
        vec![fault(&[Fdatasync, Fsync], broken)],
        vec![fault(&[Open, Fsync], full)],
    ];
    let (mut rejected_after_recovery, mut calls_after_recovery) = (0, 0);
    for rules in faults {
        let directories = TestDirectories::new();
        let (service, fault_plan) = directories.start(&Plan::default());
        // After one more record the next one begins a new segment.
        let mut acknowledged = acknowledged_purges(&service, 1..=29);
        assert_eq!(acknowledged.len(), 29);
        let mut short = Frequency::Only(1);
        let rule = |(calls, effect): &(Vec<Call>, Effect)| {
            let rule = directories.fault_rule(calls, "purges/purges-", *effect);
            if matches!(effect, Effect::Short(_)) {
                rule.often(std::mem::take(&mut short))
            } else {
                rule
            }
        };
        let rules: Vec<Rule> = rules.iter().map(rule).collect();
        fault_plan.change(&plan(&rules)).expect("changed");
        acknowledged.extend(acknowledged_purges(&service, 30..=34));
        let before = if rules[0].calls.contains(&Open) { 30 } else { 29 };
        assert_eq!(acknowledged.len(), before, "{rules:?}: {acknowledged:?}");
        fault_plan.change(&Plan::default()).expect("changed");
        // Enough records for another segment.
        calls_after_recovery += 40;
        let after = acknowledged_purges(&service, 35..=74);
        rejected_after_recovery += 40 - after.len();
        acknowledged.extend(after);
        drop(service);
        // Only for the most recent requests the service is certain to have the numbers.
        assert_all_recovered(&directories, &acknowledged[acknowledged.len().saturating_sub(25)..]);
    }
    assert_eq!(
        rejected_after_recovery, 0,
        "of {calls_after_recovery} requests after the disk had recovered {rejected_after_recovery} were rejected"
    );
}

#[test]
fn a_service_killed_while_writing_a_record_truncates_it_on_restart() {
    for bytes in [0, 1, 11, 12, 30] {
        let directories = TestDirectories::new();
        let (service, fault_plan) = directories.start(&Plan::default());
        let mut acknowledged = acknowledged_purges(&service, 1..=5);
        let partial_write =
            directories.fault_rule(&[Call::Write], "purges/purges-", Effect::StopAfter(bytes));
        fault_plan.change(&plan(&[partial_write])).expect("changed");
        let operators = service.operators;
        let caller = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let keys = vec!["key 6".to_owned()];
            let purge = OperatorRequest::Purge { publisher: "p".into(), sequence: 6, keys };
            runtime.expect("a runtime").block_on(call(operators, &purge))
        });
        service.kill_once_stopped();
        assert!(caller.join().expect("no panic").is_err(), "there was a response");
        let (service, _fault_plan) = directories.start(&Plan::default());
        acknowledged.extend(acknowledged_purges(&service, 6..=8));
        assert_eq!(acknowledged.last().map(|(_, (_, through))| *through), Some(8));
        drop(service);
        assert_all_recovered(&directories, &acknowledged);
    }
}

/// Guards against data that exists in the page cache only: after a failed sync the next process still reads the data, and
/// a sync of the same file succeeds without writing it.
#[test]
fn records_read_at_startup_are_rewritten_before_they_are_acknowledged() {
    use std::os::unix::fs::MetadataExt as _;
    let directories = TestDirectories::new();
    let (service, fault_plan) = directories.start(&Plan::default());
    let first = service.purge(1).expect("taken");
    let broken = directories.fault_rule(
        &[Call::Fdatasync, Call::Fsync, Call::Ftruncate],
        "purges/purges-",
        Effect::Fail(errno::EIO),
    );
    fault_plan.change(&plan(&[broken])).expect("changed");
    let error_text = service.purge(2).expect_err("it is not on disk");
    assert!(error_text.contains("can't be stored"), "{error_text}");
    drop(service);
    let inode =
        |directories: &TestDirectories| std::fs::metadata(&directories.segments()[0]).expect("there").ino();
    let before = inode(&directories);
    let (service, _fault_plan) = directories.start(&Plan::default());
    assert_ne!(
        inode(&directories),
        before,
        "the segment is still the same file, whose end may not be on disk"
    );
    assert_eq!(service.purge(1), Ok(first));
    // The rejected purge is recovered, gets its number, and a repeated request gets the same number.
    let second = service.purge(2).expect("taken");
    assert_eq!((second, service.purge(2)), ((first.0, 2), Ok(second)));
}

/// Guards against a log that is discarded as lost after a transient read error: every proxy would drop its whole cache, and
/// the numbers that publishers have received would become invalid.
#[test]
fn a_log_that_cannot_be_read_or_written_at_startup_is_left_unchanged() {
    let mut failures = Vec::new();
    for call in [Call::Open, Call::Read, Call::Fsync] {
        let directories = TestDirectories::new();
        let (service, _fault_plan) = directories.start(&Plan::default());
        let acknowledged = acknowledged_purges(&service, 1..=10);
        drop(service);
        let before = directories.segments();
        let fault_rule = directories.fault_rule(&[call], "purges/purges-", Effect::Fail(errno::EIO));
        let (mut command, _fault_plan) = directories.command(&plan(&[fault_rule]));
        let mut child = command.spawn().expect("started");
        let mut errors = BufReader::new(child.stderr.take().expect("its errors"));
        let mut stderr_text = String::new();
        while !stderr_text.contains("operators call at")
            && errors.read_line(&mut stderr_text).expect("text") > 0
        {}
        let _ = child.kill();
        child.wait().expect("ended");
        let segments_unchanged = before.iter().all(|path| directories.segments().contains(path));
        if stderr_text.contains("operators call at")
            || !stderr_text.contains("purges-")
            || !segments_unchanged
        {
            failures.push(format!("{call:?}: {stderr_text}"));
            continue;
        }
        assert_all_recovered(&directories, &acknowledged);
    }
    assert!(failures.is_empty(), "{} of 3 failed: {failures:#?}", failures.len());
}
