//! The layers of the configuration under a control service's version, and the last good version from disk.

use super::KEPT;
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

/// The layers under a control service's version: the file, the environment, and the platform's settings under them.
pub struct BaseLayers {
    /// The platform's settings without anything laid over them.
    pub platform: Config,
    /// The operator's file, as it was read at the start.
    pub file: Option<Layer>,
}

impl BaseLayers {
    /// The configuration from all layers with a version on top: the operator's part, and the engine's.
    ///
    /// # Errors
    /// All that is wrong in the layers.
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

/// The last good version, if the folder has one that can still be put in force.
pub fn last_good(control: &Control, base: &BaseLayers) -> Option<Version> {
    let mut store = Store::new(Disk, control.dir.as_ref()?.join(KEPT));
    match store.load() {
        Ok(Loaded::Missing) => None,
        Ok(Loaded::Damaged { reason: why, quarantined: aside }) => {
            let aside = aside.map_or("left".to_owned(), |to| format!("put aside as {}", to.display()));
            tracing::warn!("the last good version is damaged and {aside}: {why}");
            None
        }
        Ok(Loaded::Valid(StoredVersion { version, at_ms })) => match base.with(Some(&version)) {
            Ok(_) => {
                let age = std::time::Duration::from_secs(unix_millis().saturating_sub(at_ms) / 1000);
                let age = humantime::format_duration(age);
                tracing::info!(
                    "version {} from disk is in force, {age} old and stale until a service says so",
                    version.stamp
                );
                Some(version)
            }
            Err(faults) => {
                faults
                    .iter()
                    .for_each(|f| tracing::warn!("the last good version does not fit here any more: {f}"));
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
    /// The operator's part from all layers.
    pub operator: Operator,
    /// The version on top, if there is one.
    pub version: Option<Arc<Version>>,
}
