use super::*;

#[test]
fn each_number_maps_to_its_variant_and_others_to_none() {
    for byte in 0..=u8::MAX {
        assert_eq!(
            Opcode::from_repr(byte).map(|o| o as u8),
            Opcode::VARIANTS.iter().map(|o| *o as u8).find(|b| *b == byte)
        );
    }
}

#[test]
fn a_quiet_request_has_the_same_parts_as_its_counterpart() {
    let quiet: Vec<Opcode> = Opcode::VARIANTS.iter().copied().filter(|o| o.is_quiet()).collect();
    assert_eq!(quiet.len(), 14);
    for opcode in quiet {
        let counterpart = opcode.without_quiet();
        assert_eq!(
            (opcode.key(), opcode.value(), opcode.extras()),
            (counterpart.key(), counterpart.value(), counterpart.extras())
        );
        assert!(!counterpart.is_quiet());
    }
}
