use super::*;
use proptest::prelude::*;
use serde_json::json;

fn messages() -> Vec<ServiceMessage> {
    let stamp = Stamp { epoch: 1, number: 2 };
    let patch = json_patch::diff(&json!({"a": 1}), &json!({"b": 1}));
    vec![
        ServiceMessage::Snapshot { stamp, digest: "d".into(), body: CanonicalJson::new(&json!({"a": 1})) },
        ServiceMessage::Delta { base: stamp, stamp, digest: "e".into(), patch },
        ServiceMessage::UpToDate { stamp },
        ServiceMessage::Heartbeat,
        ServiceMessage::Goodbye { reason: "full".into() },
    ]
}

#[test]
fn messages_are_decoded_from_chunks_of_any_size() {
    let all: Vec<u8> = messages().iter().flat_map(|m| encode(m).expect("short")).collect();
    for size in [1, 3, 7, all.len()] {
        let (mut buffer, mut read) = (Vec::new(), Vec::new());
        for chunk in all.chunks(size) {
            buffer.extend_from_slice(chunk);
            while let Some(message) = decode::<ServiceMessage>(&mut buffer, MAX_FRAME_BYTES).expect("valid") {
                read.push(message);
            }
        }
        assert_eq!((read, buffer.len()), (messages(), 0));
    }
}

#[test]
fn hello_without_purges_has_the_same_form_as_before_purges_were_introduced() {
    let before = json!({ "type": "hello", "protocol": 1, "instance": "a", "boot": 2, "labels": {},
        "frame_most": 3, "running": null });
    let read: ProxyMessage = serde_json::from_value(before.clone()).expect("read");
    assert!(matches!(read, ProxyMessage::Hello { purges: None, .. }));
    assert_eq!(serde_json::to_value(read).expect("JSON"), before);
}

#[test]
fn frames_of_purges_do_not_exceed_the_sizes_that_the_design_assumes() {
    let (epoch, through) = (1_764_646_000, 1_234_567);
    let purges = ServiceMessage::Purges { epoch, after: through, keys: Keys(vec![u64::MAX; 13]) };
    assert!(encode(&purges).expect("short").len() <= 66 + 140);
    let heartbeat = ServiceMessage::Purges { epoch, after: through, keys: Keys::default() };
    assert!(encode(&heartbeat).expect("short").len() <= 66);
    let ack = ProxyMessage::PurgeAck { epoch, through, lagging: 0, names: Vec::new() };
    assert!(encode(&ack).expect("short").len() <= 60);
}

#[test]
fn a_length_over_the_limit_is_rejected_before_the_text_arrives() {
    let mut buffer = u32::MAX.to_be_bytes().to_vec();
    const LONGEST: usize = u32::MAX as usize;
    assert!(matches!(decode::<ServiceMessage>(&mut buffer, 100), Err(FrameError::TooLong(LONGEST))));
    let mut buffer = 101u32.to_be_bytes().to_vec();
    assert!(matches!(decode::<ServiceMessage>(&mut buffer, 100), Err(FrameError::TooLong(101))));
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(mut buffer in prop::collection::vec(any::<u8>(), 0..200)) {
        while let Ok(Some(_)) = decode::<ProxyMessage>(&mut buffer, 1000) {}
    }
}
