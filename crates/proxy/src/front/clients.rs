//! The registry of open client connections.

use super::client::Client;
use std::cell::{Ref, RefCell};
use std::ops::Deref;
use std::rc::Rc;
use tokio::sync::Notify;

/// The client connections that are open.
#[derive(Default)]
pub struct Clients {
    open: RefCell<Vec<Rc<Client>>>,
    /// Signalled when a connection is removed.
    removed: Notify,
}

impl Clients {
    /// Adds a connection, which is removed when the returned value is dropped.
    pub fn register(self: &Rc<Self>, client: Rc<Client>) -> RegisteredClient {
        self.open.borrow_mut().push(client.clone());
        RegisteredClient { clients: self.clone(), client }
    }

    /// Returns the open connections. No connection may be added or removed while they are borrowed.
    pub fn open(&self) -> Ref<'_, [Rc<Client>]> {
        Ref::map(self.open.borrow(), Vec::as_slice)
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while !self.open().is_empty() {
            self.removed.notified().await;
        }
    }
}

/// A connection in the registry, owned by the task that serves it. It is removed on drop, so that a task that
/// panics also gives up its socket and its place.
pub struct RegisteredClient {
    clients: Rc<Clients>,
    client: Rc<Client>,
}

impl Deref for RegisteredClient {
    type Target = Rc<Client>;

    fn deref(&self) -> &Rc<Client> {
        &self.client
    }
}

impl Drop for RegisteredClient {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().retain(|client| !Rc::ptr_eq(client, &self.client));
        self.clients.removed.notify_one();
    }
}

#[cfg(test)]
mod tests;
