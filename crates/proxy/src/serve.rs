//! Starts the proxy with the configuration from the environment and the operator's file, rereads both on
//! SIGHUP, and shuts down on SIGTERM or SIGINT.

mod error;

use crate::config::Config;
use crate::discovery::{self, ListPolling, ListStatus};
use crate::front::{AdminOptions, EngineOptions, FrontOptions, Hooks, StartError, StartedHook};
use crate::opening::OpenLimiter;
use crate::startup::{StartPhase, StartTimer};
use crate::versions::{last_good, memory_reserve, BaseLayers, ConfigInForce, ConfigUpdater, Subscription};
use crate::{front, operator, signals, wall_clock};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::model::{Control, Log, Operator};
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

/// Serves until the process receives SIGTERM or SIGINT. Errors that prevent the start are printed on standard
/// error, one per line.
pub fn run(file: Option<PathBuf>) -> ExitCode {
    let start_timer = StartTimer::new();
    let file = file.filter(|file| !file.as_os_str().is_empty());
    match serve_on_new_runtime(file, start_timer) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // The log may not have been started yet.
            aniseyoke_logging::print_lines(error.lines().iter().map(|line| format!("aniseyoke: {line}")));
            ExitCode::FAILURE
        }
    }
}

/// Serves on the calling thread. At the end it doesn't wait for the blocking threads of the runtime, since
/// one of them may hang in a write to disk.
fn serve_on_new_runtime(file: Option<PathBuf>, start_timer: StartTimer) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServeError::Runtime)?;
    let served = LocalSet::new().block_on(&runtime, serve(file, start_timer));
    runtime.shutdown_background();
    served
}

/// Starts the proxy and serves. The handler for SIGHUP is installed first, since without one SIGHUP ends the
/// process.
async fn serve(file: Option<PathBuf>, mut start_timer: StartTimer) -> Result<(), ServeError> {
    let hangup = signals::hangup()?;
    start_timer.complete(StartPhase::SignalHandling);
    let Operator { control, log: log_settings, .. } = operator::read(file.as_deref())?.operator;
    start_timer.complete(StartPhase::OperatorFile);
    let log = Rc::new(start_log(&log_settings, &mut start_timer)?);
    start_timer.complete(StartPhase::Log);
    wall_clock::init()?;
    let start_config = StartConfig::load(file.as_deref(), control, &mut start_timer)?;
    let stop = signals::stop()?;
    log.set_levels(&operator::log_levels(&start_config.resolved.operator.log));
    let (config, options) = front_options(start_config, file, log.clone(), start_timer);
    let exit_by = front::run(config, options, stop, hangup).await?;
    log.set_close_deadline(exit_by.into_std());
    Ok(())
}

fn start_log(
    settings: &Log,
    start_timer: &mut StartTimer,
) -> Result<LogHandle, aniseyoke_logging::StartError> {
    let options = operator::log_options(settings);
    signals::with_signals_blocked(|| aniseyoke_logging::start(&options, || start_timer.log_beginning()))
}

/// The configuration that the process starts with.
struct StartConfig {
    /// The platform's configuration and the operator's file.
    base: Arc<BaseLayers>,
    /// The control services to follow.
    control: Option<Control>,
    /// The last good version from a control service.
    version: Option<Arc<Version>>,
    /// The operator's settings, resolved from all layers.
    resolved: Resolved,
    /// The engine's configuration, resolved from all layers.
    plan: EngineConfig,
}

impl StartConfig {
    fn load(
        file: Option<&Path>,
        control: Option<Control>,
        start_timer: &mut StartTimer,
    ) -> Result<Self, ServeError> {
        let platform = Config::from_env()?;
        start_timer.complete(StartPhase::PlatformConfiguration);
        let source = file.map(operator::read_layer).transpose().map_err(|error| vec![error])?;
        let base = Arc::new(BaseLayers { platform, file: source });
        let version = control.as_ref().and_then(|control| last_good(control, &base));
        start_timer.complete(StartPhase::StoredVersion);
        let (resolved, plan) = base.with(version.as_ref())?;
        start_timer.complete(StartPhase::Plan);
        Ok(StartConfig { base, control, version: version.map(Arc::new), resolved, plan })
    }
}

/// Returns the platform's configuration, with the endpoint list that was cached on disk, and the options of
/// the client side.
fn front_options(
    start_config: StartConfig,
    file: Option<PathBuf>,
    log: Rc<LogHandle>,
    start_timer: StartTimer,
) -> (Config, FrontOptions) {
    let StartConfig { base, control, version, resolved, plan } = start_config;
    let version_info = version_info(&resolved, file.as_deref(), version.as_deref());
    let version_info = Rc::new(RefCell::new(version_info));
    let operator = resolved.operator;
    let mut config = base.platform.clone();
    let (polling, list_status) = list_polling(&operator, &mut config, &plan).unzip();
    let opening = operator.opening.clone();
    let opening = opening.map(|rules| OpenLimiter::new(rules, plan.settings.origin_kind, position(&plan)));
    let reserved_memory = control.as_ref().map_or(0, |_| memory_reserve(config.memory));
    let engine = EngineOptions { plan: Arc::new(plan), polling, opening, reserved_memory };
    let admin = AdminOptions { version_info: version_info.clone(), list_status };
    let in_force = Rc::new(RefCell::new(ConfigInForce { operator, version: version.clone() }));
    let updates = Updates { in_force, log, version_info };
    let hooks = hooks(base, control, version, updates, file);
    (config, FrontOptions { engine, admin, hooks, start_timer })
}

fn hooks(
    base: Arc<BaseLayers>,
    control: Option<Control>,
    version: Option<Arc<Version>>,
    updates: Updates,
    file: Option<PathBuf>,
) -> Hooks {
    let (in_force, log, reload_base) = (updates.in_force.clone(), updates.log.clone(), base.clone());
    let log_each_second = log.clone();
    Hooks {
        started: follow_control(control, base, updates, version),
        each_second: Box::new(move || log_each_second.report_suppressed()),
        reload: Box::new(move || reload(&reload_base.platform, &in_force.borrow(), file.as_deref(), &log)),
    }
}

/// Returns this proxy's position in the fleet.
fn position(plan: &EngineConfig) -> FleetPosition {
    FleetPosition::new(plan.settings.proxy_index, plan.settings.proxies)
}

/// Returns the polling of the endpoint list and its status, if the operator's file has a section for it. A
/// list that was cached on disk replaces the platform's.
///
/// If the platform pushes its lists, polls are not rate-limited: each push requires an immediate poll, and
/// waiting for a slot would mean sending requests to nodes that have been removed.
fn list_polling(
    operator: &Operator,
    config: &mut Config,
    plan: &EngineConfig,
) -> Option<(ListPolling, Rc<ListStatus>)> {
    let rules = operator.list.as_ref()?;
    let (status, cache) = discovery::restore(rules, config);
    let schedule = (!config.lists_pushed)
        .then(|| discovery::poll_schedule(rules, plan.settings.poll_within, position(plan)));
    if schedule.is_none() {
        tracing::info!("list: the platform pushes its lists, so that polls are not limited");
    }
    Some((ListPolling::new(schedule, status.clone(), cache), status))
}

/// The state outside of the engine that a version from a control service changes.
struct Updates {
    in_force: Rc<RefCell<ConfigInForce>>,
    log: Rc<LogHandle>,
    version_info: Rc<RefCell<serde_json::Value>>,
}

/// Returns the hook that follows the control services, if any are configured, once the engine runs.
fn follow_control(
    control: Option<Control>,
    base: Arc<BaseLayers>,
    updates: Updates,
    version: Option<Arc<Version>>,
) -> StartedHook {
    Box::new(move |engine, addr| {
        let Some(control) = control else { return Ok(()) };
        let Updates { in_force, log, version_info } = updates;
        let (requests, received) = mpsc::channel(1);
        let subscription = Subscription::new(&control, base, requests, engine.counters())
            .map_err(StartError::VersionsThread)?;
        let updater = ConfigUpdater { engine, in_force, log, version_info };
        tokio::task::spawn_local(updater.run(received));
        subscription.start(control, addr, version).map_err(StartError::VersionsThread)
    })
}

/// Returns the answer of the admin endpoint to a call for the version.
fn version_info(resolved: &Resolved, file: Option<&Path>, version: Option<&Version>) -> serde_json::Value {
    serde_json::json!({
        "program": env!("CARGO_PKG_VERSION"),
        "configuration": resolved.digest(),
        "file": file.map(|file| file.display().to_string()),
        "version": version.map(|v| v.stamp.to_string()),
    })
}

/// Applies the settings that may change at run time, and logs the changed settings that require a restart. An
/// invalid file changes nothing, and the proxy continues to serve.
fn reload(platform: &Config, in_force: &ConfigInForce, file: Option<&Path>, log: &LogHandle) {
    let source = file.map(operator::read_layer).transpose().map_err(|error| vec![error]);
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
