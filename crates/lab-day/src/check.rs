//! What can't be: values that a day's file may spell but no site can have. Every fault is reported, not the first alone.

use super::{Day, Effect, Trouble, TroubleKind};
use std::time::Duration;

/// Sizes that a trial on one machine can bear.
const LENGTH_MOST: Duration = Duration::from_secs(3600);
const RATE_MOST: f64 = 200_000.0;
const NODES_MOST: usize = 2_048;
const PROXIES_MOST: usize = 4_096;
const KEYS_MOST: u64 = 10_000_000;
const IDLE_MOST: usize = 8_192;
const TROUBLES_MOST: usize = 256;
const JOINED_MOST: usize = 3_000;
const ANSWER_MOST: u64 = 32 << 20;

struct Faults(Vec<String>);

impl Faults {
    fn unless(&mut self, holds: bool, key: &str, why: impl std::fmt::Display) {
        if !holds {
            self.0.push(format!("{key}: {why}"));
        }
    }

    fn part(&mut self, value: f64, key: &str) {
        self.unless((0.0..=1.0).contains(&value), key, format_args!("{value} is not a part between 0 and 1"));
    }

    fn positive(&mut self, value: f64, key: &str) {
        self.unless(value.is_finite() && value > 0.0, key, format_args!("{value} is not above 0"));
    }

    fn count(&mut self, value: usize, least: usize, most: usize, key: &str) {
        self.unless(
            (least..=most).contains(&value),
            key,
            format_args!("{value} is not within {least} to {most}"),
        );
    }

    fn whole(&mut self, shares: impl Iterator<Item = f64>, key: &str) {
        let sum: f64 = shares.sum();
        self.unless((sum - 1.0).abs() < 0.01, key, format_args!("the shares add up to {sum:.3}, not to 1"));
    }
}

/// Every fault of a day: its key and the reason.
pub fn faults(day: &Day) -> Vec<String> {
    let mut f = Faults(Vec::new());
    f.unless(!day.length.is_zero() && day.length <= LENGTH_MOST, "length", "must be above 0 and at most 1 h");
    machines(day, &mut f);
    clients(day, &mut f);
    let deploys = day.troubles.iter().filter(|t| t.kind == TroubleKind::Deploy).count();
    f.unless(
        day.troubles.len() <= TROUBLES_MOST,
        "trouble",
        format_args!("there are more than {TROUBLES_MOST}"),
    );
    let joined = deploys.saturating_mul(day.site.cache.count);
    f.unless(joined <= JOINED_MOST, "trouble", format_args!("deploys start more than {JOINED_MOST} nodes"));
    for (n, trouble) in day.troubles.iter().enumerate() {
        one_trouble(day, trouble, &format!("trouble.{n}"), &mut f);
    }
    f.0
}

fn machines(day: &Day, f: &mut Faults) {
    let (proxy, cache, ledger, roster) =
        (&day.site.proxy, &day.site.cache, &day.site.ledger, &day.site.roster);
    f.count(proxy.count, 1, PROXIES_MOST, "site.proxy.count");
    f.count(proxy.memory_mb, 16, 1 << 20, "site.proxy.memory_mb");
    f.count(proxy.sockets, 64, 1 << 20, "site.proxy.sockets");
    f.count(cache.count, 1, NODES_MOST, "site.cache.count");
    f.unless(!cache.kinds.is_empty(), "site.cache.kinds", "there is none");
    f.whole(cache.kinds.iter().map(|k| k.share), "site.cache.kinds");
    for (n, kind) in cache.kinds.iter().enumerate() {
        f.unless(
            !kind.name.is_empty() && kind.name != "ledger",
            &format!("site.cache.kinds.{n}.name"),
            "is taken",
        );
        f.positive(kind.cores, &format!("site.cache.kinds.{n}.cores"));
        f.positive(kind.speed, &format!("site.cache.kinds.{n}.speed"));
    }
    f.count(cache.slots_per_core, 1, 10_000, "site.cache.slots_per_core");
    f.unless(cache.room_per_core <= 100_000, "site.cache.room_per_core", "is over 100,000");
    f.part(cache.memory, "site.cache.memory");
    f.part(cache.miss_work, "site.cache.miss_work");
    f.part(cache.cold_from, "site.cache.cold_from");
    f.positive(cache.cold_from, "site.cache.cold_from");
    f.unless(cache.fall_multiple >= 1.0, "site.cache.fall_multiple", "is under 1");
    f.unless(!cache.fall.is_zero(), "site.cache.fall", "is 0");
    f.part(cache.errors, "site.cache.errors");
    f.positive(ledger.cores, "site.ledger.cores");
    f.count(ledger.slots, 1, 100_000, "site.ledger.slots");
    f.unless(ledger.room <= 1_000_000, "site.ledger.room", "is over 1,000,000");
    f.positive(ledger.fetch_work, "site.ledger.fetch_work");
    f.unless(ledger.stop_multiple >= 1.0, "site.ledger.stop_multiple", "is under 1");
    f.unless(!ledger.stop_after.is_zero(), "site.ledger.stop_after", "is 0");
    f.unless(roster.lag_least <= roster.lag_most, "site.roster.lag_least", "is over lag_most");
    f.unless(!roster.must_ask_in.is_zero(), "site.roster.must_ask_in", "is 0");
}

fn clients(day: &Day, f: &mut Faults) {
    let load = &day.load;
    f.positive(load.rate, "load.rate");
    f.unless(load.rate <= RATE_MOST, "load.rate", format_args!("is over {RATE_MOST}"));
    f.part(load.swing, "load.swing");
    f.unless(!load.period.is_zero(), "load.period", "is 0");
    f.unless(
        (1..=KEYS_MOST).contains(&load.keys),
        "load.keys",
        format_args!("is not within 1 to {KEYS_MOST}"),
    );
    f.unless(load.zipf > 0.0 && load.zipf <= 4.0, "load.zipf", "is not above 0 and at most 4");
    f.unless(
        (64..=ANSWER_MOST).contains(&load.answer_bytes),
        "load.answer_bytes",
        format_args!("is not within 64 to {ANSWER_MOST}"),
    );
    f.unless(!load.classes.is_empty(), "load.classes", "there is none");
    f.whole(load.classes.iter().map(|c| c.share), "load.classes");
    for (n, class) in load.classes.iter().enumerate() {
        let key = |name: &str| format!("load.classes.{n}.{name}");
        let plain =
            !class.name.is_empty() && class.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        f.unless(plain, &key("name"), "holds something else than letters, digits and -");
        f.unless(!class.work.is_zero(), &key("work"), "is 0");
        f.unless(class.aim <= class.give_up, &key("aim"), "is over give_up");
        f.unless(!class.give_up.is_zero(), &key("give_up"), "is 0");
        f.unless((0.0..=10.0).contains(&class.work_spread), &key("work_spread"), "is not within 0 to 10");
        f.unless(class.worth >= 0.0, &key("worth"), "is under 0");
        f.unless(
            class.write || class.effect == Effect::Safe,
            &key("effect"),
            "only a write may be keyed or unsafe",
        );
        f.unless(class.body_bytes <= ANSWER_MOST, &key("body_bytes"), format_args!("is over {ANSWER_MOST}"));
    }
    f.unless(!load.tenants.is_empty(), "load.tenants", "there is none");
    f.whole(load.tenants.iter().map(|t| t.share), "load.tenants");
    for (n, tenant) in load.tenants.iter().enumerate() {
        f.positive(tenant.usage, &format!("load.tenants.{n}.usage"));
    }
    f.unless(load.retries.most <= 10, "load.retries.most", "is over 10");
    f.part(load.retries.heed, "load.retries.heed");
    f.part(load.retries.try_part, "load.retries.try_part");
    f.positive(load.retries.try_part, "load.retries.try_part");
    f.unless(load.rude.idle <= IDLE_MOST, "load.rude.idle", format_args!("is over {IDLE_MOST}"));
    if let Some(hasty) = &load.hasty {
        f.part(hasty.part, "load.hasty.part");
        f.unless(hasty.again <= 10, "load.hasty.again", "is over 10");
        f.unless(!hasty.patience.is_zero(), "load.hasty.try", "is 0");
    }
    let rude = &load.rude;
    for (part, name) in [
        (rude.slow_readers, "slow_readers"),
        (rude.slow_writers, "slow_writers"),
        (rude.leave_asking, "leave_asking"),
        (rude.leave_waiting, "leave_waiting"),
    ] {
        f.part(part, &format!("load.rude.{name}"));
    }
    let rude = rude.slow_readers + rude.slow_writers + rude.leave_asking + rude.leave_waiting;
    f.unless(rude <= 1.0, "load.rude", "the parts add up to more than 1");
}

fn one_trouble(day: &Day, trouble: &Trouble, key: &str, f: &mut Faults) {
    use TroubleKind::*;
    let kind = trouble.kind;
    f.unless(trouble.at < day.length, &format!("{key}.at"), "is after the end of the day");
    f.unless(!trouble.length.is_zero(), &format!("{key}.for"), "is 0");
    if let Some(part) = trouble.part {
        f.part(part, &format!("{key}.part"));
    }
    for node in trouble.nodes.iter().flatten() {
        f.unless(
            *node < day.site.cache.count,
            &format!("{key}.nodes"),
            format_args!("there is no node {node}"),
        );
    }
    f.unless(trouble.part.is_none() || trouble.nodes.is_none(), key, "names both a part and nodes");
    let site_wide = matches!(kind, DiscoveryDown | BrownOut | ProxyRoll);
    let aimed = trouble.part.is_some() || trouble.nodes.is_some();
    f.unless(site_wide || aimed, key, "names neither a part nor nodes");
    let size_needed = matches!(kind, Slow | Pieces | BrownOut);
    f.unless(!size_needed || trouble.size.is_some(), &format!("{key}.size"), "is missing");
    if let Some(size) = trouble.size {
        match kind {
            Slow | BrownOut => {
                f.part(size, &format!("{key}.size"));
                f.positive(size, &format!("{key}.size"));
            }
            Pieces => f.unless(size >= 1.0, &format!("{key}.size"), "is under 1 byte"),
            _ => f.unless(false, &format!("{key}.size"), "has no meaning for this kind"),
        }
    }
}
