//! Validates the values of a day after deserialization. All problems are reported, not only the first.

use super::{Class, Day, Fault, FaultKind, Idempotency, MisbehavingClients};
use std::time::Duration;

// Limits within which a trial can run on one machine.
const MAX_LENGTH: Duration = Duration::from_secs(3600);
const MAX_RATE: f64 = 200_000.0;
const MAX_NODES: usize = 2_048;
const MAX_PROXIES: usize = 4_096;
const MAX_KEYS: u64 = 10_000_000;
const MAX_IDLE_CONNECTIONS: usize = 8_192;
const MAX_FAULTS: usize = 256;
const MAX_STARTED_NODES: usize = 3_000;
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

struct Problems(Vec<String>);

impl Problems {
    fn require(&mut self, holds: bool, key: &str, why: impl std::fmt::Display) {
        if !holds {
            self.0.push(format!("{key}: {why}"));
        }
    }

    fn fraction(&mut self, value: f64, key: &str) {
        self.require(
            (0.0..=1.0).contains(&value),
            key,
            format_args!("{value} is not a fraction between 0 and 1"),
        );
    }

    fn positive(&mut self, value: f64, key: &str) {
        self.require(value.is_finite() && value > 0.0, key, format_args!("{value} is not above 0"));
    }

    fn count(&mut self, value: usize, min: usize, max: usize, key: &str) {
        self.require((min..=max).contains(&value), key, format_args!("{value} is not within {min} to {max}"));
    }

    fn shares_add_up(&mut self, shares: impl Iterator<Item = f64>, key: &str) {
        let sum: f64 = shares.sum();
        self.require((sum - 1.0).abs() < 0.01, key, format_args!("the shares add up to {sum:.3}, not to 1"));
    }
}

/// All problems of a day, each as its key and the reason.
pub fn problems(day: &Day) -> Vec<String> {
    let mut found = Problems(Vec::new());
    found.require(
        !day.length.is_zero() && day.length <= MAX_LENGTH,
        "length",
        "must be above 0 and at most 1 h",
    );
    check_machines(day, &mut found);
    check_clients(day, &mut found);
    let deploys = day.faults.iter().filter(|t| t.kind == FaultKind::Deploy).count();
    found.require(
        day.faults.len() <= MAX_FAULTS,
        "trouble",
        format_args!("there are more than {MAX_FAULTS}"),
    );
    let started_nodes = deploys.saturating_mul(day.site.cache.count);
    found.require(
        started_nodes <= MAX_STARTED_NODES,
        "trouble",
        format_args!("deploys start more than {MAX_STARTED_NODES} nodes"),
    );
    for (n, fault) in day.faults.iter().enumerate() {
        check_fault(day, fault, &format!("trouble.{n}"), &mut found);
    }
    found.0
}

fn check_machines(day: &Day, found: &mut Problems) {
    let (proxy, cache, origin, discovery) =
        (&day.site.proxy, &day.site.cache, &day.site.origin, &day.site.discovery);
    found.count(proxy.count, 1, MAX_PROXIES, "site.proxy.count");
    found.count(proxy.memory_mb, 16, 1 << 20, "site.proxy.memory_mb");
    found.count(proxy.sockets, 64, 1 << 20, "site.proxy.sockets");
    found.count(cache.count, 1, MAX_NODES, "site.cache.count");
    found.require(!cache.kinds.is_empty(), "site.cache.kinds", "the list is empty");
    found.shares_add_up(cache.kinds.iter().map(|k| k.share), "site.cache.kinds");
    for (n, kind) in cache.kinds.iter().enumerate() {
        found.require(
            !kind.name.is_empty() && kind.name != "ledger",
            &format!("site.cache.kinds.{n}.name"),
            "is empty or reserved",
        );
        found.positive(kind.cores, &format!("site.cache.kinds.{n}.cores"));
        found.positive(kind.speed, &format!("site.cache.kinds.{n}.speed"));
    }
    found.count(cache.slots_per_core, 1, 10_000, "site.cache.slots_per_core");
    found.require(cache.queue_per_core <= 100_000, "site.cache.room_per_core", "is over 100,000");
    found.fraction(cache.memory_fraction, "site.cache.memory");
    found.fraction(cache.miss_work, "site.cache.miss_work");
    found.fraction(cache.initial_capacity, "site.cache.cold_from");
    found.positive(cache.initial_capacity, "site.cache.cold_from");
    found.require(cache.overload_multiple >= 1.0, "site.cache.fall_multiple", "is under 1");
    found.require(!cache.overload_window.is_zero(), "site.cache.fall", "is 0");
    found.fraction(cache.error_rate, "site.cache.errors");
    found.positive(origin.cores, "site.ledger.cores");
    found.count(origin.slots, 1, 100_000, "site.ledger.slots");
    found.require(origin.queue <= 1_000_000, "site.ledger.room", "is over 1,000,000");
    found.positive(origin.fetch_work, "site.ledger.fetch_work");
    found.require(origin.overload_multiple >= 1.0, "site.ledger.stop_multiple", "is under 1");
    found.require(!origin.overload_window.is_zero(), "site.ledger.stop_after", "is 0");
    found.require(discovery.min_lag <= discovery.max_lag, "site.roster.lag_least", "is over lag_most");
    found.require(!discovery.poll_within.is_zero(), "site.roster.must_ask_in", "is 0");
}

fn check_clients(day: &Day, found: &mut Problems) {
    let load = &day.load;
    found.positive(load.rate, "load.rate");
    found.require(load.rate <= MAX_RATE, "load.rate", format_args!("is over {MAX_RATE}"));
    found.fraction(load.swing, "load.swing");
    found.require(!load.swing_period.is_zero(), "load.period", "is 0");
    found.require(
        (1..=MAX_KEYS).contains(&load.keys),
        "load.keys",
        format_args!("is not within 1 to {MAX_KEYS}"),
    );
    found.require(load.zipf > 0.0 && load.zipf <= 4.0, "load.zipf", "is not above 0 and at most 4");
    found.require(
        (64..=MAX_RESPONSE_BYTES).contains(&load.response_bytes),
        "load.answer_bytes",
        format_args!("is not within 64 to {MAX_RESPONSE_BYTES}"),
    );
    check_classes(&load.classes, found);
    found.require(!load.tenants.is_empty(), "load.tenants", "the list is empty");
    found.shares_add_up(load.tenants.iter().map(|t| t.share), "load.tenants");
    for (n, tenant) in load.tenants.iter().enumerate() {
        found.positive(tenant.usage, &format!("load.tenants.{n}.usage"));
    }
    found.require(load.retries.max_retries <= 10, "load.retries.most", "is over 10");
    found.fraction(load.retries.honor_retry_after, "load.retries.heed");
    found.fraction(load.retries.attempt_timeout_fraction, "load.retries.try_part");
    found.positive(load.retries.attempt_timeout_fraction, "load.retries.try_part");
    if let Some(impatient) = &load.impatient {
        found.fraction(impatient.fraction, "load.hasty.part");
        found.require(impatient.max_retries <= 10, "load.hasty.again", "is over 10");
        found.require(!impatient.attempt_timeout.is_zero(), "load.hasty.try", "is 0");
    }
    check_misbehaving(&load.misbehaving, found);
}

fn check_classes(classes: &[Class], found: &mut Problems) {
    found.require(!classes.is_empty(), "load.classes", "the list is empty");
    found.shares_add_up(classes.iter().map(|c| c.share), "load.classes");
    for (n, class) in classes.iter().enumerate() {
        let key = |name: &str| format!("load.classes.{n}.{name}");
        let valid =
            !class.name.is_empty() && class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        found.require(
            valid,
            &key("name"),
            "is empty or contains characters other than letters, digits and -",
        );
        found.require(!class.work.is_zero(), &key("work"), "is 0");
        found.require(class.latency_objective <= class.deadline, &key("aim"), "is over give_up");
        found.require(!class.deadline.is_zero(), &key("give_up"), "is 0");
        found.require(
            (0.0..=10.0).contains(&class.work_spread),
            &key("work_spread"),
            "is not within 0 to 10",
        );
        found.require(class.weight >= 0.0, &key("worth"), "is under 0");
        found.require(
            class.write || class.idempotency == Idempotency::Idempotent,
            &key("effect"),
            "only a write may be keyed or unsafe",
        );
        found.require(
            class.body_bytes <= MAX_RESPONSE_BYTES,
            &key("body_bytes"),
            format_args!("is over {MAX_RESPONSE_BYTES}"),
        );
    }
}

fn check_misbehaving(misbehaving: &MisbehavingClients, found: &mut Problems) {
    found.require(
        misbehaving.idle_connections <= MAX_IDLE_CONNECTIONS,
        "load.rude.idle",
        format_args!("is over {MAX_IDLE_CONNECTIONS}"),
    );
    for (fraction, name) in [
        (misbehaving.slow_readers, "slow_readers"),
        (misbehaving.slow_writers, "slow_writers"),
        (misbehaving.abort_sending, "leave_asking"),
        (misbehaving.abort_waiting, "leave_waiting"),
    ] {
        found.fraction(fraction, &format!("load.rude.{name}"));
    }
    let sum = misbehaving.slow_readers
        + misbehaving.slow_writers
        + misbehaving.abort_sending
        + misbehaving.abort_waiting;
    found.require(sum <= 1.0, "load.rude", "the fractions add up to more than 1");
}

fn check_fault(day: &Day, fault: &Fault, key: &str, found: &mut Problems) {
    use FaultKind::*;
    let kind = fault.kind;
    found.require(fault.at < day.length, &format!("{key}.at"), "is not before the end of the day");
    found.require(!fault.length.is_zero(), &format!("{key}.for"), "is 0");
    if let Some(fraction) = fault.fraction {
        found.fraction(fraction, &format!("{key}.part"));
    }
    for node in fault.nodes.iter().flatten() {
        found.require(
            *node < day.site.cache.count,
            &format!("{key}.nodes"),
            format_args!("there is no node {node}"),
        );
    }
    found.require(fault.fraction.is_none() || fault.nodes.is_none(), key, "sets both `part` and `nodes`");
    let site_wide = matches!(kind, DiscoveryDown | BrownOut | ProxyRoll);
    let has_target = fault.fraction.is_some() || fault.nodes.is_some();
    found.require(site_wide || has_target, key, "sets neither `part` nor `nodes`");
    let size_needed = matches!(kind, Slow | Pieces | BrownOut);
    found.require(!size_needed || fault.size.is_some(), &format!("{key}.size"), "is missing");
    if let Some(size) = fault.size {
        match kind {
            Slow | BrownOut => {
                found.fraction(size, &format!("{key}.size"));
                found.positive(size, &format!("{key}.size"));
            }
            Pieces => found.require(size >= 1.0, &format!("{key}.size"), "is under 1 byte"),
            _ => found.require(false, &format!("{key}.size"), "does not apply to this kind"),
        }
    }
}
