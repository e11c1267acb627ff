use super::*;

fn curve(good: &[f64]) -> Curve {
    let point = |(n, good): (usize, &f64)| Point {
        times: n as f64 + 1.0,
        offered: 100.0 * (n as f64 + 1.0),
        good: *good,
        refused: 0.0,
        p99_ms: 1.0,
        clean: true,
    };
    Curve { name: "a build".into(), points: good.iter().enumerate().map(point).collect() }
}

#[test]
fn the_retained_fraction_is_the_lowest_beyond_the_peak_and_ignores_points_before_it() {
    let curve = curve(&[50.0, 200.0, 180.0, 190.0]);
    assert_eq!((curve.peak(), curve.retained_fraction()), (200.0, 0.9));
}

#[test]
fn a_plot_is_an_svg_file_that_names_its_curves() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("plot.svg");
    plot("goodput", &[curve(&[1.0, 2.0]), curve(&[2.0, 1.0])], &file).expect("drawn");
    let text = std::fs::read_to_string(file).expect("written");
    assert!(text.starts_with("<svg") && text.contains("a build"));
}
