use super::*;

#[test]
fn a_day_is_planned_twice_the_same_and_otherwise_by_another_seed() {
    let mut day = Day::open("silence").expect("built in");
    let first: Vec<Arrival> = Plan::new(&day).collect();
    assert_eq!(first, Plan::new(&day).collect::<Vec<_>>());
    day.seed += 1;
    assert_ne!(first, Plan::new(&day).collect::<Vec<_>>());
}

#[test]
fn a_plan_has_the_rate_the_classes_and_the_tenants_of_its_day() {
    let day = Day::open("quiet").expect("built in");
    let plan: Vec<Arrival> = Plan::new(&day).collect();
    let wanted = day.load.rate * day.length.as_secs_f64();
    assert!((plan.len() as f64 / wanted - 1.0).abs() < 0.05, "{} of {wanted}", plan.len());
    for (n, tenant) in day.load.tenants.iter().enumerate() {
        let part = plan.iter().filter(|a| a.tenant == n).count() as f64 / plan.len() as f64;
        assert!((part - tenant.share).abs() < 0.03, "{part} for {}", tenant.name);
    }
    let lookups = plan.iter().filter(|a| a.class == 0).count() as f64 / plan.len() as f64;
    assert!((lookups - 0.93).abs() < 0.02, "{lookups}");
    assert!(plan.windows(2).all(|w| w[0].due <= w[1].due));
}
