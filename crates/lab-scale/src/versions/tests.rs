use super::*;

#[test]
fn the_duration_of_a_swap_is_parsed_in_every_unit() {
    let read =
        |text: &str| swap_duration_us(&format!("aniseyoke: version 1.2 is in force, swapped in {text}"));
    let close = |text: &str, us: f64| read(text).is_some_and(|found| (found - us).abs() < 1e-6);
    assert!(close("950ns", 0.95) && close("87.5µs", 87.5) && close("1.25ms", 1250.0) && close("2s", 2e6));
    assert_eq!((read("soon"), swap_duration_us("something else")), (None, None));
}

/// Runs a complete measurement with a small fleet.
#[test]
fn a_measurement_of_a_small_fleet_has_every_figure() {
    let proxy = aniseyoke_lab_process::find_proxy(None).expect("the proxy");
    let size = FleetSize { proxies: 3, versions: 2, routes: 50 };
    let measured = measure(size, &proxy).expect("measured");
    assert_eq!(measured.versions.len(), 3);
    assert!(measured.versions.iter().all(|v| v.in_force.max_ms > 0.0), "{measured:?}");
    assert!(measured.swaps.max_ms > 0.0 && measured.calls_during.max_ms > 0.0, "{measured:?}");
}
