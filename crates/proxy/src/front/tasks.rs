//! Background tasks that run for the lifetime of the process.

use crate::config::Config;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Spawns a task that calls `action` repeatedly, waiting for `interval` before each call.
pub(super) fn every(interval: Duration, mut action: impl FnMut() + 'static) {
    tokio::task::spawn_local(async move {
        loop {
            sleep(interval).await;
            action();
        }
    });
}

/// Spawns a task that rereads the platform's file at each SIGHUP, since the address of the discovery service
/// may have changed, and then calls `reload`.
pub(super) fn reload_on_hangup(
    mut hangup: Signal,
    address_changes: mpsc::UnboundedSender<SocketAddr>,
    reload: Box<dyn Fn()>,
) {
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Config::reload() {
                // Sending fails only when the proxy is shutting down.
                Ok(config) => drop(address_changes.send(config.discovery)),
                Err(e) => tracing::warn!("the settings stay as they are: {e}"),
            }
            reload();
        }
    });
}
