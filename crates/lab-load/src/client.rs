//! Clients: one task per due request, which makes its attempts over pooled connections.

use super::arrivals::{self, Arrival, ClientBehavior};
use super::stats::{LoadStats, Outcome};
use super::LoadOptions;
use aniseyoke_lab_audit::{Observation, Recorder};
use aniseyoke_lab_day::clock::{nanos, Clock, Nanos, MILLISECOND};
use aniseyoke_lab_day::{Class, Day, Idempotency};
use aniseyoke_lab_site::http::{HttpConnection, ReadPace};
use aniseyoke_lab_site::LoadBalancer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3Default;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Delay after a failed connect before the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// A slow writer's pause between two parts of its request.
const SLOW_WRITER_PAUSE: Duration = Duration::from_millis(120);
/// Number of parts in which a slow writer writes its request.
const SLOW_WRITER_PARTS: usize = 4;
/// The pace of a slow reader.
const SLOW_READER: ReadPace = ReadPace(200, Duration::from_millis(15));
/// A slow reader waits this much longer for its response.
const SLOW_GRACE: Duration = Duration::from_secs(2);

struct Connection {
    http: HttpConnection,
    proxy: usize,
    used: bool,
}

/// All clients of a day.
pub struct Clients {
    pub day: Day,
    pub clock: Clock,
    /// Start of the load.
    from: Nanos,
    pub load_balancer: Arc<LoadBalancer>,
    pub recorder: Recorder,
    pub stats: RefCell<LoadStats>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    idle: RefCell<VecDeque<Connection>>,
    /// A client waits this much longer than the time left that it sends before it gives up.
    grace: Duration,
    /// Limits the number of connections in use.
    connection_slots: Semaphore,
}

/// The result of a client's attempt.
enum AttemptEnd {
    Answered { status: u16, retry_after: Option<Duration> },
    Unanswered,
    Broken,
    Unreachable,
    Left,
}

/// The result of one request over one connection.
struct Exchange {
    end: AttemptEnd,
    /// Whether the connection can be reused.
    reusable: bool,
    /// Whether the proxy closed the connection without sending a byte.
    closed_silently: bool,
}

impl Exchange {
    /// An exchange after which the connection can't be reused.
    fn new(end: AttemptEnd) -> Self {
        Exchange { end, reusable: false, closed_silently: false }
    }
}

impl Clients {
    /// Clients of a day that begins at `from`.
    pub fn new(
        day: &Day,
        clock: Clock,
        from: Nanos,
        load_balancer: Arc<LoadBalancer>,
        recorder: Recorder,
        options: LoadOptions,
    ) -> Rc<Self> {
        Rc::new(Clients {
            day: day.clone(),
            clock,
            from,
            load_balancer,
            recorder,
            stats: RefCell::new(LoadStats::new(day)),
            in_flight: Cell::new(0),
            idle: RefCell::default(),
            grace: options.grace,
            connection_slots: Semaphore::new(options.connections),
        })
    }

    /// Processes one request from its due time to its end, with all its attempts.
    pub async fn request(self: Rc<Self>, arrival: Arrival) {
        self.in_flight.set(self.in_flight.get() + 1);
        let class = &self.day.load.classes[arrival.class];
        let deadline = arrival.due + nanos(class.deadline);
        let mut outcome = Outcome::Unreachable;
        let (max_retries, _) = arrivals::attempt_limits(&self.day, &arrival, 0);
        for number in 0..=max_retries {
            let now = self.clock.now();
            let left = deadline.saturating_sub(now);
            if left < 5 * MILLISECOND {
                break;
            }
            let (_, patience) = arrivals::attempt_limits(&self.day, &arrival, left);
            self.stats.borrow_mut().attempts += 1;
            let ended = self.attempt(&arrival, class, number, patience).await;
            let wait;
            (outcome, wait) = self.classify(ended, class, &arrival, number);
            if matches!(outcome, Outcome::Served | Outcome::Late | Outcome::Left) {
                break;
            }
            // The client can't determine whether a request that is not idempotent was executed, so it does not retry it.
            let may_have_run = class.idempotency == Idempotency::NotIdempotent && outcome != Outcome::Refused;
            if may_have_run && outcome != Outcome::Unreachable {
                break;
            }
            sleep(wait).await;
        }
        let latency = self.clock.now().saturating_sub(arrival.due);
        let offset = arrival.due - self.from;
        self.stats.borrow_mut().add(arrival.class, arrival.tenant, outcome, offset, latency, class.weight);
        self.in_flight.set(self.in_flight.get() - 1);
    }

    /// The outcome of the request if this attempt is its last, and the delay before the next attempt.
    fn classify(
        &self,
        ended: AttemptEnd,
        class: &Class,
        arrival: &Arrival,
        number: u32,
    ) -> (Outcome, Duration) {
        let backoff = arrivals::retry_delay(&self.day, arrival, number, None);
        match ended {
            AttemptEnd::Answered { status: 200, .. } => {
                let latency = self.clock.now().saturating_sub(arrival.due);
                let outcome =
                    if latency <= nanos(class.latency_objective) { Outcome::Served } else { Outcome::Late };
                (outcome, Duration::ZERO)
            }
            AttemptEnd::Answered { status: 429 | 503, retry_after } => {
                let retry_after = retry_after.filter(|_| arrival.honors_retry_after);
                (Outcome::Refused, arrivals::retry_delay(&self.day, arrival, number, retry_after))
            }
            AttemptEnd::Answered { .. } => (Outcome::Failed, backoff),
            AttemptEnd::Unanswered => (Outcome::Unanswered, backoff),
            AttemptEnd::Broken => (Outcome::Broken, backoff),
            AttemptEnd::Unreachable => (Outcome::Unreachable, backoff),
            AttemptEnd::Left => (Outcome::Left, Duration::ZERO),
        }
    }

    async fn attempt(&self, arrival: &Arrival, class: &Class, number: u32, patience: Nanos) -> AttemptEnd {
        // The number of connections is limited; requests that wait for one still run against their deadlines.
        let Ok(_slot) = self.connection_slots.acquire().await else { return AttemptEnd::Unreachable };
        let sent = self.clock.now();
        let id = arrivals::request_id(&self.day, arrival, number);
        let text = self.request_text(arrival, class, id, patience);
        // The proxy may close a reused connection just as the request is sent; the client then resends it once on a
        // new connection.
        for resend in [false, true] {
            let Some(mut connection) = self.connection(resend, sent + patience).await else {
                return AttemptEnd::Unreachable;
            };
            if number == 0 && !resend {
                let lateness_us = self.clock.now().saturating_sub(arrival.due) / 1000;
                self.stats.borrow_mut().lateness.saturating_record(lateness_us.max(1));
            }
            let reused = connection.used;
            connection.used = true;
            let exchange = self.exchange(&mut connection, arrival, id, &text, patience, reused).await;
            if exchange.reusable {
                self.idle.borrow_mut().push_back(connection);
            }
            if exchange.closed_silently && reused && !resend {
                continue;
            }
            return exchange.end;
        }
        AttemptEnd::Broken
    }

    fn request_text(&self, arrival: &Arrival, class: &Class, id: u64, patience: Nanos) -> Vec<u8> {
        let method = if class.write { "PUT" } else { "GET" };
        let tenant = &self.day.load.tenants[arrival.tenant].name;
        let mut text = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Account: {tenant}\r\nX-Time-Left: {:.4}\r\n",
            class.name,
            arrival.key,
            patience as f64 / 1e9
        );
        if class.write {
            text += &format!(
                "Idempotency-Key: k{:x}\r\nContent-Length: {}\r\n\r\n",
                arrival.number, arrival.body
            );
            text.extend(std::iter::repeat_n('b', arrival.body));
        } else {
            text += "\r\n";
        }
        text.into_bytes()
    }

    /// An idle connection, or a new one; `None` if none is established by `end`.
    async fn connection(&self, new: bool, end: Nanos) -> Option<Connection> {
        if !new {
            while let Some(mut connection) = { self.idle.borrow_mut().pop_front() } {
                if !connection.http.has_unread_input() {
                    return Some(connection);
                }
            }
        }
        loop {
            let (proxy, addr) = self.load_balancer.pick();
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => {
                    return Some(Connection { http: HttpConnection::new(stream), proxy, used: false })
                }
                Ok(Err(_)) | Err(_) => sleep(RECONNECT_DELAY).await,
            }
            if self.clock.now() >= end {
                return None;
            }
        }
    }

    /// Sends one request over a connection and reads its response.
    async fn exchange(
        &self,
        connection: &mut Connection,
        arrival: &Arrival,
        request: u64,
        text: &[u8],
        patience: Nanos,
        reused: bool,
    ) -> Exchange {
        let (proxy, class, http) = (connection.proxy, arrival.class, &mut connection.http);
        let note = |observed| self.recorder.record(observed);
        note(Observation::Began { request, proxy });
        let written = write(http, arrival.behavior, text).await;
        if arrival.behavior == ClientBehavior::AbortsSending {
            return Exchange::new(AttemptEnd::Left);
        }
        if written.is_ok() {
            note(Observation::Asked { request, class, patience, reused });
        }
        if arrival.behavior == ClientBehavior::AbortsWaiting {
            sleep(arrivals::ABORT_DELAY).await;
            note(Observation::Left { request });
            return Exchange::new(AttemptEnd::Left);
        }
        let slow = arrival.behavior == ClientBehavior::SlowReader;
        http.read_pace = slow.then_some(SLOW_READER);
        let grace = if slow { self.grace + SLOW_GRACE } else { self.grace };
        let partial = Cell::new(false);
        let read = timeout(Duration::from_nanos(patience) + grace, read(http, &partial)).await;
        http.read_pace = None;
        match read {
            Err(_) => {
                note(Observation::GaveUp { request });
                Exchange::new(AttemptEnd::Unanswered)
            }
            Ok(Err(_)) => {
                // A request that was not completely written was not accepted.
                if written.is_ok() {
                    note(Observation::Broken { request, partial: partial.get() });
                }
                Exchange { closed_silently: !partial.get(), ..Exchange::new(AttemptEnd::Broken) }
            }
            Ok(Ok(Response { status, digest, retry_after, closes })) => {
                note(Observation::Answered { request, status, digest });
                if http.has_buffered_input() {
                    note(Observation::Surplus { request });
                }
                let reusable = !closes && !http.has_buffered_input() && written.is_ok();
                Exchange { reusable, ..Exchange::new(AttemptEnd::Answered { status, retry_after }) }
            }
        }
    }
}

async fn write(http: &mut HttpConnection, behavior: ClientBehavior, text: &[u8]) -> io::Result<()> {
    match behavior {
        ClientBehavior::AbortsSending => http.write(&text[..text.len() / 2]).await,
        ClientBehavior::SlowWriter => {
            for (n, part) in text.chunks(text.len().div_ceil(SLOW_WRITER_PARTS)).enumerate() {
                if n > 0 {
                    sleep(SLOW_WRITER_PAUSE).await;
                }
                http.write(part).await?;
            }
            Ok(())
        }
        _ => http.write(text).await,
    }
}

/// A complete response.
struct Response {
    status: u16,
    /// Digest of its body.
    digest: u64,
    retry_after: Option<Duration>,
    /// Whether the connection closes after it.
    closes: bool,
}

/// Reads a response; `partial` is set when a part of it has arrived.
async fn read(http: &mut HttpConnection, partial: &Cell<bool>) -> io::Result<Response> {
    let head = http.read_response().await;
    partial.set(http.has_buffered_input() || head.as_ref().is_ok_and(|head| head.is_some()));
    let head = head?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut digest = Xxh3Default::new();
    http.read_body(head.framing, |part| digest.update(part)).await?;
    let (status, digest) = (head.status, digest.digest());
    Ok(Response { status, digest, retry_after: head.retry_after, closes: head.closes })
}
