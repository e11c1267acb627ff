//! The ids of requests: those in progress, and those of requests that must not run twice.
//!
//! Every request has an id of its own. One whose id is in progress, at this process or at another one of this proxy,
//! comes from another client and must not interfere with the first. Where the class of a request must not run twice, one whose id was sent to a node before must not
//! run again, even if its client has left or another process of this proxy has sent it.

use crate::shared_ids::{Change, IdFiles, IdSet, SharedIds};
use aniseyoke_decision::api;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// A request with this id is in progress.
    #[error("{}", self.reason())]
    Open,
    /// A request with this id was sent before, and must not run twice.
    #[error("{}", self.reason())]
    Sent,
}

impl IdError {
    /// Returns the reason that is told to the client.
    pub fn reason(self) -> &'static str {
        match self {
            IdError::Open => "a request with this X-Correlation-Id is open",
            IdError::Sent => "a request with this X-Correlation-Id was sent before",
        }
    }
}

/// The ids of a proxy's requests.
pub struct RequestIds {
    /// The ids in progress. The hash must be keyed, since clients choose the ids.
    open: RefCell<HashSet<HeaderValue>>,
    /// The ids in progress at all processes of the proxy, if several can run side by side.
    shared_open: Option<SharedIds>,
    history: SharedIds,
}

impl RequestIds {
    /// Creates the ids of a process; `files` are shared with the other processes of the proxy, `side_by_side` if
    /// these can serve clients at the same time.
    pub fn new(files: Option<Rc<IdFiles>>, side_by_side: bool) -> Rc<Self> {
        let shared_open =
            files.clone().filter(|_| side_by_side).map(|files| SharedIds::open(IdSet::Open, Some(files)));
        let history = SharedIds::open(IdSet::Sent, files);
        Rc::new(RequestIds { open: RefCell::default(), shared_open, history })
    }

    /// Reserves the id of a request; `runs_once` if it must not run twice.
    ///
    /// # Errors
    /// If the id is in progress, or was sent before and must not run twice.
    pub fn reserve(self: &Rc<Self>, id: &HeaderValue, runs_once: bool) -> Result<Rc<ReservedId>, IdError> {
        if !self.open.borrow_mut().insert(id.clone()) {
            return Err(IdError::Open);
        }
        let mut reserved = ReservedId {
            ids: self.clone(),
            id: id.clone(),
            entry: None,
            open_entry: None,
            sent: Cell::new(false),
        };
        let hash = api::server_id(id.to_str().unwrap_or_default());
        if runs_once {
            reserved.entry = Some(self.history.insert(hash).ok_or(IdError::Sent)?);
        }
        if let Some(shared_open) = &self.shared_open {
            reserved.open_entry = Some(shared_open.insert(hash).ok_or(IdError::Open)?);
        }
        Ok(Rc::new(reserved))
    }
}

/// The reserved id of a request that is not answered yet or that has attempts in flight.
pub struct ReservedId {
    ids: Rc<RequestIds>,
    id: HeaderValue,
    /// Its entry in the history, if the request must not run twice.
    entry: Option<Change>,
    /// Its entry among the open ids of all processes, if these are shared.
    open_entry: Option<Change>,
    /// Whether an attempt may have been written.
    sent: Cell<bool>,
}

impl ReservedId {
    /// Notes that an attempt is being written: the id stays in the history.
    pub fn mark_sent(&self) {
        self.sent.set(true);
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
        if let Some(entry) = self.entry.filter(|_| !self.sent.get()) {
            self.ids.history.remove(entry);
        }
        if let (Some(shared_open), Some(entry)) = (&self.ids.shared_open, self.open_entry) {
            shared_open.remove(entry);
        }
    }
}

#[cfg(test)]
mod tests;
