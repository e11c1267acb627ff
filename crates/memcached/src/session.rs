//! The server's side of one connection, without I/O or clock: it takes bytes and times, and returns requests
//! and responses.
//!
//! The driver reads while [`Session::wants_input`] is true, handles each [`Event`], passes each response back
//! with the number of its request, and writes what [`Session::next_output`] returns. Responses are written in
//! the order of the requests, in whatever order the driver passes them.

mod types;

pub use types::{Event, Nanos, Output, Response, SessionConfig, Timeout};

use crate::decode::InvalidRequest;
use crate::response_queue::{RequestNumber, ResponseQueue};
use crate::{encode, sasl, semantics, Decoder, Direction, Header, Opcode, Part, ProtocolError, Status};
use bytes::{Bytes, BytesMut};

/// Maximum length of credentials, in bytes; more of an authentication request is ignored.
const MAX_CREDENTIALS_BYTES: usize = 1024;

/// How the packet that is being received is handled.
enum Incoming {
    /// No packet is being received.
    Nothing,
    /// A request for the driver.
    Request(RequestNumber),
    /// An authentication request, and the part of its value that has arrived.
    Authentication(RequestNumber, Header, BytesMut),
    /// A request that already has its response; the rest of it is ignored.
    Answered,
}

/// The server's side of one connection.
pub struct Session<B> {
    config: SessionConfig,
    decoder: Decoder,
    responses: ResponseQueue<Output<B>>,
    incoming: Incoming,
    authenticated: bool,
    /// No more requests are read: the client quit or ended its input, a protocol error occurred, or the
    /// server shuts down.
    closing: bool,
    /// Start of the timeout for the incomplete packet, if there is one: when its first byte, its header or the
    /// last part of its value arrived.
    incomplete_since: Option<Nanos>,
    /// When a part of a packet was last decoded, or output last returned.
    last_active: Nanos,
}

impl<B> Session<B> {
    /// Creates the session of a connection that has just been accepted.
    pub fn new(now: Nanos, config: SessionConfig) -> Self {
        Session {
            decoder: Decoder::new(Direction::Request, config.limits),
            responses: ResponseQueue::new(config.queue),
            incoming: Incoming::Nothing,
            authenticated: !config.require_authentication,
            closing: false,
            incomplete_since: None,
            last_active: now,
            config,
        }
    }

    /// Whether the driver should read from the connection. Reading without capacity would buffer without
    /// bound what a client sends faster than it gets responses.
    pub fn wants_input(&self) -> bool {
        self.decoder.in_packet() || !self.closing && self.responses.has_capacity()
    }

    /// Number of requests whose response is pending, or waits for an earlier one.
    pub fn in_flight(&self) -> usize {
        self.responses.len()
    }

    /// Whether the connection can be closed, once all output has been written.
    pub fn is_finished(&self) -> bool {
        self.closing && self.responses.is_empty() && matches!(self.incoming, Incoming::Nothing)
    }

    /// Starts a graceful shutdown: no more requests are read, except that one of which the header has arrived
    /// is read to its end and gets its response.
    pub fn drain(&mut self) {
        self.closing = true;
    }

    /// Handles the end of the client's input. Complete requests still get their responses; an incomplete one
    /// is returned, and must not be executed.
    pub fn input_ended(&mut self) -> Option<RequestNumber> {
        self.closing = true;
        self.incomplete_since = None;
        match std::mem::replace(&mut self.incoming, Incoming::Nothing) {
            Incoming::Request(request) => {
                self.responses.suppress(request);
                Some(request)
            }
            Incoming::Authentication(request, ..) => {
                self.responses.suppress(request);
                None
            }
            Incoming::Nothing | Incoming::Answered => None,
        }
    }

    /// Returns why the connection has to be closed, if a timeout has expired.
    pub fn timed_out(&self, now: Nanos) -> Option<Timeout> {
        let limit =
            if self.decoder.in_packet() { self.config.value_timeout } else { self.config.header_timeout };
        if self.incomplete_since.is_some_and(|since| now.saturating_sub(since) > limit) {
            return Some(Timeout::Incomplete);
        }
        let idle = now.saturating_sub(self.last_active) > self.config.idle_timeout;
        (self.responses.is_empty() && idle).then_some(Timeout::Idle)
    }

    /// Decodes the next event from the front of `buffer`. Returns `None` if more input is needed, if responses
    /// have to be written first, or if no more requests are read.
    pub fn next_event(&mut self, now: Nanos, buffer: &mut BytesMut) -> Option<Event> {
        loop {
            if !self.decoder.in_packet() && (self.closing || !self.responses.has_capacity()) {
                // The server's lack of capacity delays the packet, not the client, so its timeout does not
                // run.
                self.incomplete_since = None;
                return None;
            }
            match self.decoder.next(buffer) {
                Ok(Some(part)) => {
                    self.last_active = now;
                    // Restarts only when a part is complete: if each byte restarted the timeout, a header
                    // could take forever.
                    self.incomplete_since = self.decoder.in_packet().then_some(now);
                    if let Some(event) = self.handle_part(part) {
                        return Some(event);
                    }
                }
                Ok(None) => {
                    let incomplete = self.decoder.in_packet() || !buffer.is_empty();
                    self.incomplete_since =
                        if incomplete { self.incomplete_since.or(Some(now)) } else { None };
                    return None;
                }
                Err(error) => {
                    self.end_with(error);
                    self.incomplete_since = None;
                    return None;
                }
            }
        }
    }

    fn handle_part(&mut self, part: Part) -> Option<Event> {
        match part {
            Part::Header(header) => self.handle_header(header),
            Part::Invalid(header, invalid) => {
                let unknown = invalid == InvalidRequest::UnknownOpcode;
                self.respond_now(&header, if unknown { Status::Unknown } else { Status::Invalid });
                None
            }
            Part::Value(value) => match &mut self.incoming {
                Incoming::Request(request) => Some(Event::Value(*request, value)),
                Incoming::Authentication(_, _, collected) => {
                    let accepted = MAX_CREDENTIALS_BYTES.saturating_sub(collected.len()).min(value.len());
                    collected.extend_from_slice(&value[..accepted]);
                    None
                }
                Incoming::Nothing | Incoming::Answered => None,
            },
            Part::End => match std::mem::replace(&mut self.incoming, Incoming::Nothing) {
                Incoming::Request(request) => Some(Event::RequestComplete(request)),
                Incoming::Authentication(request, header, value) => {
                    Some(Event::Authenticate { request, header, value: value.freeze() })
                }
                Incoming::Nothing | Incoming::Answered => None,
            },
        }
    }

    fn handle_header(&mut self, header: Header) -> Option<Event> {
        // The decoder returns unknown operations as invalid requests.
        let opcode = header.operation()?;
        match opcode.without_quiet() {
            Opcode::Noop => self.respond_now(&header, Status::Ok),
            Opcode::Version => self.respond_with_text(&header, env!("CARGO_PKG_VERSION").as_bytes()),
            Opcode::SaslList => self.respond_with_text(&header, sasl::PLAIN_MECHANISM),
            Opcode::Quit => {
                self.respond_now(&header, Status::Ok);
                self.closing = true;
            }
            Opcode::SaslAuth if &header.key[..] == sasl::PLAIN_MECHANISM => {
                let request = self.responses.push_request();
                self.incoming = Incoming::Authentication(request, header, BytesMut::new());
            }
            Opcode::SaslAuth | Opcode::SaslStep => self.respond_now(&header, Status::AuthError),
            _ if !self.authenticated => self.respond_now(&header, Status::AuthError),
            // The list of statistics is empty; a packet without a key ends it.
            Opcode::Stat => self.respond_with_text(&header, b""),
            // A single client must not be able to flush the shared cache.
            Opcode::Flush | Opcode::Verbosity => self.respond_now(&header, Status::NotSupported),
            _ => {
                let request = self.responses.push_request();
                self.incoming = Incoming::Request(request);
                // A slice would keep the whole read block alive for as long as the request is in flight.
                let key = Bytes::copy_from_slice(&header.key);
                return Some(Event::Request { request, header: Header { key, ..header } });
            }
        }
        None
    }

    /// Responds without the driver; the rest of the request is ignored.
    fn respond_now(&mut self, header: &Header, status: Status) {
        let request = self.responses.push_request();
        self.respond(request, header, Response::of_status(status));
        self.incoming = Incoming::Answered;
    }

    /// Responds with a text without the driver; the rest of the request is ignored.
    fn respond_with_text(&mut self, header: &Header, text: &[u8]) {
        let request = self.responses.push_request();
        let bytes = packet(&Header::response_to(header, Status::Ok), text);
        self.responses.respond(request, Output { bytes, value: None }, text.len());
        self.incoming = Incoming::Answered;
    }

    /// Takes the result of the driver's check of credentials. `header` is that of the event.
    pub fn credentials_checked(&mut self, request: RequestNumber, header: &Header, valid: bool) {
        self.authenticated |= valid;
        let status = if valid { Status::Ok } else { Status::AuthError };
        self.respond(request, header, Response::of_status(status));
    }

    /// Takes the response to a request. `header` is that of the event. Returns false if the request has
    /// already ended.
    pub fn respond(&mut self, request: RequestNumber, header: &Header, response: Response<B>) -> bool {
        let opcode = header.operation().unwrap_or(Opcode::Noop);
        if !semantics::has_response(opcode, response.status) {
            return self.responses.suppress(request);
        }
        let with_key = response.status == Status::Ok && opcode.returns_key();
        let key = if with_key { header.key.clone() } else { Bytes::new() };
        let Response { status, extras, cas, value, buffered } = response;
        let response = Header { extras, cas, key, ..Header::response_to(header, status) };
        let Some((length, value)) = value else {
            let bytes = packet(&response, status.text().as_bytes());
            return self.responses.respond(request, Output { bytes, value: None }, buffered);
        };
        let mut bytes = BytesMut::new();
        let response = Header { value_len: length, ..response };
        if encode::header(Direction::Response, &response, &mut bytes).is_err() {
            let bytes = packet(&Header::response_to(header, Status::Internal), b"");
            return self.responses.respond(request, Output { bytes, value: None }, 0);
        }
        let output = Output { bytes: bytes.freeze(), value: Some(value) };
        self.responses.respond(request, output, buffered)
    }

    /// Returns the next output to write, if the next response in order is available.
    pub fn next_output(&mut self, now: Nanos) -> Option<Output<B>> {
        let output = self.responses.pop_ready();
        if output.is_some() {
            self.last_active = now;
        }
        output
    }

    /// Ends the connection after a protocol error: adds a last response, after those to the earlier requests,
    /// if the protocol has one for this error.
    fn end_with(&mut self, error: ProtocolError) {
        if std::mem::replace(&mut self.closing, true) {
            return;
        }
        self.incoming = Incoming::Nothing;
        let noop = Header::request(Opcode::Noop);
        let with_status = |header: &Header, status: Status| {
            packet(&Header::response_to(header, status), status.text().as_bytes())
        };
        let bytes = match error {
            ProtocolError::TextProtocol => Bytes::from(format!("ERROR {error}\r\n")),
            ProtocolError::ValueTooLarge { opaque, opcode, .. } => {
                with_status(&Header { opcode, opaque, ..noop }, Status::TooLarge)
            }
            ProtocolError::InconsistentLengths { .. } => with_status(&noop, Status::Invalid),
            ProtocolError::UnknownMagic(_) | ProtocolError::InvalidResponse => return,
        };
        let request = self.responses.push_request();
        self.responses.respond(request, Output { bytes, value: None }, 0);
    }
}

/// Encodes a complete response.
fn packet(header: &Header, value: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    // This can't fail: keys come from decoded packets and the texts are short.
    let _ = encode::packet(Direction::Response, header, value, &mut bytes);
    bytes.freeze()
}

#[cfg(test)]
mod tests;
