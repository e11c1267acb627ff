//! A leader, proxies and the network between them, driven by whoever chooses what happens next. The code under test is the
//! code that runs.

use aniseyoke_control::commit::{
    Change, Leader, Log, Member, Name, Nanos, Order, Record, Step, Times, ToLeader, ToMember,
};
use aniseyoke_control::Stamp;
use std::collections::{BTreeSet, VecDeque};

/// Time is counted in steps here.
pub const TIMES: Times = Times { lease: 2, margin: 1, prepare: 4 };

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Flying {
    ToLeader {
        term: u8,
        from: usize,
        what: ToLeader,
    },
    ToMember {
        to: usize,
        what: ToMember,
    },
    /// A record that a leader wants agreed on.
    Append {
        term: u8,
        record: Record,
    },
    /// A question to a majority whether a leader still leads.
    Confirm {
        term: u8,
        who: usize,
        asked: Nanos,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proxy {
    pub up: bool,
    pub member: Member,
    /// What its disk holds: what it ran, and what it had prepared.
    disk: (Option<Change>, Option<Change>),
    pub checking: Option<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Nanos,
    log: Vec<Record>,
    pub term: u8,
    leader: Leader,
    pub proxies: Vec<Proxy>,
    pub net: BTreeSet<Flying>,
    /// What was committed last, and when.
    pub committed: Option<(Change, Nanos)>,
    pub aborted: BTreeSet<Stamp>,
    /// A commit came while a proxy took requests that had not prepared it.
    unprepared: bool,
    pub crashes: u8,
    pub elections: u8,
    pub published: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    Deliver(Flying),
    /// The same, and the network still has it.
    Copy(Flying),
    Renew(usize),
    Checked(usize, bool),
    Crash(usize),
    Restart(usize),
    /// Another leader; the record that the old one wanted agreed on made it into its log, or not.
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
            Proxy { up: true, member: Member::new(TIMES, None, None), disk: (None, None), checking: None };
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

    /// What all records so far come to.
    pub fn log(&self) -> Log {
        let mut log = Log::default();
        for record in &self.log {
            // What does not fit changes nothing, alike everywhere.
            let _ = log.apply(record.clone());
        }
        log
    }

    pub fn serves(&self, n: usize) -> bool {
        let proxy = &self.proxies[n];
        proxy.up && proxy.member.may_serve(self.now)
    }

    /// A record that the leader waits to have agreed on.
    pub fn pending(&self) -> impl Iterator<Item = Record> + '_ {
        self.net.iter().filter_map(|f| match f {
            Flying::Append { term, record } if *term == self.term => Some(record.clone()),
            _ => None,
        })
    }

    fn orders(&mut self, orders: Vec<Order>) {
        let term = self.term;
        self.net.extend(orders.into_iter().map(|order| match order {
            Order::Send(to, what) => Flying::ToMember { to: number(&to), what },
            Order::Append(record) => Flying::Append { term, record },
            Order::Confirm(who, asked) => Flying::Confirm { term, who: number(&who), asked },
        }));
    }

    fn steps(&mut self, n: usize, steps: Vec<Step>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            let proxy = &mut self.proxies[n];
            match step {
                Step::Send(what) => {
                    self.net.insert(Flying::ToLeader { term: self.term, from: n, what });
                }
                Step::Check(change) => proxy.checking = Some(change),
                Step::Keep(change) => {
                    proxy.disk.1 = Some(change.clone());
                    let mut more = Vec::new();
                    proxy.member.kept(change.stamp, Ok(()), &mut more);
                    steps.extend(more);
                }
                Step::Switch(change) => proxy.disk = (Some(change), None),
                Step::Forget(stamp) => {
                    proxy.disk.1.take_if(|held| held.stamp == stamp);
                    proxy.checking.take_if(|held| held.stamp == stamp);
                }
                Step::Say(_) => {}
            }
        }
    }

    /// A record is agreed on.
    fn agree(&mut self, record: Record) {
        let before = self.log();
        if before.fits(&record).is_ok() {
            match &record {
                Record::Commit { .. } => {
                    let open = before.open().cloned().expect("one is open");
                    let behind = |n: usize| {
                        let member = &self.proxies[n].member;
                        self.serves(n) && member.runs() != Some(&open) && member.prepared() != Some(&open)
                    };
                    self.unprepared |= (0..self.proxies.len()).any(behind);
                    self.committed = Some((open, self.now));
                }
                Record::Abort { stamp, .. } => {
                    self.aborted.insert(*stamp);
                }
                Record::Begin { .. } => {}
            }
        }
        self.log.push(record);
    }

    fn deliver(&mut self, flying: Flying) {
        let (now, term) = (self.now, self.term);
        let mut orders = Vec::new();
        match flying {
            Flying::ToMember { to, what } => {
                if self.proxies[to].up {
                    let mut steps = Vec::new();
                    self.proxies[to].member.told(now, what, &mut steps);
                    self.steps(to, steps);
                }
            }
            // What was sent to an earlier leader ends with its connections.
            Flying::ToLeader { term: then, from, what } if then == term => {
                self.leader.told(now, &name(from), what, &mut orders);
            }
            Flying::Append { term: then, record } if then == term => {
                self.agree(record.clone());
                self.leader.agreed(now, record, &mut orders);
            }
            Flying::Confirm { term: then, who, asked } if then == term => {
                self.leader.confirmed(now, &name(who), asked, &mut orders);
            }
            Flying::ToLeader { .. } | Flying::Append { .. } | Flying::Confirm { .. } => {}
        }
        self.orders(orders);
    }

    /// The network loses something. A record that will never be agreed on is told to who asked for it.
    pub fn lose(&mut self, flying: &Flying) {
        self.net.remove(flying);
        if matches!(flying, Flying::Append { term, .. } if *term == self.term) {
            self.leader.not_agreed();
        }
    }

    pub fn act(&mut self, act: Act) {
        let now = self.now;
        match act {
            Act::Deliver(flying) => {
                self.net.remove(&flying);
                self.deliver(flying);
            }
            Act::Copy(flying) => self.deliver(flying),
            Act::Renew(n) => {
                let mut steps = Vec::new();
                self.proxies[n].member.renew(now, &mut steps);
                self.steps(n, steps);
            }
            Act::Checked(n, fits) => {
                let Some(change) = self.proxies[n].checking.take() else { return };
                let (mut steps, outcome) = (Vec::new(), if fits { Ok(()) } else { Err("unfit".to_owned()) });
                self.proxies[n].member.checked(change.stamp, outcome, &mut steps);
                self.steps(n, steps);
            }
            Act::Crash(n) => {
                (self.proxies[n].up, self.proxies[n].checking) = (false, None);
                self.crashes += 1;
            }
            Act::Restart(n) => {
                let (runs, prepared) = self.proxies[n].disk.clone();
                (self.proxies[n].up, self.proxies[n].member) = (true, Member::new(TIMES, runs, prepared));
            }
            Act::Elect(carried) => {
                carried.into_iter().for_each(|record| self.agree(record));
                self.term += 1;
                self.elections += 1;
                self.leader = Leader::new(TIMES, self.log(), now);
            }
            Act::Publish => {
                let mut orders = Vec::new();
                // One that may not begin yet is told so, and comes again.
                let begun = self.leader.publish(now, change(self.published + 1), &mut orders);
                self.published += u64::from(begun.is_ok());
                self.orders(orders);
            }
            Act::Tick => {
                self.now += 1;
                let mut orders = Vec::new();
                self.leader.tick(self.now, &mut orders);
                self.orders(orders);
            }
        }
    }

    /// What must never be; none: all is well.
    pub fn wrong(&self) -> Option<String> {
        if self.unprepared {
            return Some("committed while a proxy took requests that had not prepared it".into());
        }
        let decided = self.log();
        for (n, proxy) in self.proxies.iter().enumerate() {
            let runs = proxy.member.runs();
            if runs.is_some_and(|runs| self.aborted.contains(&runs.stamp)) {
                return Some(format!("proxy {n} runs an aborted version"));
            }
            if runs.is_some_and(|runs| decided.committed().is_none_or(|c| c.stamp < runs.stamp)) {
                return Some(format!("proxy {n} runs a version that was not committed"));
            }
            if let Some((committed, at)) = self.committed.as_ref().filter(|_| self.serves(n)) {
                if runs != Some(committed) && self.now >= at + TIMES.over() {
                    return Some(format!("proxy {n} takes requests under an older version"));
                }
            }
        }
        None
    }
}
