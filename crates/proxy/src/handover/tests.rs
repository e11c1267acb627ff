use super::*;
use std::net::TcpStream;

#[test]
fn only_a_socket_that_listens_at_the_expected_address_will_do() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let addr = listener.local_addr().expect("an address");
    let other = SocketAddr::new(addr.ip(), addr.port() ^ 1);
    let copy = || OwnedFd::from(listener.try_clone().expect("a copy"));
    assert!(listening(copy(), other).is_err_and(|e| e.to_string().contains("not at")));
    let stream = TcpStream::connect(addr).expect("connected");
    assert!(listening(stream.into(), addr).is_err_and(|e| e.to_string().contains("does not listen")));
    assert!(listening(copy(), addr).is_ok());
}
