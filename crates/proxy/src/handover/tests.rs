use super::*;
use std::net::TcpStream;

#[test]
fn only_a_socket_that_listens_at_the_expected_address_is_taken_over() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("an address");
    let other = SocketAddr::new(address.ip(), address.port() ^ 1);
    let copy = || OwnedFd::from(listener.try_clone().expect("a copy"));
    let error = check_listener(copy(), other).expect_err("another address");
    assert!(matches!(error, ListenerError::OtherAddress { .. }) && error.to_string().contains("not at"));
    let stream = TcpStream::connect(address).expect("connected");
    let error = check_listener(stream.into(), address).expect_err("a stream");
    assert!(matches!(error, ListenerError::NotListening) && error.to_string().contains("does not listen"));
    assert!(check_listener(copy(), address).is_ok());
}
