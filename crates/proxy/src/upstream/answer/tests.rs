use super::*;
use hyper::header::HeaderValue;

/// Guards against a malformed or impossible load report that invalidates its answer or replaces known
/// figures.
#[test]
fn a_malformed_or_impossible_load_report_is_ignored() {
    let parsed = |text: &[u8]| {
        let value = HeaderValue::from_bytes(text).expect("a value");
        load(&HeaderMap::from_iter([(LOAD, value)]))
    };
    let report = parsed(br#"{"load_share":0.62,"err_ps":0.5,"tps":14,"x0":0.4,"new":[1]}"#);
    assert_eq!(report, Load::new(0.62, 14.0));
    assert!(report.is_some() && load(&HeaderMap::new()).is_none());
    let invalid: [&[u8]; 7] = [
        b"",
        b"{\"load_share\":0.6",
        b"0.62,0.5,14",
        br#"{"load_share":"0.6","tps":3}"#,
        br#"{"load_share":-1,"tps":3}"#,
        br#"{"load_share":1e300,"tps":1e300}"#,
        b"\xff\xfe",
    ];
    assert!(invalid.iter().all(|text| parsed(text).is_none()));
}
