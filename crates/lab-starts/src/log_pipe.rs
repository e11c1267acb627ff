//! The pipe for the standard error of the process: read, full, or without a reader.

use crate::plan::Reader;
use crate::StartsError;
use nix::fcntl::{fcntl, FcntlArg, OFlag};
use std::io::{BufRead, BufReader, ErrorKind, PipeReader, PipeWriter, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// The lines read so far.
type Lines = Arc<Mutex<Vec<String>>>;

/// The read end of the log pipe.
pub struct LogPipe {
    /// The read end, if reading has not begun.
    unread: Option<PipeReader>,
    lines: Lines,
    thread: Option<JoinHandle<()>>,
}

impl LogPipe {
    /// Creates the pipe; also returns the standard error for the process, if it has one.
    ///
    /// # Errors
    /// If the pipe cannot be created.
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

    /// Begins to read, unless reading has already begun.
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

    /// Whether a line contains this text.
    pub fn has_line_containing(&self, text: &str) -> bool {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().any(|line| line.contains(text))
    }

    /// Reads to the end and returns all lines. The process must have ended.
    pub fn close(mut self) -> Vec<String> {
        if let Some(thread) = self.thread.take() {
            // The reading thread does not panic.
            let _ = thread.join();
        }
        std::mem::take(&mut *self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Fills the pipe with empty lines.
fn fill(pipe: &mut PipeWriter) -> std::io::Result<()> {
    fcntl(&*pipe, FcntlArg::F_SETFL(OFlag::O_NONBLOCK))?;
    // Guards against a pipe that is not full: a write of up to a page is atomic, so the remaining space is
    // filled with single bytes.
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
