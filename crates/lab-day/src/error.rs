//! What is wrong with a day's file, and the error of a file that can't be used.

use std::fmt;
use std::path::{Path, PathBuf};

/// Everything that is wrong with a day's file, one line for each problem.
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

/// A file, or a folder, that can't be read, written or created.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The file.
    pub path: PathBuf,
    /// What the system says.
    pub source: std::io::Error,
}

impl FileError {
    /// Names the file in an error of the system, for `map_err`.
    pub fn at(path: &Path) -> impl FnOnce(std::io::Error) -> FileError + '_ {
        move |source| FileError { path: path.to_owned(), source }
    }
}
