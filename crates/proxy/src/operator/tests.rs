use super::*;

#[test]
fn the_shipped_file_documents_the_defaults_and_enables_nothing() {
    let shipped = include_str!("../../../../deploy/operator.toml");
    let read = |text: &str| {
        let layers = [Layer::File("operator.toml".into(), text.to_owned())];
        resolve(layers).expect("sound").operator
    };
    assert_eq!(read(shipped), Operator::default());
    let uncommented: String =
        shipped.lines().map(|l| format!("{}\n", l.strip_prefix("#: ").unwrap_or(l))).collect();
    let expected = Operator {
        limits: Some(Default::default()),
        list: Some(Default::default()),
        opening: Some(Default::default()),
        ..Operator::default()
    };
    assert_eq!(read(&uncommented), expected);
}
