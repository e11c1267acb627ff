//! Groups of replicas on real stores, with the network between them in the test's hands: minorities lost, leaders parted,
//! restarts from disk, snapshots.

use aniseyoke_replica::{Event, NotDone, Out, Replica, Store};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;

/// Far more ticks than any election takes.
const LONG: usize = 400;

struct Group {
    folder: tempfile::TempDir,
    members: Vec<u64>,
    up: BTreeMap<u64, Replica>,
    /// Links that carry nothing, both ways.
    parted: BTreeSet<(u64, u64)>,
    net: VecDeque<(u64, u64, Vec<u8>)>,
    /// What each handed out since its last start: by index.
    agreed: BTreeMap<u64, BTreeMap<u64, Vec<u8>>>,
    confirmed: BTreeSet<(u64, u64)>,
    snapshots: u64,
}

impl Group {
    fn new(size: u64) -> Self {
        let members: Vec<u64> = (1..=size).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut group = Group {
            folder,
            members: members.clone(),
            up: BTreeMap::new(),
            parted: BTreeSet::new(),
            net: VecDeque::new(),
            agreed: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            snapshots: 0,
        };
        members.into_iter().for_each(|id| group.start(id));
        group
    }

    fn path(&self, id: u64) -> PathBuf {
        self.folder.path().join(format!("log-{id}"))
    }

    fn start(&mut self, id: u64) {
        let store = Store::open(&self.path(id), &self.members).expect("a store");
        self.agreed.insert(id, BTreeMap::new());
        self.up.insert(id, Replica::start(id, store).expect("started"));
    }

    fn kill(&mut self, id: u64) {
        self.up.remove(&id);
    }

    fn part(&mut self, id: u64) {
        let others: Vec<u64> = self.members.iter().copied().filter(|o| *o != id).collect();
        others.into_iter().for_each(|o| _ = self.parted.insert((id.min(o), id.max(o))));
    }

    fn heal(&mut self) {
        self.parted.clear();
    }

    fn took(&mut self, id: u64, out: Out) {
        self.net.extend(out.messages.into_iter().map(|(to, bytes)| (id, to, bytes)));
        for event in out.events {
            match event {
                Event::Agreed(index, record) => {
                    // One order everywhere: what any replica was handed at an index is what all are.
                    for other in self.agreed.values() {
                        assert!(other.get(&index).is_none_or(|r| *r == record), "two records at {index}");
                    }
                    self.agreed.entry(id).or_default().insert(index, record);
                }
                Event::Confirmed(number) => _ = self.confirmed.insert((id, number)),
                Event::Snapshot(..) => self.snapshots += 1,
                Event::Leads(_) => {}
            }
        }
    }

    fn carry(&mut self) {
        while let Some((from, to, bytes)) = self.net.pop_front() {
            if self.parted.contains(&(from.min(to), from.max(to))) {
                continue;
            }
            let Some(replica) = self.up.get_mut(&to) else { continue };
            if let Ok(out) = replica.step(&bytes).expect("sound") {
                self.took(to, out);
            }
        }
    }

    fn tick(&mut self) {
        for id in self.members.clone() {
            if let Some(out) = self.up.get_mut(&id).map(|r| r.tick().expect("sound")) {
                self.took(id, out);
            }
        }
        self.carry();
    }

    /// Waits for a leader that a majority is in touch with.
    fn leader(&mut self) -> u64 {
        for _ in 0..LONG {
            self.tick();
            let in_touch = |id: u64| {
                let others = self.members.iter().filter(|o| {
                    **o == id || self.up.contains_key(o) && !self.parted.contains(&(id.min(**o), id.max(**o)))
                });
                others.count() > self.members.len() / 2
            };
            let leader =
                self.up.iter().find(|(id, r)| r.leads().is_some() && in_touch(**id)).map(|(id, _)| *id);
            if let Some(leader) = leader {
                return leader;
            }
        }
        panic!("nobody leads");
    }

    fn propose(&mut self, id: u64, record: &str) -> Result<(), NotDone> {
        let replica = self.up.get_mut(&id).expect("up");
        let out = replica.propose(record.into()).expect("sound")?;
        self.took(id, out);
        self.carry();
        Ok(())
    }

    fn confirm(&mut self, id: u64, number: u64) {
        let replica = self.up.get_mut(&id).expect("up");
        if let Ok(out) = replica.confirm(number).expect("sound") {
            self.took(id, out);
        }
        self.carry();
    }

    fn texts(&self, id: u64) -> Vec<String> {
        self.agreed[&id].values().map(|r| String::from_utf8_lossy(r).into_owned()).collect()
    }

    fn until_all_have(&mut self, wanted: &[&str]) {
        for _ in 0..LONG {
            self.tick();
            if self.up.keys().all(|id| self.texts(*id) == wanted) {
                return;
            }
        }
        let has: Vec<_> = self.up.keys().map(|id| (*id, self.texts(*id))).collect();
        panic!("wanted {wanted:?}, and there is {has:?}");
    }
}

#[test]
fn a_minority_that_is_lost_stops_nothing_and_loses_nothing() {
    for size in [3, 5] {
        let mut group = Group::new(size);
        let leader = group.leader();
        group.propose(leader, "one").expect("taken");
        group.until_all_have(&["one"]);
        // The leader is lost, and so many more as a minority may be.
        let lost: Vec<u64> = std::iter::once(leader)
            .chain((1..=size).filter(|id| *id != leader))
            .take(size as usize / 2)
            .collect();
        lost.iter().for_each(|id| group.kill(*id));
        let leader = group.leader();
        group.propose(leader, "two").expect("taken");
        group.until_all_have(&["one", "two"]);
        // They come back from their disks and catch up.
        lost.iter().for_each(|id| group.start(*id));
        group.until_all_have(&["one", "two"]);
    }
}

#[test]
fn all_that_was_agreed_on_is_there_after_all_were_killed() {
    let mut group = Group::new(3);
    let leader = group.leader();
    for record in ["one", "two", "three"] {
        group.propose(leader, record).expect("taken");
    }
    group.until_all_have(&["one", "two", "three"]);
    (1..=3).for_each(|id| group.kill(id));
    (1..=3).for_each(|id| group.start(id));
    group.leader();
    group.until_all_have(&["one", "two", "three"]);
}

#[test]
fn a_leader_that_is_parted_agrees_on_nothing_and_is_not_confirmed() {
    let mut group = Group::new(3);
    let old = group.leader();
    group.confirm(old, 1);
    assert!(group.confirmed.contains(&(old, 1)));
    group.part(old);
    // It does not know yet that it is alone.
    group.propose(old, "lost").expect("taken");
    group.confirm(old, 2);
    let new = group.leader();
    assert_ne!(new, old);
    group.propose(new, "won").expect("taken");
    assert!(!group.confirmed.contains(&(old, 2)), "a majority did not hear of it");
    // It steps down by itself.
    for _ in 0..LONG {
        group.tick();
    }
    assert!(group.up[&old].leads().is_none());
    let refused = group.propose(old, "late").expect_err("it leads no more");
    assert!(matches!(refused, NotDone::Elsewhere(_)), "{refused}");
    group.heal();
    group.until_all_have(&["won"]);
}

#[test]
fn a_majority_that_is_lost_stops_agreement_until_it_is_back() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    others.iter().for_each(|id| group.kill(*id));
    group.propose(leader, "waits").expect("taken");
    (0..LONG).for_each(|_| group.tick());
    assert!(group.texts(leader).is_empty() && group.up[&leader].leads().is_none());
    others.iter().for_each(|id| group.start(*id));
    let leader = group.leader();
    group.propose(leader, "goes").expect("taken");
    (0..LONG).for_each(|_| group.tick());
    let texts = group.texts(leader);
    assert_eq!(texts.last().map(String::as_str), Some("goes"));
    assert!((1..=3).all(|id| group.texts(id) == texts));
}

#[test]
fn a_replica_that_lacks_forgotten_records_is_handed_what_they_come_to() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let away = (1..=3).find(|id| *id != leader).expect("another");
    group.kill(away);
    for n in 0..20 {
        group.propose(leader, &format!("record {n}")).expect("taken");
    }
    (0..LONG / 10).for_each(|_| group.tick());
    for id in (1..=3).filter(|id| *id != away) {
        let replica = group.up.get_mut(&id).expect("up");
        let upto = replica.applied();
        replica.compact(upto, b"twenty".to_vec()).expect("compacted");
        assert_eq!(replica.kept(), 0);
        assert!(replica.compact(upto + 1, Vec::new()).is_err(), "it was not handed out yet");
    }
    group.start(away);
    let leader = group.leader();
    group.propose(leader, "behind").expect("taken");
    (0..LONG / 10).for_each(|_| group.tick());
    assert!(group.snapshots > 0);
    assert_eq!(group.texts(away), ["behind"]);
    // And from its own disk: the snapshot first, then the record.
    group.kill(away);
    let before = group.snapshots;
    group.start(away);
    (0..LONG / 10).for_each(|_| group.tick());
    assert!(group.snapshots > before && group.texts(away) == ["behind"]);
}

#[test]
fn a_replica_whose_disk_lost_its_records_ends_with_an_error_and_no_panic() {
    let mut group = Group::new(3);
    let leader = group.leader();
    group.propose(leader, "one").expect("taken");
    group.until_all_have(&["one"]);
    let wiped = (1..=3).find(|id| *id != leader).expect("another");
    group.kill(wiped);
    std::fs::remove_file(group.path(wiped)).expect("removed");
    group.start(wiped);
    let mut ended = None;
    for _ in 0..LONG {
        let out = group.up.get_mut(&leader).expect("up").tick().expect("sound");
        for (_, bytes) in out.messages.iter().filter(|(to, _)| *to == wiped) {
            ended = ended.or(group.up.get_mut(&wiped).expect("up").step(bytes).err());
        }
        if ended.is_some() {
            break;
        }
    }
    let why = ended.expect("it ends").to_string();
    assert!(why.contains("its disk has lost some"), "{why}");
}

#[test]
fn a_log_of_other_members_is_not_opened() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    drop(Store::open(&path, &[1, 2, 3]).expect("made"));
    drop(Store::open(&path, &[3, 2, 1]).expect("the same ones"));
    let why = Store::open(&path, &[1, 2, 3, 4, 5]).err().expect("others").to_string();
    assert!(why.contains("members {1, 2, 3}, and not of [1, 2, 3, 4, 5]"), "{why}");
}

#[test]
fn what_is_no_message_of_a_member_changes_nothing() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let mut chance = SmallRng::seed_from_u64(1);
    let replica = group.up.get_mut(&leader).expect("up");
    for length in 0..300 {
        let noise: Vec<u8> = (0..length).map(|_| chance.random()).collect();
        if let Ok(out) = replica.step(&noise).expect("no failure of its own") {
            assert!(out.messages.is_empty(), "noise was taken for a message");
        }
    }
    assert!(
        Replica::start(9, Store::open(&group.folder.path().join("new"), &[1, 2, 3]).expect("made")).is_err()
    );
}

/// Whatever is lost, killed or parted: no two replicas are ever handed different records at one index (`Group::took`), and
/// once all are back all have the same.
#[test]
fn random_losses_never_part_the_logs() {
    for seed in 0..12 {
        let mut chance = SmallRng::seed_from_u64(seed);
        let mut group = Group::new(3);
        for n in 0..300 {
            let id = chance.random_range(1..=3);
            match chance.random_range(0..20) {
                0 if group.up.len() > 1 => group.kill(id),
                1..3 if !group.up.contains_key(&id) => group.start(id),
                3 => group.part(id),
                4..6 => group.heal(),
                6..10 if group.up.contains_key(&id) => _ = group.propose(id, &format!("{n}")),
                _ => group.tick(),
            }
        }
        group.heal();
        for id in 1..=3 {
            if !group.up.contains_key(&id) {
                group.start(id);
            }
        }
        let leader = group.leader();
        group.propose(leader, "last").expect("taken");
        for _ in 0..LONG {
            group.tick();
        }
        let texts = group.texts(leader);
        assert_eq!(texts.last().map(String::as_str), Some("last"), "seed {seed}");
        assert!((1..=3).all(|id| group.texts(id) == texts), "seed {seed}");
    }
}
