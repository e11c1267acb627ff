//! Versions of the configuration at work: checked against what runs, put in force between two events, kept on disk.

use crate::config::Config;
use crate::operator::{self, log_levels};
use crate::Engine;
use aniseyoke_config::layers::{environment, resolve, Resolved, Source};
use aniseyoke_config::model::Control;
use aniseyoke_config::Fault;
use aniseyoke_control::client::{follow, Host};
use aniseyoke_control::follower::{Follower, Identity, Times};
use aniseyoke_control::store::{Disk, Found, Kept, Store};
use aniseyoke_control::Version;
use aniseyoke_decision::api::Settings;
use aniseyoke_logging::Handle;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A frame may take this part of a proxy's memory: it is there as bytes, as JSON, as text and as what came before.
const MEMORY_PART: usize = 16;
/// The file in the folder that keeps the last good version.
const KEPT: &str = "aniseyoke-version";

/// The layers below a control service's: the file, the environment, and the platform's settings under them.
#[derive(Clone)]
pub struct Below {
    /// The platform's settings without anything laid over them.
    pub platform: Config,
    /// The operator's file, as it was read at the start.
    pub file: Option<Source>,
}

impl Below {
    /// What all layers come to with a version on top: the operator's part, and the platform's with it laid over.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn with(&self, version: Option<&Version>) -> Result<(Resolved, Config), Vec<Fault>> {
        let mut layers: Vec<Source> = self.file.clone().into_iter().collect();
        layers.extend(environment(operator::variables()));
        if let Some(version) = version {
            let unreadable = |why: String| {
                vec![Fault { place: format!("version {}", version.stamp), key: String::new(), why }]
            };
            let text = toml::to_string(&version.body).map_err(|e| unreadable(e.to_string()))?;
            layers.push(Source::Service(version.stamp.number, text));
        }
        let resolved = resolve(&layers)?;
        let mut config = self.platform.clone();
        operator::apply(&resolved, &mut config)?;
        Ok((resolved, config))
    }
}

/// The last good version, if the folder has one that still can be put in force.
pub fn last_good(control: &Control, below: &Below) -> Option<Version> {
    let mut store = Store::new(Disk, control.dir.as_ref()?.join(KEPT));
    match store.find() {
        Ok(Found::Nothing) => None,
        Ok(Found::Damaged { why, aside }) => {
            let aside = aside.map_or("left".to_owned(), |to| format!("put aside as {}", to.display()));
            tracing::warn!("the last good version is damaged and {aside}: {why}");
            None
        }
        Ok(Found::Good(Kept { version, at_ms })) => match below.with(Some(&version)) {
            Ok(_) => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
                let age = std::time::Duration::from_secs(now.saturating_sub(at_ms) / 1000);
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

/// What is in force: the layers as they came to be, and the version on top of them.
pub struct InForce {
    /// What the layers came to.
    pub resolved: Resolved,
    /// The version on top, if there is one.
    pub version: Option<Version>,
}

/// What a version is put in force at.
pub struct Subscription {
    engine: Rc<Engine>,
    below: Below,
    /// The settings that are in force.
    now: RefCell<Settings>,
    in_force: Rc<RefCell<InForce>>,
    log: Rc<Handle>,
    /// One writer at a time. Danger: two that write beside the same file would tear each other's.
    store: Option<Arc<Mutex<Store<Disk>>>>,
    about: Rc<RefCell<serde_json::Value>>,
}

impl Subscription {
    /// What runs now, and what versions are laid over. `about` is what a call for the version is told.
    pub fn new(
        control: &Control,
        engine: Rc<Engine>,
        below: Below,
        now: Settings,
        in_force: Rc<RefCell<InForce>>,
        log: Rc<Handle>,
        about: Rc<RefCell<serde_json::Value>>,
    ) -> Self {
        let store = control.dir.as_ref().map(|dir| Arc::new(Mutex::new(Store::new(Disk, dir.join(KEPT)))));
        Subscription { engine, below, now: RefCell::new(now), in_force, log, store, about }
    }

    /// Follows the services, for good.
    pub async fn run(self, control: Control, at: SocketAddr, memory: usize) -> Infallible {
        let running = self.in_force.borrow().version.clone();
        let boot = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        let frame_most = (memory / MEMORY_PART).min(aniseyoke_control::frame::FRAME_MOST);
        let instance = control.instance.unwrap_or_else(|| at.to_string());
        let identity = Identity { instance, boot, labels: control.labels, frame_most };
        let follower = Follower::new(identity, control.services.len(), running, Times::default(), boot);
        follow(follower, control.services, frame_most, self).await
    }

    /// What would be lost by a change, against what runs now. Danger: a version that is sound by itself may still shut
    /// a class or a tenant out.
    fn harm(&self, then: &Settings) -> Vec<String> {
        let (now, names) = (self.now.borrow(), &self.below.platform.names);
        let mut harm = Vec::new();
        for (n, name) in names.classes.iter().enumerate() {
            let (before, after) = (self.engine.reach(&now, n), self.engine.reach(then, n));
            if before > 0 && after == 0 {
                harm.push(format!(
                    "no node that takes work would be left for class {name}, which has {before}"
                ));
            }
        }
        for (n, name) in names.tenants.iter().enumerate() {
            let share = |s: &Settings| s.tenants.get(n).map_or(0.0, |t| t.quota_rps);
            if share(&now) > 0.0 && share(then) <= 0.0 {
                harm.push(format!("the share of tenant {name} would be nothing, and is {}", share(&now)));
            }
        }
        harm
    }
}

impl Host for Subscription {
    async fn apply(&self, version: Version) -> Result<(), Vec<String>> {
        let told = |faults: Vec<Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>();
        let (below, stamp) = (self.below.clone(), version.stamp);
        // Danger: to read and check a long version takes longer than requests may wait for the one thread.
        let read = tokio::task::spawn_blocking(move || (below.with(Some(&version)), version));
        let (read, version) = read.await.map_err(|e| vec![format!("it could not be read: {e}")])?;
        let (resolved, config) = read.map_err(told)?;
        let harm = self.harm(&config.settings);
        if !harm.is_empty() {
            return Err(harm);
        }
        let start = Instant::now();
        let rules = resolved.operator.limits.clone();
        self.engine.retune(config.settings.clone(), rules).map_err(|why| vec![why])?;
        self.log.set_levels(&log_levels(&resolved.operator.log));
        *self.now.borrow_mut() = config.settings;
        if let Some(about) = self.about.borrow_mut().as_object_mut() {
            about.insert("configuration".into(), resolved.digest().into());
            about.insert("version".into(), stamp.to_string().into());
        }
        *self.in_force.borrow_mut() = InForce { resolved, version: Some(version) };
        tracing::info!("version {stamp} is in force, swapped in {:?}", start.elapsed());
        Ok(())
    }

    fn keep(&self, version: Version) {
        let Some(store) = self.store.clone() else { return };
        // The disk may take its time; the one thread does not wait for it.
        tokio::task::spawn_blocking(move || {
            let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            let stamp = version.stamp;
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            // A later version may have come to its turn before this one.
            if matches!(store.find(), Ok(Found::Good(kept)) if kept.version.stamp > stamp) {
                return;
            }
            if let Err(e) = store.keep(&Kept { version, at_ms }) {
                tracing::error!("version {stamp} could not be kept on disk: {e}");
            }
        });
    }

    fn say(&self, what: &str) {
        tracing::warn!("{what}");
    }

    fn answered(&self) -> [u64; 3] {
        self.engine.answered()
    }
}
