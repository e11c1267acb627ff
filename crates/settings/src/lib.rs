//! The settings of a proxy as the platform writes them, a path and a value for each, in the module's terms. The
//! simulator's wire and the configuration file of a real proxy use the same paths.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use aniseyoke_decision::api::*;

/// The idle time of connections where the settings name none: 5 s. A told 0 is no lack of one: it says that nodes
/// close connections at once.
pub const CONN_IDLE_UNTOLD: Nanos = 5_000_000_000;

fn set<T: std::str::FromStr>(slot: &mut T, path: &str, value: &str) -> Result<(), String> {
    *slot = value.parse().map_err(|_| format!("{path} has a bad value: {value:?}"))?;
    Ok(())
}

/// A list of whole numbers set apart by commas; empty text is an empty list.
fn row(path: &str, value: &str) -> Result<Vec<u32>, String> {
    let numbers = value.split(',').filter(|v| !v.is_empty()).map(str::parse);
    numbers.collect::<Result<_, _>>().map_err(|_| format!("{path} has a bad value: {value:?}"))
}

/// Reads settings from `path=value` pairs; unknown paths are passed over.
pub fn settings<'a>(pairs: impl IntoIterator<Item = &'a str>) -> Result<Settings, String> {
    let mut s = Settings { idle_timeout: CONN_IDLE_UNTOLD, ..Settings::default() };
    let (mut origin, mut retry_after) = (-1i64, true);
    for pair in pairs {
        let Some((path, v)) = pair.split_once('=') else {
            return Err(format!("setting has no value: {pair:?}"));
        };
        let mut steps = path.splitn(3, '.');
        let step = (steps.next().unwrap_or(""), steps.next().unwrap_or(""), steps.next());
        match step {
            ("categories" | "customers", "count", None) => {
                let mut n = 0usize;
                set(&mut n, path, v)?;
                if n > 4096 {
                    return Err(format!("{path} is too large: {n}"));
                }
                if step.0 == "categories" {
                    s.classes.resize(n, Class::default());
                } else {
                    s.tenants.resize(n, Tenant::default());
                }
            }
            ("categories", i, Some(field)) => {
                let Some(c) = i.parse::<usize>().ok().and_then(|i| s.classes.get_mut(i)) else {
                    continue;
                };
                match field {
                    "promise_ns" => set(&mut c.latency_objective, path, v)?,
                    "deadline_ns" => set(&mut c.deadline, path, v)?,
                    "dedup_window_ns" => set(&mut c.dedup_window, path, v)?,
                    "late_value" => set(&mut c.late_weight, path, v)?,
                    "value" => set(&mut c.priority_weight, path, v)?,
                    "allowed_in" => c.only.zones = Some(row(path, v)?),
                    "allowed_on" => c.only.kinds = Some(row(path, v)?),
                    "stream" => set(&mut c.stream, path, v)?,
                    "effect" => {
                        c.idempotency = match v {
                            "safe" => Idempotency::Idempotent,
                            "keyed" => Idempotency::WithKey,
                            // Anything new is held to the strictest rule.
                            _ => Idempotency::NonIdempotent,
                        }
                    }
                    "group" => {
                        c.group = match v {
                            "all" => Group::All,
                            "zone" => Group::Zone,
                            _ => Group::Cell,
                        }
                    }
                    _ => {}
                }
            }
            ("customers", i, Some("quota_rps")) => {
                if let Some(t) = i.parse::<usize>().ok().and_then(|i| s.tenants.get_mut(i)) {
                    set(&mut t.quota_rps, path, v)?;
                }
            }
            _ => match path {
                "zone" => set(&mut s.zone, path, v)?,
                "n_instances" => set(&mut s.proxies, path, v)?,
                "self_index" => set(&mut s.proxy_index, path, v)?,
                "discovery" => s.subscribes = v == "subscribe",
                "family_info.mode" => s.cache_aside = v == "aside",
                "report.columns" => {
                    let at = |name| v.split(',').position(|column| column == name);
                    s.report_columns = ReportColumns { busy: at("load_share"), rate: at("tps") };
                }
                "family_info.origin_kind" => set(&mut origin, path, v)?,
                "over_share_worth" => set(&mut s.over_quota_weight, path, v)?,
                "worth_by" => s.weight_by_work = v == "work",
                "caps.attempts_cap" => set(&mut s.max_attempts, path, v)?,
                "caps.cancelling" => set(&mut s.cancellation, path, v)?,
                "caps.second_copies" => set(&mut s.hedging, path, v)?,
                "caps.retry_after" => set(&mut retry_after, path, v)?,
                "caps.max_retry_after_ns" => set(&mut s.max_retry_after, path, v)?,
                "caps.conn_idle_ns" => set(&mut s.idle_timeout, path, v)?,
                "deductions.handshake" => set(&mut s.handshake_cost, path, v)?,
                "deductions.cross_zone" => set(&mut s.cross_zone_cost, path, v)?,
                "client_habits.marks_retry" => set(&mut s.clients_mark_retries, path, v)?,
                "rules.cold_from" => set(&mut s.slow_start_from, path, v)?,
                "rules.cold_ns" => set(&mut s.slow_start_time, path, v)?,
                "rules.fall_multiple" => set(&mut s.overload_multiple, path, v)?,
                "rules.fall_ns" => set(&mut s.overload_window, path, v)?,
                "rules.let_go_in_ns" => set(&mut s.drain_close_within, path, v)?,
                "rules.must_ask_in_ns" => set(&mut s.poll_within, path, v)?,
                _ => {}
            },
        }
    }
    s.origin_kind = u32::try_from(origin).ok();
    if !retry_after {
        s.max_retry_after = 0;
    }
    Ok(s)
}
