use super::*;

const PLAN: &str = r#"
length = "1m"
topology = "relays"
regions = 4
zones = 8
sites = 16
proxies = 200
nodes = 80
real = 4

[delay]
base = "20ms"
spread = "80ms"

[purges]
per_second = 66

[changes]
per_day = 7500
burst = 3

[[kill]]
at = "10s"
spread = "5s"
role = "site-relay"
pick = 2
for = "4s"

[[cut]]
at = "20s"
for = "10s"
which = [3]
"#;

#[test]
fn a_schedule_is_determined_by_its_seed() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    let schedule = plan.schedule(3);
    assert_eq!(schedule, plan.schedule(3));
    assert_ne!(schedule, plan.schedule(4));
    assert_eq!(schedule.steps.len(), 6);
    assert!(schedule.steps.windows(2).all(|w| w[0].0 <= w[1].0));
    assert!((3500..4500).contains(&schedule.purges.len()), "{}", schedule.purges.len());
    // There is a burst every 34.56 s, the first after a quarter of that.
    let seconds: Vec<f64> = schedule.changes.iter().map(Duration::as_secs_f64).collect();
    assert_eq!((seconds[0], seconds[1], seconds[3], seconds.len()), (8.64, 8.84, 43.2, 6));
}

#[test]
fn a_time_during_or_close_to_a_fault_counts_as_under_fault() {
    let plan =
        Plan::parse("p.toml", PLAN.split("[[kill]]").next().expect("text before the kills")).expect("sound");
    let schedule = Schedule {
        steps: vec![
            (Duration::from_secs(20), Step::Cut(3)),
            (Duration::from_secs(25), Step::Kill(Role::Proxy, 1)),
            (Duration::from_secs(30), Step::Heal(3)),
        ],
        ..Schedule::default()
    };
    let under_fault = |s: u64| plan.under_fault(&schedule, Duration::from_secs(s), Duration::from_secs(2));
    assert_eq!([under_fault(17), under_fault(18), under_fault(22)], [false, true, true]);
    assert!(under_fault(59), "a kill without a restart has no end");
}

#[test]
fn parsing_reports_every_problem_with_its_position() {
    let bad = PLAN.replace("which = [3]", "which = [4]").replace("pick = 2", "pick = 17");
    let problems = Plan::parse("p.toml", &bad).expect_err("faults").problems;
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems[0].starts_with("p.toml:22:1: pick = 17: from 1 to 16"), "{problems:?}");
    assert!(problems[1].starts_with("p.toml:29:1: 4: there are 4, from 0"), "{problems:?}");
    let one = |from: &str, to: &str| {
        let problems = Plan::parse("p.toml", &PLAN.replace(from, to)).expect_err("a problem").problems;
        problems[0].clone()
    };
    assert!(one("regions = 4", "regions = 0").starts_with("p.toml:4:11: regions = 0"));
    assert!(one("\"1m\"", "\"90m\"").starts_with("p.toml:2:10: length: must be positive"));
    assert!(
        one("role = \"site-relay\"", "role = \"rack\"").starts_with("p.toml:25:8: unknown variant `rack`")
    );
    assert!(one("which = [3]", "which = [0]").contains("the first region"));
    assert!(one("sites = 16", "sites = 4").starts_with("p.toml:6:9: sites = 4: from 8"));
    assert!(one("sites = 16", "sites = 300").contains("processes, above the limit of 300"));
    assert!(one("topology = \"relays\"", "topology = \"direct\"").contains("no SiteRelay"));
    assert!(one("for = \"10s\"", "for = \"50s\"").contains("outlast"));
    assert!(one("per_second = 66", "per_second = -1").contains("purges.per_second"));
    assert!(one("burst = 3", "brst = 3").starts_with("p.toml:20:1: unknown field `brst`"));
}
