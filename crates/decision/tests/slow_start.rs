//! Requests that servers that are warming up get from all proxies together, which know only the number of
//! proxies: in any window of the rule, wherever it begins, at most N plus the slack for chance.

mod common;

use aniseyoke_decision::api::*;
use common::fleet::{simulate, FleetResult, Scenario};
use common::{settings, MS, SECOND};

/// Fleet sizes, in proxies.
const FLEETS: [usize; 9] = [1, 2, 3, 5, 8, 20, 30, 300, 2_500];

/// Number of seeds of each scenario; the environment variable `SEEDS` overrides it.
fn seeds(usual: u64) -> u64 {
    std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(usual)
}

/// A fleet with a realistic request rate for its number of proxies.
fn fleet(proxies: usize) -> Scenario {
    let rate = match proxies {
        0..=8 => 200.0,
        9..=300 => 2_000.0,
        _ => 20_000.0,
    };
    Scenario { proxies, rate, ..Scenario::default() }
}

/// Simulates each scenario with some seeds, prints its worst window, and fails if a window is beyond its
/// bound.
fn check_budget(what: &str, usual: u64, scenarios: impl IntoIterator<Item = Scenario>) {
    let (mut violations, mut to_warming) = (Vec::new(), 0);
    for scenario in scenarios {
        let mut worst: Option<(u64, FleetResult)> = None;
        for seed in 1..=seeds(usual) {
            let result = simulate(&Scenario { seed, ..scenario.clone() });
            let name =
                format!("{what}, {} proxies, {} requests/s, seed {seed}", scenario.proxies, scenario.rate);
            to_warming += result.to_warming;
            // A proxy with one request in several seconds may earn no permit during the simulation.
            let has_traffic = scenario.rate / scenario.proxies as f64 > 0.5;
            assert!(
                result.to_warming > 0 || !has_traffic,
                "nothing was sent to servers that are warming up: {name}"
            );
            // Requests in flight at a killed proxy are not answered.
            let min_answered = if scenario.killed.is_empty() { 0.97 } else { 0.9 };
            assert!(result.answered as f64 > min_answered * result.asked as f64, "{name}: {result:?}");
            let ratio = |f: &FleetResult| f.worst.notified / f.worst.bound;
            if ratio(&result) > 1.0 || !result.broken.is_empty() {
                violations.push(format!("{name}: {:?}, {} broken", result.worst, result.broken.len()));
            }
            if worst.as_ref().is_none_or(|(_, w)| ratio(&result) > ratio(w)) {
                worst = Some((seed, result));
            }
        }
        let Some((seed, result)) = worst else { continue };
        let w = result.worst;
        println!(
            "{what}: {} proxies: worst {:.0} of N {:.1}, bound {:.1} ({:.2}), seed {seed}; \
             {} sent to warming servers",
            scenario.proxies,
            w.notified,
            w.allowed,
            w.bound,
            w.notified / w.bound,
            result.to_warming
        );
    }
    assert!(to_warming > 0, "{what}: nothing was sent to servers that are warming up");
    assert!(violations.is_empty(), "windows beyond their bound:\n{}", violations.join("\n"));
}

#[test]
fn uneven_traffic_and_a_burst_stay_within_the_budget() {
    let scenarios = FLEETS.map(|n| Scenario { uneven: 1.2, heavy: 0.3, burst: 1.5, ..fleet(n) });
    check_budget("uneven traffic", 2, scenarios);
}

#[test]
fn keys_that_turn_hot_stay_within_the_budget() {
    check_budget("hot keys", 3, FLEETS.map(|n| Scenario { hot: 0.3, ..fleet(n) }));
}

/// Guards against a full permit at each proxy when keys turn hot, where a proxy's part of N is far below one
/// request.
#[test]
fn keys_that_turn_hot_at_proxies_with_little_traffic_stay_within_the_budget() {
    let scenarios = [8, 30, 300, 2_500].map(|n| Scenario { rate: 200.0, hot: 0.3, uneven: 1.2, ..fleet(n) });
    check_budget("hot keys, little traffic", 3, scenarios);
}

/// Guards against many slightly hot keys: unlike one hot bucket, they are not spread over several servers.
#[test]
fn many_keys_that_turn_hot_together_stay_within_the_budget() {
    check_budget("many hot keys", 2, FLEETS.map(|n| Scenario { hot: 0.8, hot_keys: 100, ..fleet(n) }));
}

#[test]
fn fleets_with_a_changing_number_of_proxies_stay_within_the_budget() {
    let scenarios = FLEETS[1..].iter().map(|&n| {
        let changes =
            vec![(2 * SECOND, n.div_ceil(2)), (5 * SECOND, n), (5_400 * MS, n / 3 + 1), (6 * SECOND, n)];
        Scenario { changes, hot: 0.3, ..fleet(n) }
    });
    check_budget("numbers change", 2, scenarios);
}

#[test]
fn a_server_that_restarts_repeatedly_during_slow_start_stays_within_the_budget() {
    let scenarios = FLEETS.map(|n| {
        let restarts = vec![5 * SECOND, 5_300 * MS, 5_700 * MS];
        Scenario { restarts, known: true, hot: 0.3, ..fleet(n) }
    });
    check_budget("two restarts", 2, scenarios);
}

#[test]
fn requests_of_more_than_mean_work_stay_within_the_budget() {
    let scenarios = FLEETS.map(|n| Scenario { heavy_class: (0.2, 4.0), hot: 0.3, ..fleet(n) });
    check_budget("heavy requests", 2, scenarios);
}

#[test]
fn retries_and_hedged_requests_stay_within_the_budget() {
    let scenarios = FLEETS.map(|n| Scenario { reset: 0.1, late: 0.05, hot: 0.3, ..fleet(n) });
    check_budget("retries and hedges", 2, scenarios);
}

#[test]
fn values_that_are_stored_after_a_miss_stay_within_the_budget() {
    let scenarios = FLEETS.map(|n| Scenario { fills: true, hot: 0.3, burst: 1.5, ..fleet(n) });
    check_budget("stored values", 2, scenarios);
}

#[test]
fn proxies_that_restart_during_slow_start_stay_within_the_budget() {
    let scenarios = FLEETS.map(|n| {
        let killed = vec![(3 * SECOND, 0.7), (5_400 * MS, 0.7), (6 * SECOND, 1.0)];
        Scenario { killed, hot: 0.3, ..fleet(n) }
    });
    check_budget("proxies restart", 2, scenarios);
}

#[test]
fn a_start_with_late_notifications_stays_within_the_budget() {
    let scenarios =
        FLEETS.map(|n| Scenario { known: true, notified_within: 6 * SECOND, hot: 0.3, ..fleet(n) });
    check_budget("notified late", 2, scenarios);
}

#[test]
fn several_servers_that_warm_up_at_once_stay_within_their_budgets() {
    let scenarios = FLEETS.map(|n| Scenario { warming: 12, hot: 0.6, ..fleet(n) });
    check_budget("several servers that are warming up", 2, scenarios);
}

/// Guards against a budget derived from load reports that exceeds the capacity of the servers.
#[test]
fn budgets_from_reported_utilization_stay_within_server_capacity() {
    let scenarios = FLEETS.into_iter().flat_map(|n| {
        [0.1, 0.5, 0.9].map(|used| Scenario {
            utilization: Some((used, 0.3)),
            uneven: 1.2,
            heavy: 0.3,
            burst: 1.5,
            hot: 0.8,
            hot_keys: 100,
            ..fleet(n)
        })
    });
    check_budget("reported utilization", 2, scenarios);
}

/// Guards against a budget beyond the capacity of the servers when proxies have just started and have few
/// load reports.
#[test]
fn budgets_from_few_reports_stay_within_server_capacity() {
    let scenarios = FLEETS.map(|n| Scenario {
        utilization: Some((0.4, 0.3)),
        killed: vec![(3 * SECOND, 0.7), (5_400 * MS, 0.7), (6 * SECOND, 1.0)],
        hot: 0.5,
        ..fleet(n)
    });
    check_budget("few reports", 2, scenarios);
}

/// Guards against proxies with little traffic that leave their budget unused. Where servers can serve a
/// request from each proxy per window, many proxies with little traffic send about as much as few proxies
/// with more.
#[test]
fn many_proxies_use_the_budget_about_as_well_as_few() {
    let rule_settings = Settings { slow_start_from: 0.4, ..settings() };
    let sent = |proxies| {
        let mut sent = 0;
        for seed in 1..=3 {
            let scenario = Scenario {
                seed,
                settings: rule_settings.clone(),
                utilization: Some((0.4, 0.3)),
                ..fleet(proxies)
            };
            let result = simulate(&scenario);
            println!("{proxies} proxies: {} sent, worst {:?}", result.to_warming, result.worst);
            assert!(result.worst.notified <= result.worst.bound, "{result:?}");
            sent += result.to_warming;
        }
        sent as f64
    };
    let (few, many) = (sent(30), sent(300));
    assert!(many > few * 2.0 / 3.0, "{many} requests of many proxies, {few} of few");
}

/// Settings of other deployments: a lower start, a longer window, another multiple.
#[test]
fn other_settings_of_the_rule_stay_within_the_budget() {
    let other = |slow_start_from, slow_start_time, overload_multiple, overload_window| Settings {
        slow_start_from,
        slow_start_time,
        overload_multiple,
        overload_window,
        ..settings()
    };
    for rule_settings in [
        other(0.05, 30 * SECOND, 3.0, SECOND),
        other(0.32, 8_900 * MS, 3.0, 2 * SECOND),
        other(0.1, 10 * SECOND, 1.5, 500 * MS),
    ] {
        let scenarios =
            [1, 3, 20, 300].map(|n| Scenario { settings: rule_settings.clone(), hot: 0.3, ..fleet(n) });
        check_budget("other figures", 2, scenarios);
    }
}
