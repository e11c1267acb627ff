//! Settings derived from a day: a proxy's configuration in the platform's format, and the decision module's settings.

use super::{Day, Idempotency};
use crate::clock::nanos;
use aniseyoke_decision::api::{self, Settings};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Ratio of a tenant's quota to its share of the request rate.
const QUOTA_HEADROOM: f64 = 1.3;

/// A member as discovery lists it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id, which is never reused.
    pub id: String,
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// Its kind of machine.
    pub kind: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Its last start as Unix time in milliseconds; 0 if it started long ago.
    pub started_ms: u64,
}

impl Member {
    /// Its entry in discovery's list.
    pub fn json(&self) -> Value {
        json!({"id": self.id, "addr": self.addr.to_string(), "zone": "hall", "kind": self.kind, "cell": 0,
               "state": self.state, "weight": 1.0, "started_ms": self.started_ms})
    }
}

/// The configuration of proxy `index` in the platform's format; `initial_list` is its initial endpoint list.
pub fn proxy_config(day: &Day, index: usize, discovery: SocketAddr, initial_list: &Value) -> Value {
    let class = |c: &super::Class| {
        let idempotency = match c.idempotency {
            Idempotency::Idempotent => "safe",
            Idempotency::WithKey => "keyed",
            Idempotency::NotIdempotent => "unsafe",
        };
        json!({"name": c.name, "effect": idempotency, "group": "all", "promise_ns": nanos(c.latency_objective),
               "deadline_ns": nanos(c.deadline), "dedup_window_ns": nanos(day.site.origin.dedup_window),
               "late_value": 0.0, "value": c.weight, "stream": false})
    };
    let classes: Vec<Value> = day.load.classes.iter().map(class).collect();
    // The quota is the tenant's share of the request rate with some headroom.
    let quota = |share: f64| day.load.rate * share * QUOTA_HEADROOM;
    let tenants: Vec<Value> = (day.load.tenants.iter())
        .map(|t| json!({"name": t.name, "quota_rps": quota(t.share), "fraction": t.share}))
        .collect();
    let mut kinds: Vec<&str> = day.site.cache.kinds.iter().map(|k| k.name.as_str()).collect();
    kinds.push("ledger");
    let (cache, proxy) = (&day.site.cache, &day.site.proxy);
    json!({
        "name": format!("p{index}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", crate::clock::mix(day.seed, 0x5eed, index as u64)),
        "limits": {"cores": 1.0, "memory_mb": proxy.memory_mb, "sockets": proxy.sockets},
        "known": initial_list,
        "settings": {
            "categories": classes, "customers": tenants, "localities": ["hall"], "machine_types": kinds,
            "zone": 0, "n_instances": proxy.count, "self_index": index, "discovery": "subscribe",
            "over_share_worth": 0.05, "worth_by": "work",
            "family_info": {"mode": "aside", "origin_kind": day.site.cache.kinds.len()},
            "caps": {"attempts_cap": 4, "cancelling": true, "second_copies": true, "conn_idle_ns": 30_000_000_000u64,
                     "connect_timeout_ns": 250_000_000u64, "max_retry_after_ns": 2_000_000_000u64},
            "rules": {"cold_from": cache.initial_capacity, "cold_ns": nanos(cache.warm_up),
                      "fall_multiple": cache.overload_multiple, "fall_ns": nanos(cache.overload_window),
                      "must_ask_in_ns": nanos(day.site.discovery.poll_within)}
        }
    })
}

/// The settings of the decision module of proxy `index`, for simulated time, in which nodes report their load.
pub fn module_settings(day: &Day, index: usize) -> Settings {
    let class = |c: &super::Class| api::Class {
        latency_objective: nanos(c.latency_objective),
        deadline: nanos(c.deadline),
        idempotency: match c.idempotency {
            Idempotency::Idempotent => api::Idempotency::Idempotent,
            Idempotency::WithKey => api::Idempotency::WithKey,
            Idempotency::NotIdempotent => api::Idempotency::NonIdempotent,
        },
        dedup_window: nanos(day.site.origin.dedup_window),
        priority_weight: c.weight,
        ..api::Class::default()
    };
    let tenant = |t: &super::Tenant| api::Tenant { quota_rps: day.load.rate * t.share * QUOTA_HEADROOM };
    let cache = &day.site.cache;
    Settings {
        classes: day.load.classes.iter().map(class).collect(),
        tenants: day.load.tenants.iter().map(tenant).collect(),
        proxies: day.site.proxy.count as u32,
        proxy_index: index as u32,
        subscribes: true,
        cache_aside: true,
        origin_kind: Some(cache.kinds.len() as u32),
        over_quota_weight: 0.05,
        weight_by_work: true,
        max_attempts: 4,
        cancellation: true,
        hedging: true,
        max_retry_after: 2_000_000_000,
        idle_timeout: 30_000_000_000,
        handshake_cost: 0.02,
        slow_start_from: cache.initial_capacity,
        slow_start_time: nanos(cache.warm_up),
        overload_multiple: cache.overload_multiple,
        overload_window: nanos(cache.overload_window),
        poll_within: nanos(day.site.discovery.poll_within),
        ..Settings::default()
    }
}
