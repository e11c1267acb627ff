use super::*;

#[test]
fn parameters_are_read_by_name() {
    let path = "/catalog/members?from=41&hold_ms=2000";
    assert_eq!((parameter(path, "from"), parameter(path, "hold_ms")), (Some(41), Some(2000)));
    assert_eq!((parameter("/catalog/members", "from"), parameter(path, "fro")), (None, None));
}
