//! A simulated list service. Each proxy makes the calls and watches of its discovery component; calls are
//! counted, rejected above the service's limit, and fail while the service is down.

use super::*;
use aniseyoke_decision::api::{Event, ListKind};
use aniseyoke_pace::PollRules;
use aniseyoke_pace::{FleetPosition, PollSchedule};

/// Settings of the list service, and how proxies call it.
#[derive(Clone, Debug, Default)]
pub struct ListService {
    /// Whether each proxy polls in its own time slot.
    pub paced: bool,
    /// Calls per second that the service answers; further calls are rejected.
    pub max_per_second: Option<u64>,
    /// The `Retry-After` of a rejection.
    pub retry_after: Duration,
    /// How long the service is down from the start of the simulation.
    pub down: Duration,
}

/// The shortest and longest watch of a proxy whose calls are not paced.
const WATCH_DURATION_RANGE: (Nanos, Nanos) = (SECOND, 20 * SECOND);
/// The default maximum backoff of `[list]` in the operator file.
const MAX_BACK_OFF: Nanos = 3600 * MILLISECOND;
/// The default initial and maximum answer timeout of `[list]` in the operator file.
const ANSWER_TIMEOUTS: (Nanos, Nanos) = (1200 * MILLISECOND, 3600 * MILLISECOND);

/// The list-service client of one proxy.
#[derive(Default)]
pub struct ListClient {
    polls: Option<PollSchedule>,
    /// Whether a call is in flight or scheduled for its slot.
    busy: bool,
    /// The number of the open watch, if any.
    watch: Option<u32>,
    watches: u32,
}

impl ListClient {
    /// Creates the client of the proxy with this index.
    pub fn new(day: &Day, index: usize, service: Option<&ListService>) -> Self {
        let slot = FleetPosition::new(index as u32, day.site.proxy.count as u32);
        let rules = PollRules {
            interval: PollRules::default_interval(nanos(day.site.discovery.poll_within)),
            max_backoff: MAX_BACK_OFF,
            answer_timeout: ANSWER_TIMEOUTS.0,
            max_answer_timeout: ANSWER_TIMEOUTS.1,
        };
        let polls = service.filter(|s| s.paced).map(|_| PollSchedule::new(rules, slot, 0, 0));
        ListClient { polls, ..ListClient::default() }
    }
}

impl Sim {
    /// Schedules a proxy's next call: its module has subscribed to the list, or its last call has been
    /// answered.
    pub(super) fn call_list(&mut self, proxy: u32, restarted: bool) {
        let (now, list_client) = (self.now, &mut self.proxies[proxy as usize].list_client);
        if restarted && std::mem::replace(&mut list_client.busy, true) {
            return;
        }
        let at = list_client.polls.as_ref().map_or(now, |polls| polls.next_poll(now));
        self.queue.push(at, SimEvent::ListCall(proxy));
    }

    /// Handles a proxy's call at the service: answers it, rejects it, lets it fail or opens a watch.
    pub(super) fn list_call_arrived(&mut self, proxy: u32) {
        let Some(service) = self.options.list.clone() else { return };
        let now = self.now;
        let second = (now / SECOND) as usize;
        let calls = &mut self.counts.list_calls;
        if calls.len() <= second {
            calls.resize(second + 1, 0);
        }
        calls[second] += 1;
        let over = service.max_per_second.is_some_and(|max| calls[second] > max);
        let sim_proxy = &mut self.proxies[proxy as usize];
        sim_proxy.list_client.polls.iter_mut().for_each(|p| p.poll_started(now));
        let delay = self.network_delay();
        if now < nanos(service.down) {
            return self.schedule_after(delay, SimEvent::ListFailure(proxy, false));
        }
        if over {
            self.counts.list_rejected += 1;
            return self.schedule_after(delay, SimEvent::ListFailure(proxy, true));
        }
        let sim_proxy = &mut self.proxies[proxy as usize];
        if !sim_proxy.subscribed || sim_proxy.version != self.world.endpoint_list().version() {
            return self.schedule_after(delay, SimEvent::ListAnswer(proxy));
        }
        let half_poll_within = nanos(self.day.site.discovery.poll_within) / 2;
        let list_client = &mut sim_proxy.list_client;
        let watch_duration = list_client
            .polls
            .as_ref()
            .map_or(half_poll_within.clamp(WATCH_DURATION_RANGE.0, WATCH_DURATION_RANGE.1), |polls| {
                polls.watch_duration(now)
            });
        list_client.watches += 1;
        list_client.watch = Some(list_client.watches);
        let number = list_client.watches;
        self.schedule_after(watch_duration, SimEvent::WatchExpiry(proxy, number));
    }

    /// Answers a watch whose duration has elapsed, if it is still open.
    pub(super) fn watch_expired(&mut self, proxy: u32, number: u32) {
        let list_client = &mut self.proxies[proxy as usize].list_client;
        if list_client.watch == Some(number) {
            list_client.watch = None;
            let delay = self.network_delay();
            self.schedule_after(delay, SimEvent::ListAnswer(proxy));
        }
    }

    /// The list has changed: answers all open watches.
    pub(super) fn list_changed(&mut self) {
        for proxy in 0..self.proxies.len() as u32 {
            let sim_proxy = &mut self.proxies[proxy as usize];
            let notifies = match self.options.list {
                Some(_) => sim_proxy.list_client.watch.take().is_some(),
                None => sim_proxy.subscribed,
            };
            if notifies {
                let delay = self.network_delay();
                self.schedule_after(delay, SimEvent::ListAnswer(proxy));
            }
        }
    }

    /// Delivers the list to a proxy and schedules the proxy's next call.
    pub(super) fn list_answered(&mut self, proxy: u32) {
        self.deliver_list(proxy);
        if self.options.list.is_some() {
            self.proxies[proxy as usize].list_client.polls.iter_mut().for_each(PollSchedule::answered);
            self.call_list(proxy, false);
        }
    }

    /// Handles a call that was rejected or has failed: backs off and notifies the module.
    pub(super) fn list_call_failed(&mut self, proxy: u32, rejected: bool) {
        let now = self.now;
        let after = self.options.list.as_ref().map(|s| nanos(s.retry_after)).filter(|_| rejected);
        let list_client = &mut self.proxies[proxy as usize].list_client;
        list_client.busy = false;
        if let Some(polls) = &mut list_client.polls {
            match rejected {
                true => polls.rejected(now, after),
                false => polls.failed(now),
            }
        }
        self.feed(proxy, Event::EndpointList { kind: ListKind::Failed, entries: Vec::new() });
    }
}
