//! A relay's reports to its upstream: the position up to which its whole subtree has applied purges, and
//! which members lag.

use super::{Relay, RelayAction, Report};
use crate::{Nanos, Progress};

/// The maximum length of a name including the names of the relays before it, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What one child, connected or not, contributes to a report.
struct ChildSummary<'a> {
    /// The child's label if the child itself lags.
    own_label: Option<String>,
    /// The labels of lagging members below it.
    names: &'a [String],
    /// The number of lagging members below it.
    count: u64,
}

impl Relay {
    /// Sends a report to the upstream if one is due and the report has changed.
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
        for ChildSummary { own_label, names, count } in self.lagging_children(position) {
            report.lagging =
                report.lagging.saturating_add(count).saturating_add(u64::from(own_label.is_some()));
            let capacity = self.settings.max_names.saturating_sub(report.names.len());
            let labels = own_label.iter().chain(names).take(capacity);
            report.names.extend(labels.map(|name| self.qualified(name)));
        }
        report
    }

    /// Returns the lowest number acknowledged by the children that lag no longer than the grace period.
    fn lowest_ack(&self, now: Nanos) -> u64 {
        let expected = self.position_before_grace(now);
        let epoch = self.log.epoch();
        let in_epoch = self.children.values().filter(|child| child.acked.epoch == epoch);
        let keep_pace = in_epoch.map(|child| child.acked.through).filter(|through| *through >= expected);
        let lowest = keep_pace.fold(self.log.newest(), u64::min);
        // A relay that refetches entries has still applied what it reported before.
        lowest.max(self.last_report.position.through)
    }

    /// Returns the children that lag, or have lagging members below them, in a stable order.
    fn lagging_children(&self, position: Progress) -> Vec<ChildSummary<'_>> {
        let connected = self.children.values().map(|child| {
            let lags = !child.has_acked || !child.has_acked_through(position);
            let own_label = lags.then(|| child.label());
            ChildSummary { own_label, names: &child.lagging.names, count: child.lagging.count }
        });
        let departed = self.departed.iter().map(|(name, child)| {
            let lags = (child.acked.epoch, child.acked.through) < (position.epoch, position.through);
            let own_label = lags.then(|| format!("{name}@{}", child.acked.through));
            ChildSummary { own_label, names: &child.lagging.names, count: child.lagging.count }
        });
        let mut summaries: Vec<ChildSummary<'_>> = connected
            .chain(departed)
            .filter(|summary| summary.count > 0 || summary.own_label.is_some())
            .collect();
        summaries.sort_by(|a, b| (&a.own_label, a.names).cmp(&(&b.own_label, b.names)));
        summaries
    }

    /// Returns a name as reported to the upstream: prefixed with this relay's name, except at the root.
    fn qualified(&self, name: &str) -> String {
        let mut qualified = if self.is_root { name.to_owned() } else { format!("{}/{name}", self.name) };
        truncate_name(&mut qualified);
        qualified
    }
}

/// Truncates a name to [`MAX_NAME_BYTES`] at a character boundary.
pub(super) fn truncate_name(name: &mut String) {
    let end = (0..=MAX_NAME_BYTES.min(name.len())).rev().find(|n| name.is_char_boundary(*n)).unwrap_or(0);
    name.truncate(end);
}
