//! Tests of a replica on a disk with transient faults and after power failures: all acknowledged records and votes survive.

use aniseyoke_replica::{Event, Output, Replica, Store};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// The size of a page of the simulated page cache.
const PAGE_BYTES: usize = 4096;
/// The minimum number of disk operations in a run: each of them fails in one run.
const MIN_DISK_OPERATIONS: u64 = 120;
/// More ticks than an election takes.
const MANY_TICKS: usize = 100;

/// A file in a simulated kernel: the content of the page cache, the content on disk, and the dirty pages. As on Linux, a
/// failed sync marks pages as clean although they are not on disk.
#[derive(Debug, Default)]
struct SimulatedFile {
    cache: Vec<u8>,
    durable: Vec<u8>,
    dirty: BTreeSet<usize>,
    /// The number of disk operations so far.
    operations: u64,
    /// The numbers of the operations that fail.
    fails: std::ops::Range<u64>,
    failed: u64,
}

#[derive(Clone, Debug, Default)]
struct SimulatedDisk(Arc<Mutex<SimulatedFile>>);

impl SimulatedDisk {
    /// Creates a disk with a new log. The disk operations with these numbers fail, counted from 1 after the creation.
    fn failing(fails: std::ops::Range<u64>, members: &[u64]) -> Self {
        let disk = SimulatedDisk::default();
        drop(Store::open_on(disk.clone(), members).expect("begun"));
        {
            let mut file = disk.file();
            (file.operations, file.fails) = (0, fails);
        }
        disk
    }

    fn file(&self) -> MutexGuard<'_, SimulatedFile> {
        self.0.lock().expect("whole")
    }

    /// Simulates a power failure: a random subset of the dirty pages has reached the disk, the others are lost.
    fn fail_power(&self, rng: &mut SmallRng) {
        let mut file = self.file();
        let dirty: Vec<usize> = std::mem::take(&mut file.dirty).into_iter().collect();
        dirty.into_iter().filter(|_| rng.random()).for_each(|page| file.flush(page));
        file.cache = file.durable.clone();
    }
}

impl SimulatedFile {
    fn operation(&mut self, number: i32) -> io::Result<()> {
        self.operations += 1;
        if self.fails.contains(&self.operations) {
            self.failed += 1;
            return Err(io::Error::from_raw_os_error(number));
        }
        Ok(())
    }

    fn flush(&mut self, page: usize) {
        let range = page * PAGE_BYTES..((page + 1) * PAGE_BYTES).min(self.cache.len());
        if self.durable.len() < range.end {
            self.durable.resize(range.end, 0);
        }
        self.durable[range.clone()].copy_from_slice(&self.cache[range]);
    }
}

const ENOSPC: i32 = 28;
const EIO: i32 = 5;

impl StorageBackend for SimulatedDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file().cache.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let at = offset as usize;
        out.copy_from_slice(&self.file().cache[at..at + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut file = self.file();
        file.operation(ENOSPC)?;
        file.cache.resize(len as usize, 0);
        let end = (len as usize).div_ceil(PAGE_BYTES);
        file.dirty.retain(|page| *page < end);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut file = self.file();
        let dirty = std::mem::take(&mut file.dirty);
        file.operation(EIO)?;
        let length = file.cache.len();
        file.durable.resize(length, 0);
        dirty.into_iter().for_each(|page| file.flush(page));
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut file = self.file();
        let result = file.operation(ENOSPC);
        // A failed write stores half of its data.
        let length = if result.is_ok() { data.len() } else { data.len() / 2 };
        let at = offset as usize;
        file.cache[at..at + length].copy_from_slice(&data[..length]);
        file.dirty.extend(at / PAGE_BYTES..(at + length).div_ceil(PAGE_BYTES));
        result
    }
}

fn replica(disk: &SimulatedDisk, id: u64, members: &[u64]) -> Result<Replica, String> {
    let store = Store::open_on(disk.clone(), members).map_err(|e| e.to_string())?;
    Replica::start(id, store).map_err(|e| e.to_string())
}

/// Retries the start of a replica until the disk works again.
fn start_with_retries(disk: &SimulatedDisk, id: u64, members: &[u64]) -> Replica {
    for _ in 0..50 {
        if let Ok(replica) = replica(disk, id, members) {
            return replica;
        }
    }
    panic!("the replica failed to start: {:?}", replica(disk, id, members).err());
}

fn collect_committed(out: &Output, into: &mut Vec<String>) {
    for event in &out.events {
        if let Event::Committed(_, record) = event {
            into.push(String::from_utf8_lossy(record).into_owned());
        }
    }
}

/// Ticks the only replica of a group until it is the leader, and collects the records that it delivers; `None` if its disk
/// fails.
fn tick_until_leader(replica: &mut Replica, into: &mut Vec<String>) -> Option<()> {
    for _ in 0..MANY_TICKS {
        collect_committed(&replica.tick().ok()?, into);
        if replica.leading_term().is_some() {
            return Some(());
        }
    }
    panic!("the replica was not elected");
}

/// Asserts that a replica has no output after an error, even if the disk works again: its state may not be on disk.
fn assert_no_output(replica: &mut Replica) {
    for _ in 0..MANY_TICKS {
        match replica.tick() {
            Ok(out) => {
                assert_eq!(
                    (out.messages.len(), out.events.len()),
                    (0, 0),
                    "the replica has output after an error"
                )
            }
            Err(_) => continue,
        }
    }
}

/// Commits records while disk operations fail, then simulates a power failure. All committed records must be recovered.
/// Returns the number of failed operations.
fn run_with_faults(fails: std::ops::Range<u64>, seed: u64) -> Result<u64, String> {
    let (disk, mut rng) = (SimulatedDisk::failing(fails.clone(), &[1]), SmallRng::seed_from_u64(seed));
    let mut acknowledged: Vec<String> = Vec::new();
    let mut number = 0;
    while number < 12 {
        let mut leader = start_with_retries(&disk, 1, &[1]);
        let mut replayed = Vec::new();
        if tick_until_leader(&mut leader, &mut replayed).is_none() {
            assert_no_output(&mut leader);
            continue;
        }
        while number < 12 {
            number += 1;
            match leader.propose(format!("record {number}").into_bytes()) {
                Ok(out) => collect_committed(&out.expect("it is the leader"), &mut acknowledged),
                Err(_) => {
                    assert_no_output(&mut leader);
                    break;
                }
            }
            if number % 5 == 0 {
                let applied_index = leader.applied();
                if leader.compact(applied_index, acknowledged.join(",").into_bytes()).is_err() {
                    assert_no_output(&mut leader);
                    break;
                }
            }
        }
    }
    let failed = disk.file().failed;
    disk.fail_power(&mut rng);
    disk.file().fails = 0..0;
    let mut leader =
        replica(&disk, 1, &[1]).map_err(|e| format!("{fails:?}: the log can't be opened: {e}"))?;
    let mut found = Vec::new();
    for _ in 0..MANY_TICKS {
        let out = leader.tick().map_err(|e| e.to_string())?;
        for event in &out.events {
            if let Event::Snapshot(_, data) = event {
                let data = String::from_utf8_lossy(data).into_owned();
                found.extend(data.split(',').filter(|r| !r.is_empty()).map(str::to_owned));
            }
        }
        collect_committed(&out, &mut found);
    }
    let lost: Vec<&String> = acknowledged.iter().filter(|r| !found.contains(r)).collect();
    if !lost.is_empty() {
        return Err(format!(
            "{fails:?}: of {} acknowledged records {} are lost",
            acknowledged.len(),
            lost.len()
        ));
    }
    Ok(failed)
}

fn run_all_fault_windows(windows: &[u64]) {
    let mut failures = Vec::new();
    let (mut runs, mut faulted) = (0, 0);
    for window in windows {
        for from in 1..=MIN_DISK_OPERATIONS {
            runs += 1;
            match run_with_faults(from..from + window, from * 31 + window) {
                Ok(failed) => faulted += u64::from(failed > 0),
                Err(error) => failures.push(error),
            }
        }
    }
    assert!(failures.is_empty(), "{} of {runs} runs failed: {failures:#?}", failures.len());
    assert!(faulted * 10 > runs * 6, "only {faulted} of {runs} runs had a fault");
}

/// Guards against lost records: a failed sync marks pages as clean, so that the next process finds their data in the page
/// cache and treats it as durable.
#[test]
fn committed_records_survive_any_single_disk_fault_and_a_power_failure() {
    run_all_fault_windows(&[1]);
}

#[test]
fn committed_records_survive_consecutive_disk_faults_and_a_power_failure() {
    run_all_fault_windows(&[2, 7]);
}

fn request_vote(from: u64, to: u64, term: u64) -> Vec<u8> {
    let mut message = Message::default();
    message.set_msg_type(MessageType::MsgRequestVote);
    (message.from, message.to, message.term) = (from, to, term);
    (message.index, message.log_term) = (100, 1);
    message.write_to_bytes().expect("encoded")
}

/// The candidates that the output grants a vote.
fn votes_granted(out: &Output) -> impl Iterator<Item = u64> + '_ {
    out.messages.iter().filter_map(|(to, bytes)| {
        let message = Message::parse_from_bytes(bytes).expect("a message");
        let vote = message.get_msg_type() == MessageType::MsgRequestVoteResponse && !message.reject;
        vote.then_some(*to)
    })
}

/// In each of several terms two candidates request votes in turn. Between the requests the voter restarts, randomly after a
/// power failure. At most one candidate per term may get a vote.
fn request_votes_with_faults(disk: &SimulatedDisk, rng: &mut SmallRng, granted_votes: &mut u64) {
    for term in 2..8 {
        let mut voted = BTreeSet::new();
        for candidate in [1, 3, 1, 3] {
            let mut voter = start_with_retries(disk, 2, &[1, 2, 3]);
            for candidate_id in [candidate, 4 - candidate] {
                match voter.receive(&request_vote(candidate_id, 2, term)) {
                    Ok(out) => voted.extend(votes_granted(&out.expect("a message"))),
                    Err(_) => assert_no_output(&mut voter),
                }
            }
            drop(voter);
            if rng.random() {
                disk.fail_power(rng);
            }
        }
        assert!(voted.len() <= 1, "two votes in term {term}: {voted:?}");
        *granted_votes += voted.len() as u64;
    }
}

/// Guards against two leaders in one term: a voter that restarts without its vote on disk would vote for a second
/// candidate.
#[test]
fn a_replica_grants_one_vote_per_term_despite_disk_faults_and_restarts() {
    let (mut granted_votes, mut faulted) = (0, 0);
    for from in (1..=MIN_DISK_OPERATIONS).step_by(3) {
        for window in [1, 3] {
            let disk = SimulatedDisk::failing(from..from + window, &[1, 2, 3]);
            request_votes_with_faults(&disk, &mut SmallRng::seed_from_u64(from), &mut granted_votes);
            faulted += u64::from(disk.file().failed > 0);
        }
    }
    assert!(
        granted_votes > 300 && faulted > MIN_DISK_OPERATIONS / 3,
        "{granted_votes} votes were granted, {faulted} runs had a fault"
    );
}
