//! What goes up: through where all below are, and who lacks something of it.

use super::{Action, Relay, Report};
use crate::{Nanos, Progress};

/// A name, with the relays that it came through, is at most this long, in bytes.
const NAME_MOST: usize = 256;

impl Relay {
    pub(super) fn report(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let settles =
            now.saturating_sub(self.started) < self.settings.lease.saturating_add(self.settings.grace);
        self.absent.retain(|_, a| now.saturating_sub(a.since) < self.settings.forget);
        if now < self.report_at {
            return;
        }
        let expected = self.expected(now);
        let stands = self.log.at();
        // Danger: after a relay has gone back to fetch something, what it told before is still so.
        let mut through = stands.through;
        for b in self.below.values().filter(|b| b.done.epoch == stands.epoch) {
            if b.done.through >= expected {
                through = through.min(b.done.through);
            }
        }
        let through = through.max(self.reported.at.through);
        let mut report = Report { at: Progress { epoch: stands.epoch, through }, ..Report::default() };
        if settles {
            report.lacking = 1;
            report.names.push(format!("{}@started", self.name));
        }
        let mut found: Vec<(u64, &[String], Option<String>)> = Vec::new();
        for b in self.below.values() {
            let lacks = !b.told || !b.done_through(report.at);
            found.push((b.lacking.0, &b.lacking.1, lacks.then(|| b.named())));
        }
        for (name, a) in &self.absent {
            let lacks = (a.done.epoch, a.done.through) < (report.at.epoch, report.at.through);
            let named = format!("{name}@{}", a.done.through);
            found.push((a.lacking.0, &a.lacking.1, lacks.then_some(named)));
        }
        found.retain(|(lacking, _, own)| *lacking > 0 || own.is_some());
        found.sort_by(|a, b| (&a.2, a.1).cmp(&(&b.2, b.1)));
        for (lacking, names, own) in found {
            report.lacking = report.lacking.saturating_add(lacking).saturating_add(u64::from(own.is_some()));
            let room = self.settings.names.saturating_sub(report.names.len());
            report.names.extend(own.iter().chain(names).take(room).map(|name| self.placed(name)));
        }
        self.changed = false;
        self.report_at = now.saturating_add(self.settings.report);
        if report != self.reported || std::mem::take(&mut self.tell) {
            self.reported = report.clone();
            actions.push(Action::Report(report));
        }
    }

    /// A name as upstream knows it.
    fn placed(&self, name: &str) -> String {
        let mut placed = if self.root { name.to_owned() } else { format!("{}/{name}", self.name) };
        shorten(&mut placed);
        placed
    }
}

/// Cuts a name that is too long.
pub(super) fn shorten(name: &mut String) {
    let end = (0..=NAME_MOST.min(name.len())).rev().find(|n| name.is_char_boundary(*n)).unwrap_or(0);
    name.truncate(end);
}
