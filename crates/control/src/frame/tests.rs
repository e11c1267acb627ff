use super::*;
use proptest::prelude::*;
use serde_json::json;

fn some() -> Vec<FromService> {
    let stamp = Stamp { epoch: 1, number: 2 };
    let patch = json_patch::diff(&json!({"a": 1}), &json!({"b": 1}));
    vec![
        FromService::Full { stamp, digest: "d".into(), body: Body::new(&json!({"a": 1})) },
        FromService::Delta { base: stamp, stamp, digest: "e".into(), patch },
        FromService::Current { stamp },
        FromService::Alive,
        FromService::Goodbye { why: "full".into() },
    ]
}

#[test]
fn messages_are_read_however_their_bytes_are_cut() {
    let all: Vec<u8> = some().iter().flat_map(|m| encode(m).expect("short")).collect();
    for size in [1, 3, 7, all.len()] {
        let (mut came, mut read) = (Vec::new(), Vec::new());
        for part in all.chunks(size) {
            came.extend_from_slice(part);
            while let Some(message) = decode::<FromService>(&mut came, FRAME_MOST).expect("sound") {
                read.push(message);
            }
        }
        assert_eq!((read, came.len()), (some(), 0));
    }
}

#[test]
fn who_takes_no_purges_says_hello_as_before_there_were_any() {
    let before = json!({ "type": "hello", "protocol": 1, "instance": "a", "boot": 2, "labels": {},
        "frame_most": 3, "running": null });
    let read: FromProxy = serde_json::from_value(before.clone()).expect("read");
    assert!(matches!(read, FromProxy::Hello { purges: None, .. }));
    assert_eq!(serde_json::to_value(read).expect("JSON"), before);
}

#[test]
fn frames_of_purges_are_as_short_as_the_page_reckons() {
    let (epoch, through) = (1_764_646_000, 1_234_567);
    let told = FromService::Purges { epoch, after: through, keys: Keys(vec![u64::MAX; 13]) };
    assert!(encode(&told).expect("short").len() <= 66 + 140);
    let none = FromService::Purges { epoch, after: through, keys: Keys::default() };
    assert!(encode(&none).expect("short").len() <= 66);
    let done = FromProxy::Purged { epoch, through, lacking: 0, names: Vec::new() };
    assert!(encode(&done).expect("short").len() <= 60);
}

#[test]
fn a_length_beyond_the_bound_is_turned_down_before_anything_is_kept_for_it() {
    let mut came = u32::MAX.to_be_bytes().to_vec();
    assert_eq!(decode::<FromService>(&mut came, 100), Err(Malformed::TooLong(u32::MAX as usize)));
    let mut came = 101u32.to_be_bytes().to_vec();
    assert_eq!(decode::<FromService>(&mut came, 100), Err(Malformed::TooLong(101)));
}

proptest! {
    #[test]
    fn no_bytes_are_a_panic(mut came in prop::collection::vec(any::<u8>(), 0..200)) {
        while let Ok(Some(_)) = decode::<FromProxy>(&mut came, 1000) {}
    }
}
