//! The one scheduler of the process and the gates at which its threads wait for their turn.

use crate::sending;
use aniseyoke_turns::{Call, Fault, Order, Scheduler, ThreadId, Wait};
use aniseyoke_turns::{BACKTRACE_VARIABLE, SEED_VARIABLE, SIGNALS_VARIABLE};
use libc::c_int;
use std::cell::Cell;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The kernel's longest name of a thread in bytes, with the zero byte at its end.
const THREAD_NAME_BYTES: usize = 16;

struct Turns {
    scheduler: Scheduler,
    /// Where each thread waits for its turn.
    gates: Vec<Arc<Condvar>>,
    /// Signals that the process still has to send to itself.
    signals: Vec<(u64, c_int)>,
    calls: u64,
}

static TURNS: Mutex<Option<Turns>> = Mutex::new(None);

/// Which thread this is.
#[derive(Clone, Copy, PartialEq)]
enum Own {
    Unknown,
    Running(ThreadId),
    Ended,
}

thread_local! {
    /// Whether this thread is within this library, whose own calls are made at once.
    static WITHIN: Cell<bool> = const { Cell::new(false) };
    static OWN: Cell<Own> = const { Cell::new(Own::Unknown) };
}

/// While it lives this thread is within the library, and the error number is kept.
struct Within {
    errno: c_int,
}

impl Within {
    fn enter() -> Option<Self> {
        (!WITHIN.replace(true)).then(|| Within { errno: errno() })
    }
}

impl Drop for Within {
    fn drop(&mut self) {
        set_errno(self.errno);
        WITHIN.set(false);
    }
}

/// The scheduler, locked, with what its thread needs of it.
struct Locked {
    turns: MutexGuard<'static, Option<Turns>>,
    id: ThreadId,
}

impl Locked {
    /// Nothing for a thread that has ended.
    fn new(call: Call) -> Option<Self> {
        let mut turns = TURNS.lock().unwrap_or_else(PoisonError::into_inner);
        let known = turns.is_some();
        let seed = turns.get_or_insert_with(Turns::new).scheduler.seed();
        let id = match OWN.get() {
            Own::Running(id) => id,
            Own::Ended => return None,
            Own::Unknown if !known => ThreadId::MAIN,
            Own::Unknown => fail(seed, Fault::WithoutTurn(call)),
        };
        OWN.set(Own::Running(id));
        Some(Locked { turns, id })
    }

    fn state(&mut self) -> &mut Turns {
        self.turns.get_or_insert_with(Turns::new)
    }

    fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.state().scheduler
    }

    /// Ends the process if this is a fault.
    fn check(&mut self, done: Result<(), Fault>) {
        if let Err(fault) = done {
            fail(self.scheduler().seed(), fault);
        }
    }

    /// Wakes the thread that has the turn now.
    fn call_holder(&mut self) {
        if let Some(holder) = self.scheduler().holder() {
            self.state().gates[holder.index()].notify_one();
        }
    }

    /// Waits until this thread has the turn.
    fn wait_for_turn(mut self) -> Self {
        self.call_holder();
        let gate = self.gate();
        while self.scheduler().holder() != Some(self.id) {
            self.turns = gate.wait(self.turns).unwrap_or_else(PoisonError::into_inner);
        }
        self
    }

    fn gate(&mut self) -> Arc<Condvar> {
        let at = self.id.index();
        self.state().gates[at].clone()
    }
}

impl Turns {
    fn new() -> Self {
        let text = |name| std::env::var(name).unwrap_or_default();
        let order = Order::from_text(&text(SEED_VARIABLE), &text(SIGNALS_VARIABLE));
        let scheduler = Scheduler::new(order.seed);
        Turns { scheduler, gates: vec![Arc::default()], signals: order.signals, calls: 0 }
    }

    /// The signals that are due at this call.
    fn due(&mut self) -> Vec<c_int> {
        self.calls += 1;
        let calls = self.calls;
        let is_due = |(call, number): &mut (u64, c_int)| *call <= calls && sending::is_handled(*number);
        self.signals.extract_if(.., is_due).map(|(_, number)| number).collect()
    }
}

/// Gives the turn to whoever is drawn, and returns when this thread has it again.
pub fn turn(call: Call) {
    let Some(within) = Within::enter() else { return };
    let mut due = Vec::new();
    if let Some(mut locked) = Locked::new(call) {
        let id = locked.id;
        let done = locked.scheduler().turn(id, call);
        locked.check(done);
        due = locked.wait_for_turn().state().due();
    }
    drop(within);
    due.into_iter().for_each(sending::send);
}

/// Gives the turn away while `make` waits for something outside the process.
pub fn outside<R>(call: Call, make: impl FnOnce() -> R) -> R {
    let Some(mut within) = Within::enter() else { return make() };
    let Some(mut locked) = Locked::new(call) else {
        drop(within);
        return make();
    };
    let id = locked.id;
    let done = locked.scheduler().wait(id, call, Wait::Outside);
    locked.check(done);
    locked.call_holder();
    drop(locked);
    let result = make();
    within.errno = errno();
    if let Some(mut locked) = Locked::new(call) {
        locked.scheduler().resume(id);
        drop(locked.wait_for_turn());
    }
    result
}

/// Makes calls of this library's own.
pub fn quietly<R>(make: impl FnOnce() -> R) -> R {
    let within = Within::enter();
    let result = make();
    drop(within);
    result
}

/// Waits at a futex while `is_unchanged`; a number of an error, or 0. Nothing for a thread that takes no turns.
pub fn wait_at_futex(
    address: usize,
    bits: u32,
    limit: Option<Duration>,
    is_unchanged: impl FnOnce() -> bool,
) -> Option<c_int> {
    let _within = Within::enter()?;
    let mut locked = Locked::new(Call::FutexWait)?;
    if !is_unchanged() {
        return Some(libc::EAGAIN);
    }
    let id = locked.id;
    let wait = Wait::Futex { address, bits, limited: limit.is_some() };
    let done = locked.scheduler().wait(id, Call::FutexWait, wait);
    locked.check(done);
    locked.call_holder();
    let until = limit.map(|limit| Instant::now() + limit);
    let (mut locked, timed_out) = wait_for_wake(locked, until);
    if timed_out {
        locked.scheduler().resume(id);
    }
    drop(locked.wait_for_turn());
    Some(if timed_out { libc::ETIMEDOUT } else { 0 })
}

/// Waits until this thread is woken, or the time has come.
fn wait_for_wake(mut locked: Locked, until: Option<Instant>) -> (Locked, bool) {
    let (id, gate) = (locked.id, locked.gate());
    while locked.scheduler().is_waiting(id) {
        let Some(until) = until else {
            locked.turns = gate.wait(locked.turns).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (locked, true);
        }
        locked.turns = gate.wait_timeout(locked.turns, left).unwrap_or_else(PoisonError::into_inner).0;
    }
    (locked, false)
}

/// Wakes threads that wait at a futex; how many it were. Nothing for a thread that takes no turns.
pub fn wake_at_futex(address: usize, bits: u32, most: usize) -> Option<usize> {
    let _within = Within::enter()?;
    let mut locked = Locked::new(Call::FutexWake)?;
    Some(locked.scheduler().wake(address, bits, most))
}

/// A new thread of the process, which takes turns from now on. Nothing if its maker takes none.
pub fn create() -> Option<ThreadId> {
    let _within = Within::enter()?;
    let mut locked = Locked::new(Call::CreateThread)?;
    locked.state().gates.push(Arc::default());
    Some(locked.scheduler().create())
}

/// The thread could not be started.
pub fn cancel(id: ThreadId) {
    let _within = Within::enter();
    if let Some(mut locked) = Locked::new(Call::CreateThread) {
        locked.scheduler().cancel(id);
    }
}

/// Has this thread, which has just been started, wait for its first turn.
pub fn begin(id: ThreadId) {
    let _within = Within::enter();
    OWN.set(Own::Running(id));
    if let Some(locked) = Locked::new(Call::CreateThread) {
        drop(locked.wait_for_turn());
    }
}

/// Waits for a thread's end.
pub fn join(other: ThreadId) {
    let Some(_within) = Within::enter() else { return };
    let Some(mut locked) = Locked::new(Call::JoinThread) else { return };
    let id = locked.id;
    let done = locked.scheduler().wait(id, Call::JoinThread, Wait::End(other));
    locked.check(done);
    drop(locked.wait_for_turn());
}

/// This thread takes no turns any more.
pub fn end() {
    let _within = Within::enter();
    let Some(mut locked) = Locked::new(Call::EndThread) else { return };
    let id = locked.id;
    let done = locked.scheduler().end(id);
    locked.check(done);
    locked.call_holder();
    OWN.set(Own::Ended);
}

/// Tells of a fault in one line, and ends the process.
fn fail(seed: u64, fault: Fault) -> ! {
    let mut name = [0_u8; THREAD_NAME_BYTES];
    // SAFETY: the kernel writes at most that many bytes.
    unsafe { libc::prctl(libc::PR_GET_NAME, name.as_mut_ptr()) };
    let end = name.iter().position(|byte| *byte == 0).unwrap_or(name.len());
    let name = String::from_utf8_lossy(&name[..end]);
    let mut line = format!("turns: thread {name}, seed {seed}: {fault}\n");
    if std::env::var_os(BACKTRACE_VARIABLE).is_some() {
        line.push_str(&std::backtrace::Backtrace::force_capture().to_string());
    }
    // SAFETY: the line lives for the call. The process ends then.
    unsafe {
        libc::write(libc::STDERR_FILENO, line.as_ptr().cast(), line.len());
        libc::abort()
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
