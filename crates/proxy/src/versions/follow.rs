//! The thread that follows control services: it reads each version, checks it against the configuration in force, has it
//! put in force and keeps it on disk.

use super::updater::{CheckedVersion, UpdateRequest};
use super::{max_frame_bytes, BaseLayers, ConfigInForce, KEPT};
use crate::background_writer::BackgroundWriter;
use crate::config::Names;
use crate::operator::log_levels;
use crate::signals;
use crate::wall_clock::{unix_millis, unix_time};
use aniseyoke_config::model::Control;
use aniseyoke_config::ConfigError;
use aniseyoke_control::client::{follow, Host};
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
    tally: Arc<RequestCounters>,
    /// The one writer of the last good version, where there is a folder for it.
    keeping: Option<BackgroundWriter<StoredVersion>>,
}

impl Subscription {
    /// Versions are laid over `base` and put in force by who receives `requests`; `tally` counts clients' requests.
    ///
    /// # Errors
    /// If there is no thread to be had.
    pub fn new(
        control: &Control,
        base: Arc<BaseLayers>,
        requests: mpsc::Sender<UpdateRequest>,
        tally: Arc<RequestCounters>,
    ) -> std::io::Result<Self> {
        let keeping = control.dir.as_ref().map(|dir| {
            let mut store = Store::new(Disk, dir.join(KEPT));
            let mut failing = false;
            BackgroundWriter::start(move |kept: &StoredVersion| {
                let stamp = kept.version.stamp;
                // Another process of this proxy may have kept a later one.
                if matches!(store.load(), Ok(Loaded::Valid(before)) if before.version.stamp > stamp) {
                    return true;
                }
                let done = store.save(kept);
                match (&done, failing) {
                    (Err(e), false) => tracing::error!("version {stamp} could not be kept on disk: {e}"),
                    (Ok(()), true) => tracing::info!("version {stamp} is kept on disk"),
                    _ => {}
                }
                failing = done.is_err();
                !failing
            })
        });
        Ok(Subscription { base, requests, tally, keeping: keeping.transpose()? })
    }

    /// Follows the services on a thread of its own, as long as the process lives. `running` is in force already.
    ///
    /// # Errors
    /// If there is no thread to be had.
    pub fn start(
        self,
        control: Control,
        at: SocketAddr,
        running: Option<Arc<Version>>,
    ) -> std::io::Result<()> {
        let max_frame_bytes = max_frame_bytes(self.base.platform.memory);
        let boot = u64::try_from(unix_time().as_nanos()).unwrap_or(u64::MAX);
        let instance = control.instance.unwrap_or_else(|| at.to_string());
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
        let ends = || vec!["the proxy ends".to_owned()];
        let (reply, answer) = oneshot::channel();
        self.requests.send(update(reply)).await.map_err(|_| ends())?;
        answer.await.map_err(|_| ends())
    }
}

/// Reads a version and checks it against the configuration in force, `now`, and its nodes.
fn read(
    base: &BaseLayers,
    now: &EngineConfig,
    nodes: &[Entry],
    version: Version,
) -> Result<CheckedVersion, Vec<String>> {
    let lines = |errors: Vec<ConfigError>| errors.iter().map(ToString::to_string).collect::<Vec<_>>();
    let (resolved, plan) = base.with(Some(&version)).map_err(lines)?;
    let side = |plan| -> Configuration<'_> {
        let EngineConfig { settings, routing, .. }: &EngineConfig = plan;
        Configuration { settings, routing }
    };
    let breakages = review(side(now), side(&plan), nodes);
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
    Ok(CheckedVersion { plan: Arc::new(plan), levels, in_force, digest, stamp })
}

/// A breakage in words, for the control service and the log.
fn describe(breakage: &Breakage, names: &Names, pools: &[&str]) -> String {
    match breakage {
        Breakage::NoNode { class, pool, nodes_before: had } => {
            let routed = pool.and_then(|p| pools.get(p)).map(|name| format!(" routed to pool {name}"));
            let (class, routed) = (&names.classes[*class], routed.unwrap_or_default());
            format!("no node that takes work would be left for class {class}{routed}, which has {had}")
        }
        Breakage::NoQuota { tenant, quota_before: was } => {
            format!("the share of tenant {} would be nothing, and is {was}", names.tenants[*tenant])
        }
    }
}

impl Host for Subscription {
    async fn apply(&self, version: Version) -> Result<(), Rejection> {
        let stamp = version.stamp;
        let (now, nodes) = self.request(UpdateRequest::Read).await?;
        let base = self.base.clone();
        // Frames are read meanwhile, so that of a flood only the newest counts.
        let read = tokio::task::spawn_blocking(move || read(&base, &now, &nodes, version));
        let checked = read.await.map_err(|e| vec![format!("it could not be read: {e}")])??;
        let replaced = self
            .request(|reply| UpdateRequest::Apply(Box::new(checked), reply))
            .await?
            .map_err(|why| vec![why])?;
        tracing::info!("version {stamp} is in force, swapped in {:?}", replaced.took);
        Ok(())
    }

    fn persist(&self, version: Version) {
        let at_ms = unix_millis();
        self.keeping.iter().for_each(|k| k.write(StoredVersion { version: version.clone(), at_ms }));
    }

    fn warn(&self, what: &str) {
        tracing::warn!("{what}");
    }

    fn take_request_counts(&self) -> RequestCounts {
        let counts = self.tally.take();
        RequestCounts { served: counts.served, rejected: counts.rejected, failed: counts.failed }
    }
}
