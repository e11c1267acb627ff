use super::*;
use crate::model::Level;
use proptest::prelude::*;
use serde_json::json;

fn file(text: &str) -> Layer {
    Layer::File("f.toml".into(), text.into())
}

fn variable(name: &str, value: &str) -> Layer {
    Layer::Variable(name.into(), value.into())
}

#[test]
fn without_layers_the_defaults_apply() {
    let resolved = resolve([]).expect("sound");
    assert_eq!(resolved.operator, Operator::default());
    assert_eq!(resolved.origin("log.level"), Origin::Default);
}

#[test]
fn the_later_layer_takes_precedence_and_each_value_has_its_origin() {
    let layers = [
        file("[log]\nlevel = \"warn\"\nburst = 5\n"),
        variable("ANISEYOKE__LOG__LEVEL", "debug"),
        Layer::Service(7, json!({ "log": { "per_second": 9 } })),
    ];
    let resolved = resolve(layers).expect("sound");
    let log = &resolved.operator.log;
    assert_eq!((log.level, log.burst, log.per_second), (Level::Debug, 5, 9));
    assert_eq!(resolved.origin("log.level"), Origin::Variable("ANISEYOKE__LOG__LEVEL".into()));
    assert_eq!(resolved.origin("log.burst"), Origin::File("f.toml".into(), Position { line: 3, column: 1 }));
    assert_eq!(resolved.origin("log.per_second"), Origin::Service(7));
}

#[test]
fn a_contradiction_between_layers_is_reported_at_the_location_that_set_it() {
    let layers = [file("[limits.node]\nceiling = 10.0\n"), variable("ANISEYOKE__LIMITS__NODE__FLOOR", "20")];
    let errors = resolve(layers).expect_err("the floor is above the ceiling");
    let floor = errors.iter().find(|e| e.key == "limits.node.floor").expect("named");
    assert_eq!(floor.location, "$ANISEYOKE__LIMITS__NODE__FLOOR");
    assert!(floor.reason.contains("above the ceiling"), "{floor}");
}

#[test]
fn errors_of_all_layers_are_reported_at_once() {
    let layers = [file("[lag]"), variable("ANISEYOKE__LOG__BURST", "many"), variable("ANISEYOKE__X", "1")];
    let errors = resolve(layers).expect_err("three");
    let locations: Vec<&str> = errors.iter().map(|e| e.location.as_str()).collect();
    assert_eq!(locations, ["f.toml:1:2", "$ANISEYOKE__LOG__BURST", "$ANISEYOKE__X"]);
}

#[test]
fn a_route_to_an_unknown_pool_and_an_unreachable_route_are_rejected() {
    let text = "[pools.a]\nkinds = [\"k\"]\n[[routes]]\nclass = \"c\"\npool = \"b\"\n[[routes]]\nclass = \"c\"\npool = \"a\"\n";
    let errors = resolve([file(text)]).expect_err("two");
    let keys: Vec<&str> = errors.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["routes.0.pool", "routes.1"]);
    assert!(errors.iter().all(|e| e.location.starts_with("f.toml:")), "{errors:?}");
}

#[test]
fn routes_and_overlays_without_effect_or_beyond_limits_are_all_reported() {
    let long = "x".repeat(257);
    let text = format!(
        "[pools.a]\nzones = [\"z\"]\n[[routes]]\npool = \"a\"\n[[routes]]\nprefix = \"{long}\"\npool = \"a\"\n\
         [[routes]]\nprefix = \"k/\"\npool = \"a\"\n[[routes]]\ntenant = \"t\"\nprefix = \"k/7\"\npool = \"a\"\n\
         [[overlays]]\ndrain = true\n[[overlays]]\nnode = \"n\"\n[[overlays]]\nnode = \"n\"\nweight = 0.5\n\
         [[overlays]]\nzone = \"z\"\nweight = 200\n"
    );
    let reported = |errors: Vec<ConfigError>| errors.into_iter().map(|e| e.key).collect::<Vec<_>>();
    assert_eq!(reported(resolve([file(&text)]).expect_err("by itself")), ["overlays.3.weight"]);
    let text = text.replace("200", "2.0");
    let keys = reported(resolve([file(&text)]).expect_err("six"));
    let wanted = ["routes.0", "routes.1.prefix", "routes.3", "overlays.0", "overlays.1", "overlays.2"];
    assert_eq!(keys, wanted);
}

#[test]
fn more_pools_than_are_supported_are_rejected() {
    let pools = |n: usize| (0..n).map(|n| format!("[pools.p{n}]\nzones = [\"z\"]\n")).collect::<String>();
    assert!(resolve([file(&pools(63))]).is_ok());
    let errors = resolve([file(&pools(64))]).expect_err("one too many");
    assert_eq!((errors.len(), errors[0].key.as_str()), (1, "pools"));
}

#[test]
fn the_digest_depends_on_the_values_and_not_on_their_spelling() {
    let digest = |text: &str| resolve([file(text)]).expect("sound").digest();
    assert_eq!(digest(""), digest("[log]\nlevel = \"info\""));
    assert_eq!(digest("log.burst = 7"), digest("[log] # seven\nburst = 7"));
    assert_ne!(digest(""), digest("log.burst = 7"));
}

/// A version of a control service has the same errors as a file with the same keys.
#[test]
fn a_tree_is_checked_like_a_text() {
    let text =
        "[log]\nlevl = \"info\"\nburst = 0\nformat = \"xml\"\n[limits.queue]\ninterval = 5\ntarget = \"5\"\n\
                [[routes]]\npool = 7\n[[overlays]]\ndrain = 1\nweight = 0.001\n[nothing]\n";
    let tree: Value = toml::from_str(text).expect("TOML");
    let reported = |errors: Vec<ConfigError>| {
        errors.into_iter().map(|e| (e.key, e.reason)).collect::<std::collections::BTreeSet<_>>()
    };
    let by_text = reported(resolve([file(text)]).expect_err("nine"));
    assert_eq!(
        (by_text.len(), by_text),
        (9, reported(resolve([Layer::Service(1, tree)]).expect_err("nine")))
    );
    let null = resolve([Layer::Service(1, json!({ "log": { "burst": null } }))]).expect_err("null");
    assert!(null[0].reason.contains("not nothing"), "{}", null[0]);
    assert!(resolve([Layer::Service(1, json!([1]))]).is_err_and(|e| e[0].reason.contains("not a list")));
}

#[test]
fn a_control_service_must_not_set_the_control_services() {
    let text = "[control]\nservices = [\"127.0.0.1:1\"]";
    assert!(resolve([file(text)]).is_ok());
    let errors = resolve([Layer::Service(3, json!({ "control": { "services": ["127.0.0.1:1"] } }))])
        .expect_err("refused");
    assert_eq!((errors[0].key.as_str(), errors.len()), ("control", 1));
}

fn arbitrary_log_table() -> impl Strategy<Value = String> {
    let level = prop::option::of(prop::sample::select(vec!["off", "error", "warn", "info"]));
    let number = || prop::option::of(1u32..1000);
    (level, number(), number()).prop_map(|(level, burst, per_second)| {
        let mut text = String::from("[log]\n");
        level.into_iter().for_each(|l| text += &format!("level = \"{l}\"\n"));
        burst.into_iter().for_each(|b| text += &format!("burst = {b}\n"));
        per_second.into_iter().for_each(|p| text += &format!("per_second = {p}\n"));
        text
    })
}

proptest! {
    #[test]
    fn merging_layers_is_associative(
        texts in prop::collection::vec(arbitrary_log_table(), 0..5),
        cut in 0usize..5,
    ) {
        let table = |texts: &[String]| {
            let mut all = Map::new();
            texts.iter().for_each(|t| merge(&mut all, toml::from_str(t).expect("TOML")));
            all
        };
        let cut = cut.min(texts.len());
        let mut grouped = table(&texts[..cut]);
        merge(&mut grouped, table(&texts[cut..]));
        prop_assert_eq!(grouped, table(&texts));
    }

    #[test]
    fn adding_a_layer_twice_changes_nothing(below in arbitrary_log_table(), above in arbitrary_log_table()) {
        let once = resolve([file(&below), file(&above)]).expect("sound").operator;
        let twice = resolve([file(&below), file(&above), file(&above)]).expect("sound").operator;
        prop_assert_eq!(once, twice);
    }

    #[test]
    fn no_text_causes_a_panic(text in ".{0,200}") {
        let _ = resolve([file(&text), variable("ANISEYOKE__LOG__LEVEL", &text)]);
    }
}
