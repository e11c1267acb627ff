//! Replacement of the configuration while the engine runs.

use super::state::EngineState;
use super::Engine;
use crate::config::EngineConfig;
use crate::limits::{Limits, LimitsConfig, LimitsConfigError};
use crate::transport::Transport;
use aniseyoke_decision::api::{Event, ListKind, Settings};
use std::collections::VecDeque;
use std::sync::Arc;

/// Why a new configuration can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReconfigureError {
    /// Open requests refer to classes by their index.
    #[error("the number of classes is {new}, and was {old} at the start")]
    Classes {
        /// The number at the start.
        old: usize,
        /// The number in the new configuration.
        new: usize,
    },
    /// Open requests refer to tenants by their index.
    #[error("the number of tenants is {new}, and was {old} at the start")]
    Tenants {
        /// The number at the start.
        old: usize,
        /// The number in the new configuration.
        new: usize,
    },
    /// A key of the limits has an invalid value.
    #[error(transparent)]
    Limits(#[from] LimitsConfigError),
}

impl<T: Transport> Engine<T> {
    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<EngineConfig> {
        self.state.borrow().config.clone()
    }

    /// Applies a new configuration atomically between two events. Open requests keep the settings in force
    /// when they arrived. Returns the old configuration, because dropping it here could delay requests for
    /// too long.
    ///
    /// # Errors
    /// If the new configuration can't be applied; nothing is changed then.
    pub fn reconfigure(&self, config: Arc<EngineConfig>) -> Result<Arc<EngineConfig>, ReconfigureError> {
        let state = &mut *self.state.borrow_mut();
        check_counts(&state.config.settings, &config.settings)?;
        let mut events = VecDeque::new();
        match &config.limits {
            Some(limits) => Self::apply_limits(state, limits, &config.settings)?,
            None => self.remove_limits(state, &mut events),
        }
        state.balancer.update_settings(config.settings.clone());
        let old = std::mem::replace(&mut state.config, config);
        let (old_overlay, new_overlay) = (&old.routing.overlay, &state.config.routing.overlay);
        let changed = state.endpoint_list.changed_by(old_overlay, new_overlay);
        if !changed.is_empty() {
            self.propagate_endpoints(state, ListKind::Overlay, &changed, &mut events);
        }
        self.handle_events(state, events);
        Ok(old)
    }

    fn apply_limits(
        state: &mut EngineState<T>,
        config: &LimitsConfig,
        settings: &Settings,
    ) -> Result<(), LimitsConfigError> {
        if let Some(limits) = state.limits.as_mut() {
            return limits.reconfigure(config.clone(), settings);
        }
        let mut limits = Limits::new(config.clone(), settings)?;
        // Limits created later than the list would treat the origin as a node until the list is reported
        // again.
        state.endpoint_list.entries().for_each(|(entry, _)| limits.update_endpoint(entry));
        state.limits = Some(limits);
        Ok(())
    }

    /// Removes all limits and starts all waiting attempts immediately.
    fn remove_limits(&self, state: &mut EngineState<T>, events: &mut VecDeque<Event>) {
        let Some(limits) = state.limits.take() else { return };
        let released = limits.release();
        for (id, number) in released.waiting {
            self.start_attempt(state, id, number);
        }
        for server in released.servers {
            events.push_back(Event::ConcurrencyLimit { server, limit: f64::INFINITY });
        }
    }
}

fn check_counts(old: &Settings, new: &Settings) -> Result<(), ReconfigureError> {
    let (old_classes, new_classes) = (old.classes.len(), new.classes.len());
    if old_classes != new_classes {
        return Err(ReconfigureError::Classes { old: old_classes, new: new_classes });
    }
    let (old_tenants, new_tenants) = (old.tenants.len(), new.tenants.len());
    if old_tenants != new_tenants {
        return Err(ReconfigureError::Tenants { old: old_tenants, new: new_tenants });
    }
    Ok(())
}
