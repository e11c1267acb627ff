//! Whether a peer that waits for an answer is still connected.
//!
//! A peer that has only ended its sending (a half-close) looks the same as one that has closed its
//! connection. A probe, which is a few bytes sent to the peer, tells them apart: if the connection is closed,
//! the peer's machine answers with a reset.

use super::Socket;
use aniseyoke_sockets::{is_transient_shortage, uninterrupted};
use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::Interest;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The interval between probes of a peer that may have gone.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// The interval between the first and the second probe with the first bytes of the answer; it doubles with
/// each further probe.
const STATUS_LINE_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// With this many unread bytes the receive window may be full, and the peer's end of sending may be queued
/// behind bytes that it could not send.
const FULL_WINDOW: usize = 32 << 10;
/// The interim answer that is sent as a probe.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// The first bytes of each answer to an HTTP/1.0 request.
pub(super) const STATUS_LINE_START: &[u8] = b"HTTP/1.0 ";
/// How many of these bytes are reserved for the probes right before a request is forwarded.
const RESERVED_PROBES: usize = 4;

/// How a peer that waits for an answer may be probed.
#[derive(Clone, Copy, PartialEq)]
pub enum Probe {
    /// An interim answer.
    InterimResponse,
    /// The first bytes of the answer, one by one: HTTP/1.0 has no interim answers.
    StatusLineByte,
}

/// Whether a peer that waits for an answer is still connected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// The peer has not ended its sending.
    Present,
    /// The peer has ended its sending; it was probed and no reset has come.
    Probed,
    /// The peer may have gone, and all bytes that it could be probed with have been sent.
    Unknown,
    /// The peer has closed its connection.
    Gone,
}

/// What the kernel knows of a peer, without a probe or a wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeekedPresence {
    /// The peer has not ended its sending.
    Present,
    /// The peer may have gone.
    Unknown,
    /// The peer has closed its connection.
    Gone,
}

/// The known state of a socket's peer.
#[derive(Default)]
pub(super) struct PeerState {
    /// When the peer was last probed.
    last_probe: Cell<Option<Instant>>,
    /// Whether the peer is known to have closed its connection.
    closed: Cell<bool>,
    closed_signal: Notify,
    /// How many bytes of [`STATUS_LINE_START`] were sent as probes that hyper has still to write.
    pub(super) probe_bytes: Cell<usize>,
}

impl PeerState {
    fn set_closed(&self) {
        self.closed.set(true);
        self.closed_signal.notify_one();
    }
}

/// A handle on a peer that waits for an answer, to check its presence.
#[derive(Clone)]
pub struct PeerHandle {
    /// A weak reference, so that attempts in flight for a peer that has gone don't keep its descriptor open.
    socket: Weak<Socket>,
    probe: Probe,
    probe_timeout: Duration,
}

impl PeerHandle {
    /// Creates a handle on a peer that is probed with `probe` and whose reaction is waited for at most
    /// `probe_timeout`.
    pub fn new(socket: &Rc<Socket>, probe: Probe, probe_timeout: Duration) -> Self {
        PeerHandle { socket: Rc::downgrade(socket), probe, probe_timeout }
    }

    /// Checks whether the peer is still connected, with a probe if needed.
    pub async fn presence(&self) -> Presence {
        match self.socket.upgrade() {
            None => Presence::Gone,
            Some(socket) => socket.presence(self.probe, self.probe_timeout).await,
        }
    }

    /// Returns what the kernel knows of the peer, without a probe or a wait.
    pub fn peek_presence(&self) -> PeekedPresence {
        self.socket.upgrade().map_or(PeekedPresence::Gone, |socket| socket.peek_presence())
    }
}

impl Socket {
    /// Checks whether the peer is still connected, right before a request is forwarded for it. A peer that
    /// may have gone is probed at most once per [`PROBE_INTERVAL`], and its reaction is waited for at most
    /// `probe_timeout`, so that a peer with many requests is not probed for each.
    ///
    /// A busy process runs its tasks in any order, so this asks the kernel, which knows of events that the
    /// runtime has not polled yet.
    pub async fn presence(&self, probe: Probe, probe_timeout: Duration) -> Presence {
        if self.peer.closed.get() {
            return Presence::Gone;
        }
        match self.peek_byte() {
            Err(e) if e.kind() == ErrorKind::WouldBlock || is_transient_shortage(&e) => {
                return Presence::Present
            }
            Ok(0) => {}
            // The end of sending is queued behind unread bytes; only the runtime's readiness reports it.
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
        let recently_probed = self.peer.last_probe.get().is_some_and(|at| at.elapsed() < PROBE_INTERVAL);
        let status_line_spent = self.peer.probe_bytes.get() >= STATUS_LINE_START.len();
        if !recently_probed
            && probe == Probe::StatusLineByte
            && status_line_spent
            && !self.write_blocked.get()
        {
            return Presence::Unknown;
        }
        if !recently_probed && !self.send_probe(probe) {
            self.peer.set_closed();
            return Presence::Gone;
        }
        // Lets the runtime poll for the reaction to the last probe.
        yield_now().await;
        let probe_timeout = if recently_probed { Duration::ZERO } else { probe_timeout };
        match timeout(probe_timeout, self.stream.ready(Interest::ERROR)).await {
            Ok(_) => {
                self.peer.set_closed();
                Presence::Gone
            }
            Err(_) => Presence::Probed,
        }
    }

    /// Returns what the kernel knows of the peer, without a probe or a wait.
    fn peek_presence(&self) -> PeekedPresence {
        if self.peer.closed.get() {
            return PeekedPresence::Gone;
        }
        match self.peek_byte() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => PeekedPresence::Present,
            // The kernel lacked memory and reported nothing about the peer.
            Err(e) if is_transient_shortage(&e) => PeekedPresence::Unknown,
            Ok(_) => PeekedPresence::Unknown,
            Err(_) => {
                self.peer.set_closed();
                PeekedPresence::Gone
            }
        }
    }

    /// Waits until the peer closes the connection while it waits for an answer. A peer that has ended its
    /// sending is probed repeatedly, as it may close the connection later without further notice.
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

    /// Waits until the peer has ended its sending and `interval` has passed since the last probe, and at most
    /// [`PROBE_INTERVAL`] if the runtime reports no end of sending.
    async fn probe_due(&self, interval: Duration) {
        let next = self.peer.last_probe.get().map_or_else(Instant::now, |at| at + interval);
        tokio::select! {
            _ = self.stream.ready(Interest::PRIORITY) => sleep_until(next).await,
            () = sleep(PROBE_INTERVAL) => {}
        }
    }

    /// Whether the runtime has seen the peer end its sending; the peer may still wait for an answer.
    async fn has_ended_sending(&self) -> bool {
        tokio::select! {
            biased;
            // Among the interests, only this one wakes for a closed read side but not for bytes, which may be
            // pipelined.
            _ = self.stream.ready(Interest::PRIORITY) => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Whether so many bytes are unread that the peer's end of sending may not have been received.
    fn window_may_be_full(&self) -> bool {
        self.unread_bytes() >= FULL_WINDOW
    }

    /// Sends a probe, which a waiting peer ignores; returns false if the connection no longer accepts bytes.
    fn send_probe(&self, probe: Probe) -> bool {
        self.peer.last_probe.set(Some(Instant::now()));
        if self.write_blocked.get() {
            // The bytes that are still to be written act as a probe.
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
