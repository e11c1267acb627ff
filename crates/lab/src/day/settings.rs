//! A day's settings as the platform tells them to a proxy.

use super::{Day, Effect};
use crate::clock::nanos;
use aniseyoke_decision::api::{self, Settings};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A tenant's share over what it is expected to send.
const SHARE_ROOM: f64 = 1.3;

/// A member in discovery's form.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its id, never used twice.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its kind of machine.
    pub kind: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Its last start as Unix time in milliseconds, 0 for long ago.
    pub started_ms: u64,
}

impl Member {
    /// As it stands in a list.
    pub fn json(&self) -> Value {
        json!({"id": self.id, "addr": self.addr.to_string(), "zone": "hall", "kind": self.kind, "cell": 0,
               "state": self.state, "weight": 1.0, "started_ms": self.started_ms})
    }
}

/// The configuration of proxy `me`, in the platform's form.
pub fn proxy_config(day: &Day, me: usize, discovery: SocketAddr, known: &Value) -> Value {
    let class = |c: &super::Class| {
        let effect = match c.effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"name": c.name, "effect": effect, "group": "all", "promise_ns": nanos(c.aim),
               "deadline_ns": nanos(c.give_up), "dedup_window_ns": nanos(day.site.ledger.repeats),
               "late_value": 0.0, "value": c.worth, "stream": false})
    };
    let classes: Vec<Value> = day.load.classes.iter().map(class).collect();
    // The quota is what its share of a fleet with some room to spare comes to.
    let quota = |share: f64| day.load.rate * share * SHARE_ROOM;
    let tenants: Vec<Value> = (day.load.tenants.iter())
        .map(|t| json!({"name": t.name, "quota_rps": quota(t.share), "fraction": t.share}))
        .collect();
    let mut kinds: Vec<&str> = day.site.cache.kinds.iter().map(|k| k.name.as_str()).collect();
    kinds.push("ledger");
    let (cache, proxy) = (&day.site.cache, &day.site.proxy);
    json!({
        "name": format!("p{me}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", crate::clock::mix(day.seed, 0x5eed, me as u64)),
        "limits": {"cores": 1.0, "memory_mb": proxy.memory_mb, "sockets": proxy.sockets},
        "known": known,
        "settings": {
            "categories": classes, "customers": tenants, "localities": ["hall"], "machine_types": kinds,
            "zone": 0, "n_instances": proxy.count, "self_index": me, "discovery": "subscribe",
            "over_share_worth": 0.05, "worth_by": "work",
            "family_info": {"mode": "aside", "origin_kind": day.site.cache.kinds.len()},
            "caps": {"attempts_cap": 4, "cancelling": true, "second_copies": true, "conn_idle_ns": 30_000_000_000u64,
                     "connect_timeout_ns": 250_000_000u64, "max_retry_after_ns": 2_000_000_000u64},
            "rules": {"cold_from": cache.cold_from, "cold_ns": nanos(cache.cold),
                      "fall_multiple": cache.fall_multiple, "fall_ns": nanos(cache.fall),
                      "must_ask_in_ns": nanos(day.site.roster.must_ask_in)}
        }
    })
}

/// The same in the module's own terms, for a proxy in simulated time. Its nodes report their load.
pub fn module_settings(day: &Day, me: usize) -> Settings {
    let class = |c: &super::Class| api::Class {
        latency_objective: nanos(c.aim),
        deadline: nanos(c.give_up),
        idempotency: match c.effect {
            Effect::Safe => api::Idempotency::Idempotent,
            Effect::Keyed => api::Idempotency::WithKey,
            Effect::Unsafe => api::Idempotency::NonIdempotent,
        },
        dedup_window: nanos(day.site.ledger.repeats),
        priority_weight: c.worth,
        ..api::Class::default()
    };
    let tenant = |t: &super::Tenant| api::Tenant { quota_rps: day.load.rate * t.share * SHARE_ROOM };
    let cache = &day.site.cache;
    Settings {
        classes: day.load.classes.iter().map(class).collect(),
        tenants: day.load.tenants.iter().map(tenant).collect(),
        proxies: day.site.proxy.count as u32,
        proxy_index: me as u32,
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
        slow_start_from: cache.cold_from,
        slow_start_time: nanos(cache.cold),
        overload_multiple: cache.fall_multiple,
        overload_window: nanos(cache.fall),
        poll_within: nanos(day.site.roster.must_ask_in),
        ..Settings::default()
    }
}
