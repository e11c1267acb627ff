use super::*;

const PLAN: &str = r#"
day = "quiet"
proxies = 6

[[link]]
at = "2s"
for = "3s"
spread = "1s"
fault = "partition"
a = ["proxy:0-1"]
b = ["discovery", "nodes"]

[[process]]
at = "4s"
spread = "2s"
action = "kill"
pick = 2
for = "1s"
state = "cleared"
"#;

#[test]
fn the_schedule_is_determined_by_the_seed() {
    let plan = Plan::parse("p.toml", PLAN).unwrap();
    assert_eq!(plan.schedule(3), plan.schedule(3));
    assert_ne!(plan.schedule(3), plan.schedule(4));
    let steps = plan.schedule(3).steps;
    let kills = steps.iter().filter(|(_, d)| matches!(d, Step::Signal(_, Action::Kill))).count();
    let starts = steps.iter().filter(|(_, d)| matches!(d, Step::Start(_, FolderState::Cleared))).count();
    assert_eq!((kills, starts, steps.len()), (2, 2, 6));
    assert!(steps.windows(2).all(|w| w[0].0 <= w[1].0));
}

#[test]
fn all_problems_of_a_file_are_reported_with_their_positions() {
    let bad = PLAN.replace("proxy:0-1", "proxy:0-9").replace("fault = \"partition\"", "fault = \"delay\"");
    let problems = Plan::parse("p.toml", &bad).unwrap_err().problems;
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems[0].starts_with("p.toml:5:1: `proxy:0-9`: there are 6 proxies"), "{problems:?}");
    assert!(problems[1].contains("a delay needs"), "{problems:?}");
    let unknown_field =
        Plan::parse("p.toml", &PLAN.replace("spread = \"2s\"", "sprad = \"2s\"")).unwrap_err();
    assert!(unknown_field.problems[0].starts_with("p.toml:15:1: unknown field `sprad`"), "{unknown_field}");
    let unknown_variant = Plan::parse("p.toml", &PLAN.replace("\"kill\"", "\"maim\"")).unwrap_err();
    assert!(
        unknown_variant.problems[0].starts_with("p.toml:16:10: unknown variant `maim`"),
        "{unknown_variant}"
    );
    let none = Plan::parse("p.toml", &PLAN.replace("proxies = 6", "proxies = 0")).unwrap_err();
    assert!(none.problems[0].starts_with("p.toml:3:11: proxies = 0"), "{none}");
    let long = Plan::parse("p.toml", &format!("length = \"90m\"\n{PLAN}")).unwrap_err();
    assert!(long.problems.iter().any(|f| f.starts_with("p.toml: length: ")), "{long}");
}
