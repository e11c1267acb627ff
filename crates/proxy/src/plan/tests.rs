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

fn configured(text: &str) -> Result<EngineConfig, Vec<ConfigError>> {
    let platform = Config::parse(PLATFORM, |_| None).expect("sound");
    let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("valid by itself");
    engine_config(&resolved, &platform)
}

#[test]
fn an_empty_operators_file_changes_no_setting() {
    let (with, without) = (configured("").expect("sound"), Config::parse(PLATFORM, |_| None).expect("sound"));
    assert_eq!(format!("{:?}", with.settings), format!("{:?}", without.settings));
    assert!(with.limits.is_none() && with.routing.table.is_empty() && with.routing.overlay.is_empty());
}

#[test]
fn quotas_pools_routes_and_overlays_override_the_platforms_settings() {
    let text = "[tenants.a]\nshare = 9.0\n[pools.p]\nzones = [\"east\", \"west\"]\nkinds = [\"slow\"]\n\
                [pools.q]\nzones = [\"west\"]\n[[routes]]\nclass = \"look\"\nprefix = \"k/\"\npool = \"q\"\n\
                [[routes]]\ntenant = \"a\"\npool = \"p\"\n[[overlays]]\nzone = \"west\"\nweight = 0.5\n\
                [[overlays]]\nnode = \"n1\"\ndrain = true\n";
    let config = configured(text).expect("sound");
    assert_eq!(config.settings.tenants[0].quota_rps, 9.0);
    assert_eq!(
        config.settings.classes[0].allowed_servers.zones,
        Some(vec![0]),
        "the platform's restriction stays"
    );
    let pool = |zones: &[u32], kinds: Option<Vec<u32>>| Pool { zones: Some(zones.to_vec()), kinds };
    assert_eq!(config.settings.pools, [pool(&[0, 1], Some(vec![1])), pool(&[1], None)]);
    let table = &config.routing.table;
    assert_eq!(table.pool(Some(&0), Some(&0), b"k/7"), Some(1));
    assert_eq!(table.pool(Some(&1), Some(&0), b"k/7"), Some(0));
    assert_eq!(table.pool(Some(&1), None, b"k/7"), None);
    let entry = |name: &str, zone| Entry { server: server_id(name), zone, weight: 1.0, ..Entry::default() };
    let overlaid = |name: &str, zone| config.routing.overlay.apply(&entry(name, zone));
    assert_eq!((overlaid("n2", 1).weight, overlaid("n1", 0).state), (0.5, State::Draining));
    assert_eq!(overlaid("n2", 0), entry("n2", 0));
}

#[test]
fn features_can_be_disabled_but_not_enabled() {
    let caps =
        "\"caps\": {\"attempts_cap\": 4, \"cancelling\": true, \"second_copies\": false}, \"localities\"";
    let platform = Config::parse(&PLATFORM.replace("\"localities\"", caps), |_| None).expect("sound");
    let caps = |text: &str| {
        let resolved = resolve([Layer::File("f.toml".into(), text.into())]).expect("valid by itself");
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
    let errors = configured(text).expect_err("six");
    let keys: Vec<&str> = errors.iter().map(|f| f.key.as_str()).collect();
    let expected = [
        "tenants.b",
        "pools.p.zones",
        "pools.p.kinds",
        "routes.0.class",
        "routes.0.tenant",
        "overlays.0.kind",
    ];
    assert_eq!(keys, expected);
    assert!(errors.iter().all(|f| f.location.starts_with("f.toml:")), "{errors:?}");
    assert!(errors[0].reason.contains("it names a"), "{}", errors[0]);
}

/// Guards against an unbounded list of errors: one misspelled name in ten thousand routes would fill the log
/// and every answer to the control service.
#[test]
fn the_first_unknown_names_are_reported_and_the_rest_counted() {
    let routes: String = (0..500)
        .map(|n| format!("[[routes]]\nclass = \"sell\"\nprefix = \"{n}/\"\npool = \"p\"\n"))
        .collect();
    let errors = configured(&format!("[pools.p]\nzones = [\"east\"]\n{routes}")).expect_err("many");
    assert_eq!(errors.len(), 101);
    assert!(errors[100].reason.starts_with("400 more"), "{}", errors[100]);
}
