//! What the core is told of the fleet and of how it is to be used: the list, operators' orders, other plans.

use super::*;
use std::borrow::Cow;

/// An entry of the list, and where to connect; no address: one that can't be read.
type Listed = (Entry, Option<SocketAddr>);

impl<F: Fleet> Engine<F> {
    /// News of the list.
    pub fn list(&self, kind: ListKind, entries: &[Listed]) {
        self.told.set(self.told.get() || matches!(kind, ListKind::Full | ListKind::Delta));
        entries.iter().for_each(|(e, _)| self.listed.borrow_mut().add(e.server));
        let core = &mut *self.core.borrow_mut();
        if kind != ListKind::Failed {
            core.listing.take(kind != ListKind::Delta, entries);
        }
        let overlay = &core.plan.routing.overlay;
        let laid: Cow<'_, [Listed]> = match overlay.is_empty() {
            true => entries.into(),
            false => entries.iter().map(|(e, addr)| (overlay.apply(e), *addr)).collect(),
        };
        let mut events = VecDeque::new();
        self.tell(core, kind, &laid, &mut events);
        self.feed_all(core, events);
    }

    /// Tells node side, limits and module of entries as operators want them.
    fn tell(&self, core: &mut Core<F>, kind: ListKind, laid: &[Listed], events: &mut VecDeque<Event>) {
        if kind != ListKind::Failed {
            self.fleet.update(!matches!(kind, ListKind::Delta | ListKind::Overlay), laid);
        }
        let entries: Vec<Entry> = laid.iter().map(|(e, _)| e.clone()).collect();
        if let Some(limits) = core.limits.as_mut() {
            entries.iter().for_each(|e| limits.listed(e));
        }
        events.push_back(Event::EndpointList { kind, entries });
    }

    /// What is in force.
    pub fn plan(&self) -> Arc<Plan> {
        self.core.borrow().plan.clone()
    }

    /// The entries of the list as discovery tells them, but for nodes that operators have taken out.
    pub fn standing(&self) -> Vec<Entry> {
        let core = self.core.borrow();
        let open = core.listing.entries().filter(|(e, _)| !core.balancer.is_excluded(e.server));
        open.map(|(e, _)| e.clone()).collect()
    }

    /// Takes another plan over between two events: no request sees half of it, and those that are open keep the settings
    /// they came under. Returns the old plan, whose end may take longer than requests may wait.
    ///
    /// # Errors
    /// Why it can't be taken over; nothing is changed then.
    pub fn retune(&self, plan: Arc<Plan>) -> Result<Arc<Plan>, String> {
        let core = &mut *self.core.borrow_mut();
        let known = |s: &Settings| (s.classes.len(), s.tenants.len());
        if known(&plan.settings) != known(&core.plan.settings) {
            return Err("classes or tenants are others in number".into());
        }
        let mut events = VecDeque::new();
        let (fault, settings) = (|fault: limits::Fault| fault.to_string(), &plan.settings);
        match (core.limits.as_mut(), plan.limits.clone()) {
            (Some(limits), Some(rules)) => limits.retune(rules, settings).map_err(fault)?,
            (None, Some(rules)) => {
                let mut limits = Limits::new(rules, settings).map_err(fault)?;
                // Danger: limits that come late would take the origin for a node until the list is told again.
                core.listing.entries().for_each(|(e, _)| limits.listed(e));
                core.limits = Some(limits);
            }
            (_, None) => {
                if let Some(limits) = core.limits.take() {
                    let (waiting, nodes) = limits.release();
                    waiting.into_iter().for_each(|(id, number)| self.start(core, id, number));
                    events.extend(
                        nodes
                            .into_iter()
                            .map(|server| Event::ConcurrencyLimit { server, limit: f64::INFINITY }),
                    );
                }
            }
        }
        core.balancer.update_settings(plan.settings.clone());
        let old = std::mem::replace(&mut core.plan, plan);
        let changed = core.listing.changed(&old.routing.overlay, &core.plan.routing.overlay);
        if !changed.is_empty() {
            self.tell(core, ListKind::Overlay, &changed, &mut events);
        }
        self.feed_all(core, events);
        Ok(old)
    }

    /// Whether an id was ever listed.
    pub fn listed(&self, id: &str) -> bool {
        self.listed.borrow().knows(server_id(id))
    }

    /// Operators take a server out, or give it back.
    pub fn ban(&self, id: &str, out: bool) {
        let server = server_id(id);
        self.listed.borrow_mut().add(server);
        self.fleet.ban(server, out);
        let event = if out { Event::Excluded(server) } else { Event::Included(server) };
        self.feed(&mut self.core.borrow_mut(), event);
    }
}
