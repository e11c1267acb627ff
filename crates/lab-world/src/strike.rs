//! What happens to the members by themselves: processes end and return, nodes fall, troubles strike.

use super::*;
use aniseyoke_lab_day::clock::part;

impl World {
    pub(super) fn set_process(&mut self, member: usize, process: Process, out: &mut Vec<Effect>) {
        if self.members[member].process != process {
            self.members[member].process = process;
            out.push(Effect::Process(member, process));
        }
    }

    /// A machine's process ends, or falls silent, with all that it had.
    fn halt(&mut self, now: Nanos, member: usize, process: Process, out: &mut Vec<Effect>) {
        self.members[member].machine.stop(now);
        self.members[member].machine.forecast += 1;
        self.members[member].memory.clear();
        self.in_work.retain(|_, w| w.ask.member != member);
        self.set_process(member, process, out);
    }

    pub(super) fn fall(&mut self, now: Nanos, member: usize, out: &mut Vec<Effect>) {
        let cold_part = self.members[member].machine.cold_part();
        self.halt(now, member, Process::Down, out);
        if member == self.ledger {
            out.push(Effect::Stopped(cold_part));
            self.at(now + nanos(self.day.site.ledger.stopped), Inner::LedgerBack);
        } else {
            out.push(Effect::Fell(member));
            self.list(now, member, Standing::Gone, 1);
        }
    }

    /// Discovery learns of a change some time later.
    fn list(&mut self, now: Nanos, member: usize, standing: Standing, salt: u64) {
        let roster = &self.day.site.roster;
        let drawn = part(mix(self.day.seed, 0x115 + salt, member as u64 ^ now));
        let (least, most) = (nanos(roster.lag_least), nanos(roster.lag_most));
        let lag = least + ((most - least) as f64 * drawn) as Nanos;
        let started = self.members[member].started;
        self.at(now + lag, Inner::Publish(Line { member, standing, started }));
    }

    pub(super) fn strike(&mut self, now: Nanos, stroke: Stroke, out: &mut Vec<Effect>) {
        match stroke {
            Stroke::Crash(member) => {
                self.halt(now, member, Process::Down, out);
                self.list(now, member, Standing::Gone, 2);
            }
            Stroke::Silence(member) => {
                self.halt(now, member, Process::Silent, out);
                let line = Line { member, standing: Standing::Gone, started: self.members[member].started };
                self.at(now + nanos(self.day.site.roster.silent_lag), Inner::Publish(line));
            }
            Stroke::Return(member) => {
                if self.members[member].process == Process::Silent {
                    // What stood open is reset once the machine is back.
                    self.set_process(member, Process::Down, out);
                }
                self.members[member].started = Some(now);
                self.members[member].machine.restart(now);
                self.set_process(member, Process::Up, out);
                self.list(now, member, Standing::Ready, 3);
            }
            Stroke::Drain(member) => self.list(now, member, Standing::Draining, 4),
            Stroke::Replace(member) => {
                self.halt(now, member, Process::Down, out);
                self.list(now, member, Standing::Gone, 5);
                let next = self.members.len();
                let mut successor = self.node(next, self.kind_of(member.min(self.day.site.cache.count - 1)));
                successor.started = Some(now);
                successor.machine.restart(now);
                self.members.push(successor);
                out.push(Effect::Joined(next));
                self.list(now, next, Standing::Ready, 6);
            }
            Stroke::Slow(member, part) => {
                self.members[member].machine.slow(now, part);
                self.forecast(now, member);
            }
            Stroke::HalfOpen(member) => out.push(Effect::HalfOpen(member)),
            Stroke::Answers(n, on) => {
                self.answers.retain(|other| *other != n);
                if on {
                    self.answers.push(n);
                }
            }
            Stroke::Discovery(up) => out.push(Effect::Discovery(up)),
            Stroke::Lie(members) => {
                let before = self.roster.version();
                let touched: Vec<usize> = (0..self.members.len()).collect();
                self.roster.lie(members);
                if self.roster.version() != before {
                    let told = touched.iter().filter_map(|m| self.roster.told(*m));
                    out.extend(told.map(Effect::Listed));
                }
            }
            Stroke::Proxy(n) => out.push(Effect::RestartProxy(n)),
        }
    }
}
