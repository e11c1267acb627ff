//! A simulated tree in one thread: connections are queues, and time advances in steps of ten milliseconds.

use aniseyoke_fanout::relay::{ChildHello, Report};
use aniseyoke_fanout::{Log, Member, MemberAction, Nanos, Progress, Relay, RelayAction, Settings};
use std::collections::{BTreeMap, VecDeque};

const MS: Nanos = 1_000_000;
const STEP: Nanos = 10 * MS;
const LEASE: Nanos = 1000 * MS;

/// An event in a simulated tree. Indices are taken modulo the number of nodes.
#[derive(Clone, Debug)]
pub enum Op {
    /// The root appends this number of purges.
    Purge(usize),
    /// Time advances by this number of steps.
    Wait(u64),
    /// A connection ends. If the flag is set, the upstream end detects it only later.
    Cut(usize, bool),
    /// Frames to the upstream (first flag) or from it (second flag) are lost on a connection, until it is cut
    /// or until the next such event.
    Lose(usize, bool, bool),
    /// The frames in flight from the upstream on a connection are lost.
    Drop(usize),
    /// Every frame in flight on a connection is duplicated.
    Duplicate(usize),
    /// A relay restarts and loses its state.
    RestartRelay(usize),
    /// A leaf restarts and loses its state.
    RestartLeaf(usize),
    /// The root restarts with its log.
    RestartRoot,
    /// The root restarts without its log.
    LoseLog,
}

#[derive(Clone)]
enum UpFrame {
    Hello(Progress),
    Ack(Report),
}

#[derive(Clone)]
enum DownFrame {
    Purges(u64, u64, Vec<u64>),
    Flush(Progress),
}

/// The connection of a relay or a leaf to its upstream.
struct Conn {
    /// None while there is no connection.
    id: Option<u64>,
    /// The index of the upstream relay; 0 is the root.
    to: usize,
    /// When a connection is next attempted.
    retry_at: Nanos,
    up: VecDeque<UpFrame>,
    down: VecDeque<DownFrame>,
    /// Whether frames to the upstream and from it are lost.
    lose: (bool, bool),
}

struct Node {
    boot: u64,
    conn: Conn,
}

pub struct Net {
    now: Nanos,
    log_capacity: usize,
    seed: u64,
    last_id: u64,
    /// The keys that the root appended, by epoch.
    appended: BTreeMap<u64, Vec<u64>>,
    epoch: u64,
    /// The root, followed by the other relays.
    relays: Vec<Relay>,
    members: Vec<Member>,
    /// The relays except the root, followed by the leaves.
    nodes: Vec<Node>,
    /// Connections that have ended and whose upstream end detects it later: the time, the relay and the
    /// connection.
    unnoticed_ends: Vec<(Nanos, usize, u64)>,
}

fn settings(root: bool) -> Settings {
    Settings {
        batch: if root { 0 } else { 30 * MS },
        heartbeat_interval: 200 * MS,
        grace: if root { 600 * MS } else { 300 * MS },
        lease: LEASE,
        departed_retention: 3 * LEASE,
        flush_spread: 200 * MS,
        ack_timeout: 2 * LEASE,
        window: 16,
        max_frame_entries: 4,
        ..Settings::default()
    }
}

impl Net {
    pub fn new(relays: usize, leaves: usize, log_capacity: usize, seed: u64) -> Self {
        let log = Log::new(Progress { epoch: 1, through: 0 }, log_capacity);
        let mut all = vec![Relay::root("root", settings(true), log, 0)];
        all.extend((1..=relays).map(|n| Relay::new(&format!("r{n}"), settings(false), log_capacity, 0)));
        let node = |n: usize| {
            let to = if n < relays { 0 } else { 1 + n % relays };
            let (up, down) = (VecDeque::new(), VecDeque::new());
            Node { boot: 0, conn: Conn { id: None, to, retry_at: 0, up, down, lose: (false, false) } }
        };
        Net {
            now: 0,
            log_capacity,
            seed: seed | 1,
            last_id: 0,
            appended: BTreeMap::from([(1, Vec::new())]),
            epoch: 1,
            relays: all,
            members: (0..leaves).map(|_| Member::new(Progress::default(), LEASE)).collect(),
            nodes: (0..relays + leaves).map(node).collect(),
            unnoticed_ends: Vec::new(),
        }
    }

    fn random(&mut self, bound: u64) -> u64 {
        // Xorshift is sufficient to vary the order of events.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % bound
    }

    fn relay_count(&self) -> usize {
        self.relays.len() - 1
    }

    pub fn newest(&self) -> Progress {
        self.relays[0].log().position()
    }

    pub fn leaves(&self) -> impl Iterator<Item = Progress> + '_ {
        self.members.iter().map(Member::progress)
    }

    pub fn last_report(&self) -> &Report {
        self.relays[0].last_report()
    }

    pub fn all_fresh(&self) -> bool {
        self.members.iter().all(|member| member.is_fresh(self.now))
    }

    pub fn apply(&mut self, op: Op) {
        let (relays, nodes, leaves) = (self.relay_count(), self.nodes.len(), self.members.len());
        match op {
            Op::Purge(count) => {
                let appended = self.appended.get_mut(&self.epoch).expect("the current epoch");
                let first = appended.len() as u64 * 10 + self.epoch;
                let keys: Vec<u64> = (0..count as u64).map(|n| first + n).collect();
                appended.extend(&keys);
                self.relays[0].append(self.now, &keys);
            }
            Op::Wait(steps) => (0..steps).for_each(|_| self.step()),
            Op::Cut(n, unnoticed) => self.cut(n % nodes, unnoticed),
            Op::Lose(n, up, down) => self.nodes[n % nodes].conn.lose = (up, down),
            Op::Drop(n) => self.nodes[n % nodes].conn.down.clear(),
            Op::Duplicate(n) => {
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
                self.appended.insert(self.epoch, Vec::new());
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
        self.unnoticed_ends.retain(|(_, to, _)| *to != relay);
        self.relays[relay] = if relay == 0 {
            let mut log = Log::new(Progress { epoch: self.epoch, through: 0 }, self.log_capacity);
            self.appended[&self.epoch].iter().for_each(|key| _ = log.append(*key));
            Relay::root("root", settings(true), log, self.now)
        } else {
            self.cut(relay - 1, true);
            self.nodes[relay - 1].boot += 1;
            Relay::new(&format!("r{relay}"), settings(false), self.log_capacity, self.now)
        };
    }

    fn cut(&mut self, node: usize, unnoticed: bool) {
        let wait = 100 * MS + self.random(200) * MS;
        let relays = self.relay_count();
        let other = 1 + self.random(relays as u64) as usize;
        let conn = &mut self.nodes[node].conn;
        conn.lose = (false, false);
        conn.up.clear();
        conn.down.clear();
        let Some(id) = conn.id.take() else { return };
        let to = conn.to;
        conn.retry_at = self.now + wait;
        if node >= relays {
            conn.to = other;
        }
        if unnoticed {
            self.unnoticed_ends.push((self.now + 500 * MS, to, id));
        } else {
            self.relays[to].child_disconnected(self.now, id);
        }
    }

    /// Returns the position of a node.
    fn position_of(&self, node: usize) -> Progress {
        let relays = self.relay_count();
        match node.checked_sub(relays) {
            Some(leaf) => self.members[leaf].progress(),
            None => self.relays[node + 1].progress(),
        }
    }

    fn send_up(&mut self, node: usize, frame: UpFrame) {
        let conn = &mut self.nodes[node].conn;
        if conn.id.is_some() && !conn.lose.0 {
            conn.up.push_back(frame);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let unnoticed_ends: Vec<_> =
            self.unnoticed_ends.extract_if(.., |(detected_at, _, _)| *detected_at <= self.now).collect();
        unnoticed_ends.into_iter().for_each(|(_, to, id)| self.relays[to].child_disconnected(self.now, id));
        for node in 0..self.nodes.len() {
            let conn = &mut self.nodes[node].conn;
            if conn.id.is_none() && conn.retry_at <= self.now {
                self.last_id += 1;
                conn.id = Some(self.last_id);
                let position = self.position_of(node);
                self.send_up(node, UpFrame::Hello(position));
                if node < self.relay_count() {
                    self.relays[node + 1].upstream_connected(self.now);
                } else {
                    self.send_up(node, UpFrame::Ack(Report { position, ..Report::default() }));
                }
            }
            for _ in 0..self.random(6) {
                self.deliver_up(node);
            }
            for _ in 0..self.random(6) {
                self.deliver_down(node);
            }
        }
        for relay in 0..self.relays.len() {
            let mut actions = Vec::new();
            self.relays[relay].tick(self.now, &mut actions);
            self.run_actions(relay, actions);
        }
        self.check();
    }

    fn deliver_up(&mut self, node: usize) {
        let (boot, conn) = (self.nodes[node].boot, &mut self.nodes[node].conn);
        let (Some(id), to) = (conn.id, conn.to) else { return };
        match conn.up.pop_front() {
            Some(UpFrame::Hello(position)) => {
                let name = format!("n{node}");
                let hello = ChildHello { name: &name, boot, position, max_frame_entries: 4 };
                assert!(self.relays[to].child_connected(self.now, id, hello));
            }
            Some(UpFrame::Ack(report)) => self.relays[to].child_acked(self.now, id, report),
            None => {}
        }
    }

    fn deliver_down(&mut self, node: usize) {
        let Some(frame) = self.nodes[node].conn.down.pop_front() else { return };
        let relays = self.relay_count();
        let Some(leaf) = node.checked_sub(relays) else {
            let (relay, mut actions) = (node + 1, Vec::new());
            match frame {
                DownFrame::Purges(epoch, after, keys) => {
                    self.relays[relay].receive_purges(self.now, epoch, after, &keys, &mut actions);
                }
                DownFrame::Flush(position) => self.relays[relay].receive_flush(self.now, position),
            }
            return self.run_actions(relay, actions);
        };
        let (member, appended) = (&mut self.members[leaf], &self.appended);
        let before = member.progress();
        let mut needs_resync = false;
        match frame {
            DownFrame::Purges(epoch, after, keys) => {
                match member.receive_purges(self.now, epoch, after, &keys) {
                    MemberAction::Invalidate(keys) => {
                        let from = before.through as usize;
                        assert_eq!(
                            keys,
                            &appended[&epoch][from..from + keys.len()],
                            "invalidated in the order of the log"
                        );
                    }
                    MemberAction::Resync => needs_resync = true,
                    MemberAction::InvalidateAll => panic!("entries can't flush a member"),
                    MemberAction::Ignore => {}
                }
            }
            DownFrame::Flush(position) => _ = member.receive_flush(position),
        }
        let position = member.progress();
        if needs_resync {
            self.send_up(node, UpFrame::Hello(position));
        }
        if position != before {
            self.send_up(node, UpFrame::Ack(Report { position, ..Report::default() }));
        }
    }

    fn run_actions(&mut self, relay: usize, actions: Vec<RelayAction>) {
        let node = relay.checked_sub(1);
        for action in actions {
            match action {
                RelayAction::Purges { to, epoch, after, keys } => {
                    to.into_iter()
                        .for_each(|id| self.send(relay, id, DownFrame::Purges(epoch, after, keys.clone())));
                }
                RelayAction::Flush { to, position } => self.send(relay, to, DownFrame::Flush(position)),
                RelayAction::Resync => {
                    let node = node.expect("the root has no upstream");
                    let position = self.position_of(node);
                    self.send_up(node, UpFrame::Hello(position));
                }
                RelayAction::Report(report) => node.into_iter().for_each(|node| {
                    if report.position.epoch > 0 {
                        self.send_up(node, UpFrame::Ack(report.clone()));
                    }
                }),
                RelayAction::Disconnect(id, _) => {
                    let found = self.nodes.iter().position(|n| n.conn.id == Some(id));
                    found.into_iter().for_each(|node| self.cut(node, false));
                }
                RelayAction::Warn(_) => {}
            }
        }
    }

    fn send(&mut self, relay: usize, id: u64, frame: DownFrame) {
        let found = self.nodes.iter_mut().find(|n| n.conn.id == Some(id) && n.conn.to == relay);
        if let Some(node) = found.filter(|n| !n.conn.lose.1) {
            node.conn.down.push_back(frame);
        }
    }

    /// Asserts the invariants that hold after each step.
    fn check(&self) {
        let Report { position: reported, lagging, .. } = self.last_report();
        for (leaf, member) in self.members.iter().enumerate() {
            let position = member.progress();
            let appended = self.appended.get(&position.epoch).map_or(0, |keys| keys.len() as u64);
            assert!(position.is_empty() || position.through <= appended);
            if *lagging == 0 && member.is_fresh(self.now) {
                let has = (position.epoch, position.through) >= (reported.epoch, reported.through);
                assert!(
                    has,
                    "{reported:?} is reported as applied, and leaf {leaf} is at {position:?} at {}",
                    self.now / MS
                );
            }
        }
    }

    /// Reconnects all nodes and runs without further faults, until all have every entry or 120 s have passed.
    pub fn recover(&mut self) {
        for node in 0..self.nodes.len() {
            self.cut(node, false);
            self.nodes[node].conn.lose = (false, false);
        }
        let start = self.now;
        let done = |net: &Self| {
            net.last_report().position == net.newest()
                && net.last_report().lagging == 0
                && net.leaves().all(|position| position == net.newest())
                && net.all_fresh()
        };
        while self.now < start + 120_000 * MS && !done(self) {
            self.step();
        }
    }
}
