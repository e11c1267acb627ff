//! The process's scheduler and the condition variables on which its threads wait for their turn.

use crate::sending;
use aniseyoke_turns::{Call, Fault, Scheduler, ThreadId, ThreadSchedule, Wait};
use aniseyoke_turns::{BACKTRACE_VARIABLE, SEED_VARIABLE, SIGNALS_VARIABLE};
use libc::c_int;
use std::cell::Cell;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The kernel's maximum length of a thread name in bytes, including the terminating zero byte.
const THREAD_NAME_BYTES: usize = 16;

struct Turns {
    scheduler: Scheduler,
    /// The condition variable on which each thread waits for its turn, by thread index.
    gates: Vec<Arc<Condvar>>,
    /// Signals that the process has yet to send to itself, each with its earliest call number.
    signals: Vec<(u64, c_int)>,
    calls: u64,
}

static TURNS: Mutex<Option<Turns>> = Mutex::new(None);

/// The state of the calling thread.
#[derive(Clone, Copy, PartialEq)]
enum CurrentThread {
    Unknown,
    Running(ThreadId),
    Ended,
}

thread_local! {
    /// Whether this thread is executing code of this library, whose own calls bypass the scheduler.
    static INSIDE_LIBRARY: Cell<bool> = const { Cell::new(false) };
    static CURRENT_THREAD: Cell<CurrentThread> = const { Cell::new(CurrentThread::Unknown) };
}

/// Marks this thread as inside the library while it lives, and restores `errno` when dropped.
struct LibraryGuard {
    errno: c_int,
}

impl LibraryGuard {
    fn enter() -> Option<Self> {
        (!INSIDE_LIBRARY.replace(true)).then(|| LibraryGuard { errno: errno() })
    }
}

impl Drop for LibraryGuard {
    fn drop(&mut self) {
        set_errno(self.errno);
        INSIDE_LIBRARY.set(false);
    }
}

/// The locked scheduler, with the id of the calling thread.
struct LockedTurns {
    turns: MutexGuard<'static, Option<Turns>>,
    id: ThreadId,
}

impl LockedTurns {
    /// Locks the scheduler for a call of this thread. Returns `None` for a thread that has ended.
    fn new(call: Call) -> Option<Self> {
        let mut turns = TURNS.lock().unwrap_or_else(PoisonError::into_inner);
        let is_initialized = turns.is_some();
        let seed = turns.get_or_insert_with(Turns::new).scheduler.seed();
        let id = match CURRENT_THREAD.get() {
            CurrentThread::Running(id) => id,
            CurrentThread::Ended => return None,
            CurrentThread::Unknown if !is_initialized => ThreadId::MAIN,
            CurrentThread::Unknown => abort_with_fault(seed, Fault::WithoutTurn(call)),
        };
        CURRENT_THREAD.set(CurrentThread::Running(id));
        Some(LockedTurns { turns, id })
    }

    fn state(&mut self) -> &mut Turns {
        self.turns.get_or_insert_with(Turns::new)
    }

    fn scheduler(&mut self) -> &mut Scheduler {
        &mut self.state().scheduler
    }

    /// Aborts the process if the result is a fault.
    fn check(&mut self, outcome: Result<(), Fault>) {
        if let Err(fault) = outcome {
            abort_with_fault(self.scheduler().seed(), fault);
        }
    }

    /// Notifies the thread that now holds the turn.
    fn notify_holder(&mut self) {
        if let Some(holder) = self.scheduler().holder() {
            self.state().gates[holder.index()].notify_one();
        }
    }

    /// Waits until this thread holds the turn.
    fn wait_for_turn(mut self) -> Self {
        self.notify_holder();
        let gate = self.gate();
        while self.scheduler().holder() != Some(self.id) {
            self.turns = gate.wait(self.turns).unwrap_or_else(PoisonError::into_inner);
        }
        self
    }

    fn gate(&mut self) -> Arc<Condvar> {
        let index = self.id.index();
        self.state().gates[index].clone()
    }
}

impl Turns {
    fn new() -> Self {
        let text = |name| std::env::var(name).unwrap_or_default();
        let schedule = ThreadSchedule::from_text(&text(SEED_VARIABLE), &text(SIGNALS_VARIABLE));
        let scheduler = Scheduler::new(schedule.seed);
        Turns { scheduler, gates: vec![Arc::default()], signals: schedule.signals, calls: 0 }
    }

    /// Counts a call, and removes and returns the signals that are due at it.
    fn take_due_signals(&mut self) -> Vec<c_int> {
        self.calls += 1;
        let calls = self.calls;
        let is_due = |(call, number): &mut (u64, c_int)| *call <= calls && sending::is_handled(*number);
        self.signals.extract_if(.., is_due).map(|(_, number)| number).collect()
    }
}

/// Passes the turn to the thread that is drawn, and returns when this thread holds it again. Then sends due
/// signals.
pub fn turn(call: Call) {
    let Some(guard) = LibraryGuard::enter() else { return };
    let mut due_signals = Vec::new();
    if let Some(mut locked) = LockedTurns::new(call) {
        let id = locked.id;
        let outcome = locked.scheduler().turn(id, call);
        locked.check(outcome);
        due_signals = locked.wait_for_turn().state().take_due_signals();
    }
    drop(guard);
    due_signals.into_iter().for_each(sending::send);
}

/// Releases the turn while `make` waits for an event from outside the process.
pub fn wait_outside<R>(call: Call, make: impl FnOnce() -> R) -> R {
    let Some(mut guard) = LibraryGuard::enter() else { return make() };
    let Some(mut locked) = LockedTurns::new(call) else {
        drop(guard);
        return make();
    };
    let id = locked.id;
    let outcome = locked.scheduler().wait(id, call, Wait::Outside);
    locked.check(outcome);
    locked.notify_holder();
    drop(locked);
    let result = make();
    guard.errno = errno();
    if let Some(mut locked) = LockedTurns::new(call) {
        locked.scheduler().resume(id);
        drop(locked.wait_for_turn());
    }
    result
}

/// Runs `make` with its calls bypassing the scheduler, and preserves `errno`.
pub fn bypass_scheduler<R>(make: impl FnOnce() -> R) -> R {
    let guard = LibraryGuard::enter();
    let result = make();
    drop(guard);
    result
}

/// Waits on a futex if `is_unchanged`. Returns an error number or 0, or `None` for a thread that takes no
/// turns.
pub fn wait_at_futex(
    address: usize,
    bits: u32,
    limit: Option<Duration>,
    is_unchanged: impl FnOnce() -> bool,
) -> Option<c_int> {
    let _guard = LibraryGuard::enter()?;
    let mut locked = LockedTurns::new(Call::FutexWait)?;
    if !is_unchanged() {
        return Some(libc::EAGAIN);
    }
    let id = locked.id;
    let wait = Wait::Futex { address, bits, limited: limit.is_some() };
    let outcome = locked.scheduler().wait(id, Call::FutexWait, wait);
    locked.check(outcome);
    locked.notify_holder();
    let deadline = limit.map(|limit| Instant::now() + limit);
    let (mut locked, timed_out) = wait_for_wake(locked, deadline);
    if timed_out {
        locked.scheduler().resume(id);
    }
    drop(locked.wait_for_turn());
    Some(if timed_out { libc::ETIMEDOUT } else { 0 })
}

/// Waits until this thread is woken or the deadline has passed. Returns whether it timed out.
fn wait_for_wake(mut locked: LockedTurns, deadline: Option<Instant>) -> (LockedTurns, bool) {
    let (id, gate) = (locked.id, locked.gate());
    while locked.scheduler().is_waiting(id) {
        let Some(deadline) = deadline else {
            locked.turns = gate.wait(locked.turns).unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return (locked, true);
        }
        locked.turns = gate.wait_timeout(locked.turns, time_left).unwrap_or_else(PoisonError::into_inner).0;
    }
    (locked, false)
}

/// Wakes up to `max_woken` waiters of a futex. Returns their number, or `None` for a thread that takes no
/// turns.
pub fn wake_at_futex(address: usize, bits: u32, max_woken: usize) -> Option<usize> {
    let _guard = LibraryGuard::enter()?;
    let mut locked = LockedTurns::new(Call::FutexWake)?;
    Some(locked.scheduler().wake(address, bits, max_woken))
}

/// Registers a new thread, which takes turns from now on. Returns `None` if the calling thread takes no
/// turns.
pub fn create() -> Option<ThreadId> {
    let _guard = LibraryGuard::enter()?;
    let mut locked = LockedTurns::new(Call::CreateThread)?;
    locked.state().gates.push(Arc::default());
    Some(locked.scheduler().create())
}

/// Removes a thread that could not be started.
pub fn cancel(id: ThreadId) {
    let _guard = LibraryGuard::enter();
    if let Some(mut locked) = LockedTurns::new(Call::CreateThread) {
        locked.scheduler().cancel(id);
    }
}

/// Makes the calling thread, which has just been started, wait for its first turn.
pub fn begin(id: ThreadId) {
    let _guard = LibraryGuard::enter();
    CURRENT_THREAD.set(CurrentThread::Running(id));
    if let Some(locked) = LockedTurns::new(Call::CreateThread) {
        drop(locked.wait_for_turn());
    }
}

/// Waits for a thread's end.
pub fn join(other: ThreadId) {
    let Some(_guard) = LibraryGuard::enter() else { return };
    let Some(mut locked) = LockedTurns::new(Call::JoinThread) else { return };
    let id = locked.id;
    let outcome = locked.scheduler().wait(id, Call::JoinThread, Wait::End(other));
    locked.check(outcome);
    drop(locked.wait_for_turn());
}

/// Ends the calling thread, which takes no more turns.
pub fn end() {
    let _guard = LibraryGuard::enter();
    let Some(mut locked) = LockedTurns::new(Call::EndThread) else { return };
    let id = locked.id;
    let outcome = locked.scheduler().end(id);
    locked.check(outcome);
    locked.notify_holder();
    CURRENT_THREAD.set(CurrentThread::Ended);
}

/// Reports a fault in one line on standard error, and aborts the process.
fn abort_with_fault(seed: u64, fault: Fault) -> ! {
    let mut name = [0_u8; THREAD_NAME_BYTES];
    // SAFETY: the kernel writes at most `THREAD_NAME_BYTES` bytes.
    unsafe { libc::prctl(libc::PR_GET_NAME, name.as_mut_ptr()) };
    let end = name.iter().position(|byte| *byte == 0).unwrap_or(name.len());
    let name = String::from_utf8_lossy(&name[..end]);
    let mut line = format!("turns: thread {name}, seed {seed}: {fault}\n");
    if std::env::var_os(BACKTRACE_VARIABLE).is_some() {
        line.push_str(&std::backtrace::Backtrace::force_capture().to_string());
    }
    // SAFETY: the line lives for the call. The process is aborted afterwards.
    unsafe {
        libc::write(libc::STDERR_FILENO, line.as_ptr().cast(), line.len());
        libc::abort()
    }
}

pub fn errno() -> c_int {
    // SAFETY: the pointer is valid: it points to this thread's own `errno`.
    unsafe { *libc::__errno_location() }
}

pub fn set_errno(number: c_int) {
    // SAFETY: the pointer is valid: it points to this thread's own `errno`.
    unsafe { *libc::__errno_location() = number }
}
