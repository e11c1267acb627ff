//! Follows the endpoint list: a watch at the discovery service, renewed after each answer, or polls in this proxy's own
//! slots where the operator's file limits them.

use super::connection::{Connection, DESCRIPTORS};
use super::error::{ExchangeError, PollError};
use super::polling::ListPolling;
use crate::config::{EndpointList, Names};
use crate::descriptors::DescriptorBudget;
use crate::duration::nanos;
use crate::Engine;
use aniseyoke_decision::api::{ListKind, Nanos};
use aniseyoke_pace::WatchTimeouts;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The backoff between the polls at a new address that has not answered yet doubles from the first to the last.
const NEW_ADDRESS_BACKOFF: Duration = Duration::from_millis(50);
const MAX_NEW_ADDRESS_BACKOFF: Duration = Duration::from_millis(800);

/// Client of the discovery service that keeps the engine's endpoint list up to date.
pub struct EndpointWatcher {
    addr: SocketAddr,
    /// Of the list in use; none: there is no list yet.
    version: Option<u64>,
    /// How long watches and polls without a schedule may take, and when they are tried again.
    timeouts: WatchTimeouts,
    began: Instant,
    /// Not of the clients' budget, where a flood of clients would cut the proxy off from the list.
    descriptors: Rc<DescriptorBudget>,
    /// Reused from one poll to the next.
    connection: Option<Connection>,
    names: Rc<Names>,
    /// At an address that has not answered yet: the wait before the next poll.
    new_address_backoff: Option<Duration>,
    polling: Option<ListPolling>,
}

/// What makes the watcher act beside the service's own answers.
pub struct WatchTriggers {
    /// The engine wants a watch.
    pub watch_requests: mpsc::UnboundedReceiver<()>,
    /// The service is at another address.
    pub address_changes: mpsc::UnboundedReceiver<SocketAddr>,
}

impl WatchTriggers {
    /// Drops requests for a watch that the next poll answers as well.
    fn drain_watch_requests(&mut self) {
        while self.watch_requests.try_recv().is_ok() {}
    }
}

/// What the watcher does after a poll that failed.
enum Recovery {
    /// Poll at once.
    Retry,
    /// Poll in this proxy's next slot.
    WaitForSlot,
    /// Poll after this time, or once the address changes.
    BackOff(Duration),
    /// Wait for a request from the engine.
    Stop,
}

impl EndpointWatcher {
    /// A watcher of the service at `addr`, which begins with changes since `version`, or with the full list.
    pub fn new(
        addr: SocketAddr,
        version: Option<u64>,
        poll_within: Nanos,
        names: Rc<Names>,
        polling: Option<ListPolling>,
    ) -> Self {
        EndpointWatcher {
            addr,
            version,
            timeouts: WatchTimeouts::new(poll_within),
            began: Instant::now(),
            descriptors: DescriptorBudget::new(DESCRIPTORS),
            connection: None,
            names,
            new_address_backoff: None,
            polling,
        }
    }

    /// Starts a watch each time that the engine requests one, and follows it until it breaks. A changed address takes the
    /// place of the present one.
    pub async fn follow(mut self, engine: Rc<Engine>, mut triggers: WatchTriggers) {
        loop {
            let retry_at =
                self.timeouts.retry_deadline().map(|deadline| self.began + Duration::from_nanos(deadline));
            tokio::select! {
                Some(()) = triggers.watch_requests.recv() => {}
                Some(addr) = triggers.address_changes.recv() => self.change_address(addr),
                // The engine's backoff doubles, and may be longer than the time in which a change counts as notified
                // once discovery can be reached.
                () = sleep_until(retry_at.unwrap_or(self.began)), if retry_at.is_some() => {}
                else => return,
            }
            self.watch(&engine, &mut triggers).await;
        }
    }

    /// Polls again and again until a failure is left to the engine's backoff.
    async fn watch(&mut self, engine: &Engine, triggers: &mut WatchTriggers) {
        loop {
            let Some(polled) = self.poll_in_slot(triggers).await else { continue };
            match polled {
                Ok(list) => self.apply(engine, &list),
                Err(error) => match self.recover(&error) {
                    Recovery::Retry => continue,
                    // The engine's backoff comes on top of the slot's otherwise, and the next poll too late.
                    Recovery::WaitForSlot => engine.update_endpoints(ListKind::Failed, &[]),
                    Recovery::BackOff(wait) => self.back_off(wait, triggers).await,
                    Recovery::Stop => {
                        engine.update_endpoints(ListKind::Failed, &[]);
                        return;
                    }
                },
            }
            triggers.drain_watch_requests();
        }
    }

    /// Waits for this proxy's slot, if polls are limited, and polls; none if the address changed meanwhile.
    async fn poll_in_slot(
        &mut self,
        triggers: &mut WatchTriggers,
    ) -> Option<Result<EndpointList, PollError>> {
        if let Some(wait) = self.polling.as_ref().and_then(ListPolling::next_poll_in) {
            tokio::select! {
                biased;
                Some(addr) = triggers.address_changes.recv() => {
                    self.change_address(addr);
                    return None;
                }
                () = sleep(wait) => {}
            }
        }
        // An open watch at the old address would be silent for many seconds, and then end.
        tokio::select! {
            biased;
            Some(addr) = triggers.address_changes.recv() => {
                self.change_address(addr);
                None
            }
            polled = self.poll() => Some(polled),
        }
    }

    /// Hands a list or its changes to the engine.
    fn apply(&mut self, engine: &Engine, list: &EndpointList) {
        self.version = Some(list.version);
        self.new_address_backoff = None;
        self.timeouts.answered(nanos(self.began.elapsed()));
        self.polling.iter_mut().for_each(|polling| polling.answered(list));
        let kind = if list.full { ListKind::Full } else { ListKind::Delta };
        engine.update_endpoints(kind, &self.names.entries(list));
    }

    /// Takes note of a poll that failed, and decides what follows.
    fn recover(&mut self, error: &PollError) -> Recovery {
        tracing::warn!("discovery at {}: {error}", self.addr);
        self.connection = None;
        self.polling.iter_mut().for_each(|polling| polling.failed(error));
        if self.has_slots() {
            return Recovery::WaitForSlot;
        }
        // A silent watch is no sign that discovery is down, and a wait before the next poll would take from the time in which
        // its news counts as notified. A slow discovery gets more time.
        if matches!(error, PollError::TimedOut) {
            if self.timeouts.timed_out() {
                return Recovery::Retry;
            }
        } else {
            self.timeouts.failed();
        }
        // The engine's backoff is made for a discovery that is down, and is longer than the time in which the news of a new
        // one must be known.
        let Some(wait) = self.new_address_backoff else { return Recovery::Stop };
        self.new_address_backoff = Some((wait * 2).min(MAX_NEW_ADDRESS_BACKOFF));
        Recovery::BackOff(wait)
    }

    async fn back_off(&mut self, wait: Duration, triggers: &mut WatchTriggers) {
        tokio::select! {
            biased;
            Some(addr) = triggers.address_changes.recv() => self.change_address(addr),
            () = sleep(wait) => {}
        }
    }

    /// From here on polls at this address, for the full list first: its versions may be other ones.
    fn change_address(&mut self, addr: SocketAddr) {
        tracing::info!("discovery is now at {addr}");
        (self.addr, self.version, self.connection) = (addr, None, None);
        self.new_address_backoff = Some(NEW_ADDRESS_BACKOFF);
        self.timeouts.address_changed();
        self.polling.iter_mut().for_each(ListPolling::address_changed);
    }

    /// Whether polls go out in this proxy's slots only.
    fn has_slots(&self) -> bool {
        self.polling.as_ref().is_some_and(|polling| polling.next_poll_in().is_some())
    }

    /// For how long a watch that goes out now asks the service to wait for a change.
    fn watch_duration(&self) -> Duration {
        let scheduled = self.polling.as_ref().and_then(ListPolling::watch_duration);
        scheduled.unwrap_or_else(|| Duration::from_nanos(self.timeouts.watch_duration()))
    }

    async fn poll(&mut self) -> Result<EndpointList, PollError> {
        let reused = self.connection.is_some();
        let polled = self.poll_once().await;
        // A reused connection that has ended says nothing of discovery; a watch goes on at once. Not where polls are
        // limited: a service that ends all connections at once would have all proxies poll at once.
        match polled {
            Err(PollError::Failed(_)) if reused && self.connection.is_none() && !self.has_slots() => {
                self.poll_once().await
            }
            polled => polled,
        }
    }

    async fn poll_once(&mut self) -> Result<EndpointList, PollError> {
        let full = self.version.is_none();
        let scheduled = self.polling.as_ref().and_then(|polling| polling.poll_timeout(full));
        let limit = scheduled.unwrap_or_else(|| Duration::from_nanos(self.timeouts.call_timeout(full)));
        self.polling.iter_mut().for_each(ListPolling::poll_started);
        self.timeouts.call_started(nanos(self.began.elapsed()));
        timeout(limit, self.exchange()).await.unwrap_or(Err(PollError::TimedOut))
    }

    async fn exchange(&mut self) -> Result<EndpointList, PollError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let answer = connection.exchange(self.addr, self.path()).await?;
        self.connection = Some(answer.connection);
        answer.list
    }

    async fn connect(&self) -> Result<Connection, ExchangeError> {
        let permit = self.descriptors.try_acquire().ok_or(ExchangeError::NoDescriptor)?;
        Connection::open(self.addr, permit).await
    }

    /// The full list, or a watch for changes since the version in use.
    fn path(&self) -> String {
        match self.version {
            None => "/catalog/members".to_owned(),
            // 0 is a version like any other; without it each poll would be for the full list, and no watch.
            Some(version) => {
                format!("/catalog/members?from={version}&hold_ms={}", self.watch_duration().as_millis())
            }
        }
    }
}
