//! Errors in a day's file, and errors in accessing files.

use std::fmt;
use std::path::{Path, PathBuf};

/// All problems of a day's file, displayed as one line each.
#[derive(Debug)]
pub struct DayError {
    /// The file, or the name of a built-in day.
    pub file: String,
    /// One entry for each problem: the key and the reason.
    pub problems: Vec<String>,
}

impl fmt::Display for DayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, problem) in self.problems.iter().enumerate() {
            write!(f, "{}{}: {problem}", if n > 0 { "\n" } else { "" }, self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for DayError {}

/// A file or directory can't be read, written or created.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The path of the file or directory.
    pub path: PathBuf,
    /// The I/O error.
    pub source: std::io::Error,
}

impl FileError {
    /// Adds the path to an I/O error; for `map_err`.
    pub fn at(path: &Path) -> impl FnOnce(std::io::Error) -> FileError + '_ {
        move |source| FileError { path: path.to_owned(), source }
    }
}
