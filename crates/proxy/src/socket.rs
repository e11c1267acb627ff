//! One TCP stream under hyper: what has been written to it, and whether its peer has gone.

use super::descriptors::Permit;
use super::last_look::{retold, LastLook};
use super::KERNEL_BUFFER;
use aniseyoke_sockets::{passing_shortage, uninterrupted};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Who may have gone is asked so often.
const ASK_EVERY: Duration = Duration::from_millis(40);
/// Who is asked by the answer's first bytes is asked so long after the first time, and then after twice as long each.
const ASK_OLD: Duration = Duration::from_millis(100);
/// With so many bytes unread a peer's window may be shut, and its end waits behind what it could not send.
const CRAMMED: usize = 32 << 10;
/// Unread bytes are counted up to this.
const COUNTED_UNREAD: usize = 4 << 10;
/// Each answer to HTTP/1.0 begins so.
const BEGIN: &[u8] = b"HTTP/1.0 ";
/// So many of these bytes are kept for the moments in which something is about to be sent on.
const KEPT: usize = 4;

/// What may be sent to a peer that waits for an answer.
#[derive(Clone, Copy, PartialEq)]
pub enum Word {
    /// An interim answer.
    Interim,
    /// The first bytes of the answer, one by one: HTTP/1.0 knows no interim ones.
    Begin,
}

/// What is known of a peer that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// It has not ended its sending.
    There,
    /// It may have gone, and was asked; nothing came of that.
    Asked,
    /// It may have gone, and there is nothing left to ask it by.
    Unsure,
    /// It has closed its connection.
    Gone,
}

/// What a look at the kernel alone tells of a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Glance {
    /// It has not ended its sending.
    There,
    /// It may have gone.
    Unsure,
    /// It has closed its connection.
    Gone,
}

/// A peer that waits for an answer, as others may ask after it.
#[derive(Clone)]
pub struct Waiter {
    /// Danger: what is still out for a peer that has gone must not keep its descriptor.
    socket: Weak<Socket>,
    word: Word,
    most: Duration,
}

impl Waiter {
    /// A peer that `word` may be sent to, and whose reaction is waited for so long at most.
    pub fn new(socket: &Rc<Socket>, word: Word, most: Duration) -> Self {
        Waiter { socket: Rc::downgrade(socket), word, most }
    }

    /// Whether it is there now.
    pub async fn presence(&self) -> Presence {
        match self.socket.upgrade() {
            None => Presence::Gone,
            Some(socket) => socket.presence(self.word, self.most).await,
        }
    }

    /// What can be told without a wait.
    pub fn glance(&self) -> Glance {
        self.socket.upgrade().map_or(Glance::Gone, |socket| socket.glance())
    }
}

/// A stream that several parties look at: hyper reads and writes it through [`Io`].
pub struct Socket {
    stream: TcpStream,
    /// Bytes were written since [`Socket::begin`].
    begun: Cell<bool>,
    /// All that hyper had to write then has been written.
    whole: Cell<bool>,
    /// The kernel took no more bytes, so hyper holds some.
    stalled: Cell<bool>,
    /// When bytes were last written.
    moved: Cell<Instant>,
    /// When its peer was last asked whether it is there.
    asked: Cell<Option<Instant>>,
    /// It has closed its connection.
    gone: Cell<bool>,
    went: Notify,
    /// So many bytes of [`BEGIN`] have gone ahead of hyper's.
    ahead: Cell<usize>,
    /// So many more bytes may come.
    room: Cell<usize>,
    /// What the first byte of the message waits on.
    look: RefCell<Option<LastLook>>,
    /// It was not written for that reason.
    withheld: Cell<bool>,
    _permit: Permit,
}

impl Socket {
    pub fn new(stream: TcpStream, permit: Permit) -> Rc<Self> {
        // Without it a small answer waits for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream,
            begun: Cell::new(false),
            whole: Cell::new(false),
            stalled: Cell::new(false),
            moved: Cell::new(Instant::now()),
            asked: Cell::new(None),
            gone: Cell::new(false),
            went: Notify::new(),
            ahead: Cell::new(0),
            room: Cell::new(usize::MAX),
            look: RefCell::default(),
            withheld: Cell::new(false),
            _permit: permit,
        })
    }

    /// A new message is about to be written, if `look` allows it then, and at most `room` bytes may come in answer.
    pub fn begin(&self, room: usize, look: LastLook) {
        self.look.replace(Some(look));
        self.room.set(room);
        self.begun.set(false);
        self.whole.set(false);
    }

    /// Whether the message's last byte has been written.
    pub fn whole(&self) -> bool {
        self.whole.get()
    }

    /// Whether the message was not written since the last look forbade it.
    pub fn withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Whether something is still to be written for which the kernel has no room.
    pub fn stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Whether nothing more could be written since so long ago.
    pub fn stuck(&self, most: Duration) -> bool {
        self.stalled.get() && self.moved.get().elapsed() > most
    }

    /// Something large is to go over it: what comes has a limit elsewhere, and the kernel is to hold little.
    pub fn stream(&self) {
        self.room.set(usize::MAX);
        let stream = SockRef::from(&self.stream);
        // A connection whose buffers stay as they are serves as well.
        let _ = (stream.set_send_buffer_size(KERNEL_BUFFER), stream.set_recv_buffer_size(KERNEL_BUFFER));
    }

    /// Whether the kernel holds nothing that has come and was not read, not even the peer's end. Danger: the runtime
    /// learns of new bytes only when it next looks, so this asks the kernel.
    pub fn silent(&self) -> bool {
        let peeked = uninterrupted(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]));
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// How many bytes have come and were not read, counted up to [`COUNTED_UNREAD`].
    pub fn unread_bytes(&self) -> usize {
        let mut part = [MaybeUninit::uninit(); COUNTED_UNREAD];
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut part)).unwrap_or(0)
    }

    /// Sends what stands alone, where nothing else is being sent. Who can't take it goes without.
    pub fn tell(&self, text: &[u8]) {
        let _ = uninterrupted(|| self.stream.try_write(text));
    }

    /// Ends both directions now, whoever still holds the stream.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
    }

    /// From here on its end is a reset: what the peer's machine has not acknowledged by then is never sent again. Or it ends in
    /// order, and the kernel goes on sending that for minutes.
    pub fn reset_on_close(&self, resets: bool) {
        // One that can't be set ends in order, which is as good as it was.
        let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
    }

    /// Whether the peer is there now, when something is about to be sent on for it. One that may have gone is asked, and
    /// what comes of that is waited for a little, `most`; not for each of many requests that it may have sent.
    /// Danger: a process that was busy does its work in any order; the kernel knows what the runtime has not looked at.
    pub async fn presence(&self, word: Word, most: Duration) -> Presence {
        if self.gone.get() {
            return Presence::Gone;
        }
        match uninterrupted(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || passing_shortage(&e) => {
                return Presence::There
            }
            Ok(0) => {}
            // Its end is behind what it has sent, which only the runtime tells.
            Ok(_) => {
                yield_now().await;
                if !self.ended().await && !self.crammed() {
                    return Presence::There;
                }
            }
            Err(_) => return self.left(),
        }
        let lately = self.asked.get().is_some_and(|at| at.elapsed() < ASK_EVERY);
        if !lately && word == Word::Begin && self.ahead.get() >= BEGIN.len() && !self.stalled.get() {
            return Presence::Unsure;
        }
        if !lately && !self.ask(word) {
            return self.left();
        }
        // What came of the last question may not have been looked at.
        yield_now().await;
        let most = if lately { Duration::ZERO } else { most };
        match timeout(most, self.stream.ready(Interest::ERROR)).await {
            Ok(_) => self.left(),
            Err(_) => Presence::Asked,
        }
    }

    /// What the kernel tells of the peer, with no wait and nothing sent.
    fn glance(&self) -> Glance {
        if self.gone.get() {
            return Glance::Gone;
        }
        match uninterrupted(|| SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Glance::There,
            // Without memory the kernel tells nothing of the peer.
            Err(e) if passing_shortage(&e) => Glance::Unsure,
            Ok(_) => Glance::Unsure,
            Err(_) => {
                self.left();
                Glance::Gone
            }
        }
    }

    fn left(&self) -> Presence {
        self.gone.set(true);
        self.went.notify_one();
        Presence::Gone
    }

    /// Whether the peer has ended its sending, as far as the runtime has heard; it may still wait for an answer.
    async fn ended(&self) -> bool {
        tokio::select! {
            biased;
            // Of all interests this one wakes for a closed read side and not for bytes, which may be pipelined.
            _ = self.stream.ready(Interest::PRIORITY) => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Returns once the peer has closed the connection while an answer is due to it. Danger: a peer that only
    /// ended its sending looks the same, and still waits. Something sent tells them apart, since the machine of one
    /// that is gone resets the connection; and as who still waits may go without a further sign, it is sent again and
    /// again.
    pub async fn hung_up(&self, word: Word) {
        let mut gap = match word {
            Word::Interim => ASK_EVERY,
            Word::Begin => ASK_OLD,
        };
        while !self.gone.get() {
            let spent = word == Word::Begin && self.ahead.get() + KEPT >= BEGIN.len();
            tokio::select! {
                biased;
                _ = self.stream.ready(Interest::ERROR) => return,
                () = self.went.notified() => return,
                () = self.may_be_asked(gap), if !spent => {}
            }
            if !self.ended().await && !self.crammed() {
                continue;
            }
            let again = self.asked.get().is_some();
            if !self.ask(word) {
                return;
            }
            if again && word == Word::Begin {
                gap *= 2;
            }
        }
    }

    /// Returns once the peer's end has come and has not been asked about for so long, and every now and then.
    async fn may_be_asked(&self, gap: Duration) {
        let next = self.asked.get().map_or_else(Instant::now, |at| at + gap);
        tokio::select! {
            _ = self.stream.ready(Interest::PRIORITY) => sleep_until(next).await,
            () = sleep(ASK_EVERY) => {}
        }
    }

    /// Whether so much waits unread that the peer's end may not get through to here.
    fn crammed(&self) -> bool {
        let mut part = [MaybeUninit::uninit(); CRAMMED];
        uninterrupted(|| SockRef::from(&self.stream).peek(&mut part)).is_ok_and(|n| n == CRAMMED)
    }

    /// Sends what means nothing to a peer that waits; false if it can't be sent any more.
    fn ask(&self, word: Word) -> bool {
        self.asked.set(Some(Instant::now()));
        if self.stalled.get() {
            // What is still to be sent asks as well.
            return true;
        }
        let ahead = self.ahead.get();
        let text = match word {
            Word::Interim => b"HTTP/1.1 100 Continue\r\n\r\n".as_slice(),
            Word::Begin => &BEGIN[ahead..BEGIN.len().min(ahead + 1)],
        };
        match uninterrupted(|| self.stream.try_write(text)) {
            Ok(n) if word == Word::Begin => self.ahead.set(ahead + n),
            Err(e) => return e.kind() == io::ErrorKind::WouldBlock || passing_shortage(&e),
            Ok(_) => {}
        }
        true
    }
}

/// What the kernel has no memory for is tried again so much later.
const SHORTAGE_AGAIN: Duration = Duration::from_millis(2);

/// Danger: the runtime tells of new bytes and of room, and not of memory that the kernel has again.
fn wake_later<T>(cx: &Context<'_>) -> Poll<T> {
    let waker = cx.waker().clone();
    tokio::spawn(async move {
        sleep(SHORTAGE_AGAIN).await;
        waker.wake();
    });
    Poll::Pending
}

/// Hyper's end of a [`Socket`].
pub struct Io(pub Rc<Socket>);

impl Io {
    /// Reads into `part`; 0: the peer has ended its sending.
    pub fn poll_fill(&self, cx: &mut Context<'_>, part: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match uninterrupted(|| self.0.stream.try_read(part)) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if passing_shortage(&e) => return wake_later(cx),
                Ok(n) if n > self.0.room.get() => {
                    return Poll::Ready(Err(io::Error::other("the answer does not end")));
                }
                Ok(n) => {
                    self.0.room.set(self.0.room.get() - n);
                    return Poll::Ready(Ok(n));
                }
                failed => return Poll::Ready(failed),
            }
        }
    }

    /// How many of these bytes, which begin an answer, have gone ahead.
    fn gone_ahead(&self, buf: &[u8]) -> Option<usize> {
        let n = self.0.ahead.get().min(buf.len());
        self.0.ahead.set(self.0.ahead.get() - n);
        (n > 0).then_some(n)
    }

    /// Looks once more before a message's first byte; returns its head with the time that is left now, where it tells one.
    fn last_look(&self, head: &[u8]) -> io::Result<Option<Vec<u8>>> {
        if self.0.begun.get() {
            return Ok(None);
        }
        let look = self.0.look.borrow();
        let Some(look) = &*look else { return Ok(None) };
        let Some(left) = look.left() else {
            self.0.withheld.set(true);
            return Err(io::Error::other("held back"));
        };
        Ok(retold(head, left))
    }

    /// `head`: the bytes that are to be written first; `send` gets what replaces them.
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        head: &[u8],
        send: impl Fn(&TcpStream, Option<&[u8]>) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.0.stream.poll_write_ready(cx)?.is_pending() {
                self.0.stalled.set(true);
                return Poll::Pending;
            }
            let retold = self.last_look(head)?;
            match uninterrupted(|| send(&self.0.stream, retold.as_deref())) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if passing_shortage(&e) => {
                    self.0.stalled.set(true);
                    return wake_later(cx);
                }
                sent => {
                    self.0.begun.set(true);
                    self.0.moved.set(Instant::now());
                    return Poll::Ready(sent);
                }
            }
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let n = ready!(self.poll_fill(cx, buf.initialize_unfilled()))?;
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(n) = self.gone_ahead(buf) {
            return Poll::Ready(Ok(n));
        }
        self.poll_send(cx, buf, |s, retold| s.try_write(retold.unwrap_or(buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = bufs.iter().position(|buf| !buf.is_empty()).unwrap_or(0);
        let (head, rest) =
            bufs[first.min(bufs.len())..].split_first().map_or((&[][..], &[][..]), |(h, r)| (h, r));
        if let Some(n) = self.gone_ahead(head) {
            return Poll::Ready(Ok(n));
        }
        self.poll_send(cx, head, |s, retold| match retold {
            None => s.try_write_vectored(bufs),
            Some(head) => {
                let all: Vec<_> = std::iter::once(IoSlice::new(head)).chain(rest.iter().copied()).collect();
                s.try_write_vectored(&all)
            }
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper flushes the stream once its own buffer, which holds the whole message, is empty.
        self.0.stalled.set(false);
        self.0.whole.set(self.0.begun.get());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let _ = SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
