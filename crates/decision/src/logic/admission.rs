//! Which requests are taken at all: the part that is let in, by worth, and each tenant's share.

use super::attempts::End;
use super::*;

/// The part late of a window past which less is taken: well over what a silent fifth of the servers makes.
const LATE: f64 = 0.35;
/// The part late or turned away past which work of little worth is refused; below half of it more is let in.
const BUSY: f64 = 0.1;
/// How much faster what is taken grows again while hardly anything is late. Danger: growing alike slowly in
/// any case, one silence has half of all refused for a minute after it, with the servers idle.
const REGAIN: f64 = 0.9;
/// Work worth less than this part of the usual for its time counts as being of little worth.
const POOR: f64 = 0.5;
/// Fewer requests than this say nothing against the servers; the window stays open for more, for a while.
const ENDS: f64 = 8.0;

/// What became of the requests that arrived in a window of time.
#[derive(Clone, Default)]
struct Judged {
    from: Nanos,
    /// When it closed to new arrivals.
    until: Option<Nanos>,
    sent: f64,
    ends: f64,
    late: f64,
    full: f64,
    /// Worth and time of the requests asked for, good and poor, for the usual worth of a second's work.
    worth: f64,
    time: f64,
}

impl Judged {
    fn holds(&self, arrived: Nanos, end: Nanos) -> bool {
        (self.from..self.until.unwrap_or(end)).contains(&arrived)
    }
}

/// What is let in.
#[derive(Default)]
pub struct Admission {
    pub settings: Arc<Settings>,
    judged: Judged,
    /// Usual worth for a second's work.
    usual_worth: f64,
    /// The part of the tries that is taken, and of those of little worth.
    taken: f64,
    extra: f64,
    /// What each tenant may still send within its share.
    shares: Vec<Purse>,
}

impl Admission {
    pub fn new(settings: Arc<Settings>) -> Self {
        let shares = vec![Purse { left: 1.0, at: 0 }; settings.tenants.len()];
        Admission { settings, taken: 1.0, extra: 1.0, shares, ..Admission::default() }
    }

    /// The part of the tries that is taken, of those of little worth or of the others.
    pub fn taken(&self, poor: bool) -> f64 {
        self.taken * if poor { self.extra } else { 1.0 }
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self) {
        self.judged.sent += f64::from(u8::from(self.judged.until.is_none()));
    }

    /// Takes note of how a request that was sent has ended.
    pub fn ended(&mut self, open: &Open, worth: f64) {
        // One that came past its aim could not have been in time: it says nothing of the servers.
        let counts = open.judged && !open.attempts.is_empty();
        if counts && self.judged.holds(open.arrived, Nanos::MAX) {
            self.judged.ends += 1.0;
            match open.end {
                _ if worth > 0.0 => {}
                End::Late => self.judged.late += 1.0,
                End::Full => self.judged.full += 1.0,
                End::Other => {}
            }
        }
    }

    /// Moves the parts of the tries that are taken, by what became of those of one window that were sent.
    /// What was refused says nothing, or refusing would feed itself.
    fn steer(&mut self, now: Nanos, settle: Nanos, mut w: Judged) {
        let (late, busy) = (w.late / w.ends.max(ENDS), (w.late + w.full) / w.ends.max(ENDS));
        if w.time > 0.0 {
            self.usual_worth = w.worth / w.time;
        }
        // A thin proxy's windows last long: what is let in again goes by time, or it would take minutes.
        let steps = (now.saturating_sub(w.from) as f64 / (1.5 * settle as f64)).clamp(1.0, 8.0);
        let pace = |ill: f64| (1.1 + REGAIN * (1.0 - ill).max(0.0)).powf(steps);
        // By chance a few of a small window go wrong.
        let chance = 1.5 * (BUSY / w.ends.max(1.0)).sqrt();
        if busy > BUSY + chance {
            self.extra = (self.extra * 0.5).max(0.02);
        } else if busy < BUSY / 2.0 + chance {
            self.extra = (self.extra * pace(busy / (BUSY / 2.0 + chance)) + 0.01 * steps).min(1.0);
        }
        // To be turned away costs a handshake; where those have a price, hammering full servers is waste.
        let waste = if self.settings.handshake_price > 0.0 { 0.5 } else { 0.0 };
        w.late = late + waste * w.full / w.ends.max(ENDS);
        if w.late > LATE {
            self.taken = (self.taken * (1.0 - w.late).max(0.1)).max(0.05);
        } else if w.late < LATE / 2.0 {
            self.taken = (self.taken * pace(w.late / (LATE / 2.0)) + 0.02 * steps).min(1.0);
        }
    }

    /// Whether a tenant is within this proxy's even part of its share, by what was served to it. Danger:
    /// counting what was only tried uses a share up with retries of what full servers turned away.
    pub fn within_share(&mut self, now: Nanos, tenant: Option<usize>, served: f64) -> bool {
        let Some(t) = tenant.filter(|&t| t < self.shares.len()) else { return true };
        let rate = self.settings.tenants[t].quota_rps.max(0.0) / f64::from(self.settings.proxies.max(1));
        self.shares[t].left = self.shares[t].earn(now, rate, rate.max(1.0)) - served;
        self.shares[t].left >= 0.0
    }
}

impl Balancer {
    /// The usual aim: what most of a window's requests came to is known by then.
    fn settle(&self) -> Nanos {
        let classes = self.settings.classes.iter().zip(&self.traffic.seen);
        let each = classes.map(|(c, s)| (c.aim as f64, s.count + 0.1));
        let (sum, count) = each.fold((0.0, 1e-9), |(sum, n), (aim, count)| (sum + aim * count, n + count));
        ((sum / count) as Nanos).clamp(100 * MS, 4 * SECOND)
    }

    /// Closes a window to new arrivals once enough have come, and judges it once what came of these is known.
    /// Danger: judging by what ends just now answers to the load of before, and swings between all and none.
    fn judge(&mut self, now: Nanos) {
        let settle = self.settle();
        let judged = &mut self.admission.judged;
        let Some(until) = judged.until else {
            let age = now.saturating_sub(judged.from);
            if judged.sent >= ENDS && age >= settle / 2 || age >= 4 * settle {
                judged.until = Some(now);
            }
            return;
        };
        if now < until.saturating_add(settle) {
            return;
        }
        let mut w = std::mem::replace(judged, Judged { from: now, ..Judged::default() });
        // What is still out has run past its aim. Danger: where clients wait for longer, servers that answer
        // nothing would not be seen until they give up. What waits at the origin is not the servers' doing.
        let out = self.open.values().filter(|o| {
            let last = o.attempts.last().and_then(|a| self.roster.get(a.server));
            let servers = !o.fetch || self.origin.calm();
            servers && w.holds(o.arrived, now) && last.is_some_and(|s| self.roster.ranks(s))
        });
        let out = out.count() as f64;
        (w.late, w.ends) = (w.late + out, w.ends + out);
        self.admission.steer(now, settle, w);
    }

    /// The part of a class's and tenant's tries to refuse unsent: what is worth little for its work first.
    pub(super) fn shed(&mut self, now: Nanos, open: &mut Open) -> f64 {
        self.judge(now);
        let time = self.traffic.usual(Some(open.class)).mean.max(1.0);
        let mut worth = self.settings.classes.get(open.class).map_or(1.0, |c| c.worth.max(1e-9));
        if self.settings.worth_by_work {
            worth *= time;
        }
        let admission = &mut self.admission;
        if !admission.within_share(now, open.tenant, 0.0) {
            worth *= self.settings.over_share_worth.clamp(0.0, 1.0);
        }
        admission.judged.worth += worth;
        admission.judged.time += time;
        let ratio = worth / time / admission.usual_worth.max(1e-30);
        let mut take = 1.0 - (1.0 - admission.taken).powf(ratio.clamp(0.25, 4.0));
        open.poor = ratio < POOR && admission.usual_worth > 0.0;
        if open.poor {
            take *= admission.extra;
        }
        1.0 - take
    }
}
