//! The thread that follows control services: parses each version, checks it against the configuration in
//! force, has it applied, and stores it on disk.

use super::updater::{CheckedVersion, UpdateRequest};
use super::{max_frame_bytes, BaseLayers, ConfigInForce, LAST_GOOD_FILE};
use crate::background_writer::BackgroundWriter;
use crate::config::Names;
use crate::operator::log_levels;
use crate::signals;
use crate::wall_clock::{unix_millis, unix_time};
use aniseyoke_config::model::Control;
use aniseyoke_config::ConfigError;
use aniseyoke_control::client::{follow, FollowerHandler};
use aniseyoke_control::follower::{Follower, Identity, Rejection, RequestCounts, Times};
use aniseyoke_control::store::{Disk, Loaded, Store, StoredVersion};
use aniseyoke_control::Version;
use aniseyoke_core::{EngineConfig, RequestCounters};
use aniseyoke_decision::api::Entry;
use aniseyoke_routes::review::{review, Breakage, Configuration};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The subscription to versions from control services.
pub struct Subscription {
    base: Arc<BaseLayers>,
    requests: mpsc::Sender<UpdateRequest>,
    counters: Arc<RequestCounters>,
    /// Writer of the last good version, if there is a folder for it.
    writer: Option<BackgroundWriter<StoredVersion>>,
}

impl Subscription {
    /// Creates a subscription whose versions override `base` and are applied by the receiver of `requests`.
    /// `counters` counts clients' requests.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn new(
        control: &Control,
        base: Arc<BaseLayers>,
        requests: mpsc::Sender<UpdateRequest>,
        counters: Arc<RequestCounters>,
    ) -> std::io::Result<Self> {
        let writer = control.dir.as_ref().map(|dir| {
            let mut store = Store::new(Disk, dir.join(LAST_GOOD_FILE));
            let mut failing = false;
            BackgroundWriter::start(move |stored: &StoredVersion| {
                let stamp = stored.version.stamp;
                // Another process of this proxy may have stored a later version.
                if matches!(store.load(), Ok(Loaded::Valid(on_disk)) if on_disk.version.stamp > stamp) {
                    return true;
                }
                let saved = store.save(stored);
                match (&saved, failing) {
                    (Err(e), false) => tracing::error!("version {stamp} could not be stored on disk: {e}"),
                    (Ok(()), true) => tracing::info!("version {stamp} is stored on disk"),
                    _ => {}
                }
                failing = saved.is_err();
                !failing
            })
        });
        Ok(Subscription { base, requests, counters, writer: writer.transpose()? })
    }

    /// Follows the services on a thread of its own until the process ends. `running` is the version already
    /// in force.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        self,
        control: Control,
        addr: SocketAddr,
        running: Option<Arc<Version>>,
    ) -> std::io::Result<()> {
        let max_frame_bytes = max_frame_bytes(self.base.platform.memory);
        let boot = u64::try_from(unix_time().as_nanos()).unwrap_or(u64::MAX);
        let instance = control.instance.unwrap_or_else(|| addr.to_string());
        let identity = Identity { instance, boot, labels: control.labels, max_frame_bytes };
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().max_blocking_threads(1).build()?;
        let run = move || {
            let running = running.map(Arc::unwrap_or_clone);
            let follower = Follower::new(identity, control.services.len(), running, Times::default(), boot);
            let services = follow(follower, control.services, max_frame_bytes, self);
            tokio::task::LocalSet::new().block_on(&runtime, services);
        };
        let thread = std::thread::Builder::new().name("versions".into());
        signals::with_signals_blocked(|| thread.spawn(run)).map(drop)
    }

    async fn request<T>(
        &self,
        update: impl FnOnce(oneshot::Sender<T>) -> UpdateRequest,
    ) -> Result<T, Vec<String>> {
        let shutting_down = || vec!["the proxy ends".to_owned()];
        let (reply, answer) = oneshot::channel();
        self.requests.send(update(reply)).await.map_err(|_| shutting_down())?;
        answer.await.map_err(|_| shutting_down())
    }
}

/// Parses a version and checks it against the configuration in force, `current`, and its nodes.
fn check_version(
    base: &BaseLayers,
    current: &EngineConfig,
    nodes: &[Entry],
    version: Version,
) -> Result<CheckedVersion, Vec<String>> {
    let lines = |errors: Vec<ConfigError>| errors.iter().map(ToString::to_string).collect::<Vec<_>>();
    let (resolved, engine_config) = base.with(Some(&version)).map_err(lines)?;
    let reviewed = |config| -> Configuration<'_> {
        let EngineConfig { settings, routing, .. }: &EngineConfig = config;
        Configuration { settings, routing }
    };
    let breakages = review(reviewed(current), reviewed(&engine_config), nodes);
    if !breakages.is_empty() {
        let pools: Vec<&str> = resolved.operator.pools.keys().map(String::as_str).collect();
        return Err(breakages
            .iter()
            .map(|breakage| describe(breakage, &base.platform.names, &pools))
            .collect());
    }
    let levels = log_levels(&resolved.operator.log);
    let (digest, stamp) = (resolved.digest(), version.stamp.to_string());
    let in_force = ConfigInForce { operator: resolved.operator, version: Some(Arc::new(version)) };
    Ok(CheckedVersion { engine_config: Arc::new(engine_config), levels, in_force, digest, stamp })
}

/// Describes a breakage for the control service and the log.
fn describe(breakage: &Breakage, names: &Names, pools: &[&str]) -> String {
    match breakage {
        Breakage::NoNode { class, pool, nodes_before } => {
            let routed = pool.and_then(|p| pools.get(p)).map(|name| format!(" routed to pool {name}"));
            let (class, routed) = (&names.classes[*class], routed.unwrap_or_default());
            format!(
                "no node that takes work would be left for class {class}{routed}, which has {nodes_before}"
            )
        }
        Breakage::NoQuota { tenant, quota_before } => {
            format!("the share of tenant {} would be nothing, and is {quota_before}", names.tenants[*tenant])
        }
    }
}

impl FollowerHandler for Subscription {
    async fn apply(&self, version: Version) -> Result<(), Rejection> {
        let stamp = version.stamp;
        let (current, nodes) = self.request(UpdateRequest::Read).await?;
        let base = self.base.clone();
        // Frames are received meanwhile, so that of many versions in a row only the newest is checked next.
        let check = tokio::task::spawn_blocking(move || check_version(&base, &current, &nodes, version));
        let checked = check.await.map_err(|e| vec![format!("it could not be read: {e}")])??;
        let replaced = self
            .request(|reply| UpdateRequest::Apply(Box::new(checked), reply))
            .await?
            .map_err(|error| vec![error])?;
        tracing::info!("version {stamp} is in force, swapped in {:?}", replaced.took);
        Ok(())
    }

    fn persist(&self, version: Version) {
        let at_ms = unix_millis();
        self.writer.iter().for_each(|writer| writer.write(StoredVersion { version: version.clone(), at_ms }));
    }

    fn warn(&self, message: &str) {
        tracing::warn!("{message}");
    }

    fn take_request_counts(&self) -> RequestCounts {
        let counts = self.counters.take();
        RequestCounts { served: counts.served, rejected: counts.rejected, failed: counts.failed }
    }
}
