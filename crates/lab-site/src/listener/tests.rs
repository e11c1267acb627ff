use super::*;
use tokio::time::timeout;

/// Guards against a silent machine that refuses connections: proxies would detect it at once, and no trial would
/// measure the cost of connection attempts that time out.
#[tokio::test(flavor = "current_thread")]
async fn a_listener_refuses_then_accepts_then_stays_silent() {
    let mut listener = MemberListener::new().expect("a listener");
    let refused = TcpStream::connect(listener.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
    listener.set_process(ProcessState::Up).await.expect("open");
    let (client, _server) = tokio::join!(TcpStream::connect(listener.addr), listener.accept());
    client.expect("connected");
    listener.set_process(ProcessState::Silent).await.expect("silent");
    let connecting = timeout(Duration::from_millis(150), TcpStream::connect(listener.addr)).await;
    assert!(connecting.is_err(), "the connection is neither refused nor established");
    listener.set_process(ProcessState::Down).await.expect("down");
    let refused = TcpStream::connect(listener.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
}
