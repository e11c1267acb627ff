//! One day from start to end: the site opens, the proxies start, the load runs, proxies are restarted as the day says,
//! everything is looked at, and all of it ends.

mod proxies;
mod recovery;
mod report;
mod sweep;

pub use recovery::Recovery;
pub use report::Report;
pub use sweep::{plot, sweep, Curve, Point};

use aniseyoke_lab_audit::{Evidence, Recorder, Seen};
use aniseyoke_lab_day::clock::{Clock, MS};
use aniseyoke_lab_day::{proxy_config, Day};
use aniseyoke_lab_load::{outcome_lines, Load, Percentiles};
use aniseyoke_lab_process::{raise_descriptors, Subject};
use aniseyoke_lab_site::{Counts, Front, Site};
use proxies::Proxies;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Clients hold at most this part of the proxies' descriptors.
const CLIENTS_PART: usize = 3;
/// So many real proxies a trial on one machine can bear.
const PROXIES_MOST: usize = 64;
/// The looks at health, and at what the proxies use.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A trial in which a hundredth of the events came later than this is void, in milliseconds.
const LATE_MOST_MS: f64 = 25.0;

/// What a trial may be told beside its day.
#[derive(Default)]
pub struct Options<'a> {
    /// Set to end the trial early; what has happened so far is reported.
    pub stop: Arc<AtomicBool>,
    /// Called about ten times a second with the part of the load that has been released.
    pub progress: Option<Box<dyn Fn(f64) + 'a>>,
}

/// Plays a day.
///
/// # Errors
/// If it could not be played: the system lacks something, or a proxy did not start.
pub fn run(day: &Day, subject: &dyn Subject, options: &Options<'_>) -> Result<Report, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(play(day, subject, options))
}

async fn play(day: &Day, subject: &dyn Subject, options: &Options<'_>) -> Result<Report, String> {
    if day.site.proxy.count > PROXIES_MOST {
        let count = day.site.proxy.count;
        return Err(format!(
            "site.proxy.count: {count} processes are too many for a trial ({PROXIES_MOST}); `sim` plays them"
        ));
    }
    raise_descriptors();
    let clock = Clock::start();
    let (out, auditor) = aniseyoke_lab_audit::start(day);
    let (site_out, load_out, own_out) = (out.clone(), out.clone(), out);
    let mut site =
        Site::open(day, clock, move || Recorder::new(clock, site_out)).map_err(|e| format!("site: {e}"))?;
    let configs: Vec<_> = site
        .discovery
        .iter()
        .enumerate()
        .map(|(me, addr)| proxy_config(day, me, *addr, &site.known[me]))
        .collect();
    let folder = tempfile::tempdir().map_err(|e| format!("a folder: {e}"))?;
    let note = |seen| {
        let batch = vec![Evidence { at: clock.now(), seen }];
        // An auditor that has ended wants no more.
        let _ = own_out.send(batch);
    };
    let mut proxies = Proxies::start(day, subject, configs, folder.path())?;
    let front = Arc::new(Front::new(&proxies.addrs(), day.site.proxy.notice));
    proxies.until_well().await?;
    let connections = (day.site.proxy.sockets * day.site.proxy.count / CLIENTS_PART).max(1);
    let from = clock.now() + 50 * MS;
    let recorder = move || Recorder::new(clock, load_out);
    let load = Load::start(day, clock, from, front.clone(), connections, recorder)
        .map_err(|e| format!("load: {e}"))?;
    site.begin();
    let wanted = day.load.rate * day.length.as_secs_f64();
    while !load.over() {
        tokio::time::sleep(LOOK_EVERY).await;
        while let Ok(proxy) = site.orders.try_recv() {
            proxies.restart(proxy);
        }
        proxies.look(
            &front,
            |crashed| note(Seen::Crashed { proxy: crashed }),
            |started| note(Seen::Started { proxy: started }),
        );
        proxies.health(&front).await;
        if options.stop.load(Ordering::Relaxed) {
            load.progress.stop.store(true, Ordering::Relaxed);
        }
        if let Some(progress) = &options.progress {
            progress((load.progress.released.load(Ordering::Relaxed) as f64 / wanted).min(1.0));
        }
    }
    let seconds = (clock.now() - from) as f64 / 1e9;
    let tally = load.finish();
    let (usage, crashes) = proxies.end().await;
    let counts = site.close();
    drop(own_out);
    let verdict = auditor.join().map_err(|_| "the auditor broke".to_owned())?;
    let (all, classes, tenants) = outcome_lines(&tally);
    let Counts { lateness, ledger_asks, hits, misses, .. } = counts;
    let cpu: f64 = usage.iter().map(|u| u.cpu_s).sum();
    let requests = all.requests.max(1) as f64;
    let mut report = Report {
        day: day.name.clone(),
        seed: day.seed,
        seconds: seconds.min(day.length.as_secs_f64()),
        void: None,
        classes,
        tenants,
        tries: tally.tries as f64 / requests,
        hits: hits as f64 / (hits + misses).max(1) as f64,
        ledger: ledger_asks as f64 / requests,
        proxies: usage,
        cpu_us: cpu * 1e6 / tally.tries.max(1) as f64,
        load_late: (&tally.lateness).into(),
        site_late: (&lateness).into(),
        idle_closed: tally.idle_closed,
        recoveries: recovery::recoveries(day, &tally.seconds),
        timeline: tally.seconds,
        audit: verdict,
        crashes,
        all,
    };
    report.void = void(report.all.requests, tally.not_sent, &report.site_late, &report.load_late);
    Ok(report)
}

/// Why a trial's figures count for nothing. Danger: a lab that is late itself makes any proxy look slow.
fn void(requests: u64, not_sent: u64, site: &Percentiles, load: &Percentiles) -> Option<String> {
    let late = |who: &str, p: &Percentiles| {
        (p.p99_ms > LATE_MOST_MS)
            .then(|| format!("the {who} ran late: {:.1} ms at the 99th percentile", p.p99_ms))
    };
    if requests == 0 {
        return Some("no request was made".into());
    }
    if not_sent > 0 {
        return Some(format!("{not_sent} arrivals were not sent, since too many were out"));
    }
    late("site", site).or(late("load", load))
}

#[cfg(test)]
mod tests;
