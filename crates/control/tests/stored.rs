//! What the service keeps on disk, while writes and syncs fail and when it is killed with a write half done: versions, the
//! epoch, the log of purges.

use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use aniseyoke_control::operators::{call, CallError};
use aniseyoke_control::rollout::Plan as Rollout;
use aniseyoke_faults::{arm, errno, About, Armed, Call, Effect, Often, Plan, Rule};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{BufRead as _, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Whatever is waited for comes within this time, or the test fails.
const WITHIN: Duration = Duration::from_secs(30);

fn until(what: &str, mut so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < WITHIN, "not within {WITHIN:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The service's folder, and one for the fault plan.
struct Site {
    state: TempDir,
    faults: TempDir,
}

/// A running service; it is killed when this is dropped.
struct Service {
    child: Child,
    operators: SocketAddr,
}

impl Drop for Service {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Site {
    fn new() -> Self {
        let folder = || tempfile::tempdir().expect("a folder");
        Site { state: folder(), faults: folder() }
    }

    fn command(&self, plan: &Plan) -> (Command, Armed) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-control"));
        command.args(["serve", "--purges", "--listen", "127.0.0.1:0", "--door", "127.0.0.1:0"]);
        command.args(["--batch", "0ms", "--log-entries", "30", "--dir"]).arg(self.state.path());
        command.stderr(Stdio::piped());
        let armed = arm(&mut command, self.faults.path(), plan).expect("armed");
        (command, armed)
    }

    fn start(&self, plan: &Plan) -> (Service, Armed) {
        let (mut command, armed) = self.command(plan);
        let mut child = command.spawn().expect("started");
        let mut lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
        let operators = loop {
            let line = lines.next().expect("it listens").expect("text");
            if let Some((_, addr)) = line.split_once("operators call at") {
                break addr.trim().parse().expect("an address");
            }
        };
        // It must not fill up.
        std::thread::spawn(move || lines.map_while(Result::ok).count());
        (Service { child, operators }, armed)
    }

    /// Calls fail about files whose path in the folder begins so.
    fn failing(&self, calls: &[Call], name: &str, effect: Effect) -> Rule {
        // Without a name it is the folder itself, and all in it.
        let path = if name.is_empty() { self.state.path().into() } else { self.state.path().join(name) };
        Rule::new(&format!("at-{}", name.replace('/', "-")), calls, effect).about(About::Files(path))
    }

    fn segments(&self) -> Vec<PathBuf> {
        let found = std::fs::read_dir(self.state.path().join("purges")).expect("the log");
        let mut all: Vec<PathBuf> = found.map(|entry| entry.expect("an entry").path()).collect();
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

    /// Publishes a version that says this; the answer says whether it did.
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

    fn kill_when_stopped(mut self) {
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it has stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("a state");
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }
}

/// What the version on disk says.
fn stored(site: &Site) -> Option<u64> {
    use aniseyoke_control::store::{Disk, Loaded, Store};
    match Store::new(Disk, site.state.path().join("newest")).load().expect("read") {
        Loaded::Valid(stored) => stored.version.body.value()["log"]["burst"].as_u64(),
        Loaded::Missing => None,
        Loaded::Damaged { reason, .. } => panic!("{reason}"),
    }
}

/// Danger: a version that is answered for and not on disk is gone after a kill, and all proxies go back to the one before.
#[test]
fn a_version_that_was_answered_for_is_on_disk_however_soon_the_service_is_killed() {
    let (mut answered, mut lost) = (0, 0);
    for n in 1..=10 {
        let site = Site::new();
        let slow = site.failing(&[Call::Open], "newest.new", Effect::DelayBefore(200_000));
        let (service, _armed) = site.start(&plan(&[slow]));
        service.publish(n).expect("published");
        drop(service);
        answered += 1;
        lost += u64::from(stored(&site) != Some(n));
    }
    assert_eq!(lost, 0, "of {answered} versions that were answered for {lost} are gone");
}

#[test]
fn a_version_that_can_not_be_stored_is_refused_and_the_one_in_force_stays_over_a_restart() {
    use Call::{Fsync, Open, Rename, Write};
    let steps = [
        (Open, "newest.new", Often::Always),
        (Write, "newest.new", Often::Always),
        (Fsync, "newest.new", Often::Always),
        (Rename, "newest", Often::Always),
        // The folder's, behind the file's.
        (Fsync, "", Often::Only(2)),
    ];
    let (mut calls, mut claimed) = (0, Vec::new());
    for number in [errno::ENOSPC, errno::EIO] {
        for (step, name, often) in steps {
            let site = Site::new();
            let (service, armed) = site.start(&Plan::default());
            service.publish(1).expect("published");
            until("it is kept", || stored(&site) == Some(1));
            let rule = site.failing(&[step], name, Effect::Fail(number)).often(often);
            armed.change(&plan(&[rule])).expect("changed");
            calls += 1;
            match service.publish(2) {
                Ok(()) => claimed.push(format!("{step:?} {name}: published, error {number}")),
                Err(why) => assert!(why.contains("can't be stored"), "{why}"),
            }
            assert!(service.newest() == Some(1) || !claimed.is_empty());
            armed.change(&Plan::default()).expect("changed");
            until("what is in force is on disk", || stored(&site) == Some(1) || !claimed.is_empty());
            service.publish(3).expect("the disk is back");
            drop(service);
            assert!(stored(&site) == Some(3) || !claimed.is_empty(), "{step:?} {name}");
        }
    }
    assert!(claimed.is_empty(), "{} of {calls} were answered with success: {claimed:#?}", claimed.len());
}

#[test]
fn a_service_killed_in_the_midst_of_storing_begins_with_the_version_before() {
    for bytes in [0, 20, 200] {
        let site = Site::new();
        let (service, armed) = site.start(&Plan::default());
        service.publish(1).expect("published");
        let half = site.failing(&[Call::Write], "newest.new", Effect::StopAfter(bytes));
        armed.change(&plan(&[half])).expect("changed");
        let operators = service.operators;
        let caller = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let body = json!({ "log": { "burst": 2 } });
            let publish = OperatorRequest::Publish { body, plan: Rollout::default() };
            runtime.expect("a runtime").block_on(call(operators, &publish))
        });
        service.kill_when_stopped();
        assert!(caller.join().expect("no panic").is_err(), "nobody was answered");
        let (service, _armed) = site.start(&Plan::default());
        assert_eq!((stored(&site), service.newest()), (Some(1), Some(1)));
        service.publish(3).expect("published");
        assert_eq!(stored(&site), Some(3));
    }
}

/// Danger: an epoch that could not be read or stored may be given out twice, and with it every number under it.
#[test]
fn a_service_whose_epoch_can_not_be_read_or_stored_does_not_start_and_says_why() {
    use Call::{Fsync, Open, Write};
    for (calls, name) in [(Open, "epoch"), (Write, "epoch.new"), (Fsync, "epoch.new")] {
        let site = Site::new();
        let (service, _armed) = site.start(&Plan::default());
        let first = service.purge(1).expect("taken");
        drop(service);
        let failing = site.failing(&[calls], name, Effect::Fail(errno::EIO));
        let (mut command, _armed) = site.command(&plan(&[failing]));
        let mut child = command.spawn().expect("started");
        let mut why = String::new();
        let mut errors = BufReader::new(child.stderr.take().expect("its errors"));
        while !why.contains("epoch") && !why.contains("operators call at") {
            assert!(errors.read_line(&mut why).expect("text") > 0, "it ended and said {why:?}");
        }
        let started = why.contains("operators call at");
        let _ = child.kill();
        errors.read_to_string(&mut why).expect("text");
        assert!(!child.wait().expect("ended").success() && !started, "{calls:?} {name}: it started: {why}");
        let (service, _armed) = site.start(&Plan::default());
        assert_eq!(service.purge(1).expect("known"), first);
    }
}

/// Makes calls of one publisher under a plan; the numbers of those that were answered for, by sequence.
fn taken(service: &Service, sequences: std::ops::RangeInclusive<u64>) -> Vec<(u64, (u64, u64))> {
    sequences.filter_map(|sequence| Some((sequence, service.purge(sequence).ok()?))).collect()
}

/// All that was answered for has its number after a kill, and no number was given out twice.
fn all_there(site: &Site, answered: &[(u64, (u64, u64))]) {
    let numbers: BTreeSet<(u64, u64)> = answered.iter().map(|(_, number)| *number).collect();
    assert_eq!(numbers.len(), answered.len(), "a number was given out twice: {answered:?}");
    let (service, _armed) = site.start(&Plan::default());
    let gone: Vec<u64> = answered
        .iter()
        .filter(|(sequence, number)| service.purge(*sequence).as_ref() != Ok(number))
        .map(|(sequence, _)| *sequence)
        .collect();
    assert!(gone.is_empty(), "of {} acknowledged purges {} are gone: {gone:?}", answered.len(), gone.len());
}

/// Danger: what a failed write left, a later one must not be appended behind; and one that was refused must not be counted.
#[test]
fn purges_go_on_once_the_disk_is_back_and_none_that_was_answered_for_is_gone() {
    use Call::{Fdatasync, Fsync, Ftruncate, Open, Write};
    let (full, broken) = (Effect::Fail(errno::ENOSPC), Effect::Fail(errno::EIO));
    let of = |calls: &[Call], effect| (calls.to_vec(), effect);
    let faults: [Vec<(Vec<Call>, Effect)>; 7] = [
        vec![of(&[Write], full)],
        // Half a record, and then no room.
        vec![of(&[Write], Effect::Short(9)), of(&[Write], full)],
        vec![of(&[Write], Effect::Short(9)), of(&[Write], full), of(&[Ftruncate], broken)],
        vec![of(&[Fdatasync], broken)],
        vec![of(&[Fdatasync, Ftruncate], broken)],
        vec![of(&[Fdatasync, Fsync], broken)],
        vec![of(&[Open, Fsync], full)],
    ];
    let (mut refused_after, mut calls_after) = (0, 0);
    for rules in faults {
        let site = Site::new();
        let (service, armed) = site.start(&Plan::default());
        // One more, and the next begins another segment.
        let mut answered = taken(&service, 1..=29);
        assert_eq!(answered.len(), 29);
        let mut short = Often::Only(1);
        let rule = |(calls, effect): &(Vec<Call>, Effect)| {
            let rule = site.failing(calls, "purges/purges-", *effect);
            if matches!(effect, Effect::Short(_)) {
                rule.often(std::mem::take(&mut short))
            } else {
                rule
            }
        };
        let rules: Vec<Rule> = rules.iter().map(rule).collect();
        armed.change(&plan(&rules)).expect("changed");
        answered.extend(taken(&service, 30..=34));
        let before = if rules[0].calls.contains(&Open) { 30 } else { 29 };
        assert_eq!(answered.len(), before, "{rules:?}: {answered:?}");
        armed.change(&Plan::default()).expect("changed");
        // Enough for another segment.
        calls_after += 40;
        let after = taken(&service, 35..=74);
        refused_after += 40 - after.len();
        answered.extend(after);
        drop(service);
        // Only the last ones are certain to be remembered with their numbers.
        all_there(&site, &answered[answered.len().saturating_sub(25)..]);
    }
    assert_eq!(
        refused_after, 0,
        "of {calls_after} calls after the disk was back {refused_after} were refused"
    );
}

#[test]
fn a_service_killed_with_a_record_half_written_cuts_it_off_and_goes_on() {
    for bytes in [0, 1, 11, 12, 30] {
        let site = Site::new();
        let (service, armed) = site.start(&Plan::default());
        let mut answered = taken(&service, 1..=5);
        let half = site.failing(&[Call::Write], "purges/purges-", Effect::StopAfter(bytes));
        armed.change(&plan(&[half])).expect("changed");
        let operators = service.operators;
        let caller = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let keys = vec!["key 6".to_owned()];
            let purge = OperatorRequest::Purge { publisher: "p".into(), sequence: 6, keys };
            runtime.expect("a runtime").block_on(call(operators, &purge))
        });
        service.kill_when_stopped();
        assert!(caller.join().expect("no panic").is_err(), "nobody was answered");
        let (service, _armed) = site.start(&Plan::default());
        answered.extend(taken(&service, 6..=8));
        assert_eq!(answered.last().map(|(_, (_, through))| *through), Some(8));
        drop(service);
        all_there(&site, &answered);
    }
}

/// Danger: what a sync did not take may be found in memory by the next process; a sync of the same file says nothing of it.
#[test]
fn what_a_restart_finds_is_written_anew_before_it_counts() {
    use std::os::unix::fs::MetadataExt as _;
    let site = Site::new();
    let (service, armed) = site.start(&Plan::default());
    let first = service.purge(1).expect("taken");
    let broken = site.failing(
        &[Call::Fdatasync, Call::Fsync, Call::Ftruncate],
        "purges/purges-",
        Effect::Fail(errno::EIO),
    );
    armed.change(&plan(&[broken])).expect("changed");
    let why = service.purge(2).expect_err("it is not on disk");
    assert!(why.contains("can't be stored"), "{why}");
    drop(service);
    let inode = |site: &Site| std::fs::metadata(&site.segments()[0]).expect("there").ino();
    let before = inode(&site);
    let (service, _armed) = site.start(&Plan::default());
    assert_ne!(inode(&site), before, "the segment is the same file, of which the disk may lack the end");
    assert_eq!(service.purge(1), Ok(first));
    // The refused one is found, counts from now on, and is answered for once.
    let second = service.purge(2).expect("taken");
    assert_eq!((second, service.purge(2)), ((first.0, 2), Ok(second)));
}

/// Danger: a log that could not be read for a moment would be put aside as lost: every proxy drops all it holds, and numbers
/// that publishers were told of mean nothing any more.
#[test]
fn a_log_that_can_not_be_read_or_written_at_the_start_is_left_as_it_is() {
    let mut wrong = Vec::new();
    for call in [Call::Open, Call::Read, Call::Fsync] {
        let site = Site::new();
        let (service, _armed) = site.start(&Plan::default());
        let answered = taken(&service, 1..=10);
        drop(service);
        let before = site.segments();
        let failing = site.failing(&[call], "purges/purges-", Effect::Fail(errno::EIO));
        let (mut command, _armed) = site.command(&plan(&[failing]));
        let mut child = command.spawn().expect("started");
        let mut errors = BufReader::new(child.stderr.take().expect("its errors"));
        let mut said = String::new();
        while !said.contains("operators call at") && errors.read_line(&mut said).expect("text") > 0 {}
        let _ = child.kill();
        child.wait().expect("ended");
        let same = before.iter().all(|path| site.segments().contains(path));
        if said.contains("operators call at") || !said.contains("purges-") || !same {
            wrong.push(format!("{call:?}: {said}"));
            continue;
        }
        all_there(&site, &answered);
    }
    assert!(wrong.is_empty(), "{} of 3: {wrong:#?}", wrong.len());
}
