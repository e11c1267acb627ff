use super::*;
use aniseyoke_config::layers::{resolve, Layer};
use aniseyoke_decision::api::{Entry, State};

const PLATFORM: &str = r#"{
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "settings": {
            "categories": [
                {"name": "look", "deadline_ns": 1000000000, "allowed_in": [0]},
                {"name": "book", "deadline_ns": 1000000000}
            ],
            "customers": [{"name": "a", "quota_rps": 5.0}],
            "localities": ["east", "west"], "machine_types": ["fast", "slow"]
        }
    }"#;

fn planned(text: &str) -> Result<EngineConfig, Vec<ConfigError>> {
    let platform = Config::parse(PLATFORM, |_| None).expect("sound");
    let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("sound by itself");
    engine_config(&resolved, &platform)
}

#[test]
fn an_operator_who_sets_nothing_changes_nothing() {
    let (with, without) = (planned("").expect("sound"), Config::parse(PLATFORM, |_| None).expect("sound"));
    assert_eq!(format!("{:?}", with.settings), format!("{:?}", without.settings));
    assert!(with.limits.is_none() && with.routing.table.is_empty() && with.routing.overlay.is_empty());
}

#[test]
fn shares_pools_routes_and_overrides_are_laid_over_the_platforms_settings() {
    let text = "[tenants.a]\nshare = 9.0\n[pools.p]\nzones = [\"east\", \"west\"]\nkinds = [\"slow\"]\n\
                [pools.q]\nzones = [\"west\"]\n[[routes]]\nclass = \"look\"\nprefix = \"k/\"\npool = \"q\"\n\
                [[routes]]\ntenant = \"a\"\npool = \"p\"\n[[overlays]]\nzone = \"west\"\nweight = 0.5\n\
                [[overlays]]\nnode = \"n1\"\ndrain = true\n";
    let plan = planned(text).expect("sound");
    assert_eq!(plan.settings.tenants[0].quota_rps, 9.0);
    assert_eq!(plan.settings.classes[0].allowed_servers.zones, Some(vec![0]), "the platform's word stays");
    let pool = |zones: &[u32], kinds: Option<Vec<u32>>| Pool { zones: Some(zones.to_vec()), kinds };
    assert_eq!(plan.settings.pools, [pool(&[0, 1], Some(vec![1])), pool(&[1], None)]);
    let table = &plan.routing.table;
    assert_eq!(table.pool(Some(&0), Some(&0), b"k/7"), Some(1));
    assert_eq!(table.pool(Some(&1), Some(&0), b"k/7"), Some(0));
    assert_eq!(table.pool(Some(&1), None, b"k/7"), None);
    let entry = |name: &str, zone| Entry { server: server_id(name), zone, weight: 1.0, ..Entry::default() };
    let laid = |name: &str, zone| plan.routing.overlay.apply(&entry(name, zone));
    assert_eq!((laid("n2", 1).weight, laid("n1", 0).state), (0.5, State::Draining));
    assert_eq!(laid("n2", 0), entry("n2", 0));
}

#[test]
fn what_is_turned_off_is_off_and_nothing_is_turned_on() {
    let caps =
        "\"caps\": {\"attempts_cap\": 4, \"cancelling\": true, \"second_copies\": false}, \"localities\"";
    let platform = Config::parse(&PLATFORM.replace("\"localities\"", caps), |_| None).expect("sound");
    let caps = |text: &str| {
        let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("sound by itself");
        let s = engine_config(&resolved, &platform).expect("sound").settings;
        (s.max_attempts, s.cancellation, s.hedging)
    };
    assert_eq!(caps(""), (4, true, false));
    assert_eq!(caps("[features]\nretries = false\ncancelling = false"), (1, false, false));
    assert_eq!(caps("[features]\nsecond_copies = true"), (4, true, false));
}

#[test]
fn all_names_unknown_to_the_platform_are_reported() {
    let text = "[tenants.b]\nshare = 1.0\n[pools.p]\nzones = [\"north\"]\nkinds = [\"tiny\"]\n\
                [[routes]]\nclass = \"sell\"\ntenant = \"c\"\npool = \"p\"\n[[overlays]]\nkind = \"huge\"\ndrain = true\n";
    let faults = planned(text).expect_err("six");
    let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
    let wanted = [
        "tenants.b",
        "pools.p.zones",
        "pools.p.kinds",
        "routes.0.class",
        "routes.0.tenant",
        "overlays.0.kind",
    ];
    assert_eq!(keys, wanted);
    assert!(faults.iter().all(|f| f.location.starts_with("f.toml:")), "{faults:?}");
    assert!(faults[0].reason.contains("it names a"), "{}", faults[0]);
}

/// Danger: one slip in a name that ten thousand routes use would fill the log, and every answer to the service.
#[test]
fn of_very_many_unknown_names_the_first_are_reported_and_the_rest_counted() {
    let routes: String = (0..500)
        .map(|n| format!("[[routes]]\nclass = \"sell\"\nprefix = \"{n}/\"\npool = \"p\"\n"))
        .collect();
    let faults = planned(&format!("[pools.p]\nzones = [\"east\"]\n{routes}")).expect_err("many");
    assert_eq!(faults.len(), 101);
    assert!(faults[100].reason.starts_with("400 more"), "{}", faults[100]);
}
