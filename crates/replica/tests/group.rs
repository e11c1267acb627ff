//! Tests of replica groups on real stores with a simulated network: failure of a minority, isolated leaders, restarts from
//! disk, snapshots.

use aniseyoke_replica::{Event, Output, Rejected, Replica, Store};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;

/// More ticks than any election takes.
const MANY_TICKS: usize = 400;

struct Group {
    directory: tempfile::TempDir,
    members: Vec<u64>,
    up: BTreeMap<u64, Replica>,
    /// Links that are cut, in both directions.
    cut: BTreeSet<(u64, u64)>,
    in_flight: VecDeque<(u64, u64, Vec<u8>)>,
    /// The records that each replica has delivered since its last start, by index.
    committed: BTreeMap<u64, BTreeMap<u64, Vec<u8>>>,
    confirmed: BTreeSet<(u64, u64)>,
    snapshots: u64,
}

impl Group {
    fn new(size: u64) -> Self {
        let members: Vec<u64> = (1..=size).collect();
        let directory = tempfile::tempdir().expect("a folder");
        let mut group = Group {
            directory,
            members: members.clone(),
            up: BTreeMap::new(),
            cut: BTreeSet::new(),
            in_flight: VecDeque::new(),
            committed: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            snapshots: 0,
        };
        members.into_iter().for_each(|id| group.start(id));
        group
    }

    fn path(&self, id: u64) -> PathBuf {
        self.directory.path().join(format!("log-{id}"))
    }

    fn start(&mut self, id: u64) {
        let store = Store::open(&self.path(id), &self.members).expect("a store");
        self.committed.insert(id, BTreeMap::new());
        self.up.insert(id, Replica::start(id, store).expect("started"));
    }

    fn kill(&mut self, id: u64) {
        self.up.remove(&id);
    }

    fn isolate(&mut self, id: u64) {
        let others: Vec<u64> = self.members.iter().copied().filter(|o| *o != id).collect();
        others.into_iter().for_each(|o| _ = self.cut.insert((id.min(o), id.max(o))));
    }

    fn reconnect(&mut self) {
        self.cut.clear();
    }

    fn collect(&mut self, id: u64, output: Output) {
        self.in_flight.extend(output.messages.into_iter().map(|(to, bytes)| (id, to, bytes)));
        for event in output.events {
            match event {
                Event::Committed(index, record) => {
                    // All replicas deliver the same record at an index.
                    for other in self.committed.values() {
                        assert!(other.get(&index).is_none_or(|r| *r == record), "two records at {index}");
                    }
                    self.committed.entry(id).or_default().insert(index, record);
                }
                Event::LeadershipConfirmed(number) => _ = self.confirmed.insert((id, number)),
                Event::Snapshot(..) => self.snapshots += 1,
                Event::LeadershipChanged(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, bytes)) = self.in_flight.pop_front() {
            if self.cut.contains(&(from.min(to), from.max(to))) {
                continue;
            }
            let Some(replica) = self.up.get_mut(&to) else { continue };
            if let Ok(out) = replica.receive(&bytes).expect("no fatal error") {
                self.collect(to, out);
            }
        }
    }

    fn tick(&mut self) {
        for id in self.members.clone() {
            if let Some(out) = self.up.get_mut(&id).map(|r| r.tick().expect("no fatal error")) {
                self.collect(id, out);
            }
        }
        self.deliver();
    }

    /// Ticks until there is a leader that is connected to a majority, and returns its id.
    fn leader(&mut self) -> u64 {
        for _ in 0..MANY_TICKS {
            self.tick();
            let is_connected = |id: u64| {
                let others = self.members.iter().filter(|o| {
                    **o == id || self.up.contains_key(o) && !self.cut.contains(&(id.min(**o), id.max(**o)))
                });
                others.count() > self.members.len() / 2
            };
            let leader = self
                .up
                .iter()
                .find(|(id, r)| r.leading_term().is_some() && is_connected(**id))
                .map(|(id, _)| *id);
            if let Some(leader) = leader {
                return leader;
            }
        }
        panic!("no leader was elected");
    }

    fn propose(&mut self, id: u64, record: &str) -> Result<(), Rejected> {
        let replica = self.up.get_mut(&id).expect("up");
        let out = replica.propose(record.into()).expect("no fatal error")?;
        self.collect(id, out);
        self.deliver();
        Ok(())
    }

    fn confirm(&mut self, id: u64, number: u64) {
        let replica = self.up.get_mut(&id).expect("up");
        if let Ok(out) = replica.confirm_leadership(number).expect("no fatal error") {
            self.collect(id, out);
        }
        self.deliver();
    }

    fn texts(&self, id: u64) -> Vec<String> {
        self.committed[&id].values().map(|r| String::from_utf8_lossy(r).into_owned()).collect()
    }

    fn until_all_have(&mut self, expected: &[&str]) {
        for _ in 0..MANY_TICKS {
            self.tick();
            if self.up.keys().all(|id| self.texts(*id) == expected) {
                return;
            }
        }
        let actual: Vec<_> = self.up.keys().map(|id| (*id, self.texts(*id))).collect();
        panic!("expected {expected:?}, found {actual:?}");
    }
}

#[test]
fn a_failed_minority_stops_no_commits_and_loses_no_records() {
    for size in [3, 5] {
        let mut group = Group::new(size);
        let leader = group.leader();
        group.propose(leader, "one").expect("accepted");
        group.until_all_have(&["one"]);
        // The leader and followers that make up a minority fail.
        let lost: Vec<u64> = std::iter::once(leader)
            .chain((1..=size).filter(|id| *id != leader))
            .take(size as usize / 2)
            .collect();
        lost.iter().for_each(|id| group.kill(*id));
        let leader = group.leader();
        group.propose(leader, "two").expect("accepted");
        group.until_all_have(&["one", "two"]);
        // The failed replicas restart from their disks and catch up.
        lost.iter().for_each(|id| group.start(*id));
        group.until_all_have(&["one", "two"]);
    }
}

#[test]
fn committed_records_survive_a_restart_of_all_replicas() {
    let mut group = Group::new(3);
    let leader = group.leader();
    for record in ["one", "two", "three"] {
        group.propose(leader, record).expect("accepted");
    }
    group.until_all_have(&["one", "two", "three"]);
    (1..=3).for_each(|id| group.kill(id));
    (1..=3).for_each(|id| group.start(id));
    group.leader();
    group.until_all_have(&["one", "two", "three"]);
}

#[test]
fn an_isolated_leader_commits_nothing_and_is_not_confirmed() {
    let mut group = Group::new(3);
    let old = group.leader();
    group.confirm(old, 1);
    assert!(group.confirmed.contains(&(old, 1)));
    group.isolate(old);
    // The isolated leader has not detected the partition yet.
    group.propose(old, "lost").expect("accepted");
    group.confirm(old, 2);
    let new = group.leader();
    assert_ne!(new, old);
    group.propose(new, "won").expect("accepted");
    assert!(!group.confirmed.contains(&(old, 2)), "no majority was reached");
    // The isolated leader steps down after an election timeout without a majority.
    for _ in 0..MANY_TICKS {
        group.tick();
    }
    assert!(group.up[&old].leading_term().is_none());
    let rejected = group.propose(old, "late").expect_err("it is no longer the leader");
    assert!(matches!(rejected, Rejected::NotLeader(_)), "{rejected}");
    group.reconnect();
    group.until_all_have(&["won"]);
}

#[test]
fn a_failed_majority_stops_commits_until_it_recovers() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    others.iter().for_each(|id| group.kill(*id));
    group.propose(leader, "waits").expect("accepted");
    (0..MANY_TICKS).for_each(|_| group.tick());
    assert!(group.texts(leader).is_empty() && group.up[&leader].leading_term().is_none());
    others.iter().for_each(|id| group.start(*id));
    let leader = group.leader();
    group.propose(leader, "goes").expect("accepted");
    (0..MANY_TICKS).for_each(|_| group.tick());
    let texts = group.texts(leader);
    assert_eq!(texts.last().map(String::as_str), Some("goes"));
    assert!((1..=3).all(|id| group.texts(id) == texts));
}

#[test]
fn a_replica_that_lacks_compacted_records_gets_a_snapshot() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let absent = (1..=3).find(|id| *id != leader).expect("another");
    group.kill(absent);
    for n in 0..20 {
        group.propose(leader, &format!("record {n}")).expect("accepted");
    }
    (0..MANY_TICKS / 10).for_each(|_| group.tick());
    for id in (1..=3).filter(|id| *id != absent) {
        let replica = group.up.get_mut(&id).expect("up");
        let last = replica.applied();
        replica.compact(last, b"twenty".to_vec()).expect("compacted");
        assert_eq!(replica.retained(), 0);
        assert!(replica.compact(last + 1, Vec::new()).is_err(), "it has not been delivered yet");
    }
    group.start(absent);
    let leader = group.leader();
    group.propose(leader, "behind").expect("accepted");
    (0..MANY_TICKS / 10).for_each(|_| group.tick());
    assert!(group.snapshots > 0);
    assert_eq!(group.texts(absent), ["behind"]);
    // The same after a restart from its own disk: first the snapshot, then the record.
    group.kill(absent);
    let before = group.snapshots;
    group.start(absent);
    (0..MANY_TICKS / 10).for_each(|_| group.tick());
    assert!(group.snapshots > before && group.texts(absent) == ["behind"]);
}

#[test]
fn a_replica_whose_disk_lost_its_records_fails_with_an_error_and_does_not_panic() {
    let mut group = Group::new(3);
    let leader = group.leader();
    group.propose(leader, "one").expect("accepted");
    group.until_all_have(&["one"]);
    let erased = (1..=3).find(|id| *id != leader).expect("another");
    group.kill(erased);
    std::fs::remove_file(group.path(erased)).expect("removed");
    group.start(erased);
    let mut ended = None;
    for _ in 0..MANY_TICKS {
        let out = group.up.get_mut(&leader).expect("up").tick().expect("no fatal error");
        for (_, bytes) in out.messages.iter().filter(|(to, _)| *to == erased) {
            ended = ended.or(group.up.get_mut(&erased).expect("up").receive(bytes).err());
        }
        if ended.is_some() {
            break;
        }
    }
    let error = ended.expect("it ends").to_string();
    assert!(error.contains("its disk has lost some"), "{error}");
}

#[test]
fn a_log_of_a_group_with_other_members_is_not_opened() {
    let directory = tempfile::tempdir().expect("a folder");
    let path = directory.path().join("log");
    drop(Store::open(&path, &[1, 2, 3]).expect("made"));
    drop(Store::open(&path, &[3, 2, 1]).expect("the same members"));
    let error = Store::open(&path, &[1, 2, 3, 4, 5]).err().expect("others").to_string();
    assert!(error.contains("members {1, 2, 3}, and not of [1, 2, 3, 4, 5]"), "{error}");
}

#[test]
fn invalid_messages_change_nothing() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let mut random = SmallRng::seed_from_u64(1);
    let replica = group.up.get_mut(&leader).expect("up");
    for length in 0..300 {
        let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
        if let Ok(out) = replica.receive(&noise).expect("no fatal error") {
            assert!(out.messages.is_empty(), "random bytes were accepted as a message");
        }
    }
    assert!(Replica::start(9, Store::open(&group.directory.path().join("new"), &[1, 2, 3]).expect("made"))
        .is_err());
}

/// Under any faults no two replicas deliver different records at one index (checked in `Group::collect`), and after all
/// replicas have recovered all have the same records.
#[test]
fn logs_never_diverge_under_random_faults() {
    for seed in 0..12 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut group = Group::new(3);
        for n in 0..300 {
            let id = random.random_range(1..=3);
            match random.random_range(0..20) {
                0 if group.up.len() > 1 => group.kill(id),
                1..3 if !group.up.contains_key(&id) => group.start(id),
                3 => group.isolate(id),
                4..6 => group.reconnect(),
                6..10 if group.up.contains_key(&id) => _ = group.propose(id, &format!("{n}")),
                _ => group.tick(),
            }
        }
        group.reconnect();
        for id in 1..=3 {
            if !group.up.contains_key(&id) {
                group.start(id);
            }
        }
        let leader = group.leader();
        group.propose(leader, "last").expect("accepted");
        for _ in 0..MANY_TICKS {
            group.tick();
        }
        let texts = group.texts(leader);
        assert_eq!(texts.last().map(String::as_str), Some("last"), "seed {seed}");
        assert!((1..=3).all(|id| group.texts(id) == texts), "seed {seed}");
    }
}
