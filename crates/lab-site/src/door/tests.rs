use super::*;
use tokio::time::timeout;

/// Danger: a machine that refuses is told apart at once; only one that says nothing shows what silence costs.
#[tokio::test(flavor = "current_thread")]
async fn a_door_refuses_then_takes_then_says_nothing() {
    let mut door = Door::new().expect("a door");
    let refused = TcpStream::connect(door.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
    door.become_(Process::Up).await.expect("open");
    let (near, _far) = tokio::join!(TcpStream::connect(door.addr), door.accept());
    near.expect("connected");
    door.become_(Process::Silent).await.expect("silent");
    let connecting = timeout(Duration::from_millis(150), TcpStream::connect(door.addr)).await;
    assert!(connecting.is_err(), "neither refused nor up");
    door.become_(Process::Down).await.expect("down");
    let refused = TcpStream::connect(door.addr).await;
    assert_eq!(refused.expect_err("refused").kind(), io::ErrorKind::ConnectionRefused);
}
