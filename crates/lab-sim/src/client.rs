//! A client's request: its tries, and what it does after each.

use super::*;
use aniseyoke_lab_day::Effect as May;
use aniseyoke_lab_load::{again, patience, Arrival, Manner, Outcome, LEAVES_AFTER};

/// A request of a client that has not ended.
pub struct Asking {
    pub arrival: Arrival,
    /// The id of its present try.
    pub id: u64,
    /// Which try it is at, from 0.
    pub number: u32,
    /// Its proxy's number for the present try.
    pub at: Option<(u32, u64)>,
    /// Counted from the start of the warming.
    pub due: Nanos,
    /// One of the crowd: comes again at once, this often.
    pub crowd: Option<u32>,
    pub outcome: Outcome,
}

/// A crowd's client comes again after this time.
const AT_ONCE: Nanos = 5 * MS;

impl Sim {
    /// The next first try of the day has come, or of the crowd.
    pub(super) fn due(&mut self) {
        let Some(arrival) = self.plan.next() else { return };
        self.ask(arrival, None);
        if let Some(next) = self.plan.peek() {
            let at = next.due;
            self.queue.push(at, Happening::Due);
        }
    }

    pub(super) fn crowded(&mut self) {
        let Some(crowd) = self.options.crowd.clone() else { return };
        let end = self.from + nanos(crowd.at + crowd.length);
        if self.now >= end {
            return;
        }
        let mut rng = rand::SeedableRng::seed_from_u64(mix(self.day.seed, 0xc0d, self.crowd));
        let rng: &mut rand::rngs::Xoshiro256PlusPlus = &mut rng;
        let key = self.catalogue.draw(rng);
        self.crowd += 1;
        let arrival = Arrival {
            number: (1 << 40) + self.crowd,
            due: self.now,
            class: 0,
            tenant: crowd.tenant,
            key,
            body: 0,
            manner: Manner::Plain,
            heeds: false,
            hasty: false,
        };
        self.ask(arrival, Some(crowd.again));
        let gap = -(1.0 - self.draw()).ln() / crowd.rate.max(1e-9) * SECOND as f64;
        self.later(gap as Nanos, Happening::Crowd);
    }

    fn ask(&mut self, arrival: Arrival, crowd: Option<u32>) {
        let due = arrival.due;
        let asking =
            Asking { arrival, id: 0, number: 0, at: None, due, crowd, outcome: Outcome::Unreachable };
        let place = self.free.pop().unwrap_or(self.asking.len() as u32);
        if place as usize == self.asking.len() {
            self.asking.push(asking);
        } else {
            self.asking[place as usize] = asking;
        }
        let first = self.second(due);
        self.counts.at(first).into_iter().for_each(|s| s.first += 1);
        self.attempt(place);
    }

    /// Which proxy a try is dealt to.
    fn deal(&mut self, place: u32) -> u32 {
        let all = self.weights.last().copied().unwrap_or(1.0);
        let part = match (self.asking[place as usize].crowd, &self.options.crowd) {
            (Some(_), Some(crowd)) => crowd.proxies,
            _ => 1.0,
        };
        let drawn = self.draw() * part * all;
        self.weights.partition_point(|sum| *sum <= drawn).min(self.hosts.len() - 1) as u32
    }

    /// A client sends its next try, if there is time for one.
    pub(super) fn attempt(&mut self, place: u32) {
        let asking = &self.asking[place as usize];
        let class = &self.day.load.classes[asking.arrival.class];
        let give_up = asking.due + nanos(class.give_up);
        let left = give_up.saturating_sub(self.now);
        let (_, patience) = patience(&self.day, &asking.arrival, left);
        if left < 5 * MS {
            return self.end(place);
        }
        let leaves = asking.arrival.manner == Manner::LeavesWaiting;
        let (number, id) =
            (asking.number, mix(self.day.seed ^ 0x1d5, asking.arrival.number, u64::from(asking.number)));
        self.asking[place as usize].id = id;
        let second = self.second(self.now);
        self.counts.at(second).into_iter().for_each(|s| s.tries += 1);
        let proxy = self.deal(place);
        if leaves {
            self.later(nanos(LEAVES_AFTER), Happening::Leave(place, number));
        }
        self.arrive(proxy, place, patience);
    }

    /// A try has ended for its client.
    pub(super) fn told(&mut self, place: u32, number: u32, outcome: Outcome, wait: Option<Duration>) {
        let asking = &mut self.asking[place as usize];
        if asking.number != number || asking.at.is_none() {
            return;
        }
        asking.at = None;
        asking.outcome = outcome;
        if outcome == Outcome::Served
            && self.now > asking.due + nanos(self.day.load.classes[asking.arrival.class].aim)
        {
            asking.outcome = Outcome::Late;
        }
        let class = &self.day.load.classes[asking.arrival.class];
        let most = asking.crowd.unwrap_or(patience(&self.day, &asking.arrival, 0).0);
        let over = matches!(asking.outcome, Outcome::Served | Outcome::Late | Outcome::Left);
        // The client does not know whether what must not run twice has run: it asks somebody instead.
        let unsure = class.effect == May::Unsafe && outcome != Outcome::Refused;
        if over || unsure || number >= most {
            return self.end(place);
        }
        let told = wait.filter(|_| asking.arrival.heeds);
        let delay = if asking.crowd.is_some() {
            AT_ONCE
        } else {
            nanos(again(&self.day, &asking.arrival, number, told))
        };
        asking.number += 1;
        self.later(delay, Happening::Try(place));
    }

    /// A request has ended, with all its tries.
    fn end(&mut self, place: u32) {
        let asking = &self.asking[place as usize];
        let latency = self.now.saturating_sub(asking.due);
        let class = &self.day.load.classes[asking.arrival.class];
        if let Some(since) = asking.due.checked_sub(self.from) {
            let tally = if asking.crowd.is_some() { &mut self.counts.crowd } else { &mut self.counts.tally };
            tally.add(
                asking.arrival.class,
                asking.arrival.tenant,
                asking.outcome,
                since,
                latency,
                class.worth,
            );
        }
        self.free.push(place);
    }
}
