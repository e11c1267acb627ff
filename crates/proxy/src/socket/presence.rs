//! Whether a peer that waits for an answer is still there.
//!
//! A peer that has ended its sending may still wait, and looks the same as one that has closed its connection. Something sent
//! tells them apart, since the machine of one that is gone resets the connection: a probe.

use super::Socket;
use aniseyoke_sockets::{is_transient_shortage, uninterrupted};
use socket2::SockRef;
use std::cell::Cell;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::Interest;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A peer that may have gone is probed this often.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// A peer that is probed by the answer's first bytes is probed so long after the first time, and then after twice as long
/// each time.
const STATUS_LINE_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// With so many bytes unread a peer's window may be shut, and its end waits behind what it could not send.
const FULL_WINDOW: usize = 32 << 10;
/// An interim answer.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Each answer to HTTP/1.0 begins so.
pub(super) const STATUS_LINE_START: &[u8] = b"HTTP/1.0 ";
/// So many of these bytes are kept for the moments in which something is about to be sent on.
const RESERVED_PROBES: usize = 4;

/// What may be sent to a peer that waits for an answer, to learn whether it is there.
#[derive(Clone, Copy, PartialEq)]
pub enum Probe {
    /// An interim answer.
    InterimResponse,
    /// The first bytes of the answer, one by one: HTTP/1.0 knows no interim answers.
    StatusLineByte,
}

/// What is known of a peer that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// It has not ended its sending.
    Present,
    /// It may have gone, and was probed; nothing came of that.
    Probed,
    /// It may have gone, and there is nothing left to probe it with.
    Unknown,
    /// It has closed its connection.
    Gone,
}

/// What a look at the kernel alone tells of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Glance {
    /// It has not ended its sending.
    Present,
    /// It may have gone.
    Unknown,
    /// It has closed its connection.
    Gone,
}

/// What a socket knows of its peer.
#[derive(Default)]
pub(super) struct PeerState {
    /// When it was last probed.
    last_probe: Cell<Option<Instant>>,
    /// It has closed its connection.
    closed: Cell<bool>,
    closed_signal: Notify,
    /// So many bytes of [`STATUS_LINE_START`] have gone ahead of hyper's.
    pub(super) probe_bytes: Cell<usize>,
}

impl PeerState {
    fn set_closed(&self) {
        self.closed.set(true);
        self.closed_signal.notify_one();
    }
}

/// A peer that waits for an answer, as others may ask after it.
#[derive(Clone)]
pub struct Waiter {
    /// What is still out for a peer that has gone does not keep its descriptor.
    socket: Weak<Socket>,
    probe: Probe,
    probe_timeout: Duration,
}

impl Waiter {
    /// A peer that may be probed so, and whose reaction is waited for so long at most.
    pub fn new(socket: &Rc<Socket>, probe: Probe, probe_timeout: Duration) -> Self {
        Waiter { socket: Rc::downgrade(socket), probe, probe_timeout }
    }

    /// Whether it is there now.
    pub async fn presence(&self) -> Presence {
        match self.socket.upgrade() {
            None => Presence::Gone,
            Some(socket) => socket.presence(self.probe, self.probe_timeout).await,
        }
    }

    /// What can be told without a wait.
    pub fn glance(&self) -> Glance {
        self.socket.upgrade().map_or(Glance::Gone, |socket| socket.glance())
    }
}

impl Socket {
    /// Whether the peer is there now, when something is about to be sent on for it. One that may have gone is probed, and the
    /// reaction is waited for a little; not for each of many requests that it may have sent.
    ///
    /// A process that was busy does its work in any order, so that the kernel is asked: it knows what the runtime has not
    /// looked at.
    pub async fn presence(&self, probe: Probe, probe_timeout: Duration) -> Presence {
        if self.peer.closed.get() {
            return Presence::Gone;
        }
        match self.peek_byte() {
            Err(e) if e.kind() == ErrorKind::WouldBlock || is_transient_shortage(&e) => {
                return Presence::Present
            }
            Ok(0) => {}
            // Its end is behind what it has sent, which only the runtime tells.
            Ok(_) => {
                yield_now().await;
                if !self.has_ended_sending().await && !self.window_may_be_full() {
                    return Presence::Present;
                }
            }
            Err(_) => {
                self.peer.set_closed();
                return Presence::Gone;
            }
        }
        let probed_lately = self.peer.last_probe.get().is_some_and(|at| at.elapsed() < PROBE_INTERVAL);
        let status_line_spent = self.peer.probe_bytes.get() >= STATUS_LINE_START.len();
        if !probed_lately && probe == Probe::StatusLineByte && status_line_spent && !self.write_blocked.get()
        {
            return Presence::Unknown;
        }
        if !probed_lately && !self.send_probe(probe) {
            self.peer.set_closed();
            return Presence::Gone;
        }
        // What came of the last probe may not have been looked at.
        yield_now().await;
        let probe_timeout = if probed_lately { Duration::ZERO } else { probe_timeout };
        match timeout(probe_timeout, self.stream.ready(Interest::ERROR)).await {
            Ok(_) => {
                self.peer.set_closed();
                Presence::Gone
            }
            Err(_) => Presence::Probed,
        }
    }

    /// What the kernel tells of the peer, with no wait and nothing sent.
    fn glance(&self) -> Glance {
        if self.peer.closed.get() {
            return Glance::Gone;
        }
        match self.peek_byte() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Glance::Present,
            // Without memory the kernel tells nothing of the peer.
            Err(e) if is_transient_shortage(&e) => Glance::Unknown,
            Ok(_) => Glance::Unknown,
            Err(_) => {
                self.peer.set_closed();
                Glance::Gone
            }
        }
    }

    /// Returns once the peer has closed the connection while an answer is due to it. A peer that may have gone is probed again
    /// and again, as one that still waits may go without a further sign.
    pub async fn closed_by_peer(&self, probe: Probe) {
        let mut interval = match probe {
            Probe::InterimResponse => PROBE_INTERVAL,
            Probe::StatusLineByte => STATUS_LINE_PROBE_INTERVAL,
        };
        while !self.peer.closed.get() {
            let status_line_spent = self.peer.probe_bytes.get() + RESERVED_PROBES >= STATUS_LINE_START.len();
            let spent = probe == Probe::StatusLineByte && status_line_spent;
            tokio::select! {
                biased;
                _ = self.stream.ready(Interest::ERROR) => return,
                () = self.peer.closed_signal.notified() => return,
                () = self.probe_due(interval), if !spent => {}
            }
            if !self.has_ended_sending().await && !self.window_may_be_full() {
                continue;
            }
            let probed_before = self.peer.last_probe.get().is_some();
            if !self.send_probe(probe) {
                return;
            }
            if probed_before && probe == Probe::StatusLineByte {
                interval *= 2;
            }
        }
    }

    /// Returns once the peer's end has come and has not been probed for so long, and every now and then.
    async fn probe_due(&self, interval: Duration) {
        let next = self.peer.last_probe.get().map_or_else(Instant::now, |at| at + interval);
        tokio::select! {
            _ = self.stream.ready(Interest::PRIORITY) => sleep_until(next).await,
            () = sleep(PROBE_INTERVAL) => {}
        }
    }

    /// Whether the peer has ended its sending, as far as the runtime has heard; it may still wait for an answer.
    async fn has_ended_sending(&self) -> bool {
        tokio::select! {
            biased;
            // Of all interests this one wakes for a closed read side and not for bytes, which may be pipelined.
            _ = self.stream.ready(Interest::PRIORITY) => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Whether so much waits unread that the peer's end may not get through to here.
    fn window_may_be_full(&self) -> bool {
        let mut part = [MaybeUninit::uninit(); FULL_WINDOW];
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut part)).is_ok_and(|n| n == FULL_WINDOW)
    }

    /// Sends what means nothing to a peer that waits; false if it can't be sent any more.
    fn send_probe(&self, probe: Probe) -> bool {
        self.peer.last_probe.set(Some(Instant::now()));
        if self.write_blocked.get() {
            // What is still to be sent probes as well.
            return true;
        }
        let sent = self.peer.probe_bytes.get();
        let text = match probe {
            Probe::InterimResponse => INTERIM_RESPONSE,
            Probe::StatusLineByte => &STATUS_LINE_START[sent..STATUS_LINE_START.len().min(sent + 1)],
        };
        match uninterrupted(|| self.stream.try_write(text)) {
            Ok(n) if probe == Probe::StatusLineByte => self.peer.probe_bytes.set(sent + n),
            Err(e) => return e.kind() == ErrorKind::WouldBlock || is_transient_shortage(&e),
            Ok(_) => {}
        }
        true
    }
}
