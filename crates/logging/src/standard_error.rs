//! Standard error, written without waiting for who reads it.

use nix::fcntl::OFlag;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};

/// The file of standard error, from which another description of it is opened.
const STANDARD_ERROR: &str = "/proc/self/fd/2";

/// Prints lines on standard error, such as why the program can't go on. A pipe or terminal that takes no more gets no
/// more, and a reader that has gone is no error.
pub fn print_lines(lines: impl IntoIterator<Item = String>) {
    let mut out =
        open_nonblocking().map_or_else(|| Box::new(io::stderr()) as Box<dyn Write>, |file| Box::new(file));
    for line in lines {
        // There is nobody to tell it to.
        let _ = out.write_all(format!("{line}\n").as_bytes());
    }
}

/// Standard error, opened at the first write, which fails where it would have to wait.
#[derive(Default)]
pub struct NonblockingStandardError(Option<Option<File>>);

impl Write for NonblockingStandardError {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.get_or_insert_with(open_nonblocking) {
            Some(file) => file.write(bytes),
            None => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Standard error as a file to which a write never waits; none where that can't be had.
///
/// A pipe or a terminal may have nobody who reads it. It is opened once more, because the flag against waiting belongs to
/// the open file description, which other processes share. A regular file waits for nobody and is used as it is: opened
/// once more it would be written from its beginning. A socket can't be opened again.
fn open_nonblocking() -> Option<File> {
    let inherited = File::from(io::stderr().as_fd().try_clone_to_owned().ok()?);
    let kind = inherited.metadata().ok()?.file_type();
    if kind.is_file() {
        return Some(inherited);
    }
    if !(kind.is_fifo() || kind.is_char_device()) {
        return None;
    }
    let flags = OFlag::O_NONBLOCK | OFlag::O_NOCTTY;
    OpenOptions::new().write(true).custom_flags(flags.bits()).open(STANDARD_ERROR).ok()
}
