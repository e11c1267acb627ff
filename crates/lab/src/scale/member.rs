//! A hollow member: the real deciding parts of a proxy's control side on a real socket, without clients and without a
//! store. It notes when each purge and each version was in force, and counts what went over its socket.

use super::now;
use super::plan::Role;
use super::tally::Tally;
use crate::clock::mix;
use aniseyoke_control::follower::{Action, Identity, Times};
use aniseyoke_control::frame::{decode, encode, ProxyMessage, ServiceMessage, PROTOCOL};
use aniseyoke_control::Follower;
use aniseyoke_fanout::{Member, MemberAction, Progress};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{interval, timeout, MissedTickBehavior};

const TICK: Duration = Duration::from_millis(250);
const CONNECT_WITHIN: Duration = Duration::from_secs(3);
/// Its relay takes a frame within this time.
const TAKES_WITHIN: Duration = Duration::from_secs(5);
/// Longer frames it does not read, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes read at once.
pub const PART: usize = 64 << 10;
/// So long after it was told that it has everything it may claim to be fresh.
const LEASE: u64 = 5_000_000_000;
/// What a TCP segment carries at most on an Ethernet of today, in bytes, and its header of IP and TCP with timestamps.
pub const SEGMENT: u64 = 1448;
/// See [`SEGMENT`].
pub const HEADER: u64 = 52;

/// Who a hollow member is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// A hollow proxy or a hollow node.
    pub node: bool,
    /// Region, zone and site.
    pub labels: BTreeMap<String, String>,
    /// Where it is told, in the order in which it tries.
    pub services: Vec<SocketAddr>,
    /// The list service that it asks, if it is a proxy.
    pub list: Option<SocketAddr>,
    /// Which of how many proxies it is.
    pub place: (u32, u32),
}

impl Spec {
    /// Its role.
    pub fn role(&self) -> Role {
        if self.node {
            Role::Node
        } else {
            Role::Proxy
        }
    }
}

/// What went over a member's socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes that came, frames' heads included.
    pub bytes_in: u64,
    /// Bytes that went.
    pub bytes_out: u64,
    /// Frames that came.
    pub frames_in: u64,
    /// Frames that went.
    pub frames_out: u64,
    /// Segments of TCP, both ways, if each frame goes out in segments of its own; bare acknowledgements not counted.
    pub segments: u64,
}

impl Traffic {
    /// Counts a message.
    pub fn frame(&mut self, length: usize, out: bool) {
        let (bytes, frames) = match out {
            true => (&mut self.bytes_out, &mut self.frames_out),
            false => (&mut self.bytes_in, &mut self.frames_in),
        };
        *bytes += length as u64;
        *frames += 1;
        self.segments += (length as u64).div_ceil(SEGMENT);
    }

    /// Takes other traffic in.
    pub fn add(&mut self, other: &Traffic) {
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.frames_in += other.frames_in;
        self.frames_out += other.frames_out;
        self.segments += other.segments;
    }

    /// Payload, both ways, in bytes.
    pub fn payload(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// With an estimate of the headers of IP and TCP.
    pub fn with_headers(&self) -> u64 {
        self.payload() + self.segments * HEADER
    }
}

/// What the members of one process share.
pub struct Shared {
    /// All of them.
    pub members: Vec<Spec>,
    /// The seed of the run.
    pub seed: u64,
    /// Whether they take purges.
    pub purging: bool,
    /// When each purge was in force.
    pub purges: RefCell<Tally>,
    /// When each version was in force, at proxies.
    pub versions: RefCell<Tally>,
    /// The number of each member among the proxies.
    pub proxy: Vec<Option<usize>>,
    /// What went over each one's socket.
    pub traffic: Vec<Cell<Traffic>>,
    /// What went over its connection to the list service.
    pub lists: Vec<Cell<Traffic>>,
    /// Whether each is connected, and has been told where the log of purges stands.
    pub up: Vec<Cell<bool>>,
    /// Times that members dropped everything, beyond the first word after their start.
    pub flushes: Cell<u64>,
    /// Connections made.
    pub connects: Cell<u64>,
    /// Versions that were turned down, and frames that could not be read.
    pub faults: Cell<u64>,
    /// Where bytes are read to. One for all: what came is taken before anyone waits again.
    pub part: RefCell<Vec<u8>>,
}

struct Hollow {
    n: usize,
    shared: Rc<Shared>,
    identity: Identity,
    follower: Follower,
    purges: Option<Member>,
    stream: Option<TcpStream>,
    came: Vec<u8>,
    /// It was not told yet where the log of purges stands, or a version, since it started anew.
    anew: (bool, bool),
}

/// Lives, until its task is ended; `starts`: how often it was started before.
pub async fn live(n: usize, starts: u64, shared: Rc<Shared>) {
    let spec = &shared.members[n];
    let seed = mix(shared.seed, n as u64, starts);
    let identity = Identity {
        instance: spec.name.clone(),
        boot: mix(seed, 1, 1),
        labels: spec.labels.clone(),
        max_frame_bytes: MAX_FRAME_BYTES,
    };
    let follower = Follower::new(identity.clone(), spec.services.len(), None, Times::default(), seed);
    let purges = shared.purging.then(|| Member::new(Progress::default(), LEASE));
    let (stream, came, anew) = (None, Vec::new(), (true, starts > 0));
    let mut hollow = Hollow { n, shared, identity, follower, purges, stream, came, anew };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut actions = Vec::new();
        tokio::select! {
            came = readable(&hollow.stream) => {
                if came.and_then(|()| hollow.read(&mut actions)).is_err() {
                    hollow.lost();
                }
            }
            _ = ticks.tick() => hollow.follower.tick(now(), &mut actions),
        }
        hollow.carry_out(actions).await;
    }
}

async fn readable(stream: &Option<TcpStream>) -> io::Result<()> {
    match stream {
        Some(stream) => stream.readable().await,
        None => std::future::pending().await,
    }
}

impl Hollow {
    fn lost(&mut self) {
        self.stream = None;
        self.came = Vec::new();
        self.shared.up[self.n].set(false);
        self.follower.disconnected(now());
    }

    fn count(&self, length: usize, out: bool) {
        let mut traffic = self.shared.traffic[self.n].get();
        traffic.frame(length, out);
        self.shared.traffic[self.n].set(traffic);
    }

    /// Takes what has come.
    fn read(&mut self, actions: &mut Vec<Action>) -> io::Result<()> {
        let Some(stream) = &self.stream else { return Ok(()) };
        {
            let mut part = self.shared.part.borrow_mut();
            match stream.try_read(&mut part) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => self.came.extend_from_slice(&part[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        loop {
            let before = self.came.len();
            match decode::<ServiceMessage>(&mut self.came, MAX_FRAME_BYTES) {
                Ok(Some(frame)) => {
                    self.count(before - self.came.len(), false);
                    self.frame(frame, actions);
                }
                Ok(None) => break,
                Err(malformed) => {
                    self.fault();
                    self.follower.malformed(now(), &malformed.to_string(), actions);
                    break;
                }
            }
        }
        if self.came.is_empty() {
            // A long frame's room is not kept.
            self.came = Vec::new();
        }
        Ok(())
    }

    fn fault(&self) {
        self.shared.faults.set(self.shared.faults.get() + 1);
    }

    fn frame(&mut self, frame: ServiceMessage, actions: &mut Vec<Action>) {
        let at = now();
        match (&frame, &mut self.purges) {
            (ServiceMessage::Purges { epoch, after, keys }, Some(member)) => {
                match member.receive_purges(at, *epoch, *after, &keys.0) {
                    MemberAction::Invalidate(_) | MemberAction::InvalidateAll => self.purged(false, actions),
                    MemberAction::Resync => {
                        let hello = self.hello();
                        actions.push(Action::Send(hello));
                    }
                    MemberAction::Ignore => {}
                }
            }
            (ServiceMessage::Flush { epoch, through }, Some(member)) => {
                let at = Progress { epoch: *epoch, through: *through };
                if matches!(member.receive_flush(at), MemberAction::InvalidateAll) {
                    self.purged(true, actions);
                }
            }
            _ => {}
        }
        self.follower.receive(at, frame, actions);
    }

    /// Everything through where it stands now is done.
    fn purged(&mut self, flushed: bool, actions: &mut Vec<Action>) {
        let Some(member) = &self.purges else { return };
        let Progress { epoch, through } = member.progress();
        let mut tally = self.shared.purges.borrow_mut();
        // Who has just started holds nothing that was purged before.
        if flushed && self.anew.0 {
            tally.excused(self.n, through);
        } else {
            tally.reached(self.n, through, now());
            self.shared.flushes.set(self.shared.flushes.get() + u64::from(flushed));
        }
        self.anew.0 = false;
        self.shared.up[self.n].set(true);
        actions.push(Action::Send(ProxyMessage::PurgeAck { epoch, through, lagging: 0, names: Vec::new() }));
    }

    fn hello(&self) -> ProxyMessage {
        let Identity { instance, boot, labels, max_frame_bytes } = self.identity.clone();
        ProxyMessage::Hello {
            protocol: PROTOCOL,
            instance,
            boot,
            labels,
            max_frame_bytes,
            running: self.follower.running().map(|v| (v.stamp, v.digest.clone())),
            purges: self.purges.as_ref().map(Member::progress),
        }
    }

    async fn carry_out(&mut self, actions: Vec<Action>) {
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            let mut more = Vec::new();
            match action {
                Action::Connect(service) => {
                    let services = &self.shared.members[self.n].services;
                    let addr = services[service % services.len()];
                    match timeout(CONNECT_WITHIN, TcpStream::connect(addr)).await {
                        Ok(Ok(stream)) => {
                            // It only costs time.
                            let _ = stream.set_nodelay(true);
                            self.stream = Some(stream);
                            self.shared.connects.set(self.shared.connects.get() + 1);
                            self.shared.up[self.n].set(!self.shared.purging || !self.anew.0);
                            self.follower.connected(now(), &mut more);
                        }
                        _ => self.lost(),
                    }
                }
                Action::Disconnect => {
                    self.stream = None;
                    self.came = Vec::new();
                    self.shared.up[self.n].set(false);
                }
                Action::Send(ProxyMessage::Hello { .. }) => {
                    let hello = self.hello();
                    self.send(&hello).await;
                }
                Action::Send(frame) => self.send(&frame).await,
                Action::Apply(version) => {
                    if let Some(proxy) = self.shared.proxy[self.n] {
                        let mut tally = self.shared.versions.borrow_mut();
                        match std::mem::replace(&mut self.anew.1, false) {
                            true => tally.excused(proxy, version.stamp.number),
                            false => tally.reached(proxy, version.stamp.number, now()),
                        }
                    }
                    self.follower.applied(now(), Ok(()), &mut more);
                }
                Action::Warn(what) => {
                    if what.contains("is rejected") || what.contains("disagree") {
                        self.fault();
                    }
                }
                Action::Persist(_) => {}
            }
            waiting.extend(more);
        }
    }

    async fn send(&mut self, frame: &ProxyMessage) {
        let Some(stream) = &mut self.stream else { return };
        let bytes = encode(frame).unwrap_or_default();
        match timeout(TAKES_WITHIN, stream.write_all(&bytes)).await {
            Ok(Ok(())) => self.count(bytes.len(), true),
            _ => self.lost(),
        }
    }
}
