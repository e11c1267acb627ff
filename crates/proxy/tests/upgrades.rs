//! Several upgrades of the process in a row: what an earlier process knew, and a later one needs for a call or a rule.
//! `ANISEYOKE_UPGRADE_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod platform;
mod rig;

use bodies::*;
use platform::*;
use rig::*;
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_UPGRADE_SEEDS";
/// Number of nodes that stay in use.
const LASTING_NODES: usize = 3;
/// A node that was banned, drains or is gone gets nothing new later than this.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// How long reads go on after that.
const READING_TIME: Duration = Duration::from_millis(400);

/// How a process ends after an upgrade.
#[derive(Clone, Copy, Debug)]
enum End {
    Stopped,
    Killed,
    /// It stays beside its successor.
    Stays,
}

/// Replaces the newest process; those that stay remain in `running`.
fn upgrade(platform: &Platform, random: &mut Random, running: &mut Vec<Process>) {
    let new = platform.start();
    let old = running.pop().expect("a process");
    match random.pick(&[End::Stopped, End::Stopped, End::Killed, End::Stays]) {
        End::Stopped => old.stop(),
        End::Killed => old.kill(),
        // Two at a time serve side by side.
        End::Stays => {
            running.drain(..).for_each(Process::stop);
            running.push(old);
        }
    }
    running.push(new);
}

/// Guards against a call that is refused after upgrades, since its node left the list before the process started:
/// the node got its full part once it was back (review/9).
#[test]
fn a_node_that_was_listed_before_any_number_of_upgrades_can_be_banned() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        // How many reads it takes depends on times, so that keys are drawn apart.
        let (mut random, mut keys) = (Random::new(seed), Random::new(!seed));
        let mut p = Platform::new();
        let _lasting: Vec<_> = (0..LASTING_NODES).map(|n| p.add(&format!("lasting-{n}"))).collect();
        p.known = p.service.known();
        let mut running = vec![p.start()];
        let mut former: Vec<Node> = Vec::new();
        for generation in 0..random.between(1, 5) {
            for number in 0..random.between(0, 2) + usize::from(generation == 0) {
                let node = p.add(&format!("former-{generation}-{number}"));
                p.read_until_used(&mut keys, &node);
                p.list(&node, "gone");
                p.service.wait_until_watched();
                former.push(node);
            }
            if random.chance(50) {
                p.known = p.service.known();
            }
            upgrade(&p, &mut random, &mut running);
        }
        let mut banned = Vec::new();
        for mut node in former {
            let called = &running[random.between(0, running.len() - 1)];
            let never = format!("{}-other", node.id);
            for path in ["/api/exclude", "/api/include"] {
                assert_eq!(call_for_node(called.admin, path, &never), 404, "seed {seed}: {path} {never}");
            }
            if random.chance(80) {
                let context = format!("seed {seed}: {} at one of {}", node.id, running.len());
                assert_eq!(call_for_node(called.admin, "/api/exclude", &node.id), 200, "{context}");
                banned.push((node.clone(), Instant::now()));
            } else {
                assert_eq!(call_for_node(called.admin, "/api/include", &node.id), 200, "seed {seed}");
            }
            node.restart();
            p.list(&node, "ready");
        }
        if random.chance(50) {
            upgrade(&p, &mut random, &mut running);
        }
        p.service.wait_until_watched();
        let end = Instant::now() + DRAIN_GRACE + READING_TIME;
        while Instant::now() < end {
            assert!(p.read(&mut keys), "seed {seed}");
        }
        for (node, banned_at) in &banned {
            let late = node.arrivals().iter().filter(|at| **at > *banned_at + DRAIN_GRACE).count();
            assert_eq!(late, 0, "seed {seed}: {} got requests", node.id);
        }
        // The ban is what keeps them out of use.
        if let Some((node, _)) = banned.first() {
            let newest = running.last().expect("a process");
            assert_eq!(call_for_node(newest.admin, "/api/include", &node.id), 200, "seed {seed}");
            p.read_until_used(&mut keys, node);
        }
    }
}
