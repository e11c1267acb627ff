//! A rude client uses the id of another client's open request, during an upgrade.
use review_stand_ins_2::*;
use std::sync::Arc;
use std::thread;

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    for n in 0..4 {
        let name = if n == 3 { "ledger".to_owned() } else { format!("s-{n}") };
        let kind = if n == 3 { "ledger" } else { "mid-core" };
        let node = start_node(record, &name, serving(&name, ms(500)));
        discovery.set(Member { id: name, addr: node, kind, state: "ready", started_ms: 0 });
    }
    let mut platform = Platform::new(addr);
    platform.hold_listener();
    platform.known = discovery.known();
    let mut old = platform.start(record);
    if !old.wait_ready() {
        return 2;
    }
    let listen = platform.listen;
    let id = new_id();
    let head = request_head("GET", "/track-lookup/00000000000000a1", &id, 1.4, None);
    let mut new = trouble().then(|| platform.start(record));
    // The request comes to the old process: the new one lets no client in before it says yes.
    let first = thread::spawn({
        let head = head.clone();
        move || ask(listen, &head, b"", ms(3000))
    });
    if let Some(new) = &mut new {
        if !new.wait_ready() {
            return 2;
        }
        old.signal(SIGTERM);
    }
    thread::sleep(ms(50));
    let open = !first.is_finished();
    let second = ask(listen, &head, b"", ms(3000));
    let first = first.join().unwrap();
    let say = |a: &std::io::Result<Message>| {
        a.as_ref().map(|a| a.first_line.clone()).unwrap_or_else(|e| e.to_string())
    };
    record.say(format!("first open {open}: {}; second: {}", say(&first), say(&second)));
    if !open || !first.is_ok_and(|answer| answer.status() == 200) {
        return 2;
    }
    verdict(
        record,
        second.is_ok_and(|a| a.status() == 200),
        "the id of another client's open request is owed an error",
    )
}
