//! The limit on what may be out at the origin.

use super::*;

/// Attempts that may be out there before anything is known of it.
const ROOM: f64 = 32.0;
/// The same for all proxies together: what a few of them take by that figure.
const ROOM_ALL: f64 = 128.0;
/// The least; below one by chance. Danger: many proxies with one each still send more than is served.
const ROOM_LEAST: f64 = 0.3;
/// The part of fetches that may come late with the origin still well, and the gain with which it is followed.
const LATE: f64 = 0.1;
const LATE_GAIN: f64 = 0.1;

/// What is known of the origin.
pub struct Origin {
    pub settings: Arc<Settings>,
    pub out: f64,
    pub room: f64,
    cut_at: Nanos,
    /// The part of the fetches that come late or not at all, lately.
    late: f64,
}

impl Origin {
    pub fn new(settings: Arc<Settings>) -> Self {
        // Danger: hundreds of proxies that each trust an origin they know nothing of flood it together.
        let room = (ROOM_ALL / f64::from(settings.proxies.max(1))).clamp(2.0, ROOM);
        Origin { settings, out: 0.0, room, cut_at: 0, late: 0.0 }
    }

    /// Whether fetches come in time on the whole.
    pub fn calm(&self) -> bool {
        self.late < 2.0 * LATE
    }

    /// Whether there is room for one more request of this kind.
    pub fn has_room(&self, open: &Open) -> bool {
        // Writes have nowhere else to go; what is worth little leaves room for the rest.
        let part = match (open.write, open.poor) {
            (true, _) => 1.5,
            (_, true) => 0.5,
            _ => 1.0,
        };
        self.out + 1.0 <= (self.room * part).max(1.0)
    }

    /// Learns from an attempt there how many may be out; `failing` is the part of all attempts that fails.
    /// Danger: an origin that goes on with work nobody waits for any more fills no cache, so every read stays
    /// a miss and the jam feeds itself.
    pub fn learn(&mut self, now: Nanos, class: Option<usize>, o: &Outcome, failing: f64) {
        self.out = (self.out - 1.0).max(0.0);
        let aims = self.settings.classes.iter().enumerate();
        // A server that fetches adds its own work to the time, which is a class's own matter.
        let aims = aims.filter(|(n, _)| self.settings.aside || class == Some(*n));
        let patience = aims.map(|(_, c)| c.aim).min().unwrap_or(SECOND);
        let in_time = o.status == Status::Ok && o.elapsed <= patience;
        // A connection that breaks is no sign of a jam.
        if matches!(o.status, Status::Cancelled | Status::Moot | Status::ConnectFailed | Status::Reset) {
            return;
        }
        self.late += LATE_GAIN * (f64::from(u8::from(!in_time)) - self.late);
        // Danger: where servers fetch and answers get lost or work is uneven, some fetches fail with no jam.
        let jam = self.settings.aside || self.late > LATE + 1.5 * failing;
        // Room that is not used proves nothing; and a jam counts once for all that was out when it was met.
        if in_time && self.out + 1.0 >= 0.5 * self.room {
            self.room += (0.2 * self.room).min(1.0 / self.room);
        } else if !in_time && jam && now.saturating_sub(o.elapsed) >= self.cut_at {
            // In through deployments it may be the servers that are jammed, and a quick fall helps.
            let most = if self.settings.aside { f64::MAX } else { 2.0 * self.out + 2.0 };
            let least = if o.status == Status::Full { self.room.min(1.0) } else { ROOM_LEAST };
            self.room = (self.room.min(most) * 0.8).max(least);
            self.cut_at = now;
        }
    }
}
