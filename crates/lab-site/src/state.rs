//! The state that the tasks of a site share on its single thread: the model, pending replies and counters.

use crate::listener::MemberListener;
use aniseyoke_lab_audit::{Observation, Recorder};
use aniseyoke_lab_day::clock::{Clock, Nanos};
use aniseyoke_lab_day::{Day, Member};
use aniseyoke_lab_world::connection_load::ConnectionLoad;
use aniseyoke_lab_world::{
    Attempt, AttemptId, Delivery, Effect, Endpoint, EndpointState, KeySpace, ProcessState, Reply, SiteModel,
};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};

/// Counters that invalidate the connections of one member: those opened at a lower count are reset or become
/// half-open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionEpochs {
    /// Connections opened at a lower count are reset.
    pub resets: u64,
    /// Connections opened at a lower count are half-open: requests are read and never answered.
    pub silences: u64,
}

/// The address of one member and the state that its connections watch.
pub struct MemberHandle {
    pub addr: SocketAddr,
    pub epochs: watch::Sender<ConnectionEpochs>,
    pub process: watch::Sender<ProcessState>,
}

/// Starts the task that accepts the connections of one member.
pub type SpawnMember = fn(Rc<SiteState>, usize, MemberListener, Rc<MemberHandle>);

/// The state shared by the tasks of a site.
pub struct SiteState {
    pub day: Day,
    pub clock: Clock,
    pub key_space: KeySpace,
    pub recorder: Recorder,
    pub model: RefCell<SiteModel>,
    pub members: RefCell<Vec<Rc<MemberHandle>>>,
    spawn_member: SpawnMember,
    waiting: RefCell<HashMap<AttemptId, PendingReply>>,
    last_attempt_id: Cell<AttemptId>,
    wake: Notify,
    /// Current version of the endpoint list.
    pub list_version: watch::Sender<u64>,
    /// Whether discovery is up.
    pub discovery: watch::Sender<bool>,
    /// Queue of proxies that must be restarted.
    proxy_restarts: mpsc::Sender<usize>,
    /// Options of the site in addition to its day.
    pub options: super::SiteOptions,
    /// Calls at discovery in each second since the site opened.
    pub list_calls: RefCell<Vec<u64>>,
    /// Rejected calls at discovery in each second.
    pub list_rejected: RefCell<Vec<u64>>,
    /// Counts of connections and attempts at members.
    pub connection_load: RefCell<ConnectionLoad>,
    /// Delay in handling the model's events, in microseconds.
    pub lateness: RefCell<Histogram<u64>>,
    /// Fetches and writes that reached the origin.
    pub origin_requests: Cell<u64>,
    /// Reads served from a node's cache.
    pub hits: Cell<u64>,
    /// Cache misses of nodes.
    pub misses: Cell<u64>,
}

struct PendingReply {
    request: u64,
    answer: oneshot::Sender<(Reply, Delivery)>,
}

/// Number of seconds for which calls at discovery are counted.
const MAX_LIST_CALL_SECONDS: usize = 86_400;

/// Maximum number of members of a site over a day.
const MAX_MEMBERS: usize = 4096;

impl SiteState {
    /// Creates the state of a site that is not open yet.
    pub fn new(
        day: &Day,
        clock: Clock,
        recorder: Recorder,
        proxy_restarts: mpsc::Sender<usize>,
        options: super::SiteOptions,
        spawn_member: SpawnMember,
    ) -> Rc<Self> {
        let key_space = KeySpace::new(day);
        let model = SiteModel::new(day, &key_space);
        let list_version = watch::Sender::new(model.endpoint_list().version());
        Rc::new(SiteState {
            day: day.clone(),
            clock,
            key_space,
            recorder,
            model: RefCell::new(model),
            members: RefCell::default(),
            spawn_member,
            waiting: RefCell::default(),
            last_attempt_id: Cell::new(0),
            wake: Notify::new(),
            list_version,
            discovery: watch::Sender::new(true),
            proxy_restarts,
            connection_load: RefCell::new(ConnectionLoad::new(options.connection_limits)),
            options,
            list_calls: RefCell::default(),
            list_rejected: RefCell::default(),
            lateness: RefCell::new(
                Histogram::new_with_bounds(1, 60_000_000, 2).expect("valid histogram bounds"),
            ),
            origin_requests: Cell::new(0),
            hits: Cell::new(0),
            misses: Cell::new(0),
        })
    }

    /// Opens the listeners of all members.
    ///
    /// # Errors
    /// If no address is available.
    pub fn open_members(self: &Rc<Self>) -> io::Result<()> {
        let members = self.model.borrow().members();
        (0..members).try_for_each(|m| self.open_member(m))
    }

    fn open_member(self: &Rc<Self>, member: usize) -> io::Result<()> {
        let listener = MemberListener::new()?;
        let process = watch::Sender::new(ProcessState::Up);
        let member_handle = Rc::new(MemberHandle {
            addr: listener.addr,
            epochs: watch::Sender::new(ConnectionEpochs::default()),
            process,
        });
        self.members.borrow_mut().push(member_handle.clone());
        (self.spawn_member)(self.clone(), member, listener, member_handle);
        Ok(())
    }

    /// Starts the day.
    pub fn begin(self: &Rc<Self>) {
        self.drive_model(|model, now, _| model.begin(now));
    }

    /// An endpoint list entry in the form that discovery serves; `None` for a member without an address.
    pub fn member(&self, endpoint: Endpoint) -> Option<Member> {
        let model = self.model.borrow();
        let (id, kind) = model.name(endpoint.member);
        Some(Member {
            id: id.to_owned(),
            addr: self.members.borrow().get(endpoint.member)?.addr,
            kind: kind.to_owned(),
            state: endpoint.state.name(),
            started_ms: endpoint.started.map_or(0, |at| self.clock.unix_ms(at)),
        })
    }

    /// Counts a call at discovery; returns false if it exceeds the limit of this second.
    pub fn admit_list_call(&self) -> bool {
        let second = (self.clock.now() / aniseyoke_lab_day::clock::SECOND) as usize;
        let count = |counts: &RefCell<Vec<u64>>| {
            let mut counts = counts.borrow_mut();
            if second < MAX_LIST_CALL_SECONDS {
                if counts.len() <= second {
                    counts.resize(second + 1, 0);
                }
                counts[second] += 1;
            }
            counts.get(second).copied().unwrap_or(0)
        };
        let calls = count(&self.list_calls);
        let accepted = self.options.max_list_calls_per_second.is_none_or(|max| calls <= max);
        if !accepted {
            count(&self.list_rejected);
        }
        accepted
    }

    /// Allocates an id for a new attempt.
    pub fn next_attempt_id(&self) -> AttemptId {
        self.last_attempt_id.set(self.last_attempt_id.get() + 1);
        self.last_attempt_id.get()
    }

    /// Passes an attempt to the model; the receiver gets the reply, if the model ever emits one.
    pub fn arrive(self: &Rc<Self>, attempt: Attempt) -> oneshot::Receiver<(Reply, Delivery)> {
        let (answer, answered) = oneshot::channel();
        self.waiting
            .borrow_mut()
            .insert(attempt.attempt_id, PendingReply { request: attempt.request, answer });
        self.drive_model(|model, now, out| model.arrive(now, attempt, out));
        answered
    }

    /// Cancels an attempt whose connection has ended.
    pub fn cancel(self: &Rc<Self>, attempt_id: AttemptId) {
        self.drive_model(|model, _, out| model.cancel(attempt_id, out));
        self.waiting.borrow_mut().remove(&attempt_id);
    }

    fn drive_model(self: &Rc<Self>, action: impl FnOnce(&mut SiteModel, Nanos, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        let due_earlier = {
            let mut model = self.model.borrow_mut();
            let before = model.next_due();
            action(&mut model, self.clock.now(), &mut effects);
            model.next_due() < before || before.is_none()
        };
        if due_earlier {
            self.wake.notify_one();
        }
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    /// Handles the model's scheduled events when they are due, while the site is open.
    pub async fn drive(self: Rc<Self>) {
        loop {
            let due = self.model.borrow().next_due();
            let now = self.clock.now();
            match due {
                Some(due) if due <= now => {
                    let late = (now - due) / 1000;
                    self.lateness.borrow_mut().saturating_record(late.max(1));
                    self.drive_model(|model, now, out| model.tick(now, out));
                }
                Some(due) => {
                    let due = tokio::time::Instant::from_std(self.clock.instant(due));
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => {}
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    /// Flushes recorded evidence to the auditor every 50 ms.
    pub async fn flush_evidence(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            self.recorder.flush();
        }
    }

    fn apply_effect(self: &Rc<Self>, effect: Effect) {
        let note = |observed| self.recorder.record(observed);
        let members = |member: usize| self.members.borrow().get(member).cloned();
        match effect {
            Effect::Reply { attempt_id, reply, delivery } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&attempt_id) {
                    // Sending fails if the connection has just ended; the reply is then not needed.
                    let _ = waiting.answer.send((reply, delivery));
                }
            }
            Effect::Executed(attempt_id) => {
                if let Some(waiting) = self.waiting.borrow().get(&attempt_id) {
                    note(Observation::Ran { request: waiting.request, attempt: attempt_id });
                }
            }
            Effect::Cancelled(attempt_id) => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&attempt_id) {
                    let (request, attempt) = (waiting.request, attempt_id);
                    let (status, digest, never_ran, sound) = (0, 0, true, false);
                    note(Observation::Made { request, attempt, status, digest, never_ran, sound });
                }
            }
            Effect::Joined(member) => {
                let opened = self.members.borrow().len() < MAX_MEMBERS && self.open_member(member).is_ok();
                if !opened {
                    tracing::error!("failed to open a listener for member {member}");
                }
            }
            Effect::ProcessState(member, process) => {
                let Some(member_handle) = members(member) else { return };
                member_handle.process.send_replace(process);
                member_handle.epochs.send_modify(|epochs| match process {
                    ProcessState::Down => epochs.resets += 1,
                    ProcessState::Silent => epochs.silences += 1,
                    ProcessState::Up => {}
                });
            }
            Effect::HalfOpen(member) => {
                if let Some(member_handle) = members(member) {
                    member_handle.epochs.send_modify(|epochs| epochs.silences += 1);
                }
            }
            Effect::NodeOverloaded(member) => note(Observation::Fell { member }),
            Effect::OriginOverloaded(cold_part) => note(Observation::Stopped { cold_part }),
            Effect::Listed(endpoint) => {
                note(Observation::Listed { member: endpoint.member, standing: endpoint.state });
                let version = self.model.borrow().endpoint_list().version();
                self.list_version.send_replace(version);
            }
            Effect::Discovery(up) => drop(self.discovery.send_replace(up)),
            // Sending fails if the trial has ended.
            Effect::RestartProxy(proxy) => drop(self.proxy_restarts.try_send(proxy)),
        }
    }

    /// Records the entries of which an answer of discovery notifies a proxy; a member missing from a full list counts
    /// as gone.
    pub fn record_notified(&self, proxy: usize, endpoints: &[Endpoint], full: bool) {
        for endpoint in endpoints {
            self.recorder.record(Observation::Told {
                proxy,
                member: endpoint.member,
                standing: endpoint.state,
            });
        }
        if full {
            let members = self.model.borrow().members();
            let missing = (0..members).filter(|m| endpoints.iter().all(|l| l.member != *m));
            for member in missing {
                self.recorder.record(Observation::Told { proxy, member, standing: EndpointState::Gone });
            }
        }
    }
}
