//! Tests of the exact JSON form of every message and stored value. It must not change when names in the code change.

use aniseyoke_control::commit::{Change, LeaderMessage, MemberMessage, Record};
use aniseyoke_control::frame::{
    encode, OperatorRequest, OperatorResponse, ProxyMessage, ProxyStatus, PurgeLatency, ServiceMessage,
    HEADER_BYTES,
};
use aniseyoke_control::purge_log::{PurgeLog, PurgeRequest};
use aniseyoke_control::rollout::{Plan, Stage};
use aniseyoke_control::store::StoredVersion;
use aniseyoke_control::{CanonicalJson, Stamp, Version};
use aniseyoke_fanout::{Keys, Progress};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Debug;

const STAMP: Stamp = Stamp { epoch: 1, number: 2 };

/// Asserts that a value serializes to this text, and that the text deserializes to the value.
fn assert_json_form<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("readable"), value);
}

fn labels() -> BTreeMap<String, String> {
    BTreeMap::from([("site".to_owned(), "a".to_owned())])
}

fn plan() -> Plan {
    Plan { stages: vec![Stage { percent: 5, labels: labels(), hold_ms: 10 }], margin: 0.02 }
}

fn change() -> Change {
    Change { stamp: STAMP, digest: "d".into() }
}

const HELLO: &str = r#"{"type":"hello","protocol":1,"instance":"a","boot":3,"labels":{"site":"a"},"frame_most":4,"running":[{"epoch":1,"number":2},"d"],"purges":{"epoch":5,"through":6}}"#;
const HELLO_WITHOUT_PURGES: &str =
    r#"{"type":"hello","protocol":1,"instance":"a","boot":3,"labels":{},"frame_most":4,"running":null}"#;

#[test]
fn hello_keeps_its_json_form() {
    let hello = ProxyMessage::Hello {
        protocol: 1,
        instance: "a".into(),
        boot: 3,
        labels: labels(),
        max_frame_bytes: 4,
        running: Some((STAMP, "d".into())),
        purges: Some(Progress { epoch: 5, through: 6 }),
    };
    assert_json_form(&hello, HELLO);
    let hello = ProxyMessage::Hello {
        protocol: 1,
        instance: "a".into(),
        boot: 3,
        labels: BTreeMap::new(),
        max_frame_bytes: 4,
        running: None,
        purges: None,
    };
    assert_json_form(&hello, HELLO_WITHOUT_PURGES);
}

#[test]
fn messages_of_a_proxy_keep_their_json_form() {
    let stamp = STAMP;
    assert_json_form(
        &ProxyMessage::PurgeAck { epoch: 1, through: 2, lagging: 3, names: vec!["a@1".into()] },
        r#"{"type":"purged","epoch":1,"through":2,"lacking":3,"names":["a@1"]}"#,
    );
    assert_json_form(
        &ProxyMessage::PurgeAck { epoch: 1, through: 2, lagging: 0, names: Vec::new() },
        r#"{"type":"purged","epoch":1,"through":2}"#,
    );
    assert_json_form(&ProxyMessage::Ack { stamp }, r#"{"type":"taken","stamp":{"epoch":1,"number":2}}"#);
    assert_json_form(
        &ProxyMessage::Nack { stamp, reasons: vec!["r".into()] },
        r#"{"type":"refused","stamp":{"epoch":1,"number":2},"reasons":["r"]}"#,
    );
    assert_json_form(&ProxyMessage::SnapshotRequest, r#"{"type":"whole"}"#);
    assert_json_form(
        &ProxyMessage::Report { stamp, served: 3, rejected: 4, failed: 5 },
        r#"{"type":"report","stamp":{"epoch":1,"number":2},"served":3,"refused":4,"failed":5}"#,
    );
    assert_json_form(&ProxyMessage::Heartbeat, r#"{"type":"alive"}"#);
}

#[test]
fn messages_of_a_service_keep_their_json_form() {
    let stamp = STAMP;
    let body = CanonicalJson::new(&json!({"b": 1, "a": [true]}));
    assert_json_form(
        &ServiceMessage::Snapshot { stamp, digest: "d".into(), body },
        r#"{"type":"full","stamp":{"epoch":1,"number":2},"digest":"d","body":{"a":[true],"b":1}}"#,
    );
    let (base, patch) = (Stamp { epoch: 1, number: 1 }, json_patch::diff(&json!({"a": 1}), &json!({"a": 2})));
    assert_json_form(
        &ServiceMessage::Delta { base, stamp, digest: "d".into(), patch },
        r#"{"type":"delta","base":{"epoch":1,"number":1},"stamp":{"epoch":1,"number":2},"digest":"d","patch":[{"op":"replace","path":"/a","value":2}]}"#,
    );
    assert_json_form(
        &ServiceMessage::UpToDate { stamp },
        r#"{"type":"current","stamp":{"epoch":1,"number":2}}"#,
    );
    assert_json_form(
        &ServiceMessage::Purges { epoch: 1, after: 2, keys: Keys(vec![3]) },
        r#"{"type":"purges","epoch":1,"after":2,"keys":"AAAAAAAAAAM="}"#,
    );
    assert_json_form(
        &ServiceMessage::Flush { epoch: 1, through: 2 },
        r#"{"type":"flush","epoch":1,"through":2}"#,
    );
    assert_json_form(&ServiceMessage::Heartbeat, r#"{"type":"alive"}"#);
    assert_json_form(&ServiceMessage::Goodbye { reason: "w".into() }, r#"{"type":"goodbye","why":"w"}"#);
}

#[test]
fn requests_of_operators_keep_their_json_form() {
    const PLAN: &str = r#"{"stages":[{"percent":5,"labels":{"site":"a"},"hold_ms":10}],"margin":0.02}"#;
    assert_json_form(
        &OperatorRequest::Publish { body: json!({"a": 1}), plan: plan() },
        &format!(r#"{{"type":"publish","body":{{"a":1}},"plan":{PLAN}}}"#),
    );
    assert_json_form(
        &OperatorRequest::RollBack { to: STAMP, plan: plan() },
        &format!(r#"{{"type":"roll-back","to":{{"epoch":1,"number":2}},"plan":{PLAN}}}"#),
    );
    assert_json_form(&OperatorRequest::Halt { reason: "w".into() }, r#"{"type":"halt","why":"w"}"#);
    assert_json_form(&OperatorRequest::Status, r#"{"type":"status"}"#);
    assert_json_form(
        &OperatorRequest::Purge { publisher: "p".into(), sequence: 1, keys: vec!["k".into()] },
        r#"{"type":"purge","publisher":"p","sequence":1,"keys":["k"]}"#,
    );
    assert_json_form(&OperatorRequest::PurgeStatus, r#"{"type":"purges"}"#);
}

#[test]
fn responses_to_operators_keep_their_json_form() {
    assert_json_form(
        &OperatorResponse::Published { stamp: STAMP },
        r#"{"type":"published","stamp":{"epoch":1,"number":2}}"#,
    );
    assert_json_form(&OperatorResponse::Rejected { reason: "w".into() }, r#"{"type":"no","why":"w"}"#);
    let status = ProxyStatus {
        instance: "a".into(),
        boot: 3,
        running: Some(STAMP),
        wanted: None,
        ack_latency: Some(4),
        rejected: Some((STAMP, vec!["r".into()])),
    };
    assert_json_form(
        &OperatorResponse::Status {
            newest: Some(STAMP),
            rollout: Some("stage 0".into()),
            proxies: vec![status],
        },
        r#"{"type":"status","newest":{"epoch":1,"number":2},"rollout":"stage 0","proxies":[{"instance":"a","boot":3,"running":{"epoch":1,"number":2},"wanted":null,"took":4,"refused":[{"epoch":1,"number":2},["r"]]}]}"#,
    );
    assert_json_form(
        &OperatorResponse::PurgeAccepted { epoch: 1, through: 2 },
        r#"{"type":"purging","epoch":1,"through":2}"#,
    );
    let latency = PurgeLatency { count: 1, p50: 2.0, p99: 3.0, max: 4.0, incomplete: 5 };
    let lagging = vec!["a@1".to_owned()];
    assert_json_form(
        &OperatorResponse::PurgeStatus { epoch: 1, newest: 2, applied: 3, lagging, unnamed: 4, latency },
        r#"{"type":"purges","epoch":1,"newest":2,"done":3,"lacking":["a@1"],"unnamed":4,"took":{"count":1,"p50":2.0,"p99":3.0,"most":4.0,"short":5}}"#,
    );
}

#[test]
fn messages_and_records_of_the_commit_protocol_keep_their_json_form() {
    const CHANGE: &str = r#"{"stamp":{"epoch":1,"number":2},"digest":"d"}"#;
    const AT: &str = r#"{"epoch":1,"number":2}"#;
    assert_json_form(
        &MemberMessage::Heartbeat { sent_at: 3, running: Some(change()), prepared: None },
        &format!(r#"{{"type":"renew","asked":3,"runs":{CHANGE},"prepared":null}}"#),
    );
    assert_json_form(
        &MemberMessage::VoteCommit { change: change() },
        &format!(r#"{{"type":"prepared","change":{CHANGE}}}"#),
    );
    assert_json_form(
        &MemberMessage::VoteAbort { change: change(), reason: "w".into() },
        &format!(r#"{{"type":"refused","change":{CHANGE},"why":"w"}}"#),
    );
    assert_json_form(
        &LeaderMessage::Prepare { change: change() },
        &format!(r#"{{"type":"prepare","change":{CHANGE}}}"#),
    );
    assert_json_form(
        &LeaderMessage::Commit { change: change() },
        &format!(r#"{{"type":"commit","change":{CHANGE}}}"#),
    );
    assert_json_form(&LeaderMessage::Abort { stamp: STAMP }, &format!(r#"{{"type":"abort","stamp":{AT}}}"#));
    assert_json_form(
        &LeaderMessage::Lease { requested_at: 3, committed: Some(change()) },
        &format!(r#"{{"type":"granted","asked":3,"committed":{CHANGE}}}"#),
    );
    assert_json_form(
        &Record::Begin { change: change() },
        &format!(r#"{{"type":"begin","change":{CHANGE}}}"#),
    );
    assert_json_form(&Record::Commit { stamp: STAMP }, &format!(r#"{{"type":"commit","stamp":{AT}}}"#));
    assert_json_form(
        &Record::Abort { stamp: STAMP, reason: "w".into() },
        &format!(r#"{{"type":"abort","stamp":{AT},"why":"w"}}"#),
    );
}

#[test]
fn a_stored_version_keeps_its_json_form() {
    let stored = StoredVersion { version: Version::new(STAMP, &json!({"a": 1})), at_ms: 7 };
    assert_json_form(
        &stored,
        r#"{"version":{"stamp":{"epoch":1,"number":2},"digest":"015abd7f5cc57a2dd94b7590f04ad8084273905ee33ec5cebeae62276a97f862","body":{"a":1}},"at_ms":7}"#,
    );
}

#[test]
fn a_frame_is_a_length_prefix_and_json_text() {
    let bytes = encode(&ProxyMessage::Heartbeat).expect("short");
    assert_eq!(bytes, b"\x00\x00\x00\x10{\"type\":\"alive\"}");
    assert_eq!(HEADER_BYTES, 4);
}

#[test]
fn a_purge_log_segment_keeps_its_byte_format() {
    let directory = tempfile::tempdir().expect("a folder");
    let mut opened = PurgeLog::open(directory.path(), 100, 7).expect("opened");
    opened.disk.append(&[PurgeRequest { publisher: "p".into(), sequence: 1, keys: vec![2] }]).expect("kept");
    let bytes = std::fs::read(directory.path().join("purges-00000000000000000000")).expect("there");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "00000018a1c8718b1b362fe6414e50555247453100000000000000070000000000000000000000192bc27ed07562bc9600000000000000010000000170000000010000000000000002");
}
