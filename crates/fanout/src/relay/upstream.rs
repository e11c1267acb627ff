//! What a relay reports to its upstream: up to where its whole subtree has applied purges, and who lags.

use super::{Relay, RelayAction, Report};
use crate::{Nanos, Progress};

/// The longest name, with the relays in front of it, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What one child, or one that has disconnected, contributes to a report.
struct Entry<'a> {
    /// Its own label, if it lags itself.
    own: Option<String>,
    /// Labels of members below it.
    names: &'a [String],
    /// How many members below it lag.
    count: u64,
}

impl Relay {
    /// Reports to the upstream if that is due and something has changed.
    pub(super) fn send_report(&mut self, now: Nanos, actions: &mut Vec<RelayAction>) {
        let retention = self.settings.departed_retention;
        self.departed.retain(|_, child| now.saturating_sub(child.since) < retention);
        if now < self.next_report {
            return;
        }
        let report = self.build_report(now);
        self.report_changed = false;
        self.next_report = now.saturating_add(self.settings.report_interval);
        if report != self.last_report || std::mem::take(&mut self.force_report) {
            self.last_report = report.clone();
            actions.push(RelayAction::Report(report));
        }
    }

    fn build_report(&self, now: Nanos) -> Report {
        let position = Progress { epoch: self.log.epoch(), through: self.lowest_ack(now) };
        let mut report = Report { position, ..Report::default() };
        let warm_up = self.settings.lease.saturating_add(self.settings.grace);
        if now.saturating_sub(self.started) < warm_up {
            report.lagging = 1;
            report.names.push(format!("{}@started", self.name));
        }
        for Entry { own, names, count } in self.lagging_entries(position) {
            report.lagging = report.lagging.saturating_add(count).saturating_add(u64::from(own.is_some()));
            let capacity = self.settings.max_names.saturating_sub(report.names.len());
            let labels = own.iter().chain(names).take(capacity);
            report.names.extend(labels.map(|name| self.qualified(name)));
        }
        report
    }

    /// The lowest number that the children which keep pace have acknowledged.
    fn lowest_ack(&self, now: Nanos) -> u64 {
        let expected = self.position_before_grace(now);
        let epoch = self.log.epoch();
        let in_epoch = self.children.values().filter(|child| child.acked.epoch == epoch);
        let keep_pace = in_epoch.map(|child| child.acked.through).filter(|through| *through >= expected);
        let lowest = keep_pace.fold(self.log.newest(), u64::min);
        // Danger: a relay that fetches entries again has still applied what it reported before.
        lowest.max(self.last_report.position.through)
    }

    /// Everyone that lags behind a position, in a stable order.
    fn lagging_entries(&self, position: Progress) -> Vec<Entry<'_>> {
        let connected = self.children.values().map(|child| {
            let lags = !child.has_acked || !child.has_acked_through(position);
            let own = lags.then(|| child.label());
            Entry { own, names: &child.lagging.names, count: child.lagging.count }
        });
        let departed = self.departed.iter().map(|(name, child)| {
            let lags = (child.acked.epoch, child.acked.through) < (position.epoch, position.through);
            let own = lags.then(|| format!("{name}@{}", child.acked.through));
            Entry { own, names: &child.lagging.names, count: child.lagging.count }
        });
        let mut entries: Vec<Entry<'_>> =
            connected.chain(departed).filter(|entry| entry.count > 0 || entry.own.is_some()).collect();
        entries.sort_by(|a, b| (&a.own, a.names).cmp(&(&b.own, b.names)));
        entries
    }

    /// A name as the upstream knows it.
    fn qualified(&self, name: &str) -> String {
        let mut qualified = if self.is_root { name.to_owned() } else { format!("{}/{name}", self.name) };
        truncate_name(&mut qualified);
        qualified
    }
}

/// Cuts a name that is too long, between two characters.
pub(super) fn truncate_name(name: &mut String) {
    let end = (0..=MAX_NAME_BYTES.min(name.len())).rev().find(|n| name.is_char_boundary(*n)).unwrap_or(0);
    name.truncate(end);
}
