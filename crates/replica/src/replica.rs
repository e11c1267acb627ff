//! A replica: raft's state machine, its store, and what comes out of both.

use super::store::{Failed, Store};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, StateRole};
use std::fmt;

/// Ticks without a word of the leader after which another is elected, and between the leader's words.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of records in one message, and messages on their way to one replica.
const MESSAGE_MOST: u64 = 1 << 20;
const ON_THEIR_WAY: usize = 64;
/// A record is at most this long, in bytes.
const RECORD_MOST: usize = 20 << 20;
/// Records that wait to be agreed on, in bytes; past that a new one is turned down.
const WAITING_MOST: u64 = 64 << 20;

/// What came of driving a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record was agreed on: its index, and what it says. In order, without gaps; once for each start of the replica.
    Agreed(u64, Vec<u8>),
    /// What all records up to this index come to, in place of the records themselves.
    Snapshot(u64, Vec<u8>),
    /// A majority has confirmed, since this number was asked about, that this replica leads.
    Confirmed(u64),
    /// This replica leads from here on, under this term; or leads no more.
    Leads(Option<u64>),
}

/// What is to be done after a replica was driven.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Out {
    /// Messages for other replicas. Any of them may be lost.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// What happened, in order.
    pub events: Vec<Event>,
}

/// Why a replica can't go on.
#[derive(Debug)]
pub enum Error {
    /// Its store can't be read or written. It has ended: every further call fails, since memory may be ahead of the disk.
    Store(Failed),
    /// Raft finds that something is wrong with it.
    Raft(raft::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Store(e) => write!(f, "the log's store: {e}"),
            Error::Raft(e) => write!(f, "the log: {e}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<raft::Error> for Error {
    fn from(e: raft::Error) -> Self {
        Error::Raft(e)
    }
}

/// Why a replica did not take something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotDone {
    /// It does not lead; this one does, as far as it knows.
    Elsewhere(Option<u64>),
    /// So many bytes are too long for a record.
    TooLong(usize),
    /// Too much waits to be agreed on.
    Full,
    /// What came is no message of a replica.
    Unreadable,
}

impl fmt::Display for NotDone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NotDone::Elsewhere(Some(leader)) => write!(f, "replica {leader} leads"),
            NotDone::Elsewhere(None) => f.write_str("no replica leads, as far as this one knows"),
            NotDone::TooLong(length) => write!(f, "a record of {length} bytes is longer than {RECORD_MOST}"),
            NotDone::Full => f.write_str("too much waits to be agreed on"),
            NotDone::Unreadable => f.write_str("what came is no message of a replica"),
        }
    }
}

/// One replica.
pub struct Replica {
    node: RawNode<Store>,
    leads: Option<u64>,
    applied: u64,
    /// What is handed out first: a snapshot from the store.
    first: Vec<Event>,
    /// The error that ended it.
    ended: Option<String>,
}

impl Replica {
    /// Starts replica `id` on its store. All records that the store knows to be agreed on come out again as raft finds so.
    ///
    /// # Errors
    /// If the store does not fit, as when `id` is none of its members.
    pub fn start(id: u64, store: Store) -> Result<Self, Error> {
        if !store.members().voters.contains(&id) {
            return Err(Error::Store(format!("replica {id} is none of {:?}", store.members().voters).into()));
        }
        let applied = raft::Storage::first_index(&store)? - 1;
        let first = match applied {
            0 => Vec::new(),
            index => vec![Event::Snapshot(index, store.snapshot_data().to_vec())],
        };
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: MESSAGE_MOST,
            max_inflight_msgs: ON_THEIR_WAY,
            max_uncommitted_size: WAITING_MOST,
            // A leader that hears of no majority steps down, and one that comes back does not unseat another.
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &quiet)?;
        Ok(Replica { node, leads: None, applied, first, ended: None })
    }

    /// Its number.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The replica that leads, as far as this one knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The term under which this one leads.
    pub fn leads(&self) -> Option<u64> {
        self.leads
    }

    /// The last record that was handed out.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Records that are kept one by one.
    pub fn kept(&self) -> usize {
        self.node.store().len()
    }

    /// Time has passed: a tenth of what a leader may be silent.
    ///
    /// # Errors
    /// [`Error`]
    pub fn tick(&mut self) -> Result<Out, Error> {
        self.drive(|me| {
            me.node.tick();
            me.drain()
        })
    }

    /// Danger: after an error memory is ahead of the disk, and what memory says must not leave, also once the disk is back.
    fn drive<T>(&mut self, step: impl FnOnce(&mut Self) -> Result<T, Error>) -> Result<T, Error> {
        if let Some(why) = &self.ended {
            return Err(Error::Store(format!("it has ended: {why}").into()));
        }
        let done = step(self);
        if let Err(e) = &done {
            self.ended = Some(e.to_string());
        }
        done
    }

    /// A message of another replica has come.
    ///
    /// # Errors
    /// [`Error`]; the inner one says that it was none, and changed nothing.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Result<Out, NotDone>, Error> {
        self.drive(|me| me.take(bytes))
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Result<Out, NotDone>, Error> {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return Ok(Err(NotDone::Unreadable)) };
        let member = self.node.store().members().voters.contains(&message.from);
        if !member || message.to != self.id() || raft::raw_node::is_local_msg(message.get_msg_type()) {
            return Ok(Err(NotDone::Unreadable));
        }
        // Danger: raft itself panics at this. A leader tells what it knows this replica to have had on disk.
        let last = raft::Storage::last_index(self.node.store())?;
        if message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last {
            let (had, id) = (message.commit, self.id());
            let why =
                format!("it ends at {last}, and replica {id} had {had} records: its disk has lost some");
            return Err(Error::Store(why.into()));
        }
        match self.node.step(message) {
            // Late answers to what this one asked as a leader or candidate.
            Ok(()) | Err(raft::Error::StepPeerNotFound | raft::Error::ProposalDropped) => {}
            Err(e) => return Err(e.into()),
        }
        self.drain().map(Ok)
    }

    /// Asks for a record to be agreed on. It may be agreed on later, or never; [`Event::Agreed`] tells. One that was asked
    /// for under a term is not agreed on any more once another record of a later term is.
    ///
    /// # Errors
    /// [`Error`]; the inner one says why it was not taken, and will not be agreed on.
    pub fn propose(&mut self, record: Vec<u8>) -> Result<Result<Out, NotDone>, Error> {
        if record.len() > RECORD_MOST {
            return Ok(Err(NotDone::TooLong(record.len())));
        }
        if self.leads.is_none() {
            return Ok(Err(NotDone::Elsewhere(self.leader())));
        }
        self.drive(|me| match me.node.propose(Vec::new(), record) {
            Ok(()) => me.drain().map(Ok),
            Err(raft::Error::ProposalDropped) => Ok(Err(NotDone::Full)),
            Err(e) => Err(e.into()),
        })
    }

    /// Asks a majority to confirm that this replica leads; [`Event::Confirmed`] with the same number tells that it does.
    /// Nothing tells that it does not.
    ///
    /// # Errors
    /// [`Error`]; the inner one says that it does not lead.
    pub fn confirm(&mut self, number: u64) -> Result<Result<Out, NotDone>, Error> {
        if self.leads.is_none() {
            return Ok(Err(NotDone::Elsewhere(self.leader())));
        }
        self.drive(|me| {
            me.node.read_index(number.to_be_bytes().to_vec());
            me.drain().map(Ok)
        })
    }

    /// Forgets the records up to one that was handed out; `data` is what they come to, and is handed to a replica that lacks
    /// them.
    ///
    /// # Errors
    /// If the store fails, or that record was not handed out.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), Error> {
        if index > self.applied {
            return Err(Error::Store(format!("record {index} was not handed out yet").into()));
        }
        self.drive(|me| me.node.mut_store().compact(index, data).map_err(Error::Store))
    }

    /// Has all done that raft wants done: first to disk, then out.
    fn drain(&mut self) -> Result<Out, Error> {
        let mut out = Out { messages: Vec::new(), events: std::mem::take(&mut self.first) };
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            if let Some(state) = ready.ss() {
                let leads = (state.raft_state == StateRole::Leader).then_some(self.node.raft.term);
                if leads != self.leads {
                    self.leads = leads;
                    out.events.push(Event::Leads(leads));
                }
            }
            send(&mut out, ready.take_messages())?;
            let snapshot = ready.snapshot().clone();
            if !snapshot.is_empty() {
                let index = snapshot.get_metadata().index;
                out.events.push(Event::Snapshot(index, snapshot.get_data().to_vec()));
                self.applied = index;
                self.node.mut_store().replace(snapshot).map_err(Error::Store)?;
            }
            self.agreed(&mut out, ready.take_committed_entries());
            let hard = ready.hs().cloned();
            let entries = ready.take_entries();
            self.node.mut_store().write(&entries, hard.as_ref()).map_err(Error::Store)?;
            // Danger: votes and acknowledgements must not leave before what they promise is on disk.
            send(&mut out, ready.take_persisted_messages())?;
            confirmed(&mut out, ready.take_read_states());
            let mut light = self.node.advance(ready);
            if let Some(index) = light.commit_index() {
                self.node.mut_store().committed(index);
            }
            send(&mut out, light.take_messages())?;
            self.agreed(&mut out, light.take_committed_entries());
            self.node.advance_apply();
        }
        Ok(out)
    }

    fn agreed(&mut self, out: &mut Out, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            // A leader's first entry is empty, and members do not change.
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.get_data().is_empty() {
                out.events.push(Event::Agreed(entry.index, entry.get_data().to_vec()));
            }
        }
    }
}

fn confirmed(out: &mut Out, states: Vec<raft::ReadState>) {
    let number = |state: raft::ReadState| {
        let bytes = <[u8; 8]>::try_from(state.request_ctx.as_slice()).ok()?;
        Some(Event::Confirmed(u64::from_be_bytes(bytes)))
    };
    out.events.extend(states.into_iter().filter_map(number));
}

fn send(out: &mut Out, messages: Vec<Message>) -> Result<(), Error> {
    for message in messages {
        let bytes = message.write_to_bytes().map_err(|e| Error::Store(e.into()))?;
        out.messages.push((message.to, bytes));
    }
    Ok(())
}
