use super::*;

const PLAN: &str = "length = \"10s\"\ntopology = \"direct\"\nregions = 2\nzones = 2\nsites = 4\n\
                    proxies = 900\nnodes = 100\nreal = 2\nlisted = 20\nasked = 10\nhosts = 4\n";

#[test]
fn shortfalls_name_the_process_and_the_missing_descriptors() {
    let plan = Plan::parse("p.toml", PLAN).expect("sound");
    // No region has a delay, so there are no links: the service has 1,002 connections and 64 other descriptors.
    let at_root = descriptor_needs(&plan, 1).into_iter().find(|n| n.0 == "the control service").map(|n| n.1);
    assert_eq!(at_root, Some(1066));
    let rig = descriptor_needs(&plan, 1)[0].1;
    assert_eq!(rig, 64 + 3 * 7 + 20 + 10 + 900 + 2 * 22);
    assert_eq!(shortfalls(&plan, 1, 2000), Vec::<String>::new());
    let shortfalls_found = shortfalls(&plan, 1, 1060);
    assert_eq!(shortfalls_found.len(), 1, "{shortfalls_found:?}");
    assert!(
        shortfalls_found[0].starts_with("the control service needs 1066 descriptors")
            && shortfalls_found[0].ends_with("6 short")
    );
}

#[test]
fn a_connection_over_a_link_takes_two_descriptors_in_the_rig() {
    let far = Plan::parse("p.toml", &format!("{PLAN}[delay]\nbase = \"10ms\"\n")).expect("sound");
    let near = Plan::parse("p.toml", PLAN).expect("sound");
    // One of the two regions has a delay, so half of the 1,002 members connect over a link with two descriptors each.
    assert_eq!(descriptor_needs(&far, 1)[0].1 - descriptor_needs(&near, 1)[0].1, 1002);
}
