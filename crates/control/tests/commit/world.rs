//! A model of a leader, proxies and the network between them, in which the caller selects the next event. The code under
//! test is the production code of the protocol.

use aniseyoke_control::commit::{
    Change, Leader, LeaderAction, LeaderMessage, Log, Member, MemberAction, MemberMessage, Name, Nanos,
    PrepareError, Record, Times,
};
use aniseyoke_control::Stamp;
use std::collections::{BTreeSet, VecDeque};

/// The times of the protocol, in ticks of the model.
pub const TIMES: Times = Times { lease: 2, margin: 1, prepare: 4 };

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InFlight {
    ToLeader {
        term: u8,
        from: usize,
        message: MemberMessage,
    },
    ToMember {
        to: usize,
        message: LeaderMessage,
    },
    /// A record that a leader has requested to append.
    Append {
        term: u8,
        record: Record,
    },
    /// A request that a majority confirms the leadership.
    Confirm {
        term: u8,
        requester: usize,
        requested_at: Nanos,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proxy {
    pub up: bool,
    pub member: Member,
    /// The running version and the prepared change, as stored on disk.
    disk: (Option<Change>, Option<Change>),
    pub validating: Option<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Nanos,
    log: Vec<Record>,
    pub term: u8,
    leader: Leader,
    pub proxies: Vec<Proxy>,
    pub net: BTreeSet<InFlight>,
    /// The last committed change, and when it was committed.
    pub committed: Option<(Change, Nanos)>,
    pub aborted: BTreeSet<Stamp>,
    /// A change was committed while a proxy served that had not prepared it.
    unprepared: bool,
    pub crashes: u8,
    pub elections: u8,
    pub published: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Deliver(InFlight),
    /// Delivers the message and leaves it in flight.
    Duplicate(InFlight),
    Heartbeat(usize),
    Validated(usize, bool),
    Crash(usize),
    Restart(usize),
    /// Another leader is elected. Its log contains this record that the previous leader has requested to append, if any.
    Elect(Option<Record>),
    Publish,
    Tick,
}

fn name(n: usize) -> Name {
    format!("p{n}").into()
}

fn number(name: &Name) -> usize {
    name[1..].parse().expect("a proxy's number")
}

fn change(number: u64) -> Change {
    Change { stamp: Stamp { epoch: 1, number }, digest: "d".into() }
}

impl State {
    pub fn new(proxies: usize) -> Self {
        let proxy =
            Proxy { up: true, member: Member::new(TIMES, None, None), disk: (None, None), validating: None };
        State {
            now: 0,
            log: Vec::new(),
            term: 1,
            leader: Leader::new(TIMES, Log::default(), 0),
            proxies: vec![proxy; proxies],
            net: BTreeSet::new(),
            committed: None,
            aborted: BTreeSet::new(),
            unprepared: false,
            crashes: 0,
            elections: 0,
            published: 0,
        }
    }

    /// The state of the log.
    pub fn log(&self) -> Log {
        let mut log = Log::default();
        for record in &self.log {
            // A record that is not accepted has no effect on any replica.
            let _ = log.apply(record.clone());
        }
        log
    }

    pub fn serves(&self, n: usize) -> bool {
        let proxy = &self.proxies[n];
        proxy.up && proxy.member.may_serve(self.now)
    }

    /// The records that the leader has requested to append.
    pub fn pending(&self) -> impl Iterator<Item = Record> + '_ {
        self.net.iter().filter_map(|f| match f {
            InFlight::Append { term, record } if *term == self.term => Some(record.clone()),
            _ => None,
        })
    }

    fn perform_leader(&mut self, actions: Vec<LeaderAction>) {
        let term = self.term;
        self.net.extend(actions.into_iter().map(|action| match action {
            LeaderAction::Send(to, message) => InFlight::ToMember { to: number(&to), message },
            LeaderAction::Append(record) => InFlight::Append { term, record },
            LeaderAction::ConfirmLeadership(requester, requested_at) => {
                InFlight::Confirm { term, requester: number(&requester), requested_at }
            }
        }));
    }

    fn perform_member(&mut self, n: usize, actions: Vec<MemberAction>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            let proxy = &mut self.proxies[n];
            match action {
                MemberAction::Send(message) => {
                    self.net.insert(InFlight::ToLeader { term: self.term, from: n, message });
                }
                MemberAction::Validate(change) => proxy.validating = Some(change),
                MemberAction::Persist(change) => {
                    proxy.disk.1 = Some(change.clone());
                    let mut more = Vec::new();
                    proxy.member.persisted(change.stamp, Ok(()), &mut more);
                    actions.extend(more);
                }
                MemberAction::Activate(change) => proxy.disk = (Some(change), None),
                MemberAction::Discard(stamp) => {
                    proxy.disk.1.take_if(|stored| stored.stamp == stamp);
                    proxy.validating.take_if(|stored| stored.stamp == stamp);
                }
                MemberAction::Warn(_) => {}
            }
        }
    }

    /// A majority appends a record.
    fn append(&mut self, record: Record) {
        let before = self.log();
        if before.check(&record).is_ok() {
            match &record {
                Record::Commit { .. } => {
                    let pending = before.pending().cloned().expect("one is pending");
                    let is_unprepared = |n: usize| {
                        let member = &self.proxies[n].member;
                        self.serves(n)
                            && member.running() != Some(&pending)
                            && member.prepared() != Some(&pending)
                    };
                    self.unprepared |= (0..self.proxies.len()).any(is_unprepared);
                    self.committed = Some((pending, self.now));
                }
                Record::Abort { stamp, .. } => {
                    self.aborted.insert(*stamp);
                }
                Record::Begin { .. } => {}
            }
        }
        self.log.push(record);
    }

    fn deliver(&mut self, in_flight: InFlight) {
        let (now, term) = (self.now, self.term);
        let mut actions = Vec::new();
        match in_flight {
            InFlight::ToMember { to, message } => {
                if self.proxies[to].up {
                    let mut actions = Vec::new();
                    self.proxies[to].member.receive(now, message, &mut actions);
                    self.perform_member(to, actions);
                }
            }
            // Messages to an earlier leader are lost with its connections.
            InFlight::ToLeader { term: message_term, from, message } if message_term == term => {
                self.leader.receive(now, &name(from), message, &mut actions);
            }
            InFlight::Append { term: message_term, record } if message_term == term => {
                self.append(record.clone());
                self.leader.record_committed(now, record, &mut actions);
            }
            InFlight::Confirm { term: message_term, requester, requested_at } if message_term == term => {
                self.leader.leadership_confirmed(now, &name(requester), requested_at, &mut actions);
            }
            InFlight::ToLeader { .. } | InFlight::Append { .. } | InFlight::Confirm { .. } => {}
        }
        self.perform_leader(actions);
    }

    /// Drops a message. The leader is notified if it is a record that will never be appended.
    pub fn lose(&mut self, in_flight: &InFlight) {
        self.net.remove(in_flight);
        if matches!(in_flight, InFlight::Append { term, .. } if *term == self.term) {
            self.leader.append_failed();
        }
    }

    pub fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver(in_flight) => {
                self.net.remove(&in_flight);
                self.deliver(in_flight);
            }
            Event::Duplicate(in_flight) => self.deliver(in_flight),
            Event::Heartbeat(n) => {
                let mut actions = Vec::new();
                self.proxies[n].member.heartbeat(now, &mut actions);
                self.perform_member(n, actions);
            }
            Event::Validated(n, valid) => {
                let Some(change) = self.proxies[n].validating.take() else { return };
                let (mut actions, outcome) =
                    (Vec::new(), if valid { Ok(()) } else { Err(PrepareError("unfit".to_owned())) });
                self.proxies[n].member.validated(change.stamp, outcome, &mut actions);
                self.perform_member(n, actions);
            }
            Event::Crash(n) => {
                (self.proxies[n].up, self.proxies[n].validating) = (false, None);
                self.crashes += 1;
            }
            Event::Restart(n) => {
                let (running, prepared) = self.proxies[n].disk.clone();
                (self.proxies[n].up, self.proxies[n].member) = (true, Member::new(TIMES, running, prepared));
            }
            Event::Elect(appended) => {
                appended.into_iter().for_each(|record| self.append(record));
                self.term += 1;
                self.elections += 1;
                self.leader = Leader::new(TIMES, self.log(), now);
            }
            Event::Publish => {
                let mut actions = Vec::new();
                // A change that may not begin yet is published again later.
                let publish_result = self.leader.publish(now, change(self.published + 1), &mut actions);
                self.published += u64::from(publish_result.is_ok());
                self.perform_leader(actions);
            }
            Event::Tick => {
                self.now += 1;
                let mut actions = Vec::new();
                self.leader.tick(self.now, &mut actions);
                self.perform_leader(actions);
            }
        }
    }

    /// The invariant that is violated, if any.
    pub fn violation(&self) -> Option<String> {
        if self.unprepared {
            return Some("committed while a proxy served that had not prepared it".into());
        }
        let decided = self.log();
        for (n, proxy) in self.proxies.iter().enumerate() {
            let running = proxy.member.running();
            if running.is_some_and(|running| self.aborted.contains(&running.stamp)) {
                return Some(format!("proxy {n} runs an aborted version"));
            }
            if running.is_some_and(|running| decided.committed().is_none_or(|c| c.stamp < running.stamp)) {
                return Some(format!("proxy {n} runs a version that was not committed"));
            }
            if let Some((committed, at)) = self.committed.as_ref().filter(|_| self.serves(n)) {
                if running != Some(committed) && self.now >= at + TIMES.lease_with_margin() {
                    return Some(format!("proxy {n} serves under an older version"));
                }
            }
        }
        None
    }
}
