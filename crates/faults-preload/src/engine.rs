//! The rule engine: selects the rules that affect a call, applies their effects, and logs injected faults.

use aniseyoke_faults::{Call, CallTarget, Effect, Frequency, Plan, Rule, OVERRUN, PLAN_VARIABLE};
use libc::c_int;
use std::cell::Cell;
use std::ffi::{CStr, OsStr};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a call refers to.
#[derive(Clone, Copy)]
pub enum Subject<'a> {
    Nothing,
    Descriptor(c_int),
    /// A file, by its path.
    #[allow(dead_code)]
    Path(&'a CStr),
    /// A socket that is being connected to this port.
    Connection(u16),
}

/// The combined effect of the rules on one call.
#[derive(Clone, Copy, Default)]
pub struct Verdict {
    pub before: Duration,
    pub after: Duration,
    pub fail: Option<c_int>,
    pub fail_after: Option<c_int>,
    pub short: Option<usize>,
    /// Whether the process stops itself: before the call if `short` is 0, otherwise after it.
    pub stop: bool,
    /// Offset to add to the wall clock, in nanoseconds.
    pub step: i64,
}

impl Verdict {
    /// Returns the number of bytes to request: the caller's, limited to `short`. A limit of 0 counts as 1.
    pub fn bytes(&self, requested: usize) -> usize {
        self.short.map_or(requested, |limit| requested.min(limit.max(1)))
    }
}

/// Identifies the state of the plan's file that was last read.
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
    /// For each rule, the number of calls that it has applied to.
    match_counts: Vec<u64>,
}

static ENGINE: Mutex<Option<Engine>> = Mutex::new(None);

thread_local! {
    /// Whether this thread is inside the engine. No faults are injected into the engine's own calls.
    static IN_ENGINE: Cell<bool> = const { Cell::new(false) };
}

/// Evaluates the rules for a call, makes it with `make` and applies their effects. `make` itself must apply
/// the verdict's `short` and `step`. An injected failure returns -1 and sets the error number.
pub fn with_faults<R: From<i8>>(call: Call, subject: Subject<'_>, make: impl FnOnce(&Verdict) -> R) -> R {
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

/// Evaluates the rules for a call. Preserves the error number.
pub fn decide(call: Call, subject: Subject<'_>) -> Verdict {
    if IN_ENGINE.replace(true) {
        return Verdict::default();
    }
    let number = errno();
    let verdict = if may_be_in_signal_handler(call, subject) {
        decide_in_signal_handler(call, subject)
    } else {
        let mut engine = ENGINE.lock().unwrap_or_else(PoisonError::into_inner);
        let engine = engine.get_or_insert_with(Engine::new);
        engine.refresh();
        engine.decide(call, subject)
    };
    set_errno(number);
    IN_ENGINE.set(false);
    verdict
}

/// Whether a call may come from a signal handler: tokio's handlers notify the runtime through a pair of local
/// sockets.
fn may_be_in_signal_handler(call: Call, subject: Subject<'_>) -> bool {
    matches!(subject, Subject::Descriptor(fd) if call == Call::Send && is_local_socket(fd))
}

/// Evaluates the rules of the plan that was last read. A new plan is left to the next call elsewhere: reading it
/// allocates, and the interrupted thread may hold the allocator's lock. Another thread that waits for that lock
/// may hold the engine, so this does not wait for the engine either.
fn decide_in_signal_handler(call: Call, subject: Subject<'_>) -> Verdict {
    let Ok(mut engine) = ENGINE.try_lock() else { return Verdict::default() };
    engine.as_mut().map_or_else(Verdict::default, |engine| engine.decide(call, subject))
}

/// Stops the process until it is killed or continued (SIGCONT).
fn stop() {
    // SAFETY: the call accesses no memory of the caller.
    unsafe { libc::raise(libc::SIGSTOP) };
}

/// Pauses the thread, and logs by how much the pause was longer than requested. The pause's own calls are not
/// subject to the rules; in particular, its clock readings are not counted.
fn pause(time: Duration) {
    if time.is_zero() {
        return;
    }
    let within_engine = IN_ENGINE.replace(true);
    let start = Instant::now();
    std::thread::sleep(time);
    if !within_engine {
        log_overrun(start.elapsed().saturating_sub(time));
    }
    IN_ENGINE.set(within_engine);
}

fn log_overrun(overrun: Duration) {
    let mut engine = ENGINE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(log) = engine.as_mut().and_then(|engine| engine.log.as_mut()) {
        log_line(log, format_args!("{OVERRUN} {}", overrun.as_micros()));
    }
}

pub fn errno() -> c_int {
    // SAFETY: the pointer is to this thread's own error number.
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
        Engine {
            file,
            log,
            generation: Generation::default(),
            plan: Plan::default(),
            match_counts: Vec::new(),
        }
    }

    /// Reads the plan again if its file was replaced. If it can't be read, reports this once and injects no
    /// faults.
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
        self.match_counts = vec![0; self.plan.rules.len()];
    }

    fn decide(&mut self, call: Call, subject: Subject<'_>) -> Verdict {
        let mut verdict = Verdict::default();
        for index in 0..self.plan.rules.len() {
            let rule = &self.plan.rules[index];
            if !rule.calls.contains(&call) || !applies(&rule.about, subject) {
                continue;
            }
            self.match_counts[index] += 1;
            if !affects(rule, self.plan.seed, index as u64, self.match_counts[index]) {
                continue;
            }
            if let Some(log) = &mut self.log {
                log_fault(log, rule, call);
            }
            match rule.effect {
                Effect::DelayBefore(micros) => verdict.before += Duration::from_micros(micros),
                Effect::DelayAfter(micros) => verdict.after += Duration::from_micros(micros),
                Effect::Fail(number) => verdict.fail = Some(number),
                Effect::FailAfter(number) => verdict.fail_after = Some(number),
                Effect::Short(bytes) => verdict.short = Some(bytes),
                Effect::StopAfter(bytes) => (verdict.short, verdict.stop) = (Some(bytes), true),
                Effect::Step(nanoseconds) => verdict.step = nanoseconds,
            }
            if !matches!(rule.effect, Effect::DelayBefore(_) | Effect::DelayAfter(_)) {
                break;
            }
        }
        verdict
    }
}

/// Whether a rule affects the `count`th call that it applies to; `index` is the rule's position in the plan.
fn affects(rule: &Rule, seed: u64, index: u64, count: u64) -> bool {
    match rule.often {
        Frequency::Always => true,
        Frequency::First(limit) => count <= limit,
        Frequency::Only(number) => count == number,
        Frequency::OneIn(n) => mix(seed ^ index.rotate_left(32) ^ count).is_multiple_of(n.max(1)),
    }
}

/// Hashes a number (splitmix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn applies(about: &CallTarget, subject: Subject<'_>) -> bool {
    match (about, subject) {
        (CallTarget::Any, _) => true,
        (CallTarget::Thread(name), _) => thread_is_named(name),
        (
            CallTarget::Sockets
            | CallTarget::LocalPort(_)
            | CallTarget::PeerPort(_)
            | CallTarget::ArrivedFrom(_),
            Subject::Path(_),
        ) => false,
        (CallTarget::Sockets, Subject::Descriptor(fd)) => local_port(fd).is_some_and(|port| port > 0),
        (CallTarget::Sockets, _) => true,
        (CallTarget::LocalPort(port), Subject::Descriptor(fd)) => local_port(fd) == Some(*port),
        (CallTarget::PeerPort(port), Subject::Descriptor(fd)) => peer_port(fd) == Some(*port),
        (CallTarget::ArrivedFrom(port), Subject::Descriptor(fd)) => {
            peer_port(fd) == Some(*port) && readable(fd)
        }
        (CallTarget::PeerPort(port), Subject::Connection(to)) => *port == to,
        (CallTarget::Files(prefix), Subject::Path(path)) => {
            Path::new(OsStr::from_bytes(path.to_bytes())).starts_with_text(prefix)
        }
        (CallTarget::Files(prefix), Subject::Descriptor(fd)) => {
            std::fs::read_link(format!("/proc/self/fd/{fd}")).is_ok_and(|path| path.starts_with_text(prefix))
        }
        _ => false,
    }
}

/// Maximum length of a thread's name in bytes, including the terminating zero byte.
const THREAD_NAME_BYTES: usize = 16;

/// Maximum length of a log line in bytes; longer lines are truncated.
const MAX_LINE_BYTES: usize = 256;

fn log_fault(log: &mut File, rule: &Rule, call: Call) {
    log_line(log, format_args!("{} {call:?} {:?}", rule.name, rule.effect));
}

/// Writes a line to the log of injected faults. It must not allocate: the call may come from a signal handler,
/// and the thread that the handler interrupts may hold the allocator's lock.
fn log_line(log: &mut File, text: std::fmt::Arguments<'_>) {
    let mut line = [0u8; MAX_LINE_BYTES];
    let mut unused = &mut line[..];
    // A line that does not fit is truncated.
    let _ = writeln!(unused, "{text}");
    let unused_bytes = unused.len();
    let _ = log.write_all(&line[..MAX_LINE_BYTES - unused_bytes]);
}

/// Whether the calling thread has this name.
fn thread_is_named(name: &str) -> bool {
    let mut bytes = [0u8; THREAD_NAME_BYTES];
    // SAFETY: the call writes at most this many bytes, including the terminating zero byte.
    let result = unsafe { libc::prctl(libc::PR_GET_NAME, bytes.as_mut_ptr()) };
    result == 0 && CStr::from_bytes_until_nul(&bytes).is_ok_and(|found| found.to_bytes() == name.as_bytes())
}

trait StartsWithText {
    fn starts_with_text(&self, prefix: &Path) -> bool;
}

impl StartsWithText for Path {
    /// Compares bytes, not path components, so that `state/list.` matches every file with this prefix.
    fn starts_with_text(&self, prefix: &Path) -> bool {
        self.as_os_str().as_bytes().starts_with(prefix.as_os_str().as_bytes())
    }
}

/// Whether a read of a socket would return bytes or end of file without blocking.
fn readable(fd: c_int) -> bool {
    let mut poll_fd = libc::pollfd { fd, events: libc::POLLIN, revents: 0 };
    // SAFETY: one entry, which outlives the call. The timeout is 0, so the call doesn't block.
    unsafe { libc::poll(&raw mut poll_fd, 1, 0) == 1 && poll_fd.revents & libc::POLLIN != 0 }
}

type SocketNameFn = unsafe extern "C" fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t) -> c_int;

/// Returns a socket's local port, 0 if it has none, or `None` if the descriptor is not a socket.
fn local_port(fd: c_int) -> Option<u16> {
    port_from(libc::getsockname, fd)
}

/// Returns the port that a socket is connected to.
fn peer_port(fd: c_int) -> Option<u16> {
    port_from(libc::getpeername, fd)
}

fn port_from(socket_name: SocketNameFn, fd: c_int) -> Option<u16> {
    let address = address_from(socket_name, fd)?;
    // SAFETY: the storage is large enough for any address, and aligned.
    Some(unsafe { port_of((&raw const address).cast()) })
}

/// Whether a descriptor is a socket that connects processes of this machine only (AF_UNIX).
fn is_local_socket(fd: c_int) -> bool {
    address_from(libc::getsockname, fd).is_some_and(|address| c_int::from(address.ss_family) == libc::AF_UNIX)
}

/// Returns the address that `socket_name` reports, or `None` if the descriptor is not a socket or has none.
fn address_from(socket_name: SocketNameFn, fd: c_int) -> Option<libc::sockaddr_storage> {
    // SAFETY: all zeros are a valid address of no family; the call writes at most `length` bytes of it.
    let (address, result) = unsafe {
        let mut address: libc::sockaddr_storage = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as libc::socklen_t;
        let result = socket_name(fd, (&raw mut address).cast(), &raw mut length);
        (address, result)
    };
    (result == 0).then_some(address)
}

/// Returns the port of an address, or 0 if its family has none.
///
/// # Safety
/// `address` must point to a socket address as the C library's functions take it.
pub unsafe fn port_of(address: *const libc::sockaddr) -> u16 {
    // SAFETY: the caller guarantees a valid address, and its family determines its type.
    unsafe {
        match c_int::from((*address).sa_family) {
            libc::AF_INET => u16::from_be((*address.cast::<libc::sockaddr_in>()).sin_port),
            libc::AF_INET6 => u16::from_be((*address.cast::<libc::sockaddr_in6>()).sin6_port),
            _ => 0,
        }
    }
}
