//! Purges on sockets: a thin driver around [`Relay`], beside the service's own. What the relay wants sent goes through the
//! queues of the service's connections.

use crate::client::Upward;
use crate::frame::{encode, FromProxy, FromService, ToOperator, Took};
use crate::publisher::{Id, Outgoing};
use crate::service::{Service, WAITING};
use aniseyoke_fanout::relay::Report;
use aniseyoke_fanout::{Action, Keys, Log, Progress, Relay, Settings};
use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Purges whose time is measured at once, and of which times are kept.
const MEASURED: usize = 16 << 10;
/// What a frame takes beside its keys, in bytes, and each key.
const FRAME_HEAD: usize = 200;
const FRAME_KEY: usize = 11;
/// What changes within this time is looked at together.
const PAUSE: Duration = Duration::from_millis(1);
/// The name of one below is at most this long, in bytes.
const NAME_MOST: usize = 256;

/// How long purges took.
#[derive(Default)]
struct Times {
    /// The number of each that is on its way, and when it was numbered.
    on_way: VecDeque<(u64, u64)>,
    /// In microseconds.
    took: VecDeque<u64>,
    short: u64,
}

impl Times {
    fn numbered(&mut self, now: u64, after: u64, through: u64) {
        for number in after + 1..=through {
            if self.on_way.len() >= MEASURED {
                self.on_way.pop_front();
                self.short += 1;
            }
            self.on_way.push_back((number, now));
        }
    }

    fn done(&mut self, now: u64, through: u64, lacking: bool) {
        while let Some((_, at)) = self.on_way.pop_front_if(|(number, _)| *number <= through) {
            if lacking {
                self.short += 1;
                continue;
            }
            if self.took.len() >= MEASURED {
                self.took.pop_front();
            }
            self.took.push_back(now.saturating_sub(at) / 1000);
        }
    }

    fn took(&self) -> Took {
        let mut sorted: Vec<u64> = self.took.iter().copied().collect();
        sorted.sort_unstable();
        let at = |q: f64| {
            let n = (sorted.len() as f64 * q).ceil().max(1.0) as usize - 1;
            sorted.get(n).map_or(0.0, |us| *us as f64 / 1000.0)
        };
        Took { count: sorted.len() as u64, p50: at(0.5), p99: at(0.99), most: at(1.0), short: self.short }
    }
}

/// What is to go upstream: the newest report counts, and hello once.
#[derive(Default)]
struct Up {
    hello: bool,
    report: Option<Report>,
}

/// The purges of a service or a relay.
pub struct Purges {
    relay: RefCell<Relay>,
    times: RefCell<Times>,
    up: RefCell<Up>,
    changed: Notify,
    upward: Notify,
    say: fn(&str),
}

impl Purges {
    /// The root's, with its log.
    pub fn root(name: &str, settings: Settings, log: Log, say: fn(&str)) -> Self {
        Self::of(Relay::root(name, settings, log, 0), say)
    }

    /// A relay's, that keeps so many entries.
    pub fn relay(name: &str, settings: Settings, entries: usize, say: fn(&str)) -> Self {
        Self::of(Relay::new(name, settings, entries, 0), say)
    }

    fn of(relay: Relay, say: fn(&str)) -> Self {
        Purges {
            relay: RefCell::new(relay),
            times: RefCell::default(),
            up: RefCell::default(),
            changed: Notify::new(),
            upward: Notify::new(),
            say,
        }
    }

    /// What the relay knows.
    pub fn look<T>(&self, at: impl FnOnce(&Relay) -> T) -> T {
        at(&self.relay.borrow())
    }

    /// Something a proxy or a relay below said. True: it is to be let go.
    pub(crate) fn hear(&self, now: u64, id: Id, frame: &FromProxy) -> bool {
        let mut relay = self.relay.borrow_mut();
        match frame {
            FromProxy::Hello { purges: Some(at), instance, boot, frame_most, .. } => {
                let named = !instance.is_empty() && instance.len() <= NAME_MOST;
                let most = frame_most.saturating_sub(FRAME_HEAD) / FRAME_KEY;
                if !named || !relay.joined(now, id, (instance, *boot), *at, most) {
                    return true;
                }
            }
            FromProxy::Purged { epoch, through, lacking, names } => {
                let at = Progress { epoch: *epoch, through: *through };
                relay.purged(now, id, Report { at, lacking: *lacking, names: names.clone() });
            }
            _ => return false,
        }
        self.changed.notify_one();
        false
    }

    /// A connection has ended.
    pub(crate) fn gone(&self, now: u64, id: Id) {
        self.relay.borrow_mut().gone(now, id);
        self.changed.notify_one();
    }

    /// Numbers purges that are kept.
    pub(crate) fn number(&self, now: u64, keys: &[u64]) -> Progress {
        let mut relay = self.relay.borrow_mut();
        let after = relay.log().newest();
        let at = relay.number(now, keys);
        self.times.borrow_mut().numbered(now, after, at.through);
        self.changed.notify_one();
        at
    }

    /// The root begins a new epoch.
    pub(crate) fn begin_anew(&self, now: u64, epoch: u64) {
        self.relay.borrow_mut().begin_anew(now, epoch);
        self.times.borrow_mut().on_way.clear();
        self.changed.notify_one();
    }

    /// The connection upstream is there.
    pub(crate) fn connected(&self, now: u64) {
        self.relay.borrow_mut().connected(now);
        *self.up.borrow_mut() = Up::default();
        self.changed.notify_one();
    }

    /// A frame of purges has come from upstream.
    pub(crate) fn come(&self, now: u64, frame: FromService) {
        let mut actions = Vec::new();
        let mut relay = self.relay.borrow_mut();
        match frame {
            FromService::Purges { epoch, after, keys } => {
                relay.purges(now, epoch, after, &keys.0, &mut actions)
            }
            FromService::Flush { epoch, through } => relay.flush(now, Progress { epoch, through }),
            _ => return,
        }
        drop(relay);
        if actions.contains(&Action::Ask) {
            self.up.borrow_mut().hello = true;
            self.upward.notify_one();
        }
        self.changed.notify_one();
    }

    /// What is to go upstream next.
    pub(crate) async fn upward(&self) -> Upward {
        loop {
            if let Some(next) = self.next_upward() {
                return next;
            }
            self.upward.notified().await;
        }
    }

    fn next_upward(&self) -> Option<Upward> {
        let mut up = self.up.borrow_mut();
        if std::mem::take(&mut up.hello) {
            return Some(Upward::Hello);
        }
        let Report { at, lacking, names } = up.report.take()?;
        let (epoch, through) = (at.epoch, at.through);
        Some(Upward::Frame(FromProxy::Purged { epoch, through, lacking, names }))
    }

    /// How far purges have come, for operators.
    pub(crate) fn told(&self) -> ToOperator {
        let relay = self.relay.borrow();
        let Report { at, lacking, names } = relay.reported().clone();
        let unnamed = lacking.saturating_sub(names.len() as u64);
        let (newest, took) = (relay.log().newest(), self.times.borrow().took());
        ToOperator::Purges { epoch: at.epoch, newest, done: at.through, lacking: names, unnamed, took }
    }

    /// Lets time pass for the relay, and has done what it wants, for good.
    pub(crate) async fn drive(self: Rc<Self>, service: Rc<Service>) -> Infallible {
        loop {
            let now = service.now();
            let next = self.relay.borrow().next(now);
            let wait = Duration::from_nanos(next.saturating_sub(now));
            // A change may bring the next call nearer; it is asked for again then.
            if timeout(wait, self.changed.notified()).await.is_ok() {
                // Danger: without a pause each of thousands of acknowledgements would be one look at all members.
                sleep(PAUSE).await;
                let now = service.now();
                if self.relay.borrow().next(now) > now {
                    continue;
                }
            }
            let (now, mut actions) = (service.now(), Vec::new());
            self.relay.borrow_mut().tick(now, &mut actions);
            self.act(&service, now, actions);
        }
    }

    fn act(&self, service: &Service, now: u64, actions: Vec<Action>) {
        // Who could not be sent something gets nothing that comes after it.
        let mut full: FxHashSet<Id> = FxHashSet::default();
        for action in actions {
            match action {
                Action::Purges { to, epoch, after, keys } => {
                    let none = keys.is_empty();
                    let Ok(bytes) = encode(&FromService::Purges { epoch, after, keys: Keys(keys) }) else {
                        continue;
                    };
                    let bytes: Arc<[u8]> = bytes.into();
                    for id in to {
                        // Half of a queue is left to versions of the configuration.
                        let room = service.room(id) > WAITING / 2;
                        if full.contains(&id)
                            || room && service.send(Outgoing { to: id, bytes: bytes.clone(), last: false })
                        {
                            continue;
                        }
                        full.insert(id);
                        if !none {
                            self.relay.borrow_mut().untaken(now, id, after);
                        }
                    }
                }
                Action::Flush { to, at } => {
                    let frame = FromService::Flush { epoch: at.epoch, through: at.through };
                    let Ok(bytes) = encode(&frame) else { continue };
                    if !service.send(Outgoing { to, bytes: bytes.into(), last: false }) {
                        service.let_go(to);
                    }
                }
                Action::Ask => {
                    self.up.borrow_mut().hello = true;
                    self.upward.notify_one();
                }
                Action::Report(report) => {
                    self.times.borrow_mut().done(now, report.at.through, report.lacking > 0);
                    if report.at.epoch > 0 {
                        self.up.borrow_mut().report = Some(report);
                        self.upward.notify_one();
                    }
                }
                Action::LetGo(id, why) => {
                    (self.say)(&why);
                    service.let_go(id);
                }
                Action::Say(what) => (self.say)(&what),
            }
        }
    }
}
