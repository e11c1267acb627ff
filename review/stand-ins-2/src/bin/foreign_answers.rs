//! Cache nodes send some answers twice; the network takes some milliseconds each way.
use review_stand_ins_2::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time that bytes take between the proxy and a cache node, each way.
const DELAY: Duration = Duration::from_millis(2);
/// The pause of a cache node between an answer and its second copy.
const PAUSE: Duration = Duration::from_millis(1);

/// Passes bytes on, each after a time.
fn pass(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        loop {
            let n = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + DELAY, buffer[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

fn relay(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(node) = TcpStream::connect(target) else { continue };
            let _ = (client.set_nodelay(true), node.set_nodelay(true));
            pass(client.try_clone().unwrap(), node.try_clone().unwrap());
            pass(node, client);
        }
    });
    addr
}

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let (count, twice) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for n in 0..4 {
        let name = if n == 3 { "ledger".to_owned() } else { format!("s-{n}") };
        let (own, count, twice) = (name.clone(), count.clone(), twice.clone());
        let handler: Handler = Arc::new(move |request, stream| {
            thread::sleep(ms(5));
            let answer = served(&own, request);
            if stream.write_all(answer.as_bytes()).is_err() {
                return false;
            }
            if trouble() && count.fetch_add(1, Ordering::SeqCst) % 25 == 24 {
                thread::sleep(PAUSE);
                // Only when nothing else waits on the connection.
                let _ = stream.set_nonblocking(true);
                let waits =
                    !matches!(stream.peek(&mut [0; 1]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
                let _ = stream.set_nonblocking(false);
                if !waits {
                    twice.fetch_add(1, Ordering::SeqCst);
                    return stream.write_all(answer.as_bytes()).is_ok();
                }
            }
            true
        });
        let node = relay(start_node(record, &name, handler));
        let kind = if n == 3 { "ledger" } else { "mid-core" };
        discovery.set(Member { id: name, addr: node, kind, state: "ready", started_ms: 0 });
    }
    let mut platform = Platform::new(addr);
    platform.known = discovery.known();
    let mut proxy = platform.start(record);
    if !proxy.wait_ready() {
        return 2;
    }
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let listen = platform.listen;
    let clients: Vec<_> = (0..16u64)
        .map(|c| {
            let (foreign, record) = (foreign.clone(), record.clone());
            thread::spawn(move || {
                let (mut asked, mut served) = (0u64, 0u64);
                let end = Instant::now() + ms(10_000);
                let Ok(stream) = TcpStream::connect(listen) else { return (0, 0) };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(ms(3000)));
                let mut reader = Reader::new(stream);
                while Instant::now() < end {
                    asked += 1;
                    let id = new_id();
                    let key = (asked * 16 + c).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    let head = request_head("GET", &format!("/track-lookup/{key:016x}"), &id, 1.0, None);
                    if reader.stream.write_all(head.as_bytes()).is_err() {
                        break;
                    }
                    let answer = reader.answer();
                    record_asked(&record, &head, &answer);
                    let Ok(answer) = answer else { break };
                    if answer.status() == 200 {
                        served += 1;
                        let body = String::from_utf8_lossy(&answer.body).into_owned();
                        if !body.ends_with(&id) {
                            foreign.lock().unwrap().push(format!("asked {id}, got: {body}"));
                        }
                    }
                    thread::sleep(Duration::from_micros((asked * 7 + c * 5) * 1237 % 80_000));
                }
                (asked, served)
            })
        })
        .collect();
    let (asked, served) =
        clients.into_iter().map(|c| c.join().unwrap()).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    let _ = proxy.has_ended();
    let foreign = foreign.lock().unwrap();
    foreign.iter().take(5).for_each(|line| record.say(line));
    record.say(format!(
        "{asked} asked, {served} served, {} answers sent twice, {} foreign answers",
        twice.load(Ordering::SeqCst),
        foreign.len()
    ));
    verdict(record, !foreign.is_empty(), "an answer is the one that a node made for this request")
}
