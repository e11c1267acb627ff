//! Carries the operators' calls out, each before its answer, and what they order at another process of this proxy.

use super::admin::{AdminReply, Call};
use super::discovery::ListStatus;
use super::drain::Drain;
use super::operator_orders::{OperatorOrders, OrderStore};
use super::Engine;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What the calls act on.
pub struct Control {
    engine: Rc<Engine>,
    drain: Rc<Drain>,
    store: OrderStore,
    /// What a call for the version is told, but for what changes.
    about: Rc<RefCell<serde_json::Value>>,
    /// The status of the endpoint list, where the operator's file has a [list] section.
    list_status: Option<Rc<ListStatus>>,
    /// The orders carried out.
    done: RefCell<OperatorOrders>,
    /// Whether clients are let in.
    pub serving: Cell<bool>,
}

impl Control {
    /// Begins with the orders that another process left.
    pub fn new(
        engine: Rc<Engine>,
        drain: Rc<Drain>,
        store: OrderStore,
        about: Rc<RefCell<serde_json::Value>>,
        list_status: Option<Rc<ListStatus>>,
    ) -> Rc<Self> {
        let (done, serving) = (RefCell::default(), Cell::new(false));
        let control = Control { engine, drain, store, about, list_status, done, serving };
        control.look();
        Rc::new(control)
    }

    /// Carries out what was ordered at another process.
    pub fn look(&self) {
        if self.store.refresh() {
            let orders = self.store.orders();
            tracing::info!("operators' orders: drain {}, out {:?}", orders.drain, orders.bans);
            self.carry_out();
        }
    }

    /// Carries a call out, and returns the reply to it.
    pub async fn act(&self, call: Call) -> AdminReply {
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
        let mut about = self.about.borrow().clone();
        if let (Some(aniseyoke_core::QueueStatus { waiting, rejected: turned }), Some(about)) =
            (self.engine.queue_status(), about.as_object_mut())
        {
            about.insert("limits".into(), serde_json::json!({ "waiting": waiting, "turned": turned }));
        }
        if let (Some(list_status), Some(about)) = (&self.list_status, about.as_object_mut()) {
            about.insert("list".into(), list_status.to_json());
        }
        about
    }

    async fn ban(&self, id: String, out: bool) -> AdminReply {
        // What another process took out may have left the list before this one began.
        self.look();
        if !self.engine.was_listed(&id) {
            return AdminReply::NotFound("no such cache node was ever listed");
        }
        let change = |orders: &mut OperatorOrders| {
            if out {
                orders.bans.insert(id);
            } else {
                orders.bans.remove(&id);
            }
        };
        self.order(change).await
    }

    async fn order(&self, change: impl FnOnce(&mut OperatorOrders)) -> AdminReply {
        if let Err(e) = self.store.update(change).await {
            tracing::error!("operators' order not kept: {e}");
            // Where only the last step failed the file has it: what is in force is what the file says.
            self.look();
            return AdminReply::Unavailable("the order could not be kept: make the call again");
        }
        self.carry_out();
        AdminReply::Done
    }

    fn carry_out(&self) {
        let orders = self.store.orders();
        let done = self.done.replace(orders.clone());
        orders.bans.difference(&done.bans).for_each(|id| self.engine.set_banned(id, true));
        done.bans.difference(&orders.bans).for_each(|id| self.engine.set_banned(id, false));
        self.drain.set_ordered(orders.drain);
    }
}
