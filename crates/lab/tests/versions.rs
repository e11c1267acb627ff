//! Good, broken and out-of-order versions of the configuration under load: every request keeps its one final answer.

use aniseyoke_control::frame::{encode, ProxyMessage, ServiceMessage};
use aniseyoke_control::publisher::Publisher;
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::{Stamp, Version};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::{find_proxy, Program};
use aniseyoke_lab_trial::{run, Options};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What a proxy said of the versions that it was sent.
#[derive(Default)]
struct Replies {
    taken: AtomicUsize,
    refused: AtomicUsize,
}

/// Speaks the protocol as another team would write it: versions in any order, some broken, some twice.
fn serve(mut stream: TcpStream, replies: &Replies, stop: &AtomicBool) {
    stream.set_read_timeout(Some(Duration::from_millis(30))).expect("a time-out");
    let stamp = |number| Stamp { epoch: 1, number };
    let limits =
        |n: u64| json!({ "limits": { "node": { "start": 4.0 + n as f64 }, "queue": { "most": n % 40 } } });
    let full = |v: &Version| ServiceMessage::Snapshot {
        stamp: v.stamp,
        digest: v.digest.clone(),
        body: v.body.clone(),
    };
    let mut received = Vec::new();
    for n in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let body: Value = if n % 5 == 0 { json!({}) } else { limits(n) };
        let good = Version::new(stamp(3 * n), &body);
        let frame = match n % 4 {
            0 => full(&Version::new(stamp(3 * n), &json!({ "log": { "burst": 0 } }))),
            1 => ServiceMessage::Snapshot {
                stamp: good.stamp,
                digest: "0".repeat(64),
                body: good.body.clone(),
            },
            2 => full(&Version::new(stamp(3 * n / 2), &limits(n))),
            _ => full(&good),
        };
        let bytes = encode(&frame).expect("short");
        if stream
            .write_all(&bytes)
            .and_then(|()| stream.write_all(&encode(&full(&good)).expect("short")))
            .is_err()
        {
            return;
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) => return,
            Ok(length) => received.extend_from_slice(&part[..length]),
            Err(_) => {}
        }
        while let Ok(Some(frame)) = aniseyoke_control::frame::decode::<ProxyMessage>(&mut received, 1 << 16) {
            match frame {
                ProxyMessage::Ack { .. } => replies.taken.fetch_add(1, Ordering::Relaxed),
                ProxyMessage::Nack { .. } => replies.refused.fetch_add(1, Ordering::Relaxed),
                _ => 0,
            };
        }
    }
}

#[test]
fn every_request_has_one_final_answer_while_versions_come_in_any_order() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("an address");
    let (replies, stop) = (Arc::<Replies>::default(), Arc::<AtomicBool>::default());
    let (replies_of_thread, stop_of_thread) = (replies.clone(), stop.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (replies_of_thread, stop_of_thread) = (replies_of_thread.clone(), stop_of_thread.clone());
            std::thread::spawn(move || serve(stream, &replies_of_thread, &stop_of_thread));
        }
    });
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("operator.toml");
    std::fs::write(&file, format!("[control]\nservices = [\"{addr}\"]\n")).expect("written");
    let mut program = Program::new(find_proxy(None).expect("the proxy"));
    program.operator = Some(file);
    let mut day = Day::open("quiet").expect("built in").shortened(0.25);
    day.load.rate = 200.0;
    let report = run(&day, &program, &Options::default()).expect("played");
    stop.store(true, Ordering::Relaxed);
    assert!(report.audit.clean() && report.crashes.is_empty(), "{}", report.text());
    let (taken, refused) = (replies.taken.load(Ordering::Relaxed), replies.refused.load(Ordering::Relaxed));
    assert!(taken > 10 && refused > 10, "{taken} taken, {refused} refused");
}

/// The stand-in of the test and the service of the repository agree on what a frame is.
#[test]
fn the_service_itself_speaks_what_the_test_speaks() {
    let mut publisher = Publisher::new(1);
    let mut out = Vec::new();
    publisher.publish(0, json!({}), Plan::default(), &mut out).expect("published");
    let hello = ProxyMessage::Hello {
        protocol: 1,
        instance: "a".into(),
        boot: 1,
        labels: Default::default(),
        max_frame_bytes: 1 << 16,
        running: None,
        purges: None,
    };
    publisher.receive(0, 1, hello, &mut out);
    let version = Version::new(Stamp { epoch: 1, number: 1 }, &json!({}));
    let frame = ServiceMessage::Snapshot { stamp: version.stamp, digest: version.digest, body: version.body };
    assert_eq!(out[0].bytes.to_vec(), encode(&frame).expect("short"));
}
