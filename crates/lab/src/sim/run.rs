//! The loop: takes what is due, has module and model do their parts, and counts.

use super::count::Cause;
use super::host::{Attempt, Host, Pending};
use super::*;
use crate::load::Outcome as Fate;
use crate::world::{Ask, Line, Manner, Process, Reply, Standing};
use aniseyoke_decision::api::{
    server_id, Action, Entry, Event, ListKind, Nanos as Time, Outcome, Request, ServerId, State, Status,
};

/// The module's clock begins here, since a start at 0 means long ago to it.
const EPOCH: Time = 1_000 * SECOND;
/// A proxy has the list so long after it has asked.
const LIST_TAKES: Nanos = 5 * MS;

impl Sim {
    pub(super) fn open(&mut self) {
        self.world.quicken_ledger(0, QUICK);
        for p in 0..self.hosts.len() {
            self.hosts[p].version = self.world.roster().version();
            let entries = self.world.roster().all().into_iter().map(|line| self.entry(line)).collect();
            self.feed(p as u32, Event::EndpointList { kind: ListKind::Cached, entries });
        }
        if let Some(first) = self.plan.peek() {
            let due = first.due;
            self.queue.push(due, Happening::Due);
        }
        self.queue.push(self.from, Happening::Begin);
        if let Some(crowd) = &self.options.crowd {
            self.queue.push(self.from + nanos(crowd.at), Happening::Crowd);
        }
    }

    /// Plays the day to its end, until all that was asked has ended.
    pub fn run(mut self) -> Counts {
        while let Some((at, happening)) = self.queue.pop() {
            self.now = at;
            if self.over(happening) {
                break;
            }
            self.happen(happening);
            self.settle();
        }
        self.counts.events = self.queue.put();
        self.counts.met = self.toll.met();
        self.counts.ramped = self.ramp.found();
        self.counts
    }

    /// Nothing more is asked, and nobody waits.
    fn over(&self, next: Happening) -> bool {
        let ended = self.now > self.from + nanos(self.day.length);
        ended && !next.is_load() && self.asking.len() == self.free.len()
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Due => self.due(),
            Happening::Crowd => self.crowded(),
            Happening::World => {}
            Happening::Begin => {
                self.world.quicken_ledger(self.now, 1.0);
                self.world.begin(self.now);
            }
            Happening::Try(place) => self.attempt(place),
            Happening::Leave(place, number) => {
                let asking = &self.asking[place as usize];
                if let Some((proxy, request)) = asking.at.filter(|_| asking.number == number) {
                    self.leave(proxy, request, Cause::Left);
                    self.told(place, number, Fate::Left, None);
                }
            }
            Happening::Guard(proxy, request) => self.guarded(proxy, request),
            Happening::Timer(proxy, token) => self.feed(proxy, Event::Timer(token)),
            Happening::Reach(ticket) => self.reach(ticket),
            Happening::Back(ticket, back) => self.back(ticket, back),
            Happening::Over(ticket) => self.end_attempt(ticket, Status::Timeout),
            Happening::Told(proxy) => self.told_list(proxy),
            Happening::Ask(proxy) => self.asked_list(proxy),
            Happening::Held(proxy, number) => self.held(proxy, number),
            Happening::Unlisted(proxy, refused) => self.unlisted(proxy, refused),
            Happening::Open(ticket) => self.open_for(ticket),
        }
    }

    /// Lets the model do what is due, and passes on what comes of it.
    fn settle(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        self.world.tick(self.now, &mut effects);
        for effect in effects.drain(..) {
            self.follow(effect);
        }
        self.effects = effects;
        if let Some(due) = self.world.next_due() {
            if self.world_due != Some(due) {
                self.world_due = Some(due);
                self.queue.push(due.max(self.now), Happening::World);
            }
        }
    }

    fn follow(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { ticket, reply, manner } => {
                let back = match (reply, manner) {
                    (Reply::Served { hit, .. }, Manner::Plain | Manner::Pieces(_)) => Back::Served { hit },
                    (Reply::Served { .. }, Manner::Cut) => Back::Reset,
                    (Reply::Served { .. }, _) | (Reply::Error, _) => Back::Error,
                    (Reply::Miss, _) => Back::Miss,
                    (Reply::Full, _) => {
                        let ledger = self.out.get(&ticket).is_some_and(|o| o.ledger);
                        self.toll.full(ledger);
                        Back::Full
                    }
                };
                let way = self.way();
                self.later(way, Happening::Back(ticket, back));
            }
            Effect::Ran(ticket) => self.ran(ticket),
            Effect::Process(member, Process::Down) => self.reset(member),
            Effect::HalfOpen(member) => {
                // What is out there gets no answer; idle connections are found dead.
                let server = self.server(member);
                self.hosts.iter_mut().for_each(|h| drop(h.idle.remove(&server)));
                let there = self.out.values_mut().filter(|o| o.member == member && o.reached);
                there.for_each(|o| o.dead = true);
            }
            Effect::Fell(_) => self.counts.fell += u64::from(self.now >= self.from),
            Effect::Stopped(_) => self.counts.stopped += u64::from(self.now >= self.from),
            Effect::Listed(_) => self.relisted(),
            Effect::Dropped(_)
            | Effect::Joined(_)
            | Effect::Process(..)
            | Effect::Discovery(_)
            | Effect::RestartProxy(_) => {}
        }
    }

    fn server(&self, member: usize) -> ServerId {
        server_id(self.world.name(member).0)
    }

    fn entry(&self, line: Line) -> Entry {
        let (id, kind) = self.world.name(line.member);
        let kinds = &self.day.site.cache.kinds;
        Entry {
            server: server_id(id),
            zone: 0,
            kind: kinds.iter().position(|k| k.name == kind).unwrap_or(kinds.len()) as u32,
            cell: 0,
            state: match line.standing {
                Standing::Ready => State::Ready,
                Standing::Draining => State::Draining,
                Standing::Gone => State::Gone,
            },
            weight: 1.0,
            started: line.started.map_or(0, |at| EPOCH + at),
        }
    }

    /// A proxy hears what has changed in the list since it last did.
    pub(super) fn list(&mut self, proxy: u32) {
        let since = self.hosts[proxy as usize].version;
        let (kind, lines) =
            match self.world.roster().since(since).filter(|_| self.hosts[proxy as usize].subscribed) {
                Some(lines) => (ListKind::Delta, lines),
                None => (ListKind::Full, self.world.roster().all()),
            };
        self.hosts[proxy as usize].version = self.world.roster().version();
        self.hosts[proxy as usize].subscribed = true;
        let entries = lines.into_iter().map(|line| self.entry(line)).collect();
        self.feed(proxy, Event::EndpointList { kind, entries });
    }

    /// Gives a proxy's module an event, and does what it says.
    pub(super) fn feed(&mut self, proxy: u32, event: Event) {
        self.hosts[proxy as usize].feed(EPOCH + self.now, event);
        let mut actions = std::mem::take(&mut self.hosts[proxy as usize].actions);
        for action in actions.drain(..) {
            self.act(proxy, action);
        }
        if self.hosts[proxy as usize].actions.is_empty() {
            self.hosts[proxy as usize].actions = actions;
        }
    }

    fn act(&mut self, proxy: u32, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(proxy, id, server, timeout),
            Action::Cancel { id, attempt } => self.call_off(proxy, id, attempt as usize),
            Action::Reject { id, retry_after } => {
                self.answer(proxy, id, Fate::Refused, Some(Duration::from_nanos(retry_after)));
            }
            Action::Fail { id } => self.answer(proxy, id, Fate::Failed, None),
            Action::Timer { token, delay } => self.later(delay, Happening::Timer(proxy, token)),
            Action::CloseIdle(server) => drop(self.hosts[proxy as usize].idle.remove(&server)),
            Action::Subscribe if self.options.list.is_some() => self.ask_list(proxy, true),
            Action::Subscribe => self.later(LIST_TAKES, Happening::Told(proxy)),
        }
    }

    /// A client's try comes to a proxy.
    pub(super) fn arrive(&mut self, proxy: u32, place: u32, patience: Nanos) {
        let asking = &self.asking[place as usize];
        let arrival = asking.arrival;
        let class = &self.day.load.classes[arrival.class];
        let (write, host) = (class.write, &mut self.hosts[proxy as usize]);
        let (id, remaining) = host.take(self.now, place, asking.number, arrival.class, patience);
        self.asking[place as usize].at = Some((proxy, id));
        self.later(Host::guard(patience), Happening::Guard(proxy, id));
        let request = Request {
            id,
            class: arrival.class as u32,
            tenant: Some(arrival.tenant as u32),
            pool: None,
            key: Some(arrival.key),
            remaining,
            write,
            retry: false,
        };
        self.feed(proxy, Event::Arrival(request));
    }

    fn send(&mut self, proxy: u32, id: u64, server: ServerId, timeout: Nanos) {
        let now = self.now;
        let Some(member) = self.member(server) else { return };
        let ledger = self.world.is_ledger(member);
        let place = if ledger { 2 } else { usize::from(self.world.is_cold(member, now)) };
        let second = self.second(now);
        let host = &mut self.hosts[proxy as usize];
        self.counts.drains_broken += u64::from(host.breaks_drain(EPOCH + now, server));
        let Some(pending) = host.pending.get_mut(&id) else { return };
        let left = pending.deadline.saturating_sub(now);
        let number = pending.attempts.len() as u32;
        self.tickets += 1;
        let ticket = self.tickets;
        pending.attempts.push(Attempt { server, ticket, sent: now, over: false });
        let kept = host.connection(now, server);
        self.out.insert(
            ticket,
            Out {
                proxy,
                request: id,
                number,
                member,
                fresh: kept.is_none(),
                reached: false,
                dead: false,
                ledger,
                permit_by: None,
            },
        );
        if pending_answered(host, id) || left == 0 {
            return self.end_attempt(ticket, Status::NotSent);
        }
        if kept == Some(false) {
            self.counts.reused += 1;
        }
        if let Some(s) = self.counts.at(second) {
            s.sent[place] += 1;
        }
        let wait = if timeout == 0 { left } else { timeout.min(left) };
        self.later(wait, Happening::Over(ticket));
        if kept.is_none() {
            // As the proxy does: no longer than half of the attempt's time is spent on waiting for a permit.
            self.out.get_mut(&ticket).into_iter().for_each(|o| o.permit_by = Some(now + wait / 2));
            return self.open_for(ticket);
        }
        let way = self.way();
        self.later(way, Happening::Reach(ticket));
    }

    /// Opens the connection that an attempt needs, or has it wait for leave.
    pub(super) fn open_for(&mut self, ticket: Ticket) {
        let now = self.now;
        let Some(out) = self.out.get(&ticket) else { return };
        let (proxy, member, ledger, by) = (out.proxy, out.member, out.ledger, out.permit_by.unwrap_or(now));
        let server = self.server(member);
        if let Some((opens, _)) = &mut self.hosts[proxy as usize].opens {
            if let Err(wait) = opens.take(EPOCH + now, server) {
                if now + wait > by {
                    return self.end_attempt(ticket, Status::NotSent);
                }
                return self.later(wait, Happening::Open(ticket));
            }
        }
        self.toll.opened(now, member, ledger);
        let second = self.second(now);
        self.counts.at(second).into_iter().for_each(|s| s.opened += 1);
        let way = 3 * self.way();
        self.later(way, Happening::Reach(ticket));
    }

    fn member(&mut self, server: ServerId) -> Option<usize> {
        for m in self.named.len()..self.world.members() {
            let server = self.server(m);
            self.named.insert(server, m);
        }
        self.named.get(&server).copied()
    }

    /// An attempt's last byte reaches its node.
    fn reach(&mut self, ticket: Ticket) {
        let Some(out) = self.out.get_mut(&ticket) else { return };
        let (proxy, request, member, fresh) = (out.proxy, out.request, out.member, out.fresh);
        match self.world.process(member) {
            Process::Up => {}
            Process::Down => {
                let back = if fresh { Back::Unreached } else { Back::Reset };
                let way = self.way();
                return self.later(way, Happening::Back(ticket, back));
            }
            Process::Silent if fresh => {
                return self.later(CONNECT_WITHIN, Happening::Back(ticket, Back::Unreached))
            }
            Process::Silent => return,
        }
        out.reached = true;
        let ledger = out.ledger;
        self.toll.out(member, ledger, true);
        if let Some((born, allowed)) = self.world.ramp(member, self.now) {
            self.ramp.arrived(self.now, member, born, allowed);
        }
        let Some(pending) = self.hosts[proxy as usize].pending.get(&request) else { return };
        let asking = &self.asking[pending.client as usize];
        let ask = Ask {
            ticket,
            member,
            request: mix(u64::from(proxy), request, 0xa5c),
            class: Some(pending.class),
            key: asking.arrival.key,
            write: self.day.load.classes[pending.class].write,
            repeat: Some(asking.arrival.number),
        };
        let mut effects = std::mem::take(&mut self.effects);
        self.world.arrive(self.now, ask, &mut effects);
        self.effects = effects;
    }

    /// An answer, or the end of the connection, has come back to the proxy.
    fn back(&mut self, ticket: Ticket, back: Back) {
        let Some(out) = self.out.get(&ticket).filter(|o| !o.dead) else { return };
        let (proxy, member, ledger) = (out.proxy, out.member, out.ledger);
        if !ledger && !matches!(back, Back::Unreached | Back::Reset) {
            if let Some(load) = self.world.load(self.now, member) {
                let server = self.server(member);
                self.feed(proxy, Event::LoadReport { server, load });
            }
        }
        match back {
            Back::Served { hit } => self.served(ticket, hit),
            Back::Miss => self.end_attempt(ticket, Status::Miss),
            Back::Error => self.end_attempt(ticket, Status::Error),
            Back::Full => self.end_attempt(ticket, Status::Rejected),
            Back::Unreached => self.end_attempt(ticket, Status::ConnectFailed),
            Back::Reset => self.end_attempt(ticket, Status::Reset),
        }
    }

    fn served(&mut self, ticket: Ticket, hit: bool) {
        let Some(out) = self.out.get(&ticket) else { return };
        let (proxy, id) = (out.proxy, out.request);
        let Some(pending) = self.hosts[proxy as usize].pending.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut pending.answered, true);
        let (place, number, arrived) = (pending.client, pending.try_number, pending.arrived);
        if first {
            let aim = nanos(self.day.load.classes[pending.class].aim);
            let late = self.now > self.asking[place as usize].due + aim;
            let cause = match (late, hit) {
                (true, _) => Cause::Late,
                (_, true) => Cause::Hit,
                _ => Cause::Fetched,
            };
            self.count(arrived, cause);
        }
        self.end_as(ticket, Status::Ok, Some(hit));
        if first {
            self.told(place, number, Fate::Served, None);
        }
    }

    fn end_attempt(&mut self, ticket: Ticket, status: Status) {
        self.end_as(ticket, status, (status == Status::Miss).then_some(false));
    }

    /// Takes an attempt off the books and tells the module.
    fn end_as(&mut self, ticket: Ticket, status: Status, hit: Option<bool>) {
        let Some(out) = self.out.remove(&ticket) else { return };
        if out.reached {
            self.toll.out(out.member, out.ledger, false);
        }
        let (proxy, id, number) = (out.proxy, out.request, out.number);
        let usable = matches!(status, Status::Ok | Status::Miss | Status::Error | Status::Rejected);
        if !usable {
            let mut effects = std::mem::take(&mut self.effects);
            self.world.quit(ticket, &mut effects);
            self.effects = effects;
        }
        if status == Status::Timeout {
            let place = if out.ledger { 2 } else { usize::from(self.world.is_cold(out.member, self.now)) };
            let second = self.second(self.now);
            self.counts.at(second).into_iter().for_each(|s| s.timed_out[place] += 1);
        }
        let now = self.now;
        let host = &mut self.hosts[proxy as usize];
        let Some(pending) = host.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number as usize) else { return };
        attempt.over = true;
        let (server, elapsed) = (attempt.server, now - attempt.sent);
        pending.last = Some((status, out.ledger));
        let last = pending.answered;
        if usable {
            host.idle.entry(server).or_default().push((now, !out.fresh));
        }
        let outcome = Outcome { id, attempt: number, server, status, elapsed, last, hit };
        self.feed(proxy, Event::Outcome(outcome));
        self.hosts[proxy as usize].forget(id);
    }

    fn call_off(&mut self, proxy: u32, id: u64, number: usize) {
        let pending = self.hosts[proxy as usize].pending.get(&id);
        let attempt = pending.and_then(|p| p.attempts.get(number)).filter(|a| !a.over);
        if let Some(ticket) = attempt.map(|a| a.ticket) {
            self.end_attempt(ticket, Status::Cancelled);
        }
    }

    /// The module's final answer to a request.
    fn answer(&mut self, proxy: u32, id: u64, fate: Fate, wait: Option<Duration>) {
        let Some(pending) = self.hosts[proxy as usize].pending.get_mut(&id) else { return };
        if std::mem::replace(&mut pending.answered, true) {
            self.counts.answered_twice += 1;
            return;
        }
        let (place, number, arrived) = (pending.client, pending.try_number, pending.arrived);
        let cause = cause(pending);
        self.count(arrived, cause);
        self.close(proxy, id);
        self.told(place, number, fate, wait);
    }

    fn count(&mut self, arrived: Nanos, cause: Cause) {
        let second = self.second(arrived);
        let at = super::CAUSES.iter().position(|c| *c == cause).unwrap_or(0);
        self.counts.at(second).into_iter().for_each(|s| s.causes[at] += 1);
    }

    /// Ends what is out for a request that is over.
    fn close(&mut self, proxy: u32, id: u64) {
        let attempts = self.hosts[proxy as usize].pending.get(&id).map_or(0, |p| p.attempts.len());
        (0..attempts).for_each(|number| self.call_off(proxy, id, number));
        self.hosts[proxy as usize].forget(id);
    }

    /// Nothing more is done for a request: its client has gone, or its time is over.
    fn leave(&mut self, proxy: u32, id: u64, cause: Cause) -> bool {
        let Some(pending) = self.hosts[proxy as usize].pending.get_mut(&id) else { return false };
        if std::mem::replace(&mut pending.answered, true) {
            return false;
        }
        let arrived = pending.arrived;
        self.count(arrived, cause);
        self.feed(proxy, Event::ClientLeft(id));
        self.close(proxy, id);
        true
    }

    fn guarded(&mut self, proxy: u32, id: u64) {
        let pending = self.hosts[proxy as usize].pending.get(&id);
        let Some((place, number)) = pending.map(|p| (p.client, p.try_number)) else { return };
        if self.leave(proxy, id, Cause::Unanswered) {
            self.told(place, number, Fate::Failed, None);
        }
    }

    /// A member's process has died: what is out there breaks, idle connections are gone.
    fn reset(&mut self, member: usize) {
        let server = self.server(member);
        self.hosts.iter_mut().for_each(|h| drop(h.idle.remove(&server)));
        let mut broken: Vec<Ticket> =
            self.out.iter().filter(|(_, o)| o.member == member && o.reached).map(|(t, _)| *t).collect();
        broken.sort_unstable();
        for ticket in broken {
            let way = self.way();
            self.later(way, Happening::Back(ticket, Back::Reset));
        }
    }

    /// A write has run. One that must not run twice counts for its client's request, whatever try it was.
    fn ran(&mut self, ticket: Ticket) {
        let Some(number) = self.writer(ticket) else { return };
        let runs = self.runs.entry(number).or_insert(0);
        *runs += 1;
        self.counts.ran_twice += u64::from(*runs == 2);
    }

    fn writer(&self, ticket: Ticket) -> Option<u64> {
        let out = self.out.get(&ticket)?;
        let pending = self.hosts[out.proxy as usize].pending.get(&out.request)?;
        let unsafe_class = self.day.load.classes[pending.class].effect == crate::day::Effect::Unsafe;
        unsafe_class.then(|| self.asking[pending.client as usize].arrival.number)
    }
}

fn pending_answered(host: &Host, id: u64) -> bool {
    host.pending.get(&id).is_none_or(|p| p.answered)
}

/// Why a request was given up, by how its last attempt ended.
fn cause(pending: &Pending) -> Cause {
    match pending.last {
        None => Cause::Unsent,
        Some((Status::Miss, _)) => Cause::LedgerShut,
        Some((Status::Timeout, false)) => Cause::NodeSilent,
        Some((Status::Timeout, true)) => Cause::LedgerSilent,
        Some((_, false)) => Cause::NodeBad,
        Some((_, true)) => Cause::LedgerBad,
    }
}
