//! Tests of the site model with a manually advanced clock.

use super::*;
use aniseyoke_lab_day::clock::{MILLISECOND, SECOND};

struct Driver {
    model: SiteModel,
    now: Nanos,
    attempt_id: AttemptId,
}

impl Driver {
    fn new(change: impl FnOnce(&mut Day)) -> Self {
        let mut day = Day::open("quiet").expect("built in");
        day.site.cache.error_rate = 0.0;
        change(&mut day);
        let mut model = SiteModel::new(&day, &KeySpace::new(&day));
        model.begin(0);
        Driver { model, now: 0, attempt_id: 0 }
    }

    fn attempt(
        &mut self,
        member: usize,
        request: u64,
        key: u64,
        write: bool,
        idempotency_key: Option<u64>,
    ) -> Vec<Effect> {
        self.attempt_id += 1;
        let class = Some(if write { 2 } else { 0 });
        let mut out = Vec::new();
        let attempt =
            Attempt { attempt_id: self.attempt_id, member, request, class, key, write, idempotency_key };
        self.model.arrive(self.now, attempt, &mut out);
        out
    }

    fn advance_by(&mut self, span: Nanos) -> Vec<Effect> {
        let end = self.now + span;
        let mut out = Vec::new();
        while let Some(due) = self.model.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.model.tick(self.now, &mut out);
        }
        self.now = end;
        out
    }

    fn replies(effects: &[Effect]) -> Vec<Reply> {
        let reply = |e: &Effect| match e {
            Effect::Reply { reply, .. } => Some(*reply),
            _ => None,
        };
        effects.iter().filter_map(reply).collect()
    }
}

const NEW_KEY: u64 = 0xfeed;

#[test]
fn a_value_fetched_after_a_miss_is_cached_until_a_write_invalidates_it() {
    let mut driver = Driver::new(|_| {});
    let origin = driver.model.origin;
    driver.attempt(3, 1, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(SECOND)), [Reply::Miss]);
    driver.attempt(origin, 1, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(5 * SECOND)), [Reply::Served { hit: false, version: 0 }]);
    driver.attempt(3, 2, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(5 * SECOND)), [Reply::Served { hit: true, version: 0 }]);
    driver.attempt(origin, 3, NEW_KEY, true, Some(9));
    assert_eq!(Driver::replies(&driver.advance_by(5 * SECOND)), [Reply::Served { hit: false, version: 1 }]);
    driver.attempt(3, 4, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(SECOND)), [Reply::Miss]);
}

#[test]
fn repeated_writes_execute_once_per_deduplication_window() {
    let mut driver = Driver::new(|_| {});
    let origin = driver.model.origin;
    let executed = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Executed(_))).count();
    assert_eq!(executed(&driver.attempt(origin, 1, 5, true, Some(9))), 1);
    driver.advance_by(5 * SECOND);
    assert_eq!(executed(&driver.attempt(origin, 1, 5, true, Some(9))), 0);
    driver.advance_by(2 * SECOND);
    assert_eq!(executed(&driver.attempt(origin, 1, 5, true, Some(9))), 1);
}

#[test]
fn a_silent_machine_sends_no_reply_and_restarts_cold_with_an_empty_cache() {
    let mut driver = Driver::new(|day| {
        let fault = "kind = \"silence\"\nat = \"1s\"\nfor = \"3s\"\nnodes = [2]";
        day.faults.push(toml::from_str(fault).expect("a fault"));
    });
    let popular = KeySpace::new(&driver.model.day).key(0);
    driver.attempt(2, 1, popular, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(900 * MILLISECOND)).len(), 1);
    let effects = driver.advance_by(200 * MILLISECOND);
    assert!(effects.contains(&Effect::ProcessState(2, ProcessState::Silent)), "{effects:?}");
    driver.attempt(2, 2, popular, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(2 * SECOND)), []);
    let effects = driver.advance_by(SECOND);
    assert!(effects.ends_with(&[
        Effect::ProcessState(2, ProcessState::Down),
        Effect::ProcessState(2, ProcessState::Up)
    ]));
    assert!(driver.model.is_cold(2, driver.now));
    driver.attempt(2, 3, popular, false, None);
    assert_eq!(Driver::replies(&driver.advance_by(SECOND)), [Reply::Miss]);
}

#[test]
fn a_deploy_drains_replaces_and_lists_each_node_once() {
    let mut driver = Driver::new(|day| {
        day.faults = Day::open("deploy").expect("built in").faults;
    });
    let effects = driver.advance_by(40 * SECOND);
    let count = |f: fn(&Effect) -> bool| effects.iter().filter(|e| f(e)).count();
    assert_eq!(count(|e| matches!(e, Effect::Joined(_))), 10);
    assert_eq!(count(|e| matches!(e, Effect::ProcessState(_, ProcessState::Down))), 10);
    let listed = |state| {
        let of = |e: &&Effect| matches!(e, Effect::Listed(endpoint) if endpoint.state == state);
        effects.iter().filter(of).count()
    };
    assert_eq!(
        (listed(EndpointState::Draining), listed(EndpointState::Ready), listed(EndpointState::Gone)),
        (10, 10, 10)
    );
    assert_eq!(driver.model.endpoint_list().all().len(), 11);
}

/// Guards against a model whose origin cannot be overloaded: no trial would then detect a thundering herd.
#[test]
fn the_origin_goes_down_under_a_flood_of_misses_at_a_cold_node_and_returns() {
    let mut driver = Driver::new(|day| {
        let fault = "kind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\nnodes = [0]";
        day.faults.push(toml::from_str(fault).expect("a fault"));
        day.site.origin.cores = 0.5;
        day.site.cache.overload_multiple = 1000.0;
    });
    driver.advance_by(2100 * MILLISECOND);
    let origin = driver.model.origin;
    let mut observed = Vec::new();
    for request in 0..2000 {
        observed.extend(driver.attempt(0, request, 1000 + request, false, None));
        observed.extend(driver.advance_by(4 * MILLISECOND));
        observed.extend(driver.attempt(origin, request, 1000 + request, false, None));
        if observed.iter().any(|e| matches!(e, Effect::OriginOverloaded(_))) {
            break;
        }
    }
    let fraction = observed.iter().find_map(|e| {
        if let Effect::OriginOverloaded(fraction) = e {
            Some(*fraction)
        } else {
            None
        }
    });
    assert!(fraction.is_some_and(|fraction| fraction > 0.3), "{fraction:?}");
    assert_eq!(driver.model.process(origin), ProcessState::Down);
    driver.advance_by(5 * SECOND);
    assert_eq!(driver.model.process(origin), ProcessState::Up);
}

#[test]
fn the_same_day_produces_the_same_effects() {
    let run = || {
        let mut driver = Driver::new(|day| day.faults = Day::open("chuseok").expect("built in").faults);
        let mut all = Vec::new();
        for request in 0..3000 {
            all.extend(driver.attempt(request as usize % 10, request, request % 400, false, None));
            all.extend(driver.advance_by(7 * MILLISECOND));
        }
        format!("{all:?}")
    };
    assert_eq!(run(), run());
}
