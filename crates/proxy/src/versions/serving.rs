//! The serving thread's side: shows what is in force, and exchanges it for what is ready.

use super::InForce;
use crate::Engine;
use aniseyoke_core::Plan;
use aniseyoke_decision::api::Entry;
use aniseyoke_logging::{Levels, LogHandle};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// A version that has been read and checked.
pub struct Ready {
    /// What the core is to work by.
    pub plan: Arc<Plan>,
    /// What the log is to tell.
    pub levels: Levels,
    /// What is in force with it.
    pub in_force: InForce,
    /// The digest of the configuration, and the version's stamp, for who asks.
    pub names: (String, String),
}

/// What was in force before an exchange. It is dropped by who gets it, off the serving thread.
pub struct Swapped {
    /// How long the serving thread was held up.
    pub took: Duration,
    /// What went out of force.
    #[allow(dead_code, reason = "held for its end alone")]
    pub old: (Arc<Plan>, InForce),
}

/// What the other thread asks of the serving one.
pub enum Order {
    /// What is in force, and the nodes that operators have not taken out.
    Look(oneshot::Sender<(Arc<Plan>, Vec<Entry>)>),
    /// Exchange what is in force for this.
    Swap(Box<Ready>, oneshot::Sender<Result<Swapped, String>>),
}

/// Where versions come into force.
pub struct Serving {
    /// The core.
    pub engine: Rc<Engine>,
    /// What is in force.
    pub in_force: Rc<RefCell<InForce>>,
    /// The log.
    pub log: Rc<LogHandle>,
    /// What a call for the version is told.
    pub about: Rc<RefCell<serde_json::Value>>,
}

impl Serving {
    /// Does what it is told, until nobody can tell it anything.
    pub async fn run(self, mut orders: mpsc::Receiver<Order>) {
        while let Some(order) = orders.recv().await {
            // Who asked may be gone, with the proxy.
            match order {
                Order::Look(tell) => drop(tell.send((self.engine.plan(), self.engine.standing()))),
                Order::Swap(ready, tell) => drop(tell.send(self.swap(*ready))),
            }
        }
    }

    fn swap(&self, ready: Ready) -> Result<Swapped, String> {
        let start = Instant::now();
        let plan = self.engine.retune(ready.plan)?;
        self.log.set_levels(&ready.levels);
        let (digest, stamp) = ready.names;
        if let Some(about) = self.about.borrow_mut().as_object_mut() {
            about.insert("configuration".into(), digest.into());
            about.insert("version".into(), stamp.into());
        }
        let before = self.in_force.replace(ready.in_force);
        Ok(Swapped { took: start.elapsed(), old: (plan, before) })
    }
}
