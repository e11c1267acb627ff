//! Key affinity: which servers a key's bucket prefers. The method is Go-With-The-Winner: try a few
//! servers, and stay with the first one that serves well enough.
//!
//! Keys are hashed into buckets. A bucket ranks the servers by weighted rendezvous hashing, with the same
//! result at all proxies; the first [`CANDIDATES`] that are not excluded and that slow start admits are its
//! candidates. Each candidate has a window of its last reads; the first one with [`HITS_TO_WIN`] hits in a
//! row wins the bucket and keeps it until it stops being a candidate (an operator's exclusion only suspends
//! it). A hot bucket is spread over its first servers.
//!
//! Buckets belong to scopes. A scope is one pool, or the requests without a pool, of the classes that may use
//! the same servers; such classes are represented by the first of them. The id of a bucket is
//! `(C * SCOPES_PER_CLASS + P) * BUCKETS_PER_SCOPE + I`, where `C` is the index of the representative class
//! plus one, or 0 for an unknown class, `P` is the index of the pool plus one, or 0 without a pool, and `I`
//! is the index of the bucket within its scope, a hash of the key.

use super::*;

/// Number of candidates of a bucket.
pub const CANDIDATES: usize = 2;
/// Number of hits in a row with which a candidate wins a bucket.
const HITS_TO_WIN: u32 = 3;
/// How much lower the miss rate of a later candidate must be for it to be tried before the first one, while
/// the bucket has no winner. With many proxies, each sees few requests of a bucket; trying the candidates in
/// turn would put a copy on each of them, and each copy costs a fetch from the origin.
const LATER_CANDIDATE_PENALTY: f64 = 0.25;
/// Number of key buckets in each scope; the state of a bucket is created on first use.
const BUCKETS_PER_SCOPE: u64 = 1 << 13;
/// Number of scopes of each representative class: one for each pool, and one for requests without a pool.
const SCOPES_PER_CLASS: u64 = MAX_POOLS as u64 + 1;
/// Number of servers ranked for each bucket: its candidates first, then their fallbacks.
const MAX_RANKED: usize = 16;
/// The fraction of its keys that a server in slow start gets, as a multiple of its warm fraction. With a
/// multiple of one, new servers are underused during a rollout, since they warm up faster than required and
/// their misses cost them little, while warm servers are overloaded.
const SLOW_START_KEY_FACTOR: f64 = 2.5;
/// The load of a bucket above which it is spread, as a fraction of the average load of a server.
const HOT_LOAD: f64 = 0.25;
/// How much the cost of crossing zones lowers the threshold [`HOT_LOAD`]: a copy in each zone saves
/// cross-zone traffic.
const CROSS_ZONE_FACTOR: f64 = 20.0;
/// Salt of the hash that ranks servers.
const RANK_SALT: u64 = 0x5ca1_ab1e;
/// Salt of the hash that admits servers in slow start.
const ADMIT_SALT: u64 = 0xc01d;

/// Returns the index of a bucket within its scope. Servers are hashed with this index rather than the id, so
/// that scopes share cached copies where their servers overlap.
pub fn index_in_scope(bucket: u32) -> u64 {
    u64::from(bucket) % BUCKETS_PER_SCOPE
}

/// The last reads of a bucket at one candidate.
#[derive(Clone, Copy, Default)]
struct Window {
    server: ServerId,
    /// One bit for each read, 1 for a hit; the lowest bit is the last read.
    hits: u32,
    /// Number of reads, up to the length of the window.
    seen: u32,
}

impl Window {
    const ALL_HITS: u32 = (1 << HITS_TO_WIN) - 1;

    fn record(&mut self, hit: bool) {
        self.hits = (self.hits << 1 | u32::from(hit)) & Self::ALL_HITS;
        self.seen = (self.seen + 1).min(HITS_TO_WIN);
    }

    /// Estimates the miss rate from the few reads of the window.
    fn miss_rate(&self) -> f64 {
        1.0 - (f64::from(self.hits.count_ones()) + 1.0) / (f64::from(self.seen) + 2.0)
    }
}

#[derive(Default)]
struct Bucket {
    /// The version of the server table at the last ranking.
    version: u64,
    ranked: Vec<u32>,
    windows: [Window; CANDIDATES],
    winner: Option<ServerId>,
    requests: DecayingCounter,
    /// Counter that rotates the requests over the servers that share the bucket.
    turn: u32,
    /// Whether its last read was answered, which implies that some server has the key of that read cached.
    answered: bool,
    /// Whether any of its keys was ever read.
    read: bool,
}

/// What is known about the cached copies of a bucket.
#[derive(Clone, Copy, Default)]
pub struct CacheState {
    /// Whether some server is known to have keys of the bucket cached.
    pub cached: bool,
    /// Whether any key of the bucket was ever read.
    pub read: bool,
}

/// All buckets used so far.
pub struct KeyBuckets {
    all: FxHashMap<u32, Bucket>,
    /// For each class, its representative: the first class that may use the same servers. Such classes share
    /// candidates and winners.
    representative_of: Vec<usize>,
    /// The classes that represent themselves.
    representatives: Vec<usize>,
    /// The load above which a bucket is spread, as a fraction of the average load of a server.
    hot_load: f64,
    proxy_index: usize,
}

/// Returns the representative of each class, which is the first class that may use the same servers, and the
/// list of all representatives.
fn class_representatives(settings: &Settings) -> (Vec<usize>, Vec<usize>) {
    let first =
        |c: &Class| settings.classes.iter().position(|o| o.allowed_servers == c.allowed_servers).unwrap_or(0);
    let representative_of: Vec<usize> = settings.classes.iter().map(first).collect();
    let representatives = (0..representative_of.len()).filter(|c| representative_of[*c] == *c).collect();
    (representative_of, representatives)
}

impl KeyBuckets {
    /// Creates the state without any bucket.
    pub fn new(settings: &Settings) -> Self {
        let hot_load = HOT_LOAD / (1.0 + CROSS_ZONE_FACTOR * settings.cross_zone_cost.max(0.0));
        let (representative_of, representatives) = class_representatives(settings);
        KeyBuckets {
            all: FxHashMap::default(),
            representative_of,
            representatives,
            hot_load,
            proxy_index: settings.proxy_index as usize,
        }
    }

    /// Updates the representatives of the classes to new settings.
    pub fn update_settings(&mut self, settings: &Settings) {
        (self.representative_of, self.representatives) = class_representatives(settings);
    }

    /// Returns the id of a key's bucket for a class and pool; buckets of other scopes have their own
    /// candidates and winner.
    pub fn bucket_of(&self, class: usize, pool: Option<usize>, key: u64) -> u32 {
        let class_number = self.representative_of.get(class).map_or(0, |s| s + 1) as u64;
        let scope = class_number * SCOPES_PER_CLASS + pool.map_or(0, |p| p as u64 + 1) % SCOPES_PER_CLASS;
        (scope * BUCKETS_PER_SCOPE + mix(key) % BUCKETS_PER_SCOPE) as u32
    }

    /// Ranks the servers allowed for a bucket's classes by weighted rendezvous hashing; the ranking is the
    /// same at every proxy.
    pub fn rank(&mut self, servers: &ServerTable, bucket: u32) {
        let state = self.all.entry(bucket).or_default();
        if state.version == servers.version && !state.ranked.is_empty() {
            return;
        }
        let scope = (u64::from(bucket) / BUCKETS_PER_SCOPE) as usize;
        let class = (scope / SCOPES_PER_CLASS as usize).wrapping_sub(1);
        let pool = (scope % SCOPES_PER_CLASS as usize).checked_sub(1);
        state.ranked = best_ranked(servers, bucket, class, pool, &self.representatives);
        state.version = servers.version;
    }

    /// Whether a server may serve a bucket. A server in slow start is admitted once its warm fraction times
    /// [`SLOW_START_KEY_FACTOR`] exceeds a threshold, a hash of the server and the bucket that is the same at
    /// all proxies.
    fn is_admitted(servers: &ServerTable, now: Nanos, bucket: u32, s: &Server) -> bool {
        let warm = servers.warm_fraction(now, s);
        let threshold = || unit_interval(mix(s.entry.server ^ mix(index_in_scope(bucket) ^ ADMIT_SALT)));
        !s.excluded && (warm >= 1.0 || threshold() < SLOW_START_KEY_FACTOR * warm)
    }

    /// Records the result of a read of a bucket at a server.
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

    /// Returns what is known about the cached copies of a bucket. A hit in any window counts; otherwise one
    /// read of a rare key that timed out or failed would make the whole bucket count as not cached, and
    /// origin protection could reject requests for its other keys, which its candidates have cached.
    pub fn cache_state(&self, bucket: u32) -> CacheState {
        let Some(state) = self.all.get(&bucket) else { return CacheState::default() };
        let hit = state.windows.iter().any(|w| w.hits != 0);
        CacheState { cached: state.answered || hit, read: state.read }
    }

    /// Counts a request of a bucket; returns over how many servers the bucket is to be spread, given the
    /// recent number of `arrivals` and the number of eligible `servers`.
    pub fn record_request(&mut self, now: Nanos, bucket: u32, arrivals: f64, servers: f64) -> usize {
        let Some(state) = self.all.get_mut(&bucket) else { return 1 };
        state.requests.add(now, traffic::ARRIVAL_TIME_CONSTANT_S);
        state.turn = state.turn.wrapping_add(1);
        // With few requests a bucket's share of the traffic is uncertain, so this subtracts one standard
        // deviation (of a Poisson count, the root of the count).
        let lower_bound = state.requests.sum - state.requests.sum.sqrt();
        ((lower_bound / arrivals.max(1.0) * servers / self.hot_load).ceil() as usize).clamp(1, MAX_RANKED)
    }

    /// Returns the ranked servers admitted to a bucket in order of preference: the winner, or else the
    /// candidate with the best window, with ties broken in the same way at all proxies; then the fallbacks.
    /// The first `spread` servers take turns at the first place.
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
        let penalty = |index: u32| state.penalty(servers.at(index).entry.server);
        order.sort_by(|a, b| penalty(*a).total_cmp(&penalty(*b)));
        for &index in &state.ranked {
            if !order.contains(&index) && admitted(&index) {
                order.push(index);
            }
        }
        let sharing_servers = spread.min(order.len());
        if sharing_servers > 1 {
            // A hot bucket would overload a single server, so its first servers share it.
            order[..sharing_servers]
                .rotate_left((state.turn as usize).wrapping_add(self.proxy_index) % sharing_servers);
        }
        order
    }
}

impl Bucket {
    /// Replaces the candidates; those that stay candidates keep their windows.
    fn set_candidates(&mut self, servers: &ServerTable, candidates: &[u32]) {
        let ids: Vec<ServerId> = candidates.iter().map(|&index| servers.at(index).entry.server).collect();
        if self.windows.iter().map(|w| w.server).eq(ids.iter().copied()) {
            return;
        }
        let old = std::mem::take(&mut self.windows);
        for (window, &server) in self.windows.iter_mut().zip(&ids) {
            let window_before = old.iter().find(|o| o.server == server).copied();
            *window = window_before.unwrap_or(Window { server, ..Window::default() });
        }
        // A winner that is no longer a candidate is cleared, unless an operator excluded it: then it stays
        // the winner, and gets the bucket's keys again when the exclusion ends.
        if self.winner.is_some_and(|w| !ids.contains(&w) && !servers.excluded.contains(&w)) {
            self.winner = None;
        }
    }

    /// Returns the penalty of a candidate; the one with the lowest penalty is tried first.
    fn penalty(&self, server: ServerId) -> f64 {
        if self.winner == Some(server) {
            return -1.0;
        }
        let position = self.windows.iter().position(|w| w.server == server).unwrap_or(CANDIDATES);
        let window = self.windows.get(position).copied().unwrap_or_default();
        window.miss_rate() + LATER_CANDIDATE_PENALTY * position as f64
    }
}

/// Returns the best-ranked servers of a bucket, of those allowed for its class and pool. Each server has a
/// score; a lower score is better.
fn best_ranked(
    servers: &ServerTable,
    bucket: u32,
    class: usize,
    pool: Option<usize>,
    representatives: &[usize],
) -> Vec<u32> {
    let salt = mix(index_in_scope(bucket) ^ RANK_SALT);
    let is_allowed = |class, pool, s: &Server| servers.is_open_to(&servers.settings, class, pool, s);
    let fits = |s: &Server| (servers.is_eligible_for_keys(s) || s.excluded) && is_allowed(class, pool, s);
    let mut best: Vec<(f64, u32)> = Vec::with_capacity(MAX_RANKED + 1);
    for (index, s) in servers.servers.iter().enumerate() {
        // Since -ln(x) >= 1 - x, this cheap lower bound shows for most servers that their score is higher
        // than the worst one in the list.
        let worst_score = best.get(MAX_RANKED - 1).map_or(f64::INFINITY, |x| x.0);
        let hash = unit_interval(mix(salt ^ s.entry.server));
        if (1.0 - hash) * s.inverse_weight < worst_score && fits(s) {
            // A server that is allowed for more classes and pools gets a worse score, so that keys that any
            // server may serve do not displace those of restricted classes and pools from the servers that
            // these depend on.
            let classes = representatives.iter().filter(|c| is_allowed(**c, None, s)).count();
            let pools = (0..servers.settings.pools.len()).filter(|p| is_allowed(class, Some(*p), s)).count();
            let score = -hash.ln() * s.inverse_weight * (classes + pools).max(1) as f64;
            if score < worst_score {
                best.insert(best.partition_point(|x| x.0 <= score), (score, index as u32));
                best.truncate(MAX_RANKED);
            }
        }
    }
    best.into_iter().map(|x| x.1).collect()
}
