//! A trial: runs one day from start to end. It opens the site, starts the proxies, runs the load, restarts proxies
//! according to the day, audits everything, and shuts all of it down.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod proxies;
mod recovery;
mod report;
mod sweep;

pub use error::TrialError;
pub use recovery::Recovery;
pub use report::Report;
pub use sweep::{plot, sweep, Curve, Point};

use aniseyoke_lab_audit::{Evidence, Observation, Recorder};
use aniseyoke_lab_day::clock::{Clock, Nanos, MILLISECOND};
use aniseyoke_lab_day::{proxy_config, Day};
use aniseyoke_lab_load::{Load, LoadOptions};
use aniseyoke_lab_process::{raise_descriptor_limit, ProxyLauncher};
use aniseyoke_lab_site::{LoadBalancer, Site};
use proxies::Proxies;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Clients use at most one in this many of the proxies' descriptors.
const CLIENTS_DIVISOR: usize = 3;
/// Limit of the real proxies of a trial.
const MAX_PROXIES: usize = 64;
/// Interval at which the health and the usage of the proxies are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The load begins this long after all proxies are healthy.
const START_DELAY: Nanos = 50 * MILLISECOND;

/// Options of a trial in addition to its day.
#[derive(Default)]
pub struct Options<'a> {
    /// Ends the trial early if it is set; the report covers the time until then.
    pub stop: Arc<AtomicBool>,
    /// Is called about ten times per second with the fraction of the load that has been released.
    pub progress: Option<Box<dyn Fn(f64) + 'a>>,
}

/// Runs a day and returns its report.
///
/// # Errors
/// If the day could not be run, because the system lacks a resource or a proxy did not start.
pub fn run(day: &Day, launcher: &dyn ProxyLauncher, options: &Options<'_>) -> Result<Report, TrialError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(TrialError::Runtime)?.block_on(play(day, launcher, options))
}

async fn play(day: &Day, launcher: &dyn ProxyLauncher, options: &Options<'_>) -> Result<Report, TrialError> {
    if day.site.proxy.count > MAX_PROXIES {
        return Err(TrialError::TooManyProxies { count: day.site.proxy.count, max: MAX_PROXIES });
    }
    raise_descriptor_limit();
    let clock = Clock::start();
    let (sender, auditor) = aniseyoke_lab_audit::start(day);
    let (site_sender, load_sender) = (sender.clone(), sender.clone());
    let mut site =
        Site::open(day, clock, move || Recorder::new(clock, site_sender)).map_err(TrialError::Site)?;
    let configs: Vec<_> = (site.discovery.iter().enumerate())
        .map(|(index, addr)| proxy_config(day, index, *addr, &site.initial_lists[index]))
        .collect();
    let folder = tempfile::tempdir().map_err(TrialError::Folder)?;
    let mut proxies = Proxies::start(day, launcher, configs, folder.path())?;
    let load_balancer = Arc::new(LoadBalancer::new(&proxies.addrs(), day.site.proxy.detection_delay));
    proxies.wait_until_healthy().await?;
    let connections = (day.site.proxy.sockets * day.site.proxy.count / CLIENTS_DIVISOR).max(1);
    let from = clock.now() + START_DELAY;
    let recorder = move || Recorder::new(clock, load_sender);
    let load = Load::start(day, clock, from, load_balancer.clone(), LoadOptions::new(connections), recorder)
        .map_err(TrialError::Load)?;
    site.begin();
    let record = |observed| {
        // Sending fails only if the auditor has ended, and evidence is not needed then.
        let _ = sender.send(vec![Evidence { at: clock.now(), observed }]);
    };
    monitor(day, &load, &mut site, &mut proxies, &load_balancer, options, &record).await;
    let seconds = (clock.now() - from) as f64 / 1e9;
    let stats = load.finish();
    let (usage, crashes) = proxies.end().await;
    let counts = site.close();
    drop(sender);
    let audit = auditor.join().map_err(|_| TrialError::AuditorPanicked)?;
    Ok(report::report(day, seconds, stats, &counts, usage, crashes, audit))
}

/// Restarts and polls the proxies, and checks their health, until the load has ended.
async fn monitor(
    day: &Day,
    load: &Load,
    site: &mut Site,
    proxies: &mut Proxies<'_>,
    load_balancer: &LoadBalancer,
    options: &Options<'_>,
    record: &dyn Fn(Observation),
) {
    let expected = day.load.rate * day.length.as_secs_f64();
    while !load.finished() {
        tokio::time::sleep(POLL_INTERVAL).await;
        while let Ok(proxy) = site.proxy_restarts.try_recv() {
            proxies.restart(proxy);
        }
        proxies.poll(load_balancer, record);
        proxies.update_health(load_balancer).await;
        if options.stop.load(Ordering::Relaxed) {
            load.progress.stop.store(true, Ordering::Relaxed);
        }
        if let Some(progress) = &options.progress {
            progress((load.progress.released.load(Ordering::Relaxed) as f64 / expected).min(1.0));
        }
    }
}
