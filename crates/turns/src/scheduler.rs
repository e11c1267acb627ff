//! Which thread runs next, and when a thread's behaviour is a fault. No I/O and no clock.

use crate::fault::Fault;

/// So many yields of a thread, with no other call between them, are spinning if another thread could run at each. Far more
/// than a bounded backoff makes before it waits.
pub const MAX_YIELDS: u32 = 1_000;
/// A thread that makes so many calls without waiting once, while another thread could run, keeps the process to itself.
pub const MAX_TURNS: u32 = 100_000;
/// A seed that holds one thread back draws it among the first so many of the process.
const HOLDABLE_THREADS: u64 = 4;

/// A thread, by the order in which the process's threads began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThreadId(usize);

impl ThreadId {
    /// The thread that the process begins with.
    pub const MAIN: ThreadId = ThreadId(0);

    /// Its place in that order.
    pub fn index(self) -> usize {
        self.0
    }
}

/// A call at which the turn may go to another thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A connection is taken.
    Accept,
    /// A connection is made.
    Connect,
    /// A thread is started.
    CreateThread,
    /// A thread ends.
    EndThread,
    /// A wait for events of descriptors through epoll.
    EpollWait,
    /// A wait at a futex.
    FutexWait,
    /// A wake-up at a futex.
    FutexWake,
    /// A wait for a thread's end.
    JoinThread,
    /// A wait for events of descriptors.
    Poll,
    /// Bytes are taken.
    Receive,
    /// Bytes are given.
    Send,
    /// A thread blocks signals, or no longer does.
    SignalMask,
    /// A wait for a time.
    Sleep,
    /// A thread lets others run.
    Yield,
}

/// What a thread waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// A wake-up at an address, by one whose bits meet these.
    Futex {
        /// The futex's address.
        address: usize,
        /// Its bits; all of them where the call has none.
        bits: u32,
        /// Whether the wait ends by itself after a time.
        limited: bool,
    },
    /// The end of a thread.
    End(ThreadId),
    /// Something from outside the process: bytes, a connection, a time, a signal.
    Outside,
}

impl Wait {
    /// Whether only another thread of the process can end it.
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
    /// Calls since it last waited, with another thread ready.
    turns: u32,
    /// Yields since its last other call, with another thread ready.
    yields: u32,
}

impl Thread {
    fn new() -> Self {
        Thread { state: State::Ready, turns: 0, yields: 0 }
    }
}

/// Draws who is next from a seed.
pub struct Scheduler {
    seed: u64,
    drawn: u64,
    held_back: Option<ThreadId>,
    threads: Vec<Thread>,
    holder: Option<ThreadId>,
}

impl Scheduler {
    /// A process with its first thread, which has the turn. Every other seed holds one thread back for as long as others can
    /// run.
    pub fn new(seed: u64) -> Self {
        let mut scheduler = Scheduler {
            seed,
            drawn: 0,
            held_back: None,
            threads: vec![Thread::new()],
            holder: Some(ThreadId::MAIN),
        };
        if scheduler.draw(2) == 1 {
            scheduler.held_back = Some(ThreadId(scheduler.draw(HOLDABLE_THREADS) as usize));
        }
        scheduler
    }

    /// The seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The thread that this seed holds back, if it does so.
    pub fn held_back(&self) -> Option<ThreadId> {
        self.held_back
    }

    /// The thread that has the turn; none while all wait.
    pub fn holder(&self) -> Option<ThreadId> {
        self.holder
    }

    /// A new thread, which is ready.
    pub fn create(&mut self) -> ThreadId {
        self.threads.push(Thread::new());
        ThreadId(self.threads.len() - 1)
    }

    /// A thread makes a call: it keeps the turn or gives it to another.
    ///
    /// # Errors
    /// If it spins, never waits, or has no turn to give.
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
        self.pass_on();
        Ok(())
    }

    /// A thread waits, and gives its turn away.
    ///
    /// # Errors
    /// If it has no turn to give, or all threads wait for each other now.
    pub fn wait(&mut self, id: ThreadId, call: Call, wait: Wait) -> Result<(), Fault> {
        self.check_holder(id, call)?;
        if !self.is_over(wait) {
            self.threads[id.0] = Thread { state: State::Waiting(wait), ..Thread::new() };
        }
        self.pass_on();
        self.check_progress(call)
    }

    /// A thread's wait is over, by itself or by what came from outside; it takes part again. Nothing changes for one that
    /// was woken meanwhile.
    pub fn resume(&mut self, id: ThreadId) {
        self.threads[id.0].state = State::Ready;
        if self.holder.is_none() {
            self.pass_on();
        }
    }

    /// Wakes at most so many threads that wait at an address, the longest known first; how many it were.
    pub fn wake(&mut self, at: usize, by_bits: u32, most: usize) -> usize {
        let waits = |thread: &&mut Thread| {
            matches!(thread.state, State::Waiting(Wait::Futex { address, bits, .. })
                if address == at && bits & by_bits != 0)
        };
        let woken = self.threads.iter_mut().filter(waits).take(most);
        woken.map(|thread| thread.state = State::Ready).count()
    }

    /// Whether a thread still waits.
    pub fn is_waiting(&self, id: ThreadId) -> bool {
        matches!(self.threads[id.0].state, State::Waiting(_))
    }

    /// A thread ends.
    ///
    /// # Errors
    /// If it has no turn to give, or all others wait for each other.
    pub fn end(&mut self, id: ThreadId) -> Result<(), Fault> {
        self.check_holder(id, Call::EndThread)?;
        self.threads[id.0].state = State::Ended;
        for thread in &mut self.threads {
            if thread.state == State::Waiting(Wait::End(id)) {
                thread.state = State::Ready;
            }
        }
        self.pass_on();
        self.check_progress(Call::EndThread)
    }

    /// A thread that could not be started after all.
    pub fn cancel(&mut self, id: ThreadId) {
        self.threads[id.0].state = State::Ended;
    }

    fn is_over(&self, wait: Wait) -> bool {
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
        let any_left = self.threads.iter().any(|thread| thread.state != State::Ended);
        if any_left && self.threads.iter().all(stuck) {
            return Err(Fault::AllWait(call));
        }
        Ok(())
    }

    fn ready(&self) -> impl Iterator<Item = ThreadId> + '_ {
        let threads = self.threads.iter().enumerate();
        threads.filter(|(_, thread)| thread.state == State::Ready).map(|(at, _)| ThreadId(at))
    }

    /// Draws the next holder of the turn among the threads that are ready.
    fn pass_on(&mut self) {
        let mut ready: Vec<ThreadId> = self.ready().collect();
        if ready.len() > 1 {
            ready.retain(|id| Some(*id) != self.held_back);
        }
        self.holder = match ready.len() {
            0 => None,
            1 => Some(ready[0]),
            many => Some(ready[self.draw(many as u64) as usize]),
        };
    }

    /// A number under a bound (splitmix64 over the seed and a counter).
    fn draw(&mut self, bound: u64) -> u64 {
        self.drawn += 1;
        let mut mixed = self.seed.wrapping_add(self.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}
