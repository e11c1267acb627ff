//! A server's side of one connection, without I/O or clock: bytes and times go in, requests and answers come out.
//!
//! Whoever drives it reads while [`Session::wants`] says so, does what each [`Step`] says, gives answers back by their
//! place, and writes what [`Session::write`] hands out. Answers keep the order of requests, however they come in.

use crate::decode::Bad;
use crate::order::{Bounds, Order, Place};
use crate::{encode, meaning, sasl, Decoder, Extras, Fault, Head, Limits, Opcode, Part, Side, Status};
use bytes::{Bytes, BytesMut};

/// Nanoseconds from any fixed point.
pub type Nanos = u64;

const SECOND: Nanos = 1_000_000_000;
/// The longest value of an authentication that is gathered, in bytes.
const LOGIN_MOST: usize = 1024;

/// What a connection may do.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The longest key and value.
    pub limits: Limits,
    /// What may be open and what may wait.
    pub bounds: Bounds,
    /// Nothing but showing who it is, before a client has.
    pub login: bool,
    /// A packet that has begun comes whole within this time, but for its value.
    pub head_within: Nanos,
    /// Something more of a value comes within this time.
    pub value_within: Nanos,
    /// A connection on which nothing is open ends after so long.
    pub idle_most: Nanos,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            limits: Limits::default(),
            bounds: Bounds { requests: 1024, bytes: 1 << 20 },
            login: false,
            head_within: 3 * SECOND,
            value_within: 10 * SECOND,
            idle_most: 60 * SECOND,
        }
    }
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A request for the core. Its value, if it has one, follows in parts, and then its end.
    Ask {
        /// Where its answer goes.
        place: Place,
        /// What is asked. The key is a copy of its own.
        head: Head,
    },
    /// A part of the value of a request.
    Value(Place, Bytes),
    /// A request has come whole.
    Whole(Place),
    /// A client shows who it is: see to it, then call [`Session::shown`].
    Login {
        /// Where its answer goes.
        place: Place,
        /// What is asked.
        head: Head,
        /// Of the PLAIN mechanism; [`sasl::plain`] reads it.
        value: Bytes,
    },
}

/// An answer of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<B> {
    /// What became of the request.
    pub status: Status,
    /// Flags of a value.
    pub extras: Extras,
    /// The version of a value.
    pub cas: u64,
    /// The value: its length in bytes, and where it comes from. None: the words of the status.
    pub value: Option<(usize, B)>,
    /// Bytes of it that are held in memory while it waits.
    pub held: usize,
}

impl<B> Reply<B> {
    /// An answer without a value.
    pub fn plain(status: Status) -> Self {
        Reply { status, extras: Extras::None, cas: 0, value: None, held: 0 }
    }
}

/// Bytes to be written, and a value to be written behind them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out<B> {
    /// Of the head, or a whole packet.
    pub bytes: Bytes,
    /// The value that follows.
    pub value: Option<B>,
}

/// Why a connection is to be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// A head or a value stopped halfway.
    Halfway,
    /// Nothing was asked for long.
    Idle,
}

/// What the packet that comes is for.
enum Coming {
    Nothing,
    Asked(Place),
    Login(Place, Head, BytesMut),
    /// It has its answer; the rest of it is passed over.
    Answered,
}

/// A server's side of one connection.
pub struct Session<B> {
    rules: Rules,
    decoder: Decoder,
    order: Order<Out<B>>,
    coming: Coming,
    shown: bool,
    /// No more requests are read: the client is done, or said what can't be read, or this side drains.
    closing: bool,
    /// When something last came of a packet that is not whole, if one is not.
    halfway: Option<Nanos>,
    /// When it was last busy.
    busy_at: Nanos,
}

impl<B> Session<B> {
    /// A connection that has just come.
    pub fn new(now: Nanos, rules: Rules) -> Self {
        Session {
            decoder: Decoder::new(Side::Request, rules.limits),
            order: Order::new(rules.bounds),
            coming: Coming::Nothing,
            shown: !rules.login,
            closing: false,
            halfway: None,
            busy_at: now,
            rules,
        }
    }

    /// Whether more is to be read. Danger: to read on without room keeps what a client sends faster than it is answered.
    pub fn wants(&self) -> bool {
        self.decoder.within() || !self.closing && self.order.has_room()
    }

    /// Requests that lack their answer or whose answer waits.
    pub fn open(&self) -> usize {
        self.order.len()
    }

    /// Whether all is done and the connection is to be closed, once all that was handed out is written.
    pub fn over(&self) -> bool {
        self.closing && self.order.is_empty() && matches!(self.coming, Coming::Nothing)
    }

    /// No more requests are read: this side drains. What has begun to come is read to its end and answered.
    pub fn drain(&mut self) {
        self.closing = true;
    }

    /// The client sends no more. What came whole is answered; what did not is returned, and has not run.
    pub fn ended(&mut self) -> Option<Place> {
        self.closing = true;
        self.halfway = None;
        match std::mem::replace(&mut self.coming, Coming::Nothing) {
            Coming::Asked(place) => {
                self.order.silence(place);
                Some(place)
            }
            Coming::Login(place, ..) => {
                self.order.silence(place);
                None
            }
            Coming::Nothing | Coming::Answered => None,
        }
    }

    /// Whether it is to be ended for what it does not do.
    pub fn overdue(&self, now: Nanos) -> Option<Overdue> {
        let within = if self.decoder.within() { self.rules.value_within } else { self.rules.head_within };
        if self.halfway.is_some_and(|since| now.saturating_sub(since) > within) {
            return Some(Overdue::Halfway);
        }
        let idle = self.order.is_empty() && now.saturating_sub(self.busy_at) > self.rules.idle_most;
        idle.then_some(Overdue::Idle)
    }

    /// What is to be done next about what has come; none: more has to come, or room has to be made first.
    pub fn read(&mut self, now: Nanos, came: &mut BytesMut) -> Option<Step> {
        loop {
            if !self.decoder.within() && (self.closing || !self.order.has_room()) {
                // Nobody is late here but this side.
                self.halfway = None;
                return None;
            }
            match self.decoder.next(came) {
                Ok(Some(part)) => {
                    self.busy_at = now;
                    // Danger: a clock that begins anew with each byte would let a head take for ever.
                    self.halfway = self.decoder.within().then_some(now);
                    if let Some(step) = self.part(part) {
                        return Some(step);
                    }
                }
                Ok(None) => {
                    let begun = self.decoder.within() || !came.is_empty();
                    self.halfway = if begun { self.halfway.or(Some(now)) } else { None };
                    return None;
                }
                Err(fault) => {
                    self.parting(fault);
                    self.halfway = None;
                    return None;
                }
            }
        }
    }

    fn part(&mut self, part: Part) -> Option<Step> {
        match part {
            Part::Head(head) => self.head(head),
            Part::Bad(head, bad) => {
                let status = if bad == Bad::Unknown { Status::Unknown } else { Status::Invalid };
                self.here(&head, Reply::plain(status));
                None
            }
            Part::Value(value) => match &mut self.coming {
                Coming::Asked(place) => Some(Step::Value(*place, value)),
                Coming::Login(_, _, all) => {
                    let room = LOGIN_MOST.saturating_sub(all.len()).min(value.len());
                    all.extend_from_slice(&value[..room]);
                    None
                }
                Coming::Nothing | Coming::Answered => None,
            },
            Part::End => match std::mem::replace(&mut self.coming, Coming::Nothing) {
                Coming::Asked(place) => Some(Step::Whole(place)),
                Coming::Login(place, head, value) => Some(Step::Login { place, head, value: value.freeze() }),
                Coming::Nothing | Coming::Answered => None,
            },
        }
    }

    fn head(&mut self, head: Head) -> Option<Step> {
        // The decoder lets no other through.
        let opcode = head.operation()?;
        match opcode.loud() {
            Opcode::Noop => self.here(&head, Reply::plain(Status::Ok)),
            Opcode::Version => self.words(&head, Bytes::from_static(env!("CARGO_PKG_VERSION").as_bytes())),
            Opcode::SaslList => self.words(&head, Bytes::from_static(sasl::PLAIN)),
            Opcode::Quit => {
                self.here(&head, Reply::plain(Status::Ok));
                self.closing = true;
            }
            Opcode::SaslAuth if &head.key[..] == sasl::PLAIN => {
                let place = self.order.open();
                self.coming = Coming::Login(place, head, BytesMut::new());
            }
            Opcode::SaslAuth | Opcode::SaslStep => self.here(&head, Reply::plain(Status::AuthError)),
            _ if !self.shown => self.here(&head, Reply::plain(Status::AuthError)),
            // A stream of figures, of which there are none, ends with a packet without a key.
            Opcode::Stat => self.words(&head, Bytes::new()),
            // One client's word must not empty what all share.
            Opcode::Flush | Opcode::Verbosity => self.here(&head, Reply::plain(Status::NotSupported)),
            _ => {
                let place = self.order.open();
                self.coming = Coming::Asked(place);
                // Danger: a slice would keep the whole block that it was read into for as long as the request is open.
                let key = Bytes::copy_from_slice(&head.key);
                return Some(Step::Ask { place, head: Head { key, ..head } });
            }
        }
        None
    }

    /// Answers here; what still comes of the request is passed over.
    fn here(&mut self, head: &Head, reply: Reply<B>) {
        let place = self.order.open();
        self.answer(place, head, reply);
        self.coming = Coming::Answered;
    }

    /// Answers here with a text.
    fn words(&mut self, head: &Head, text: Bytes) {
        let place = self.order.open();
        let bytes = packet(&Head::answer_to(head, Status::Ok), &text);
        self.order.answer(place, Out { bytes, value: None }, text.len());
        self.coming = Coming::Answered;
    }

    /// Whether a client is who it says. `head` is that of the step.
    pub fn shown(&mut self, place: Place, head: &Head, right: bool) {
        self.shown |= right;
        let status = if right { Status::Ok } else { Status::AuthError };
        self.answer(place, head, Reply::plain(status));
    }

    /// The answer to a request has come. `head` is that of the step. False if it had one before.
    pub fn answer(&mut self, place: Place, head: &Head, reply: Reply<B>) -> bool {
        let opcode = head.operation().unwrap_or(Opcode::Noop);
        if !meaning::answered(opcode, reply.status) {
            return self.order.silence(place);
        }
        let found = reply.status == Status::Ok;
        let key = if found && opcode.answers_with_key() { head.key.clone() } else { Bytes::new() };
        let Reply { status, extras, cas, value, held } = reply;
        let answer = Head { extras, cas, key, ..Head::answer_to(head, status) };
        let out = match value {
            Some((length, value)) => {
                let mut bytes = BytesMut::new();
                let answer = Head { value: length, ..answer };
                if encode::head(Side::Answer, &answer, &mut bytes).is_err() {
                    return self.order.answer(
                        place,
                        Out { bytes: packet(&Head::answer_to(head, Status::Internal), b""), value: None },
                        0,
                    );
                }
                Out { bytes: bytes.freeze(), value: Some(value) }
            }
            None => Out { bytes: packet(&answer, status.text().as_bytes()), value: None },
        };
        self.order.answer(place, out, held)
    }

    /// What is to be written next.
    pub fn write(&mut self, now: Nanos) -> Option<Out<B>> {
        let out = self.order.release();
        if out.is_some() {
            self.busy_at = now;
        }
        out
    }

    /// The last word on a connection from which nothing more can be read, behind the answers to what came before.
    fn parting(&mut self, fault: Fault) {
        if std::mem::replace(&mut self.closing, true) {
            return;
        }
        self.coming = Coming::Nothing;
        let noop = Head::request(Opcode::Noop);
        let bytes = match fault {
            Fault::Text => Bytes::from(format!("ERROR {fault}\r\n")),
            Fault::Large { opaque, opcode, .. } => {
                let head = Head { opcode, opaque, ..noop };
                packet(&Head::answer_to(&head, Status::TooLarge), Status::TooLarge.text().as_bytes())
            }
            Fault::Lengths { .. } => {
                packet(&Head::answer_to(&noop, Status::Invalid), Status::Invalid.text().as_bytes())
            }
            Fault::Magic(_) | Fault::Answer => return,
        };
        let place = self.order.open();
        self.order.answer(place, Out { bytes, value: None }, 0);
    }
}

/// A whole answer.
fn packet(head: &Head, value: &[u8]) -> Bytes {
    let mut bytes = BytesMut::new();
    // Keys come from packets and words are short, so that the format has room for them.
    let _ = encode::packet(Side::Answer, head, value, &mut bytes);
    bytes.freeze()
}

#[cfg(test)]
mod tests;
