//! What a node, the origin and a tenant may have out at once, and who waits for room.
//!
//! Nothing here reads a clock or a socket: the caller hands in the time, says what it sends and how that ended, and is
//! told what to do ([`Verdict`], [`Step`]). No server is chosen here either. The decision module is told of each
//! node's room by `Event::ConcurrencyLimit` and chooses by it; what it has sent to a node that has no room left waits here, at that
//! node's [`Queue`], for a bounded time, and is given back as never run when its time or its turn is over.

mod concurrency;
mod queue;
mod rules;
mod shares;

pub use concurrency::Concurrency;
pub use queue::{Full, Queue, Standing};
pub use rules::{Bounds, Fault, QueueRules, Rules};
pub use shares::Shares;

use aniseyoke_decision::api::{Entry, Nanos, RequestId, ServerId, Settings, State, Status};
use rustc_hash::{FxHashMap, FxHashSet};

/// An attempt: its request and its number.
pub type AttemptId = (RequestId, usize);

/// What is to be done with an attempt that the module wants sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start it now.
    Go,
    /// It waits for room. Ask again with [`Limits::overdue`] after this time.
    Wait(Nanos),
    /// There is no room, and none in time: it counts as turned away unseen.
    Turned,
}

/// What follows for attempts that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start it now.
    Start(AttemptId),
    /// Its wait is over: it counts as turned away unseen.
    Turn(AttemptId),
}

/// What is to be sent, in the terms that matter here.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: ServerId,
    /// Index into the settings' classes.
    pub class: usize,
    /// Index into the settings' tenants.
    pub tenant: Option<usize>,
    /// When its answer is of no use any more.
    pub deadline: Nanos,
}

/// How an attempt that was started has ended.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// Where it was sent.
    pub server: ServerId,
    /// Index into the settings' classes.
    pub class: usize,
    /// How it ended.
    pub status: Status,
    /// Time from its start.
    pub elapsed: Nanos,
    /// Whether the node had the key, where it tells.
    pub hit: Option<bool>,
}

/// What is known of one node.
struct Node {
    limit: Concurrency,
    queue: Queue<AttemptId>,
    /// The room that the module was told of last.
    told: f64,
    used: Nanos,
    /// When its process started, as the list says.
    started: Nanos,
}

/// Usual time of a class's answers over all nodes while little is out there, in nanoseconds.
#[derive(Clone, Copy, Default)]
struct Usual {
    mean: f64,
    count: f64,
}

impl Usual {
    /// The weight of a new answer once many have come.
    const GAIN: f64 = 0.02;

    /// An answer's time as a multiple of the usual one, which it moves when it came from a node `at_ease`.
    fn ratio(&mut self, elapsed: Nanos, at_ease: bool) -> f64 {
        let elapsed = elapsed.max(1) as f64;
        if at_ease || self.count < 1.0 {
            self.count += 1.0;
            self.mean += (elapsed - self.mean) * (1.0 / self.count).max(Self::GAIN);
        }
        elapsed / self.mean
    }
}

/// The limits of one proxy: the owner of all nodes' rooms, queues and of the tenants' shares as they count here.
pub struct Limits {
    rules: Rules,
    worths: Vec<f64>,
    over_share: f64,
    shares: Shares,
    usual: Vec<Usual>,
    nodes: FxHashMap<ServerId, Node>,
    /// The machine kind of the origin, where the proxy asks it itself, and the servers of that kind.
    origin_kind: Option<u32>,
    origins: FxHashSet<ServerId>,
    waiting: FxHashMap<AttemptId, ServerId>,
    turned: u64,
}

/// So many nodes are remembered; those that have nothing out and were used longest ago are forgotten first.
const NODES_MOST: usize = 1 << 14;
/// A room that changed by less than this part is not told.
const TELL: f64 = 0.1;

impl Limits {
    /// Limits with nothing learned yet.
    ///
    /// # Errors
    /// A [`Fault`] names the first rule that contradicts itself or is out of its range.
    pub fn new(rules: Rules, settings: &Settings) -> Result<Self, Fault> {
        rules.check()?;
        Ok(Limits {
            shares: Shares::new(&settings.tenants, settings.proxies),
            worths: settings.classes.iter().map(|c| c.priority_weight.max(0.0)).collect(),
            over_share: settings.over_quota_weight.clamp(0.0, 1.0),
            usual: vec![Usual::default(); settings.classes.len()],
            rules,
            nodes: FxHashMap::default(),
            origin_kind: settings.origin_kind.filter(|_| settings.cache_aside),
            origins: FxHashSet::default(),
            waiting: FxHashMap::default(),
            turned: 0,
        })
    }

    /// Other rules and shares hold from now on; what was learned of nodes stays within the new bounds, and who waits
    /// goes on waiting.
    ///
    /// # Errors
    /// As [`Self::new`]; nothing is changed then.
    pub fn retune(&mut self, rules: Rules, settings: &Settings) -> Result<(), Fault> {
        let fresh = Limits::new(rules, settings)?;
        for (server, node) in &mut self.nodes {
            let origin = self.origins.contains(server);
            node.limit.retune(if origin { fresh.rules.origin } else { fresh.rules.node });
            node.queue.retune(fresh.rules.queue);
        }
        (self.rules, self.shares) = (fresh.rules, fresh.shares);
        (self.worths, self.over_share) = (fresh.worths, fresh.over_share);
        Ok(())
    }

    /// All who wait, and all nodes, for whom nothing is limited any more.
    pub fn release(self) -> (Vec<AttemptId>, Vec<ServerId>) {
        let mut waiting: Vec<AttemptId> = self.waiting.into_keys().collect();
        waiting.sort_unstable();
        (waiting, self.nodes.into_keys().collect())
    }

    /// What waits now, over all nodes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How many attempts were turned away here since the start.
    pub fn turned(&self) -> u64 {
        self.turned
    }

    /// The room of a node, if it is known.
    pub fn room(&self, server: ServerId) -> Option<f64> {
        self.nodes.get(&server).map(|n| n.limit.room())
    }

    /// An attempt is to be sent. What it pushes out of the queue is appended to `steps`.
    pub fn wanted(&mut self, now: Nanos, w: Wanted, steps: &mut Vec<Step>) -> Verdict {
        let within = self.shares.take(now, w.tenant);
        let part = if within { 1.0 } else { self.rules.over_share_part };
        let worth = self.worths.get(w.class).copied().unwrap_or(1.0);
        let worth = if within { worth } else { worth * self.over_share };
        let usual = self.usual.get(w.class).map_or(0.0, |u| u.mean) as Nanos;
        let node = self.node(now, w.server);
        node.used = now;
        // Whoever waits had no room when room was last made, so that nobody is overtaken who might go.
        if node.limit.has_room(part) {
            node.limit.started();
            return Verdict::Go;
        }
        let standing = Standing {
            worth,
            since: now,
            deadline: w.deadline.saturating_sub(usual),
            within,
            tenant: w.tenant,
        };
        match node.queue.push(w.attempt, standing) {
            Ok(pushed_out) => {
                let wait = node.queue.patience(now, usual).max(1);
                self.waiting.insert(w.attempt, w.server);
                if let Some(out) = pushed_out {
                    self.waiting.remove(&out);
                    self.turned += 1;
                    steps.push(Step::Turn(out));
                }
                Verdict::Wait(wait)
            }
            Err(Full) => {
                self.turned += 1;
                Verdict::Turned
            }
        }
    }

    /// The time given with [`Verdict::Wait`] is over: tells whether the attempt still waited, which then it does no
    /// more.
    pub fn overdue(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let waited = self.leave(now, attempt);
        self.turned += u64::from(waited);
        waited
    }

    /// An attempt is called off; tells whether it waited and so was never sent.
    pub fn leave(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(server) = self.waiting.remove(&attempt) else { return false };
        self.nodes.get_mut(&server).is_some_and(|node| node.queue.remove(now, attempt))
    }

    /// An attempt that was started has ended. Who may start now, and whose time is over, is appended to `steps`; the
    /// node's room is returned where the module should hear of it.
    pub fn done(&mut self, now: Nanos, done: Done, steps: &mut Vec<Step>) -> Option<f64> {
        let answered = done.status == Status::Ok && done.hit != Some(false);
        let node = self.nodes.get_mut(&done.server)?;
        let ratio = match self.usual.get_mut(done.class) {
            Some(usual) if answered => Some(usual.ratio(done.elapsed, node.limit.at_ease())),
            _ => None,
        };
        node.limit.ended(now, done.status, done.elapsed, ratio);
        let part = self.rules.over_share_part;
        loop {
            let room = |within: bool| node.limit.has_room(if within { 1.0 } else { part });
            if !room(true) && !room(false) {
                break;
            }
            // Whose answer could not come in time any more is turned away instead of sent.
            let Some((attempt, standing)) = node.queue.pop(now, room(false)) else { break };
            self.waiting.remove(&attempt);
            if standing.deadline <= now {
                self.turned += 1;
                steps.push(Step::Turn(attempt));
            } else {
                node.limit.started();
                steps.push(Step::Start(attempt));
            }
        }
        let room = node.limit.room();
        let told = (room - node.told).abs() > TELL * node.told.max(1.0);
        told.then(|| {
            node.told = room;
            room
        })
    }

    /// The list names a node. Where it has a new process, what was learned of the old one says little of it.
    pub fn listed(&mut self, entry: &Entry) {
        // Danger: an origin bears many times what a node does, and what finds no room there has nowhere else to go.
        if entry.state == State::Gone {
            self.origins.remove(&entry.server);
        } else if self.origin_kind == Some(entry.kind) && self.origins.len() < NODES_MOST {
            self.origins.insert(entry.server);
        }
        if let Some(node) = self.nodes.get_mut(&entry.server) {
            if std::mem::replace(&mut node.started, entry.started) != entry.started {
                node.limit.restarted();
            }
        }
    }

    fn node(&mut self, now: Nanos, server: ServerId) -> &mut Node {
        if self.nodes.len() >= NODES_MOST && !self.nodes.contains_key(&server) {
            let idle = self.nodes.iter().filter(|(_, n)| n.limit.out() == 0 && n.queue.is_empty());
            if let Some(oldest) = idle.min_by_key(|(_, n)| n.used).map(|(s, _)| *s) {
                self.nodes.remove(&oldest);
            }
        }
        let rules = &self.rules;
        let bounds = if self.origins.contains(&server) { rules.origin } else { rules.node };
        self.nodes.entry(server).or_insert_with(|| Node {
            limit: Concurrency::new(bounds),
            queue: Queue::new(rules.queue),
            told: f64::INFINITY,
            used: now,
            started: 0,
        })
    }
}

#[cfg(test)]
mod tests;
