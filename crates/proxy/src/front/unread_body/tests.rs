use super::*;
use crate::descriptors::DescriptorBudget;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Returns the proxy's end of a connection, and the client's.
async fn connection() -> (Rc<Socket>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    client.writable().await.expect("writable");
    (Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor")), client)
}

/// Guards against time limits that start only when the last byte is read.
#[tokio::test(flavor = "current_thread")]
async fn a_body_has_arrived_once_its_last_byte_is_in_the_receive_buffer() {
    for (mut body, text) in
        [(UnreadBody::Length(12), &b"hello, world"[..]), (UnreadBody::chunked(), b"2\r\nab\r\n0\r\n\r\n")]
    {
        let (socket, client) = connection().await;
        let (first, last) = text.split_at(text.len() - 1);
        assert!(!body.has_arrived(&socket));
        client.try_write(first).expect("written");
        assert!(!body.has_arrived(&socket));
        client.try_write(last).expect("written");
        assert!(body.has_arrived(&socket));
    }
}

/// Guards against bytes that are counted twice, as read and as unread.
#[tokio::test(flavor = "current_thread")]
async fn bytes_that_were_read_do_not_count_as_unread() {
    for (mut body, text) in
        [(UnreadBody::Length(12), &b"hello, world"[..]), (UnreadBody::chunked(), b"2\r\nab\r\n0\r\n\r\n")]
    {
        let (socket, client) = connection().await;
        let (read, rest) = text.split_at(4);
        body.read(read);
        client.try_write(&rest[..rest.len() - 1]).expect("written");
        assert!(!body.has_arrived(&socket));
        body.read(&rest[..rest.len() - 1]);
        assert!(!body.has_arrived(&connection().await.0));
        body.read(&rest[rest.len() - 1..]);
        assert!(body.has_arrived(&socket));
    }
}
