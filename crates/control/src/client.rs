//! Runs a [`Follower`] on TCP sockets: performs its actions, and passes it messages, the time and the
//! results.

use crate::clock::Clock;
use crate::follower::{Action, Follower, Rejection, RequestCounts};
use crate::frame::{decode, encode, ProxyMessage, ServiceMessage};
use crate::version::Version;
use aniseyoke_fanout::Progress;
use aniseyoke_sockets::{connect, UninterruptedStream};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between reports of request counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time limit of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the queue of connection events. Reading pauses while the queue is full.
const MAX_QUEUED_EVENTS: usize = 4;
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The operations that the owner of a follower provides.
pub trait FollowerHandler {
    /// Checks a version and puts it in force. On an error the previous version stays in force.
    fn apply(&self, version: Version) -> impl Future<Output = Result<(), Rejection>>;

    /// Stores a version that is in force as the last known good one.
    fn persist(&self, version: Version);

    /// Writes a warning to the log.
    fn warn(&self, message: &str);

    /// Returns the numbers of requests since the last call.
    fn take_request_counts(&self) -> RequestCounts;

    /// Returns the position in the purge log, or `None` if the owner does not subscribe to purges.
    fn purge_progress(&self) -> Option<Progress> {
        None
    }

    /// Called when a connection is established, after `hello` was queued for it.
    fn connected(&self) {}

    /// Called when a message about purges has arrived.
    fn receive_purges(&self, _message: ServiceMessage) {}

    /// Waits for the next message about purges that is to be sent upstream. Must be cancel safe: a cancelled
    /// call loses no message.
    fn next_upstream(&self) -> impl Future<Output = UpstreamMessage> {
        std::future::pending()
    }

    /// Called when a newer version arrives while another one is being put in force.
    fn newer_version_queued(&self) {}
}

/// A message about purges to be sent upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamMessage {
    /// Another `hello`, which requests missing purges.
    Hello,
    /// The given message.
    Send(ProxyMessage),
}

/// The pending result of putting a version in force.
type Applying<'a> = Pin<Box<dyn Future<Output = Result<(), Rejection>> + 'a>>;

/// An event on a connection.
enum ConnectionEvent {
    Connected(TcpStream),
    ConnectFailed,
    Message(ServiceMessage),
    Malformed(String),
    Closed,
}

/// An event and the number of the connection on which it occurred.
type NumberedEvent = (u64, ConnectionEvent);

/// The current connection. Events of earlier connections, identified by their numbers, are ignored.
#[derive(Default)]
struct Connection {
    number: u64,
    task: Option<AbortHandle>,
    writer: Option<UninterruptedStream<OwnedWriteHalf>>,
}

impl Connection {
    fn close(&mut self) {
        self.number += 1;
        self.writer = None;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Writes a message. Returns false if the write fails or times out.
    async fn write(&mut self, message: &ProxyMessage) -> bool {
        let Some(writer) = self.writer.as_mut() else { return true };
        let bytes = encode(message).unwrap_or_default();
        matches!(timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await, Ok(Ok(())))
    }
}

/// A follower, its connection and its handler.
struct Client<'a, H> {
    handler: &'a H,
    follower: Follower,
    services: Vec<SocketAddr>,
    max_frame_bytes: usize,
    connection: Connection,
    events: mpsc::Sender<NumberedEvent>,
    /// Messages are read while a version is being put in force, so that older queued versions can be
    /// superseded by newer ones.
    applying: Option<Applying<'a>>,
    clock: Clock,
    last_report: Instant,
}

/// Follows the services and never returns. Frames longer than `max_frame_bytes` are rejected.
pub async fn follow(
    follower: Follower,
    services: Vec<SocketAddr>,
    max_frame_bytes: usize,
    handler: impl FollowerHandler,
) -> Infallible {
    let (events, mut incoming) = mpsc::channel::<NumberedEvent>(MAX_QUEUED_EVENTS);
    let mut client = Client {
        handler: &handler,
        follower,
        services,
        max_frame_bytes,
        connection: Connection::default(),
        events,
        applying: None,
        clock: Clock::start(),
        last_report: Instant::now(),
    };
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut actions = Vec::new();
        tokio::select! {
            biased;
            Some(outcome) = outcome_of(&mut client.applying) => client.applied(outcome, &mut actions),
            Some((number, event)) = incoming.recv() => {
                if number == client.connection.number {
                    client.handle(event, &mut actions);
                }
            }
            message = handler.next_upstream(), if client.connection.writer.is_some() => {
                client.send_upstream(message, &mut actions);
            }
            _ = ticks.tick() => client.tick(&mut actions),
        }
        client.perform(actions).await;
    }
}

/// Waits until the version has been put in force or rejected. Returns `None` at once if no version is
/// pending.
async fn outcome_of(applying: &mut Option<Applying<'_>>) -> Option<Result<(), Rejection>> {
    match applying.as_mut() {
        Some(applying) => Some(applying.await),
        None => None,
    }
}

impl<H: FollowerHandler> Client<'_, H> {
    fn applied(&mut self, outcome: Result<(), Rejection>, actions: &mut Vec<Action>) {
        self.applying = None;
        self.follower.applied(self.clock.now(), outcome, actions);
    }

    fn handle(&mut self, event: ConnectionEvent, actions: &mut Vec<Action>) {
        let now = self.clock.now();
        match event {
            ConnectionEvent::Connected(stream) => self.connected(stream, actions),
            ConnectionEvent::ConnectFailed | ConnectionEvent::Closed => {
                self.connection.close();
                self.follower.disconnected(now);
            }
            ConnectionEvent::Message(message) => {
                if matches!(message, ServiceMessage::Purges { .. } | ServiceMessage::Flush { .. }) {
                    self.handler.receive_purges(message.clone());
                }
                self.follower.receive(now, message, actions);
                if self.follower.has_newer_version() {
                    self.handler.newer_version_queued();
                }
            }
            ConnectionEvent::Malformed(error) => self.follower.malformed(now, &error, actions),
        }
    }

    fn connected(&mut self, stream: TcpStream, actions: &mut Vec<Action>) {
        let (reader, writer) = stream.into_split();
        self.connection.writer = Some(UninterruptedStream(writer));
        let reading = read(self.connection.number, reader, self.max_frame_bytes, self.events.clone());
        self.connection.task = Some(tokio::task::spawn_local(reading).abort_handle());
        self.follower.set_purge_progress(self.handler.purge_progress());
        self.follower.connected(self.clock.now(), actions);
        self.handler.connected();
    }

    fn send_upstream(&mut self, message: UpstreamMessage, actions: &mut Vec<Action>) {
        let now = self.clock.now();
        match message {
            UpstreamMessage::Hello => {
                self.follower.set_purge_progress(self.handler.purge_progress());
                self.follower.send_hello(now, actions);
            }
            UpstreamMessage::Send(message) => self.follower.send(now, message, actions),
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let now = self.clock.now();
        self.follower.tick(now, actions);
        if self.last_report.elapsed() >= REPORT_INTERVAL {
            self.last_report = Instant::now();
            self.follower.report(now, self.handler.take_request_counts(), actions);
        }
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Connect(service) => self.connect(service),
                Action::Disconnect => self.connection.close(),
                Action::Send(message) => {
                    if !self.connection.write(&message).await {
                        self.connection.close();
                        self.follower.disconnected(self.clock.now());
                    }
                }
                Action::Apply(version) => self.applying = Some(Box::pin(self.handler.apply(version))),
                Action::Persist(version) => self.handler.persist(version),
                Action::Warn(message) => self.handler.warn(&message),
            }
        }
    }

    fn connect(&mut self, service: usize) {
        self.connection.close();
        let addr = self.services[service % self.services.len()];
        let (number, events) = (self.connection.number, self.events.clone());
        let task = tokio::task::spawn_local(async move {
            let event = match connect(addr, || ()).await {
                Ok(stream) => {
                    // Without TCP_NODELAY a short frame would be delayed until the previous one is
                    // acknowledged (Nagle's algorithm), at each relay on the path. A failure only increases
                    // latency.
                    let _ = stream.set_nodelay(true);
                    ConnectionEvent::Connected(stream)
                }
                Err(_) => ConnectionEvent::ConnectFailed,
            };
            // The receiver exists until the process ends.
            let _ = events.send((number, event)).await;
        });
        self.connection.task = Some(task.abort_handle());
    }
}

/// Reads messages from a connection until it closes or an invalid frame arrives.
async fn read(
    number: u64,
    reader: OwnedReadHalf,
    max_frame_bytes: usize,
    events: mpsc::Sender<NumberedEvent>,
) {
    let mut reader = UninterruptedStream(reader);
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        let event = match decode::<ServiceMessage>(&mut buffer, max_frame_bytes) {
            Ok(Some(message)) => ConnectionEvent::Message(message),
            Err(error) => ConnectionEvent::Malformed(error.to_string()),
            Ok(None) => match reader.read(&mut chunk).await {
                Ok(n) if n > 0 => {
                    buffer.extend_from_slice(&chunk[..n]);
                    continue;
                }
                _ => ConnectionEvent::Closed,
            },
        };
        let is_last = !matches!(event, ConnectionEvent::Message(_));
        if buffer.is_empty() {
            // Releases the memory that a long frame required.
            buffer = Vec::new();
        }
        if events.send((number, event)).await.is_err() || is_last {
            return;
        }
    }
}
