//! Tasks that run beside the connections for as long as the process lives.

use crate::config::Config;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Does something again and again, with a pause before each time.
pub(super) fn every(interval: Duration, mut action: impl FnMut() + 'static) {
    tokio::task::spawn_local(async move {
        loop {
            sleep(interval).await;
            action();
        }
    });
}

/// Reads the platform's file again at each SIGHUP: the discovery service may have another address. Then calls `reload`.
pub(super) fn reload_on_hangup(
    mut hangup: Signal,
    address_changes: mpsc::UnboundedSender<SocketAddr>,
    reload: Box<dyn Fn()>,
) {
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Config::reload() {
                // The receiver is gone only when the proxy ends.
                Ok(config) => drop(address_changes.send(config.discovery)),
                Err(e) => tracing::warn!("the settings stay as they are: {e}"),
            }
            reload();
        }
    });
}
