//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its headers with lower-case names, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
    /// When reading gives up.
    until: Option<Instant>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new(), until: None }
    }

    fn more(&mut self, pause: &dyn Fn()) -> io::Result<usize> {
        pause();
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head. `None`: the peer ended the connection between two messages.
    pub fn read_head(&mut self, pause: &dyn Fn()) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.more(pause)? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
        Ok(Some(Message { start, headers, body: Vec::new() }))
    }

    /// Reads the body that the head announces.
    pub fn read_body(&mut self, message: &mut Message, pause: &dyn Fn()) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            return self.read_chunks(message, pause);
        }
        let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.ahead.len() < length {
            if self.more(pause)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.ahead.drain(..length).collect();
        Ok(())
    }

    fn read_chunks(&mut self, message: &mut Message, pause: &dyn Fn()) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(at) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                if self.more(pause)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.ahead.len() < end + 2 + size + 2 {
                if self.more(pause)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body.extend_from_slice(&self.ahead[end + 2..end + 2 + size]);
            self.ahead.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads an answer; interim answers (1xx) are skipped.
    pub fn read_answer(&mut self) -> io::Result<Message> {
        loop {
            let mut answer = self.read_head(&|| ())?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if (100..200).contains(&answer.status()) {
                continue;
            }
            self.read_body(&mut answer, &|| ())?;
            return Ok(answer);
        }
    }

    /// Reads an answer, at most until `until`. `None`: there was none by then.
    pub fn answer_until(&mut self, until: Instant) -> Option<io::Result<Message>> {
        self.until = Some(until);
        let answer = self.read_answer();
        self.until = None;
        match answer {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => None,
            answer => Some(answer),
        }
    }

    /// Waits; returns early with false as soon as the peer has sent something or closed.
    pub fn nothing_comes_for(&mut self, wait: Duration) -> io::Result<bool> {
        if !self.ahead.is_empty() {
            return Ok(false);
        }
        let until = Instant::now() + wait;
        self.stream.set_nonblocking(true)?;
        let nothing = loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => break false,
            }
            if Instant::now() >= until {
                break true;
            }
            std::thread::sleep(Duration::from_micros(50));
        };
        // The stream is blocking again before the caller writes; the last look is right before that.
        self.stream.set_nonblocking(false)?;
        Ok(nothing && !has_input(&self.stream))
    }

    /// Whether there is anything to read, or the peer has closed.
    pub fn has_input(&self) -> bool {
        has_input(&self.stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Whether there is anything to read, or the peer has closed.
fn has_input(stream: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn recv(fd: i32, buffer: *mut u8, length: usize, flags: i32) -> isize;
    }
    const MSG_PEEK: i32 = 0x02;
    const MSG_DONTWAIT: i32 = 0x40;
    let mut byte = 0;
    // SAFETY: the descriptor is open, and one byte is written at most.
    let read = unsafe { recv(stream.as_raw_fd(), &mut byte, 1, MSG_PEEK | MSG_DONTWAIT) };
    read >= 0 || io::Error::last_os_error().kind() != io::ErrorKind::WouldBlock
}
