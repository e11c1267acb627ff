use super::*;
use crate::descriptors::DescriptorBudget;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// Guards against an idle connection whose surplus bytes are taken for the answer to the next request. The
/// runtime does not poll its sockets between the write and the check.
#[tokio::test(flavor = "current_thread")]
async fn received_bytes_are_seen_before_the_runtime_polls_the_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (server, _) = listener.accept().await.expect("accepted");
    server.writable().await.expect("writable");
    let socket = Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor"));
    assert!(socket.has_no_input());
    server.try_write(b"surplus").expect("written");
    assert!(!socket.has_no_input());
}

/// Guards against an answer whose last bytes were not written and that looks whole, since its connection is closed in
/// order.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_is_reset_on_close_until_the_last_bytes_are_written() {
    for is_flushed in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let mut client =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
        let (stream, _) = listener.accept().await.expect("accepted");
        let socket = Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor"));
        socket.reset_on_close(true);
        socket.close_in_order_once_flushed();
        let mut io = Io(socket);
        if is_flushed {
            io.flush().await.expect("flushed");
        }
        drop(io);
        let read = client.read(&mut [0; 1]).await;
        match is_flushed {
            true => assert_eq!(read.expect("an orderly end"), 0),
            false => assert_eq!(read.expect_err("a reset").kind(), ErrorKind::ConnectionReset),
        }
    }
}

/// Guards against a request that ran but counts as unwritten, and is sent again, and against one that counts
/// as written but never ran, and fails.
#[tokio::test(flavor = "current_thread")]
async fn a_message_is_fully_written_once_its_last_byte_is_written() {
    const LENGTH: usize = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let client = TcpSocket::new_v4().expect("a socket");
    client.set_send_buffer_size(4096).expect("a small buffer");
    let stream = client.connect(listener.local_addr().expect("an address")).await.expect("connected");
    let (mut server, _) = listener.accept().await.expect("accepted");
    let socket = Socket::new(stream, DescriptorBudget::new(1).try_acquire().expect("a descriptor"));
    let (mut sender, connection) = http1::handshake(TokioIo::new(Io(socket.clone()))).await.expect("up");
    let request = Request::put("/a").body(Full::new(Bytes::from(vec![b'x'; LENGTH]))).expect("a request");
    let exchange = async { tokio::join!(connection, sender.send_request(request)) };
    let mut exchange = std::pin::pin!(exchange);
    // The first byte has arrived, but the kernel's buffers hold only a part of the rest.
    let mut first = [0; 1];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = server.read_exact(&mut first) => { read.expect("read"); }
    }
    assert!(!socket.is_fully_written());
    let mut rest = vec![0; LENGTH];
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = server.read_exact(&mut rest) => { read.expect("read"); }
    }
    // As many bytes as the head has are still unread, so the last byte may not have been written yet.
    let head_length = "PUT /a HTTP/1.1\r\ncontent-length: 1048576\r\n\r\n".len() - 1;
    tokio::select! {
        _ = exchange.as_mut() => panic!("ended"),
        read = server.read_exact(&mut rest[..head_length]) => { read.expect("read"); }
    }
    assert!(socket.is_fully_written());
}
