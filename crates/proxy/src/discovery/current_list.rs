//! The endpoint list in force: what the discovery service tells this process, and what it has told another process of
//! this proxy.

use super::merged_list::MergedList;
use super::shared_list::SharedList;
use crate::config::{EndpointList, Names};
use crate::listed_nodes::ListedNodes;
use crate::Engine;
use aniseyoke_decision::api::ListKind;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The endpoint list in force.
pub struct CurrentList {
    names: Rc<Names>,
    listed_nodes: Rc<ListedNodes>,
    /// The discovery service that the list is of.
    service: Cell<SocketAddr>,
    list: RefCell<MergedList>,
    /// Version of the list; `None` if there is none of this service.
    version: Cell<Option<u64>>,
    /// Version of the list of another process that was taken over while a poll was out, whose answer may be older.
    taken_over: Cell<Option<u64>>,
    /// The lists of the other processes, if they are shared.
    shared: Option<RefCell<SharedList>>,
}

impl CurrentList {
    /// Begins with the list of another process, or else with `known`, the platform's; returns that list too.
    pub fn open(
        service: SocketAddr,
        known: Option<EndpointList>,
        names: Rc<Names>,
        listed_nodes: Rc<ListedNodes>,
        mut shared: Option<SharedList>,
    ) -> (Rc<Self>, Option<EndpointList>) {
        known.iter().for_each(|known| listed_nodes.record(known));
        let of_others = shared.as_mut().and_then(|shared| shared.initial(service, known.as_ref()));
        of_others.iter().for_each(|list| listed_nodes.record(list));
        let is_shared = of_others.is_some();
        let initial = of_others.or(known);
        let current = CurrentList {
            names,
            listed_nodes,
            service: Cell::new(service),
            list: RefCell::new(MergedList::new(initial.as_ref())),
            version: Cell::new(initial.as_ref().map(|list| list.version)),
            taken_over: Cell::default(),
            shared: shared.map(RefCell::new),
        };
        // The platform's list may be of before the service began to count anew, and look newer than it is.
        if is_shared {
            current.share();
        }
        (Rc::new(current), initial)
    }

    /// Notes that a poll is being sent: its answer is newer than all lists so far.
    pub fn poll_started(&self) {
        self.taken_over.set(None);
    }

    /// Applies the service's answer to the last poll. Returns false if the list of another process, which was taken
    /// over since that poll was sent, is newer; the answer has no effect then.
    pub fn apply(&self, engine: &Engine, answer: &EndpointList) -> bool {
        if self.taken_over.get().is_some_and(|version| answer.version < version) {
            return false;
        }
        self.listed_nodes.record(answer);
        let is_change = answer.full || !answer.servers.is_empty();
        self.list.borrow_mut().apply(answer);
        if self.version.replace(Some(answer.version)) != Some(answer.version) || is_change {
            self.share();
        }
        let kind = if answer.full { ListKind::Full } else { ListKind::Delta };
        engine.update_endpoints(kind, &self.names.entries(answer));
        true
    }

    /// Takes over the list of another process, if that has written one that is newer.
    pub fn take_over(&self, engine: &Engine) {
        let Some(shared) = &self.shared else { return };
        let Some(list) = shared.borrow_mut().changed(self.service.get()) else { return };
        if self.version.get().is_some_and(|version| version >= list.version) {
            return;
        }
        tracing::info!("version {} of the endpoint list was told to another process", list.version);
        self.listed_nodes.record(&list);
        self.list.borrow_mut().apply(&list);
        self.version.set(Some(list.version));
        self.taken_over.set(Some(list.version));
        self.share();
        engine.update_endpoints(ListKind::Shared, &self.names.entries(&list));
    }

    /// Notes that the list is of another service from now on, whose versions may be unrelated.
    pub fn change_service(&self, service: SocketAddr) {
        self.service.set(service);
        self.version.set(None);
        self.taken_over.set(None);
    }

    /// Writes the list for the other processes.
    fn share(&self) {
        let Some(shared) = &self.shared else { return };
        if let Some(list) = self.version.get().and_then(|version| self.list.borrow().to_list(version)) {
            shared.borrow().write(self.service.get(), list);
        }
    }
}
