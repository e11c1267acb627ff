//! Parses the platform's settings of a proxy, given as dotted paths with values, into the decision module's
//! [`Settings`]. The simulator's protocol and the configuration file of a real proxy use the same paths.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod setting;

use aniseyoke_decision::api::*;
use setting::Setting;
pub use setting::SettingsError;

/// The default idle timeout of connections in nanoseconds: 5 s. A setting of 0 means that nodes close
/// connections at once.
pub const DEFAULT_CONN_IDLE: Nanos = 5_000_000_000;
/// The maximum number of classes, and of tenants; more are an error.
const MAX_ITEMS: usize = 4096;

/// Parses settings from `path=value` pairs; unknown paths are ignored.
///
/// # Errors
/// If a pair has no value, or the value of a known path is invalid.
pub fn parse_settings<'a>(pairs: impl IntoIterator<Item = &'a str>) -> Result<Settings, SettingsError> {
    let mut parser = Parser::default();
    for pair in pairs {
        parser.apply(&Setting::parse(pair)?)?;
    }
    Ok(parser.finish())
}

/// The settings read so far, and values that are resolved once all settings are read.
struct Parser {
    settings: Settings,
    /// The machine kind of the origin; negative: there is no origin.
    origin_kind: i64,
    retry_after_allowed: bool,
}

impl Default for Parser {
    fn default() -> Self {
        let settings = Settings { idle_timeout: DEFAULT_CONN_IDLE, ..Settings::default() };
        Parser { settings, origin_kind: -1, retry_after_allowed: true }
    }
}

impl Parser {
    fn apply(&mut self, setting: &Setting<'_>) -> Result<(), SettingsError> {
        let mut steps = setting.path.splitn(3, '.');
        let steps = (steps.next().unwrap_or(""), steps.next().unwrap_or(""), steps.next());
        let settings = &mut self.settings;
        match steps {
            ("categories", "count", None) => {
                settings.classes.resize(setting.count(MAX_ITEMS)?, Class::default());
            }
            ("customers", "count", None) => {
                settings.tenants.resize(setting.count(MAX_ITEMS)?, Tenant::default());
            }
            ("categories", index, Some(field)) => {
                if let Some(class) = indexed(&mut settings.classes, index) {
                    apply_to_class(class, field, setting)?;
                }
            }
            ("customers", index, Some("quota_rps")) => {
                if let Some(tenant) = indexed(&mut settings.tenants, index) {
                    setting.read_into(&mut tenant.quota_rps)?;
                }
            }
            _ => self.apply_to_proxy(setting)?,
        }
        Ok(())
    }

    /// Applies a setting that belongs neither to a class nor to a tenant.
    fn apply_to_proxy(&mut self, setting: &Setting<'_>) -> Result<(), SettingsError> {
        let settings = &mut self.settings;
        match setting.path {
            "zone" => setting.read_into(&mut settings.zone),
            "n_instances" => setting.read_into(&mut settings.proxies),
            "self_index" => setting.read_into(&mut settings.proxy_index),
            "discovery" => {
                settings.subscribes = setting.value == "subscribe";
                Ok(())
            }
            "family_info.mode" => {
                settings.cache_aside = setting.value == "aside";
                Ok(())
            }
            "family_info.origin_kind" => setting.read_into(&mut self.origin_kind),
            "report.columns" => {
                settings.report_columns = report_columns(setting.value);
                Ok(())
            }
            "over_share_worth" => setting.read_into(&mut settings.over_quota_weight),
            "worth_by" => {
                settings.weight_by_work = setting.value == "work";
                Ok(())
            }
            "caps.attempts_cap" => setting.read_into(&mut settings.max_attempts),
            "caps.cancelling" => setting.read_into(&mut settings.cancellation),
            "caps.second_copies" => setting.read_into(&mut settings.hedging),
            "caps.retry_after" => setting.read_into(&mut self.retry_after_allowed),
            "caps.max_retry_after_ns" => setting.read_into(&mut settings.max_retry_after),
            "caps.conn_idle_ns" => setting.read_into(&mut settings.idle_timeout),
            "deductions.handshake" => setting.read_into(&mut settings.handshake_cost),
            "deductions.cross_zone" => setting.read_into(&mut settings.cross_zone_cost),
            "client_habits.marks_retry" => setting.read_into(&mut settings.clients_mark_retries),
            "rules.cold_from" => setting.read_into(&mut settings.slow_start_from),
            "rules.cold_ns" => setting.read_into(&mut settings.slow_start_time),
            "rules.fall_multiple" => setting.read_into(&mut settings.overload_multiple),
            "rules.fall_ns" => setting.read_into(&mut settings.overload_window),
            "rules.let_go_in_ns" => setting.read_into(&mut settings.drain_close_within),
            "rules.must_ask_in_ns" => setting.read_into(&mut settings.poll_within),
            _ => Ok(()),
        }
    }

    fn finish(self) -> Settings {
        let mut settings = self.settings;
        settings.origin_kind = u32::try_from(self.origin_kind).ok();
        if !self.retry_after_allowed {
            settings.max_retry_after = 0;
        }
        settings
    }
}

/// Returns the item whose index is given as a step of a path, if there is one.
fn indexed<'a, T>(items: &'a mut [T], index: &str) -> Option<&'a mut T> {
    index.parse::<usize>().ok().and_then(|index| items.get_mut(index))
}

fn apply_to_class(class: &mut Class, field: &str, setting: &Setting<'_>) -> Result<(), SettingsError> {
    match field {
        "promise_ns" => setting.read_into(&mut class.latency_objective)?,
        "deadline_ns" => setting.read_into(&mut class.deadline)?,
        "dedup_window_ns" => setting.read_into(&mut class.dedup_window)?,
        "late_value" => setting.read_into(&mut class.late_weight)?,
        "value" => setting.read_into(&mut class.priority_weight)?,
        "allowed_in" => class.allowed_servers.zones = Some(setting.numbers()?),
        "allowed_on" => class.allowed_servers.kinds = Some(setting.numbers()?),
        "stream" => setting.read_into(&mut class.stream)?,
        "effect" => {
            class.idempotency = match setting.value {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::WithKey,
                // An unknown effect is treated as non-idempotent, the strictest rule.
                _ => Idempotency::NonIdempotent,
            }
        }
        "group" => {
            class.group = match setting.value {
                "all" => Group::All,
                "zone" => Group::Zone,
                _ => Group::Cell,
            }
        }
        _ => {}
    }
    Ok(())
}

/// Finds the positions of the known columns in the comma-separated column names of a load report.
fn report_columns(names: &str) -> ReportColumns {
    let position = |name| names.split(',').position(|column| column == name);
    ReportColumns { busy: position("load_share"), rate: position("tps") }
}
