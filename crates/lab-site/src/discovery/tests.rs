use super::*;

#[test]
fn parameters_are_read_by_name() {
    let path = "/catalog/members?from=41&hold_ms=2000";
    assert_eq!((query_parameter(path, "from"), query_parameter(path, "hold_ms")), (Some(41), Some(2000)));
    assert_eq!((query_parameter("/catalog/members", "from"), query_parameter(path, "fro")), (None, None));
}
