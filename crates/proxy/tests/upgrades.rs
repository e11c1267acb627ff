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

/// Reads for as long as a process may still send to nodes that it was told of, and a little longer.
fn read_past_grace(platform: &Platform, keys: &mut Random) {
    let end = Instant::now() + DRAIN_GRACE + READING_TIME;
    while Instant::now() < end {
        platform.read(keys);
    }
}

/// Asserts that a node that is not in use since `told` got nothing beyond the time that the rule leaves.
fn assert_unused(node: &Node, told: Instant, context: &str) {
    let late = node.arrivals().iter().filter(|at| **at > told + DRAIN_GRACE).count();
    assert_eq!(late, 0, "{context}: {} got requests after it was told to be out of use", node.id);
}

/// Guards against a new process that sends requests to a node of which an earlier one knew that it drains or is gone,
/// since discovery is down and the platform's list is old (review/10).
#[test]
fn what_discovery_told_before_an_outage_binds_all_processes_of_later_upgrades() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        let (mut random, mut keys) = (Random::new(seed), Random::new(!seed));
        let mut p = Platform::new();
        let mut nodes: Vec<_> = (0..random.between(3, 6)).map(|n| p.add(&format!("node-{n}"))).collect();
        p.known = p.service.known();
        let mut running = vec![p.start()];
        nodes.iter().for_each(|node| p.read_until_used(&mut keys, node));
        // The first node stays, so that reads are served.
        let unused = nodes.split_off(random.between(1, nodes.len() - 1));
        let mut added = Vec::new();
        for node in &unused {
            p.list(node, random.pick(&["draining", "gone"]));
            if random.chance(30) {
                added.push(p.add(&format!("after-{}", node.id)));
            }
        }
        p.service.wait_until_watched();
        std::thread::sleep(random.millis(10, 200));
        p.service.set_down(true);
        for _ in 0..random.between(1, 3) {
            upgrade(&p, &mut random, &mut running);
            for _ in 0..random.between(0, 40) {
                p.read(&mut keys);
            }
        }
        let last_yes = Instant::now();
        read_past_grace(&p, &mut keys);
        unused.iter().for_each(|node| assert_unused(node, last_yes, &format!("seed {seed}")));
        added.iter().for_each(|node| p.read_until_used(&mut keys, node));
        // What discovery tells then is newer than all that was shared.
        p.service.set_down(false);
        p.list(&unused[0], "ready");
        p.read_until_used(&mut keys, &unused[0]);
    }
}

/// Guards against a process that goes on with its list while discovery has told the other one of a change: for rules
/// the two are one proxy.
#[test]
fn what_discovery_tells_one_process_binds_the_other_that_gets_no_answer() {
    for seed in seeds(SEEDS_VARIABLE, 1..4) {
        let (mut random, mut keys) = (Random::new(seed), Random::new(!seed));
        let mut p = Platform::new();
        let nodes: Vec<_> = (0..random.between(2, 5)).map(|n| p.add(&format!("node-{n}"))).collect();
        p.known = p.service.known();
        let old = p.start();
        p.service.wait_until_watched();
        p.service.refuse_calls(true);
        let new = p.start();
        nodes.iter().for_each(|node| p.read_until_used(&mut keys, node));
        let (unused, _) = nodes.split_last().expect("nodes");
        p.list(unused, random.pick(&["draining", "gone"]));
        p.service.wait_until_watched();
        let told = Instant::now();
        // The old process goes on, or ends once the new one can know.
        std::thread::sleep(random.millis(150, 400));
        let old = random.chance(50).then_some(old);
        read_past_grace(&p, &mut keys);
        assert_unused(unused, told, &format!("seed {seed}"));
        p.service.refuse_calls(false);
        p.list(unused, "ready");
        p.read_until_used(&mut keys, unused);
        drop((old, new));
    }
}

/// Guards against a request that is served although its id is that of another client's open request, since that one is
/// open at another process of an upgrade.
#[test]
fn an_id_that_is_open_at_one_process_is_refused_at_the_others() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        let mut random = Random::new(seed);
        let mut p = Platform::new();
        p.deadline = STEP_TIMEOUT;
        let node = p.add("holding");
        node.hold(true);
        let mut running = vec![p.start()];
        let count = random.between(1, 6);
        let classes = ["read", "read", "set"];
        let mut open = Vec::new();
        for generation in 0..count {
            let id = format!("open-{seed}-{generation}");
            let class = random.pick(&classes);
            let mut client = Peer::to(p.addr());
            // The newest process alone takes connections, as earlier ones were told to stop.
            let before = node.count();
            client.write(&get_as(&id, class, ""));
            until("the node has it", || node.count() > before);
            open.push((id, client));
            let new = p.start();
            let old = running.last().expect("a process");
            old.proxy.signal("-TERM");
            running.push(new);
            for (id, _) in &open {
                let mut other = Peer::to(p.addr());
                other.write(&get_as(id, random.pick(&classes), ""));
                assert_eq!(other.answer().status(), 409, "seed {seed}: {id} after {generation}");
            }
        }
        node.hold(false);
        for (id, client) in &mut open {
            assert_eq!(client.answer().status(), 200, "seed {seed}: {id}");
        }
        // An id is free again once its request was answered.
        for (id, _) in &open {
            let mut again = Peer::to(p.addr());
            again.write(&get_as(id, "read", ""));
            assert_eq!(again.answer().status(), 200, "seed {seed}: {id}");
        }
    }
}

/// How many reads are counted at a node that was put back.
const COUNTED_READS: usize = 300;
/// Much longer than the counted reads take.
const COLD: Duration = Duration::from_secs(60);
/// By the rig's settings a cold node has a tenth of its capacity, and falls over under three times of that.
const MAX_COLD_PART: f64 = 0.3;

/// Returns how much a node that was just put back gets, relative to the mean of the others.
fn part_of_a_node_put_back(random: &mut Random, upgrades: usize) -> f64 {
    let mut keys = Random::new(random.next());
    let mut p = Platform::new();
    p.cold = COLD;
    let nodes: Vec<_> = (0..4).map(|n| p.add(&format!("node-{n}"))).collect();
    p.known = p.service.known();
    let mut running = vec![p.start()];
    nodes.iter().for_each(|node| p.read_until_used(&mut keys, node));
    let (put_back, others) = nodes.split_first().expect("nodes");
    assert_eq!(call_for_node(running[0].admin, "/api/exclude", &put_back.id), 200);
    for _ in 0..random.between(50, 200) {
        p.read(&mut keys);
    }
    assert_eq!(call_for_node(running[0].admin, "/api/include", &put_back.id), 200);
    for _ in 0..upgrades {
        upgrade(&p, random, &mut running);
    }
    let counts = || nodes.iter().map(Node::count).collect::<Vec<_>>();
    let before = counts();
    for _ in 0..COUNTED_READS {
        p.read(&mut keys);
    }
    let got: Vec<_> = counts().iter().zip(before).map(|(count, before)| (count - before) as f64).collect();
    got[0] * others.len() as f64 / got[1..].iter().sum::<f64>()
}

/// Guards against a new process that takes a node for warm, of which the old one knew that its ban had just ended: it
/// may have restarted during the ban, and the list may not tell of that yet.
#[test]
fn a_node_that_was_just_put_back_is_spared_by_the_processes_of_later_upgrades() {
    for seed in seeds(SEEDS_VARIABLE, 1..5) {
        let mut random = Random::new(seed);
        let upgrades = random.between(1, 4);
        let part = part_of_a_node_put_back(&mut random, upgrades);
        assert!(
            part < MAX_COLD_PART,
            "seed {seed}: {part} of the part of a warm node after {upgrades} upgrades"
        );
    }
}
