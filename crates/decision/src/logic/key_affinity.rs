//! Key affinity: which servers a key's bucket prefers (Go-With-The-Winner).
//!
//! Keys are hashed into buckets. A bucket ranks the servers by weighted rendezvous hashing, alike at all
//! proxies; the first ones that slow start admits are its candidates. Each candidate has a window of its
//! last reads; the first one with [`HITS_TO_WIN`] hits in a row wins the bucket and keeps it. A hot bucket
//! is shared by its first servers.

use super::*;

/// Candidates of a bucket.
pub const CANDIDATES: usize = 2;
/// Straight hits with which a candidate wins a bucket.
const HITS_TO_WIN: u32 = 3;
/// How much better than the first its window must make a later candidate of an undecided bucket look. Danger:
/// with many proxies each sees few requests of a bucket; those that ask in turn fill every candidate with a
/// copy, and the origin pays for each.
const LATER_CANDIDATE: f64 = 0.25;
/// Key buckets; a bucket's state exists only once it was used.
const BUCKETS: u64 = 1 << 13;
/// Pools that a class's buckets may be of, and none.
const POOLS: u64 = MAX_POOLS as u64 + 1;
/// Servers ranked for each bucket: candidates first, then those that stand in for them.
const RANKED: usize = 16;
/// The keys that a server in slow start gets, by its warm fraction. Danger: at just its share newcomers
/// idle (they warm sooner than they must, and their misses cost them little) while warm servers drown in a
/// release.
const SLOW_START_KEYS: f64 = 2.5;
/// A bucket's part of one server's even share that it may bring before it is spread.
const HOT: f64 = 0.25;
/// How much sooner it is spread for the price of crossing zones: a copy in each zone saves crossings.
const COPY_IN_EACH_ZONE: f64 = 20.0;
/// Salts of the hashes that rank servers and that admit those in slow start.
const RANK_SALT: u64 = 0x5ca1_ab1e;
const ADMIT_SALT: u64 = 0xc01d;

/// Where a bucket stands in the hash: alike in every scope, so that scopes share copies where they may.
pub fn hash_position(bucket: u32) -> u64 {
    u64::from(bucket) % BUCKETS
}

/// The last reads of a bucket at one candidate.
#[derive(Clone, Copy, Default)]
struct Window {
    server: ServerId,
    /// One bit for each read, 1 for a hit; the last is the lowest.
    hits: u32,
    /// Reads counted, up to the length of the window.
    seen: u32,
}

impl Window {
    const ALL_HITS: u32 = (1 << HITS_TO_WIN) - 1;

    fn record(&mut self, hit: bool) {
        self.hits = (self.hits << 1 | u32::from(hit)) & Self::ALL_HITS;
        self.seen = (self.seen + 1).min(HITS_TO_WIN);
    }

    /// The part of the reads that misses, from few of them.
    fn misses(&self) -> f64 {
        1.0 - (f64::from(self.hits.count_ones()) + 1.0) / (f64::from(self.seen) + 2.0)
    }
}

#[derive(Default)]
struct Bucket {
    /// The version of the server table that it was ranked by.
    version: u64,
    ranked: Vec<u32>,
    windows: [Window; CANDIDATES],
    winner: Option<ServerId>,
    requests: DecayingCounter,
    /// Whose turn it is among the servers that share it.
    turn: u32,
    /// Its last read was answered, so that a server surely holds it.
    answered: bool,
    read: bool,
}

/// What is known of where a bucket's values are cached.
#[derive(Clone, Copy, Default)]
pub struct CacheState {
    /// Some server surely holds it.
    pub cached: bool,
    /// It was read at all.
    pub read: bool,
}

/// All buckets that were used.
pub struct KeyBuckets {
    all: FxHashMap<u32, Bucket>,
    /// For each class, the first class that may use the same servers: these share candidates and winners.
    scopes: Vec<usize>,
    /// The first class of each scope.
    distinct: Vec<usize>,
    /// A bucket that brings more than this part of one server's even share is spread.
    hot: f64,
    proxy_index: usize,
}

/// For each class, the first class that may use the same servers; and the first classes of these scopes.
fn scopes_of(settings: &Settings) -> (Vec<usize>, Vec<usize>) {
    let first =
        |c: &Class| settings.classes.iter().position(|o| o.allowed_servers == c.allowed_servers).unwrap_or(0);
    let scopes: Vec<usize> = settings.classes.iter().map(first).collect();
    let distinct = (0..scopes.len()).filter(|c| scopes[*c] == *c).collect();
    (scopes, distinct)
}

impl KeyBuckets {
    /// No bucket used yet.
    pub fn new(settings: &Settings) -> Self {
        let hot = HOT / (1.0 + COPY_IN_EACH_ZONE * settings.cross_zone_cost.max(0.0));
        let (scopes, distinct) = scopes_of(settings);
        KeyBuckets {
            all: FxHashMap::default(),
            scopes,
            distinct,
            hot,
            proxy_index: settings.proxy_index as usize,
        }
    }

    /// Takes over who may be sent where.
    pub fn update_settings(&mut self, settings: &Settings) {
        (self.scopes, self.distinct) = scopes_of(settings);
    }

    /// The bucket of a key for a class and pool; another scope's has candidates and a winner of its own.
    pub fn bucket_of(&self, class: usize, pool: Option<usize>, key: u64) -> u32 {
        let scope = self.scopes.get(class).map_or(0, |s| s + 1) as u64;
        let scope = scope * POOLS + pool.map_or(0, |p| p as u64 + 1) % POOLS;
        (scope * BUCKETS + mix(key) % BUCKETS) as u32
    }

    /// Ranks the servers open to a bucket's classes by weighted rendezvous hashing: the same at every proxy.
    pub fn rank(&mut self, servers: &ServerTable, bucket: u32) {
        let state = self.all.entry(bucket).or_default();
        if state.version == servers.version && !state.ranked.is_empty() {
            return;
        }
        let scope = (u64::from(bucket) / BUCKETS) as usize;
        let class = (scope / POOLS as usize).wrapping_sub(1);
        let pool = (scope % POOLS as usize).checked_sub(1);
        state.ranked = best_ranked(servers, bucket, class, pool, &self.distinct);
        state.version = servers.version;
    }

    /// A server in slow start is admitted to a bucket once its warm fraction is past what a hash of both
    /// says, alike at all proxies.
    fn is_admitted(servers: &ServerTable, now: Nanos, bucket: u32, s: &Server) -> bool {
        let warm = servers.warm_fraction(now, s);
        let threshold = || unit_interval(mix(s.entry.server ^ mix(hash_position(bucket) ^ ADMIT_SALT)));
        !s.excluded && (warm >= 1.0 || threshold() < SLOW_START_KEYS * warm)
    }

    /// Takes note of what a read of a bucket came to.
    pub fn record_read(&mut self, bucket: u32, server: ServerId, answered: bool, hit: bool) {
        let Some(state) = self.all.get_mut(&bucket) else { return };
        (state.answered, state.read) = (answered, true);
        let window = state.windows.iter_mut().find(|w| w.server == server && server != 0);
        let Some(window) = window else { return };
        window.record(answered && hit);
        if state.winner.is_none() && window.hits == Window::ALL_HITS {
            state.winner = Some(server);
        }
    }

    /// What is known of where a bucket's values are cached. Danger: one late read of a rare key would shut
    /// a bucket whose other keys its candidates hold.
    pub fn cache_state(&self, bucket: u32) -> CacheState {
        let Some(state) = self.all.get(&bucket) else { return CacheState::default() };
        let hit = state.windows.iter().any(|w| w.hits != 0);
        CacheState { cached: state.answered || hit, read: state.read }
    }

    /// Counts a request of a bucket, of `arrivals` lately; returns how many of the `servers` it is worth.
    pub fn record_request(&mut self, now: Nanos, bucket: u32, arrivals: f64, servers: f64) -> usize {
        let Some(state) = self.all.get_mut(&bucket) else { return 1 };
        state.requests.add(now, traffic::ARRIVAL_TIME_CONSTANT_S);
        state.turn = state.turn.wrapping_add(1);
        // Few requests say little of a bucket's part in the whole: count it a deviation lower.
        let sure = state.requests.sum - state.requests.sum.sqrt();
        ((sure / arrivals.max(1.0) * servers / self.hot).ceil() as usize).clamp(1, RANKED)
    }

    /// The ranked servers admitted to a bucket, in the order to ask: the winner, else the best window, ties
    /// broken alike at all proxies; then those that stand in for them. The first `spread` servers come in
    /// turn.
    pub fn preference_order(
        &mut self,
        servers: &ServerTable,
        now: Nanos,
        bucket: u32,
        spread: usize,
    ) -> Vec<u32> {
        let Some(state) = self.all.get_mut(&bucket) else { return Vec::new() };
        let admitted = |index: &u32| Self::is_admitted(servers, now, bucket, servers.at(*index));
        let mut order: Vec<u32> = state.ranked.iter().copied().filter(admitted).take(CANDIDATES).collect();
        state.set_candidates(servers, &order);
        let demerit = |index: u32| state.demerit(servers.at(index).entry.server);
        order.sort_by(|a, b| demerit(*a).total_cmp(&demerit(*b)));
        for &index in &state.ranked {
            if !order.contains(&index) && admitted(&index) {
                order.push(index);
            }
        }
        let sharing = spread.min(order.len());
        if sharing > 1 {
            // A hot bucket is shared by its first servers: one alone would drown.
            order[..sharing].rotate_left((state.turn as usize).wrapping_add(self.proxy_index) % sharing);
        }
        order
    }
}

impl Bucket {
    /// Takes over its candidates; what their windows hold stays.
    fn set_candidates(&mut self, servers: &ServerTable, candidates: &[u32]) {
        let ids: Vec<ServerId> = candidates.iter().map(|&index| servers.at(index).entry.server).collect();
        if self.windows.iter().map(|w| w.server).eq(ids.iter().copied()) {
            return;
        }
        let old = std::mem::take(&mut self.windows);
        for (window, &server) in self.windows.iter_mut().zip(&ids) {
            let kept = old.iter().find(|o| o.server == server).copied();
            *window = kept.unwrap_or(Window { server, ..Window::default() });
        }
        // Reopen when the winner left the candidates, but for one that operators will give back.
        if self.winner.is_some_and(|w| !ids.contains(&w) && !servers.excluded.contains(&w)) {
            self.winner = None;
        }
    }

    /// What speaks against asking a candidate first.
    fn demerit(&self, server: ServerId) -> f64 {
        if self.winner == Some(server) {
            return -1.0;
        }
        let position = self.windows.iter().position(|w| w.server == server).unwrap_or(CANDIDATES);
        let window = self.windows.get(position).copied().unwrap_or_default();
        window.misses() + LATER_CANDIDATE * position as f64
    }
}

/// The servers that a bucket ranks first, of those open to its class and pool.
fn best_ranked(
    servers: &ServerTable,
    bucket: u32,
    class: usize,
    pool: Option<usize>,
    distinct: &[usize],
) -> Vec<u32> {
    let salt = mix(hash_position(bucket) ^ RANK_SALT);
    let open = |class, pool, s: &Server| servers.is_open_to(&servers.settings, class, pool, s);
    let fits = |s: &Server| (servers.can_be_candidate(s) || s.excluded) && open(class, pool, s);
    let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKED + 1);
    for (index, s) in servers.servers.iter().enumerate() {
        // As -ln(x) is at least 1 - x, most servers are cheaply known to score past the worst kept.
        let worst = best.get(RANKED - 1).map_or(f64::INFINITY, |x| x.0);
        let hash = unit_interval(mix(salt ^ s.entry.server));
        if (1.0 - hash) * s.inverse_weight < worst && fits(s) {
            // Danger: what only some servers may serve needs these; others' keys would crowd them.
            let scopes = distinct.iter().filter(|c| open(**c, None, s)).count();
            let pools = (0..servers.settings.pools.len()).filter(|p| open(class, Some(*p), s)).count();
            let score = -hash.ln() * s.inverse_weight * (scopes + pools).max(1) as f64;
            if score < worst {
                best.insert(best.partition_point(|x| x.0 <= score), (score, index as u32));
                best.truncate(RANKED);
            }
        }
    }
    best.into_iter().map(|x| x.1).collect()
}
