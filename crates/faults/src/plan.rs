//! Fault plans: typed rules, stored as JSON.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::{Path, PathBuf};

/// A function of the C library that faults can be injected into.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    Socket,
    Connect,
    /// `accept4` and `accept`, only while a connection is pending.
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
    /// `getsockopt` of `SO_ERROR`, which returns the result of a non-blocking connect.
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
    /// The `futex` system call, with which the standard library's locks, channels and parked threads wait and
    /// wake.
    Futex,
    /// `sched_yield`.
    SchedYield,
    /// `pthread_sigmask`.
    SignalMask,
}

impl Call {
    /// The calls that receive from a socket.
    pub const RECEIVING: [Call; 5] = [Call::Recv, Call::Recvfrom, Call::Recvmsg, Call::Read, Call::Readv];
    /// The calls that send to a socket.
    pub const SENDING: [Call; 5] = [Call::Send, Call::Sendto, Call::Sendmsg, Call::Write, Call::Writev];
}

/// What a call must refer to for a rule to apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallTarget {
    /// Applies to every call.
    #[default]
    Any,
    /// Any socket that has a port, and any that is being created or connected.
    Sockets,
    /// A socket with this local port: a listener, or a connection that it accepted.
    LocalPort(u16),
    /// A socket that is connected, or being connected, to this port.
    PeerPort(u16),
    /// A socket that is connected to this port and readable: it has unread bytes, or the peer has closed the
    /// connection.
    ArrivedFrom(u16),
    /// A file whose path starts with this prefix.
    Files(PathBuf),
    /// Any call made by a thread of this name.
    Thread(String),
}

/// What a rule does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The call isn't made and fails with this error number.
    Fail(i32),
    /// The call is made, then reported as failed with this error number. A connection that `accept` returned
    /// is closed.
    FailAfter(i32),
    /// The call is made for at most this many bytes. With epoll, a short read or write means that the socket
    /// is empty or full. A process that relies on this, as the runtime's own `AsyncRead` and `AsyncWrite` do,
    /// waits forever after an injected one.
    Short(usize),
    /// The call is made for at most this many bytes, then the process stops itself (SIGSTOP), so that a test
    /// can kill it at this point.
    StopAfter(usize),
    /// Delay before the call, in microseconds.
    DelayBefore(u64),
    /// Delay between the call and its return, in microseconds.
    DelayAfter(u64),
    /// Offset of the wall clock in nanoseconds; negative values set it back.
    Step(i64),
}

/// How often a rule takes effect among the calls that it applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frequency {
    /// Every call.
    #[default]
    Always,
    /// The first calls, up to this number.
    First(u64),
    /// On average one call in this many, selected pseudorandomly by the plan's seed.
    OneIn(u64),
    /// Only the call with this number, counted from 1.
    Only(u64),
}

/// Which calls are affected, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Name of the rule in the log; must not contain spaces.
    pub name: String,
    pub calls: Vec<Call>,
    #[serde(default)]
    pub about: CallTarget,
    pub effect: Effect,
    #[serde(default)]
    pub often: Frequency,
}

impl Rule {
    /// Returns a rule that affects every one of the given calls, whatever they refer to.
    pub fn new(name: &str, calls: &[Call], effect: Effect) -> Self {
        Rule {
            name: name.to_owned(),
            calls: calls.to_vec(),
            about: CallTarget::Any,
            effect,
            often: Frequency::Always,
        }
    }

    #[must_use]
    pub fn about(mut self, about: CallTarget) -> Self {
        self.about = about;
        self
    }

    #[must_use]
    pub fn often(mut self, often: Frequency) -> Self {
        self.often = often;
        self
    }
}

/// All rules for one process. The first rule that affects a call ends the search, except that after a delay
/// the later rules are evaluated as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    pub seed: u64,
    pub rules: Vec<Rule>,
}

impl Plan {
    pub fn new(seed: u64, rules: &[Rule]) -> Self {
        Plan { seed, rules: rules.to_vec() }
    }

    /// Reads a plan from a file.
    pub fn read(path: &Path) -> Result<Self, PlanError> {
        let text = std::fs::read(path).map_err(|e| PlanError::Read(path.to_owned(), e))?;
        serde_json::from_slice(&text).map_err(|e| PlanError::Parse(path.to_owned(), e))
    }

    /// Replaces a plan's file atomically, so that a running process reads either the old or the new plan.
    pub fn write(&self, path: &Path) -> Result<(), PlanError> {
        let failed = |e| PlanError::Write(path.to_owned(), e);
        let text = serde_json::to_vec_pretty(self).map_err(|e| PlanError::Parse(path.to_owned(), e))?;
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, text).map_err(failed)?;
        std::fs::rename(&temporary, path).map_err(failed)
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
            PlanError::Read(path, e) => write!(f, "{}: cannot read the fault plan: {e}", path.display()),
            PlanError::Parse(path, e) => write!(f, "{}: not a valid fault plan: {e}", path.display()),
            PlanError::Write(path, e) => write!(f, "{}: cannot write the fault plan: {e}", path.display()),
        }
    }
}

impl std::error::Error for PlanError {}
