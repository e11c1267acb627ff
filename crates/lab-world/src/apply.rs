//! Applies faults and overload to members: processes end and restart, and the endpoint list changes after a delay.

use super::*;
use aniseyoke_lab_day::clock::unit_fraction;

impl SiteModel {
    pub(super) fn set_process(&mut self, member: usize, process: ProcessState, out: &mut Vec<Effect>) {
        if self.members[member].process != process {
            self.members[member].process = process;
            out.push(Effect::ProcessState(member, process));
        }
    }

    /// Ends or silences a member's process, which loses its work in progress and its cache.
    fn stop_process(&mut self, now: Nanos, member: usize, process: ProcessState, out: &mut Vec<Effect>) {
        self.members[member].machine.stop(now);
        self.members[member].machine.forecast += 1;
        self.members[member].cache.clear();
        self.in_progress.retain(|_, w| w.attempt.member != member);
        self.set_process(member, process, out);
    }

    pub(super) fn overload(&mut self, now: Nanos, member: usize, out: &mut Vec<Effect>) {
        let cold_fraction = self.members[member].machine.cold_fraction();
        self.stop_process(now, member, ProcessState::Down, out);
        if member == self.origin {
            out.push(Effect::OriginOverloaded(cold_fraction));
            self.schedule(now + nanos(self.day.site.origin.outage), InternalEvent::OriginRestart);
        } else {
            out.push(Effect::NodeOverloaded(member));
            self.list(now, member, EndpointState::Gone, 1);
        }
    }

    /// Schedules a change of the endpoint list after the lag of discovery, drawn from the day's seed.
    fn list(&mut self, now: Nanos, member: usize, state: EndpointState, salt: u64) {
        let delays = &self.day.site.discovery;
        let lag_fraction = unit_fraction(mix(self.day.seed, 0x115 + salt, member as u64 ^ now));
        let (shortest, longest) = (nanos(delays.min_lag), nanos(delays.max_lag));
        let lag = shortest + ((longest - shortest) as f64 * lag_fraction) as Nanos;
        let started = self.members[member].started;
        self.schedule(now + lag, InternalEvent::Publish(Endpoint { member, state, started }));
    }

    pub(super) fn apply(&mut self, now: Nanos, event: FaultEvent, out: &mut Vec<Effect>) {
        match event {
            FaultEvent::Crash(member) => {
                self.stop_process(now, member, ProcessState::Down, out);
                self.list(now, member, EndpointState::Gone, 2);
            }
            FaultEvent::Silence(member) => {
                self.stop_process(now, member, ProcessState::Silent, out);
                let endpoint =
                    Endpoint { member, state: EndpointState::Gone, started: self.members[member].started };
                self.schedule(
                    now + nanos(self.day.site.discovery.silent_lag),
                    InternalEvent::Publish(endpoint),
                );
            }
            FaultEvent::Restart(member) => {
                if self.members[member].process == ProcessState::Silent {
                    // Connections opened before the silence are reset when the machine returns.
                    self.set_process(member, ProcessState::Down, out);
                }
                self.members[member].started = Some(now);
                self.members[member].machine.restart(now);
                self.set_process(member, ProcessState::Up, out);
                self.list(now, member, EndpointState::Ready, 3);
            }
            FaultEvent::Drain(member) => self.list(now, member, EndpointState::Draining, 4),
            FaultEvent::Replace(member) => {
                self.stop_process(now, member, ProcessState::Down, out);
                self.list(now, member, EndpointState::Gone, 5);
                let next = self.members.len();
                let mut successor = self.node(next, self.kind_of(member.min(self.day.site.cache.count - 1)));
                successor.started = Some(now);
                successor.machine.restart(now);
                self.members.push(successor);
                out.push(Effect::Joined(next));
                self.list(now, next, EndpointState::Ready, 6);
            }
            FaultEvent::Slow(member, factor) => {
                self.members[member].machine.set_speed_factor(now, factor);
                self.forecast(now, member);
            }
            FaultEvent::HalfOpen(member) => out.push(Effect::HalfOpen(member)),
            FaultEvent::Responses(n, on) => {
                self.response_faults.retain(|other| *other != n);
                if on {
                    self.response_faults.push(n);
                }
            }
            FaultEvent::Discovery(up) => out.push(Effect::Discovery(up)),
            FaultEvent::Misreport(members) => self.misreport(members, out),
            FaultEvent::RestartProxy(n) => out.push(Effect::RestartProxy(n)),
        }
    }

    /// Lists these members as draining, and emits an effect for every entry if that changed the list.
    fn misreport(&mut self, members: Vec<usize>, out: &mut Vec<Effect>) {
        let before = self.endpoint_list.version();
        self.endpoint_list.misreport(members);
        if self.endpoint_list.version() != before {
            let entries = (0..self.members.len()).filter_map(|m| self.endpoint_list.entry(m));
            out.extend(entries.map(Effect::Listed));
        }
    }
}
