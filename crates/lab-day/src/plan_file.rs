//! Errors in the text of an experiment's file, each with its place in the file.

use std::fmt;

/// Everything that is wrong with an experiment's file.
#[derive(Debug)]
pub struct PlanError {
    /// `file:line:col: reason`, one entry for each problem.
    pub problems: Vec<String>,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problems.join("\n"))
    }
}

impl std::error::Error for PlanError {}

/// Line and column, from 1, of a byte of a text.
pub fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let at = (0..=at.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    let before = text.get(..at).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let col = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, col)
}

#[cfg(test)]
mod tests;
