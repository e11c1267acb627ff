//! The serving thread's side: shows the configuration in force, and replaces it by a version that has been checked.

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

/// A version that has been read and checked.
pub struct CheckedVersion {
    /// The engine's configuration.
    pub plan: Arc<EngineConfig>,
    /// The log's levels.
    pub levels: Levels,
    /// The configuration in force with it.
    pub in_force: ConfigInForce,
    /// The digest of the configuration, which the admin endpoint shows.
    pub digest: String,
    /// The version's stamp, which it shows too.
    pub stamp: String,
}

/// The configuration that was replaced. Who gets it drops it, off the serving thread.
pub struct Replaced {
    /// How long the serving thread was held up.
    pub took: Duration,
    /// What is no longer in force.
    #[allow(dead_code, reason = "held for its end alone")]
    pub old: (Arc<EngineConfig>, ConfigInForce),
}

/// What the thread that follows control services requests of the serving one.
pub enum UpdateRequest {
    /// The engine's configuration in force, and the nodes that operators have not excluded.
    Read(oneshot::Sender<(Arc<EngineConfig>, Vec<Entry>)>),
    /// Replace the configuration in force by this.
    Apply(Box<CheckedVersion>, oneshot::Sender<Result<Replaced, String>>),
}

/// Puts versions in force.
pub struct ConfigUpdater {
    /// The engine.
    pub engine: Rc<Engine>,
    /// The configuration in force.
    pub in_force: Rc<RefCell<ConfigInForce>>,
    /// The log.
    pub log: Rc<LogHandle>,
    /// What the admin endpoint answers to a call for the version.
    pub version_info: Rc<RefCell<serde_json::Value>>,
}

impl ConfigUpdater {
    /// Carries out requests until nobody can send any.
    pub async fn run(self, mut requests: mpsc::Receiver<UpdateRequest>) {
        while let Some(request) = requests.recv().await {
            // Who sent the request may be gone, with the proxy.
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
        let plan = self.engine.reconfigure(checked.plan).map_err(|error| error.to_string())?;
        self.log.set_levels(&checked.levels);
        if let Some(version_info) = self.version_info.borrow_mut().as_object_mut() {
            version_info.insert("configuration".into(), checked.digest.into());
            version_info.insert("version".into(), checked.stamp.into());
        }
        let before = self.in_force.replace(checked.in_force);
        Ok(Replaced { took: start.elapsed(), old: (plan, before) })
    }
}
