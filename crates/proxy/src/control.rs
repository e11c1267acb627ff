//! Executes operators' calls, each before its answer, and applies orders given to another process of this
//! proxy.

use super::admin::{AdminReply, Call};
use super::discovery::ListStatus;
use super::drain::Drain;
use super::listed_nodes::ListedNodes;
use super::metrics::Metrics;
use super::operator_orders::{OperatorOrders, OrderStore};
use super::wall_clock::unix_millis;
use super::Engine;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// What the answer to a call for the version is made of.
pub struct StatusSources {
    /// The constant part, and the version in force.
    pub version_info: Rc<RefCell<serde_json::Value>>,
    /// Status of the endpoint list, if the operator's file has a `[list]` section.
    pub list_status: Option<Rc<ListStatus>>,
    /// The counters of the process.
    pub metrics: Rc<Metrics>,
}

/// Handler of the calls to the admin endpoint.
pub struct AdminHandler {
    engine: Rc<Engine>,
    listed_nodes: Rc<ListedNodes>,
    drain: Rc<Drain>,
    store: OrderStore,
    sources: StatusSources,
    /// The orders in force.
    applied: RefCell<OperatorOrders>,
    /// How long a node is in slow start.
    slow_start_time: Duration,
    /// Whether clients are accepted.
    pub serving: Cell<bool>,
}

impl AdminHandler {
    /// Creates a handler, and applies the stored orders of earlier processes.
    pub fn new(
        engine: Rc<Engine>,
        listed_nodes: Rc<ListedNodes>,
        drain: Rc<Drain>,
        store: OrderStore,
        sources: StatusSources,
        slow_start_time: Duration,
    ) -> Rc<Self> {
        let (applied, serving) = (RefCell::default(), Cell::new(false));
        let handler =
            AdminHandler { engine, listed_nodes, drain, store, sources, applied, slow_start_time, serving };
        handler.apply_stored_orders();
        Rc::new(handler)
    }

    /// Applies orders that were given to another process.
    pub fn apply_stored_orders(&self) {
        if self.store.refresh() {
            let orders = self.store.orders();
            tracing::info!("operators' orders: drain {}, out {:?}", orders.drain, orders.bans);
            self.apply_orders();
        }
    }

    /// Executes a call and returns the reply.
    pub async fn handle_call(&self, call: Call) -> AdminReply {
        match call {
            Call::Ready if self.drain.is_shutting_down() => {
                AdminReply::Unavailable("the process is stopping")
            }
            Call::Ready if !(self.serving.get() && self.engine.can_serve()) => {
                AdminReply::Unavailable("no cache node takes work yet")
            }
            Call::Ready => AdminReply::Done,
            Call::Version => AdminReply::Json(self.version().to_string()),
            Call::Exclude(id) => self.ban(id, true).await,
            Call::Include(id) => self.ban(id, false).await,
            Call::Evacuate => self.order(|orders| orders.drain = true).await,
            Call::Rejoin => self.order(|orders| orders.drain = false).await,
        }
    }

    fn version(&self) -> serde_json::Value {
        let mut version_info = self.sources.version_info.borrow().clone();
        if let (Some(aniseyoke_core::QueueStatus { waiting, rejected }), Some(version_info)) =
            (self.engine.queue_status(), version_info.as_object_mut())
        {
            version_info
                .insert("limits".into(), serde_json::json!({ "waiting": waiting, "turned": rejected }));
        }
        if let (Some(list_status), Some(version_info)) =
            (&self.sources.list_status, version_info.as_object_mut())
        {
            version_info.insert("list".into(), list_status.to_json());
        }
        if let Some(version_info) = version_info.as_object_mut() {
            version_info.insert("counters".into(), self.sources.metrics.to_json());
        }
        version_info
    }

    async fn ban(&self, id: String, banned: bool) -> AdminReply {
        self.apply_stored_orders();
        if !(self.listed_nodes.contains(&id) || self.engine.is_listed(&id)) {
            return AdminReply::NotFound("no such cache node was ever listed");
        }
        let change = |orders: &mut OperatorOrders| {
            if banned {
                orders.ban(id);
            } else {
                orders.lift_ban(&id, unix_millis());
            }
        };
        self.order(change).await
    }

    async fn order(&self, change: impl FnOnce(&mut OperatorOrders)) -> AdminReply {
        if let Err(e) = self.store.update(change).await {
            tracing::error!("operators' order could not be stored: {e}");
            // If only the last step failed, the file has the new order, so it is read again and applied.
            self.apply_stored_orders();
            return AdminReply::Unavailable("the order could not be kept: make the call again");
        }
        self.apply_orders();
        AdminReply::Done
    }

    fn apply_orders(&self) {
        let orders = self.store.orders();
        // Only a node that was listed can be banned.
        orders.bans.iter().for_each(|id| self.listed_nodes.record_id(id));
        let previous = self.applied.replace(orders.clone());
        orders.bans.difference(&previous.bans).for_each(|id| self.engine.set_banned(id, true));
        previous.bans.difference(&orders.bans).for_each(|id| self.engine.set_banned(id, false));
        let newly_lifted = orders.newly_lifted(&previous, unix_millis(), self.slow_start_time);
        newly_lifted.for_each(|id| self.engine.restart_slow_start(id));
        self.drain.set_ordered(orders.drain);
    }
}
