//! Requests and answers with transfer codings beside `chunked`, in forms that a seed draws. The proxy undoes no
//! other coding, so that whoever got such a body would get other bytes than were meant.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

const SEEDS_VARIABLE: &str = "ANISEYOKE_CODING_SEEDS";

const OTHER_CODINGS: [&str; 11] = [
    "gzip",
    "x-gzip",
    "deflate",
    "compress",
    "x-compress",
    "identity",
    "br",
    "zstd",
    "x-own",
    "gzip;q=1",
    "x-own;a=\"b, c\"",
];

/// Where `chunked` stands among the codings.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Chunked {
    Last,
    First,
    Twice,
    Absent,
}

/// The codings of a message, in the order in which they were applied, and the header lines that name them.
#[derive(Debug)]
struct Codings {
    chunked: Chunked,
    lines: Vec<String>,
}

fn random_case(random: &mut Random, text: &str) -> String {
    let letter = |c: char| if random.chance(30) { c.to_ascii_uppercase() } else { c };
    text.chars().map(letter).collect()
}

impl Codings {
    fn draw(random: &mut Random) -> Self {
        let chunked =
            random.pick(&[Chunked::Last, Chunked::Last, Chunked::First, Chunked::Twice, Chunked::Absent]);
        let mut names: Vec<_> = (0..random.between(1, 3)).map(|_| random.pick(&OTHER_CODINGS)).collect();
        match chunked {
            Chunked::Last => names.push("chunked"),
            Chunked::First => names.insert(0, "chunked"),
            // Twice alone, or with others in any place.
            Chunked::Twice => {
                names.truncate(random.between(0, 2));
                names.insert(random.between(0, names.len()), "chunked");
                names.push("chunked");
            }
            Chunked::Absent => {}
        }
        Codings { chunked, lines: header_lines(random, &names) }
    }

    /// `chunked` alone, as the proxy has to understand it.
    fn only_chunked(random: &mut Random) -> Self {
        Codings { chunked: Chunked::Last, lines: header_lines(random, &["chunked"]) }
    }
}

/// Returns header lines that name these codings, with other lines in between.
fn header_lines(random: &mut Random, codings: &[&str]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut value = String::new();
    for (index, coding) in codings.iter().enumerate() {
        value += &random_case(random, coding);
        if index + 1 < codings.len() && random.chance(60) {
            value += random.pick(&[",", ", ", " ,", "\t, ", ", ,"]);
            continue;
        }
        let blanks = random.pick(&["", " ", "\t", "  "]);
        lines.push(format!(
            "{}:{blanks}{value}{}",
            random_case(random, "transfer-encoding"),
            random.pick(&["", " "])
        ));
        value.clear();
        if random.chance(30) {
            lines.push("X-Between: gzip, chunked".to_owned());
        }
    }
    lines
}

/// Returns bytes as chunks, whole or without their end.
fn chunks(random: &mut Random, bytes: &[u8]) -> Vec<u8> {
    let mut text = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(random.between(1, 40_000).min(rest.len()));
        text.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
        rest = after;
    }
    text.extend(b"0\r\n\r\n");
    text
}

fn body_length(random: &mut Random) -> usize {
    let lengths = [(1, 100), (1, 60_000), (60_000, 300_000)];
    let (low, high) = random.pick(&lengths);
    random.between(low, high)
}

/// A request with a coded body, and the status that it is owed.
struct CodedRequest {
    head: String,
    body: Vec<u8>,
    expected: u16,
}

impl CodedRequest {
    fn draw(random: &mut Random, id: &str) -> Self {
        let codings = Codings::draw(random);
        let version = if random.chance(15) { "HTTP/1.0" } else { "HTTP/1.1" };
        // Whether the length stands before the codings.
        let content_length = random.chance(20).then(|| random.chance(50));
        let body = body(random.between(0, 250), body_length(random));
        let mut body = chunks(random, &body);
        if random.chance(40) {
            // What a recipient would take for a further request that reads the framing in another way.
            body.extend(get_as(&format!("hidden-{id}"), "read", "").as_bytes());
        }
        let mut lines = codings.lines.clone();
        if let Some(is_first) = content_length {
            let line = format!("Content-Length: {}", body.len());
            lines.insert(if is_first { 0 } else { lines.len() }, line);
        }
        let target = random.pick(&["PUT /set", "PUT /order", "GET /read"]);
        let head = format!(
            "{target}/7f3a9c21e0b4d655 {version}\r\nHost: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n{}\r\n\r\n",
            lines.join("\r\n")
        );
        let is_framed = version == "HTTP/1.1" && content_length.is_none() && codings.chunked == Chunked::Last;
        CodedRequest { head, body, expected: if is_framed { 501 } else { 400 } }
    }

    /// Writes the request. The proxy may refuse it and close before all is written.
    fn write(&self, random: &mut Random, client: &mut Peer) {
        let mut bytes = self.head.clone().into_bytes();
        if random.chance(50) {
            let _ = client.0.get_mut().write_all(&bytes);
            bytes.clear();
            std::thread::sleep(random.millis(0, 30));
        }
        bytes.extend(&self.body);
        let piece_bytes = random.between(1_000, 400_000);
        for piece in bytes.chunks(piece_bytes) {
            client.0.get_mut().write_all(piece).expect("the connection takes the rest of a refused request");
        }
    }
}

/// Reads to the end of a connection, which must come in order and without further bytes.
fn assert_ends_in_order(client: &mut Peer, context: &str) {
    let mut rest = Vec::new();
    let ended = client.0.read_to_end(&mut rest);
    assert!(ended.is_ok() && rest.is_empty(), "{context}: {ended:?}, {} bytes follow", rest.len());
}

/// Guards against a write that is stored as its client coded it, with no header that says so: a request with
/// another coding than `chunked` is refused before a node gets any of it, and its client can read the refusal.
#[test]
fn a_request_with_another_transfer_coding_is_refused_before_a_node_gets_it() {
    for seed in seeds(SEEDS_VARIABLE, 1..13) {
        let mut random = Random::new(seed);
        let r = rig();
        for number in 0..8 {
            let mut client = r.proxy.client();
            if random.chance(40) {
                client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
                assert_eq!(client.answer().status(), 200);
            }
            let request = CodedRequest::draw(&mut random, &format!("coded-{seed}-{number}"));
            let context = format!("seed {seed}, {number}: {:?}", request.head);
            request.write(&mut random, &mut client);
            let answer = client.answer();
            assert_eq!(answer.status(), request.expected, "{context}");
            assert!(!answer.body.is_empty(), "{context}: the refusal gives no reason");
            assert_eq!(answer.header("connection"), Some("close"), "{context}");
            assert_ends_in_order(&mut client, &context);
            assert!(r.cache.no_new_connection() && r.origin.no_new_connection(), "{context}");
        }
        assert_served_in_chunks(&r, &mut random, seed);
    }
}

/// A write in chunks alone is served, whatever was refused before it.
fn assert_served_in_chunks(r: &Rig, random: &mut Random, seed: u64) {
    let codings = Codings::only_chunked(random);
    let value = body(3, random.between(1, 60_000));
    let text = chunks(random, &value);
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: chunked-{seed}\r\n{}\r\n\r\n",
        codings.lines.join("\r\n")
    ));
    client.0.get_mut().write_all(&text).expect("written");
    let mut node = r.origin.take();
    let request = node.request();
    assert_eq!(request.header("x-correlation-id"), Some(format!("chunked-{seed}").as_str()));
    assert!(request.body == value, "seed {seed}: {codings:?}");
    node.reply("200 OK", "Connection: close\r\n", "stored");
    assert_eq!(client.answer().body, b"stored");
}

/// A refusal reaches also a client that goes on to send for a while, and holds the connection of none that never ends.
#[test]
fn a_refused_client_that_never_stops_sending_is_closed() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: endless\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
    assert_eq!(client.answer().status(), 501);
    until("the connection has ended", || {
        let sent = client.0.get_mut().write_all(b"3e8\r\n");
        sent.is_err_and(|e| matches!(e.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset))
    });
    assert!(r.origin.no_new_connection());
}

/// A node's answer, as it is written.
struct CodedAnswer {
    bytes: Vec<u8>,
    description: String,
}

/// What an uncoded answer carries; no coded body begins like it.
const PLAIN: &str = "the plain value";

impl CodedAnswer {
    fn draw(random: &mut Random, status: &str) -> Self {
        let codings = Codings::draw(random);
        let version = if random.chance(15) { "HTTP/1.0" } else { "HTTP/1.1" };
        let body = body(7, body_length(random));
        let mut body = if random.chance(70) { chunks(random, &body) } else { body };
        body.truncate(if random.chance(10) { body.len() / 2 } else { body.len() });
        let mut lines = codings.lines;
        if random.chance(20) {
            lines.insert(random.between(0, lines.len()), format!("Content-Length: {}", body.len()));
        }
        if random.chance(50) {
            lines.push("Connection: close".to_owned());
        }
        let description = format!("{version} {status}\r\nX-Lookup: hit\r\n{}\r\n\r\n", lines.join("\r\n"));
        let bytes = [description.as_bytes(), &body].concat();
        CodedAnswer { bytes, description }
    }
}

/// Serves each request with the answer that `answer` returns; it closes behind each.
fn node(requests: Arc<AtomicUsize>, answer: impl Fn() -> Vec<u8> + Clone + Send + 'static) -> SocketAddr {
    serve(Server::new(), move |peer| {
        let Some(head) = read_head(peer) else { return };
        read_shaped(peer, &head, &ReadShape::AtOnce);
        requests.fetch_add(1, Ordering::Relaxed);
        let stream = peer.0.get_mut();
        let _ = stream.write_all(&answer());
        let _ = stream.shutdown(std::net::Shutdown::Write);
        // Some forms have no other end than that of the connection.
        let _ = peer.0.read_to_end(&mut Vec::new());
    })
}

fn plain_answer() -> Vec<u8> {
    let length = PLAIN.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{PLAIN}"
    )
    .into()
}

/// Guards against a client that is served the bytes of a node's answer as that was coded: an answer with another
/// coding than `chunked` is as good as none.
#[test]
fn an_answer_with_another_transfer_coding_is_never_served() {
    for seed in seeds(SEEDS_VARIABLE, 1..13) {
        let mut random = Random::new(seed);
        let status = if random.chance(25) { "404 Not Found" } else { "200 OK" };
        let coded = CodedAnswer::draw(&mut random, status);
        let context = format!("seed {seed}: {:?}", coded.description);
        let (at_cache, at_origin) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let bytes = coded.bytes.clone();
        let cache = node(at_cache.clone(), move || bytes.clone());
        // The origin answers some of the seeds in the same form.
        let origin_is_coded = random.chance(50);
        let bytes = if origin_is_coded { coded.bytes } else { plain_answer() };
        let origin = node(at_origin.clone(), move || bytes.clone());
        let servers = [member("c1", cache, "std", "ready"), member("o1", origin, "origin", "ready")];
        let proxy = Proxy::new(&config(serve_list(&list(42, true, &servers)), &servers));
        for method_and_class in ["GET /read", "HEAD /read", "PUT /order", "PUT /set"] {
            let mut client = proxy.client();
            let version = random.pick(&["HTTP/1.1", "HTTP/1.1", "HTTP/1.0"]);
            let id = format!("answer-{seed}-{}", method_and_class.replace([' ', '/'], ""));
            client.write(&format!(
                "{method_and_class}/7f3a9c21e0b4d655 {version}\r\nHost: a\r\nX-Correlation-Id: {id}\r\n\
                 X-Time-Left: 5\r\nIdempotency-Key: {id}\r\n{}\r\n",
                if method_and_class.starts_with("PUT") { "Content-Length: 0\r\n" } else { "" },
            ));
            if method_and_class.starts_with("HEAD") {
                // Its answer has no body, coded or not.
                let head = read_head(&mut client).expect("an answer");
                assert!(header(&head, "transfer-encoding").is_none(), "{context}: {head:?}");
                continue;
            }
            let seen = read_answer(&mut client);
            let served = seen.status == Some(200);
            assert!(seen.status.is_some(), "{context}: {method_and_class} was not answered");
            assert!(
                !served || seen.body == PLAIN.as_bytes(),
                "{context}: {method_and_class} got a coded body"
            );
            if method_and_class.starts_with("PUT") {
                assert_eq!(served, !origin_is_coded, "{context}: {method_and_class}");
            }
        }
        assert!(at_cache.load(Ordering::Relaxed) > 0 && at_origin.load(Ordering::Relaxed) >= 2, "{context}");
    }
}

/// Guards against a refusal of what the proxy understands: answers in chunks alone are served, in every spelling.
#[test]
fn an_answer_in_chunks_alone_is_served() {
    for seed in seeds(SEEDS_VARIABLE, 1..9) {
        let mut random = Random::new(seed);
        let codings = Codings::only_chunked(&mut random);
        let value = body(5, body_length(&mut random));
        let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n\r\n", codings.lines.join("\r\n"));
        let answer = [head.as_bytes(), &chunks(&mut random, &value)].concat();
        let cache = node(Arc::default(), move || answer.clone());
        let servers = [member("c1", cache, "std", "ready")];
        let proxy = Proxy::new(&config(serve_list(&list(42, true, &servers)), &servers));
        let mut client = proxy.client();
        client.write(&get("read", "X-Time-Left: 5\r\n"));
        let seen = read_answer(&mut client);
        assert_eq!((seen.status, seen.is_whole), (Some(200), true), "seed {seed}: {codings:?}");
        assert!(seen.body == value, "seed {seed}: {codings:?}");
    }
}
