//! A site and its day as one TOML file. Unknown keys and wrong units are refused by the reader, impossible values by
//! `check`, which reports all of them at once.

mod builtin;
mod check;
pub mod clock;
pub mod plan_file;
mod settings;
#[cfg(test)]
mod tests;

pub use builtin::{builtin, BUILTIN};
pub use settings::{module_settings, proxy_config, Member};

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// A site, what is asked of it, and what goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// A short name.
    pub name: String,
    /// What the day is about, in a sentence.
    pub about: String,
    /// For how long requests arrive.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Everything random follows from it.
    #[serde(default)]
    pub seed: u64,
    /// The machines.
    pub site: Site,
    /// The clients.
    pub load: Load,
    /// What goes wrong.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// The machines of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// What each proxy may take.
    #[serde(default)]
    pub proxy: ProxyLimits,
    /// The cache nodes.
    pub cache: Caches,
    /// The parcel ledger.
    pub ledger: Ledger,
    /// Discovery.
    #[serde(default)]
    pub roster: Roster,
}

/// The proxies, and what each is told that it may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyLimits {
    /// How many there are.
    pub count: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Descriptors.
    pub sockets: usize,
    /// For how long the front still sends connections to a dead proxy.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        ProxyLimits { count: 2, memory_mb: 128, sockets: 1024, notice: Duration::from_secs(2) }
    }
}

/// A kind of machine among the cache nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name in discovery.
    pub name: String,
    /// Part of the fleet that is of this kind.
    pub share: f64,
    /// Cores of a machine.
    #[serde(default = "one")]
    pub cores: f64,
    /// Speed of a core; 1 is the yardstick in which work is given.
    pub speed: f64,
}

fn one() -> f64 {
    1.0
}

/// The fleet of cache nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caches {
    /// How many there are.
    pub count: usize,
    /// The kinds of machines.
    pub kinds: Vec<Kind>,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots_per_core: usize,
    /// Requests that wait, for each core; beyond that they are turned away.
    #[serde(default = "room")]
    pub room_per_core: usize,
    /// Part of all keys that a node has room for.
    pub memory: f64,
    /// A copy goes void after this time.
    #[serde(default = "ttl", with = "humantime_serde")]
    pub ttl: Duration,
    /// Part of the work of a hit that a miss costs.
    #[serde(default = "miss_work")]
    pub miss_work: f64,
    /// Part of its capacity that a node starts with.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// A node is warm after this time.
    #[serde(default = "cold", with = "humantime_serde")]
    pub cold: Duration,
    /// A cold node that is sent more than this multiple of what it can do at that moment falls.
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    /// For this long.
    #[serde(default = "fall", with = "humantime_serde")]
    pub fall: Duration,
    /// Part of the answers that are errors.
    #[serde(default)]
    pub errors: f64,
    /// Waiting work is dropped when its proxy gives the attempt up; running work never is.
    #[serde(default)]
    pub drops_queued: bool,
}

fn slots() -> usize {
    8
}
fn room() -> usize {
    16
}
fn ttl() -> Duration {
    Duration::from_secs(30)
}
fn miss_work() -> f64 {
    0.1
}
fn cold_from() -> f64 {
    0.4
}
fn cold() -> Duration {
    Duration::from_secs(6)
}
fn fall_multiple() -> f64 {
    3.0
}
fn fall() -> Duration {
    Duration::from_secs(2)
}

/// The parcel ledger: the one origin that all share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Its cores, each of speed 1.
    pub cores: f64,
    /// Requests in work at once.
    #[serde(default = "ledger_slots")]
    pub slots: usize,
    /// Requests that wait.
    #[serde(default = "ledger_room")]
    pub room: usize,
    /// A fetch takes this multiple of the work of a hit.
    #[serde(default = "fetch_work")]
    pub fetch_work: f64,
    /// Sent this multiple of its capacity it stops.
    #[serde(default = "fall_multiple")]
    pub stop_multiple: f64,
    /// For this long.
    #[serde(default = "stop_after", with = "humantime_serde")]
    pub stop_after: Duration,
    /// It stays stopped for this time.
    #[serde(default = "stopped", with = "humantime_serde")]
    pub stopped: Duration,
    /// Repeats of an idempotency key are dropped for this time.
    #[serde(default = "repeats", with = "humantime_serde")]
    pub repeats: Duration,
}

fn ledger_slots() -> usize {
    64
}
fn ledger_room() -> usize {
    256
}
fn fetch_work() -> f64 {
    1.5
}
fn stop_after() -> Duration {
    Duration::from_secs(3)
}
fn stopped() -> Duration {
    Duration::from_secs(4)
}
fn repeats() -> Duration {
    Duration::from_secs(6)
}

/// How late discovery learns.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Roster {
    /// The shortest time from a change to its listing.
    #[serde(with = "humantime_serde")]
    pub lag_least: Duration,
    /// The longest.
    #[serde(with = "humantime_serde")]
    pub lag_most: Duration,
    /// The longest time until a machine that has gone silent is taken off the list.
    #[serde(with = "humantime_serde")]
    pub silent_lag: Duration,
    /// A proxy that asks for nothing for so long counts as told.
    #[serde(with = "humantime_serde")]
    pub must_ask_in: Duration,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            lag_least: Duration::from_millis(300),
            lag_most: Duration::from_millis(2000),
            silent_lag: Duration::from_secs(6),
            must_ask_in: Duration::from_secs(10),
        }
    }
}

/// What clients ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second, over all proxies.
    pub rate: f64,
    /// The rate swings by this part, up and down.
    #[serde(default)]
    pub swing: f64,
    /// The length of one swing.
    #[serde(default = "period", with = "humantime_serde")]
    pub period: Duration,
    /// How many keys there are.
    pub keys: u64,
    /// The exponent of their popularity (Zipf).
    pub zipf: f64,
    /// Mean length of an answer, in bytes.
    #[serde(default = "answer")]
    pub answer_bytes: u64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The networks.
    pub tenants: Vec<Tenant>,
    /// What clients do after a bad answer.
    #[serde(default)]
    pub retries: Retries,
    /// Clients on poor links and worse.
    #[serde(default)]
    pub rude: Rude,
    /// Clients that lose patience for a while.
    #[serde(default)]
    pub hasty: Option<Hasty>,
}

/// Clients that give each try little time for a while, and come again at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hasty {
    /// From when their requests are due.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// The part of the clients that is so.
    pub part: f64,
    /// The time that they give a try.
    #[serde(rename = "try", with = "humantime_serde")]
    pub patience: Duration,
    /// Tries after the first.
    pub again: u32,
}

fn period() -> Duration {
    Duration::from_secs(20)
}
fn answer() -> u64 {
    600
}

/// May a request of a class run again?
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Repeats are dropped for a time.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in the path.
    pub name: String,
    /// Part of the traffic.
    pub share: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// It writes.
    #[serde(default)]
    pub write: bool,
    /// Mean work of a request, on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Standard deviation of the work over its mean (log-normal).
    #[serde(default = "spread")]
    pub work_spread: f64,
    /// Full worth is earned up to here.
    #[serde(with = "humantime_serde")]
    pub aim: Duration,
    /// The client gives up here.
    #[serde(with = "humantime_serde")]
    pub give_up: Duration,
    /// Worth of a request.
    pub worth: f64,
    /// Mean length of a written body, in bytes.
    #[serde(default)]
    pub body_bytes: u64,
}

fn spread() -> f64 {
    1.0
}

/// A network with its part of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name in the header.
    pub name: String,
    /// Part of the traffic that it is entitled to.
    pub share: f64,
    /// What it sends, as a multiple of that.
    #[serde(default = "one")]
    pub usage: f64,
}

/// What clients do after a bad answer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Tries after the first.
    pub most: u32,
    /// The wait before the first of them; it doubles with each, and is drawn between half and all of that.
    #[serde(with = "humantime_serde")]
    pub wait: Duration,
    /// Part of the clients that heed `Retry-After`.
    pub heed: f64,
    /// A try is given up after this part of the class's give-up time.
    pub try_part: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Retries { most: 2, wait: Duration::from_millis(100), heed: 0.85, try_part: 0.7 }
    }
}

/// Clients that are slow, leave, or stay for nothing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rude {
    /// Connections that are opened at the start and never used.
    pub idle: usize,
    /// Part of the requests whose client reads slowly.
    pub slow_readers: f64,
    /// Part whose client writes its request in pieces.
    pub slow_writers: f64,
    /// Part whose client leaves in the midst of its request.
    pub leave_asking: f64,
    /// Part whose client leaves before its answer.
    pub leave_waiting: f64,
}

/// A trouble, with its start, its length and its target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What goes wrong.
    pub kind: TroubleKind,
    /// When it starts.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// Whom it hits: a part of the fleet, drawn by the seed. (For answers: a part of the answers of every node.)
    #[serde(default)]
    pub part: Option<f64>,
    /// Or these members by number.
    #[serde(default)]
    pub nodes: Option<Vec<usize>>,
    /// How much slower, or how few bytes at a time.
    #[serde(default)]
    pub size: Option<f64>,
}

/// The kinds of troubles.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Processes die and come back cold at the end.
    Crash,
    /// Machines say nothing, and come back cold.
    Silence,
    /// Nodes drain one batch after the other, and are replaced by new ones, cold, under new ids.
    Deploy,
    /// Proxies are restarted one after the other.
    ProxyRoll,
    /// Nodes run at `size` of their speed.
    Slow,
    /// Open connections go dead without a word; new ones work.
    HalfOpen,
    /// Answers break off in their midst.
    Cut,
    /// Answers can't be read.
    Spoilt,
    /// Answers announce 3 GB and keep coming.
    Oversize,
    /// Answers come in pieces of `size` bytes.
    Pieces,
    /// Discovery refuses and resets.
    DiscoveryDown,
    /// Discovery lists a part of the live nodes as draining.
    DiscoveryLies,
    /// The ledger runs at `size` of its speed.
    BrownOut,
}

/// What is wrong with a day's file.
#[derive(Debug)]
pub struct DayError {
    /// The file, or the name of a built-in day.
    pub file: String,
    /// One line for each fault: the key and the reason.
    pub faults: Vec<String>,
}

impl fmt::Display for DayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.faults.iter().enumerate() {
            write!(f, "{}{}: {fault}", if n > 0 { "\n" } else { "" }, self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for DayError {}

impl Day {
    /// Reads a day from a file, or a built-in one by its name.
    ///
    /// # Errors
    /// Tells file, key and reason of every fault that was found.
    pub fn open(name: &str) -> Result<Day, DayError> {
        if let Some(text) = builtin(name) {
            return Day::parse(name, text);
        }
        let path = Path::new(name);
        let text = std::fs::read_to_string(path).map_err(|e| {
            let names: Vec<&str> = BUILTIN.iter().map(|(name, _)| *name).collect();
            let fault = format!("{e}; it is no built-in day either ({})", names.join(", "));
            DayError { file: name.to_owned(), faults: vec![fault] }
        })?;
        Day::parse(name, &text)
    }

    /// Reads a day from its text; `file` is named in errors.
    ///
    /// # Errors
    /// As [`Day::open`].
    pub fn parse(file: &str, text: &str) -> Result<Day, DayError> {
        let fail = |faults| DayError { file: file.to_owned(), faults };
        let day: Day = toml::from_str(text).map_err(|e| fail(vec![e.to_string().trim_end().to_owned()]))?;
        let faults = check::faults(&day);
        if faults.is_empty() {
            Ok(day)
        } else {
            Err(fail(faults))
        }
    }

    /// The same day with so many proxies and nodes; what is asked and what the ledger bears go with the nodes.
    ///
    /// # Errors
    /// As [`Day::open`].
    pub fn sized(mut self, proxies: usize, nodes: usize) -> Result<Day, DayError> {
        let by = nodes as f64 / self.site.cache.count as f64;
        self.site.proxy.count = proxies;
        self.site.cache.count = nodes;
        self.load.rate *= by;
        self.load.keys = ((self.load.keys as f64 * by) as u64).max(1);
        self.site.cache.memory = (self.site.cache.memory / by).min(1.0);
        self.site.ledger.cores *= by;
        self.site.ledger.slots = (self.site.ledger.slots as f64 * by).ceil() as usize;
        self.site.ledger.room = (self.site.ledger.room as f64 * by).ceil() as usize;
        match check::faults(&self) {
            faults if faults.is_empty() => Ok(self),
            faults => Err(DayError { file: self.name, faults }),
        }
    }

    /// The same day squeezed to a part of its length, troubles and all.
    pub fn squeezed(mut self, part: f64) -> Day {
        self.length = self.length.mul_f64(part);
        for trouble in &mut self.troubles {
            trouble.at = trouble.at.mul_f64(part);
            trouble.length = trouble.length.mul_f64(part);
        }
        if let Some(hasty) = &mut self.load.hasty {
            hasty.at = hasty.at.mul_f64(part);
            hasty.length = hasty.length.mul_f64(part);
        }
        self
    }
}
