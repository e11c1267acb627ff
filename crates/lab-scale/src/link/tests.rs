use super::*;

fn opened(link_delay: LinkDelay) -> (LinkRuntime, Link, std::net::TcpListener) {
    let link_runtime = LinkRuntime::start().expect("started");
    let far = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let link =
        open(&link_runtime.handle, far.local_addr().expect("an address"), link_delay, 1).expect("opened");
    (link_runtime, link, far)
}

#[test]
fn chunks_behind_one_another_each_take_the_delay_and_not_more() {
    use std::io::{Read, Write};
    let delay = Duration::from_millis(200);
    let (_carrier, link, far) = opened(LinkDelay { delay, jitter: Duration::ZERO });
    let mut near = std::net::TcpStream::connect(link.addr).expect("connected");
    let (mut far, _) = far.accept().expect("accepted");
    let start = std::time::Instant::now();
    for n in 0..5u8 {
        near.write_all(&[n]).expect("written");
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut received = [0; 5];
    far.read_exact(&mut received).expect("read");
    let elapsed = start.elapsed();
    assert_eq!(received, [0, 1, 2, 3, 4]);
    assert!(elapsed >= delay, "{elapsed:?}");
    // One after the other they would take five times as long.
    assert!(elapsed < delay * 4, "{elapsed:?}");
}

#[test]
fn a_cut_link_is_silent_until_it_heals_and_loses_nothing() {
    use std::io::{Read, Write};
    let (_carrier, link, far) = opened(LinkDelay::default());
    let mut near = std::net::TcpStream::connect(link.addr).expect("connected");
    let (mut end, _) = far.accept().expect("accepted");
    let mut received = [0; 2];
    near.write_all(b"a").expect("written");
    end.read_exact(&mut received[..1]).expect("read");
    link.cut(true);
    near.write_all(b"b").expect("written");
    let mut later = std::net::TcpStream::connect(link.addr).expect("taken");
    later.write_all(b"c").expect("written");
    end.set_read_timeout(Some(Duration::from_millis(150))).expect("a time-out");
    assert!(end.read(&mut received[1..]).is_err(), "silent");
    link.cut(false);
    end.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
    end.read_exact(&mut received[1..]).expect("read");
    assert_eq!(&received, b"ab");
    let (mut end, _) = far.accept().expect("accepted after all");
    end.read_exact(&mut received[..1]).expect("read");
    assert_eq!(received[0], b'c');
}
