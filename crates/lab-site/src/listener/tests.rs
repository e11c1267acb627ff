use super::*;
use tokio::time::timeout;

/// Danger: a machine that refuses is told apart at once; only one that says nothing shows what silence costs.
#[tokio::test(flavor = "current_thread")]
async fn a_listener_refuses_then_accepts_then_stays_silent() {
    let mut listener = MemberListener::new().expect("a listener");
    let refused = TcpStream::connect(listener.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
    listener.set_process(ProcessState::Up).await.expect("open");
    let (near, _far) = tokio::join!(TcpStream::connect(listener.addr), listener.accept());
    near.expect("connected");
    listener.set_process(ProcessState::Silent).await.expect("silent");
    let connecting = timeout(Duration::from_millis(150), TcpStream::connect(listener.addr)).await;
    assert!(connecting.is_err(), "neither refused nor up");
    listener.set_process(ProcessState::Down).await.expect("down");
    let refused = TcpStream::connect(listener.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
}
