//! The commands that run a service or a relay.

use crate::cli::{RelayArgs, ServeArgs};
use crate::error::CommandError;
use crate::{runtime, warn};
use aniseyoke_control::epoch::{self, EpochError};
use aniseyoke_control::relay::{self, RelayConfig, Root, RootConfig};
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::service::Service;
use aniseyoke_control::store::{Disk, Loaded, Store, StoredVersion};
use aniseyoke_control::{operators, Publisher};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The name of the file that stores the newest version, in the service's directory.
const NEWEST_VERSION_FILE: &str = "newest";
/// If a version could not be stored, the newest one is stored again at this interval until it succeeds.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The name of the purge log's directory, in the service's directory.
const PURGE_LOG_DIR: &str = "purges";

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn next_epoch(dir: &Path) -> Result<u64, EpochError> {
    epoch::raise(&mut Disk, dir, since_unix_epoch().as_secs())
}

async fn bind(purpose: &str, addr: SocketAddr) -> Result<TcpListener, CommandError> {
    let listener = TcpListener::bind(addr).await.map_err(CommandError::at(addr))?;
    let bound = listener.local_addr().map_err(CommandError::at(addr))?;
    warn(&format!("{purpose} {bound}"));
    Ok(listener)
}

/// Runs a relay. Returns only on an error.
pub fn relay(args: RelayArgs) -> Result<Infallible, CommandError> {
    let settings = args.fanout.settings(args.batch, args.grace, args.forget)?;
    let config = RelayConfig {
        name: args.name,
        upstream: args.upstream,
        settings,
        log_capacity: args.fanout.log_entries,
        boot: since_unix_epoch().as_nanos() as u64,
        warn,
    };
    LocalSet::new().block_on(&runtime()?, async move {
        let proxies = bind("proxies connect at", args.listen).await?;
        let operators = match args.operators {
            Some(addr) => Some(bind("operators call at", addr).await?),
            None => None,
        };
        Ok(relay::run(config, proxies, operators).await)
    })
}

/// Runs a service. Returns only on an error.
pub fn serve(args: ServeArgs) -> Result<Infallible, CommandError> {
    let settings = match args.purges {
        true => Some(args.fanout.settings(args.batch, args.grace, args.forget)?),
        false => None,
    };
    let dir: Rc<Path> = args.dir.into();
    std::fs::create_dir_all(&dir).map_err(CommandError::at(dir.display()))?;
    let mut store = Store::new(Disk, dir.join(NEWEST_VERSION_FILE));
    let first_epoch = next_epoch(&dir)?;
    let publisher = Publisher::new(first_epoch);
    let (service, root) = match settings {
        Some(settings) => {
            let log_capacity = args.fanout.log_entries;
            let config = RootConfig { settings, log_capacity, batch: args.batch, epoch: first_epoch, warn };
            let root = Root::open(publisher, &dir.join(PURGE_LOG_DIR), config)?;
            (root.service.clone(), Some(root))
        }
        None => (Service::new(publisher), None),
    };
    let loaded = store.load()?;
    service.store_with(move |version| {
        let at_ms = since_unix_epoch().as_millis() as u64;
        store.save(&StoredVersion { version: version.clone(), at_ms })
    });
    republish_loaded(&service, loaded)?;
    LocalSet::new().block_on(&runtime()?, async move {
        let proxies = bind("proxies connect at", args.listen).await?;
        let operators = bind("operators call at", args.operators).await?;
        if let Some(root) = root {
            let dir = dir.clone();
            tokio::task::spawn_local(root.run(move || next_epoch(&dir)));
        }
        tokio::task::spawn_local(service.clone().serve(proxies));
        tokio::task::spawn_local(operators::serve(service.clone(), operators));
        loop {
            sleep(STORE_RETRY_INTERVAL).await;
            service.repair_store();
        }
    })
}

/// Publishes the version that was loaded from disk under a new stamp.
fn republish_loaded(service: &Service, loaded: Loaded) -> Result<(), CommandError> {
    match loaded {
        Loaded::Valid(stored) => {
            let before = stored.version.stamp;
            let stamp = service.publish(stored.version.body.value(), Plan::default())?;
            warn(&format!("republished version {before} from disk as version {stamp}"));
        }
        Loaded::Damaged { reason, quarantined } => {
            warn(&format!(
                "the newest version on disk is damaged: {reason}; quarantine file: {quarantined:?}"
            ));
        }
        Loaded::Missing => {}
    }
    Ok(())
}
