use super::*;

fn open_link(link_delay: LinkDelay) -> (LinkRuntime, Link, std::net::TcpListener) {
    let link_runtime = LinkRuntime::start().expect("started");
    let target = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let link =
        open(&link_runtime.handle, target.local_addr().expect("an address"), link_delay, 1).expect("opened");
    (link_runtime, link, target)
}

#[test]
fn queued_chunks_are_each_delayed_once() {
    use std::io::{Read, Write};
    let delay = Duration::from_millis(200);
    let (_link_runtime, link, target) = open_link(LinkDelay { delay, jitter: Duration::ZERO });
    let mut client = std::net::TcpStream::connect(link.addr).expect("connected");
    let (mut target, _) = target.accept().expect("accepted");
    let start = std::time::Instant::now();
    for n in 0..5u8 {
        client.write_all(&[n]).expect("written");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut received = [0; 5];
    target.read_exact(&mut received).expect("read");
    let elapsed = start.elapsed();
    assert_eq!(received, [0, 1, 2, 3, 4]);
    assert!(elapsed >= delay, "{elapsed:?}");
    // Sequential delays would add up to five times the delay.
    assert!(elapsed < delay * 4, "{elapsed:?}");
}

#[test]
fn a_cut_link_forwards_nothing_until_it_is_restored_and_loses_nothing() {
    use std::io::{Read, Write};
    let (_link_runtime, link, target) = open_link(LinkDelay::default());
    let mut client = std::net::TcpStream::connect(link.addr).expect("connected");
    let (mut server, _) = target.accept().expect("accepted");
    let mut received = [0; 2];
    client.write_all(b"a").expect("written");
    server.read_exact(&mut received[..1]).expect("read");
    link.cut(true);
    client.write_all(b"b").expect("written");
    let mut later = std::net::TcpStream::connect(link.addr).expect("taken");
    later.write_all(b"c").expect("written");
    server.set_read_timeout(Some(Duration::from_millis(150))).expect("a read timeout is set");
    assert!(server.read(&mut received[1..]).is_err(), "silent");
    link.cut(false);
    server.set_read_timeout(Some(Duration::from_secs(10))).expect("a read timeout is set");
    server.read_exact(&mut received[1..]).expect("read");
    assert_eq!(&received, b"ab");
    let (mut server, _) = target.accept().expect("accepted after the link is restored");
    server.read_exact(&mut received[..1]).expect("read");
    assert_eq!(received[0], b'c');
}
