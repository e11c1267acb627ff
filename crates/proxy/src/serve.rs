//! Starts the proxy as the environment and the operator's file say, rereads both on SIGHUP, and ends it on SIGTERM or SIGINT.

use crate::config::Config;
use crate::discovery::{self, ListPolling};
use crate::front::Beyond;
use crate::opening::Opening;
use crate::versions::{last_good, reserve, Below, InForce, Serving, Subscription};
use crate::{front, operator, wall};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::ConfigError;
use aniseyoke_control::Version;
use aniseyoke_logging::LogHandle;
use aniseyoke_pace::FleetPosition;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Serves until it is told to end. What keeps it from starting is told on standard error, a line each.
pub fn run(file: Option<PathBuf>) -> ExitCode {
    let file = file.filter(|file| !file.as_os_str().is_empty());
    let served = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = served
        .map_err(|e| vec![e.to_string()])
        .and_then(|runtime| LocalSet::new().block_on(&runtime, serve(file)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            // The log may not have been started.
            why.iter().for_each(|why| eprintln!("aniseyoke: {why}"));
            ExitCode::FAILURE
        }
    }
}

fn told(faults: &[ConfigError]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

async fn serve(file: Option<PathBuf>) -> Result<(), Vec<String>> {
    let one = |e: String| vec![e];
    // Danger: until it is handled this signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| one(format!("SIGHUP: {e}")))?;
    let resolved = operator::read(file.as_deref()).map_err(|faults| told(&faults))?;
    let log = aniseyoke_logging::start(&operator::log_options(&resolved.operator.log))
        .map_err(|e| one(e.to_string()))?;
    wall::start().map_err(one)?;
    let platform = Config::from_env().map_err(one)?;
    let source = file.as_deref().map(operator::source).transpose().map_err(|fault| told(&[fault]))?;
    let below = Arc::new(Below { platform, file: source });
    let control = resolved.operator.control.clone();
    let last = control.as_ref().and_then(|control| last_good(control, &below));
    let (resolved, plan) = below.with(last.as_ref()).map_err(|faults| told(&faults))?;
    let (mut config, last) = (below.platform.clone(), last.map(Arc::new));
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| one(format!("SIGTERM: {e}")))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| one(format!("SIGINT: {e}")))?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let log = Rc::new(log);
    log.set_levels(&operator::log_levels(&resolved.operator.log));
    let (each_second, again, swapped) = (log.clone(), log.clone(), log);
    let about = Rc::new(RefCell::new(about(&resolved, file.as_deref(), last.as_deref())));
    let platform = below.clone();
    let place = FleetPosition::new(plan.settings.me, plan.settings.proxies);
    let paced = resolved.operator.list.as_ref().map(|rules| {
        let (held, keeper) = discovery::restore(rules, &mut config);
        // Danger: what is pushed counts as told at once; to wait for a slot then is to use nodes that have been taken away.
        let polls =
            (!config.pushed).then(|| discovery::poll_schedule(rules, plan.settings.must_ask_in, place));
        if polls.is_none() {
            tracing::info!("list: the platform pushes its lists, so that calls are not paced");
        }
        (ListPolling::new(polls, held.clone(), keeper), held)
    });
    let (paced, held) = paced.unzip();
    let opening = resolved.operator.opening.clone();
    let opening = opening.map(|rules| Opening::new(rules, plan.settings.origin_kind, place));
    let in_force = Rc::new(RefCell::new(InForce { operator: resolved.operator, version: last.clone() }));
    let (rereads, told_about) = (in_force.clone(), about.clone());
    let beyond = Beyond {
        plan: Arc::new(plan),
        paced,
        held,
        opening,
        reserve: control.as_ref().map_or(0, |_| reserve(config.memory)),
        about,
        started: Box::new(move |engine, at| {
            let Some(control) = control else { return Ok(()) };
            let (orders, ordered) = mpsc::channel(1);
            let no_thread = |e: std::io::Error| format!("no thread for versions: {e}");
            let subscription =
                Subscription::new(&control, below, orders, engine.tally()).map_err(no_thread)?;
            let serving = Serving { engine, in_force, log: swapped, about: told_about };
            tokio::task::spawn_local(serving.run(ordered));
            subscription.start(control, at, last).map_err(no_thread)
        }),
        each_second: Box::new(move || each_second.report_suppressed()),
        reread: Box::new(move || reread(&platform.platform, &rereads.borrow(), file.as_deref(), &again)),
    };
    front::run(config, beyond, stop, hangup).await.map_err(one)
}

/// What a call for the version is told.
fn about(resolved: &Resolved, file: Option<&Path>, version: Option<&Version>) -> serde_json::Value {
    serde_json::json!({
        "program": env!("CARGO_PKG_VERSION"),
        "configuration": resolved.digest(),
        "file": file.map(|file| file.display().to_string()),
        "version": version.map(|v| v.stamp.to_string()),
    })
}

/// Takes over what may change while the proxy runs, and names what waits for a restart. Danger: a file with a slip in
/// it must not take a proxy down that serves.
fn reread(platform: &Config, in_force: &InForce, file: Option<&Path>, log: &LogHandle) {
    let source = file.map(operator::source).transpose().map_err(|fault| vec![fault]);
    let now = source.and_then(|file| {
        let below = Below { platform: platform.clone(), file };
        below.with(in_force.version.as_deref())
    });
    match now {
        Ok((now, _)) => {
            log.set_levels(&operator::log_levels(&now.operator.log));
            let waiting = operator::waiting(&in_force.operator, &now.operator);
            if !waiting.is_empty() {
                tracing::warn!("these changes wait for a restart: {}", waiting.join(", "));
            }
        }
        Err(faults) => {
            faults.iter().for_each(|fault| tracing::warn!("the operator's file stays as it was: {fault}"));
        }
    }
}
