//! A replica: the Raft state machine, its store, and the output of each step.

use super::store::{Store, StoreError};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};

/// Ticks without a heartbeat after which a follower starts an election.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The maximum size of the records in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// The maximum number of messages in flight to one replica.
const MAX_IN_FLIGHT: usize = 64;
/// The maximum size of a record.
const MAX_RECORD_BYTES: usize = 20 << 20;
/// The maximum total size of uncommitted records; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;

/// An event at a replica, reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record is committed: its index and its content. Records are delivered in order and without gaps, once for each
    /// start of the replica.
    Committed(u64, Vec<u8>),
    /// A snapshot replaces all records up to this index.
    Snapshot(u64, Vec<u8>),
    /// A majority has confirmed, after the request with this number, that this replica is the leader.
    LeadershipConfirmed(u64),
    /// This replica has become the leader in this term, or has stopped being the leader (`None`).
    LeadershipChanged(Option<u64>),
}

/// The result of a step: messages to send and events to process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Messages, each with the id of the destination replica. Raft tolerates the loss of any of them.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Events in order of occurrence.
    pub events: Vec<Event>,
}

/// A fatal error of a replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store can't be read or written. Every further call to the replica fails, because its state in memory may be ahead
    /// of the disk.
    #[error("log store failed: {0}")]
    Store(StoreError),
    /// The Raft state machine has failed.
    #[error("Raft failed: {0}")]
    Raft(#[from] raft::Error),
}

/// The reason for rejecting a call. A rejected call changes no state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejected {
    /// The replica is not the leader; contains the id of the leader if known.
    #[error("{}", match .0 {
        Some(leader) => format!("replica {leader} is the leader"),
        None => "no leader is known to this replica".to_owned(),
    })]
    NotLeader(Option<u64>),
    /// The record is too long; contains its size in bytes.
    #[error("a record of {0} bytes is longer than {MAX_RECORD_BYTES}")]
    TooLong(usize),
    /// The limit of uncommitted records is reached.
    #[error("there are too many uncommitted records")]
    Full,
    /// The bytes are not a message of a replica in this group.
    #[error("the bytes are not a message of a replica in this group")]
    InvalidMessage,
}

/// The outer error is fatal to the replica; the inner one is a rejection, after which it continues.
pub type Outcome = Result<Result<Output, Rejected>, Error>;

/// A replica in a Raft group.
pub struct Replica {
    node: RawNode<Store>,
    /// The term in which this replica is the leader.
    leading_term: Option<u64>,
    /// The index of the last record that was delivered to the caller.
    applied: u64,
    /// Events of the next output: the snapshot that the store had at startup.
    initial_events: Vec<Event>,
    /// The fatal error, after which every call fails.
    failure: Option<String>,
}

impl Replica {
    /// Starts replica `id` on its store. All committed records are delivered again, once Raft has established that they are
    /// committed.
    ///
    /// # Errors
    /// If the store does not match, for example because `id` is not one of its members.
    pub fn start(id: u64, store: Store) -> Result<Self, Error> {
        let members = &store.members().voters;
        if !members.contains(&id) {
            return Err(Error::Store(format!("replica {id} is not one of {members:?}").into()));
        }
        let applied = raft::Storage::first_index(&store)? - 1;
        let initial_events = match applied {
            0 => Vec::new(),
            index => vec![Event::Snapshot(index, store.snapshot_data().to_vec())],
        };
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            // A leader without a majority steps down, and a replica that reconnects does not force an election.
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &logger)?;
        Ok(Replica { node, leading_term: None, applied, initial_events, failure: None })
    }

    /// The id of this replica.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The id of the leader, if known to this replica.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The term in which this replica is the leader; `None` if it is not the leader.
    pub fn leading_term(&self) -> Option<u64> {
        self.leading_term
    }

    /// The index of the last record that was delivered to the caller.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The number of log entries in the store that its snapshot does not cover.
    pub fn retained(&self) -> usize {
        self.node.store().len()
    }

    /// Advances the logical clock by one tick: a tenth of the election timeout.
    ///
    /// # Errors
    /// If the replica has failed.
    pub fn tick(&mut self) -> Result<Output, Error> {
        self.run_step(|replica| {
            replica.node.tick();
            replica.process_ready()
        })
    }

    /// Runs a step unless the replica has failed. After an error the state in memory may be ahead of the disk, so nothing
    /// derived from it may be sent, even if the disk works again.
    fn run_step<T>(&mut self, step: impl FnOnce(&mut Self) -> Result<T, Error>) -> Result<T, Error> {
        if let Some(failure) = &self.failure {
            return Err(Error::Store(format!("the replica has failed: {failure}").into()));
        }
        let result = step(self);
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }

    /// Processes a message from another replica.
    ///
    /// # Errors
    /// [`Error`]; the inner error if it is not a message of this group.
    pub fn receive(&mut self, bytes: &[u8]) -> Outcome {
        self.run_step(|replica| replica.handle(bytes))
    }

    fn handle(&mut self, bytes: &[u8]) -> Outcome {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return Ok(Err(Rejected::InvalidMessage)) };
        let is_member = self.node.store().members().voters.contains(&message.from);
        let is_local = raft::raw_node::is_local_msg(message.get_msg_type());
        if !is_member || message.to != self.id() || is_local {
            return Ok(Err(Rejected::InvalidMessage));
        }
        self.check_not_behind(&message)?;
        match self.node.step(message) {
            // Late responses to requests that this replica sent as a leader or candidate.
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => {}
            Err(e) => return Err(e.into()),
        }
        self.process_ready().map(Ok)
    }

    /// Checks that this replica still has the records that it acknowledged to the leader. Raft itself panics otherwise.
    fn check_not_behind(&self, message: &Message) -> Result<(), Error> {
        let last = raft::Storage::last_index(self.node.store())?;
        if message.get_msg_type() != MessageType::MsgHeartbeat || message.commit <= last {
            return Ok(());
        }
        let (stored, id) = (message.commit, self.id());
        let reason = format!(
            "the log ends at record {last}, but replica {id} acknowledged {stored}: its disk has lost some"
        );
        Err(Error::Store(reason.into()))
    }

    /// Proposes a record. It may be committed later, reported by [`Event::Committed`], or never. A record that was proposed
    /// in one term is never committed after a record of a later term.
    ///
    /// # Errors
    /// [`Error`]; the inner error gives the reason why the record is rejected. A rejected record is never committed.
    pub fn propose(&mut self, record: Vec<u8>) -> Outcome {
        if record.len() > MAX_RECORD_BYTES {
            return Ok(Err(Rejected::TooLong(record.len())));
        }
        if self.leading_term.is_none() {
            return Ok(Err(Rejected::NotLeader(self.leader())));
        }
        self.run_step(|replica| match replica.node.propose(Vec::new(), record) {
            Ok(()) => replica.process_ready().map(Ok),
            Err(raft::Error::ProposalDropped) => Ok(Err(Rejected::Full)),
            Err(e) => Err(e.into()),
        })
    }

    /// Requests that a majority confirms that this replica is the leader. [`Event::LeadershipConfirmed`] with the same
    /// number reports success; there is no event on failure.
    ///
    /// # Errors
    /// [`Error`]; the inner error if this replica is not the leader.
    pub fn confirm_leadership(&mut self, number: u64) -> Outcome {
        if self.leading_term.is_none() {
            return Ok(Err(Rejected::NotLeader(self.leader())));
        }
        self.run_step(|replica| {
            replica.node.read_index(number.to_be_bytes().to_vec());
            replica.process_ready().map(Ok)
        })
    }

    /// Replaces the records up to a delivered record by a snapshot. Replicas that lack these records receive the snapshot.
    ///
    /// # Errors
    /// If the store fails, or the record was not delivered.
    pub fn compact(&mut self, index: u64, snapshot: Vec<u8>) -> Result<(), Error> {
        if index > self.applied {
            return Err(Error::Store(format!("record {index} has not been delivered yet").into()));
        }
        self.run_step(|replica| replica.node.mut_store().compact(index, snapshot).map_err(Error::Store))
    }

    /// Performs the actions that the Raft state machine requests: writes to disk first, then sends messages.
    fn process_ready(&mut self) -> Result<Output, Error> {
        let events = std::mem::take(&mut self.initial_events);
        let mut output = Output { messages: Vec::new(), events };
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            if let Some(state) = ready.ss() {
                let term = (state.raft_state == StateRole::Leader).then_some(self.node.raft.term);
                if term != self.leading_term {
                    self.leading_term = term;
                    output.events.push(Event::LeadershipChanged(term));
                }
            }
            send(&mut output, ready.take_messages())?;
            let snapshot = ready.snapshot().clone();
            if !snapshot.is_empty() {
                let index = snapshot.get_metadata().index;
                output.events.push(Event::Snapshot(index, snapshot.get_data().to_vec()));
                self.applied = index;
                self.node.mut_store().replace(snapshot).map_err(Error::Store)?;
            }
            self.deliver_committed(&mut output, ready.take_committed_entries());
            let hard = ready.hs().cloned();
            let entries = ready.take_entries();
            self.node.mut_store().write(&entries, hard.as_ref()).map_err(Error::Store)?;
            // Votes and acknowledgements must not be sent before the state that they confirm is on disk.
            send(&mut output, ready.take_persisted_messages())?;
            push_confirmations(&mut output, ready.take_read_states());
            let mut light = self.node.advance(ready);
            if let Some(index) = light.commit_index() {
                self.node.mut_store().set_commit_index(index);
            }
            send(&mut output, light.take_messages())?;
            self.deliver_committed(&mut output, light.take_committed_entries());
            self.node.advance_apply();
        }
        Ok(output)
    }

    fn deliver_committed(&mut self, output: &mut Output, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            // The first entry of a leader is empty. There are no membership changes, thus no entries of other types.
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.get_data().is_empty() {
                output.events.push(Event::Committed(entry.index, entry.get_data().to_vec()));
            }
        }
    }
}

fn push_confirmations(output: &mut Output, states: Vec<raft::ReadState>) {
    let confirmation = |state: raft::ReadState| {
        let bytes = <[u8; 8]>::try_from(state.request_ctx.as_slice()).ok()?;
        Some(Event::LeadershipConfirmed(u64::from_be_bytes(bytes)))
    };
    output.events.extend(states.into_iter().filter_map(confirmation));
}

fn send(output: &mut Output, messages: Vec<Message>) -> Result<(), Error> {
    for message in messages {
        let bytes = message.write_to_bytes().map_err(|e| Error::Store(e.into()))?;
        output.messages.push((message.to, bytes));
    }
    Ok(())
}
