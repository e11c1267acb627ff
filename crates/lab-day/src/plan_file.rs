//! Errors in an experiment's file, each with its position.

use std::fmt;

/// All problems of an experiment's file.
#[derive(Debug)]
pub struct PlanError {
    /// `file:line:column: reason`, one entry for each problem.
    pub problems: Vec<String>,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problems.join("\n"))
    }
}

impl std::error::Error for PlanError {}

/// The line and column, both from 1, of a byte offset in a text.
pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let offset = (0..=offset.min(text.len())).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    let before = text.get(..offset).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, column)
}

#[cfg(test)]
mod tests;
