//! A simulated member, called hollow: a proxy or node without clients and without a cache. It runs the real state
//! machines of a proxy's control connection on a real socket. It records when each purge and, at proxies, each version
//! was applied, and counts the traffic of its socket.

use super::now;
use super::plan::Role;
use super::tally::CompletionTally;
use aniseyoke_control::follower::{Action, Identity, Times};
use aniseyoke_control::frame::{decode, encode, ProxyMessage, ServiceMessage, PROTOCOL_VERSION};
use aniseyoke_control::Follower;
use aniseyoke_fanout::{Member, MemberAction, Progress};
use aniseyoke_lab_day::clock::mix;
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

const TICK_INTERVAL: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit for writing a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size of the shared read buffer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// How long a member counts as up to date after the last message that confirmed it.
const LEASE_NS: u64 = 5_000_000_000;
/// The maximum payload of a TCP segment over Ethernet with an MTU of 1500 bytes, with TCP timestamps.
pub const SEGMENT_PAYLOAD_BYTES: u64 = 1448;
/// The length of the IPv4 and TCP headers of a segment, with TCP timestamps.
pub const SEGMENT_HEADER_BYTES: u64 = 52;

/// The specification of a simulated member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberSpec {
    /// The name.
    pub name: String,
    /// Whether the member is a node ([`Role::Node`]); otherwise it is a proxy ([`Role::Proxy`]).
    pub node: bool,
    /// The labels for region, zone and site.
    pub labels: BTreeMap<String, String>,
    /// The addresses to which the member connects, in order of preference.
    pub services: Vec<SocketAddr>,
    /// The address of the discovery service, whose endpoint list the member polls; only proxies have one.
    pub list: Option<SocketAddr>,
    /// The member's number among all proxies, which include the real ones, and the number of all proxies. Determines
    /// when it polls the endpoint list; unused at nodes.
    pub place: (u32, u32),
}

impl MemberSpec {
    /// Returns the member's role.
    pub fn role(&self) -> Role {
        if self.node {
            Role::Node
        } else {
            Role::Proxy
        }
    }
}

/// The traffic of a member's control connection, or of its polls of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes received, including the headers of frames and HTTP responses.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames or HTTP responses received.
    pub frames_in: u64,
    /// Frames or HTTP requests sent.
    pub frames_out: u64,
    /// The estimated number of TCP segments in both directions, if no segment contains parts of two messages. Segments
    /// without payload are not counted.
    pub segments: u64,
}

impl Traffic {
    /// Counts a message of the given length.
    pub fn count(&mut self, length: usize, out: bool) {
        let (bytes, frames) = match out {
            true => (&mut self.bytes_out, &mut self.frames_out),
            false => (&mut self.bytes_in, &mut self.frames_in),
        };
        *bytes += length as u64;
        *frames += 1;
        self.segments += (length as u64).div_ceil(SEGMENT_PAYLOAD_BYTES);
    }

    /// Adds other traffic.
    pub fn add(&mut self, other: &Traffic) {
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.frames_in += other.frames_in;
        self.frames_out += other.frames_out;
        self.segments += other.segments;
    }

    /// Returns the payload in both directions, in bytes.
    pub fn payload(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Returns the payload with an estimate of the IP and TCP headers, in bytes.
    pub fn with_headers(&self) -> u64 {
        self.payload() + self.segments * SEGMENT_HEADER_BYTES
    }
}

/// The state that the members of one host share.
pub struct SharedState {
    /// The specifications of the members.
    pub members: Vec<MemberSpec>,
    /// The seed of the run.
    pub seed: u64,
    /// Whether members follow the purge log.
    pub purging: bool,
    /// When each purge was applied at the members.
    pub purges: RefCell<CompletionTally>,
    /// When each version was applied at the proxies.
    pub versions: RefCell<CompletionTally>,
    /// The number of each member among the proxies of this host; `None` for nodes.
    pub proxy: Vec<Option<usize>>,
    /// The traffic of each member's control connection.
    pub traffic: Vec<Cell<Traffic>>,
    /// The traffic of each member's polls of the endpoint list.
    pub list_polls: Vec<Cell<Traffic>>,
    /// Whether each member is connected and, if it follows the purge log, knows its position in it.
    pub up: Vec<Cell<bool>>,
    /// The number of flushes, at which a member with a cache would drop all its objects. The first flush after each
    /// start of a member is not counted.
    pub flushes: Cell<u64>,
    /// The number of connections made.
    pub connects: Cell<u64>,
    /// The number of malformed frames and of versions with the stamp of another version that the member has, but another
    /// digest. Other rejected versions are not counted.
    pub faults: Cell<u64>,
    /// The read buffer of all members. Its contents are consumed before a member awaits again, so one buffer suffices.
    pub buffer: RefCell<Vec<u8>>,
}

impl SharedState {
    /// Creates the state of members that have not started yet.
    pub fn new(members: Vec<MemberSpec>, seed: u64, purging: bool) -> Self {
        let count = members.len();
        let proxies = (0..count).scan(0, |next, n| {
            let proxy = (!members[n].node).then_some(*next);
            *next += usize::from(proxy.is_some());
            Some(proxy)
        });
        let proxy: Vec<Option<usize>> = proxies.collect();
        SharedState {
            purges: RefCell::new(CompletionTally::new(if purging { count } else { 0 })),
            versions: RefCell::new(CompletionTally::new(proxy.iter().flatten().count())),
            traffic: vec![Cell::default(); count],
            list_polls: vec![Cell::default(); count],
            up: vec![Cell::new(false); count],
            flushes: Cell::new(0),
            connects: Cell::new(0),
            faults: Cell::new(0),
            buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            members,
            seed,
            purging,
            proxy,
        }
    }
}

struct HollowMember {
    n: usize,
    shared: Rc<SharedState>,
    identity: Identity,
    follower: Follower,
    purges: Option<Member>,
    stream: Option<TcpStream>,
    received: Vec<u8>,
    /// Whether the member's position in the purge log has not been known yet since the start.
    purge_position_unknown: bool,
    /// Whether the member has received no version since it was restarted.
    version_unknown: bool,
}

/// Runs a member until its task is aborted; `starts` is the number of its earlier starts.
pub async fn run_member(n: usize, starts: u64, shared: Rc<SharedState>) {
    let spec = &shared.members[n];
    let seed = mix(shared.seed, n as u64, starts);
    let identity = Identity {
        instance: spec.name.clone(),
        boot: mix(seed, 1, 1),
        labels: spec.labels.clone(),
        max_frame_bytes: MAX_FRAME_BYTES,
    };
    let follower = Follower::new(identity.clone(), spec.services.len(), None, Times::default(), seed);
    let purges = shared.purging.then(|| Member::new(Progress::default(), LEASE_NS));
    let mut hollow = HollowMember {
        n,
        shared,
        identity,
        follower,
        purges,
        stream: None,
        received: Vec::new(),
        purge_position_unknown: true,
        version_unknown: starts > 0,
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut actions = Vec::new();
        tokio::select! {
            received = readable(&hollow.stream) => {
                if received.and_then(|()| hollow.read(&mut actions)).is_err() {
                    hollow.handle_disconnect();
                }
            }
            _ = ticks.tick() => hollow.follower.tick(now(), &mut actions),
        }
        hollow.execute(actions).await;
    }
}

async fn readable(stream: &Option<TcpStream>) -> io::Result<()> {
    match stream {
        Some(stream) => stream.readable().await,
        None => std::future::pending().await,
    }
}

impl HollowMember {
    fn handle_disconnect(&mut self) {
        self.stream = None;
        self.received = Vec::new();
        self.shared.up[self.n].set(false);
        self.follower.disconnected(now());
    }

    fn count_traffic(&self, length: usize, out: bool) {
        let mut traffic = self.shared.traffic[self.n].get();
        traffic.count(length, out);
        self.shared.traffic[self.n].set(traffic);
    }

    /// Reads from the connection and handles complete frames.
    fn read(&mut self, actions: &mut Vec<Action>) -> io::Result<()> {
        let Some(stream) = &self.stream else { return Ok(()) };
        {
            let mut buffer = self.shared.buffer.borrow_mut();
            match stream.try_read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        loop {
            let before = self.received.len();
            match decode::<ServiceMessage>(&mut self.received, MAX_FRAME_BYTES) {
                Ok(Some(frame)) => {
                    self.count_traffic(before - self.received.len(), false);
                    self.handle_frame(frame, actions);
                }
                Ok(None) => break,
                Err(malformed) => {
                    self.count_fault();
                    self.follower.malformed(now(), &malformed.to_string(), actions);
                    break;
                }
            }
        }
        if self.received.is_empty() {
            // Releases the memory of a long frame.
            self.received = Vec::new();
        }
        Ok(())
    }

    fn count_fault(&self) {
        self.shared.faults.set(self.shared.faults.get() + 1);
    }

    fn handle_frame(&mut self, frame: ServiceMessage, actions: &mut Vec<Action>) {
        let at = now();
        match (&frame, &mut self.purges) {
            (ServiceMessage::Purges { epoch, after, keys }, Some(member)) => {
                match member.receive_purges(at, *epoch, *after, &keys.0) {
                    MemberAction::Invalidate(_) | MemberAction::InvalidateAll => {
                        self.record_purges(false, actions)
                    }
                    MemberAction::Resync => {
                        let hello = self.hello();
                        actions.push(Action::Send(hello));
                    }
                    MemberAction::Ignore => {}
                }
            }
            (ServiceMessage::Flush { epoch, through }, Some(member)) => {
                let position = Progress { epoch: *epoch, through: *through };
                if matches!(member.receive_flush(position), MemberAction::InvalidateAll) {
                    self.record_purges(true, actions);
                }
            }
            _ => {}
        }
        self.follower.receive(at, frame, actions);
    }

    /// Records and acknowledges all purges through the member's current position in the log.
    fn record_purges(&mut self, flushed: bool, actions: &mut Vec<Action>) {
        let Some(member) = &self.purges else { return };
        let Progress { epoch, through } = member.progress();
        let mut tally = self.shared.purges.borrow_mut();
        // Earlier purges don't apply to a member that has just started, because it has no cached objects yet.
        if flushed && self.purge_position_unknown {
            tally.record_not_applicable(self.n, through);
        } else {
            tally.record(self.n, through, now());
            self.shared.flushes.set(self.shared.flushes.get() + u64::from(flushed));
        }
        self.purge_position_unknown = false;
        self.shared.up[self.n].set(true);
        actions.push(Action::Send(ProxyMessage::PurgeAck { epoch, through, lagging: 0, names: Vec::new() }));
    }

    fn hello(&self) -> ProxyMessage {
        let Identity { instance, boot, labels, max_frame_bytes } = self.identity.clone();
        ProxyMessage::Hello {
            protocol: PROTOCOL_VERSION,
            instance,
            boot,
            labels,
            max_frame_bytes,
            running: self.follower.running().map(|v| (v.stamp, v.digest.clone())),
            purges: self.purges.as_ref().map(Member::progress),
        }
    }

    async fn execute(&mut self, actions: Vec<Action>) {
        let mut pending = VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            let mut more = Vec::new();
            match action {
                Action::Connect(service) => {
                    let services = &self.shared.members[self.n].services;
                    let addr = services[service % services.len()];
                    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
                        Ok(Ok(stream)) => {
                            // Without TCP_NODELAY the connection is only slower, so errors are ignored.
                            let _ = stream.set_nodelay(true);
                            self.stream = Some(stream);
                            self.shared.connects.set(self.shared.connects.get() + 1);
                            self.shared.up[self.n].set(!self.shared.purging || !self.purge_position_unknown);
                            self.follower.connected(now(), &mut more);
                        }
                        _ => self.handle_disconnect(),
                    }
                }
                Action::Disconnect => {
                    self.stream = None;
                    self.received = Vec::new();
                    self.shared.up[self.n].set(false);
                }
                Action::Send(ProxyMessage::Hello { .. }) => {
                    // The follower does not know the purge position, so its message lacks it.
                    let hello = self.hello();
                    self.send(&hello).await;
                }
                Action::Send(frame) => self.send(&frame).await,
                Action::Apply(version) => {
                    if let Some(proxy) = self.shared.proxy[self.n] {
                        let mut tally = self.shared.versions.borrow_mut();
                        match std::mem::replace(&mut self.version_unknown, false) {
                            true => tally.record_not_applicable(proxy, version.stamp.number),
                            false => tally.record(proxy, version.stamp.number, now()),
                        }
                    }
                    self.follower.applied(now(), Ok(()), &mut more);
                }
                Action::Warn(what) => {
                    // Of the follower's warnings, only the one about conflicting versions matches here: versions are
                    // never rejected when they are applied.
                    if what.contains("is rejected") || what.contains("disagree") {
                        self.count_fault();
                    }
                }
                Action::Persist(_) => {}
            }
            pending.extend(more);
        }
    }

    async fn send(&mut self, frame: &ProxyMessage) {
        let Some(stream) = &mut self.stream else { return };
        // A frame that can't be encoded counts as a sent frame of 0 bytes.
        let bytes = encode(frame).unwrap_or_default();
        match timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await {
            Ok(Ok(())) => self.count_traffic(bytes.len(), true),
            _ => self.handle_disconnect(),
        }
    }
}
