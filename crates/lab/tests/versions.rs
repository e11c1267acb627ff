//! Sends valid, invalid and out-of-order configuration versions to a proxy under load. Every request still gets exactly
//! one final response.

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

/// Counts a proxy's replies to the versions that it received.
#[derive(Default)]
struct Replies {
    acks: AtomicUsize,
    nacks: AtomicUsize,
}

/// An independent implementation of the protocol. It sends versions in any order, some invalid, some twice.
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
                ProxyMessage::Ack { .. } => replies.acks.fetch_add(1, Ordering::Relaxed),
                ProxyMessage::Nack { .. } => replies.nacks.fetch_add(1, Ordering::Relaxed),
                _ => 0,
            };
        }
    }
}

#[test]
fn every_request_has_one_final_response_while_versions_arrive_in_any_order() {
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
    let (acks, nacks) = (replies.acks.load(Ordering::Relaxed), replies.nacks.load(Ordering::Relaxed));
    assert!(acks > 10 && nacks > 10, "{acks} acks, {nacks} nacks");
}

/// Checks that the test's own implementation of the service and the control service encode a frame in the same way.
#[test]
fn the_control_service_and_the_test_encode_the_same_frames() {
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
