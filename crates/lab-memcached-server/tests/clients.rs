//! Tests the server with a third-party client library: the server decodes its requests, and it decodes the responses.

use aniseyoke_lab_memcached_server::{Server, Store};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::num::NonZeroUsize;
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_VALUE_BYTES: usize = 1 << 20;

/// Starts a server on a separate thread, which ends with the test process.
fn server(users: &[(&str, &str)]) -> SocketAddr {
    let users: BTreeMap<String, String> =
        users.iter().map(|(name, password)| ((*name).to_owned(), (*password).to_owned())).collect();
    let (send_addr, addr) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let store = Store::new(NonZeroUsize::new(1000).expect("not 0"), MAX_VALUE_BYTES);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            send_addr.send(listener.local_addr().expect("an address")).expect("awaited");
            Server::new(store, MAX_VALUE_BYTES, users).serve(listener).await
        });
    });
    addr.recv().expect("started")
}

fn client(addr: SocketAddr, user: &str) -> memcache::Client {
    let at = if user.is_empty() { String::new() } else { format!("{user}@") };
    memcache::connect(format!("memcache://{at}{addr}?timeout=10&protocol=binary")).expect("connected")
}

#[test]
fn a_third_party_client_stores_reads_counts_and_deletes() {
    let client = client(server(&[]), "");
    client.set("k", "value", 0).expect("stored");
    assert_eq!(client.get::<String>("k").expect("read"), Some("value".into()));
    assert_eq!(client.get::<String>("none").expect("read"), None);
    client.append("k", "!").expect("appended");
    client.prepend("k", "a ").expect("prepended");
    assert_eq!(client.get::<String>("k").expect("read"), Some("a value!".into()));
    assert!(client.add("k", "other", 0).is_err(), "the key exists");
    assert!(client.replace("none", "other", 0).is_err(), "the key does not exist");
    client.set("n", 40, 0).expect("stored");
    assert_eq!(client.increment("n", 3).expect("counted"), 43);
    assert_eq!(client.decrement("n", 50).expect("counted"), 0);
    assert!(client.touch("n", 1000).expect("touched") && !client.touch("none", 1).expect("touched"));
    assert!(client.delete("n").expect("deleted") && !client.delete("n").expect("deleted"));
    let large = vec![7u8; 300_000];
    client.set("large", &large[..], 0).expect("stored");
    assert_eq!(client.get::<Vec<u8>>("large").expect("read"), Some(large));
    assert!(!client.version().expect("told")[0].1.is_empty());
    assert!(client.stats().expect("told")[0].1.contains_key("cmd_ran"));
}

/// The library sends quiet gets followed by a NOOP, so that misses get no response.
#[test]
fn a_third_party_client_reads_many_keys_at_once_and_stores_by_cas_version() {
    let client = client(server(&[]), "");
    (0..50).for_each(|n| client.set(&format!("k{n}"), n, 0).expect("stored"));
    let names: Vec<String> = (0..100).map(|n| format!("k{n}")).collect();
    let keys: Vec<&str> = names.iter().map(String::as_str).collect();
    let found: HashMap<String, u32> = client.gets(&keys).expect("read");
    assert_eq!(found.len(), 50);
    assert!(found.iter().all(|(key, n)| *key == format!("k{n}")));
    let found: HashMap<String, (Vec<u8>, u32, Option<u64>)> = client.gets(&["k1"]).expect("read");
    let version = found["k1"].2.expect("a version");
    assert!(client.cas("k1", "new", 0, version).expect("stored"));
    assert!(!client.cas("k1", "newer", 0, version).expect("rejected"), "the version has changed");
}

#[test]
fn an_unauthenticated_client_is_rejected() {
    let addr = server(&[("acme", "secret")]);
    let authenticated = client(addr, "acme:secret");
    authenticated.set("k", "v", 0).expect("stored");
    assert_eq!(authenticated.get::<String>("k").expect("read"), Some("v".into()));
    // The library retries until the connection timeout, which is therefore short.
    let rejected = memcache::Client::builder()
        .with_connection_timeout(Duration::from_millis(200))
        .add_server(format!("memcache://acme:guess@{addr}?timeout=10&protocol=binary"))
        .and_then(memcache::ClientBuilder::build);
    assert!(rejected.is_err() || rejected.is_ok_and(|c| c.get::<String>("k").is_err()));
    assert!(client(addr, "").get::<String>("k").is_err());
}

/// Writes these bytes and returns everything that the server sends until it closes the connection.
fn response_to(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).expect("connected");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a time-out");
    stream.write_all(bytes).expect("written");
    let mut response_to = Vec::new();
    stream.read_to_end(&mut response_to).expect("read until the connection closes");
    response_to
}

#[test]
fn the_text_protocol_and_invalid_lengths_get_one_error_and_a_close() {
    let addr = server(&[]);
    let response = String::from_utf8(response_to(addr, b"get k\r\n")).expect("a text");
    assert!(
        response.starts_with("ERROR ") && response.ends_with("\r\n") && response.contains("binary"),
        "{response:?}"
    );
    let mut inconsistent = vec![0x80, 0x01, 0, 9, 8, 0, 0, 0, 0, 0, 0, 4];
    inconsistent.extend([0; 12]);
    assert_eq!(response_to(addr, &inconsistent)[6..8], [0, 4], "invalid");
    let mut oversized = vec![0x80, 0x01, 0, 3, 8, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 5];
    oversized.extend([0; 8]);
    let response = response_to(addr, &oversized);
    assert_eq!(
        (&response[6..8], &response[12..16]),
        (&[0, 3][..], &[0, 0, 0, 5][..]),
        "too large, with the client's opaque value"
    );
}
