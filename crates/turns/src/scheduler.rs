//! Picks the next thread to run and detects faulty behaviour of threads. Uses no I/O and no clock.

use crate::fault::Fault;

/// The number of consecutive yields of a thread, with another thread ready at each, that counts as spinning.
/// Far more than a bounded backoff makes before it waits.
pub const MAX_YIELDS: u32 = 1_000;
/// The number of calls without a wait, with another thread ready at each, after which a thread counts as
/// never waiting.
pub const MAX_TURNS: u32 = 100_000;
/// A seed that holds one thread back draws it among this many of the process's first threads.
const HOLDABLE_THREADS: u64 = 4;

/// A thread, numbered in the order in which the process's threads were created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThreadId(usize);

impl ThreadId {
    /// The main thread.
    pub const MAIN: ThreadId = ThreadId(0);

    /// Returns the thread's position in that order.
    pub fn index(self) -> usize {
        self.0
    }
}

/// A call at which the turn may go to another thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accepts a connection.
    Accept,
    /// Opens a connection.
    Connect,
    /// Creates a thread.
    CreateThread,
    /// Ends the calling thread.
    EndThread,
    /// Waits for events on file descriptors through epoll.
    EpollWait,
    /// Waits on a futex.
    FutexWait,
    /// Wakes waiters of a futex.
    FutexWake,
    /// Waits for the end of a thread.
    JoinThread,
    /// Waits for events on file descriptors through poll.
    Poll,
    /// Reads or receives bytes.
    Receive,
    /// Writes or sends bytes.
    Send,
    /// Changes the calling thread's signal mask.
    SignalMask,
    /// Sleeps.
    Sleep,
    /// Yields the processor.
    Yield,
}

/// What a thread waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// A wake-up of a futex whose bit mask intersects this one.
    Futex {
        /// The futex's address.
        address: usize,
        /// The bit mask; all bits are set if the call has no mask.
        bits: u32,
        /// Whether the wait has a timeout.
        limited: bool,
    },
    /// The end of a thread.
    End(ThreadId),
    /// An event from outside the process: bytes, a connection, a timer, a signal.
    Outside,
}

impl Wait {
    /// Whether only another thread of the process can end the wait.
    fn needs_another_thread(self) -> bool {
        match self {
            Wait::Futex { limited, .. } => !limited,
            Wait::End(_) => true,
            Wait::Outside => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    Waiting(Wait),
    Ended,
}

struct Thread {
    state: State,
    /// Calls since the last wait, with another thread ready.
    turns: u32,
    /// Yields since the last call of another kind, with another thread ready.
    yields: u32,
}

impl Thread {
    fn new() -> Self {
        Thread { state: State::Ready, turns: 0, yields: 0 }
    }
}

/// Draws the thread that runs next from a seed.
pub struct Scheduler {
    seed: u64,
    draw_count: u64,
    held_back: Option<ThreadId>,
    threads: Vec<Thread>,
    holder: Option<ThreadId>,
}

impl Scheduler {
    /// Returns the scheduler of a process whose main thread holds the turn. About half of the seeds hold one
    /// thread back for as long as others can run.
    pub fn new(seed: u64) -> Self {
        let mut scheduler = Scheduler {
            seed,
            draw_count: 0,
            held_back: None,
            threads: vec![Thread::new()],
            holder: Some(ThreadId::MAIN),
        };
        if scheduler.draw(2) == 1 {
            scheduler.held_back = Some(ThreadId(scheduler.draw(HOLDABLE_THREADS) as usize));
        }
        scheduler
    }

    /// Returns the seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the thread that this seed holds back, if any.
    pub fn held_back(&self) -> Option<ThreadId> {
        self.held_back
    }

    /// Returns the thread that holds the turn, or `None` while all threads wait.
    pub fn holder(&self) -> Option<ThreadId> {
        self.holder
    }

    /// Adds a thread, which is ready to run.
    pub fn create(&mut self) -> ThreadId {
        self.threads.push(Thread::new());
        ThreadId(self.threads.len() - 1)
    }

    /// Records a call of a thread and draws the next holder of the turn.
    ///
    /// # Errors
    /// If the thread spins, never waits, or does not hold the turn.
    pub fn turn(&mut self, id: ThreadId, call: Call) -> Result<(), Fault> {
        self.check_holder(id, call)?;
        let another_is_ready = self.ready().any(|other| other != id);
        let thread = &mut self.threads[id.0];
        if call != Call::Yield {
            thread.yields = 0;
        }
        if another_is_ready {
            thread.turns += 1;
            thread.yields += u32::from(call == Call::Yield);
        }
        if thread.yields >= MAX_YIELDS {
            return Err(Fault::Spins(call));
        }
        if thread.turns >= MAX_TURNS {
            return Err(Fault::NeverWaits(call));
        }
        self.draw_next_holder();
        Ok(())
    }

    /// Makes a thread wait, and draws the next holder of the turn.
    ///
    /// # Errors
    /// If the thread does not hold the turn, or all threads now wait for each other.
    pub fn wait(&mut self, id: ThreadId, call: Call, wait: Wait) -> Result<(), Fault> {
        self.check_holder(id, call)?;
        if !self.has_ended(wait) {
            self.threads[id.0] = Thread { state: State::Waiting(wait), ..Thread::new() };
        }
        self.draw_next_holder();
        self.check_progress(call)
    }

    /// Marks a thread as ready after its wait timed out or ended by an event from outside the process. Has no
    /// effect on a thread that has been woken in the meantime.
    pub fn resume(&mut self, id: ThreadId) {
        self.threads[id.0].state = State::Ready;
        if self.holder.is_none() {
            self.draw_next_holder();
        }
    }

    /// Wakes up to `max_woken` threads that wait on a futex, in order of creation, and returns their number.
    pub fn wake(&mut self, futex: usize, wake_bits: u32, max_woken: usize) -> usize {
        let waits = |thread: &&mut Thread| {
            matches!(thread.state, State::Waiting(Wait::Futex { address, bits, .. })
                if address == futex && bits & wake_bits != 0)
        };
        let woken = self.threads.iter_mut().filter(waits).take(max_woken);
        woken.map(|thread| thread.state = State::Ready).count()
    }

    /// Whether a thread is waiting.
    pub fn is_waiting(&self, id: ThreadId) -> bool {
        matches!(self.threads[id.0].state, State::Waiting(_))
    }

    /// Ends a thread, and wakes the threads that join it.
    ///
    /// # Errors
    /// If the thread does not hold the turn, or all remaining threads wait for each other.
    pub fn end(&mut self, id: ThreadId) -> Result<(), Fault> {
        self.check_holder(id, Call::EndThread)?;
        self.threads[id.0].state = State::Ended;
        for thread in &mut self.threads {
            if thread.state == State::Waiting(Wait::End(id)) {
                thread.state = State::Ready;
            }
        }
        self.draw_next_holder();
        self.check_progress(Call::EndThread)
    }

    /// Removes a thread that could not be started.
    pub fn cancel(&mut self, id: ThreadId) {
        self.threads[id.0].state = State::Ended;
    }

    fn has_ended(&self, wait: Wait) -> bool {
        matches!(wait, Wait::End(other) if self.threads[other.0].state == State::Ended)
    }

    fn check_holder(&self, id: ThreadId, call: Call) -> Result<(), Fault> {
        if self.holder == Some(id) {
            Ok(())
        } else {
            Err(Fault::WithoutTurn(call))
        }
    }

    fn check_progress(&self, call: Call) -> Result<(), Fault> {
        let stuck = |thread: &Thread| match thread.state {
            State::Ready => false,
            State::Waiting(wait) => wait.needs_another_thread(),
            State::Ended => true,
        };
        let any_alive = self.threads.iter().any(|thread| thread.state != State::Ended);
        if any_alive && self.threads.iter().all(stuck) {
            return Err(Fault::Deadlock(call));
        }
        Ok(())
    }

    fn ready(&self) -> impl Iterator<Item = ThreadId> + '_ {
        let threads = self.threads.iter().enumerate();
        threads.filter(|(_, thread)| thread.state == State::Ready).map(|(index, _)| ThreadId(index))
    }

    /// Draws the next holder of the turn among the ready threads.
    fn draw_next_holder(&mut self) {
        let mut ready: Vec<ThreadId> = self.ready().collect();
        if ready.len() > 1 {
            ready.retain(|id| Some(*id) != self.held_back);
        }
        self.holder = match ready.len() {
            0 => None,
            1 => Some(ready[0]),
            count => Some(ready[self.draw(count as u64) as usize]),
        };
    }

    /// Returns a number below `bound` (splitmix64 over the seed and a counter).
    fn draw(&mut self, bound: u64) -> u64 {
        self.draw_count += 1;
        let mut mixed = self.seed.wrapping_add(self.draw_count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}
