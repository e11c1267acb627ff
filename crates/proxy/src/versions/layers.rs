//! The configuration layers that a control service's version overrides, and the last good version from disk.

use super::LAST_GOOD_FILE;
use crate::config::Config;
use crate::operator;
use crate::plan::engine_config;
use crate::wall_clock::unix_millis;
use aniseyoke_config::layers::{environment, resolve, Layer, Resolved};
use aniseyoke_config::model::{Control, Operator};
use aniseyoke_config::ConfigError;
use aniseyoke_control::store::{Disk, Loaded, Store, StoredVersion};
use aniseyoke_control::Version;
use aniseyoke_core::EngineConfig;
use std::sync::Arc;

/// The layers that a control service's version overrides: the operator's file, the environment, and the
/// platform's settings.
pub struct BaseLayers {
    /// The platform's configuration alone.
    pub platform: Config,
    /// The operator's file as read at the start.
    pub file: Option<Layer>,
}

impl BaseLayers {
    /// Merges all layers with a version on top, and returns the operator's settings and the engine's
    /// configuration.
    ///
    /// # Errors
    /// All errors of all layers.
    pub fn with(&self, version: Option<&Version>) -> Result<(Resolved, EngineConfig), Vec<ConfigError>> {
        let mut layers: Vec<Layer> = self.file.clone().into_iter().collect();
        layers.extend(environment(operator::env_variables()));
        if let Some(version) = version {
            layers.push(Layer::Service(version.stamp.number, version.body.value()));
        }
        let resolved = resolve(layers)?;
        let engine_config = engine_config(&resolved, &self.platform)?;
        Ok((resolved, engine_config))
    }
}

/// Returns the last good version, if the folder has one that is still valid.
pub fn last_good(control: &Control, base: &BaseLayers) -> Option<Version> {
    let mut store = Store::new(Disk, control.dir.as_ref()?.join(LAST_GOOD_FILE));
    match store.load() {
        Ok(Loaded::Missing) => None,
        Ok(Loaded::Damaged { reason: cause, quarantined: destination }) => {
            let action = destination.map_or("left".to_owned(), |to| format!("put aside as {}", to.display()));
            tracing::warn!("the last good version is damaged and {action}: {cause}");
            None
        }
        Ok(Loaded::Valid(StoredVersion { version, at_ms })) => match base.with(Some(&version)) {
            Ok(_) => {
                let age = std::time::Duration::from_secs(unix_millis().saturating_sub(at_ms) / 1000);
                let age = humantime::format_duration(age);
                tracing::info!(
                    "version {} from disk is in force, {age} old, until a control service sends one",
                    version.stamp
                );
                Some(version)
            }
            Err(errors) => {
                errors
                    .iter()
                    .for_each(|error| tracing::warn!("the last good version is no longer valid: {error}"));
                None
            }
        },
        Err(e) => {
            tracing::warn!("the last good version can't be read: {e}");
            None
        }
    }
}

/// The configuration in force, and the version on top of its layers.
pub struct ConfigInForce {
    /// The operator's settings from all layers.
    pub operator: Operator,
    /// The control service's version, if there is one.
    pub version: Option<Arc<Version>>,
}
