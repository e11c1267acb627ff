//! The part of the subscription that runs on the serving thread: returns the configuration in force, and
//! replaces it by a checked version.

use super::ConfigInForce;
use crate::Engine;
use aniseyoke_core::EngineConfig;
use aniseyoke_decision::api::Entry;
use aniseyoke_logging::{Levels, LogHandle};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// A version that has been parsed and checked.
pub struct CheckedVersion {
    /// The engine's configuration.
    pub engine_config: Arc<EngineConfig>,
    /// The log levels.
    pub levels: Levels,
    /// The operator's settings and the version.
    pub in_force: ConfigInForce,
    /// Digest of the configuration, for the admin endpoint.
    pub digest: String,
    /// Stamp of the version, for the admin endpoint.
    pub stamp: String,
}

/// The configuration that was replaced, which the receiver drops outside of the serving thread.
pub struct Replaced {
    /// How long the replacement blocked the serving thread.
    pub took: Duration,
    /// The previous configuration.
    #[allow(dead_code, reason = "held only to be dropped by the receiver")]
    pub old: (Arc<EngineConfig>, ConfigInForce),
}

/// Requests of the thread that follows control services to the serving thread.
pub enum UpdateRequest {
    /// Return the engine's configuration in force, and the nodes that operators have not banned.
    Read(oneshot::Sender<(Arc<EngineConfig>, Vec<Entry>)>),
    /// Replace the configuration in force by this version.
    Apply(Box<CheckedVersion>, oneshot::Sender<Result<Replaced, String>>),
}

/// Applies versions on the serving thread.
pub struct ConfigUpdater {
    /// The engine.
    pub engine: Rc<Engine>,
    /// The configuration in force.
    pub in_force: Rc<RefCell<ConfigInForce>>,
    /// The log, whose levels are part of a version.
    pub log: Rc<LogHandle>,
    /// The admin endpoint's answer to a call for the version.
    pub version_info: Rc<RefCell<serde_json::Value>>,
}

impl ConfigUpdater {
    /// Handles requests until all senders are dropped.
    pub async fn run(self, mut requests: mpsc::Receiver<UpdateRequest>) {
        while let Some(request) = requests.recv().await {
            // The sender may be gone if the proxy is shutting down.
            match request {
                UpdateRequest::Read(reply) => {
                    drop(reply.send((self.engine.config(), self.engine.active_endpoints())));
                }
                UpdateRequest::Apply(checked, reply) => drop(reply.send(self.apply(*checked))),
            }
        }
    }

    fn apply(&self, checked: CheckedVersion) -> Result<Replaced, String> {
        let start = Instant::now();
        let old_config = self.engine.reconfigure(checked.engine_config).map_err(|error| error.to_string())?;
        self.log.set_levels(&checked.levels);
        if let Some(version_info) = self.version_info.borrow_mut().as_object_mut() {
            version_info.insert("configuration".into(), checked.digest.into());
            version_info.insert("version".into(), checked.stamp.into());
        }
        let old_in_force = self.in_force.replace(checked.in_force);
        Ok(Replaced { took: start.elapsed(), old: (old_config, old_in_force) })
    }
}
