//! Updates of the endpoint list, and bans by operators.

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
        if kind.answers_call() {
            self.list_received.set(true);
        }
        let state = &mut *self.state.borrow_mut();
        let mut endpoints = self.correct_start_times(state, endpoints);
        if kind != ListKind::Failed {
            endpoints = state.endpoint_list.apply(kind != ListKind::Delta, &endpoints);
            let EngineState { start_times, endpoint_list, .. } = state;
            start_times.retain(|server| endpoint_list.start_time(server).is_some());
        }
        let overlay = &state.config.routing.overlay;
        let overlaid: Cow<'_, [Endpoint]> = if overlay.is_empty() {
            endpoints.as_slice().into()
        } else {
            endpoints.iter().map(|(entry, address)| (overlay.apply(entry), *address)).collect()
        };
        let mut events = VecDeque::new();
        self.propagate_endpoints(state, kind, &overlaid, &mut events);
        self.handle_events(state, events);
    }

    /// Returns the entries with corrected start times.
    fn correct_start_times(&self, state: &mut EngineState<T>, endpoints: &[Endpoint]) -> Vec<Endpoint> {
        let clocks = ClockReadings { engine: self.clock.now(), wall: wall_time() };
        let corrected = endpoints.iter().map(|(entry, address)| {
            let previous = state.endpoint_list.start_time(entry.server);
            let started = state.start_times.resolve(entry.server, entry.started, previous, clocks);
            (Entry { started, ..entry.clone() }, *address)
        });
        corrected.collect()
    }

    /// Passes entries with the operator's overlay applied to the transport, the limits and the decision
    /// module.
    pub(super) fn propagate_endpoints(
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

    /// Whether discovery has reported a list since the start. The list known before may be outdated.
    pub fn list_received(&self) -> bool {
        self.list_received.get()
    }

    /// Returns the entries of the list as reported by discovery, without servers banned by operators.
    pub fn active_endpoints(&self) -> Vec<Entry> {
        let state = self.state.borrow();
        let endpoints = state.endpoint_list.entries();
        let active = endpoints.filter(|(entry, _)| !state.balancer.is_excluded(entry.server));
        active.map(|(entry, _)| entry.clone()).collect()
    }

    /// Whether a server of this name is on the list.
    pub fn is_listed(&self, name: &str) -> bool {
        self.state.borrow().endpoint_list.start_time(server_id(name)).is_some()
    }

    /// Bans a server on behalf of an operator, or lifts the ban.
    pub fn set_banned(&self, name: &str, banned: bool) {
        let server = server_id(name);
        self.transport.set_banned(server, banned);
        let event = if banned { Event::Excluded(server) } else { Event::Included(server) };
        self.handle_event(&mut self.state.borrow_mut(), event);
    }
    /// Treats a server as one whose ban has just been lifted: it is in slow start.
    pub fn restart_slow_start(&self, name: &str) {
        let server = server_id(name);
        let events = VecDeque::from([Event::Excluded(server), Event::Included(server)]);
        self.handle_events(&mut self.state.borrow_mut(), events);
    }
}
