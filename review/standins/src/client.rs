//! Clients.

use crate::http::{Connection, Message};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The head of a usual client's request.
pub fn head(method: &str, target: &str, id: &str, time_left: f64, length: Option<usize>) -> String {
    let length = length.map_or(String::new(), |n| format!("Content-Length: {n}\r\n"));
    format!(
        "{method} {target} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
         X-Account: hanbit-main\r\nX-Time-Left: {time_left:.3}\r\n{length}\r\n"
    )
}

pub fn connect(addr: SocketAddr) -> io::Result<Connection> {
    Ok(Connection::new(TcpStream::connect_timeout(&addr, Duration::from_secs(2))?))
}

/// The number of written bytes that the peer's machine has not acknowledged.
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    extern "C" {
        fn ioctl(fd: i32, request: std::ffi::c_ulong, ...) -> i32;
    }
    const SIOCOUTQ: std::ffi::c_ulong = 0x5411;
    let mut bytes: i32 = -1;
    // SAFETY: the descriptor is open, and SIOCOUTQ writes one int.
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut bytes as *mut i32) };
    bytes
}

/// A short description of an answer, for the record.
pub fn describe(answer: &Option<io::Result<Message>>) -> String {
    match answer {
        None => "no answer".to_owned(),
        Some(Ok(message)) => message.start.clone(),
        Some(Err(e)) => format!("connection ended without an answer ({e})"),
    }
}
