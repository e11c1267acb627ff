//! Writes to standard error without waiting indefinitely for its reader.

use nix::fcntl::OFlag;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::Socket;
use std::backtrace::{Backtrace, BacktraceStatus};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::time::{Duration, Instant};

/// The path of standard error, used to open another file description of it.
const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// The longest wait for the reader, over all lines that are printed together.
const MAX_PRINT_WAIT: Duration = Duration::from_secs(1);
/// The longest wait for the reader when a panic is printed: the thread may continue to serve requests.
const MAX_PANIC_WAIT: Duration = Duration::from_millis(20);

/// Prints lines to standard error, such as the reason why the program exits. A slow reader gets all lines; if
/// the reader reads nothing, the call returns after at most a second. A closed reader is not an error.
///
/// If standard error can't be reopened, such as a pipe of another user, it is written directly and the call
/// may block.
pub fn print_lines(lines: impl IntoIterator<Item = String>) {
    let text: String = lines.into_iter().map(|line| line + "\n").collect();
    print_within(&text, MAX_PRINT_WAIT);
}

/// Installs a hook that prints panics to standard error like the default hook, but waits only milliseconds
/// for a reader that reads nothing. Panics bypass the log, since the panicking code may hold its lock.
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
    // Errors are ignored: there is no other place to report them.
    let _ = match NonblockingOutput::open() {
        Some(output) => output.write_all_within(text.as_bytes(), timeout),
        None => io::stderr().write_all(text.as_bytes()),
    };
}

/// Standard error, opened at the first write. Writes fail instead of blocking.
#[derive(Default)]
pub enum NonblockingStandardError {
    /// Nothing was written yet.
    #[default]
    NotOpened,
    /// Standard error is open for writing.
    Open(NonblockingOutput),
    /// Standard error can't be written without blocking.
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

/// A handle to standard error whose writes never block.
pub enum NonblockingOutput {
    /// A regular file, whose writes do not wait for a reader, or a pipe or terminal that was reopened.
    File(File),
    /// A socket, written with a non-blocking flag for each call.
    Socket(Socket),
}

impl NonblockingOutput {
    /// Opens standard error for writing without blocking. Returns none if that is not possible.
    ///
    /// A pipe or a terminal may have no reader. It is reopened, because the non-blocking flag belongs to the
    /// open file description, which is shared with other processes. A regular file is used as it is: a
    /// reopened file would be written from its beginning. A socket has a flag for each call.
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
        let reopened = OpenOptions::new().write(true).custom_flags(flags.bits()).open(STANDARD_ERROR);
        reopened.ok().map(Self::File)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::File(file) => (&*file).write(bytes),
            Self::Socket(socket) => socket.send_with_flags(bytes, libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL),
        }
    }

    /// Writes all bytes, and waits at most `timeout` for the reader.
    fn write_all_within(&self, mut bytes: &[u8], timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        while !bytes.is_empty() {
            match self.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.wait_until_writable(deadline)?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn wait_until_writable(&self, deadline: Instant) -> io::Result<()> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let timeout = PollTimeout::try_from(remaining + Duration::from_millis(1)).unwrap_or(PollTimeout::MAX);
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
