//! One HTTP/1.1 connection as the laboratory speaks it: exact about when bytes came and went, forgiving in nothing, and
//! able to stop anywhere. Heads are parsed by httparse.

use std::io;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A head is at most this long, in bytes.
const HEAD_MOST: usize = 32 << 10;
/// Headers in a head.
const HEADERS_MOST: usize = 64;
/// Read at a time.
const PART: usize = 16 << 10;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends.
    Close,
}

/// A request's head, as far as a site looks at it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `X-Correlation-Id`.
    pub id: Option<String>,
    /// `Idempotency-Key`.
    pub repeat: Option<String>,
    /// The body's framing.
    pub framing: Framing,
}

/// An answer's head, as far as a client looks at it.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The status.
    pub status: u16,
    /// The body's framing.
    pub framing: Framing,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
    /// The connection is of no further use.
    pub last: bool,
}

/// How slowly a peer reads: so many bytes, then a pause.
#[derive(Clone, Copy, Debug)]
pub struct Pace(pub usize, pub Duration);

/// A connection.
pub struct Wire {
    /// The stream; whoever has the wire may shut it.
    pub stream: TcpStream,
    held: Vec<u8>,
    /// When the first byte came of the message that is being read.
    pub first: Instant,
    /// How slowly it is read.
    pub pace: Option<Pace>,
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

fn text(value: &[u8]) -> Option<String> {
    std::str::from_utf8(value).ok().map(|v| v.trim().to_owned())
}

fn framing(headers: &[httparse::Header<'_>], none: Framing) -> io::Result<Framing> {
    let named = |name: &str| headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
    match (named("content-length"), named("transfer-encoding")) {
        (Some(_), Some(_)) => Err(bad("both Content-Length and Transfer-Encoding")),
        (Some(length), None) => {
            let length = text(length).and_then(|l| l.parse().ok()).ok_or(bad("bad Content-Length"))?;
            Ok(Framing::Length(length))
        }
        (None, Some(_)) => Ok(Framing::Chunked),
        (None, None) => Ok(none),
    }
}

impl Wire {
    /// Takes a stream over.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, held: Vec::new(), first: Instant::now(), pace: None }
    }

    /// Reads more; 0 at the peer's end.
    async fn fill(&mut self) -> io::Result<usize> {
        let part = match self.pace {
            Some(Pace(part, pause)) => {
                tokio::time::sleep(pause).await;
                part
            }
            None => PART,
        };
        if self.held.is_empty() {
            self.stream.readable().await?;
            self.first = Instant::now();
        }
        self.held.reserve(part);
        let mut limited = (&mut self.stream).take(part as u64);
        limited.read_buf(&mut self.held).await
    }

    /// Whether something has come that was not read, or the peer has ended.
    pub fn stirred(&mut self) -> bool {
        if !self.held.is_empty() {
            return true;
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(n) => {
                self.held.extend_from_slice(&byte[..n]);
                true
            }
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether bytes are held that nothing has asked for.
    pub fn surplus(&self) -> bool {
        !self.held.is_empty()
    }

    /// Returns once the peer has ended its sending or reset the connection; what it sends meanwhile is kept.
    pub async fn ended(&mut self) {
        loop {
            if self.held.len() > HEAD_MOST {
                // Danger: a peer that sends on without end must not fill memory; it is read no further.
                std::future::pending::<()>().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads a head with `parse`, which says how long it is; none at the peer's end between messages.
    async fn head<T>(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(usize, T)>>,
    ) -> io::Result<Option<T>> {
        if !self.held.is_empty() {
            self.first = Instant::now();
        }
        loop {
            if !self.held.is_empty() {
                if let Some((length, head)) = parse(&self.held)? {
                    self.held.drain(..length);
                    return Ok(Some(head));
                }
                if self.held.len() > HEAD_MOST {
                    return Err(bad("the head does not end"));
                }
            }
            if self.fill().await? == 0 {
                let between = self.held.is_empty();
                return if between { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a request's head.
    ///
    /// # Errors
    /// If the connection breaks, or what comes is no request.
    pub async fn request(&mut self) -> io::Result<Option<Asked>> {
        self.head(|held| {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
            let mut request = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(length) = request.parse(held).map_err(|e| bad(&e.to_string()))?
            else {
                return Ok(None);
            };
            let named = |name: &str| {
                let header = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                header.and_then(|h| text(h.value))
            };
            let asked = Asked {
                method: request.method.unwrap_or("").to_owned(),
                path: request.path.unwrap_or("").to_owned(),
                id: named("x-correlation-id"),
                repeat: named("idempotency-key"),
                framing: framing(request.headers, Framing::Length(0))?,
            };
            Ok(Some((length, asked)))
        })
        .await
    }

    /// Reads an answer's head; interim ones are passed over.
    ///
    /// # Errors
    /// If the connection breaks, or what comes is no answer.
    pub async fn answer(&mut self) -> io::Result<Option<Answered>> {
        loop {
            let head = self.head(|held| {
                let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response.parse(held).map_err(|e| bad(&e.to_string()))?;
                let httparse::Status::Complete(length) = parsed else { return Ok(None) };
                let named = |name: &str| {
                    let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                    header.and_then(|h| text(h.value))
                };
                let wait = named("retry-after").and_then(|v| v.parse::<f64>().ok());
                let answered = Answered {
                    status: response.code.unwrap_or(0),
                    framing: framing(response.headers, Framing::Close)?,
                    retry_after: wait.and_then(|s| Duration::try_from_secs_f64(s).ok()),
                    last: named("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
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
    pub async fn body(&mut self, framing: Framing, mut sink: impl FnMut(&[u8])) -> io::Result<()> {
        match framing {
            Framing::Length(length) => self.exactly(length, &mut sink).await,
            Framing::Close => loop {
                sink(&self.held);
                self.held.clear();
                if self.fill().await? == 0 {
                    return Ok(());
                }
            },
            Framing::Chunked => loop {
                let size = self.line().await?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = u64::from_str_radix(size, 16).map_err(|_| bad("bad chunk"))?;
                self.exactly(size, &mut sink).await?;
                if size == 0 {
                    // Trailers, up to the empty line.
                    while !self.line().await?.is_empty() {}
                    return Ok(());
                }
                if !self.line().await?.is_empty() {
                    return Err(bad("bad end of chunk"));
                }
            },
        }
    }

    async fn exactly(&mut self, mut left: u64, sink: &mut impl FnMut(&[u8])) -> io::Result<()> {
        while left > 0 {
            if self.held.is_empty() && self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = self.held.len().min(usize::try_from(left).unwrap_or(usize::MAX));
            sink(&self.held[..n]);
            self.held.drain(..n);
            left -= n as u64;
        }
        Ok(())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                let line = text(&self.held[..end]).ok_or(bad("bad line"))?;
                self.held.drain(..=end);
                return Ok(line);
            }
            if self.held.len() > HEAD_MOST {
                return Err(bad("a line does not end"));
            }
            if self.fill().await? == 0 {
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
