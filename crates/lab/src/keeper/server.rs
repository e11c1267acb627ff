//! A keeper on a socket: a memcached server for the binary protocol, as far as clients see one.

use super::{Keeper, Said};
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

/// What is read at once, in bytes.
const READ: usize = 16 << 10;
/// Answers are written once so much of them waits, or nothing more has come, in bytes.
const WRITE: usize = 64 << 10;

/// A keeper that clients connect to.
pub struct Server {
    keeper: RefCell<Keeper>,
    limits: Limits,
    /// Users and their passwords; where there are none, nobody has to show who they are.
    users: BTreeMap<String, String>,
}

/// What one connection has shown and sent.
struct Session {
    user: Option<String>,
    out: Vec<u8>,
    /// Nothing more is read.
    over: bool,
}

impl Session {
    fn answer(&mut self, to: &Header, said: &Said) {
        let Said { status, extras, key, value, cas } = said;
        let head =
            Header { extras: *extras, key: key.clone(), cas: *cas, ..Header::response_to(to, *status) };
        // Keys come from packets and values are bounded, so that the format has room for them.
        let _ = encode::packet(Direction::Response, &head, value, &mut self.out);
    }
}

impl Server {
    /// A server over a keeper whose values are at most so many bytes.
    pub fn new(keeper: Keeper, value_most: usize, users: BTreeMap<String, String>) -> Rc<Self> {
        let limits = Limits { value: value_most, ..Limits::default() };
        Rc::new(Server { keeper: RefCell::new(keeper), limits, users })
    }

    /// Requests that changed something.
    pub fn ran(&self) -> u64 {
        self.keeper.borrow().ran()
    }

    /// Serves, for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    // A connection that breaks is its client's matter.
                    tokio::task::spawn_local(async move { server.connected(stream).await });
                }
                // Danger: without descriptors accept fails at once, and again.
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    async fn connected(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut decoder = Decoder::new(Direction::Request, self.limits);
        let mut session = Session { user: None, out: Vec::new(), over: false };
        let (mut came, mut value) = (BytesMut::with_capacity(READ), BytesMut::new());
        let mut request: Option<(Header, Option<InvalidRequest>)> = None;
        while !session.over {
            match decoder.next(&mut came) {
                Ok(Some(Part::Header(head))) => request = Some((head, None)),
                Ok(Some(Part::Invalid(head, bad))) => request = Some((head, Some(bad))),
                Ok(Some(Part::Value(part))) => value.extend_from_slice(&part),
                Ok(Some(Part::End)) => {
                    if let Some((head, bad)) = request.take() {
                        self.act(&mut session, &head, bad, value.split().freeze());
                    }
                }
                Ok(None) => {
                    stream.write_all(&session.out).await?;
                    session.out.clear();
                    came.reserve(READ);
                    if stream.read_buf(&mut came).await? == 0 {
                        return Ok(());
                    }
                }
                Err(fault) => {
                    parting(&mut session, fault);
                    break;
                }
            }
            if session.out.len() > WRITE {
                stream.write_all(&session.out).await?;
                session.out.clear();
            }
        }
        stream.write_all(&session.out).await?;
        stream.shutdown().await
    }

    fn act(&self, session: &mut Session, head: &Header, bad: Option<InvalidRequest>, value: Bytes) {
        let (opcode, status) = match (head.operation(), bad) {
            (Some(opcode), None) => (opcode, None),
            (_, Some(InvalidRequest::UnknownOpcode)) | (None, _) => (Opcode::Noop, Some(Status::Unknown)),
            (Some(opcode), Some(_)) => (opcode, Some(Status::Invalid)),
        };
        let free = matches!(opcode, Opcode::SaslList | Opcode::SaslAuth | Opcode::SaslStep | Opcode::Version);
        let locked = !self.users.is_empty() && session.user.is_none() && !free;
        if let Some(status) = status.or(locked.then_some(Status::AuthError)) {
            return session.answer(head, &Said::words(status));
        }
        match opcode {
            Opcode::SaslList => {
                let value = Bytes::from_static(sasl::PLAIN_MECHANISM);
                session.answer(head, &Said { value, ..Said::done(0) });
            }
            Opcode::SaslAuth | Opcode::SaslStep => {
                let shown = sasl::parse_plain(&value).filter(|_| &head.key[..] == sasl::PLAIN_MECHANISM);
                let user = shown.filter(|p| self.users.get(p.user).is_some_and(|right| right == p.password));
                session.user = user.map(|p| p.user.to_owned());
                let right = session.user.is_some() || self.users.is_empty();
                let said = Said { value: Bytes::from_static(b"Authenticated"), ..Said::done(0) };
                session.answer(head, &if right { said } else { Said::words(Status::AuthError) });
            }
            Opcode::Stat => self.stat(session, head),
            _ => {
                let said = self.keeper.borrow_mut().act(unix(), head, value);
                if semantics::has_response(opcode, said.status) {
                    session.answer(head, &said);
                }
                session.over = opcode.without_quiet() == Opcode::Quit;
            }
        }
    }

    /// A packet for each figure, and one without a key behind them.
    fn stat(&self, session: &mut Session, head: &Header) {
        let figures = [("pid", std::process::id().to_string()), ("cmd_ran", self.ran().to_string())];
        for (name, figure) in figures {
            let (key, value) = (Bytes::from_static(name.as_bytes()), Bytes::from(figure));
            session.answer(head, &Said { key, value, ..Said::done(0) });
        }
        session.answer(head, &Said::done(0));
    }
}

/// The last word on a connection from which nothing more can be read.
fn parting(session: &mut Session, fault: ProtocolError) {
    match fault {
        ProtocolError::TextProtocol => session.out.extend_from_slice(format!("ERROR {fault}\r\n").as_bytes()),
        ProtocolError::ValueTooLarge { opaque, opcode, .. } => {
            let head = Header { opcode, opaque, ..Header::request(Opcode::Noop) };
            session.answer(&head, &Said::words(Status::TooLarge));
        }
        ProtocolError::InconsistentLengths { .. } => {
            session.answer(&Header::request(Opcode::Noop), &Said::words(Status::Invalid))
        }
        ProtocolError::UnknownMagic(_) | ProtocolError::InvalidResponse => {}
    }
}

/// Unix time in seconds.
fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}
