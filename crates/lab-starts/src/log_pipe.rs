//! The standard error of the process: a pipe that is read, or full, or has no reader.

use crate::plan::Reader;
use crate::StartsError;
use nix::fcntl::{fcntl, FcntlArg, OFlag};
use std::io::{BufRead, BufReader, ErrorKind, PipeReader, PipeWriter, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// Lines as they come.
type Lines = Arc<Mutex<Vec<String>>>;

/// The reading side of the log.
pub struct LogPipe {
    /// It is not read yet.
    unread: Option<PipeReader>,
    lines: Lines,
    thread: Option<JoinHandle<()>>,
}

impl LogPipe {
    /// Makes the pipe as a plan says; what is returned beside it is the process's standard error, if it has one.
    ///
    /// # Errors
    /// If no pipe can be made.
    pub fn open(reader: Reader) -> Result<(LogPipe, Option<PipeWriter>), StartsError> {
        let (read_end, mut write_end) = std::io::pipe().map_err(StartsError::Pipe)?;
        let mut pipe = LogPipe { unread: Some(read_end), lines: Lines::default(), thread: None };
        match reader {
            Reader::Reads => pipe.read(),
            Reader::Stalled(_) | Reader::NeverReads => fill(&mut write_end).map_err(StartsError::Pipe)?,
            Reader::Gone => pipe.unread = None,
            Reader::Closed => return Ok((pipe, None)),
        }
        Ok((pipe, Some(write_end)))
    }

    /// Begins to read, if nobody does.
    pub fn read(&mut self) {
        let Some(unread) = self.unread.take() else { return };
        let lines = self.lines.clone();
        self.thread = Some(std::thread::spawn(move || {
            let texts = BufReader::new(unread).split(b'\n').map_while(Result::ok);
            for text in texts.filter(|text| !text.is_empty()) {
                let text = String::from_utf8_lossy(&text).into_owned();
                lines.lock().unwrap_or_else(PoisonError::into_inner).push(text);
            }
        }));
    }

    /// Whether a line holds this text.
    pub fn has_line_containing(&self, text: &str) -> bool {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().any(|line| line.contains(text))
    }

    /// All lines, to the end: the process has ended.
    pub fn close(mut self) -> Vec<String> {
        if let Some(thread) = self.thread.take() {
            // A reader can't panic.
            let _ = thread.join();
        }
        std::mem::take(&mut *self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Writes empty lines until no more fit.
fn fill(pipe: &mut PipeWriter) -> std::io::Result<()> {
    fcntl(&*pipe, FcntlArg::F_SETFL(OFlag::O_NONBLOCK))?;
    // Danger: a write of up to a page is made whole or not at all, so that single bytes fill what is left.
    for length in [4096, 1] {
        loop {
            match pipe.write(&[b'\n'; 4096][..length]) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
    }
    fcntl(&*pipe, FcntlArg::F_SETFL(OFlag::empty()))?;
    Ok(())
}
