//! Tests of the engine with a transport whose attempts are ended by the test.

use super::*;
use crate::counters::RequestCounts;
use crate::limits::{ConcurrencyBounds, LimitsConfig, QueueConfig};
use crate::pending_response::PendingResponse;
use crate::transport::{AttemptHandle, AttemptOutcome, Job, ResponseWait};
use aniseyoke_decision::api::{server_id, Class, Entry, Request, ServerId, Settings, Status};
use std::future::Future;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

struct EmptyJob;

impl Job for EmptyJob {
    fn key(&self) -> &[u8] {
        b""
    }

    fn body_pending(&self) -> bool {
        false
    }

    fn on_body_received(&self, _callback: impl FnOnce(Instant) + 'static) {}

    async fn body_received(_job: Weak<Self>) -> Instant {
        Instant::now()
    }
}

/// Keeps what the engine sets for the answer to an attempt.
#[derive(Default)]
struct RecordingHandle {
    response_callback: Cell<Option<Box<dyn FnOnce()>>>,
    response_wait: Cell<Option<ResponseWait>>,
}

impl AttemptHandle for RecordingHandle {
    fn on_response_started(&self, callback: impl FnOnce() + 'static) {
        self.response_callback.set(Some(Box::new(callback)));
    }
    fn await_response(&self, wait: ResponseWait) {
        self.response_wait.set(Some(wait));
    }
    fn forbid_writing(&self) {}
    fn forbid_writing_after(&self, _since: Instant, _time: Duration) {}
    fn abort(&self) {}
}

/// Holds each attempt until the test ends it.
#[derive(Default)]
struct ManualTransport {
    /// Senders that end the started attempts, in order; `None` once used.
    attempts: RefCell<Vec<Option<oneshot::Sender<Status>>>>,
    handles: RefCell<Vec<Rc<RecordingHandle>>>,
}

impl ManualTransport {
    fn started(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// Reports the first byte of the answer to an attempt; returns how long the engine lets it take.
    fn start_response(&self, number: usize) -> Option<ResponseWait> {
        let handle = self.handles.borrow()[number].clone();
        if let Some(callback) = handle.response_callback.take() {
            callback();
        }
        handle.response_wait.get()
    }

    fn end(&self, number: usize, status: Status) {
        let end = self.attempts.borrow_mut()[number].take();
        // Sending fails if the attempt was cancelled.
        let _ = end.expect("ended once").send(status);
    }
}

impl Transport for ManualTransport {
    type Job = EmptyJob;
    type Reply = ();
    type Handle = RecordingHandle;

    fn update_endpoints(&self, _complete: bool, _endpoints: &[Endpoint]) {}
    fn set_banned(&self, _server: ServerId, _banned: bool) {}
    fn any_ready(&self) -> bool {
        true
    }
    fn close_idle(&self, _server: ServerId) {}
    fn attempt(
        self: Rc<Self>,
        _server: ServerId,
        _job: Rc<EmptyJob>,
        _since: Instant,
        _time_limit: Duration,
        handle: Rc<RecordingHandle>,
    ) -> impl Future<Output = AttemptOutcome<()>> + 'static {
        let (end, ended) = oneshot::channel();
        self.handles.borrow_mut().push(handle);
        self.attempts.borrow_mut().push(Some(end));
        async move {
            let status = ended.await.unwrap_or(Status::Cancelled);
            let answer = (status == Status::Ok).then_some(());
            AttemptOutcome { status, hit: None, load: None, answer }
        }
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: 1_000_000_000,
        deadline: 2_000_000_000,
        priority_weight: 1.0,
        ..Class::default()
    };
    Settings { classes: vec![class], proxies: 1, cancellation: true, ..Settings::default() }
}

fn config(settings: Settings, limits: Option<LimitsConfig>) -> Arc<EngineConfig> {
    Arc::new(EngineConfig { settings, limits, ..EngineConfig::default() })
}

/// Creates an engine with one node, which executes one attempt at a time and queues one more.
fn engine(transport: &Rc<ManualTransport>) -> Rc<Engine<ManualTransport>> {
    let node = ConcurrencyBounds { floor: 1.0, start: 1.0, ceiling: 1.0, ..ConcurrencyBounds::default() };
    let wait = Duration::from_millis(200);
    let queue = QueueConfig { max_length: 1, interval: wait, target: wait };
    let limits = LimitsConfig { node, queue, ..LimitsConfig::default() };
    let entry = Entry { server: server_id("a"), weight: 1.0, ..Entry::default() };
    let (discovery_requests, _) = mpsc::unbounded_channel();
    let config = config(settings(), Some(limits));
    Engine::new(config, 1, &[(entry, None)], transport.clone(), discovery_requests).expect("sound")
}

fn submit(engine: &Rc<Engine<ManualTransport>>, key: u64) -> PendingResponse<ManualTransport> {
    let request = Request { key: Some(key), remaining: 2_000_000_000, ..Request::default() };
    engine.submit(IncomingRequest { request, job: EmptyJob, received_at: Instant::now() })
}

fn queue_status(waiting: usize, rejected: u64) -> Option<QueueStatus> {
    Some(QueueStatus { waiting, rejected })
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce(Rc<ManualTransport>, Rc<Engine<ManualTransport>>) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let transport = Rc::<ManualTransport>::default();
    LocalSet::new().block_on(&runtime, async {
        let engine = engine(&transport);
        test(transport, engine).await;
    });
}

#[test]
fn an_attempt_without_capacity_waits_and_starts_when_capacity_is_freed() {
    run(|transport, engine| async move {
        let (mut first, mut second) = (submit(&engine, 1), submit(&engine, 2));
        until(|| transport.started() == 1).await;
        assert_eq!(engine.queue_status(), queue_status(1, 0));
        transport.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        until(|| transport.started() == 2).await;
        transport.end(1, Status::Ok);
        assert!(matches!(second.answer().await, Answer::Served(())));
        assert_eq!(engine.queue_status(), queue_status(0, 0));
    });
}

#[test]
fn an_attempt_is_rejected_at_once_and_never_sent_if_the_queue_is_full() {
    run(|transport, engine| async move {
        let (first, second, mut third) = (submit(&engine, 1), submit(&engine, 2), submit(&engine, 3));
        assert!(matches!(third.answer().await, Answer::Rejected(_)));
        assert_eq!((transport.started(), engine.queue_status()), (1, queue_status(1, 1)));
        drop((first, second));
    });
}

#[test]
fn an_attempt_that_waits_for_the_maximum_time_is_rejected_and_never_sent() {
    run(|transport, engine| async move {
        let (_first, mut second) = (submit(&engine, 1), submit(&engine, 2));
        assert!(matches!(second.answer().await, Answer::Rejected(_)));
        assert_eq!((transport.started(), engine.queue_status()), (1, queue_status(0, 1)));
    });
}

/// Guards against a queued attempt that is sent after its client has left.
#[test]
fn a_queued_attempt_is_never_sent_after_its_client_has_left() {
    run(|transport, engine| async move {
        let (mut first, second) = (submit(&engine, 1), submit(&engine, 2));
        drop(second);
        assert_eq!(engine.queue_status(), queue_status(0, 0));
        transport.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        let mut last = submit(&engine, 3);
        transport.end(1, Status::Ok);
        assert!(matches!(last.answer().await, Answer::Served(())));
        assert_eq!(transport.started(), 2, "the second was never sent");
    });
}

/// Guards against an answer that has begun and is waited for past its client's time, or for nobody.
#[test]
fn an_answer_that_has_begun_may_take_the_time_that_its_client_has_left() {
    run(|transport, engine| async move {
        let (mut first, mut second) = (submit(&engine, 1), submit(&engine, 2));
        tokio::time::sleep(Duration::from_millis(20)).await;
        let wait = transport.start_response(0).expect("a wait");
        let client_timeout = Duration::from_secs(2);
        assert!(wait.since.is_some_and(|since| since.elapsed() < client_timeout));
        assert!(wait.time_limit <= client_timeout - Duration::from_millis(20), "{wait:?}");
        assert!(wait.time_limit > client_timeout / 2, "{wait:?}");
        assert_eq!(wait.max_pause, None);
        transport.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        until(|| transport.started() == 2).await;
        transport.end(1, Status::Ok);
        assert!(matches!(second.answer().await, Answer::Served(())));
        assert_eq!(transport.start_response(1), None, "its request has ended");
    });
}

/// Guards against attempts that stay queued for ever when the limits are removed while they wait.
#[test]
fn queued_attempts_are_sent_when_limits_are_removed_and_each_request_gets_one_answer() {
    run(|transport, engine| async move {
        let (mut first, mut second) = (submit(&engine, 1), submit(&engine, 2));
        assert_eq!((transport.started(), engine.queue_status()), (1, queue_status(1, 0)));
        engine.reconfigure(config(settings(), None)).expect("sound");
        assert_eq!((transport.started(), engine.queue_status()), (2, None));
        transport.end(1, Status::Ok);
        assert!(matches!(second.answer().await, Answer::Served(())));
        // Limits are configured again while the first attempt is still in flight.
        engine.reconfigure(config(settings(), Some(LimitsConfig::default()))).expect("sound");
        transport.end(0, Status::Ok);
        assert!(matches!(first.answer().await, Answer::Served(())));
        assert_eq!(engine.queue_status(), queue_status(0, 0));
        let served = RequestCounts { served: 2, ..RequestCounts::default() };
        assert_eq!(engine.counters().take(), served);
        let bad = LimitsConfig { over_quota_fraction: 7.0, ..LimitsConfig::default() };
        let error = engine.reconfigure(config(settings(), Some(bad))).expect_err("fraction out of range");
        assert!(error.to_string().contains("over_share_part"), "{error}");
        let error =
            engine.reconfigure(config(Settings::default(), None)).expect_err("another number of classes");
        assert_eq!(error, ReconfigureError::Classes { old: 1, new: 0 });
        assert_eq!(engine.queue_status(), queue_status(0, 0), "the old configuration is still in force");
    });
}

/// Guards against a client that waits without an answer until its own timeout, because the decision module
/// gave none.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_the_decision_module_leaves_unanswered_times_out() {
    let (_sender, answer) = oneshot::channel();
    let (time_limit, job) = (Duration::from_millis(1), Rc::new(EmptyJob));
    let mut pending = PendingResponse::<ManualTransport> {
        id: 1,
        answer: Some(answer),
        time_limit,
        answer_by: Rc::default(),
        job: Rc::downgrade(&job),
        engine: Weak::<Engine<ManualTransport>>::new(),
    };
    assert!(matches!(pending.answer().await, Answer::TimedOut));
}
