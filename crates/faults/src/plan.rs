//! What is to fail: typed rules, read and written as JSON.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};

/// A call of the C library that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Socket,
    Connect,
    /// `accept4`, and `accept`, where a connection waits to be taken.
    Accept,
    Recv,
    Recvfrom,
    Recvmsg,
    Read,
    Readv,
    Send,
    Sendto,
    Sendmsg,
    Write,
    Writev,
    EpollWait,
    /// `getsockopt` of `SO_ERROR`, which tells what became of a connection that was being made.
    SocketError,
    /// `open64`, `open` and `openat`.
    Open,
    Pwrite,
    Fsync,
    Fdatasync,
    Rename,
    Ftruncate,
    /// `clock_gettime` of the monotonic clock.
    ClockGettime,
    /// `clock_gettime` of the wall clock, `gettimeofday` and `time`.
    WallClock,
    /// The `futex` system call, with which the standard library's locks, channels and parked threads wait and wake.
    Futex,
    /// `sched_yield`.
    SchedYield,
    /// `pthread_sigmask`.
    SignalMask,
}

impl Call {
    /// Each call that takes bytes from a socket.
    pub const RECEIVING: [Call; 5] = [Call::Recv, Call::Recvfrom, Call::Recvmsg, Call::Read, Call::Readv];
    /// Each call that gives bytes to a socket.
    pub const SENDING: [Call; 5] = [Call::Send, Call::Sendto, Call::Sendmsg, Call::Write, Call::Writev];
}

/// What a call must be about for a rule to apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum About {
    /// Anything.
    #[default]
    Any,
    /// Any socket that has a port, and any that is to be made or connected.
    Sockets,
    /// A socket whose own port is this one: a listener, or a connection that it took.
    LocalPort(u16),
    /// A socket that is connected, or is to be connected, to this port.
    PeerPort(u16),
    /// A socket that is connected to this port, on which bytes, or its peer's end, have come and were not read.
    ArrivedFrom(u16),
    /// A file whose path begins so.
    Files(PathBuf),
    /// Anything that is called by a thread of this name.
    Thread(String),
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It isn't made, and fails with this number.
    Fail(i32),
    /// It is made, and then said to have failed with this number. A connection taken by `accept` is closed then.
    FailAfter(i32),
    /// It is made for at most so many bytes. Danger: epoll promises that a short read or write has emptied or filled the
    /// socket, so a process that relies on this (the runtime's own `AsyncRead` and `AsyncWrite`) waits for ever after an invented one.
    Short(usize),
    /// It is made for at most so many bytes, then the process stops itself (SIGSTOP), so that a test can kill it there.
    StopAfter(usize),
    /// It is made so many microseconds later.
    DelayBefore(u64),
    /// It returns so many microseconds after it was made.
    DelayAfter(u64),
    /// The wall clock is told so many nanoseconds ahead (behind, if negative).
    Step(i64),
}

/// How often a rule strikes among the calls that it applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Often {
    /// Each.
    #[default]
    Always,
    /// The first so many.
    First(u64),
    /// One in so many, drawn by the plan's seed.
    OneIn(u64),
    /// That one alone, counted from 1.
    Only(u64),
}

/// Calls that fail, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// What the log calls it; no blanks.
    pub name: String,
    pub calls: Vec<Call>,
    #[serde(default)]
    pub about: About,
    pub effect: Effect,
    #[serde(default)]
    pub often: Often,
}

impl Rule {
    /// A rule about anything, at every call.
    pub fn new(name: &str, calls: &[Call], effect: Effect) -> Self {
        Rule { name: name.to_owned(), calls: calls.to_vec(), about: About::Any, effect, often: Often::Always }
    }

    #[must_use]
    pub fn about(mut self, about: About) -> Self {
        self.about = about;
        self
    }

    #[must_use]
    pub fn often(mut self, often: Often) -> Self {
        self.often = often;
        self
    }
}

/// All that is to fail in one process. The first rule that strikes a call decides; delays let later rules speak as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub rules: Vec<Rule>,
}

impl Plan {
    pub fn new(seed: u64, rules: &[Rule]) -> Self {
        Plan { seed, rules: rules.to_vec() }
    }

    /// Reads a plan's file.
    pub fn read(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read(path).map_err(|e| PlanError::Read(path.to_owned(), e))?;
        serde_json::from_slice(&text).map_err(|e| PlanError::Parse(path.to_owned(), e))
    }

    /// Replaces a plan's file as a whole, so that a running process sees either plan and no mixture.
    pub fn write(&self, path: &Path) -> Result<(), PlanError> {
        let failed = |e| PlanError::Write(path.to_owned(), e);
        let text = serde_json::to_vec_pretty(self).map_err(|e| PlanError::Parse(path.to_owned(), e))?;
        let beside = path.with_extension("new");
        std::fs::write(&beside, text).map_err(failed)?;
        std::fs::rename(&beside, path).map_err(failed)
    }
}

/// Why a plan can't be read or written.
#[derive(Debug)]
pub enum PlanError {
    Read(PathBuf, std::io::Error),
    Parse(PathBuf, serde_json::Error),
    Write(PathBuf, std::io::Error),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Read(path, e) => write!(f, "{}: can't be read: {e}", path.display()),
            PlanError::Parse(path, e) => write!(f, "{}: no plan: {e}", path.display()),
            PlanError::Write(path, e) => write!(f, "{}: can't be written: {e}", path.display()),
        }
    }
}

impl std::error::Error for PlanError {}
