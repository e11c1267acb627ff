use super::*;
use rand::rngs::Xoshiro256PlusPlus;
use rand::SeedableRng;

#[test]
fn work_has_the_configured_mean_and_depends_only_on_the_request() {
    let day = Day::open("quiet").expect("built in");
    let mean = (0..20_000).map(|rank| work(&day, rank, 0) as f64).sum::<f64>() / 20_000.0;
    let configured_mean = day.load.classes[0].work.as_nanos() as f64;
    assert!((mean / configured_mean - 1.0).abs() < 0.05, "mean {mean}, configured {configured_mean}");
    assert_eq!(work(&day, 7, 0), work(&day, 7, 0));
}

#[test]
fn a_few_keys_draw_most_requests() {
    let day = Day::open("quiet").expect("built in");
    let key_space = KeySpace::new(&day);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let top: Vec<u64> = (0..day.load.keys / 100).map(|rank| key_space.key(rank)).collect();
    let drawn = (0..2000).filter(|_| top.contains(&key_space.draw(&mut rng))).count();
    assert!(drawn > 800, "{drawn} of 2000 draws for the most popular 1 % of keys");
}
