//! Follows the endpoint list with a watch at the discovery service that is renewed after each answer, or with
//! polls in this proxy's own slots if the operator's file limits polls.

use super::connection::{Connection, DESCRIPTORS};
use super::current_list::CurrentList;
use super::error::{ExchangeError, PollError};
use super::polling::ListPolling;
use crate::config::EndpointList;
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

/// Backoff between polls at a new address that has not answered yet; it doubles from this value up to the
/// maximum.
const NEW_ADDRESS_BACKOFF: Duration = Duration::from_millis(50);
const MAX_NEW_ADDRESS_BACKOFF: Duration = Duration::from_millis(800);

/// Client of the discovery service that keeps the engine's endpoint list up to date.
pub struct EndpointWatcher {
    addr: SocketAddr,
    /// Version of the list in use; `None` if there is no list yet.
    version: Option<u64>,
    /// Timeouts and retry times of watches, and of polls without a schedule.
    timeouts: WatchTimeouts,
    started: Instant,
    /// A budget apart from that of the clients, since a flood of clients would otherwise cut the proxy off
    /// from the discovery service.
    descriptors: Rc<DescriptorBudget>,
    /// Reused across polls.
    connection: Option<Connection>,
    current_list: Rc<CurrentList>,
    /// Backoff before the next poll, at a new address that has not answered yet.
    new_address_backoff: Option<Duration>,
    polling: Option<ListPolling>,
}

/// Events other than the service's answers that the watcher acts on.
pub struct WatchTriggers {
    /// Requests of the engine for a watch.
    pub watch_requests: mpsc::UnboundedReceiver<()>,
    /// New addresses of the service.
    pub address_changes: mpsc::UnboundedReceiver<SocketAddr>,
}

impl WatchTriggers {
    /// Drops pending requests for a watch, which the next poll answers too.
    fn drain_watch_requests(&mut self) {
        while self.watch_requests.try_recv().is_ok() {}
    }
}

/// What the watcher does after a failed poll.
enum Recovery {
    /// Poll again immediately.
    Retry,
    /// Poll in this proxy's next slot.
    WaitForSlot,
    /// Poll after this time, or once the address changes.
    BackOff(Duration),
    /// Wait for the engine to request a watch.
    Stop,
}

impl EndpointWatcher {
    /// Creates a watcher of the service at `addr`. Its first poll is for changes since `version`, or else for
    /// the full list.
    pub fn new(
        addr: SocketAddr,
        version: Option<u64>,
        poll_within: Nanos,
        current_list: Rc<CurrentList>,
        polling: Option<ListPolling>,
    ) -> Self {
        EndpointWatcher {
            addr,
            version,
            timeouts: WatchTimeouts::new(poll_within),
            started: Instant::now(),
            descriptors: DescriptorBudget::new(DESCRIPTORS),
            connection: None,
            current_list,
            new_address_backoff: None,
            polling,
        }
    }

    /// Starts a watch each time that the engine requests one, and renews it until it fails. Moves to a new
    /// address once it is announced.
    pub async fn follow(mut self, engine: Rc<Engine>, mut triggers: WatchTriggers) {
        loop {
            let retry_at =
                self.timeouts.retry_deadline().map(|deadline| self.started + Duration::from_nanos(deadline));
            tokio::select! {
                Some(()) = triggers.watch_requests.recv() => {}
                Some(addr) = triggers.address_changes.recv() => self.change_address(addr),
                // The engine's backoff doubles, and may exceed the time after which a change counts as
                // notified once the discovery service is reachable.
                () = sleep_until(retry_at.unwrap_or(self.started)), if retry_at.is_some() => {}
                else => return,
            }
            self.watch(&engine, &mut triggers).await;
        }
    }

    /// Polls repeatedly until a failure is left to the engine's backoff.
    async fn watch(&mut self, engine: &Engine, triggers: &mut WatchTriggers) {
        loop {
            let Some(polled) = self.poll_in_slot(triggers).await else { continue };
            match polled {
                Ok(list) => self.apply(engine, &list),
                Err(error) => match self.recover(&error) {
                    Recovery::Retry => continue,
                    // No return: the engine's backoff on top of the wait for the slot would delay the next
                    // poll too long.
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

    /// Waits for this proxy's slot, if polls are limited, and polls. Returns `None` if the address changed
    /// meanwhile.
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
        // Abandons an open watch at the old address: it would stay silent for many seconds, and then fail.
        tokio::select! {
            biased;
            Some(addr) = triggers.address_changes.recv() => {
                self.change_address(addr);
                None
            }
            polled = self.poll() => Some(polled),
        }
    }

    /// Passes a list, or changes to it, to the engine.
    fn apply(&mut self, engine: &Engine, list: &EndpointList) {
        self.new_address_backoff = None;
        self.timeouts.answered(nanos(self.started.elapsed()));
        self.polling.iter_mut().for_each(|polling| polling.answered(list));
        let applied = self.current_list.apply(engine, list);
        // Otherwise the next poll is for the full list.
        self.version = applied.then_some(list.version);
    }

    /// Records a failed poll and decides what to do next.
    fn recover(&mut self, error: &PollError) -> Recovery {
        tracing::warn!("discovery at {}: {error}", self.addr);
        self.connection = None;
        self.polling.iter_mut().for_each(|polling| polling.failed(error));
        if self.has_slots() {
            return Recovery::WaitForSlot;
        }
        // A watch that times out does not mean that the discovery service is down, and a wait before the next
        // poll would use up the time after which a change counts as notified. A slow service is given longer
        // timeouts.
        if matches!(error, PollError::TimedOut) {
            if self.timeouts.timed_out() {
                return Recovery::Retry;
            }
        } else {
            self.timeouts.failed();
        }
        // The engine's backoff is meant for a discovery service that is down, and is longer than the time
        // within which the list of a new service must be known.
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

    /// Polls at this address from now on, first for the full list, since its versions may be unrelated to the
    /// old ones.
    fn change_address(&mut self, addr: SocketAddr) {
        tracing::info!("the discovery service moved to {addr}");
        (self.addr, self.version, self.connection) = (addr, None, None);
        self.current_list.change_service(addr);
        self.new_address_backoff = Some(NEW_ADDRESS_BACKOFF);
        self.timeouts.address_changed();
        self.polling.iter_mut().for_each(ListPolling::address_changed);
    }

    /// Whether polls go out in this proxy's slots only.
    fn has_slots(&self) -> bool {
        self.polling.as_ref().is_some_and(|polling| polling.next_poll_in().is_some())
    }

    /// Returns how long a watch that is sent now asks the service to wait for a change.
    fn watch_duration(&self) -> Duration {
        let scheduled = self.polling.as_ref().and_then(ListPolling::watch_duration);
        scheduled.unwrap_or_else(|| Duration::from_nanos(self.timeouts.watch_duration()))
    }

    async fn poll(&mut self) -> Result<EndpointList, PollError> {
        let reused = self.connection.is_some();
        let polled = self.poll_once().await;
        // A reused connection may have been closed while idle, which does not mean that the service is down,
        // so the poll is retried at once. Not if polls are limited: a service that closes all connections at
        // once would be polled by all proxies at once.
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
        let time_limit = scheduled.unwrap_or_else(|| Duration::from_nanos(self.timeouts.call_timeout(full)));
        self.polling.iter_mut().for_each(ListPolling::poll_started);
        self.timeouts.call_started(nanos(self.started.elapsed()));
        self.current_list.poll_started();
        timeout(time_limit, self.exchange()).await.unwrap_or(Err(PollError::TimedOut))
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

    /// Returns the path of a poll for the full list, or of a watch for changes since the version in use.
    fn path(&self) -> String {
        match self.version {
            None => "/catalog/members".to_owned(),
            // Version 0 is valid too. If it counted as none, each poll would be for the full list, and none a
            // watch.
            Some(version) => {
                format!("/catalog/members?from={version}&hold_ms={}", self.watch_duration().as_millis())
            }
        }
    }
}
