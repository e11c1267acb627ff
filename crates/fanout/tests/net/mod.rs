//! A tree in one thread: connections are queues, time passes in steps of ten milliseconds.

use aniseyoke_fanout::relay::Report;
use aniseyoke_fanout::{Action, Log, Member, Nanos, Progress, Relay, Settings, Told};
use std::collections::{BTreeMap, VecDeque};

const MS: Nanos = 1_000_000;
const STEP: Nanos = 10 * MS;
const LEASE: Nanos = 1000 * MS;

/// What happens to a tree; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Op {
    /// So many purges are numbered.
    Purge(usize),
    /// So many steps pass.
    Pass(u64),
    /// A connection ends; the upper end learns it later.
    Cut(usize, bool),
    /// What goes up or comes down on a connection is lost until it is cut, or till the next such.
    Lose(usize, bool, bool),
    /// What is on its way down on a connection is lost.
    Drop(usize),
    /// Whatever is on its way on a connection comes twice.
    Twice(usize),
    /// A relay is back at once, and knows nothing.
    RestartRelay(usize),
    /// So is a leaf.
    RestartLeaf(usize),
    /// The root is back with its log.
    RestartRoot,
    /// And without.
    LoseLog,
}

#[derive(Clone)]
enum Up {
    Hello(Progress),
    Done(Report),
}

#[derive(Clone)]
enum Down {
    Purges(u64, u64, Vec<u64>),
    Flush(Progress),
}

/// The connection of a relay or a leaf to what is above it.
struct Conn {
    /// None: there is no connection.
    id: Option<u64>,
    /// Relay 0 is the root.
    to: usize,
    retry: Nanos,
    up: VecDeque<Up>,
    down: VecDeque<Down>,
    lose: (bool, bool),
}

struct Node {
    boot: u64,
    conn: Conn,
}

pub struct Net {
    now: Nanos,
    entries: usize,
    seed: u64,
    ids: u64,
    /// What was numbered, by epoch.
    truth: BTreeMap<u64, Vec<u64>>,
    epoch: u64,
    /// The root, and the relays.
    relays: Vec<Relay>,
    members: Vec<Member>,
    /// Relays but the root, then leaves.
    nodes: Vec<Node>,
    /// Ends that upper ends have not learnt yet.
    ends: Vec<(Nanos, usize, u64)>,
}

fn settings(root: bool) -> Settings {
    Settings {
        batch: if root { 0 } else { 30 * MS },
        beat: 200 * MS,
        grace: if root { 600 * MS } else { 300 * MS },
        lease: LEASE,
        forget: 3 * LEASE,
        spread: 200 * MS,
        stuck: 2 * LEASE,
        window: 16,
        frame: 4,
        ..Settings::default()
    }
}

impl Net {
    pub fn new(relays: usize, leaves: usize, entries: usize, seed: u64) -> Self {
        let log = Log::new(Progress { epoch: 1, through: 0 }, entries);
        let mut all = vec![Relay::root("root", settings(true), log, 0)];
        all.extend((1..=relays).map(|n| Relay::new(&format!("r{n}"), settings(false), entries, 0)));
        let node = |n: usize| {
            let to = if n < relays { 0 } else { 1 + n % relays };
            let (up, down) = (VecDeque::new(), VecDeque::new());
            Node { boot: 0, conn: Conn { id: None, to, retry: 0, up, down, lose: (false, false) } }
        };
        Net {
            now: 0,
            entries,
            seed: seed | 1,
            ids: 0,
            truth: BTreeMap::from([(1, Vec::new())]),
            epoch: 1,
            relays: all,
            members: (0..leaves).map(|_| Member::new(Progress::default(), LEASE)).collect(),
            nodes: (0..relays + leaves).map(node).collect(),
            ends: Vec::new(),
        }
    }

    fn chance(&mut self, of: u64) -> u64 {
        // Xorshift: enough to vary the order of what comes.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % of
    }

    fn below(&self) -> usize {
        self.relays.len() - 1
    }

    pub fn newest(&self) -> Progress {
        self.relays[0].log().at()
    }

    pub fn leaves(&self) -> impl Iterator<Item = Progress> + '_ {
        self.members.iter().map(Member::progress)
    }

    pub fn reported(&self) -> &Report {
        self.relays[0].reported()
    }

    pub fn all_fresh(&self) -> bool {
        self.members.iter().all(|member| member.fresh(self.now))
    }

    pub fn play(&mut self, op: Op) {
        let (relays, nodes, leaves) = (self.below(), self.nodes.len(), self.members.len());
        match op {
            Op::Purge(count) => {
                let truth = self.truth.get_mut(&self.epoch).expect("this epoch's");
                let first = truth.len() as u64 * 10 + self.epoch;
                let keys: Vec<u64> = (0..count as u64).map(|n| first + n).collect();
                truth.extend(&keys);
                self.relays[0].number(self.now, &keys);
            }
            Op::Pass(steps) => (0..steps).for_each(|_| self.step()),
            Op::Cut(n, late) => self.cut(n % nodes, late),
            Op::Lose(n, up, down) => self.nodes[n % nodes].conn.lose = (up, down),
            Op::Drop(n) => self.nodes[n % nodes].conn.down.clear(),
            Op::Twice(n) => {
                let conn = &mut self.nodes[n % nodes].conn;
                conn.up = conn.up.iter().flat_map(|m| [m.clone(), m.clone()]).collect();
                conn.down = conn.down.iter().flat_map(|m| [m.clone(), m.clone()]).collect();
            }
            Op::RestartRelay(n) => self.restart(1 + n % relays),
            Op::RestartLeaf(n) => {
                let leaf = n % leaves;
                self.cut(relays + leaf, true);
                self.nodes[relays + leaf].boot += 1;
                self.members[leaf] = Member::new(Progress::default(), LEASE);
            }
            Op::RestartRoot => self.restart(0),
            Op::LoseLog => {
                self.epoch += 1;
                self.truth.insert(self.epoch, Vec::new());
                self.restart(0);
            }
        }
    }

    fn restart(&mut self, relay: usize) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].conn.to == relay {
                self.cut(node, false);
            }
        }
        self.ends.retain(|(_, to, _)| *to != relay);
        self.relays[relay] = if relay == 0 {
            let mut log = Log::new(Progress { epoch: self.epoch, through: 0 }, self.entries);
            self.truth[&self.epoch].iter().for_each(|key| _ = log.append(*key));
            Relay::root("root", settings(true), log, self.now)
        } else {
            self.cut(relay - 1, true);
            self.nodes[relay - 1].boot += 1;
            Relay::new(&format!("r{relay}"), settings(false), self.entries, self.now)
        };
    }

    fn cut(&mut self, node: usize, late: bool) {
        let wait = 100 * MS + self.chance(200) * MS;
        let relays = self.below();
        let other = 1 + self.chance(relays as u64) as usize;
        let conn = &mut self.nodes[node].conn;
        conn.lose = (false, false);
        conn.up.clear();
        conn.down.clear();
        let Some(id) = conn.id.take() else { return };
        let to = conn.to;
        conn.retry = self.now + wait;
        if node >= relays {
            conn.to = other;
        }
        if late {
            self.ends.push((self.now + 500 * MS, to, id));
        } else {
            self.relays[to].gone(self.now, id);
        }
    }

    /// Where a node stands.
    fn stands(&self, node: usize) -> Progress {
        let relays = self.below();
        match node.checked_sub(relays) {
            Some(leaf) => self.members[leaf].progress(),
            None => self.relays[node + 1].progress(),
        }
    }

    fn say(&mut self, node: usize, what: Up) {
        let conn = &mut self.nodes[node].conn;
        if conn.id.is_some() && !conn.lose.0 {
            conn.up.push_back(what);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let ends: Vec<_> = self.ends.extract_if(.., |(at, _, _)| *at <= self.now).collect();
        ends.into_iter().for_each(|(_, to, id)| self.relays[to].gone(self.now, id));
        for node in 0..self.nodes.len() {
            let conn = &mut self.nodes[node].conn;
            if conn.id.is_none() && conn.retry <= self.now {
                self.ids += 1;
                conn.id = Some(self.ids);
                let stands = self.stands(node);
                self.say(node, Up::Hello(stands));
                if node < self.below() {
                    self.relays[node + 1].connected(self.now);
                } else {
                    self.say(node, Up::Done(Report { at: stands, ..Report::default() }));
                }
            }
            for _ in 0..self.chance(6) {
                self.come_up(node);
            }
            for _ in 0..self.chance(6) {
                self.come_down(node);
            }
        }
        for relay in 0..self.relays.len() {
            let mut actions = Vec::new();
            self.relays[relay].tick(self.now, &mut actions);
            self.act(relay, actions);
        }
        self.check();
    }

    fn come_up(&mut self, node: usize) {
        let (boot, conn) = (self.nodes[node].boot, &mut self.nodes[node].conn);
        let (Some(id), to) = (conn.id, conn.to) else { return };
        match conn.up.pop_front() {
            Some(Up::Hello(at)) => {
                assert!(self.relays[to].joined(self.now, id, (&format!("n{node}"), boot), at, 4));
            }
            Some(Up::Done(report)) => self.relays[to].purged(self.now, id, report),
            None => {}
        }
    }

    fn come_down(&mut self, node: usize) {
        let Some(frame) = self.nodes[node].conn.down.pop_front() else { return };
        let relays = self.below();
        let Some(leaf) = node.checked_sub(relays) else {
            let (relay, mut actions) = (node + 1, Vec::new());
            match frame {
                Down::Purges(epoch, after, keys) => {
                    self.relays[relay].purges(self.now, epoch, after, &keys, &mut actions);
                }
                Down::Flush(at) => self.relays[relay].flush(self.now, at),
            }
            return self.act(relay, actions);
        };
        let (member, truth) = (&mut self.members[leaf], &self.truth);
        let before = member.progress();
        let mut asks = false;
        match frame {
            Down::Purges(epoch, after, keys) => match member.purges(self.now, epoch, after, &keys) {
                Told::Drop(keys) => {
                    let from = before.through as usize;
                    assert_eq!(keys, &truth[&epoch][from..from + keys.len()], "dropped in their order");
                }
                Told::Ask => asks = true,
                Told::DropAll => panic!("entries are no flush"),
                Told::Nothing => {}
            },
            Down::Flush(at) => _ = member.flush(at),
        }
        let at = member.progress();
        if asks {
            self.say(node, Up::Hello(at));
        }
        if at != before {
            self.say(node, Up::Done(Report { at, ..Report::default() }));
        }
    }

    fn act(&mut self, relay: usize, actions: Vec<Action>) {
        let node = relay.checked_sub(1);
        for action in actions {
            match action {
                Action::Purges { to, epoch, after, keys } => {
                    to.into_iter()
                        .for_each(|id| self.send(relay, id, Down::Purges(epoch, after, keys.clone())));
                }
                Action::Flush { to, at } => self.send(relay, to, Down::Flush(at)),
                Action::Ask => {
                    let node = node.expect("the root has nobody to ask");
                    let stands = self.stands(node);
                    self.say(node, Up::Hello(stands));
                }
                Action::Report(report) => node.into_iter().for_each(|node| {
                    if report.at.epoch > 0 {
                        self.say(node, Up::Done(report.clone()));
                    }
                }),
                Action::LetGo(id, _) => {
                    let found = self.nodes.iter().position(|n| n.conn.id == Some(id));
                    found.into_iter().for_each(|node| self.cut(node, false));
                }
                Action::Say(_) => {}
            }
        }
    }

    fn send(&mut self, relay: usize, id: u64, frame: Down) {
        let found = self.nodes.iter_mut().find(|n| n.conn.id == Some(id) && n.conn.to == relay);
        if let Some(node) = found.filter(|n| !n.conn.lose.1) {
            node.conn.down.push_back(frame);
        }
    }

    /// What must be so at any time.
    fn check(&self) {
        let Report { at, lacking, .. } = self.reported();
        for (leaf, member) in self.members.iter().enumerate() {
            let stands = member.progress();
            let numbered = self.truth.get(&stands.epoch).map_or(0, |truth| truth.len() as u64);
            assert!(stands.is_empty() || stands.through <= numbered);
            if *lacking == 0 && member.fresh(self.now) {
                let has = (stands.epoch, stands.through) >= (at.epoch, at.through);
                assert!(
                    has,
                    "{at:?} is told as done, and leaf {leaf} stands at {stands:?} at {}",
                    self.now / MS
                );
            }
        }
    }

    /// Nothing breaks any more, and some time passes.
    pub fn mend(&mut self) {
        for node in 0..self.nodes.len() {
            self.cut(node, false);
            self.nodes[node].conn.lose = (false, false);
        }
        let start = self.now;
        let done = |net: &Self| {
            net.reported().at == net.newest()
                && net.reported().lacking == 0
                && net.leaves().all(|at| at == net.newest())
                && net.all_fresh()
        };
        while self.now < start + 120_000 * MS && !done(self) {
            self.step();
        }
    }
}
