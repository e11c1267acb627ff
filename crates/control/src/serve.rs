//! Runs a service or a relay.

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

/// The file of the newest version, in the service's folder.
const NEWEST: &str = "newest";
/// After a version that could not be stored, the newest one is stored again at this interval.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// The folder of the log of purges, in the service's folder.
const PURGES: &str = "purges";

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn next_epoch(folder: &Path) -> Result<u64, EpochError> {
    epoch::raise(&mut Disk, folder, since_unix_epoch().as_secs())
}

async fn bind(purpose: &str, addr: SocketAddr) -> Result<TcpListener, CommandError> {
    let listener = TcpListener::bind(addr).await.map_err(CommandError::at(addr))?;
    let bound = listener.local_addr().map_err(CommandError::at(addr))?;
    warn(&format!("{purpose} {bound}"));
    Ok(listener)
}

/// Runs a relay, for good.
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

/// Runs a service, for good.
pub fn serve(args: ServeArgs) -> Result<Infallible, CommandError> {
    let settings = match args.purges {
        true => Some(args.fanout.settings(args.batch, args.grace, args.forget)?),
        false => None,
    };
    let folder: Rc<Path> = args.folder.into();
    std::fs::create_dir_all(&folder).map_err(CommandError::at(folder.display()))?;
    let mut store = Store::new(Disk, folder.join(NEWEST));
    let first_epoch = next_epoch(&folder)?;
    let publisher = Publisher::new(first_epoch);
    let (service, root) = match settings {
        Some(settings) => {
            let log_capacity = args.fanout.log_entries;
            let config = RootConfig { settings, log_capacity, batch: args.batch, epoch: first_epoch, warn };
            let root = Root::open(publisher, &folder.join(PURGES), config)?;
            (root.service.clone(), Some(root))
        }
        None => (Service::new(publisher), None),
    };
    let loaded = store.load()?;
    service.store_with(move |version| {
        let at_ms = since_unix_epoch().as_millis() as u64;
        store.save(&StoredVersion { version: version.clone(), at_ms })
    });
    publish_loaded(&service, loaded)?;
    LocalSet::new().block_on(&runtime()?, async move {
        let proxies = bind("proxies connect at", args.listen).await?;
        let operators = bind("operators call at", args.operators).await?;
        if let Some(root) = root {
            let folder = folder.clone();
            tokio::task::spawn_local(root.run(move || next_epoch(&folder)));
        }
        tokio::task::spawn_local(service.clone().serve(proxies));
        tokio::task::spawn_local(operators::serve(service.clone(), operators));
        loop {
            sleep(STORE_RETRY).await;
            service.repair_store();
        }
    })
}

/// Publishes the version from disk, under a new stamp.
fn publish_loaded(service: &Service, loaded: Loaded) -> Result<(), CommandError> {
    match loaded {
        Loaded::Valid(stored) => {
            let before = stored.version.stamp;
            let stamp = service.publish(stored.version.body.value(), Plan::default())?;
            warn(&format!("version {before} from disk is published as version {stamp}"));
        }
        Loaded::Damaged { reason, quarantined } => {
            warn(&format!("the newest version on disk was damaged: {reason}; it is at {quarantined:?}"));
        }
        Loaded::Missing => {}
    }
    Ok(())
}
