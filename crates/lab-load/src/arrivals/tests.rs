use super::*;

#[test]
fn arrivals_are_the_same_for_the_same_seed_and_differ_for_another() {
    let mut day = Day::open("silence").expect("built in");
    let first: Vec<Arrival> = Arrivals::new(&day).collect();
    assert_eq!(first, Arrivals::new(&day).collect::<Vec<_>>());
    day.seed += 1;
    assert_ne!(first, Arrivals::new(&day).collect::<Vec<_>>());
}

#[test]
fn arrivals_have_the_rate_classes_and_tenants_of_their_day() {
    let day = Day::open("quiet").expect("built in");
    let arrivals: Vec<Arrival> = Arrivals::new(&day).collect();
    let expected = day.load.rate * day.length.as_secs_f64();
    assert!((arrivals.len() as f64 / expected - 1.0).abs() < 0.05, "{} of {expected}", arrivals.len());
    for (n, tenant) in day.load.tenants.iter().enumerate() {
        let fraction = arrivals.iter().filter(|a| a.tenant == n).count() as f64 / arrivals.len() as f64;
        assert!((fraction - tenant.share).abs() < 0.03, "{fraction} for {}", tenant.name);
    }
    let lookups = arrivals.iter().filter(|a| a.class == 0).count() as f64 / arrivals.len() as f64;
    assert!((lookups - 0.93).abs() < 0.02, "{lookups}");
    assert!(arrivals.windows(2).all(|w| w[0].due <= w[1].due));
}
