use super::*;

const PLAN: &str = "length = \"10s\"\ntopology = \"relays\"\nregions = 22\nzones = 44\nsites = 160\n\
                    proxies = 2500\nnodes = 880\nreal = 20\n[delay]\nbase = \"20ms\"\nspread = \"80ms\"\n";

#[test]
fn members_are_distributed_evenly_and_share_the_region_of_their_site() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    let mut at = vec![0; plan.sites()];
    (0..2500).for_each(|n| at[member(&plan, Role::Proxy, n).site] += 1);
    assert_eq!((at.iter().min(), at.iter().max()), (Some(&15), Some(&16)));
    for n in 0..plan.sites() {
        let location = site(&plan, n);
        assert_eq!((location.zone % 22, location.site), (location.region, n));
        assert_eq!(member(&plan, Role::SiteRelay, n), location);
    }
    let reals: std::collections::BTreeSet<usize> =
        (0..20).map(|n| member(&plan, Role::Real, n).site).collect();
    assert_eq!(reals.len(), 20);
}

#[test]
fn the_seed_determines_delays_and_the_first_region_has_none() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    let all = |seed| -> Vec<Duration> { (0..22).map(|region| delay(&plan, seed, region)).collect() };
    assert_eq!(all(1), all(1));
    assert_ne!(all(1), all(2));
    assert_eq!(all(1)[0], Duration::ZERO);
    let within = Duration::from_millis(20)..=Duration::from_millis(100);
    assert!(all(1)[1..].iter().all(|d| within.contains(d)), "{:?}", all(1));
    let linked = linked(&plan, 1);
    assert!(!linked[0] && linked[1..].iter().all(|l| *l));
}
