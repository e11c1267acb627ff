//! The sole owner of the decision module and of all requests, attempts and timers: events of the network go in,
//! the module's actions come out. Each request gets one final answer.

use crate::clock::{margin, Clock};
use crate::fleet::{Ended, Fleet, Job, Tether};
use crate::limits::{self, Limits, Verdict};
use crate::listed::Listed;
use crate::listing::Listing;
use crate::plan::Plan;
use crate::tally::{Fate, Tally};
use crate::ticket::{Answer, Ticket};
use aniseyoke_decision::api::*;
use aniseyoke_decision::Balancer;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// What a client asks for, in the module's terms.
pub struct Asked<J> {
    /// Its id is given on arrival.
    pub request: Request,
    /// What attempts carry.
    pub job: J,
}

struct Attempt<T> {
    server: ServerId,
    /// When it was sent, or the last byte of its request came.
    sent: Nanos,
    /// When it is over at the latest, counted from then.
    wait: Nanos,
    at: At<T>,
    /// It is sure that it never ran.
    void: bool,
}

/// Where an attempt is.
enum At<T> {
    /// It waits for room at its node; nothing of it was sent.
    Queue,
    /// At its node, since when.
    Node {
        since: Nanos,
        tether: Rc<T>,
        task: AbortHandle,
    },
    Over,
}

impl<T> Attempt<T> {
    fn over(&self) -> bool {
        matches!(self.at, At::Over)
    }
}

struct Pending<F: Fleet> {
    class: usize,
    tenant: Option<usize>,
    job: Rc<F::Job>,
    /// What is out for it may be called off, by the settings that it came under.
    cancel: bool,
    /// How long nodes know a repeat, where they have to.
    window: Option<Nanos>,
    /// What the client waits from its last byte on.
    patience: Nanos,
    /// None while that byte has not come.
    deadline: Option<Nanos>,
    /// Until the final answer is given.
    answer: Option<oneshot::Sender<Answer<F::Reply>>>,
    attempts: Vec<Attempt<F::Tether>>,
}

struct Core<F: Fleet> {
    balancer: Balancer,
    next: RequestId,
    pending: FxHashMap<RequestId, Pending<F>>,
    /// None where the module alone bounds what is out.
    limits: Option<Limits>,
    /// What is in force.
    plan: Arc<Plan>,
    /// The list as discovery tells it.
    listing: Listing,
}

/// The owner of the module, of requests, attempts and timers, over a node side.
pub struct Engine<F: Fleet> {
    clock: Clock,
    core: RefCell<Core<F>>,
    fleet: Rc<F>,
    watch: mpsc::UnboundedSender<()>,
    listed: RefCell<Listed>,
    /// Requests served, refused and failed.
    answered: Arc<Tally>,
    /// Discovery has told a list since the start.
    told: Cell<bool>,
    myself: Weak<Engine<F>>,
}

impl<F: Fleet> Engine<F> {
    /// Starts the module with the list as it was `known` last; a message on `watch` asks for the list to be followed.
    ///
    /// # Errors
    /// If the plan's limits contradict themselves.
    pub fn new(
        plan: Arc<Plan>,
        seed: u64,
        known: &[(Entry, Option<SocketAddr>)],
        fleet: Rc<F>,
        watch: mpsc::UnboundedSender<()>,
    ) -> Result<Rc<Self>, limits::Fault> {
        let rules = plan.limits.clone();
        let limits = rules.map(|rules| Limits::new(rules, &plan.settings)).transpose()?;
        let engine = Rc::new_cyclic(|myself| Engine {
            clock: Clock::new(),
            core: RefCell::new(Core {
                balancer: Balancer::new(plan.settings.clone(), seed),
                next: 1,
                pending: FxHashMap::default(),
                limits,
                plan,
                listing: Listing::default(),
            }),
            fleet,
            watch,
            listed: RefCell::default(),
            answered: Arc::default(),
            told: Cell::new(false),
            myself: myself.clone(),
        });
        engine.list(ListKind::Cached, known);
        Ok(engine)
    }

    /// Whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        self.fleet.any_ready()
    }

    /// Whether discovery itself has told of the list, which may have been old before.
    pub fn told(&self) -> bool {
        self.told.get()
    }

    /// Counts what becomes of requests; other threads may look.
    pub fn tally(&self) -> Arc<Tally> {
        self.answered.clone()
    }

    /// What waits for room at nodes, and how many attempts were turned away there; none where nothing is limited.
    pub fn queued(&self) -> Option<(usize, u64)> {
        self.core.borrow().limits.as_ref().map(|l| (l.waiting(), l.turned()))
    }

    /// A request has come; its answer comes from the ticket.
    pub fn arrive(&self, asked: Asked<F::Job>) -> Ticket<F> {
        let Asked { mut request, job } = asked;
        let core = &mut *self.core.borrow_mut();
        let now = self.clock.now();
        let (answer, answered) = oneshot::channel();
        let id = core.next;
        core.next += 1;
        let patience = request.remaining;
        request.id = id;
        // Danger: where routes and pools were asked at two times, a version could come between them.
        let table = &core.plan.routing.table;
        if !table.is_empty() {
            request.pool = table.pool(Some(&request.class), request.tenant.as_ref(), job.key());
        }
        let margin = margin(patience);
        request.remaining = patience - margin;
        let (patience_left, job) = (request.remaining, Rc::new(job));
        let comes = job.comes();
        if comes {
            let myself = self.myself.clone();
            job.on_taken(move || myself.upgrade().iter().for_each(|engine| engine.taken(id)));
        }
        let class = core.plan.settings.classes.get(request.class as usize);
        let pending = Pending {
            class: request.class as usize,
            tenant: request.tenant.map(|t| t as usize),
            job: job.clone(),
            cancel: core.plan.settings.cancellation,
            window: class.filter(|c| c.idempotency == Idempotency::WithKey).map(|c| c.dedup_window),
            patience: patience_left,
            deadline: (!comes).then(|| now.saturating_add(patience_left)),
            answer: Some(answer),
            attempts: Vec::new(),
        };
        core.pending.insert(id, pending);
        self.feed(core, Event::Arrival(request));
        // With half of the margin left a request that the module has left unanswered is failed.
        let guard = Duration::from_nanos(patience - margin / 2);
        Ticket { id, answered: Some(answered), guard, job: Rc::downgrade(&job), engine: self.myself.clone() }
    }

    /// The last byte of a request has come that arrived before it.
    fn taken(&self, id: RequestId) {
        let core = &mut *self.core.borrow_mut();
        let now = self.clock.now();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        pending.deadline = Some(now.saturating_add(pending.patience));
        for attempt in pending.attempts.iter_mut().filter(|a| !a.over()) {
            attempt.sent = now;
            if let At::Node { since, .. } = &mut attempt.at {
                *since = now;
            }
        }
        self.feed(core, Event::BodyReceived(id));
    }

    /// The client has gone, or has been told that it is too late: nothing more is done for the request.
    pub(crate) fn leave(&self, id: RequestId) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        if pending.answer.take().is_some() {
            self.feed(core, Event::ClientLeft(id));
            let mut events = VecDeque::new();
            self.close(core, id, &mut events);
            self.feed_all(core, events);
        }
    }

    /// An attempt has ended by itself.
    fn ended(&self, id: RequestId, number: usize, ended: Ended<F::Reply>) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        if !pending.attempts.get(number).is_some_and(|a| matches!(a.at, At::Node { .. })) {
            return;
        }
        let (server, mut first) = (pending.attempts[number].server, false);
        let mut events: VecDeque<Event> =
            ended.load.map(|load| Event::LoadReport { server, load }).into_iter().collect();
        if let Some(response) = ended.answer {
            if let Some(answer) = pending.answer.take() {
                let _ = answer.send(Answer::Served(response));
                self.answered.count(Fate::Served);
                first = true;
            }
        }
        self.settle(core, id, number, ended.status, ended.hit, &mut events);
        if first {
            self.bar(core, id, &mut events);
        }
        self.feed_all(core, events);
    }

    /// An attempt has waited for room as long as it may.
    fn waited(&self, id: RequestId, number: usize) {
        let core = &mut *self.core.borrow_mut();
        let now = self.clock.now();
        if core.limits.as_mut().is_some_and(|l| l.overdue(now, (id, number))) {
            let mut events = VecDeque::new();
            self.settle(core, id, number, Status::Rejected, None, &mut events);
            self.feed_all(core, events);
        }
    }

    /// Gives an event to the module and does what it says, and so on with what follows at once from that.
    fn feed(&self, core: &mut Core<F>, event: Event) {
        self.feed_all(core, VecDeque::from([event]));
    }

    fn feed_all(&self, core: &mut Core<F>, mut events: VecDeque<Event>) {
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            core.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(core, action, &mut events);
            }
        }
    }

    fn act(&self, core: &mut Core<F>, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, server, timeout } => self.send(core, id, server, timeout, events),
            Action::Cancel { id, attempt } => self.call_off(core, id, attempt as usize, events),
            Action::Reject { id, retry_after } => {
                self.answer(core, id, Answer::Refused(Duration::from_nanos(retry_after)), events);
            }
            Action::Fail { id } => self.answer(core, id, Answer::Failed, events),
            Action::Timer { token, delay } => {
                self.later(delay, move |engine| {
                    engine.feed(&mut engine.core.borrow_mut(), Event::Timer(token))
                });
            }
            Action::CloseIdle(server) => self.fleet.close_idle(server),
            // The receiver is gone only when the proxy ends.
            Action::Subscribe => drop(self.watch.send(())),
        }
    }

    /// Calls back after a time, if the engine still is.
    fn later(&self, delay: Nanos, then: impl FnOnce(&Self) + 'static) {
        let myself = self.myself.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_nanos(delay)).await;
            if let Some(engine) = myself.upgrade() {
                then(&engine);
            }
        });
    }

    /// Sends an attempt, or lets it wait where its node has no room.
    fn send(
        &self,
        core: &mut Core<F>,
        id: RequestId,
        server: ServerId,
        timeout: Nanos,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.clock.now();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let number = pending.attempts.len();
        let left = pending.deadline.map_or(pending.patience, |deadline| deadline.saturating_sub(now));
        let wait = if timeout == 0 { left } else { timeout.min(left) };
        pending.attempts.push(Attempt { server, sent: now, wait, at: At::Queue, void: false });
        if pending.answer.is_none() || left == 0 {
            return self.settle(core, id, number, Status::NotSent, None, events);
        }
        let Some(limits) = core.limits.as_mut() else { return self.start(core, id, number) };
        let (class, tenant, deadline) = (pending.class, pending.tenant, now.saturating_add(wait));
        let mut steps = Vec::new();
        let wanted = limits::Wanted { attempt: (id, number), server, class, tenant, deadline };
        match limits.wanted(now, wanted, &mut steps) {
            Verdict::Go => self.start(core, id, number),
            Verdict::Wait(wait) => self.later(wait, move |engine| engine.waited(id, number)),
            Verdict::Turned => self.settle(core, id, number, Status::Rejected, None, events),
        }
        self.follow(core, steps, events);
    }

    /// Starts an attempt that has room.
    fn start(&self, core: &mut Core<F>, id: RequestId, number: usize) {
        let now = self.clock.now();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let job = pending.job.clone();
        // Danger: between the decision on a repeat and its writing lie a queue and a connection that comes up late.
        let ran = pending.attempts.iter().take(number).filter(|a| !a.void).map(|a| a.sent).min();
        let known =
            ran.zip(pending.window).map(|(sent, window)| sent.saturating_add(window).saturating_sub(now));
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        let wait = Duration::from_nanos(attempt.wait.saturating_sub(now.saturating_sub(attempt.sent)).max(1));
        let (tether, myself) = (Rc::new(F::Tether::default()), self.myself.clone());
        known.into_iter().for_each(|known| tether.only_within(Duration::from_nanos(known)));
        let trying = self.fleet.clone().attempt(attempt.server, job, wait, tether.clone());
        let task = tokio::task::spawn_local(async move {
            let ended = trying.await;
            if let Some(engine) = myself.upgrade() {
                engine.ended(id, number, ended);
            }
        });
        attempt.at = At::Node { since: now, tether, task: task.abort_handle() };
    }

    /// Does what follows for attempts that wait.
    fn follow(&self, core: &mut Core<F>, steps: Vec<limits::Step>, events: &mut VecDeque<Event>) {
        for step in steps {
            match step {
                limits::Step::Start((id, number)) => self.start(core, id, number),
                limits::Step::Turn((id, number)) => {
                    self.settle(core, id, number, Status::Rejected, None, events)
                }
            }
        }
    }

    /// Takes an attempt off the books: the module is to hear how it ended, and who waits behind it may go.
    fn settle(
        &self,
        core: &mut Core<F>,
        id: RequestId,
        number: usize,
        status: Status,
        hit: Option<bool>,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.clock.now();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        let at = std::mem::replace(&mut attempt.at, At::Over);
        attempt.void = status.never_ran();
        let (server, elapsed) = (attempt.server, now.saturating_sub(attempt.sent));
        let (class, last) = (pending.class, pending.answer.is_none());
        let outcome = Outcome { id, attempt: number as u32, server, status, elapsed, last, hit };
        events.push_back(Event::Outcome(outcome));
        if let (At::Node { since, .. }, Some(limits)) = (at, core.limits.as_mut()) {
            let (elapsed, mut steps) = (now.saturating_sub(since), Vec::new());
            let done = limits::Done { server, class, status, elapsed, hit };
            let room = limits.done(now, done, &mut steps);
            events.extend(room.map(|room| Event::ConcurrencyLimit { server, limit: room }));
            self.follow(core, steps, events);
        }
        Self::forget(core, id);
    }

    /// Ends an attempt that is out, and its connection with it, or one that waits.
    fn call_off(&self, core: &mut Core<F>, id: RequestId, number: usize, events: &mut VecDeque<Event>) {
        let now = self.clock.now();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        let status = match &attempt.at {
            At::Node { tether, task, .. } => {
                tether.cut();
                task.abort();
                Status::Cancelled
            }
            At::Queue => {
                core.limits.as_mut().map(|l| l.leave(now, (id, number)));
                Status::NotSent
            }
            At::Over => return,
        };
        self.settle(core, id, number, status, None, events);
    }

    /// Gives the final answer, if none was given.
    fn answer(
        &self,
        core: &mut Core<F>,
        id: RequestId,
        answer: Answer<F::Reply>,
        events: &mut VecDeque<Event>,
    ) {
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(sender) = pending.answer.take() else { return };
        let refused = matches!(answer, Answer::Refused(_));
        self.answered.count(if refused { Fate::Refused } else { Fate::Failed });
        // A client that has just gone needs none.
        let _ = sender.send(answer);
        self.close(core, id, events);
    }

    /// Ends what is out for a request that is over, where that may be ended. Danger: it would go on for nobody.
    fn close(&self, core: &mut Core<F>, id: RequestId, events: &mut VecDeque<Event>) {
        self.bar(core, id, events);
        let attempts = core.pending.get(&id).filter(|p| p.cancel).map_or(0, |p| p.attempts.len());
        (0..attempts).for_each(|number| self.call_off(core, id, number, events));
        Self::forget(core, id);
    }

    /// After the final answer nothing more is written for a request, nor is anything sent that waits.
    fn bar(&self, core: &mut Core<F>, id: RequestId, events: &mut VecDeque<Event>) {
        let Some(pending) = core.pending.get(&id) else { return };
        let mut queued = Vec::new();
        for (number, attempt) in pending.attempts.iter().enumerate() {
            match &attempt.at {
                At::Node { tether, .. } => tether.bar(),
                At::Queue => queued.push(number),
                At::Over => {}
            }
        }
        queued.into_iter().for_each(|number| self.call_off(core, id, number, events));
    }

    /// Drops a request that has had its answer and has no attempt out.
    fn forget(core: &mut Core<F>, id: RequestId) {
        let over = |p: &Pending<F>| p.answer.is_none() && p.attempts.iter().all(Attempt::over);
        if core.pending.get(&id).is_some_and(over) {
            core.pending.remove(&id);
        }
    }
}

mod news;
#[cfg(test)]
mod tests;
