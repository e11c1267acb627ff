use super::*;
use crate::slopes::{Fit, HeldOut};

fn slope() -> Slope {
    // 3 + 2x with an error; the held-out size is 20.
    let points = vec![(1.0, 5.1), (2.0, 6.9), (5.0, 13.1), (10.0, 22.9)];
    let fit = Fit::new(&points).expect("a fit");
    let prediction = fit.predict(&points, 20.0);
    Slope {
        name: "role.cost.size".into(),
        role: "role".into(),
        quantity: "cost".into(),
        unit: "s".into(),
        against: "size".into(),
        command: "c".into(),
        shared: true,
        points,
        fit,
        held_out: HeldOut {
            x: 20.0,
            measured: 43.5,
            predicted: prediction.value,
            predicted_se: prediction.se,
        },
    }
}

fn inputs() -> Inputs {
    let target = [("size", 20.0), ("more", 40.0), ("rate", 66.0), ("most", 50.0)];
    let run = r#"{"name":"r","plan":"p.toml","seed":3,"seconds":600,"figures":[{"name":"f","value":7,"unit":"s","limit":14}]}"#;
    Inputs {
        target: target.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect(),
        rows: Vec::new(),
        slopes: vec![slope()],
        runs: vec![serde_json::from_str(run).expect("a run")],
    }
}

fn row(rest: &str) -> Row {
    let text = format!("table = \"t\"\nfigure = \"f\"\nunit = \"s\"\nby = \"m\"\n{rest}");
    toml::from_str(&text).expect("a row")
}

fn row_value(rest: &str) -> Result<RowValue, RowError> {
    row(rest).evaluate(&inputs())
}

#[test]
fn a_figure_counts_as_measured_only_at_its_exact_size_and_as_the_only_term() {
    let seen = row_value(r#"terms = [{ slope = "role.cost.size", at = ["size"] }]"#).expect("worked");
    assert_eq!(seen, RowValue { value: 43.5, se: 0.0, kind: Kind::Measured });
    let seen = row_value(r#"terms = [{ run = "r", figure = "f" }]"#).expect("worked");
    assert_eq!((seen.value, seen.kind), (7.0, Kind::Measured));
    let times = row_value(r#"terms = [{ slope = "role.cost.size", at = ["size"], times = ["rate"] }]"#)
        .expect("worked");
    assert_eq!((times.value, times.kind), (43.5 * 66.0, Kind::Predicted));
    let sum = r#"terms = [{ run = "r", figure = "f" }, { run = "r", figure = "f" }]"#;
    assert_eq!(row_value(sum).expect("worked").kind, Kind::Predicted);
}

#[test]
fn a_value_beyond_the_measured_sizes_is_predicted_with_its_standard_error() {
    let (slope, prediction) =
        (slope(), row_value(r#"terms = [{ slope = "role.cost.size", at = ["more"] }]"#).expect("worked"));
    let line = slope.predict(40.0);
    assert_eq!(prediction, RowValue { value: line.value, se: line.se, kind: Kind::Predicted });
    assert!(prediction.se > 0.0);
    let each = row_value("scale = 10.0\nterms = [{ slope = \"role.cost.size\", each = [4, \"/size\"] }]")
        .expect("worked");
    assert!(
        (each.value - slope.fit.slope * 2.0).abs() < 1e-9
            && (each.se - slope.fit.slope_se * 2.0).abs() < 1e-9
    );
}

#[test]
fn a_sum_has_a_standard_error_only_if_every_term_has_one() {
    let line = r#"{ slope = "role.cost.size", at = ["more"] }"#;
    let two = row_value(&format!("terms = [{line}, {line}]")).expect("worked");
    assert!((two.se - slope().predict(40.0).se * 2f64.sqrt()).abs() < 1e-9);
    let mixed = row_value(&format!(r#"terms = [{line}, {{ run = "r", figure = "f" }}]"#)).expect("worked");
    assert_eq!(mixed.se, 0.0);
}

#[test]
fn a_sum_with_a_paper_term_is_paper() {
    let sum = r#"terms = [{ run = "r", figure = "f" }, { paper = "a guess", times = [31, "rate"] }]"#;
    let sum = row_value(sum).expect("worked");
    assert_eq!((sum.value, sum.kind), (7.0 + 2046.0, Kind::Paper));
}

#[test]
fn an_invalid_term_is_reported_by_name() {
    for (rest, cause) in [
        ("terms = []", "no terms"),
        (r#"terms = [{ slope = "x", at = [1] }]"#, "no slope x"),
        (r#"terms = [{ slope = "role.cost.size", at = ["y"] }]"#, "no figure y"),
        (r#"terms = [{ slope = "role.cost.size" }]"#, "either"),
        (r#"terms = [{ run = "z", figure = "f" }]"#, "no run z"),
        (r#"terms = [{ run = "r", figure = "g" }]"#, "no figure g"),
        (r#"terms = [{ run = "r", figure = "f", paper = "p" }]"#, "a term is"),
        ("limit = [\"l\"]\nterms = [{ paper = \"p\" }]", "no figure l"),
    ] {
        let text = row_value(rest).expect_err(rest).to_string();
        assert!(text.contains(cause), "{rest}: {text}");
    }
}

#[test]
fn a_row_shows_its_limit_percentage_kind_and_source() {
    let row = row("limit = [\"most\"]\nterms = [{ slope = \"role.cost.size\", at = [\"size\"] }]");
    let line = row.line(&row.evaluate(&inputs()).expect("worked"), &inputs());
    assert_eq!(line, "| f | 43.5 s | 50 s | 87% | measured | `role.cost.size` | m |\n");
}

#[test]
fn tables_are_inserted_only_between_their_markers() {
    let tables: BTreeMap<String, String> = [("a".to_owned(), "| new |\n".to_owned())].into();
    let page = "before\n<!-- table:a -->\n| old |\n<!-- end -->\nafter\n";
    let filled = fill(page, &tables).expect("filled");
    assert_eq!(filled, "before\n<!-- table:a -->\n| new |\n<!-- end -->\nafter\n");
    assert_eq!(fill(&filled, &tables), Ok(filled.clone()), "filling is idempotent");
    for (bad, cause) in [
        ("<!-- table:a -->\n", "not closed"),
        ("<!-- table:b -->\n<!-- end -->\n", "no table b"),
        ("<!-- end -->\n", "no table is open"),
        ("nothing\n", "no place"),
        ("<!-- table:a -->\n<!-- end -->\n<!-- table:a -->\n<!-- end -->\n", "two places"),
        ("<!-- table:a -->\n<!-- table:a -->\n<!-- end -->\n", "line 1 is not closed"),
    ] {
        let text = fill(bad, &tables).expect_err(bad).to_string();
        assert!(text.contains(cause), "{bad}: {text}");
    }
}

#[test]
fn numbers_have_three_significant_digits() {
    let text: Vec<String> =
        [0.0, 0.0123456, 1.5, 43.5, 123.4, 2046.0, 1234567.0, 2.6e6, 1.234e-5, -3.25, -20460.0]
            .map(format_short)
            .into();
    let wanted = [
        "0",
        "0.0123",
        "1.5",
        "43.5",
        "123",
        "2,046",
        "1,230,000",
        "2,600,000",
        "1.23e-5",
        "-3.25",
        "-20,460",
    ];
    assert_eq!(text, wanted);
}
