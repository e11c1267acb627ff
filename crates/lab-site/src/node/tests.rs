use super::*;
use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::Day;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// A connection of a process that has fallen is reset within this time on the busiest machine.
const RESET_WITHIN: Duration = Duration::from_secs(20);

fn site() -> Rc<SiteState> {
    let day = Day::open("quiet").expect("a built-in day");
    let clock = Clock::start();
    let (restarts, _) = mpsc::channel(1);
    SiteState::new(
        &day,
        clock,
        Recorder::discarding(clock),
        restarts,
        super::super::SiteOptions::default(),
        spawn_member,
    )
}

/// Guards against a request that gets neither an answer nor a reset, since its node fell after it had accepted the
/// connection and before it first read from it.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_accepted_just_before_its_process_falls_is_reset() {
    let state = site();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    let (near, far) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let member_handle = Rc::new(MemberHandle {
        addr,
        epochs: watch::Sender::new(ConnectionEpochs::default()),
        process: watch::Sender::new(ProcessState::Up),
    });
    let served = connection(state, 0, far.expect("accepted").0, member_handle.clone());
    member_handle.process.send_replace(ProcessState::Down);
    member_handle.epochs.send_modify(|epochs| epochs.resets += 1);
    timeout(RESET_WITHIN, served).await.expect("ended with its process");
    let mut near = HttpConnection::new(near.expect("connected"));
    let read = near.read_response().await;
    assert_eq!(read.expect_err("reset").kind(), io::ErrorKind::ConnectionReset);
}
