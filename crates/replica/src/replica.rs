//! A replica: the raft state machine, its store, and what results from driving both.

use super::store::{Store, StoreError};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};

/// Ticks without a heartbeat after which another leader is elected, and ticks between two heartbeats.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// The size of the records in one message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// How many messages to one replica may be in flight.
const MAX_IN_FLIGHT: usize = 64;
/// The longest record, in bytes.
const MAX_RECORD_BYTES: usize = 20 << 20;
/// The size of the records that are not committed yet, in bytes; beyond it new ones are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;

/// What has happened at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record is committed: its index and its content. In order and without gaps, once for each start of the replica.
    Committed(u64, Vec<u8>),
    /// A snapshot, in place of all records up to this index.
    Snapshot(u64, Vec<u8>),
    /// A majority has confirmed that this replica leads, since confirmation was requested with this number.
    LeadershipConfirmed(u64),
    /// This replica has become the leader of this term; or, if none, is not the leader any more.
    LeadershipChanged(Option<u64>),
}

/// What is to be done after a replica was driven.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Messages, each with the replica that it is for. Any of them may be lost.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// What has happened, in order.
    pub events: Vec<Event>,
}

/// Why a replica can't continue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its store can't be read or written. The replica has ended: every further call fails, since memory may be ahead of the
    /// disk.
    #[error("the log's store: {0}")]
    Store(StoreError),
    /// The raft state machine has failed.
    #[error("the log: {0}")]
    Raft(#[from] raft::Error),
}

/// Why a replica did not accept something. It has changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejected {
    /// The replica is not the leader. If it knows the leader, this is its id.
    #[error("{}", match .0 {
        Some(leader) => format!("replica {leader} leads"),
        None => "no replica leads, as far as this one knows".to_owned(),
    })]
    NotLeader(Option<u64>),
    /// The record is too long; this is its size in bytes.
    #[error("a record of {0} bytes is longer than {MAX_RECORD_BYTES}")]
    TooLong(usize),
    /// Too many records are not committed yet.
    #[error("too many records wait to be committed")]
    Full,
    /// The bytes are not a message of a replica of this group.
    #[error("the bytes are not a message of a replica")]
    InvalidMessage,
}

/// The outer error ends the replica; the inner one is a rejection, after which it continues.
pub type Outcome = Result<Result<Output, Rejected>, Error>;

/// One replica.
pub struct Replica {
    node: RawNode<Store>,
    /// The term in which it leads.
    leading_term: Option<u64>,
    /// The index of the last record that was handed out.
    applied: u64,
    /// Events from the start: a snapshot from the store.
    initial_events: Vec<Event>,
    /// The error that ended it.
    failure: Option<String>,
}

impl Replica {
    /// Starts replica `id` on its store. All records that are committed are handed out again, as raft finds that they are.
    ///
    /// # Errors
    /// If the store does not fit, as when `id` is not one of its members.
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
            // A leader without a majority steps down, and one that reconnects does not unseat another.
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &logger)?;
        Ok(Replica { node, leading_term: None, applied, initial_events, failure: None })
    }

    /// Its id.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The id of the leader, if this replica knows it.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The term in which this replica leads.
    pub fn leading_term(&self) -> Option<u64> {
        self.leading_term
    }

    /// The index of the last record that was handed out.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// How many records the store holds besides its snapshot.
    pub fn retained(&self) -> usize {
        self.node.store().len()
    }

    /// Lets time pass: a tenth of the time after which a silent leader is replaced.
    ///
    /// # Errors
    /// If the replica can't continue.
    pub fn tick(&mut self) -> Result<Output, Error> {
        self.drive(|replica| {
            replica.node.tick();
            replica.drain()
        })
    }

    /// Makes a step unless an error has ended the replica. Danger: after an error memory is ahead of the disk, and nothing of
    /// it may be sent, even once the disk works again.
    fn drive<T>(&mut self, step: impl FnOnce(&mut Self) -> Result<T, Error>) -> Result<T, Error> {
        if let Some(failure) = &self.failure {
            return Err(Error::Store(format!("the replica has ended: {failure}").into()));
        }
        let result = step(self);
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }

    /// A message of another replica has arrived.
    ///
    /// # Errors
    /// [`Error`]; the inner one if it is not a message of this group.
    pub fn receive(&mut self, bytes: &[u8]) -> Outcome {
        self.drive(|replica| replica.handle(bytes))
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
            // Late responses to requests of this replica as a leader or candidate.
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => {}
            Err(e) => return Err(e.into()),
        }
        self.drain().map(Ok)
    }

    /// Checks that this replica still has what the leader knows it to have stored. Danger: raft itself panics otherwise.
    fn check_not_behind(&self, message: &Message) -> Result<(), Error> {
        let last = raft::Storage::last_index(self.node.store())?;
        if message.get_msg_type() != MessageType::MsgHeartbeat || message.commit <= last {
            return Ok(());
        }
        let (stored, id) = (message.commit, self.id());
        let reason =
            format!("it ends at {last}, and replica {id} had {stored} records: its disk has lost some");
        Err(Error::Store(reason.into()))
    }

    /// Proposes a record. It may be committed later, or never; [`Event::Committed`] tells. A record that was proposed in one
    /// term is never committed after a record of a later term is.
    ///
    /// # Errors
    /// [`Error`]; the inner one says why the record was rejected, and will not be committed.
    pub fn propose(&mut self, record: Vec<u8>) -> Outcome {
        if record.len() > MAX_RECORD_BYTES {
            return Ok(Err(Rejected::TooLong(record.len())));
        }
        if self.leading_term.is_none() {
            return Ok(Err(Rejected::NotLeader(self.leader())));
        }
        self.drive(|replica| match replica.node.propose(Vec::new(), record) {
            Ok(()) => replica.drain().map(Ok),
            Err(raft::Error::ProposalDropped) => Ok(Err(Rejected::Full)),
            Err(e) => Err(e.into()),
        })
    }

    /// Requests that a majority confirms that this replica leads. [`Event::LeadershipConfirmed`] with the same number tells
    /// that it does; there is no event if it does not.
    ///
    /// # Errors
    /// [`Error`]; the inner one says that it does not lead.
    pub fn confirm_leadership(&mut self, number: u64) -> Outcome {
        if self.leading_term.is_none() {
            return Ok(Err(Rejected::NotLeader(self.leader())));
        }
        self.drive(|replica| {
            replica.node.read_index(number.to_be_bytes().to_vec());
            replica.drain().map(Ok)
        })
    }

    /// Replaces the records up to one that was handed out by a snapshot, which is what replicas that lack them get.
    ///
    /// # Errors
    /// If the store fails, or that record was not handed out.
    pub fn compact(&mut self, index: u64, snapshot: Vec<u8>) -> Result<(), Error> {
        if index > self.applied {
            return Err(Error::Store(format!("record {index} was not handed out yet").into()));
        }
        self.drive(|replica| replica.node.mut_store().compact(index, snapshot).map_err(Error::Store))
    }

    /// Carries out what the raft state machine requests: first to disk, then to the network.
    fn drain(&mut self) -> Result<Output, Error> {
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
            self.hand_out(&mut output, ready.take_committed_entries());
            let hard = ready.hs().cloned();
            let entries = ready.take_entries();
            self.node.mut_store().write(&entries, hard.as_ref()).map_err(Error::Store)?;
            // Danger: votes and acknowledgements must not be sent before what they promise is on disk.
            send(&mut output, ready.take_persisted_messages())?;
            push_confirmations(&mut output, ready.take_read_states());
            let mut light = self.node.advance(ready);
            if let Some(index) = light.commit_index() {
                self.node.mut_store().committed(index);
            }
            send(&mut output, light.take_messages())?;
            self.hand_out(&mut output, light.take_committed_entries());
            self.node.advance_apply();
        }
        Ok(output)
    }

    fn hand_out(&mut self, output: &mut Output, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            // The first entry of a leader is empty, and the members of a group do not change.
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
