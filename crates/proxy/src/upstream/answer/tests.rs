use super::*;
use hyper::header::HeaderValue;

/// Guards against a report that can't be read, or says what can't be, and spoils its answer or what is known.
#[test]
fn a_load_report_counts_only_if_it_makes_sense() {
    let told = |text: &[u8]| {
        let value = HeaderValue::from_bytes(text).expect("a value");
        load(&HeaderMap::from_iter([(LOAD, value)]))
    };
    let row = told(br#"{"load_share":0.62,"err_ps":0.5,"tps":14,"x0":0.4,"new":[1]}"#);
    assert_eq!(row, Load::new(0.62, 14.0));
    assert!(row.is_some() && load(&HeaderMap::new()).is_none());
    let bad: [&[u8]; 7] = [
        b"",
        b"{\"load_share\":0.6",
        b"0.62,0.5,14",
        br#"{"load_share":"0.6","tps":3}"#,
        br#"{"load_share":-1,"tps":3}"#,
        br#"{"load_share":1e300,"tps":1e300}"#,
        b"\xff\xfe",
    ];
    assert!(bad.iter().all(|text| told(text).is_none()));
}
