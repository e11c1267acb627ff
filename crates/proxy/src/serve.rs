//! Starts the proxy as the environment and the operator's file say, rereads both on SIGHUP, and ends it on SIGTERM or SIGINT.

mod error;

use crate::config::Config;
use crate::discovery::{self, ListPolling, ListStatus};
use crate::front::{AdminOptions, EngineOptions, FrontOptions, Hooks, StartError, StartedHook};
use crate::opening::Opening;
use crate::startup::{StartPhase, StartTimer};
use crate::versions::{last_good, reserve, BaseLayers, ConfigInForce, ConfigUpdater, Subscription};
use crate::{front, operator, signals, wall_clock};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::model::{Control, Operator};
use aniseyoke_control::Version;
use aniseyoke_core::EngineConfig;
use aniseyoke_logging::LogHandle;
use aniseyoke_pace::FleetPosition;
use error::ServeError;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Serves until it is told to end. What keeps it from starting is printed on standard error, a line each.
pub fn run(file: Option<PathBuf>) -> ExitCode {
    let start_timer = StartTimer::new();
    let file = file.filter(|file| !file.as_os_str().is_empty());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = runtime.map_err(ServeError::Runtime).and_then(|runtime| {
        let served = LocalSet::new().block_on(&runtime, serve(file, start_timer));
        // Danger: a write that the disk holds up must not hold up the end.
        runtime.shutdown_background();
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The log may not have been started.
            error.lines().iter().for_each(|line| eprintln!("aniseyoke: {line}"));
            ExitCode::FAILURE
        }
    }
}

async fn serve(file: Option<PathBuf>, mut start_timer: StartTimer) -> Result<(), ServeError> {
    // Danger: until it is handled this signal ends the process.
    let hangup = signals::hangup()?;
    start_timer.complete(StartPhase::SignalHandling);
    let resolved = operator::read(file.as_deref())?;
    start_timer.complete(StartPhase::OperatorFile);
    let log_options = operator::log_options(&resolved.operator.log);
    let start_log = || aniseyoke_logging::start(&log_options, || start_timer.log_beginning());
    let log = Rc::new(signals::left_to_this_thread(start_log)?);
    start_timer.complete(StartPhase::Log);
    wall_clock::init()?;
    let platform = Config::from_env()?;
    start_timer.complete(StartPhase::PlatformConfiguration);
    let source = file.as_deref().map(operator::source).transpose().map_err(|error| vec![error])?;
    let base = Arc::new(BaseLayers { platform, file: source });
    let control = resolved.operator.control;
    let version = control.as_ref().and_then(|control| last_good(control, &base));
    start_timer.complete(StartPhase::StoredVersion);
    let (resolved, plan) = base.with(version.as_ref())?;
    start_timer.complete(StartPhase::Plan);
    let mut config = base.platform.clone();
    let version = version.map(Arc::new);
    let stop = signals::stop()?;
    log.set_levels(&operator::log_levels(&resolved.operator.log));
    let about = Rc::new(RefCell::new(about(&resolved, file.as_deref(), version.as_deref())));
    let (polling, list_status) = polling(&resolved.operator, &mut config, &plan).unzip();
    let opening = resolved.operator.opening.clone();
    let opening = opening.map(|rules| Opening::new(rules, plan.settings.origin_kind, position(&plan)));
    let reserved_memory = control.as_ref().map_or(0, |_| reserve(config.memory));
    let in_force =
        Rc::new(RefCell::new(ConfigInForce { operator: resolved.operator, version: version.clone() }));
    let updates = Updates { in_force: in_force.clone(), log: log.clone(), about: about.clone() };
    let (each_second, reload_base) = (log.clone(), base.clone());
    let hooks = Hooks {
        started: follow_control(control, base, updates, version),
        each_second: Box::new(move || each_second.report_suppressed()),
        reload: Box::new(move || reload(&reload_base.platform, &in_force.borrow(), file.as_deref(), &log)),
    };
    let engine = EngineOptions { plan: Arc::new(plan), polling, opening, reserved_memory };
    let options = FrontOptions { engine, admin: AdminOptions { about, list_status }, hooks, start_timer };
    Ok(front::run(config, options, stop, hangup).await?)
}

/// This proxy's position in the fleet.
fn position(plan: &EngineConfig) -> FleetPosition {
    FleetPosition::new(plan.settings.proxy_index, plan.settings.proxies)
}

/// The polling of the endpoint list and its status, where the operator's file has a section for it. A list that was cached
/// on disk takes the place of the platform's.
fn polling(
    operator: &Operator,
    config: &mut Config,
    plan: &EngineConfig,
) -> Option<(ListPolling, Rc<ListStatus>)> {
    let rules = operator.list.as_ref()?;
    let (status, cache) = discovery::restore(rules, config);
    // Danger: what is pushed counts as notified at once; to wait for a slot then is to use nodes that have been taken away.
    let schedule =
        (!config.pushed).then(|| discovery::poll_schedule(rules, plan.settings.poll_within, position(plan)));
    if schedule.is_none() {
        tracing::info!("list: the platform pushes its lists, so that polls are not limited");
    }
    Some((ListPolling::new(schedule, status.clone(), cache), status))
}

/// What a version from a control service changes beside the engine.
struct Updates {
    in_force: Rc<RefCell<ConfigInForce>>,
    log: Rc<LogHandle>,
    about: Rc<RefCell<serde_json::Value>>,
}

/// Follows the control services, if there are any, once the engine runs.
fn follow_control(
    control: Option<Control>,
    base: Arc<BaseLayers>,
    updates: Updates,
    version: Option<Arc<Version>>,
) -> StartedHook {
    Box::new(move |engine, addr| {
        let Some(control) = control else { return Ok(()) };
        let Updates { in_force, log, about } = updates;
        let (requests, received) = mpsc::channel(1);
        let subscription = Subscription::new(&control, base, requests, engine.counters())
            .map_err(StartError::VersionsThread)?;
        let updater = ConfigUpdater { engine, in_force, log, about };
        tokio::task::spawn_local(updater.run(received));
        subscription.start(control, addr, version).map_err(StartError::VersionsThread)
    })
}

/// What the admin endpoint answers to a call for the version.
fn about(resolved: &Resolved, file: Option<&Path>, version: Option<&Version>) -> serde_json::Value {
    serde_json::json!({
        "program": env!("CARGO_PKG_VERSION"),
        "configuration": resolved.digest(),
        "file": file.map(|file| file.display().to_string()),
        "version": version.map(|v| v.stamp.to_string()),
    })
}

/// Puts in force what may change while the proxy runs, and names what waits for a restart. Danger: a file with a mistake in
/// it must not take a proxy down that serves.
fn reload(platform: &Config, in_force: &ConfigInForce, file: Option<&Path>, log: &LogHandle) {
    let source = file.map(operator::source).transpose().map_err(|error| vec![error]);
    let resolved = source.and_then(|file| {
        let base = BaseLayers { platform: platform.clone(), file };
        base.with(in_force.version.as_deref())
    });
    match resolved {
        Ok((resolved, _)) => {
            log.set_levels(&operator::log_levels(&resolved.operator.log));
            let waiting = operator::restart_keys(&in_force.operator, &resolved.operator);
            if !waiting.is_empty() {
                tracing::warn!("these changes wait for a restart: {}", waiting.join(", "));
            }
        }
        Err(errors) => {
            errors.iter().for_each(|error| tracing::warn!("the operator's file stays as it was: {error}"));
        }
    }
}
