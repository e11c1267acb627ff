//! Serves a [`Store`] on sockets with memcached's binary protocol.

use super::{Response, Store};
use aniseyoke_memcached::decode::InvalidRequest;
use aniseyoke_memcached::{
    encode, sasl, semantics, Decoder, Direction, Header, Limits, Opcode, Part, ProtocolError, Status,
};
use bytes::{Bytes, BytesMut};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Maximum size of one read, in bytes.
const READ_SIZE: usize = 16 << 10;
/// Responses are buffered up to this size, in bytes, or until the input is exhausted, and then written.
const WRITE_THRESHOLD: usize = 64 << 10;

/// A memcached server for the binary protocol.
pub struct Server {
    store: RefCell<Store>,
    limits: Limits,
    /// Users and their passwords; if empty, clients do not have to authenticate.
    users: BTreeMap<String, String>,
}

/// The state of one connection.
struct Session {
    user: Option<String>,
    out: Vec<u8>,
    /// Whether the connection closes after the buffered responses; no more input is read.
    closing: bool,
}

impl Session {
    fn buffer_response(&mut self, to: &Header, response: &Response) {
        let Response { status, extras, key, value, cas } = response;
        let head =
            Header { extras: *extras, key: key.clone(), cas: *cas, ..Header::response_to(to, *status) };
        // Encoding can't fail: keys come from packets and values are bounded, so that both fit the format.
        let _ = encode::packet(Direction::Response, &head, value, &mut self.out);
    }
}

impl Server {
    /// A server for a store whose values are at most `max_value_bytes` long.
    pub fn new(store: Store, max_value_bytes: usize, users: BTreeMap<String, String>) -> Rc<Self> {
        let limits = Limits { max_value_bytes, ..Limits::default() };
        Rc::new(Server { store: RefCell::new(store), limits, users })
    }

    /// Number of requests that changed stored values.
    pub fn mutations(&self) -> u64 {
        self.store.borrow().mutations()
    }

    /// Accepts and serves connections; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    // An I/O error ends only its own connection and is ignored.
                    tokio::task::spawn_local(async move { server.serve_connection(stream).await });
                }
                // When descriptors run out, accept fails immediately each time; the pause prevents a busy loop.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut decoder = Decoder::new(Direction::Request, self.limits);
        let mut session = Session { user: None, out: Vec::new(), closing: false };
        let (mut input, mut value) = (BytesMut::with_capacity(READ_SIZE), BytesMut::new());
        let mut request: Option<(Header, Option<InvalidRequest>)> = None;
        while !session.closing {
            match decoder.next(&mut input) {
                Ok(Some(Part::Header(head))) => request = Some((head, None)),
                Ok(Some(Part::Invalid(head, invalid))) => request = Some((head, Some(invalid))),
                Ok(Some(Part::Value(part))) => value.extend_from_slice(&part),
                Ok(Some(Part::End)) => {
                    if let Some((head, invalid)) = request.take() {
                        self.apply(&mut session, &head, invalid, value.split().freeze());
                    }
                }
                Ok(None) => {
                    stream.write_all(&session.out).await?;
                    session.out.clear();
                    input.reserve(READ_SIZE);
                    if stream.read_buf(&mut input).await? == 0 {
                        return Ok(());
                    }
                }
                Err(error) => {
                    buffer_final_error(&mut session, error);
                    break;
                }
            }
            if session.out.len() > WRITE_THRESHOLD {
                stream.write_all(&session.out).await?;
                session.out.clear();
            }
        }
        stream.write_all(&session.out).await?;
        stream.shutdown().await
    }

    fn apply(&self, session: &mut Session, head: &Header, invalid: Option<InvalidRequest>, value: Bytes) {
        let (opcode, status) = match (head.operation(), invalid) {
            (Some(opcode), None) => (opcode, None),
            (_, Some(InvalidRequest::UnknownOpcode)) | (None, _) => (Opcode::Noop, Some(Status::Unknown)),
            (Some(opcode), Some(_)) => (opcode, Some(Status::Invalid)),
        };
        let allowed_unauthenticated =
            matches!(opcode, Opcode::SaslList | Opcode::SaslAuth | Opcode::SaslStep | Opcode::Version);
        let unauthenticated = !self.users.is_empty() && session.user.is_none() && !allowed_unauthenticated;
        if let Some(status) = status.or(unauthenticated.then_some(Status::AuthError)) {
            return session.buffer_response(head, &Response::status_only(status));
        }
        match opcode {
            Opcode::SaslList => {
                let value = Bytes::from_static(sasl::PLAIN_MECHANISM);
                session.buffer_response(head, &Response { value, ..Response::ok(0) });
            }
            Opcode::SaslAuth | Opcode::SaslStep => {
                let credentials =
                    sasl::parse_plain(&value).filter(|_| &head.key[..] == sasl::PLAIN_MECHANISM);
                let user = credentials
                    .filter(|p| self.users.get(p.user).is_some_and(|expected| expected == p.password));
                session.user = user.map(|p| p.user.to_owned());
                let authenticated = session.user.is_some() || self.users.is_empty();
                let response = Response { value: Bytes::from_static(b"Authenticated"), ..Response::ok(0) };
                session.buffer_response(
                    head,
                    &if authenticated { response } else { Response::status_only(Status::AuthError) },
                );
            }
            Opcode::Stat => self.stat(session, head),
            _ => {
                let response = self.store.borrow_mut().apply(unix_seconds(), head, value);
                if semantics::has_response(opcode, response.status) {
                    session.buffer_response(head, &response);
                }
                session.closing = opcode.without_quiet() == Opcode::Quit;
            }
        }
    }

    /// Responds to `stat`: one packet for each statistic, then one without a key.
    fn stat(&self, session: &mut Session, head: &Header) {
        let statistics = [("pid", std::process::id().to_string()), ("cmd_ran", self.mutations().to_string())];
        for (name, statistic) in statistics {
            let (key, value) = (Bytes::from_static(name.as_bytes()), Bytes::from(statistic));
            session.buffer_response(head, &Response { key, value, ..Response::ok(0) });
        }
        session.buffer_response(head, &Response::ok(0));
    }
}

/// Buffers the final response on a connection whose input can't be decoded any further.
fn buffer_final_error(session: &mut Session, error: ProtocolError) {
    match error {
        ProtocolError::TextProtocol => session.out.extend_from_slice(format!("ERROR {error}\r\n").as_bytes()),
        ProtocolError::ValueTooLarge { opaque, opcode, .. } => {
            let head = Header { opcode, opaque, ..Header::request(Opcode::Noop) };
            session.buffer_response(&head, &Response::status_only(Status::TooLarge));
        }
        ProtocolError::InconsistentLengths { .. } => {
            session.buffer_response(&Header::request(Opcode::Noop), &Response::status_only(Status::Invalid))
        }
        ProtocolError::UnknownMagic(_) | ProtocolError::InvalidResponse => {}
    }
}

/// Unix time in seconds.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}
