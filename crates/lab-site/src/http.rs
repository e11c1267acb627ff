//! A strict HTTP/1.1 connection for clients and servers. It records exactly when the first byte of a message arrives,
//! and it can stop at any point of a message. Heads are parsed by httparse.

use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of a head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 64;
/// Maximum number of bytes per read.
const READ_SIZE_BYTES: usize = 16 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body extends to the end of the connection.
    Close,
}

/// The fields of a request's head that a site uses.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of `X-Correlation-Id`.
    pub correlation_id: Option<String>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The body's framing.
    pub framing: Framing,
}

/// The fields of a response's head that a client uses.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The body's framing.
    pub framing: Framing,
    /// Value of `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether the connection closes after the response.
    pub closes: bool,
}

/// Read rate of a slow reader: a pause before each read, and the maximum number of bytes per read.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace(pub usize, pub Duration);

/// One HTTP/1.1 connection.
pub struct HttpConnection {
    /// The underlying stream; the owner may shut it down.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Arrival time of the first byte of the message being read.
    pub first_byte_at: Instant,
    /// Read rate; unlimited if absent.
    pub read_pace: Option<ReadPace>,
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn trimmed_text(value: &[u8]) -> Option<String> {
    std::str::from_utf8(value).ok().map(|v| v.trim().to_owned())
}

fn framing(headers: &[httparse::Header<'_>], none: Framing) -> io::Result<Framing> {
    let header = |name: &str| headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    match (header("content-length"), header("transfer-encoding")) {
        (Some(_), Some(_)) => Err(invalid("both Content-Length and Transfer-Encoding")),
        (Some(length), None) => {
            let length =
                trimmed_text(length).and_then(|l| l.parse().ok()).ok_or(invalid("invalid Content-Length"))?;
            Ok(Framing::Length(length))
        }
        (None, Some(_)) => Ok(Framing::Chunked),
        (None, None) => Ok(none),
    }
}

impl HttpConnection {
    /// Creates a connection on an open stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new(), first_byte_at: Instant::now(), read_pace: None }
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the stream.
    async fn fill_buffer(&mut self) -> io::Result<usize> {
        let part = match self.read_pace {
            Some(ReadPace(part, pause)) => {
                tokio::time::sleep(pause).await;
                part
            }
            None => READ_SIZE_BYTES,
        };
        if self.buffer.is_empty() {
            self.stream.readable().await?;
            self.first_byte_at = Instant::now();
        }
        self.buffer.reserve(part);
        let mut limited = (&mut self.stream).take(part as u64);
        limited.read_buf(&mut self.buffer).await
    }

    /// Whether unread bytes have arrived, or the peer has closed its side of the connection.
    pub fn has_unread_input(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(n) => {
                self.buffer.extend_from_slice(&byte[..n]);
                true
            }
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether the buffer contains bytes beyond the messages read so far.
    pub fn has_buffered_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until the peer has closed its side or reset the connection; bytes received meanwhile are buffered.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() > MAX_HEAD_BYTES {
                // Guards against memory exhaustion by a peer that never stops sending: nothing more is read.
                std::future::pending::<()>().await;
            }
            match self.fill_buffer().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads a head with `parse`, which returns the head and its length; `None` if the stream ends between messages.
    async fn read_head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(usize, T)>>,
    ) -> io::Result<Option<T>> {
        if !self.buffer.is_empty() {
            self.first_byte_at = Instant::now();
        }
        loop {
            if !self.buffer.is_empty() {
                if let Some((length, head)) = parse(&self.buffer)? {
                    self.buffer.drain(..length);
                    return Ok(Some(head));
                }
                if self.buffer.len() > MAX_HEAD_BYTES {
                    return Err(invalid("the head is too long"));
                }
            }
            if self.fill_buffer().await? == 0 {
                let between = self.buffer.is_empty();
                return if between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a request's head.
    ///
    /// # Errors
    /// If the connection fails, or the bytes received are not a valid request.
    pub async fn read_request(&mut self) -> io::Result<Option<RequestHead>> {
        self.read_head(|buffer| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) =
                request.parse(buffer).map_err(|e| invalid(&e.to_string()))?
            else {
                return Ok(None);
            };
            let header = |name: &str| {
                let header = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                header.and_then(|h| trimmed_text(h.value))
            };
            let head = RequestHead {
                method: request.method.unwrap_or("").to_owned(),
                path: request.path.unwrap_or("").to_owned(),
                correlation_id: header("x-correlation-id"),
                idempotency_key: header("idempotency-key"),
                framing: framing(request.headers, Framing::Length(0))?,
            };
            Ok(Some((length, head)))
        })
        .await
    }

    /// Reads a response's head; skips interim (1xx) responses.
    ///
    /// # Errors
    /// If the connection fails, or the bytes received are not a valid response.
    pub async fn read_response(&mut self) -> io::Result<Option<ResponseHead>> {
        loop {
            let head = self.read_head(|buffer| {
                let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response.parse(buffer).map_err(|e| invalid(&e.to_string()))?;
                let httparse::Status::Complete(length) = parsed else { return Ok(None) };
                let header = |name: &str| {
                    let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    header.and_then(|h| trimmed_text(h.value))
                };
                let wait = header("retry-after").and_then(|v| v.parse::<f64>().ok());
                let answered = ResponseHead {
                    status: response.code.unwrap_or(0),
                    framing: framing(response.headers, Framing::Close)?,
                    retry_after: wait.and_then(|s| Duration::try_from_secs_f64(s).ok()),
                    closes: header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
                };
                Ok(Some((length, answered)))
            });
            match head.await? {
                Some(interim) if interim.status < 200 => {}
                head => return Ok(head),
            }
        }
    }

    /// Reads a body and passes each part of it to `sink`.
    ///
    /// # Errors
    /// If the body is incomplete or malformed.
    pub async fn read_body(&mut self, framing: Framing, mut sink: impl FnMut(&[u8])) -> io::Result<()> {
        match framing {
            Framing::Length(length) => self.read_exactly(length, &mut sink).await,
            Framing::Close => loop {
                sink(&self.buffer);
                self.buffer.clear();
                if self.fill_buffer().await? == 0 {
                    return Ok(());
                }
            },
            Framing::Chunked => loop {
                let size = self.read_line().await?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = u64::from_str_radix(size, 16).map_err(|_| invalid("invalid chunk size"))?;
                self.read_exactly(size, &mut sink).await?;
                if size == 0 {
                    // Skips trailers up to the empty line.
                    while !self.read_line().await?.is_empty() {}
                    return Ok(());
                }
                if !self.read_line().await?.is_empty() {
                    return Err(invalid("missing line end after a chunk"));
                }
            },
        }
    }

    async fn read_exactly(&mut self, mut remaining: u64, sink: &mut impl FnMut(&[u8])) -> io::Result<()> {
        while remaining > 0 {
            if self.buffer.is_empty() && self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = self.buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
            sink(&self.buffer[..n]);
            self.buffer.drain(..n);
            remaining -= n as u64;
        }
        Ok(())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = trimmed_text(&self.buffer[..end]).ok_or(invalid("a line is not valid UTF-8"))?;
                self.buffer.drain(..=end);
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("a line is too long"));
            }
            if self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// If the connection fails first.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes the connection with a TCP reset instead of an orderly close.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
