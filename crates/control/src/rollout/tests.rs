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
fn each_stage_includes_the_proxies_of_earlier_stages() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 25, 100]));
    let first = included(&rollout);
    assert!((25..=80).contains(&first.len()), "{}", first.len());
    assert!(!rollout.tick(9 * SECOND, 0), "the stage is held");
    assert!(!rollout.tick(11 * SECOND, 1), "one proxy has not answered yet");
    assert!(rollout.tick(11 * SECOND, 0));
    let second = included(&rollout);
    assert!((200..=300).contains(&second.len()) && first.iter().all(|n| second.contains(n)));
    rollout.tick(22 * SECOND, 0);
    assert_eq!(included(&rollout).len(), 1000);
    rollout.tick(33 * SECOND, 0);
    assert_eq!(rollout.state(), &RolloutState::Complete);
}

#[test]
fn a_stage_includes_proxies_with_its_labels() {
    let labels = BTreeMap::from([("site".to_owned(), "test".to_owned())]);
    let stage = Stage { labels: labels.clone(), ..Stage::default() };
    let rollout = Rollout::new(0, stamp(), Plan { stages: vec![stage], ..Plan::default() });
    assert!(rollout.includes("a", &labels) && !rollout.includes("a", &BTreeMap::new()));
}

#[test]
fn worse_responses_under_the_new_version_halt_its_rollout_for_good() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
    rollout.report(false, ResponseCounts { total: 10_000, bad: 100 });
    rollout.report(true, ResponseCounts { total: 100, bad: 100 });
    assert!(!rollout.tick(SECOND, 0), "too few responses to compare");
    rollout.report(true, ResponseCounts { total: 400, bad: 20 });
    assert!(rollout.tick(2 * SECOND, 0));
    assert!(matches!(rollout.state(), RolloutState::Halted(why) if why.contains("% of 500 answers")));
    assert_eq!(included(&rollout), Vec::<usize>::new());
    assert!(!rollout.tick(100 * SECOND, 0), "a halted rollout is not resumed");
}

#[test]
fn a_rejection_by_a_proxy_halts_the_rollout() {
    let mut rollout = Rollout::new(0, stamp(), plan(&[5, 100]));
    rollout.record_rejection("proxy-1", "it empties pool a");
    assert!(
        matches!(rollout.state(), RolloutState::Halted(why) if why.contains("proxy-1") && why.contains("pool a"))
    );
}

/// Guards against false alarms: responses are compared every second, so too low a threshold would halt sound
/// versions by chance.
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
fn errors_of_a_plan_start_with_the_path_of_the_field() {
    let invalid = [
        (plan(&[101]), "stages.0.percent"),
        (plan(&[50, 5]), "stages.1.percent"),
        (Plan { margin: f64::NAN, ..Plan::default() }, "margin"),
    ];
    for (plan, key) in invalid {
        assert!(plan.check().is_err_and(|e| e.to_string().starts_with(key)), "{key}");
    }
    assert_eq!(plan(&[5, 5, 100]).check(), Ok(()));
}
