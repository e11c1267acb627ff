//! Updates of the endpoint list, and operators' bans.

use super::state::EngineState;
use super::Engine;
use crate::clock::wall_time;
use crate::endpoint_list::Endpoint;
use crate::start_times::ClockReadings;
use crate::transport::Transport;
use aniseyoke_decision::api::{server_id, Entry, Event, ListKind};
use std::borrow::Cow;
use std::collections::VecDeque;

impl<T: Transport> Engine<T> {
    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&self, kind: ListKind, endpoints: &[Endpoint]) {
        if matches!(kind, ListKind::Full | ListKind::Delta) {
            self.list_received.set(true);
        }
        endpoints.iter().for_each(|(entry, _)| self.seen_servers.borrow_mut().add(entry.server));
        let state = &mut *self.state.borrow_mut();
        let endpoints = self.correct_start_times(state, endpoints);
        let endpoints = endpoints.as_slice();
        if kind != ListKind::Failed {
            state.endpoint_list.apply(kind != ListKind::Delta, endpoints);
            let EngineState { start_times, endpoint_list, .. } = state;
            start_times.retain(|server| endpoint_list.start_time(server).is_some());
        }
        let overlay = &state.config.routing.overlay;
        let overlaid: Cow<'_, [Endpoint]> = if overlay.is_empty() {
            endpoints.into()
        } else {
            endpoints.iter().map(|(entry, address)| (overlay.apply(entry), *address)).collect()
        };
        let mut events = VecDeque::new();
        self.announce_endpoints(state, kind, &overlaid, &mut events);
        self.handle_events(state, events);
    }

    /// The entries with the times from which their nodes count as started.
    fn correct_start_times(&self, state: &mut EngineState<T>, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let clocks = ClockReadings { engine: self.clock.now(), wall: wall_time() };
        let corrected = endpoints.iter().map(|(entry, address)| {
            let previous = state.endpoint_list.start_time(entry.server);
            let started = state.start_times.resolve(entry.server, entry.started, previous, clocks);
            (Entry { started, ..entry.clone() }, *address)
        });
        corrected.collect()
    }

    /// Tells the transport, the limits and the decision module of entries that have the operator's overlay applied.
    pub(super) fn announce_endpoints(
        &self,
        state: &mut EngineState<T>,
        kind: ListKind,
        endpoints: &[Endpoint],
        events: &mut VecDeque<Event>,
    ) {
        if kind != ListKind::Failed {
            let complete = !matches!(kind, ListKind::Delta | ListKind::Overlay);
            self.transport.update_endpoints(complete, endpoints);
        }
        let entries: Vec<Entry> = endpoints.iter().map(|(entry, _)| entry.clone()).collect();
        if let Some(limits) = state.limits.as_mut() {
            entries.iter().for_each(|entry| limits.update_endpoint(entry));
        }
        events.push_back(Event::EndpointList { kind, entries });
    }

    /// Whether discovery has reported a list since the start; the one known before it may be old.
    pub fn list_received(&self) -> bool {
        self.list_received.get()
    }

    /// The entries of the list as discovery reports them, without the servers that operators have banned.
    pub fn active_endpoints(&self) -> Vec<Entry> {
        let state = self.state.borrow();
        let endpoints = state.endpoint_list.entries();
        let active = endpoints.filter(|(entry, _)| !state.balancer.is_excluded(entry.server));
        active.map(|(entry, _)| entry.clone()).collect()
    }

    /// Whether a server of this name was ever listed, as far back as is remembered.
    pub fn was_listed(&self, name: &str) -> bool {
        self.seen_servers.borrow().contains(server_id(name))
    }

    /// Bans a server by an operator's order, or lifts the ban.
    pub fn set_banned(&self, name: &str, banned: bool) {
        let server = server_id(name);
        self.seen_servers.borrow_mut().add(server);
        self.transport.set_banned(server, banned);
        let event = if banned { Event::Excluded(server) } else { Event::Included(server) };
        self.handle_event(&mut self.state.borrow_mut(), event);
    }
}
