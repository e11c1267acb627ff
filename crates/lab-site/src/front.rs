//! The front that deals clients' connections out over the proxies: it chooses addresses, and the clients connect. It
//! looks at each proxy's health, and notices a dead one only after a while.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
struct Slot {
    addr: SocketAddr,
    /// It says that it is well.
    well: bool,
    /// Since when it has not answered at all.
    dead_since: Option<Instant>,
}

/// The front.
pub struct Front {
    slots: Mutex<(Vec<Slot>, usize)>,
    notice: Duration,
}

/// What a look at a proxy's health showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// 200.
    Well,
    /// Any other answer.
    Unwell,
    /// No answer.
    Dead,
}

impl Front {
    /// A front over proxies at these addresses, all of them well; it notices a dead one after `notice`.
    pub fn new(addrs: &[SocketAddr], notice: Duration) -> Self {
        let slot = |addr: &SocketAddr| Slot { addr: *addr, well: true, dead_since: None };
        Front { slots: Mutex::new((addrs.iter().map(slot).collect(), 0)), notice }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Vec<Slot>, &mut usize) -> T) -> T {
        let mut slots = self.slots.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (slots, next) = &mut *slots;
        act(slots, next)
    }

    /// Where the next connection goes: the proxy's number and address. With none well, to any that is not known dead.
    pub fn deal(&self) -> (usize, SocketAddr) {
        self.with(|slots, next| {
            let count = slots.len();
            let turn = |n: usize| (*next + n) % count;
            let known_dead = |s: &Slot| s.dead_since.is_some_and(|since| since.elapsed() > self.notice);
            let usable = |n: &usize| slots[*n].well && !known_dead(&slots[*n]);
            let chosen = (0..count).map(turn).find(usable);
            let chosen = chosen.or_else(|| (0..count).map(turn).find(|n| !known_dead(&slots[*n])));
            let chosen = chosen.unwrap_or(turn(0));
            *next = chosen + 1;
            (chosen, slots[chosen].addr)
        })
    }

    /// A proxy stands at another address from now on.
    pub fn moved(&self, proxy: usize, addr: SocketAddr) {
        self.with(|slots, _| slots[proxy] = Slot { addr, well: true, dead_since: None });
    }

    /// What a look at a proxy showed.
    pub fn looked(&self, proxy: usize, health: Health) {
        self.with(|slots, _| {
            let slot = &mut slots[proxy];
            match health {
                Health::Well => (slot.well, slot.dead_since) = (true, None),
                Health::Unwell => (slot.well, slot.dead_since) = (false, None),
                // A dead one keeps its standing until it is noticed.
                Health::Dead => slot.dead_since = slot.dead_since.or(Some(Instant::now())),
            }
        });
    }

    /// The address of each proxy.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.with(|slots, _| slots.iter().map(|s| s.addr).collect())
    }
}

#[cfg(test)]
mod tests;
