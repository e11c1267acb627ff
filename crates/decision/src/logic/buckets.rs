//! Candidates, windows and pins: Go-With-The-Winner for each bucket of keys.

use super::*;

/// Candidates of a bucket.
pub const SIGMA: usize = 2;
/// Straight hits that pin a bucket.
const TAU: u32 = 3;
/// How much better than the first its window must make a later candidate of an undecided bucket look. Danger:
/// with many proxies each sees few requests of a bucket; those that try in turn fill every candidate with a
/// copy, and the origin pays for each.
const PLACE: f64 = 0.25;
/// Key buckets; a bucket's state exists only once it was used.
const BUCKETS: u64 = 1 << 13;
/// Pools that a class's buckets may be of, and none.
const POOLS: u64 = POOLS_MOST as u64 + 1;
/// Servers ranked for each bucket: candidates first, then stand-ins.
const RANKED: usize = 16;
/// The keys a cold server gets, by its surest warmth. Danger: at just its share newcomers idle (they warm
/// sooner than they must, and their misses cost them little) while warm servers drown in a release.
const COLD_KEYS: f64 = 2.5;
/// A bucket's part of one server's even share that it may bring before it is spread.
const HOT: f64 = 0.25;
/// How much sooner it is spread for the price of crossing zones: a copy in each zone saves crossings.
const ZONE_COPY: f64 = 20.0;

/// Where a bucket stands in the hash: alike in every scope, so that scopes share copies where they may.
pub fn place(bucket: u32) -> u64 {
    u64::from(bucket) % BUCKETS
}

#[derive(Clone, Copy, Default)]
struct Window {
    server: ServerId,
    outcomes: u32,
    seen: u32,
}

#[derive(Default)]
struct Bucket {
    version: u64,
    ranked: Vec<u32>,
    windows: [Window; SIGMA],
    pin: Option<ServerId>,
    count: Fading,
    turn: u32,
    /// Whether its last read was answered, so that a server surely holds it.
    held: bool,
    read: bool,
}

/// All buckets that were used.
pub struct Buckets {
    all: FxHashMap<u32, Bucket>,
    /// For each class, the first class that may use the same servers: these share candidates and pins.
    scopes: Vec<usize>,
    /// The first class of each scope.
    distinct: Vec<usize>,
    /// A bucket that brings more than this part of one server's even share is spread.
    hot: f64,
    me: usize,
}

impl Buckets {
    pub fn new(settings: &Settings) -> Self {
        let hot = HOT / (1.0 + ZONE_COPY * settings.cross_zone_price.max(0.0));
        let (scopes, distinct) = Self::scopes(settings);
        Buckets { all: FxHashMap::default(), scopes, distinct, hot, me: settings.me as usize }
    }

    /// Takes over who may be sent where.
    pub fn retune(&mut self, settings: &Settings) {
        (self.scopes, self.distinct) = Self::scopes(settings);
    }

    fn scopes(settings: &Settings) -> (Vec<usize>, Vec<usize>) {
        let like = |c: &Class| settings.classes.iter().position(|o| o.only == c.only).unwrap_or(0);
        let scopes: Vec<usize> = settings.classes.iter().map(like).collect();
        let distinct = (0..scopes.len()).filter(|c| scopes[*c] == *c).collect();
        (scopes, distinct)
    }

    /// The bucket of a key for a class and pool; another scope's has candidates and pins of its own.
    pub fn of(&self, class: usize, pool: Option<usize>, key: u64) -> u32 {
        let scope = self.scopes.get(class).map_or(0, |s| s + 1) as u64;
        let scope = scope * POOLS + pool.map_or(0, |p| p as u64 + 1) % POOLS;
        (scope * BUCKETS + mix(key) % BUCKETS) as u32
    }

    /// Ranks the servers open to a bucket's classes by weighted rendezvous: the same at every proxy.
    pub fn rank(&mut self, roster: &Roster, b: u32) {
        let bucket = self.all.entry(b).or_default();
        if bucket.version == roster.version && !bucket.ranked.is_empty() {
            return;
        }
        let salt = mix(place(b) ^ 0x5ca1_ab1e);
        let scope = (u64::from(b) / BUCKETS) as usize;
        let class = (scope / POOLS as usize).wrapping_sub(1);
        let pool = (scope % POOLS as usize).checked_sub(1);
        let open = |class, pool, s: &Server| roster.open_under(&roster.settings, class, pool, s);
        let fits = |s: &Server| (roster.ranks(s) || s.banned) && open(class, pool, s);
        let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKED + 1);
        for (i, s) in roster.servers.iter().enumerate() {
            // As -ln(x) is at least 1 - x, most servers are told cheaply to score past the worst kept.
            let worst = best.get(RANKED - 1).map_or(f64::INFINITY, |x| x.0);
            let hash = unit(mix(salt ^ s.entry.server));
            if (1.0 - hash) * s.inverse_weight < worst && fits(s) {
                // Danger: what only some servers may serve needs these; others' keys would crowd them.
                let scopes = self.distinct.iter().filter(|c| open(**c, None, s)).count();
                let pools = (0..roster.settings.pools.len()).filter(|p| open(class, Some(*p), s)).count();
                let score = -hash.ln() * s.inverse_weight * (scopes + pools).max(1) as f64;
                if score < worst {
                    best.insert(best.partition_point(|x| x.0 <= score), (score, i as u32));
                    best.truncate(RANKED);
                }
            }
        }
        (bucket.ranked, bucket.version) = (best.into_iter().map(|x| x.1).collect(), roster.version);
    }

    /// A cold server enters a bucket once it is warmer than a hash of both says, alike at all proxies.
    fn admitted(roster: &Roster, now: Nanos, b: u32, s: &Server) -> bool {
        let warmth = roster.warmth(now, s);
        !s.banned
            && (warmth >= 1.0 || unit(mix(s.entry.server ^ mix(place(b) ^ 0xc01d))) < COLD_KEYS * warmth)
    }

    /// The candidates of a bucket now: the first SIGMA ranked servers that are admitted to it.
    fn candidates(bucket: &mut Bucket, roster: &Roster, now: Nanos, b: u32) -> Vec<u32> {
        let admitted = |i: &&u32| Self::admitted(roster, now, b, roster.at(**i));
        let found: Vec<u32> = bucket.ranked.iter().filter(admitted).take(SIGMA).copied().collect();
        let ids: Vec<ServerId> = found.iter().map(|&i| roster.at(i).entry.server).collect();
        if bucket.windows.iter().map(|w| w.server).ne(ids.iter().copied()) {
            let old = bucket.windows;
            bucket.windows = [Window::default(); SIGMA];
            for (w, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = old.iter().find(|o| o.server == *id).copied();
                *w = kept.unwrap_or(Window { server: *id, ..Window::default() });
            }
            // Reopen when the winner left the candidates, but for one that operators will give back.
            if bucket.pin.is_some_and(|p| !ids.contains(&p) && !roster.banned.contains(&p)) {
                bucket.pin = None;
            }
        }
        found
    }

    /// Takes note of what a read of a bucket came to.
    pub fn learn(&mut self, b: u32, server: ServerId, answered: bool, hit: bool) {
        let Some(bucket) = self.all.get_mut(&b) else { return };
        (bucket.held, bucket.read) = (answered, true);
        let hit = answered && hit;
        let Some(w) = bucket.windows.iter_mut().find(|w| w.server == server && server != 0) else { return };
        w.outcomes = (w.outcomes << 1 | u32::from(hit)) & ((1 << TAU) - 1);
        w.seen = (w.seen + 1).min(TAU);
        if bucket.pin.is_none() && w.outcomes == (1 << TAU) - 1 {
            bucket.pin = Some(server);
        }
    }

    /// Whether some server surely holds a bucket, and whether it was read at all.
    /// Danger: one late read of a rare key would shut a bucket whose other keys its candidates hold.
    pub fn held(&self, b: u32) -> (bool, bool) {
        let hit = |b: &Bucket| b.held || b.windows.iter().any(|w| w.outcomes != 0);
        self.all.get(&b).map_or((false, false), |b| (hit(b), b.read))
    }

    /// Counts a request of a bucket, of `all` lately; returns how many of the `live` servers it is worth.
    pub fn counted(&mut self, now: Nanos, b: u32, all: f64, live: f64) -> usize {
        let Some(bucket) = self.all.get_mut(&b) else { return 1 };
        bucket.count.add(now, traffic::MEMORY_S);
        bucket.turn = bucket.turn.wrapping_add(1);
        // Few requests say little of a bucket's part in the whole: count it a deviation lower.
        let sure = bucket.count.sum - bucket.count.sum.sqrt();
        ((sure / all.max(1.0) * live / self.hot).ceil() as usize).clamp(1, RANKED)
    }

    /// The ranked servers admitted to a bucket, in the order to ask: the winner, else the best window, ties
    /// broken alike at all proxies; then stand-ins. Those of a hot one come in turn.
    pub fn ordered(&mut self, roster: &Roster, now: Nanos, b: u32, spread: usize) -> Vec<u32> {
        let Some(bucket) = self.all.get_mut(&b) else { return Vec::new() };
        let mut order = Self::candidates(bucket, roster, now, b);
        let merit = |i: u32| {
            let server = roster.at(i).entry.server;
            if bucket.pin == Some(server) {
                return -1.0;
            }
            let place = bucket.windows.iter().position(|w| w.server == server).unwrap_or(SIGMA);
            let w = bucket.windows.get(place).copied().unwrap_or_default();
            let misses = 1.0 - (f64::from(w.outcomes.count_ones()) + 1.0) / (f64::from(w.seen) + 2.0);
            misses + PLACE * place as f64
        };
        order.sort_by(|a, b| merit(*a).total_cmp(&merit(*b)));
        for &i in &bucket.ranked {
            if !order.contains(&i) && Self::admitted(roster, now, b, roster.at(i)) {
                order.push(i);
            }
        }
        let k = spread.min(order.len());
        if k > 1 {
            // A hot bucket is shared by its first servers: one alone would drown.
            order[..k].rotate_left((bucket.turn as usize).wrapping_add(self.me) % k);
        }
        order
    }
}
