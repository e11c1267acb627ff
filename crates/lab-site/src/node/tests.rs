use super::*;
use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::Day;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Time within which a connection of a process that went down is reset, even on a heavily loaded machine.
const RESET_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Guards against a request that gets neither a response nor a reset: its node goes down after it has accepted the
/// connection and before it first reads from it.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_accepted_just_before_its_process_goes_down_is_reset() {
    let state = site();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    let (client, server) = tokio::join!(TcpStream::connect(addr), listener.accept());
    let member_handle = Rc::new(MemberHandle {
        addr,
        epochs: watch::Sender::new(ConnectionEpochs::default()),
        process: watch::Sender::new(ProcessState::Up),
    });
    let served = connection(state, 0, server.expect("accepted").0, member_handle.clone());
    member_handle.process.send_replace(ProcessState::Down);
    member_handle.epochs.send_modify(|epochs| epochs.resets += 1);
    timeout(RESET_TIMEOUT, served).await.expect("the connection ends with its process");
    let mut client = HttpConnection::new(client.expect("connected"));
    let read = client.read_response().await;
    assert_eq!(read.expect_err("reset").kind(), io::ErrorKind::ConnectionReset);
}
