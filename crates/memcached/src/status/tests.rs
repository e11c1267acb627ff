use super::*;

#[test]
fn each_number_maps_to_its_variant_and_others_to_none() {
    for number in 0..=u16::MAX {
        let known = Status::VARIANTS.iter().copied().find(|s| *s as u16 == number);
        assert_eq!(Status::from_repr(number), known);
    }
}
