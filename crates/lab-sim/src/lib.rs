//! Simulated time: the real decision module, one instance for each proxy, over the model of the site, without sockets. Whole
//! fleets of hundreds of proxies fit in one process, and a day follows from its file, seed and sizes alone.
//!
//! What is left out against a trial on sockets: the proxies' own cost in time, bytes and their pieces, the front's notice of dead
//! proxies (none dies here), discovery's own load, limits that an operator's file sets, and what connections cost a node. A new
//! connection costs a round trip.

mod client;
mod count;
mod host;
mod lists;
mod queue;
mod ramp;
mod run;
#[cfg(test)]
mod tests;

pub use count::{Counts, Second, CAUSES};
pub use lists::Service;
pub use ramp::{Fullest, Ramped};

use aniseyoke_lab_day::clock::{mix, nanos, part, Nanos, MS, SECOND};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::Plan;
use aniseyoke_lab_world::connection_load::{Bears, Toll};
use aniseyoke_lab_world::{Catalogue, Effect, Ticket, World};
use client::Asking;
use host::Host;
use queue::Queue;
use ramp::Ramp;
use rustc_hash::FxHashMap;
use std::iter::Peekable;
use std::time::Duration;

/// How a day is played in simulated time.
#[derive(Clone, Debug)]
pub struct Options {
    /// So long before what is reported the day's load runs with a ledger that has room for all, so that caches fill.
    pub warm: Duration,
    /// How unevenly clients are spread over the proxies: the sigma of a log-normal weight; 0: evenly.
    pub uneven: f64,
    /// The part of all tries that comes to the first proxy beside its share of the rest; below 1.
    pub heavy: f64,
    /// Clients beside the day's own.
    pub crowd: Option<Crowd>,
    /// The list service; none: proxies hear of each change at once, and calls are not counted.
    pub list: Option<Service>,
    /// Connections a second that all proxies together open to a node and to the ledger; none: as many as they like.
    pub opening: Option<(f64, f64)>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            warm: Duration::from_secs(30),
            uneven: 0.6,
            heavy: 0.0,
            crowd: None,
            list: None,
            opening: None,
        }
    }
}

/// First tries beside the day's own, all of one tenant and class.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// From when, counted from the start of what is reported.
    pub at: Duration,
    /// For how long.
    pub length: Duration,
    /// A second, over all proxies.
    pub rate: f64,
    /// The part of the proxies that they come to.
    pub proxies: f64,
    /// The tenant, as the day numbers them.
    pub tenant: usize,
    /// They come again by themselves this often after a bad answer, at once and heeding no advice.
    pub again: u32,
}

/// The ledger is so many times as quick while caches fill.
const QUICK: f64 = 20.0;
/// The way between any two machines, at least and at most.
const WAY: (Nanos, Nanos) = (MS / 5, MS / 2);
/// A connection that nobody answers is given up after this time.
const CONNECT_WITHIN: Nanos = 250 * MS;
/// Proxies differ in what clients send them by at most this factor from the mean.
const UNEVEN_MOST: f64 = 6.0;

/// What will happen at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// The next first try is due.
    Due,
    /// One of the crowd is due.
    Crowd,
    /// The model has something due.
    World,
    /// The load of the reported part begins.
    Begin,
    /// A client asks: a place in the table of clients.
    Try(u32),
    /// A client leaves before its answer: its place and which try.
    Leave(u32, u32),
    /// A proxy's request has run out of time.
    Guard(u32, u64),
    /// A proxy's timer.
    Timer(u32, u64),
    /// A proxy's attempt reaches its node: ticket.
    Reach(Ticket),
    /// A proxy's attempt has ended, as its proxy sees it.
    Back(Ticket, Back),
    /// A proxy waits no longer for an attempt.
    Over(Ticket),
    /// A proxy hears of a change of the list: the version to which it is brought.
    Told(u32),
    /// A proxy's call reaches the list service.
    Ask(u32),
    /// A proxy's watch has been held for its time; its number.
    Held(u32, u32),
    /// A proxy's call has failed, or was refused.
    Unlisted(u32, bool),
    /// A proxy asks for a permit to open a connection for an attempt.
    Open(Ticket),
}

/// What comes back of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Served { hit: bool },
    Miss,
    Error,
    Full,
    Unreached,
    Reset,
}

/// One attempt that is out.
struct Out {
    proxy: u32,
    request: u64,
    number: u32,
    member: usize,
    /// Over a connection that was opened for it.
    fresh: bool,
    reached: bool,
    /// Nothing comes back over its connection any more.
    dead: bool,
    ledger: bool,
    /// It waits for a permit to open its connection until then at most; none: it waits for none.
    permit_by: Option<Nanos>,
}

/// A day in simulated time.
pub struct Sim {
    day: Day,
    options: Options,
    catalogue: Catalogue,
    world: World,
    plan: Peekable<Plan>,
    queue: Queue,
    now: Nanos,
    /// When what is reported begins.
    from: Nanos,
    hosts: Vec<Host>,
    /// Sums of the proxies' weights, by which clients are dealt.
    weights: Vec<f64>,
    asking: Vec<Asking>,
    free: Vec<u32>,
    crowd: u64,
    out: FxHashMap<Ticket, Out>,
    tickets: Ticket,
    draws: u64,
    runs: FxHashMap<u64, u32>,
    /// Members by the id that the module knows them by.
    named: FxHashMap<u64, usize>,
    /// For when the model was last put into the queue.
    world_due: Option<Nanos>,
    effects: Vec<Effect>,
    toll: Toll,
    ramp: Ramp,
    /// What was counted.
    pub counts: Counts,
}

impl Sim {
    /// A day before it begins, its proxies and nodes as the day's file has them.
    pub fn new(day: &Day, options: Options) -> Self {
        let warm = nanos(options.warm);
        let catalogue = Catalogue::new(day);
        let mut world = World::new(day, &catalogue);
        world.empty();
        let hosts = (0..day.site.proxy.count).map(|me| Host::new(day, me, &options));
        let hosts: Vec<Host> = hosts.collect();
        let mut sum = 0.0;
        let weights = (0..hosts.len()).map(|p| {
            let drawn: f64 = (0..12).map(|n| part(mix(day.seed, 0x0e7e + n, p as u64))).sum::<f64>() - 6.0;
            sum += (options.uneven * drawn).exp().clamp(1.0 / UNEVEN_MOST, UNEVEN_MOST);
            sum
        });
        let mut weights: Vec<f64> = weights.collect();
        let heavy = options.heavy.clamp(0.0, 0.99);
        weights.iter_mut().for_each(|upto| *upto += heavy / (1.0 - heavy) * sum);
        let mut sim = Sim {
            plan: Plan::warmed(day, options.warm).peekable(),
            counts: Counts::new(day),
            day: day.clone(),
            catalogue,
            world,
            queue: Queue::default(),
            now: 0,
            from: warm,
            hosts,
            weights,
            asking: Vec::new(),
            free: Vec::new(),
            crowd: 0,
            out: FxHashMap::default(),
            tickets: 0,
            draws: 0,
            runs: FxHashMap::default(),
            named: FxHashMap::default(),
            world_due: None,
            effects: Vec::new(),
            toll: Toll::new(Bears::default()),
            ramp: Ramp::new(day),
            options,
        };
        sim.open();
        sim
    }

    /// What the day asks for that is not played here, by the names of its file.
    pub fn left_out(day: &Day) -> Vec<&'static str> {
        use aniseyoke_lab_day::TroubleKind::{DiscoveryDown, Pieces, ProxyRoll};
        let trouble = |kind| day.troubles.iter().any(|t| t.kind == kind);
        let rude = &day.load.rude;
        let all = [
            (trouble(ProxyRoll), "proxy-roll"),
            (trouble(DiscoveryDown), "discovery-down"),
            (trouble(Pieces), "pieces"),
            (rude.idle > 0, "load.rude.idle"),
            (rude.slow_readers > 0.0, "load.rude.slow_readers"),
            (rude.slow_writers > 0.0, "load.rude.slow_writers"),
            (rude.leave_asking > 0.0, "load.rude.leave_asking"),
        ];
        all.into_iter().filter(|(there, _)| *there).map(|(_, name)| name).collect()
    }

    /// A number in [0, 1) that follows from the seed and from how many were drawn before.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        part(mix(self.day.seed, 0xd4a5, self.draws))
    }

    fn way(&mut self) -> Nanos {
        WAY.0 + ((WAY.1 - WAY.0) as f64 * self.draw()) as Nanos
    }

    fn later(&mut self, delay: Nanos, happening: Happening) {
        self.queue.push(self.now.saturating_add(delay), happening);
    }

    /// The second of the reported part in which something happens; none before it.
    fn second(&self, at: Nanos) -> Option<usize> {
        Some((at.checked_sub(self.from)? / SECOND) as usize)
    }
}
