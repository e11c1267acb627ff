//! The one rule engine: which rule strikes a call, what it does to it, and the log of what was forced.

use aniseyoke_faults::{About, Call, Effect, Often, Plan, Rule, PLAN_VARIABLE};
use libc::c_int;
use std::cell::Cell;
use std::ffi::{CStr, OsStr};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// What a call is about.
#[derive(Clone, Copy)]
pub enum Subject<'a> {
    Nothing,
    Descriptor(c_int),
    /// For the calls of `files`, which have yet to come.
    #[allow(dead_code)]
    Path(&'a CStr),
    /// A socket that is to be connected to this port.
    Connection(u16),
}

/// What rules have decided about one call.
#[derive(Clone, Copy, Default)]
pub struct Verdict {
    pub before: Duration,
    pub after: Duration,
    pub fail: Option<c_int>,
    pub fail_after: Option<c_int>,
    pub short: Option<usize>,
    /// The process stops: before the call if it is short of every byte, or else behind it.
    pub stop: bool,
    /// Nanoseconds to add to a wall clock.
    pub step: i64,
}

impl Verdict {
    /// So many bytes may be asked for.
    pub fn bytes(&self, asked: usize) -> usize {
        self.short.map_or(asked, |most| asked.min(most.max(1)))
    }
}

/// Which state a plan's file was read in.
#[derive(Clone, Copy, PartialEq, Default)]
struct Generation {
    inode: u64,
    seconds: i64,
    nanoseconds: i64,
}

struct Engine {
    file: PathBuf,
    log: Option<File>,
    generation: Generation,
    plan: Plan,
    /// For each rule, how many calls it has applied to.
    seen: Vec<u64>,
}

static ENGINE: Mutex<Option<Engine>> = Mutex::new(None);

thread_local! {
    /// Whether this thread is within the engine, whose own calls are nobody's business.
    static WITHIN: Cell<bool> = const { Cell::new(false) };
}

/// Decides about a call and makes it: with the verdict, which `make` follows where it is about bytes or a step. Failure
/// is -1 and an error number.
pub fn guarded<R: From<i8>>(call: Call, subject: Subject<'_>, make: impl FnOnce(&Verdict) -> R) -> R {
    let verdict = decide(call, subject);
    pause(verdict.before);
    if let Some(number) = verdict.fail {
        set_errno(number);
        return R::from(-1);
    }
    if verdict.stop && verdict.short == Some(0) {
        stop();
    }
    let result = make(&verdict);
    if verdict.stop {
        stop();
    }
    if let Some(number) = verdict.fail_after {
        set_errno(number);
        return R::from(-1);
    }
    if !verdict.after.is_zero() {
        let number = errno();
        pause(verdict.after);
        set_errno(number);
    }
    result
}

/// What rules say about a call. The error number stays as it was.
pub fn decide(call: Call, subject: Subject<'_>) -> Verdict {
    if WITHIN.replace(true) {
        return Verdict::default();
    }
    let number = errno();
    let mut engine = ENGINE.lock().unwrap_or_else(PoisonError::into_inner);
    let verdict = engine.get_or_insert_with(Engine::new).decide(call, subject);
    drop(engine);
    set_errno(number);
    WITHIN.set(false);
    verdict
}

/// Stops the process, until it is killed or told to go on.
fn stop() {
    // SAFETY: the call takes no memory.
    unsafe { libc::raise(libc::SIGSTOP) };
}

fn pause(time: Duration) {
    if !time.is_zero() {
        std::thread::sleep(time);
    }
}

pub fn errno() -> c_int {
    // SAFETY: the place of this thread's own error number.
    unsafe { *libc::__errno_location() }
}

pub fn set_errno(number: c_int) {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() = number }
}

impl Engine {
    fn new() -> Self {
        let file = PathBuf::from(std::env::var_os(PLAN_VARIABLE).unwrap_or_default());
        let log = OpenOptions::new().create(true).append(true).open(file.with_extension("log")).ok();
        Engine { file, log, generation: Generation::default(), plan: Plan::default(), seen: Vec::new() }
    }

    /// Reads the plan if its file was replaced. One that can't be read forces nothing, and says so once.
    fn refresh(&mut self) {
        let generation = std::fs::metadata(&self.file).map_or(Generation::default(), |m| Generation {
            inode: m.ino(),
            seconds: m.mtime(),
            nanoseconds: m.mtime_nsec(),
        });
        if generation == self.generation {
            return;
        }
        self.generation = generation;
        self.plan = Plan::read(&self.file).unwrap_or_else(|e| {
            eprintln!("faults: {e}");
            Plan::default()
        });
        self.seen = vec![0; self.plan.rules.len()];
    }

    fn decide(&mut self, call: Call, subject: Subject<'_>) -> Verdict {
        self.refresh();
        let mut verdict = Verdict::default();
        for at in 0..self.plan.rules.len() {
            let rule = &self.plan.rules[at];
            if !rule.calls.contains(&call) || !applies(&rule.about, subject) {
                continue;
            }
            self.seen[at] += 1;
            if !strikes(rule, self.plan.seed, at as u64, self.seen[at]) {
                continue;
            }
            if let Some(log) = &mut self.log {
                log_forced(log, rule, call);
            }
            match rule.effect {
                Effect::DelayBefore(micros) => verdict.before += Duration::from_micros(micros),
                Effect::DelayAfter(micros) => verdict.after += Duration::from_micros(micros),
                Effect::Fail(number) => verdict.fail = Some(number),
                Effect::FailAfter(number) => verdict.fail_after = Some(number),
                Effect::Short(most) => verdict.short = Some(most),
                Effect::StopAfter(most) => (verdict.short, verdict.stop) = (Some(most), true),
                Effect::Step(nanoseconds) => verdict.step = nanoseconds,
            }
            if !matches!(rule.effect, Effect::DelayBefore(_) | Effect::DelayAfter(_)) {
                break;
            }
        }
        verdict
    }
}

/// Whether a rule strikes the call that is its `count`th.
fn strikes(rule: &Rule, seed: u64, at: u64, count: u64) -> bool {
    match rule.often {
        Often::Always => true,
        Often::First(most) => count <= most,
        Often::Only(which) => count == which,
        Often::OneIn(n) => mix(seed ^ at.rotate_left(32) ^ count).is_multiple_of(n.max(1)),
    }
}

/// A number drawn by another (splitmix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn applies(about: &About, subject: Subject<'_>) -> bool {
    match (about, subject) {
        (About::Any, _) => true,
        (About::Thread(name), _) => thread_is_named(name),
        (
            About::Sockets | About::LocalPort(_) | About::PeerPort(_) | About::ArrivedFrom(_),
            Subject::Path(_),
        ) => false,
        (About::Sockets, Subject::Descriptor(fd)) => local_port(fd).is_some_and(|port| port > 0),
        (About::Sockets, _) => true,
        (About::LocalPort(port), Subject::Descriptor(fd)) => local_port(fd) == Some(*port),
        (About::PeerPort(port), Subject::Descriptor(fd)) => peer_port(fd) == Some(*port),
        (About::ArrivedFrom(port), Subject::Descriptor(fd)) => peer_port(fd) == Some(*port) && readable(fd),
        (About::PeerPort(port), Subject::Connection(to)) => *port == to,
        (About::Files(prefix), Subject::Path(path)) => {
            Path::new(OsStr::from_bytes(path.to_bytes())).starts_with_text(prefix)
        }
        (About::Files(prefix), Subject::Descriptor(fd)) => {
            std::fs::read_link(format!("/proc/self/fd/{fd}")).is_ok_and(|path| path.starts_with_text(prefix))
        }
        _ => false,
    }
}

/// Bytes of a thread's name, with the zero byte at its end.
const THREAD_NAME_BYTES: usize = 16;

/// Longer lines of the log are cut, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// Writes that a rule has struck. Danger: the call may be one of a signal handler, which must not take memory: the thread
/// that it interrupts may hold the allocator's lock.
fn log_forced(log: &mut File, rule: &Rule, call: Call) {
    let mut line = [0u8; MAX_LINE_BYTES];
    let mut rest = &mut line[..];
    // What does not fit is cut.
    let _ = writeln!(rest, "{} {call:?} {:?}", rule.name, rule.effect);
    let left = rest.len();
    let _ = log.write_all(&line[..MAX_LINE_BYTES - left]);
}

/// Whether the calling thread has this name.
fn thread_is_named(name: &str) -> bool {
    let mut bytes = [0u8; THREAD_NAME_BYTES];
    // SAFETY: the call writes a name of at most this many bytes, the zero byte included.
    let done = unsafe { libc::prctl(libc::PR_GET_NAME, bytes.as_mut_ptr()) };
    done == 0 && CStr::from_bytes_until_nul(&bytes).is_ok_and(|found| found.to_bytes() == name.as_bytes())
}

trait StartsWithText {
    fn starts_with_text(&self, prefix: &Path) -> bool;
}

impl StartsWithText for Path {
    /// By bytes and not by whole names, so that `state/list.` covers every file that begins so.
    fn starts_with_text(&self, prefix: &Path) -> bool {
        self.as_os_str().as_bytes().starts_with(prefix.as_os_str().as_bytes())
    }
}

/// Whether a read of a socket would return at once with bytes or its end.
fn readable(fd: c_int) -> bool {
    let mut asked = libc::pollfd { fd, events: libc::POLLIN, revents: 0 };
    // SAFETY: one entry, which lives for the call; it doesn't wait.
    unsafe { libc::poll(&raw mut asked, 1, 0) == 1 && asked.revents & libc::POLLIN != 0 }
}

type NameOf = unsafe extern "C" fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t) -> c_int;

/// A socket's own port; 0 for one that has none; nothing for what is no socket.
fn local_port(fd: c_int) -> Option<u16> {
    port_by(libc::getsockname, fd)
}

/// The port that a socket is connected to.
fn peer_port(fd: c_int) -> Option<u16> {
    port_by(libc::getpeername, fd)
}

fn port_by(name: NameOf, fd: c_int) -> Option<u16> {
    // SAFETY: zeros are an address of no family; the call writes at most `length` bytes of it.
    let (address, done) = unsafe {
        let mut address: libc::sockaddr_storage = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as libc::socklen_t;
        let done = name(fd, (&raw mut address).cast(), &raw mut length);
        (address, done)
    };
    // SAFETY: the storage is large enough for any address, and aligned.
    (done == 0).then(|| unsafe { port_of((&raw const address).cast()) })
}

/// The port of an address; 0 where its family has none.
///
/// # Safety
/// It points to an address as the C library's calls take it.
pub unsafe fn port_of(address: *const libc::sockaddr) -> u16 {
    // SAFETY: the family tells the kind of the address, as the caller promises.
    unsafe {
        match c_int::from((*address).sa_family) {
            libc::AF_INET => u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port),
            libc::AF_INET6 => u16::from_be((*address.cast::<libc::sockaddr_in6>()).sin6_port),
            _ => 0,
        }
    }
}
