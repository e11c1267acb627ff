//! A cold start of real proxies under faults. The list service is down at first, and a network partition later
//! separates a third of the proxies from it. Half of the proxies are killed and restarted with cached or with damaged
//! lists, one is paused, and the clock of one is wrong. Together they poll the list service at most once per proxy and
//! cycle, and no rule is broken.

use aniseyoke_lab_process::{find_proxy, Program};
use aniseyoke_lab_rig::plan::Plan;
use aniseyoke_lab_rig::play::{self, open_day};
use std::sync::atomic::AtomicBool;

const PROXIES: u64 = 8;
/// A cycle of polls is a quarter of the 10 s within which the day's proxies must poll the list.
const CYCLE_S: f64 = 2.5;

const COLD: &str = r#"
day = "quiet"
proxies = 8
nodes = 6
length = "17s"

[[clock]]
proxies = ["proxy:7"]
ahead = "7s"

[[link]]
at = "0s"
for = "2s"
early = true
fault = "reset"
a = ["proxies"]
b = ["discovery"]

[[link]]
at = "5s"
for = "6s"
fault = "partition"
a = ["proxy:5-7"]
b = ["discovery"]

[[process]]
at = "10s"
spread = "500ms"
action = "kill"
proxies = ["proxy:0-1"]
for = "500ms"

[[process]]
at = "10s"
spread = "500ms"
action = "kill"
proxies = ["proxy:2-3"]
for = "500ms"
state = "spoilt"

[[process]]
at = "6s"
action = "pause"
proxies = ["proxy:4"]
for = "4s"
"#;

#[test]
fn a_cold_start_under_faults_spares_the_list_service() {
    let plan = Plan::parse("cold", COLD).expect("a valid plan");
    let day = open_day(&plan, None).expect("its day");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("operator.toml");
    std::fs::write(&file, "[list]\nkeep = \"state\"\n[opening]\nper_node = 20.0\n").expect("written");
    let mut program = Program::new(find_proxy(None).expect("the proxy"));
    program.operator = Some(file);
    let outcome = play::run(&plan, &day, program, 3, folder.path(), &AtomicBool::new(false)).expect("played");
    let table = play::table(&outcome);
    assert!(outcome.clean(), "{table}");
    assert!(outcome.all.goodput > 0.8, "{table}");
    // In any cycle each proxy polls at most once. One more call is allowed because the boundary of a second may fall
    // between the slots of two proxies.
    let max = (PROXIES as f64 / CYCLE_S).ceil() as u64 + 1;
    assert!(
        outcome.list_asks.iter().all(|asks| *asks <= max),
        "{max} per second: {:?}\n{table}",
        outcome.list_asks
    );
    assert!(outcome.list_asks.iter().sum::<u64>() > 2 * PROXIES, "{:?}", outcome.list_asks);
    // While the links were reset, no call reached the service.
    assert!(outcome.links.reset > 0 && outcome.links.held > 0, "{table}");
    let log = std::fs::read_to_string(folder.path().join("processes.log")).expect("a log");
    let lines = |index: usize, part: &str| {
        let label = format!(" p{index}[");
        log.lines().filter(|l| l.contains(&label) && l.contains(part)).count()
    };
    for index in [0, 1] {
        assert_eq!(lines(index, "begun with version"), 1, "proxy {index} starts with its cached list\n{log}");
    }
    for index in [2, 3] {
        assert_eq!(
            lines(index, "the kept list is damaged, not used and put aside"),
            1,
            "proxy {index}\n{log}"
        );
    }
}
