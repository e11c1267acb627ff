//! A new node at the address of one that has gone: the list may tell of the new one first.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, Instant, SystemTime};

const KEYS: usize = 60;

fn short_answers(node: usize, records: &Records) -> std::net::SocketAddr {
    let records = records.clone();
    serve(Server::new(), move |peer| {
        while let Some(head) = read_head(peer) {
            let id = header(&head, "x-correlation-id").expect("an id").to_owned();
            let now = Some(Instant::now());
            records.add(NodeRecord { node, id, received_at: now, answered_at: now });
            let answer = b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 2\r\n\r\nok";
            if peer.0.get_mut().write_all(answer).is_err() {
                return;
            }
        }
    })
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time");
    u64::try_from(since.as_millis()).expect("a number")
}

/// Asks for each key once; returns how many requests each node got.
fn ask_for_all(proxy: &Proxy, records: &Records, round: &str) -> BTreeMap<usize, usize> {
    let mut nodes = BTreeMap::new();
    for key in 0..KEYS {
        let id = format!("{round}-{key}");
        let mut client = proxy.client();
        client.write(&get_as(&id, "read", "").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        assert_eq!(read_answer(&mut client).status, Some(200));
        *nodes.entry(records.of(&id)[0].node).or_default() += 1;
    }
    nodes
}

/// Plays the replacement of node 1 by a cold one at its address; returns how many of its requests the new one gets.
/// `told` are further changes that come with the new node.
fn requests_at_the_new_node(told: impl Fn(&Value) -> Vec<Value>) -> usize {
    let records = Records::default();
    let addrs = [0, 1, 2].map(|node| short_answers(node, &records));
    let listed: Vec<_> =
        (0..3).map(|node| member(&format!("c{node}"), addrs[node], "std", "ready")).collect();
    let discovery = Server::new();
    let mut config = config(discovery.addr, &listed);
    config["settings"]["rules"]["cold_from"] = json!(0.05);
    let proxy = Proxy::new(&config);
    let mut watch = discovery.take();
    watch.request();
    let before = ask_for_all(&proxy, &records, "before");
    assert!(before.get(&1).is_some_and(|count| *count > 5), "{before:?}");
    let mut new = member("c9", addrs[1], "std", "ready");
    new["started_ms"] = json!(now_ms());
    let mut changes = vec![new];
    changes.extend(told(&listed[1]));
    watch.reply("200 OK", "", &list(42, false, &changes).to_string());
    // The next watch tells that the change is in force.
    assert!(watch.request().line.contains("from=42"));
    std::thread::sleep(Duration::from_millis(50));
    ask_for_all(&proxy, &records, "after").get(&1).copied().unwrap_or(0)
}

/// Guards against a cold node that gets the work of the one whose address it has, since the list still has that one.
#[test]
fn a_new_node_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    let gone = |old: &Value| {
        let mut old = old.clone();
        old["state"] = json!("gone");
        vec![old]
    };
    let with_the_news = requests_at_the_new_node(gone);
    let before_the_news = requests_at_the_new_node(|_| Vec::new());
    assert!(
        before_the_news <= with_the_news + 3,
        "the new node got {before_the_news} requests while the old one was listed, {with_the_news} without"
    );
}
