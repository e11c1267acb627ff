//! Runs a service on a separate thread, for measurements and for tests of proxies.

use crate::frame::ProxyStatus;
use crate::publisher::{PublishError, Publisher};
use crate::relay::{relay_parts, RelayConfig};
use crate::rollout::Plan;
use crate::service::Service;
use crate::version::Stamp;
use aniseyoke_fanout::Settings;
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;
use serde_json::Value;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Capacity of a relay's purge log, in entries.
const RELAY_LOG_CAPACITY: usize = 1024;

/// An error of [`ServiceThread::publish`].
#[derive(Debug, thiserror::Error)]
pub enum ServiceThreadError {
    /// The publisher rejected the version.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The service's thread has ended.
    #[error("the service has ended")]
    Ended,
}

/// The stamp of a published version, and the time immediately before it was published.
type PublishResult = Result<(Stamp, Instant), PublishError>;

/// A command to the service's thread.
enum Command {
    Publish { body: Value, plan: Box<Plan>, reply: Sender<PublishResult> },
    Statuses(Sender<Vec<ProxyStatus>>),
    CpuTime(Sender<Duration>),
}

/// A service on a separate thread, which runs until this is dropped.
pub struct ServiceThread {
    /// The address at which the service accepts proxies.
    pub addr: SocketAddr,
    /// The channel needs no bound: each caller waits for its reply, so there are at most as many commands as
    /// callers.
    commands: mpsc::UnboundedSender<Command>,
}

impl ServiceThread {
    /// Starts a service on a free port of the loopback address.
    ///
    /// # Errors
    /// If a thread, a file descriptor or a port can't be allocated.
    pub fn start(epoch: u64) -> io::Result<Self> {
        Self::spawn(move || Service::new(Publisher::new(epoch)))
    }

    /// Starts a relay that follows these upstreams, on a free port of the loopback address. It can't publish.
    ///
    /// # Errors
    /// If a thread, a file descriptor or a port can't be allocated.
    pub fn relay(name: &str, upstream: Vec<SocketAddr>) -> io::Result<Self> {
        let config = RelayConfig {
            name: name.to_owned(),
            upstream,
            settings: Settings::default(),
            log_capacity: RELAY_LOG_CAPACITY,
            boot: 1,
            warn: |_| (),
        };
        Self::spawn(move || {
            let (service, follow_upstream) = relay_parts(config);
            tokio::task::spawn_local(follow_upstream);
            service
        })
    }

    fn spawn(service: impl FnOnce() -> Rc<Service> + Send + 'static) -> io::Result<Self> {
        let (bound, addr) = channel();
        let (commands, received) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let listening = listener.and_then(|listener| Ok((listener.local_addr()?, listener)));
                let (addr, listener) = match listening {
                    Ok((addr, listener)) => (Ok(addr), Some(listener)),
                    Err(error) => (Err(error), None),
                };
                // The thread in `spawn` waits for this result.
                let _ = bound.send(addr);
                if let Some(listener) = listener {
                    execute(service(), listener, received).await;
                }
            });
        };
        std::thread::Builder::new().name("service".into()).spawn(run)?;
        let addr = addr.recv().map_err(|_| io::Error::other("the service did not start"))??;
        Ok(ServiceThread { addr, commands })
    }

    fn request<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Option<T> {
        let (reply, received) = channel();
        self.commands.send(command(reply)).ok()?;
        received.recv().ok()
    }

    /// Publishes a body as the newest version. Returns its stamp, and the time immediately before it was
    /// published.
    ///
    /// # Errors
    /// As [`Publisher::publish`], or if the service has ended.
    pub fn publish(&self, body: Value, plan: Plan) -> Result<(Stamp, Instant), ServiceThreadError> {
        let result = self.request(|reply| Command::Publish { body, plan: Box::new(plan), reply });
        Ok(result.ok_or(ServiceThreadError::Ended)??)
    }

    /// The status of each connected proxy; empty if the service has ended.
    pub fn statuses(&self) -> Vec<ProxyStatus> {
        self.request(Command::Statuses).unwrap_or_default()
    }

    /// The CPU time that the service's thread has used so far; zero if the service has ended.
    pub fn cpu_time(&self) -> Duration {
        self.request(Command::CpuTime).unwrap_or_default()
    }
}

/// Serves proxies and executes commands until the sender of the commands is dropped.
async fn execute(
    service: Rc<Service>,
    listener: TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    tokio::task::spawn_local(service.clone().serve(listener));
    while let Some(command) = commands.recv().await {
        // A reply can't be sent if its caller no longer exists, which is not an error.
        match command {
            Command::Publish { body, plan, reply } => {
                let at = Instant::now();
                _ = reply.send(service.publish(body, *plan).map(|stamp| (stamp, at)));
            }
            Command::Statuses(reply) => _ = reply.send(service.with_publisher(Publisher::statuses)),
            Command::CpuTime(reply) => _ = reply.send(thread_cpu_time()),
        }
    }
}

/// The CPU time of this thread; zero if the system does not provide it.
fn thread_cpu_time() -> Duration {
    let used = getrusage(UsageWho::RUSAGE_THREAD).map(|usage| usage.user_time() + usage.system_time());
    Duration::from_micros(used.map_or(0, |used| u64::try_from(used.num_microseconds()).unwrap_or(0)))
}
