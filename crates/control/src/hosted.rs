//! A service on a thread of its own, told from others what to publish: for measurements and for tests of proxies.

use crate::publisher::{Publisher, Row};
use crate::relay::{self, Relaying};
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

type Told = Result<(Stamp, Instant), String>;

enum Order {
    Publish(Value, Box<Plan>, Sender<Told>),
    Rows(Sender<Vec<Row>>),
    Cpu(Sender<Duration>),
}

/// A service that serves until this is dropped.
pub struct Hosted {
    /// Where proxies connect.
    pub addr: SocketAddr,
    /// Each caller waits for its answer, so that there are no more orders than callers.
    orders: mpsc::UnboundedSender<Order>,
}

impl Hosted {
    /// Starts a service on any free port of loopback.
    ///
    /// # Errors
    /// If the system lacks threads, descriptors or ports.
    pub fn start(epoch: u64) -> io::Result<Self> {
        Self::of(move || Service::new(Publisher::new(epoch)))
    }

    /// Starts a relay that follows these, on any free port of loopback. It publishes nothing.
    ///
    /// # Errors
    /// If the system lacks threads, descriptors or ports.
    pub fn relay(name: &str, upstream: Vec<SocketAddr>) -> io::Result<Self> {
        let (settings, entries, say) = (Settings::default(), 1024, |_: &str| ());
        let relaying = Relaying { name: name.to_owned(), upstream, settings, entries, boot: 1, say };
        Self::of(move || {
            let (service, follows) = relay::parts(relaying);
            tokio::task::spawn_local(follows);
            service
        })
    }

    fn of(service: impl FnOnce() -> Rc<Service> + Send + 'static) -> io::Result<Self> {
        let (found, addr) = channel();
        let (orders, ordered) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serves = move || {
            LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
                let bound = listener.and_then(|l| Ok((l.local_addr()?, l)));
                let (addr, listener) = match bound {
                    Ok((addr, listener)) => (Ok(addr), Some(listener)),
                    Err(e) => (Err(e), None),
                };
                // Who starts it waits for this.
                let _ = found.send(addr);
                if let Some(listener) = listener {
                    obey(service(), listener, ordered).await;
                }
            });
        };
        std::thread::Builder::new().name("service".into()).spawn(serves)?;
        let addr = addr.recv().map_err(|_| io::Error::other("the service did not start"))??;
        Ok(Hosted { addr, orders })
    }

    fn ask<T>(&self, order: impl FnOnce(Sender<T>) -> Order) -> Option<T> {
        let (tell, told) = channel();
        self.orders.send(order(tell)).ok()?;
        told.recv().ok()
    }

    /// Publishes a body as the newest version; the moment is that before it was.
    ///
    /// # Errors
    /// As [`Publisher::publish`], or if the service has ended.
    pub fn publish(&self, body: Value, plan: Plan) -> Result<(Stamp, Instant), String> {
        let told = self.ask(|tell| Order::Publish(body, Box::new(plan), tell));
        told.unwrap_or_else(|| Err("the service has ended".into()))
    }

    /// Who runs what; nobody where it has ended.
    pub fn rows(&self) -> Vec<Row> {
        self.ask(Order::Rows).unwrap_or_default()
    }

    /// The CPU time that its thread has used.
    pub fn cpu(&self) -> Duration {
        self.ask(Order::Cpu).unwrap_or_default()
    }
}

async fn obey(service: Rc<Service>, listener: TcpListener, mut orders: mpsc::UnboundedReceiver<Order>) {
    tokio::task::spawn_local(service.clone().serve(listener));
    while let Some(order) = orders.recv().await {
        // Who asked may have given up.
        match order {
            Order::Publish(body, plan, tell) => {
                let at = Instant::now();
                let _ = tell.send(service.publish(body, *plan).map(|stamp| (stamp, at)));
            }
            Order::Rows(tell) => _ = tell.send(service.look(Publisher::rows)),
            Order::Cpu(tell) => _ = tell.send(cpu()),
        }
    }
}

/// The CPU time of this thread; nothing where the system does not tell.
fn cpu() -> Duration {
    let used = getrusage(UsageWho::RUSAGE_THREAD).map(|usage| usage.user_time() + usage.system_time());
    Duration::from_micros(used.map_or(0, |used| u64::try_from(used.num_microseconds()).unwrap_or(0)))
}
