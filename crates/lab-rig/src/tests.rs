//! Tests of a relay under each kind of fault, and of the percentiles of readiness.

use super::board::{ActiveFault, Fault, FaultBoard, LinkEnd, LinkEnds};
use super::readiness::Readiness;
use super::relay::{self, Link, Relay, RelayCounters};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Starts a server that echoes the bytes it receives.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn relay_to_echo_server(board: &FaultBoard) -> Relay {
    let target = start_echo_server().await;
    let link = Link { from: LinkEnd::Proxy(0), to: LinkEnd::Discovery, target };
    relay::open(&tokio::runtime::Handle::current(), link, board.watch(), 7).unwrap()
}

fn fault(id: usize, fault: Fault) -> ActiveFault {
    ActiveFault {
        id,
        fault,
        a: vec![LinkEnds::Range(0, 0)],
        b: vec![LinkEnds::Discovery],
        fraction: 1.0,
        delay: Duration::from_millis(80),
        jitter: Duration::ZERO,
        rate: 64 * 1024,
        injected_at: 0,
    }
}

/// Sends `n` bytes and reads them back within `time_limit`.
async fn round_trip(stream: &mut TcpStream, n: usize, time_limit: Duration) -> Result<Vec<u8>, String> {
    let sent: Vec<u8> = (0..n).map(|i| (i % 251) as u8).collect();
    stream.write_all(&sent).await.map_err(|e| e.to_string())?;
    let mut got = vec![0u8; n];
    match timeout(time_limit, stream.read_exact(&mut got)).await {
        Ok(Ok(_)) if got == sent => Ok(got),
        Ok(Ok(_)) => Err("changed in transit".into()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("silent".into()),
    }
}

#[tokio::test]
async fn bytes_pass_unchanged_and_a_delay_is_added_to_them() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let plain = Instant::now();
    assert_eq!(round_trip(&mut stream, 100_000, Duration::from_secs(5)).await.unwrap().len(), 100_000);
    let plain = plain.elapsed();
    board.inject(fault(1, Fault::Delay));
    let slow = Instant::now();
    round_trip(&mut stream, 10, Duration::from_secs(5)).await.unwrap();
    // The delay applies to both directions.
    assert!(
        slow.elapsed() >= Duration::from_millis(160),
        "{:?} with a delay, {plain:?} without",
        slow.elapsed()
    );
    assert_eq!(RelayCounters::get(&relay.counts.bytes_from_target), 100_010);
}

#[tokio::test]
async fn a_partition_delays_bytes_until_it_ends_and_leaves_new_handshakes_unanswered() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut open = TcpStream::connect(relay.addr).await.unwrap();
    round_trip(&mut open, 10, Duration::from_secs(5)).await.unwrap();
    // Two partitions, since the listener has to stop and resume answering handshakes each time.
    for id in [1, 2] {
        board.inject(fault(id, Fault::Partition));
        assert_eq!(round_trip(&mut open, 10, Duration::from_millis(300)).await, Err("silent".into()));
        for _ in 0..3 {
            let connecting = TcpStream::connect(relay.addr);
            assert!(
                timeout(Duration::from_millis(200), connecting).await.is_err(),
                "a handshake was answered"
            );
        }
        let waiting_client = TcpStream::connect(relay.addr);
        let clear_fault = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            board.clear(id);
        };
        // After the fault, the delayed bytes are delivered and the handshake of the waiting client completes.
        let (waited, ()) = tokio::join!(timeout(Duration::from_secs(5), waiting_client), clear_fault);
        let mut new = waited.expect("in time").expect("connected");
        round_trip(&mut new, 10, Duration::from_secs(5)).await.unwrap();
        let mut rest = [0u8; 10];
        timeout(Duration::from_secs(5), open.read_exact(&mut rest)).await.unwrap().unwrap();
    }
    let counts = &relay.counts;
    assert_eq!(
        (RelayCounters::get(&counts.taken), RelayCounters::get(&counts.held)),
        (3, 2),
        "only the client that kept waiting was accepted"
    );
}

/// Guards against forwarding buffered bytes after a reset: over a real link, unacknowledged segments are retransmitted after
/// an orderly close but not after a reset, while the relay has already acknowledged the bytes that it buffers.
#[tokio::test]
async fn bytes_delayed_by_a_partition_are_delivered_after_a_close_and_discarded_after_a_reset() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        round_trip(&mut stream, 10, Duration::from_secs(5)).await.unwrap();
        open.push(stream);
    }
    board.inject(fault(1, Fault::Partition));
    for stream in &mut open {
        assert_eq!(round_trip(stream, 100, Duration::from_millis(200)).await, Err("silent".into()));
    }
    let reset = open.pop().unwrap();
    socket2::SockRef::from(&reset).set_linger(Some(Duration::ZERO)).unwrap();
    drop(reset);
    drop(open);
    board.clear(1);
    let counts = relay.counts.clone();
    let progress = || (RelayCounters::get(&counts.bytes_to_target), RelayCounters::get(&counts.abandoned));
    let both = async {
        while progress() != (120, 1) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), both).await.unwrap_or_else(|_| panic!("{:?}", progress()));
    // Longer than the delivery of buffered bytes takes.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(progress(), (120, 1));
}

#[tokio::test]
async fn a_black_hole_delays_bytes_until_it_ends_and_accepts_new_connections_without_answering() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut open = TcpStream::connect(relay.addr).await.unwrap();
    round_trip(&mut open, 10, Duration::from_secs(5)).await.unwrap();
    board.inject(fault(1, Fault::BlackHole));
    assert_eq!(round_trip(&mut open, 10, Duration::from_millis(300)).await, Err("silent".into()));
    let mut new = TcpStream::connect(relay.addr).await.unwrap();
    assert_eq!(round_trip(&mut new, 10, Duration::from_millis(300)).await, Err("silent".into()));
    board.clear(1);
    // After the fault, the delayed bytes are delivered on both connections.
    let mut rest = [0u8; 10];
    timeout(Duration::from_secs(5), open.read_exact(&mut rest)).await.unwrap().unwrap();
    timeout(Duration::from_secs(5), new.read_exact(&mut rest)).await.unwrap().unwrap();
    assert_eq!(RelayCounters::get(&relay.counts.held), 2);
}

/// Starts an echo server that counts the connections it accepts.
async fn start_counting_server() -> (SocketAddr, std::sync::Arc<std::sync::atomic::AtomicU64>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let (addr, taken) =
        (listener.local_addr().unwrap(), std::sync::Arc::<std::sync::atomic::AtomicU64>::default());
    let count = taken.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    (addr, taken)
}

/// Guards against forwarding connections that their clients abandoned during the fault: over a real link no handshake
/// completes, so nothing of them reaches the target.
#[tokio::test]
async fn connections_abandoned_during_a_black_hole_do_not_reach_the_target() {
    let board = FaultBoard::default();
    let (target, taken) = start_counting_server().await;
    let link = Link { from: LinkEnd::Proxy(0), to: LinkEnd::Discovery, target };
    let relay = relay::open(&tokio::runtime::Handle::current(), link, board.watch(), 7).unwrap();
    board.inject(fault(1, Fault::BlackHole));
    for resets in [false, true] {
        let mut abandoned_client = TcpStream::connect(relay.addr).await.unwrap();
        abandoned_client.write_all(b"asked").await.unwrap();
        if resets {
            socket2::SockRef::from(&abandoned_client).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
    let mut waiting_client = TcpStream::connect(relay.addr).await.unwrap();
    assert!(round_trip(&mut waiting_client, 100, Duration::from_millis(200)).await.is_err());
    board.clear(1);
    let mut back = vec![0; 100];
    timeout(Duration::from_secs(2), waiting_client.read_exact(&mut back))
        .await
        .expect("in time")
        .expect("answered");
    assert_eq!(taken.load(std::sync::atomic::Ordering::Relaxed), 1);
    assert_eq!(RelayCounters::get(&relay.counts.abandoned), 2);
}

#[tokio::test]
async fn drop_closes_reset_resets_and_cut_truncates_connections() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    board.inject(fault(1, Fault::Drop));
    let mut dropped = TcpStream::connect(relay.addr).await.unwrap();
    let mut byte = [0u8; 1];
    assert_eq!(timeout(Duration::from_secs(5), dropped.read(&mut byte)).await.unwrap().unwrap(), 0);
    board.clear(1);
    let mut open = TcpStream::connect(relay.addr).await.unwrap();
    round_trip(&mut open, 10, Duration::from_secs(5)).await.unwrap();
    board.inject(fault(2, Fault::Reset));
    let reset = timeout(Duration::from_secs(5), open.read(&mut byte)).await.unwrap();
    assert!(matches!(&reset, Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset), "{reset:?}");
    board.clear(2);
    board.inject(fault(3, Fault::Cut));
    let mut cut = TcpStream::connect(relay.addr).await.unwrap();
    let sent = vec![1u8; 10_000];
    let _ = cut.write_all(&sent).await;
    let mut got = Vec::new();
    let _ = timeout(Duration::from_secs(5), cut.read_to_end(&mut got)).await.unwrap();
    assert!(got.len() < sent.len(), "all {} bytes passed despite the cut", got.len());
    let counts = &relay.counts;
    assert_eq!(
        (
            RelayCounters::get(&counts.dropped),
            RelayCounters::get(&counts.reset),
            RelayCounters::get(&counts.cut)
        ),
        (1, 1, 1)
    );
}

#[tokio::test]
async fn half_open_connections_stay_silent_while_new_ones_work() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut open = TcpStream::connect(relay.addr).await.unwrap();
    round_trip(&mut open, 10, Duration::from_secs(5)).await.unwrap();
    board.inject(fault(1, Fault::HalfOpen));
    let mut new = TcpStream::connect(relay.addr).await.unwrap();
    round_trip(&mut new, 10, Duration::from_secs(5)).await.unwrap();
    board.clear(1);
    assert_eq!(round_trip(&mut open, 10, Duration::from_millis(300)).await, Err("silent".into()));
}

#[tokio::test]
async fn a_bandwidth_limit_slows_a_large_transfer() {
    let board = FaultBoard::default();
    let relay = relay_to_echo_server(&board).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    board.inject(fault(1, Fault::Bandwidth));
    let began = Instant::now();
    // 64 KiB in each direction at 64 KiB per second.
    round_trip(&mut stream, 64 * 1024, Duration::from_secs(10)).await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_connection_to_an_unreachable_target_is_reset() {
    let board = FaultBoard::default();
    let closed_addr = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap();
    let link = Link { from: LinkEnd::Proxy(0), to: LinkEnd::Ledger, target: closed_addr };
    let relay = relay::open(&tokio::runtime::Handle::current(), link, board.watch(), 7).unwrap();
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let mut byte = [0u8; 1];
    let read = timeout(Duration::from_secs(5), stream.read(&mut byte)).await.unwrap();
    assert!(read.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    assert_eq!(RelayCounters::get(&relay.counts.unreached), 1);
}

/// Returns the median time of `rounds` small round trips.
async fn median_round_trip(stream: &mut TcpStream, rounds: usize) -> Duration {
    let mut times = Vec::with_capacity(rounds);
    for _ in 0..rounds {
        let start = Instant::now();
        round_trip(stream, 64, Duration::from_secs(5)).await.unwrap();
        times.push(start.elapsed());
    }
    times.sort_unstable();
    times[rounds / 2]
}

/// Guards against relay latency that distorts the measured latency of proxies.
#[tokio::test]
async fn a_relay_adds_less_than_a_millisecond_at_the_median() {
    let board = FaultBoard::default();
    let mut direct = TcpStream::connect(start_echo_server().await).await.unwrap();
    let mut via_relay = TcpStream::connect(relay_to_echo_server(&board).await.addr).await.unwrap();
    let (direct, via_relay) =
        (median_round_trip(&mut direct, 400).await, median_round_trip(&mut via_relay, 400).await);
    println!("median round trip: {direct:?} direct, {via_relay:?} via a relay");
    assert!(via_relay < direct + Duration::from_millis(1), "{direct:?} and {via_relay:?}");
}

/// Guards against percentiles that ignore processes that never became ready.
#[test]
fn processes_that_never_got_ready_count_as_the_slowest() {
    let times = |n: u32| (1..=n).rev().map(f64::from).collect::<Vec<_>>();
    let all = Readiness::from_times(times(10), 0);
    assert_eq!((all.p50_s, all.p90_s, all.most_s), (Some(5.0), Some(9.0), Some(10.0)));
    let one_not = Readiness::from_times(times(9), 1);
    assert_eq!((one_not.ready, one_not.unready), (9, 1));
    assert_eq!((one_not.p50_s, one_not.p90_s, one_not.most_s), (Some(5.0), Some(9.0), None));
    let two_not = Readiness::from_times(times(8), 2);
    assert_eq!((two_not.p90_s, two_not.most_s), (None, None));
    assert_eq!(Readiness::from_times(Vec::new(), 0), Readiness::default());
}
