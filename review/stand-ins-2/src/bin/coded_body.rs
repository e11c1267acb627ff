//! A client writes a value with a transfer coding beside chunked.
use review_stand_ins_2::*;
use std::sync::{Arc, Mutex};

/// The text "the value of the parcel, the value of the parcel" as gzip makes it (a stored block).
fn gzip(text: &[u8]) -> Vec<u8> {
    let mut out = vec![0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255, 1];
    out.extend((text.len() as u16).to_le_bytes());
    out.extend((!(text.len() as u16)).to_le_bytes());
    out.extend(text);
    let mut crc = !0u32;
    for byte in text {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
        }
    }
    out.extend((!crc).to_le_bytes());
    out.extend((text.len() as u32).to_le_bytes());
    out
}

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let stored: Arc<Mutex<Vec<Message>>> = Arc::default();
    for n in 0..3 {
        let name = format!("s-{n}");
        let node = start_node(record, &name, serving(&name, ms(15)));
        discovery.set(Member { id: name, addr: node, kind: "mid-core", state: "ready", started_ms: 0 });
    }
    let (store, inner) = (stored.clone(), serving("ledger", ms(40)));
    let handler: Handler = Arc::new(move |request, stream| {
        store.lock().unwrap().push(request.clone());
        inner(request, stream)
    });
    let ledger = start_node(record, "ledger", handler);
    discovery.set(Member {
        id: "ledger".into(),
        addr: ledger,
        kind: "ledger",
        state: "ready",
        started_ms: 0,
    });
    let mut platform = Platform::new(addr);
    platform.known = discovery.known();
    let mut proxy = platform.start(record);
    if !proxy.wait_ready() {
        return 2;
    }
    let value = b"the value of the parcel, the value of the parcel";
    let (coding, body) = if trouble() { ("gzip, chunked", gzip(value)) } else { ("chunked", value.to_vec()) };
    let id = new_id();
    let head = format!(
        "PUT /scan-event/00000000000000a1 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Account: hanbit-main\r\nX-Time-Left: 3.000\r\nIdempotency-Key: k-{id}\r\nTransfer-Encoding: {coding}\r\n\r\n"
    );
    let mut chunks = format!("{:x}\r\n", body.len()).into_bytes();
    chunks.extend(&body);
    chunks.extend(b"\r\n0\r\n\r\n");
    let answer = match ask(platform.listen, &head, &chunks, ms(4000)) {
        Ok(answer) => answer,
        Err(error) => {
            record.say(format!("client: no answer: {error}"));
            return 2;
        }
    };
    let _ = proxy.has_ended();
    record.say(format!(
        "client: sent {} bytes with Transfer-Encoding: {coding}; answer {}",
        body.len(),
        answer.first_line
    ));
    let mut wrong = 0;
    for got in stored.lock().unwrap().iter() {
        let coding = got.header("transfer-encoding").unwrap_or("none");
        let same = got.body == value || got.body == body && coding.contains("gzip");
        wrong += i32::from(!same);
        record.say(format!(
            "ledger: got {} bytes, transfer coding {coding}: {:02x?}",
            got.body.len(),
            &got.body[..got.body.len().min(12)]
        ));
    }
    verdict(record, wrong > 0, "the body of a write reaches the ledger unchanged")
}
