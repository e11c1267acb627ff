use super::*;
use tokio::net::TcpListener;

const LONG: Duration = Duration::from_secs(30);

/// Danger: a report that can't be read, or says what can't be, must spoil neither its answer nor what is known.
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

/// Danger: a node that is blamed for the proxy's own shortage is left with all its keys.
#[tokio::test(flavor = "current_thread")]
async fn a_lack_of_descriptors_is_not_the_nodes_fault() {
    let node = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let upstreams = Upstreams::new(Descriptors::new(0), Budget::new(0), Duration::from_secs(30), 0, None);
    let entry = Entry { server: 1, ..Entry::default() };
    upstreams.update_endpoints(true, &[(entry, node.local_addr().ok())]);
    let job = Job {
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: Payload::empty(),
        waiter: None,
    };
    let ended = upstreams.within(1, &job, Instant::now() + LONG, LONG, &Rc::default()).await;
    assert_eq!(ended.status, Status::NotSent);
}
