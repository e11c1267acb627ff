//! The list service in simulated time: each proxy's calls and watches as its discovery makes them, counted, refused past
//! what the service takes, and failed while it is down.

use super::*;
use aniseyoke_decision::api::{Event, ListKind};
use aniseyoke_pace::polls::Rules;
use aniseyoke_pace::{Place, Polls};

/// The list service, and how it is asked.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Proxies ask in their own slots.
    pub paced: bool,
    /// Calls a second that it answers; past that it refuses.
    pub takes: Option<u64>,
    /// What its refusals advise.
    pub retry_after: Duration,
    /// It is down for so long from the start.
    pub down: Duration,
}

/// The longest and the shortest wait of a proxy whose calls are not paced.
const HOLD: (Nanos, Nanos) = (SECOND, 20 * SECOND);
/// What `[list]` in the operator's file sets where it says nothing else.
const BACK_OFF_MOST: Nanos = 3600 * MS;
/// See `BACK_OFF_MOST`.
const ANSWER: (Nanos, Nanos) = (1200 * MS, 3600 * MS);

/// One proxy's side of it.
#[derive(Default)]
pub struct Caller {
    polls: Option<Polls>,
    /// A call is out, or waits for its slot.
    busy: bool,
    /// A watch is held; its number.
    watch: Option<u32>,
    watches: u32,
}

impl Caller {
    /// Proxy `me` of a day.
    pub fn new(day: &Day, me: usize, service: Option<&Service>) -> Self {
        let place = Place::new(me as u32, day.site.proxy.count as u32);
        let rules = Rules {
            every: Rules::every_by(nanos(day.site.roster.must_ask_in)),
            back_off_most: BACK_OFF_MOST,
            answer: ANSWER.0,
            answer_most: ANSWER.1,
        };
        let polls = service.filter(|s| s.paced).map(|_| Polls::new(rules, place, 0, 0));
        Caller { polls, ..Caller::default() }
    }
}

impl Sim {
    /// A proxy's module wants the list followed, or its last call has been answered.
    pub(super) fn ask_list(&mut self, proxy: u32, anew: bool) {
        let (now, caller) = (self.now, &mut self.hosts[proxy as usize].caller);
        if anew && std::mem::replace(&mut caller.busy, true) {
            return;
        }
        let at = caller.polls.as_ref().map_or(now, |polls| polls.due(now));
        self.queue.push(at, Happening::Ask(proxy));
    }

    /// A proxy's call reaches the service.
    pub(super) fn asked_list(&mut self, proxy: u32) {
        let Some(service) = self.options.list.clone() else { return };
        let now = self.now;
        let second = (now / SECOND) as usize;
        let asks = &mut self.counts.list_asks;
        if asks.len() <= second {
            asks.resize(second + 1, 0);
        }
        asks[second] += 1;
        let over = service.takes.is_some_and(|most| asks[second] > most);
        let host = &mut self.hosts[proxy as usize];
        host.caller.polls.iter_mut().for_each(|p| p.polled(now));
        let way = self.way();
        if now < nanos(service.down) {
            return self.later(way, Happening::Unlisted(proxy, false));
        }
        if over {
            self.counts.list_refused += 1;
            return self.later(way, Happening::Unlisted(proxy, true));
        }
        let host = &mut self.hosts[proxy as usize];
        if !host.subscribed || host.version != self.world.roster().version() {
            return self.later(way, Happening::Told(proxy));
        }
        let must = nanos(self.day.site.roster.must_ask_in) / 2;
        let caller = &mut host.caller;
        let hold = caller.polls.as_ref().map_or(must.clamp(HOLD.0, HOLD.1), |polls| polls.hold(now));
        caller.watches += 1;
        caller.watch = Some(caller.watches);
        let number = caller.watches;
        self.later(hold, Happening::Held(proxy, number));
    }

    /// A watch has been held for as long as it was to be.
    pub(super) fn held(&mut self, proxy: u32, number: u32) {
        let caller = &mut self.hosts[proxy as usize].caller;
        if caller.watch == Some(number) {
            caller.watch = None;
            let way = self.way();
            self.later(way, Happening::Told(proxy));
        }
    }

    /// The list has changed: watches end.
    pub(super) fn relisted(&mut self) {
        for proxy in 0..self.hosts.len() as u32 {
            let host = &mut self.hosts[proxy as usize];
            let hears = match self.options.list {
                Some(_) => host.caller.watch.take().is_some(),
                None => host.subscribed,
            };
            if hears {
                let way = self.way();
                self.later(way, Happening::Told(proxy));
            }
        }
    }

    /// A proxy has had its answer, and asks on.
    pub(super) fn told_list(&mut self, proxy: u32) {
        self.list(proxy);
        if self.options.list.is_some() {
            self.hosts[proxy as usize].caller.polls.iter_mut().for_each(Polls::answered);
            self.ask_list(proxy, false);
        }
    }

    /// A proxy's call was refused, or failed.
    pub(super) fn unlisted(&mut self, proxy: u32, refused: bool) {
        let now = self.now;
        let after = self.options.list.as_ref().map(|s| nanos(s.retry_after)).filter(|_| refused);
        let caller = &mut self.hosts[proxy as usize].caller;
        caller.busy = false;
        if let Some(polls) = &mut caller.polls {
            match refused {
                true => polls.refused(now, after),
                false => polls.failed(now),
            }
        }
        self.feed(proxy, Event::EndpointList { kind: ListKind::Failed, entries: Vec::new() });
    }
}
