//! The engine over a fleet whose nodes answer when the test says so.

use super::*;
use crate::limits::{Bounds, QueueRules, Rules};
use std::future::Future;
use tokio::task::LocalSet;

struct Parcel;
#[derive(Default)]
struct Nothing;

impl Job for Parcel {
    fn key(&self) -> &[u8] {
        b""
    }

    fn comes(&self) -> bool {
        false
    }

    fn on_taken(&self, _then: impl FnOnce() + 'static) {}

    async fn taken(_job: Weak<Self>) {}
}

impl Tether for Nothing {
    fn bar(&self) {}
    fn cut(&self) {}
    fn only_within(&self, _time: Duration) {}
}

/// What was started, in order, with the end that each attempt waits for.
#[derive(Default)]
struct Held {
    started: RefCell<Vec<Option<oneshot::Sender<Status>>>>,
}

impl Held {
    fn started(&self) -> usize {
        self.started.borrow().len()
    }

    fn end(&self, number: usize, status: Status) {
        let end = self.started.borrow_mut()[number].take();
        // An attempt that was called off waits no more.
        let _ = end.expect("ended once").send(status);
    }
}

impl Fleet for Held {
    type Job = Parcel;
    type Reply = ();
    type Tether = Nothing;

    fn update(&self, _whole: bool, _entries: &[(Entry, Option<SocketAddr>)]) {}
    fn ban(&self, _server: ServerId, _out: bool) {}
    fn any_ready(&self) -> bool {
        true
    }
    fn close_idle(&self, _server: ServerId) {}
    fn attempt(
        self: Rc<Self>,
        _server: ServerId,
        _job: Rc<Parcel>,
        _wait: Duration,
        _tether: Rc<Nothing>,
    ) -> impl Future<Output = Ended<()>> + 'static {
        let (end, ended) = oneshot::channel();
        self.started.borrow_mut().push(Some(end));
        async move {
            let status = ended.await.unwrap_or(Status::Cancelled);
            Ended { status, hit: None, load: None, answer: (status == Status::Ok).then_some(()) }
        }
    }
}

fn plan(settings: Settings, limits: Option<Rules>) -> Arc<Plan> {
    Arc::new(Plan { settings, limits, ..Plan::default() })
}

/// An engine over one node with room for one attempt and a queue for one more.
fn engine(fleet: &Rc<Held>) -> Rc<Engine<Held>> {
    let one = Bounds { floor: 1.0, start: 1.0, ceiling: 1.0, ..Bounds::default() };
    let queue =
        QueueRules { most: 1, interval: Duration::from_millis(200), target: Duration::from_millis(200) };
    let rules = Rules { node: one, queue, ..Rules::default() };
    let class = Class {
        latency_objective: 1_000_000_000,
        deadline: 2_000_000_000,
        priority_weight: 1.0,
        ..Class::default()
    };
    let settings = Settings { classes: vec![class], proxies: 1, cancellation: true, ..Settings::default() };
    let entry = Entry { server: server_id("a"), weight: 1.0, ..Entry::default() };
    let (watch, _) = mpsc::unbounded_channel();
    let plan = plan(settings, Some(rules));
    Engine::new(plan, 1, &[(entry, None)], fleet.clone(), watch).expect("sound")
}

fn ask(engine: &Rc<Engine<Held>>, key: u64) -> Ticket<Held> {
    let request = Request { key: Some(key), remaining: 2_000_000_000, ..Request::default() };
    engine.arrive(Asked { request, job: Parcel })
}

async fn until(what: impl Fn() -> bool) {
    while !what() {
        tokio::task::yield_now().await;
    }
}

fn play<F: Future<Output = ()>>(body: impl FnOnce(Rc<Held>, Rc<Engine<Held>>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let fleet = Rc::<Held>::default();
    LocalSet::new().block_on(&runtime, async {
        let engine = engine(&fleet);
        body(fleet, engine).await;
    });
}

#[test]
fn what_finds_no_room_waits_and_starts_when_there_is() {
    play(|fleet, engine| async move {
        let (mut first, mut second) = (ask(&engine, 1), ask(&engine, 2));
        until(|| fleet.started() == 1).await;
        assert_eq!(engine.queued(), Some((1, 0)));
        fleet.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        until(|| fleet.started() == 2).await;
        fleet.end(1, Status::Ok);
        assert!(matches!(second.answer().await, Answer::Served(())));
        assert_eq!(engine.queued(), Some((0, 0)));
    });
}

#[test]
fn what_finds_no_place_in_the_queue_is_refused_at_once_and_never_sent() {
    play(|fleet, engine| async move {
        let (first, second, mut third) = (ask(&engine, 1), ask(&engine, 2), ask(&engine, 3));
        assert!(matches!(third.answer().await, Answer::Refused(_)));
        assert_eq!((fleet.started(), engine.queued()), (1, Some((1, 1))));
        drop((first, second));
    });
}

#[test]
fn who_waits_too_long_is_refused_and_never_sent() {
    play(|fleet, engine| async move {
        let (_first, mut second) = (ask(&engine, 1), ask(&engine, 2));
        assert!(matches!(second.answer().await, Answer::Refused(_)));
        assert_eq!((fleet.started(), engine.queued()), (1, Some((0, 1))));
    });
}

/// Danger: a request whose client has gone would be sent for nobody once its turn comes.
#[test]
fn a_client_that_leaves_the_queue_leaves_nothing_to_be_sent() {
    play(|fleet, engine| async move {
        let (mut first, second) = (ask(&engine, 1), ask(&engine, 2));
        drop(second);
        assert_eq!(engine.queued(), Some((0, 0)));
        fleet.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        let mut last = ask(&engine, 3);
        fleet.end(1, Status::Ok);
        assert!(matches!(last.answer().await, Answer::Served(())));
        assert_eq!(fleet.started(), 2, "the second was never sent");
    });
}

/// Danger: what waits when limits go would wait for a turn that nobody gives.
#[test]
fn what_waits_is_sent_when_limits_go_and_each_has_one_answer() {
    play(|fleet, engine| async move {
        let (mut first, mut second) = (ask(&engine, 1), ask(&engine, 2));
        assert_eq!((fleet.started(), engine.queued()), (1, Some((1, 0))));
        let class = Class {
            latency_objective: 1_000_000_000,
            deadline: 2_000_000_000,
            priority_weight: 1.0,
            ..Class::default()
        };
        let settings =
            Settings { classes: vec![class], proxies: 1, cancellation: true, ..Settings::default() };
        engine.retune(plan(settings.clone(), None)).expect("sound");
        assert_eq!((fleet.started(), engine.queued()), (2, None));
        fleet.end(1, Status::Ok);
        assert!(matches!(second.answer().await, Answer::Served(())));
        // They come back while the first is still out.
        engine.retune(plan(settings.clone(), Some(Rules::default()))).expect("sound");
        fleet.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        assert_eq!((engine.queued(), engine.tally().take()), (Some((0, 0)), [2, 0, 0]));
        let bad = Rules { over_share_part: 7.0, ..Rules::default() };
        assert!(engine.retune(plan(settings, Some(bad))).is_err_and(|why| why.contains("over_share_part")));
        assert!(engine.retune(plan(Settings::default(), None)).is_err(), "classes are the platform's matter");
        assert_eq!(engine.queued(), Some((0, 0)), "nothing has changed");
    });
}

/// Danger: a request that nobody answers is lost once its client stops waiting.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_the_module_leaves_unanswered_is_failed() {
    let (_held, answered) = oneshot::channel();
    let (guard, job) = (Duration::from_millis(1), Rc::new(Parcel));
    let mut ticket = Ticket::<Held> {
        id: 1,
        answered: Some(answered),
        guard,
        job: Rc::downgrade(&job),
        engine: Weak::new(),
    };
    assert!(matches!(ticket.answer().await, Answer::Overdue));
}
