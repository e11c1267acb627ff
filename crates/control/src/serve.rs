//! Runs a service or a relay.

use crate::cli::{RelayArgs, ServeArgs};
use crate::error::CommandError;
use crate::{runtime, warn};
use aniseyoke_control::relay::{self, RelayConfig, Root, RootConfig};
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::service::Service;
use aniseyoke_control::store::{Disk, Found, Kept, Store};
use aniseyoke_control::{epoch, operators, Publisher};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// The file of the newest version, in the service's folder.
const NEWEST: &str = "newest";
/// The folder of the log of purges, in the service's folder.
const PURGES: &str = "purges";

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
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
    let first_epoch = epoch::next(&folder)?;
    let publisher = Publisher::new(first_epoch);
    let (service, root) = match settings {
        Some(settings) => {
            let log_capacity = args.fanout.log_entries;
            let config = RootConfig { settings, log_capacity, batch: args.batch, epoch: first_epoch, warn };
            let root = Root::open(publisher, &folder.join(PURGES), config);
            let root = root.map_err(CommandError::PurgeLog)?;
            (root.service.clone(), Some(root))
        }
        None => (Service::new(publisher), None),
    };
    publish_stored(&service, &mut store, &folder)?;
    LocalSet::new().block_on(&runtime()?, async move {
        let proxies = bind("proxies connect at", args.listen).await?;
        let operators = bind("operators call at", args.operators).await?;
        if let Some(root) = root {
            let folder = folder.clone();
            tokio::task::spawn_local(root.run(move || epoch::next(&folder)));
        }
        tokio::task::spawn_local(service.clone().serve(proxies));
        tokio::task::spawn_local(operators::serve(service.clone(), operators));
        Ok(store_published(&service, &mut store).await)
    })
}

/// Publishes the version from disk, under a new stamp.
fn publish_stored(service: &Service, store: &mut Store<Disk>, folder: &Path) -> Result<(), CommandError> {
    match store.find().map_err(CommandError::at(folder.display()))? {
        Found::Good(kept) => {
            let before = kept.version.stamp;
            let stamp = service.publish(kept.version.body.value(), Plan::default())?;
            warn(&format!("version {before} from disk is published as version {stamp}"));
        }
        Found::Damaged { why, aside } => {
            warn(&format!("the newest version on disk was damaged: {why}; it is at {aside:?}"));
        }
        Found::Nothing => {}
    }
    Ok(())
}

/// Stores each version that is published, for good.
async fn store_published(service: &Service, store: &mut Store<Disk>) -> Infallible {
    loop {
        service.published.notified().await;
        let Some(version) = service.newest() else { continue };
        let at_ms = since_unix_epoch().as_millis() as u64;
        if let Err(error) = store.keep(&Kept { version, at_ms }) {
            warn(&format!("the newest version can't be stored: {error}"));
        }
    }
}
