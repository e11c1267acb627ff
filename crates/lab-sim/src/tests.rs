use super::counts::Cause;
use super::ramp::{mean_work, ColdArrival, Ramp};
use super::*;
use aniseyoke_lab_day::{Fault, FaultKind};
use aniseyoke_lab_load::Outcome;

const WARM: Duration = Duration::from_secs(8);

/// A small day without faults.
fn still(proxies: usize, nodes: usize, seconds: u64) -> Day {
    let mut day = Day::open("join").expect("built in").resized(proxies, nodes).expect("sound");
    (day.faults, day.load.impatient) = (Vec::new(), None);
    day.length = Duration::from_secs(seconds);
    day
}

fn play(day: &Day, crowd: Option<Crowd>) -> Counts {
    let counts = Sim::new(day, Options { warm_up: WARM, crowd, ..Options::default() }).run();
    assert!(
        !counts.broken(),
        "a rule was broken: {:?}",
        (counts.node_overloads, counts.origin_overloads, counts.executed_twice)
    );
    counts
}

fn cause(of: Cause) -> usize {
    CAUSES.iter().position(|c| *c == of).expect("listed")
}

fn fault(kind: FaultKind, fraction: f64, size: Option<f64>) -> Fault {
    let (at, length) = (Duration::from_secs(2), Duration::from_secs(4));
    Fault { kind, at, length, fraction: Some(fraction), nodes: None, size }
}

fn sum(counts: &Counts, of: impl Fn(&Second) -> u64) -> u64 {
    counts.seconds.iter().map(of).sum()
}

#[test]
fn a_day_is_the_same_each_time_and_another_by_another_seed() {
    let mut day = still(20, 10, 4);
    let first = play(&day, None);
    assert_eq!(first.seconds, play(&day, None).seconds);
    day.seed += 1;
    assert_ne!(first.seconds, play(&day, None).seconds);
}

#[test]
fn every_attempt_ends_once_with_one_cause() {
    let mut day = Day::open("join").expect("built in").resized(60, 30).expect("sound").shortened(0.4);
    day.load.misbehaving.abort_waiting = 0.1;
    let counts = play(&day, None);
    let (attempts, ended) = (sum(&counts, |s| s.attempts), sum(&counts, |s| s.causes.iter().sum()));
    assert_eq!(attempts, ended);
    assert_eq!(sum(&counts, |s| s.first), counts.stats.all.requests());
    assert!(counts.stats.all.count(Outcome::Left) > 0, "who leaves is counted");
    assert!(sum(&counts, |s| s.sent[1]) > 0, "cold nodes are asked");
}

/// Danger: attempts of clients that lose patience had usual ones refused unsent, in the whole fleet at once.
#[test]
fn a_release_among_impatient_clients_leaves_most_usual_ones_served() {
    let mut day = Day::open("join").expect("built in").resized(60, 40).expect("sound").shortened(0.5);
    day.faults.push(fault(FaultKind::Slow, 0.125, Some(0.5)));
    let counts = play(&day, None);
    let storm = counts.goodput(3..8);
    assert!(storm > 0.8, "{storm} of the worth in the release");
    assert!(counts.goodput(9..12) > 0.9, "{} after it", counts.goodput(9..12));
}

/// Danger: an attempt whose connection goes dead without a word must end by its proxy's own clock, and no later answer count.
#[test]
fn attempts_end_once_whatever_becomes_of_their_nodes() {
    for kind in [FaultKind::HalfOpen, FaultKind::Silence, FaultKind::Crash, FaultKind::Cut] {
        let mut day = still(20, 10, 8);
        day.faults = vec![fault(kind, 0.3, None)];
        let counts = play(&day, None);
        let (attempts, ended) = (sum(&counts, |s| s.attempts), sum(&counts, |s| s.causes.iter().sum()));
        assert_eq!(attempts, ended, "{kind:?}");
        let timed_out = sum(&counts, |s| s.timed_out[0]);
        let silent = matches!(kind, FaultKind::HalfOpen | FaultKind::Silence);
        assert!(!silent || timed_out > 0, "{kind:?} is met");
    }
}

#[test]
fn what_of_a_day_is_not_played_is_named() {
    assert!(Sim::left_out(&Day::open("join").expect("built in")).is_empty());
    assert_eq!(Sim::left_out(&Day::open("roll").expect("built in")), ["proxy-roll"]);
}

#[test]
fn refused_clients_that_come_again_at_once_cost_no_more_than_the_nodes_lack() {
    let day = still(40, 20, 14);
    let crowd = Crowd {
        at: Duration::from_secs(3),
        length: Duration::from_secs(5),
        rate: 2.0 * day.load.rate,
        proxies: 1.0,
        tenant: 0,
        retries: 5,
    };
    let counts = play(&day, Some(crowd));
    let (before, during, after) = (counts.goodput(0..3), counts.goodput(4..8), counts.goodput(10..14));
    // Three times what they bear comes as first attempts: a third of it fits, and refusing costs some of that.
    assert!(before > 0.85 && during > 0.25, "{before}, then {during}");
    assert!(after > 0.95, "{after} two seconds after they stopped");
}

#[test]
fn a_tenant_far_over_its_share_at_a_tenth_of_the_proxies_leaves_the_others_theirs() {
    let day = still(40, 20, 10);
    let crowd = Crowd {
        at: Duration::from_secs(2),
        length: Duration::from_secs(6),
        rate: 20.0 * day.load.tenants[2].share * day.load.rate / 10.0,
        proxies: 0.1,
        tenant: 2,
        retries: 2,
    };
    let counts = play(&day, Some(crowd));
    for tenant in &counts.stats.tenants[..2] {
        assert!(tenant.goodput() > 0.9, "{}: {}", tenant.name, tenant.goodput());
    }
}

#[test]
fn clients_that_leave_just_before_their_answer_do_not_move_admission() {
    let mut day = still(40, 20, 8);
    day.load.misbehaving.abort_waiting = 0.4;
    let counts = play(&day, None);
    let unsent =
        sum(&counts, |s| s.causes[cause(Cause::RejectedUnsent)]) as f64 / sum(&counts, |s| s.attempts) as f64;
    assert!(unsent < 0.02, "{unsent} refused unsent");
    assert!(counts.stats.all.goodput() > 0.95, "{}", counts.stats.all.goodput());
}

#[test]
fn proxies_with_little_load_and_one_with_much_serve_alike_where_nothing_is_wrong() {
    // One request a second at each of 300 proxies, and 200 more at one of them.
    for (nodes, first_proxy_fraction) in [(12, 0.0), (20, 0.4)] {
        let mut day = still(300, nodes, 10);
        day.load.rate = 300.0 / (1.0 - first_proxy_fraction);
        let warm_up = Duration::from_secs(20);
        let counts =
            Sim::new(&day, Options { warm_up, unevenness: 0.0, first_proxy_fraction, ..Options::default() })
                .run();
        assert!(!counts.broken());
        let goodput = counts.goodput(4..10);
        assert!(goodput > 0.9, "{goodput} with {first_proxy_fraction} at one proxy");
    }
}

/// Every node is restarted while hundreds of proxies start, so that each change of the list wakes all that watch it.
fn all_restarted(proxies: usize, nodes: usize, options: Options) -> Counts {
    let mut day = still(proxies, nodes, 12);
    let (at, length) = (Duration::ZERO, Duration::from_millis(100));
    day.faults =
        vec![Fault { kind: FaultKind::Crash, at, length, fraction: Some(1.0), nodes: None, size: None }];
    Sim::new(&day, options).run()
}

/// The same, with all rules kept.
fn restarted(proxies: usize, nodes: usize, options: Options) -> Counts {
    let counts = all_restarted(proxies, nodes, options);
    assert!(
        !counts.broken(),
        "{:?}",
        (counts.node_overloads, counts.origin_overloads, counts.executed_twice, counts.drain_violations)
    );
    counts
}

#[test]
fn proxies_that_ask_in_their_slots_spare_the_list_service_and_the_nodes() {
    let (proxies, warm_up) = (120, Duration::from_secs(1));
    let list = |paced| Some(ListService { paced, ..ListService::default() });
    let most = |counts: &[u64]| counts.iter().copied().max().unwrap_or(0);
    let free = restarted(proxies, 20, Options { warm_up, list: list(false), ..Options::default() });
    let connection_rates = Some((40.0, 200.0));
    let paced =
        restarted(proxies, 20, Options { warm_up, list: list(true), connection_rates, ..Options::default() });
    // One in a cycle of 2.5 s each; a second's edge may fall between two proxies' slots.
    let bound = (proxies as f64 / 2.5).ceil() as u64 + 1;
    assert!(most(&paced.list_calls) <= bound, "{bound} a second: {:?}", paced.list_calls);
    assert!(most(&free.list_calls) > 10 * bound, "{:?}", free.list_calls);
    // By the end of the first cycle of 3 s a node was opened at its rate, and one more for each proxy at most.
    let opened = |counts: &Counts| most(&counts.load[0].max_opened);
    assert!(opened(&paced) <= 40 + proxies as u64 && opened(&paced) < opened(&free), "{:?}", paced.load[0]);
}

#[test]
fn a_list_service_that_was_down_is_not_hammered_when_it_is_back() {
    let (proxies, warm_up) = (120, Duration::from_secs(1));
    let down = Duration::from_secs(6);
    let service = |paced| {
        let retry_after = Duration::from_secs(1);
        Some(ListService { paced, max_per_second: Some(30), retry_after, down })
    };
    let paced = restarted(proxies, 20, Options { warm_up, list: service(true), ..Options::default() });
    let bound = (proxies as f64 / 2.5).ceil() as u64 + 1;
    assert!(paced.list_calls.iter().all(|calls| *calls <= bound), "{:?}", paced.list_calls);
    assert!(paced.list_rejected > 0, "past 30 a second it refuses: {:?}", paced.list_calls);
}

#[test]
fn what_cold_nodes_get_of_all_proxies_is_counted_and_within_what_they_are_allowed() {
    let mut day = Day::open("join").expect("built in").resized(60, 20).expect("sound").shortened(0.5);
    for (proxies, unevenness) in [(20, 0.0), (60, 1.2)] {
        day.site.proxy.count = proxies;
        let counts = Sim::new(&day, Options { warm_up: WARM, unevenness, ..Options::default() }).run();
        let slow_start = &counts.slow_start;
        assert!(!counts.broken() && slow_start.starts >= 8, "{slow_start:?}");
        assert!(slow_start.fullest.got > 0 && slow_start.fullest.ratio() > 0.0, "{slow_start:?}");
        assert_eq!((slow_start.past_bound, slow_start.broken), (0, 0), "{slow_start:?}");
        let sent: u64 = counts.seconds.iter().map(|s| s.sent[1]).sum();
        assert!(slow_start.fullest.got <= sent, "{slow_start:?}, {sent} sent to cold nodes");
    }
}

#[test]
fn a_cold_node_past_its_budget_is_counted_once_for_each_start() {
    let day = still(1, 1, 1);
    let (work, mut ramp) = (mean_work(&day), Ramp::new(&day));
    let arrival = |started| ColdArrival { member: 0, started, allowed: 4.0 * work, notified: true };
    // Four are allowed; with chance it is 4 + 4 + 2.
    (1..=10).for_each(|n| ramp.arrived(n * SECOND / 100, arrival(1)));
    let found = ramp.found();
    assert_eq!((found.starts, found.past_allowed, found.past_bound, found.broken), (1, 1, 0, 0));
    (11..=12).for_each(|n| ramp.arrived(n * SECOND / 100, arrival(1)));
    let found = ramp.found();
    assert_eq!((found.past_allowed, found.past_bound, found.broken, found.fullest.got), (1, 1, 1, 12));
    assert!((found.fullest.ratio() - 3.0).abs() < 1e-9 && (found.fullest.bound - 10.0).abs() < 1e-9);
    // What is older than the span counts no more, and another start is another node's.
    ramp.arrived(SECOND / 8 + nanos(day.site.cache.overload_window), arrival(1));
    ramp.arrived(20 * SECOND, arrival(20 * SECOND));
    let found = ramp.found();
    assert_eq!((found.starts, found.past_allowed, found.past_bound, found.fullest.got), (2, 1, 1, 12));
}

#[test]
fn a_budget_is_broken_where_over_two_thirds_came_from_notified_proxies() {
    let day = still(1, 1, 1);
    let (work, mut ramp) = (mean_work(&day), Ramp::new(&day));
    let mut arrives = |member: usize, of_12: u64| {
        for n in 1..=12 {
            let notified = n <= of_12;
            ramp.arrived(n * SECOND / 100, ColdArrival { member, started: 1, allowed: 4.0 * work, notified });
        }
        ramp.found()
    };
    // Of 11, the first past the bound, 7 are under two thirds.
    let found = arrives(0, 7);
    assert_eq!((found.past_bound, found.broken, found.closest_notified.notified), (1, 0, 7));
    let found = arrives(1, 8);
    assert_eq!((found.past_bound, found.broken, found.closest_notified.notified), (2, 1, 8));
}

/// Guards against a fleet that sends cold nodes more than their budget once it has been notified of their start.
#[test]
fn a_large_fleet_keeps_the_slow_start_budget_of_nodes_whose_start_it_knows() {
    let (proxies, nodes, warm_up) = (900, 40, Duration::from_secs(1));
    for list in [None, Some(ListService { paced: true, ..ListService::default() })] {
        let connection_rates = list.as_ref().map(|_| (300.0, 1500.0));
        let counts =
            all_restarted(proxies, nodes, Options { warm_up, list, connection_rates, ..Options::default() });
        // A node may fall by requests of proxies that can't know of its start: those are not counted by the rule.
        let others =
            (counts.origin_overloads, counts.executed_twice, counts.drain_violations, counts.answered_twice);
        assert_eq!(others, (0, 0, 0, 0));
        let slow_start = &counts.slow_start;
        assert!(slow_start.starts > 0 && slow_start.closest_notified.notified > 0, "{slow_start:?}");
        assert!(
            slow_start.broken == 0 && slow_start.closest_notified.notified_ratio() <= 1.0,
            "{slow_start:?}"
        );
    }
}

/// Guards against an origin that is pushed over by the sum of a large fleet's fetches.
#[test]
fn an_origin_near_its_limit_does_not_stop_under_a_fleet_of_thousands() {
    for seed in [1, 3] {
        let mut day = Day::open("ledger").expect("built in").resized(2_500, 10).expect("sound");
        day.seed = seed;
        let options = Options { warm_up: Duration::from_secs(30), unevenness: 0.6, ..Options::default() };
        let counts = Sim::new(&day, options).run();
        assert_eq!(counts.origin_overloads, 0, "seed {seed}");
    }
}
