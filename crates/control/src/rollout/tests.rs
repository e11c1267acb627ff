use super::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SECOND: Nanos = 1_000_000_000;

fn plan(percents: &[u8]) -> Plan {
    let stage = |percent: &u8| Stage { percent: *percent, hold_ms: 10_000, ..Stage::default() };
    Plan { stages: percents.iter().map(stage).collect(), ..Plan::default() }
}

fn stamp() -> Stamp {
    Stamp { epoch: 1, number: 7 }
}

fn included(rollout: &Rollout) -> Vec<usize> {
    let none = BTreeMap::new();
    (0..1000).filter(|n| rollout.includes(&format!("proxy-{n}"), &none)).collect()
}

#[test]
fn stages_widen_and_an_included_instance_stays_included() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 25, 100]));
    let first = included(&rollout);
    assert!((25..=80).contains(&first.len()), "{}", first.len());
    assert!(!rollout.tick(9 * SECOND, 0), "the stage is held");
    assert!(!rollout.tick(11 * SECOND, 1), "one has not answered yet");
    assert!(rollout.tick(11 * SECOND, 0));
    let second = included(&rollout);
    assert!((200..=300).contains(&second.len()) && first.iter().all(|n| second.contains(n)));
    rollout.tick(22 * SECOND, 0);
    assert_eq!(included(&rollout).len(), 1000);
    rollout.tick(33 * SECOND, 0);
    assert_eq!(rollout.state(), &RolloutState::Complete);
}

#[test]
fn labels_include_the_instances_that_have_them() {
    let labels = BTreeMap::from([("site".to_owned(), "test".to_owned())]);
    let stage = Stage { labels: labels.clone(), ..Stage::default() };
    let rollout = Rollout::new(0, stamp(), Plan { stages: vec![stage], ..Plan::default() });
    assert!(rollout.includes("a", &labels) && !rollout.includes("a", &BTreeMap::new()));
}

#[test]
fn a_version_with_worse_responses_is_halted_for_good() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
    rollout.report(false, ResponseCounts { total: 10_000, bad: 100 });
    rollout.report(true, ResponseCounts { total: 100, bad: 100 });
    assert!(!rollout.tick(SECOND, 0), "too few to compare");
    rollout.report(true, ResponseCounts { total: 400, bad: 20 });
    assert!(rollout.tick(2 * SECOND, 0));
    assert!(matches!(rollout.state(), RolloutState::Halted(why) if why.contains("% of 500 answers")));
    assert_eq!(included(&rollout), Vec::<usize>::new());
    assert!(!rollout.tick(100 * SECOND, 0), "for good");
}

#[test]
fn a_version_that_an_instance_rejects_is_halted() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
    rollout.nacked("proxy-1", "it empties pool a");
    assert!(
        matches!(rollout.state(), RolloutState::Halted(why) if why.contains("proxy-1") && why.contains("pool a"))
    );
}

/// Danger: a comparison every second halts sound versions by chance.
#[test]
fn sound_versions_are_not_halted_by_chance() {
    let mut halted = 0;
    for seed in 0..300 {
        let mut chance = SmallRng::seed_from_u64(seed);
        let mut rollout = Rollout::new(0, stamp(), Plan { margin: 0.0, ..plan(&[5, 100]) });
        for second in 1..10u64 {
            let mut draw = |total: u64| ResponseCounts {
                total,
                bad: (0..total).filter(|_| chance.random_bool(0.03)).count() as u64,
            };
            let (new, old) = (draw(50), draw(950));
            rollout.report(true, new);
            rollout.report(false, old);
            rollout.tick(second * SECOND, 0);
        }
        halted += usize::from(matches!(rollout.state(), RolloutState::Halted(_)));
    }
    assert!(halted <= 3, "{halted} of 300");
}

#[test]
fn faults_of_a_plan_are_reported_with_their_place() {
    let faults = [
        (plan(&[101]), "stages.0.percent"),
        (plan(&[50, 5]), "stages.1.percent"),
        (Plan { margin: f64::NAN, ..Plan::default() }, "margin"),
    ];
    for (plan, key) in faults {
        assert!(plan.check().is_err_and(|e| e.to_string().starts_with(key)), "{key}");
    }
    assert_eq!(plan(&[5, 5, 100]).check(), Ok(()));
}
