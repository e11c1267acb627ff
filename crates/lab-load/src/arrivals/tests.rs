use super::*;

#[test]
fn a_day_is_planned_twice_the_same_and_otherwise_by_another_seed() {
    let mut day = Day::open("silence").expect("built in");
    let first: Vec<Arrival> = Arrivals::new(&day).collect();
    assert_eq!(first, Arrivals::new(&day).collect::<Vec<_>>());
    day.seed += 1;
    assert_ne!(first, Arrivals::new(&day).collect::<Vec<_>>());
}

#[test]
fn a_plan_has_the_rate_the_classes_and_the_tenants_of_its_day() {
    let day = Day::open("quiet").expect("built in");
    let arrivals: Vec<Arrival> = Arrivals::new(&day).collect();
    let wanted = day.load.rate * day.length.as_secs_f64();
    assert!((arrivals.len() as f64 / wanted - 1.0).abs() < 0.05, "{} of {wanted}", arrivals.len());
    for (n, tenant) in day.load.tenants.iter().enumerate() {
        let unit_fraction = arrivals.iter().filter(|a| a.tenant == n).count() as f64 / arrivals.len() as f64;
        assert!((unit_fraction - tenant.share).abs() < 0.03, "{unit_fraction} for {}", tenant.name);
    }
    let lookups = arrivals.iter().filter(|a| a.class == 0).count() as f64 / arrivals.len() as f64;
    assert!((lookups - 0.93).abs() < 0.02, "{lookups}");
    assert!(arrivals.windows(2).all(|w| w[0].due <= w[1].due));
}
