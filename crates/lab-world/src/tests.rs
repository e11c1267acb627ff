//! The model driven by hand, in the time that the test tells.

use super::*;
use aniseyoke_lab_day::clock::{MS, SECOND};

struct Driver {
    world: World,
    now: Nanos,
    ticket: Ticket,
}

impl Driver {
    fn new(change: impl FnOnce(&mut Day)) -> Self {
        let mut day = Day::open("quiet").expect("built in");
        day.site.cache.errors = 0.0;
        change(&mut day);
        let mut world = World::new(&day, &Catalogue::new(&day));
        world.begin(0);
        Driver { world, now: 0, ticket: 0 }
    }

    fn ask(
        &mut self,
        member: usize,
        request: u64,
        key: u64,
        write: bool,
        repeat: Option<u64>,
    ) -> Vec<Effect> {
        self.ticket += 1;
        let class = Some(if write { 2 } else { 0 });
        let mut out = Vec::new();
        let ask = Ask { ticket: self.ticket, member, request, class, key, write, repeat };
        self.world.arrive(self.now, ask, &mut out);
        out
    }

    fn pass(&mut self, span: Nanos) -> Vec<Effect> {
        let end = self.now + span;
        let mut out = Vec::new();
        while let Some(due) = self.world.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.world.tick(self.now, &mut out);
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
fn a_miss_is_stored_where_it_missed_and_a_write_voids_it() {
    let mut d = Driver::new(|_| {});
    let ledger = d.world.ledger;
    d.ask(3, 1, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&d.pass(SECOND)), [Reply::Miss]);
    d.ask(ledger, 1, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&d.pass(5 * SECOND)), [Reply::Served { hit: false, version: 0 }]);
    d.ask(3, 2, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&d.pass(5 * SECOND)), [Reply::Served { hit: true, version: 0 }]);
    d.ask(ledger, 3, NEW_KEY, true, Some(9));
    assert_eq!(Driver::replies(&d.pass(5 * SECOND)), [Reply::Served { hit: false, version: 1 }]);
    d.ask(3, 4, NEW_KEY, false, None);
    assert_eq!(Driver::replies(&d.pass(SECOND)), [Reply::Miss]);
}

#[test]
fn repeats_run_once_within_the_window_and_again_after_it() {
    let mut d = Driver::new(|_| {});
    let ledger = d.world.ledger;
    let ran = |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::Ran(_))).count();
    assert_eq!(ran(&d.ask(ledger, 1, 5, true, Some(9))), 1);
    d.pass(5 * SECOND);
    assert_eq!(ran(&d.ask(ledger, 1, 5, true, Some(9))), 0);
    d.pass(2 * SECOND);
    assert_eq!(ran(&d.ask(ledger, 1, 5, true, Some(9))), 1);
}

#[test]
fn a_silent_machine_answers_nothing_and_comes_back_cold_and_empty() {
    let mut d = Driver::new(|day| {
        let trouble = "kind = \"silence\"\nat = \"1s\"\nfor = \"3s\"\nnodes = [2]";
        day.troubles.push(toml::from_str(trouble).expect("a trouble"));
    });
    let popular = Catalogue::new(&d.world.day).key(0);
    d.ask(2, 1, popular, false, None);
    assert_eq!(Driver::replies(&d.pass(900 * MS)).len(), 1);
    let effects = d.pass(200 * MS);
    assert!(effects.contains(&Effect::Process(2, Process::Silent)), "{effects:?}");
    d.ask(2, 2, popular, false, None);
    assert_eq!(Driver::replies(&d.pass(2 * SECOND)), []);
    let effects = d.pass(SECOND);
    assert!(effects.ends_with(&[Effect::Process(2, Process::Down), Effect::Process(2, Process::Up)]));
    assert!(d.world.is_cold(2, d.now));
    d.ask(2, 3, popular, false, None);
    assert_eq!(Driver::replies(&d.pass(SECOND)), [Reply::Miss]);
}

#[test]
fn a_deploy_drains_replaces_and_lists_each_node_once() {
    let mut d = Driver::new(|day| {
        day.troubles = Day::open("deploy").expect("built in").troubles;
    });
    let effects = d.pass(40 * SECOND);
    let count = |f: fn(&Effect) -> bool| effects.iter().filter(|e| f(e)).count();
    assert_eq!(count(|e| matches!(e, Effect::Joined(_))), 10);
    assert_eq!(count(|e| matches!(e, Effect::Process(_, Process::Down))), 10);
    let listed = |standing| {
        let of = |e: &&Effect| matches!(e, Effect::Listed(line) if line.standing == standing);
        effects.iter().filter(of).count()
    };
    assert_eq!((listed(Standing::Draining), listed(Standing::Ready), listed(Standing::Gone)), (10, 10, 10));
    assert_eq!(d.world.roster().all().len(), 11);
}

/// Danger: a ledger that nothing can push over would hide every herd.
#[test]
fn the_ledger_stops_under_a_flood_of_misses_at_a_cold_node_and_returns() {
    let mut d = Driver::new(|day| {
        let trouble = "kind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\nnodes = [0]";
        day.troubles.push(toml::from_str(trouble).expect("a trouble"));
        day.site.ledger.cores = 0.5;
        day.site.cache.fall_multiple = 1000.0;
    });
    d.pass(2100 * MS);
    let ledger = d.world.ledger;
    let mut seen = Vec::new();
    for request in 0..2000 {
        seen.extend(d.ask(0, request, 1000 + request, false, None));
        seen.extend(d.pass(4 * MS));
        seen.extend(d.ask(ledger, request, 1000 + request, false, None));
        if seen.iter().any(|e| matches!(e, Effect::Stopped(_))) {
            break;
        }
    }
    let part = seen.iter().find_map(|e| if let Effect::Stopped(part) = e { Some(*part) } else { None });
    assert!(part.is_some_and(|part| part > 0.3), "{part:?}");
    assert_eq!(d.world.process(ledger), Process::Down);
    d.pass(5 * SECOND);
    assert_eq!(d.world.process(ledger), Process::Up);
}

#[test]
fn same_day_same_effects() {
    let run = || {
        let mut d = Driver::new(|day| day.troubles = Day::open("chuseok").expect("built in").troubles);
        let mut all = Vec::new();
        for request in 0..3000 {
            all.extend(d.ask(request as usize % 10, request, request % 400, false, None));
            all.extend(d.pass(7 * MS));
        }
        format!("{all:?}")
    };
    assert_eq!(run(), run());
}
