//! Standard error, written without waiting without a bound for who reads it.

use nix::fcntl::OFlag;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::Socket;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::time::{Duration, Instant};

/// The file of standard error, from which another description of it is opened.
const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// The longest wait for a reader, over all lines that are printed together.
const MAX_PRINT_WAIT: Duration = Duration::from_secs(1);
/// The longest wait for a reader of a panic: the thread may go on serving after it.
const MAX_PANIC_WAIT: Duration = Duration::from_millis(20);

/// Prints lines on standard error, such as why the program can't go on. Who reads slowly gets them all; for who reads
/// nothing they wait no longer than a second. A reader that has gone is no error.
///
/// Where standard error can't be opened again, as a pipe of another user, it is written as it is and may wait.
pub fn print_lines(lines: impl IntoIterator<Item = String>) {
    let text: String = lines.into_iter().map(|line| line + "\n").collect();
    print_within(&text, MAX_PRINT_WAIT);
}

/// Has panics told on standard error like by default, but for a reader that reads nothing a panic waits for milliseconds
/// only. The lines do not go through the log: what panicked may hold its lock.
pub fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("<unnamed>");
        let backtrace = Backtrace::capture();
        let trace = if backtrace.status() == BacktraceStatus::Captured {
            format!("{backtrace}\n")
        } else {
            String::new()
        };
        print_within(&format!("aniseyoke: thread '{name}' {panic}\n{trace}"), MAX_PANIC_WAIT);
    }));
}

fn print_within(text: &str, timeout: Duration) {
    // There is nobody to tell an error to.
    let _ = match NonblockingOutput::open() {
        Some(output) => output.write_all_within(text.as_bytes(), timeout),
        None => io::stderr().write_all(text.as_bytes()),
    };
}

/// Standard error, opened at the first write, which fails where it would have to wait.
#[derive(Default)]
pub enum NonblockingStandardError {
    /// Nothing was written yet.
    #[default]
    NotOpened,
    /// It takes lines.
    Open(NonblockingOutput),
    /// It can't be written without waiting.
    Unavailable,
}

impl Write for NonblockingStandardError {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Self::NotOpened = self {
            *self = NonblockingOutput::open().map_or(Self::Unavailable, Self::Open);
        }
        match self {
            Self::Open(output) => output.write(bytes),
            _ => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What standard error is, such that a write to it never waits.
pub enum NonblockingOutput {
    /// A regular file, which waits for nobody, or a pipe or terminal that was opened once more.
    File(File),
    /// A socket.
    Socket(Socket),
}

impl NonblockingOutput {
    /// None where a write to standard error may have to wait.
    ///
    /// A pipe or a terminal may have nobody who reads it. It is opened once more, because the flag against waiting belongs
    /// to the open file description, which other processes share. A regular file is used as it is: opened once more it
    /// would be written from its beginning. A socket has a flag for each call.
    fn open() -> Option<Self> {
        let inherited = File::from(io::stderr().as_fd().try_clone_to_owned().ok()?);
        let kind = inherited.metadata().ok()?.file_type();
        if kind.is_file() {
            return Some(Self::File(inherited));
        }
        if kind.is_socket() {
            return Some(Self::Socket(Socket::from(OwnedFd::from(inherited))));
        }
        if !(kind.is_fifo() || kind.is_char_device()) {
            return None;
        }
        let flags = OFlag::O_NONBLOCK | OFlag::O_NOCTTY;
        let again = OpenOptions::new().write(true).custom_flags(flags.bits()).open(STANDARD_ERROR);
        again.ok().map(Self::File)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::File(file) => (&*file).write(bytes),
            Self::Socket(socket) => socket.send_with_flags(bytes, libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL),
        }
    }

    /// Writes everything, and waits no longer than this for who reads it.
    fn write_all_within(&self, mut bytes: &[u8], timeout: Duration) -> io::Result<()> {
        let give_up_at = Instant::now() + timeout;
        while !bytes.is_empty() {
            match self.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.wait_until_writable(give_up_at)?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn wait_until_writable(&self, give_up_at: Instant) -> io::Result<()> {
        let left = give_up_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let timeout = PollTimeout::try_from(left + Duration::from_millis(1)).unwrap_or(PollTimeout::MAX);
        match poll(&mut [PollFd::new(self.as_fd(), PollFlags::POLLOUT)], timeout) {
            Ok(_) | Err(nix::errno::Errno::EINTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }
}

impl AsFd for NonblockingOutput {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Self::File(file) => file.as_fd(),
            Self::Socket(socket) => socket.as_fd(),
        }
    }
}
