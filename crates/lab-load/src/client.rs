//! Clients: one task for each request that is due, its tries, and the connections that it goes over.

use super::plan::{self, Arrival, Manner};
use super::tally::{Outcome, Tally};
use aniseyoke_lab_audit::{Recorder, Seen};
use aniseyoke_lab_day::clock::{nanos, Clock, Nanos, MS};
use aniseyoke_lab_day::{Class, Day};
use aniseyoke_lab_site::wire::{Pace, Wire};
use aniseyoke_lab_site::Front;
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

/// A client waits so much longer than it says before it gives up: what the way takes, and what this machine is late.
const GRACE: Duration = Duration::from_millis(150);
/// A connection that is not up by then is given up.
const CONNECT_WITHIN: Duration = Duration::from_millis(1000);
/// The wait before the next try where none connected.
const CONNECT_AGAIN: Duration = Duration::from_millis(20);
/// A slow writer's pauses, and into how many parts it cuts its request.
const WRITE_PAUSE: Duration = Duration::from_millis(120);
const WRITE_PARTS: usize = 4;
/// A slow reader reads so much at a time.
const SLOW_READER: Pace = Pace(200, Duration::from_millis(15));
/// A client that is slow itself waits so much longer.
const SLOW_GRACE: Duration = Duration::from_secs(2);

struct Connection {
    wire: Wire,
    proxy: usize,
    used: bool,
}

/// All clients.
pub struct Clients {
    pub day: Day,
    pub clock: Clock,
    /// When the load began.
    from: Nanos,
    pub front: Arc<Front>,
    pub recorder: Recorder,
    pub tally: RefCell<Tally>,
    /// Requests that are out.
    pub out: Cell<usize>,
    idle: RefCell<VecDeque<Connection>>,
    /// Places for connections.
    places: Semaphore,
}

/// What came of one try.
enum Ended {
    Answered { status: u16, retry_after: Option<Duration> },
    Unanswered,
    Broken,
    Unreachable,
    Left,
}

impl Clients {
    /// Clients of a day that begins at `from` and that reach the proxies through `front`, over at most so many connections at once.
    pub fn new(
        day: &Day,
        clock: Clock,
        from: Nanos,
        front: Arc<Front>,
        recorder: Recorder,
        connections: usize,
    ) -> Rc<Self> {
        Rc::new(Clients {
            day: day.clone(),
            clock,
            from,
            front,
            recorder,
            tally: RefCell::new(Tally::new(day)),
            out: Cell::new(0),
            idle: RefCell::default(),
            places: Semaphore::new(connections),
        })
    }

    /// One request from its due time to its end, tries and all.
    pub async fn request(self: Rc<Self>, arrival: Arrival) {
        self.out.set(self.out.get() + 1);
        let class = &self.day.load.classes[arrival.class];
        let give_up = arrival.due + nanos(class.give_up);
        let mut outcome = Outcome::Unreachable;
        let (most, _) = plan::patience(&self.day, &arrival, 0);
        for number in 0..=most {
            let now = self.clock.now();
            let left = give_up.saturating_sub(now);
            if left < 5 * MS {
                break;
            }
            let (_, patience) = plan::patience(&self.day, &arrival, left);
            self.tally.borrow_mut().tries += 1;
            let ended = self.try_once(&arrival, class, number, patience).await;
            let wait;
            (outcome, wait) = self.judge(ended, class, &arrival, number);
            if matches!(outcome, Outcome::Served | Outcome::Late | Outcome::Left) {
                break;
            }
            // The client does not know whether what must not run twice has run: it asks somebody instead.
            let unsafe_to_repeat =
                class.effect == aniseyoke_lab_day::Effect::Unsafe && outcome != Outcome::Refused;
            if unsafe_to_repeat && outcome != Outcome::Unreachable {
                break;
            }
            sleep(wait).await;
        }
        let latency = self.clock.now().saturating_sub(arrival.due);
        let since = arrival.due - self.from;
        self.tally.borrow_mut().add(arrival.class, arrival.tenant, outcome, since, latency, class.worth);
        self.out.set(self.out.get() - 1);
    }

    /// What an end means for the request, and how long the client waits before its next try.
    fn judge(&self, ended: Ended, class: &Class, arrival: &Arrival, number: u32) -> (Outcome, Duration) {
        let backoff = plan::again(&self.day, arrival, number, None);
        match ended {
            Ended::Answered { status: 200, .. } => {
                let latency = self.clock.now().saturating_sub(arrival.due);
                let outcome = if latency <= nanos(class.aim) { Outcome::Served } else { Outcome::Late };
                (outcome, Duration::ZERO)
            }
            Ended::Answered { status: 429 | 503, retry_after } => {
                let told = retry_after.filter(|_| arrival.heeds);
                (Outcome::Refused, plan::again(&self.day, arrival, number, told))
            }
            Ended::Answered { .. } => (Outcome::Failed, backoff),
            Ended::Unanswered => (Outcome::Unanswered, backoff),
            Ended::Broken => (Outcome::Broken, backoff),
            Ended::Unreachable => (Outcome::Unreachable, backoff),
            Ended::Left => (Outcome::Left, Duration::ZERO),
        }
    }

    async fn try_once(&self, arrival: &Arrival, class: &Class, number: u32, patience: Nanos) -> Ended {
        // Danger: places are few; who holds one is out, and the rest wait for it with their time running.
        let Ok(_place) = self.places.acquire().await else { return Ended::Unreachable };
        let sent = self.clock.now();
        let id = plan::request_id(&self.day, arrival, number);
        let text = self.text(arrival, class, id, patience);
        // A close that crosses a request on a connection used before: the client sends it once more on a new one.
        for again in [false, true] {
            let Some(mut connection) = self.connection(again, sent + patience).await else {
                return Ended::Unreachable;
            };
            if number == 0 && !again {
                let late = self.clock.now().saturating_sub(arrival.due) / 1000;
                self.tally.borrow_mut().lateness.saturating_record(late.max(1));
            }
            let reused = connection.used;
            connection.used = true;
            let (ended, keep, silent) =
                self.exchange(&mut connection, arrival, id, &text, patience, reused).await;
            if keep {
                self.idle.borrow_mut().push_back(connection);
            }
            if silent && reused && !again {
                continue;
            }
            return ended;
        }
        Ended::Broken
    }

    fn text(&self, arrival: &Arrival, class: &Class, id: u64, patience: Nanos) -> Vec<u8> {
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

    /// An idle connection, or a new one, until `end`.
    async fn connection(&self, new: bool, end: Nanos) -> Option<Connection> {
        if !new {
            while let Some(mut connection) = { self.idle.borrow_mut().pop_front() } {
                if !connection.wire.stirred() {
                    return Some(connection);
                }
            }
        }
        loop {
            let (proxy, addr) = self.front.deal();
            match timeout(CONNECT_WITHIN, TcpStream::connect(addr)).await {
                Ok(Ok(stream)) => return Some(Connection { wire: Wire::new(stream), proxy, used: false }),
                Ok(Err(_)) | Err(_) => sleep(CONNECT_AGAIN).await,
            }
            if self.clock.now() >= end {
                return None;
            }
        }
    }

    /// One exchange: what came of it, whether the connection is of further use, and whether the proxy closed it
    /// without a byte.
    async fn exchange(
        &self,
        connection: &mut Connection,
        arrival: &Arrival,
        request: u64,
        text: &[u8],
        patience: Nanos,
        reused: bool,
    ) -> (Ended, bool, bool) {
        let (proxy, class, wire) = (connection.proxy, arrival.class, &mut connection.wire);
        let note = |seen| self.recorder.note(seen);
        note(Seen::Began { request, proxy });
        let written = write(wire, arrival.manner, text).await;
        if arrival.manner == Manner::LeavesAsking {
            return (Ended::Left, false, false);
        }
        if written.is_ok() {
            note(Seen::Asked { request, class, patience, reused });
        }
        if arrival.manner == Manner::LeavesWaiting {
            sleep(plan::LEAVES_AFTER).await;
            note(Seen::Left { request });
            return (Ended::Left, false, false);
        }
        let slow = arrival.manner == Manner::ReadsSlowly;
        wire.pace = slow.then_some(SLOW_READER);
        let grace = if slow { GRACE + SLOW_GRACE } else { GRACE };
        let partial = Cell::new(false);
        let read = timeout(Duration::from_nanos(patience) + grace, read(wire, &partial)).await;
        wire.pace = None;
        match read {
            Err(_) => {
                note(Seen::GaveUp { request });
                (Ended::Unanswered, false, false)
            }
            Ok(Err(_)) => {
                // A request whose last byte was not written was not taken.
                if written.is_ok() {
                    note(Seen::Broken { request, partial: partial.get() });
                }
                (Ended::Broken, false, !partial.get())
            }
            Ok(Ok((status, digest, retry_after, last))) => {
                note(Seen::Answered { request, status, digest });
                if wire.surplus() {
                    note(Seen::Surplus { request });
                }
                let keep = !last && !wire.surplus() && written.is_ok();
                (Ended::Answered { status, retry_after }, keep, false)
            }
        }
    }
}

async fn write(wire: &mut Wire, manner: Manner, text: &[u8]) -> io::Result<()> {
    match manner {
        Manner::LeavesAsking => wire.write(&text[..text.len() / 2]).await,
        Manner::WritesSlowly => {
            for (n, part) in text.chunks(text.len().div_ceil(WRITE_PARTS)).enumerate() {
                if n > 0 {
                    sleep(WRITE_PAUSE).await;
                }
                wire.write(part).await?;
            }
            Ok(())
        }
        _ => wire.write(text).await,
    }
}

async fn read(wire: &mut Wire, partial: &Cell<bool>) -> io::Result<(u16, u64, Option<Duration>, bool)> {
    let answered = wire.answer().await;
    partial.set(wire.surplus() || answered.as_ref().is_ok_and(|a| a.is_some()));
    let answered = answered?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut digest = Xxh3Default::new();
    wire.body(answered.framing, |part| digest.update(part)).await?;
    Ok((answered.status, digest.digest(), answered.retry_after, answered.last))
}
