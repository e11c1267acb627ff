//! One HTTP/1.1 connection, of a client or a server: exact about when bytes came and went, strict, and able to stop
//! anywhere in a message. Heads are parsed by httparse.

use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A head is at most this long, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Headers in a head.
const MAX_HEADERS: usize = 64;
/// Read at a time.
const READ_SIZE: usize = 16 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends.
    Close,
}

/// A request's head, as far as a site uses it.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `X-Correlation-Id`.
    pub correlation_id: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The body's framing.
    pub framing: Framing,
}

/// A response's head, as far as a client uses it.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The body's framing.
    pub framing: Framing,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// How slowly a peer reads: this many bytes, then a pause.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace(pub usize, pub Duration);

/// A connection.
pub struct HttpConnection {
    /// The stream; the owner may shut it down.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the message that is being read came.
    pub first_byte_at: Instant,
    /// How slowly it is read; as it comes if none.
    pub read_pace: Option<ReadPace>,
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
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
                trimmed_text(length).and_then(|l| l.parse().ok()).ok_or(invalid("bad Content-Length"))?;
            Ok(Framing::Length(length))
        }
        (None, Some(_)) => Ok(Framing::Chunked),
        (None, None) => Ok(none),
    }
}

impl HttpConnection {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new(), first_byte_at: Instant::now(), read_pace: None }
    }

    /// Reads more; 0 at the peer's end.
    async fn fill_buffer(&mut self) -> io::Result<usize> {
        let part = match self.read_pace {
            Some(ReadPace(part, pause)) => {
                tokio::time::sleep(pause).await;
                part
            }
            None => READ_SIZE,
        };
        if self.buffer.is_empty() {
            self.stream.readable().await?;
            self.first_byte_at = Instant::now();
        }
        self.buffer.reserve(part);
        let mut limited = (&mut self.stream).take(part as u64);
        limited.read_buf(&mut self.buffer).await
    }

    /// Whether something has come that was not read, or the peer has ended.
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

    /// Whether bytes are held that nothing has asked for.
    pub fn has_buffered_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns once the peer has ended its sending or reset the connection; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() > MAX_HEAD_BYTES {
                // Danger: a peer that sends on without end must not fill memory; it is read no further.
                std::future::pending::<()>().await;
            }
            match self.fill_buffer().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads a head with `parse`, which says how long it is; none at the peer's end between messages.
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
                    return Err(invalid("the head does not end"));
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
    /// If the connection breaks, or what comes is no request.
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

    /// Reads an answer's head; interim ones are passed over.
    ///
    /// # Errors
    /// If the connection breaks, or what comes is no answer.
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

    /// Reads a body, each part of it into `sink`.
    ///
    /// # Errors
    /// If it does not come whole.
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
                let size = u64::from_str_radix(size, 16).map_err(|_| invalid("bad chunk"))?;
                self.read_exactly(size, &mut sink).await?;
                if size == 0 {
                    // Trailers, up to the empty line.
                    while !self.read_line().await?.is_empty() {}
                    return Ok(());
                }
                if !self.read_line().await?.is_empty() {
                    return Err(invalid("bad end of chunk"));
                }
            },
        }
    }

    async fn read_exactly(&mut self, mut left: u64, sink: &mut impl FnMut(&[u8])) -> io::Result<()> {
        while left > 0 {
            if self.buffer.is_empty() && self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = self.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
            sink(&self.buffer[..n]);
            self.buffer.drain(..n);
            left -= n as u64;
        }
        Ok(())
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = trimmed_text(&self.buffer[..end]).ok_or(invalid("bad line"))?;
                self.buffer.drain(..=end);
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("a line does not end"));
            }
            if self.fill_buffer().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes all of it.
    ///
    /// # Errors
    /// If the connection breaks first.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Closes with a reset instead of an orderly end.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
