//! What discovery says of the fleet: versions, changes since a version, each listed some time after it happened.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// A member's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Standing {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Not there any more.
    Gone,
}

impl Standing {
    /// Its word in the list.
    pub fn word(self) -> &'static str {
        match self {
            Standing::Ready => "ready",
            Standing::Draining => "draining",
            Standing::Gone => "gone",
        }
    }
}

/// How one member is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Line {
    /// Which member.
    pub member: usize,
    /// Its state.
    pub standing: Standing,
    /// Its last start; none: long ago.
    pub started: Option<Nanos>,
}

/// So many changes can be asked for; who is further behind gets the whole list.
const CHANGES_MOST: usize = 1024;

/// The list and its history.
#[derive(Debug, Default)]
pub struct Roster {
    version: u64,
    lines: Vec<Option<Line>>,
    changes: VecDeque<(u64, Line)>,
    /// Lists these as draining, whatever they are.
    lies: Vec<usize>,
}

impl Roster {
    /// Starts at a version with the members that run.
    pub fn new(members: usize) -> Self {
        let line = |member| Some(Line { member, standing: Standing::Ready, started: None });
        Roster { version: 1, lines: (0..members).map(line).collect(), ..Roster::default() }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Lists a change.
    pub fn publish(&mut self, line: Line) {
        if self.lines.len() <= line.member {
            self.lines.resize(line.member + 1, None);
        }
        let before = self.told(line.member);
        self.lines[line.member] = Some(line).filter(|l| l.standing != Standing::Gone);
        if before != self.told(line.member) {
            self.note(line);
        }
    }

    fn note(&mut self, line: Line) {
        self.version += 1;
        let told = self.told(line.member).unwrap_or(line);
        self.changes.push_back((self.version, told));
        if self.changes.len() > CHANGES_MOST {
            self.changes.pop_front();
        }
    }

    /// Lists these as draining from now on, and those that it lied of before as they are.
    pub fn lie(&mut self, members: Vec<usize>) {
        let before = std::mem::replace(&mut self.lies, members);
        let changed: Vec<usize> = before
            .iter()
            .chain(&self.lies)
            .filter(|m| before.contains(m) != self.lies.contains(m))
            .copied()
            .collect();
        for member in changed {
            if let Some(line) = self.lines.get(member).copied().flatten() {
                self.note(line);
            }
        }
    }

    /// A member as the list has it.
    pub fn told(&self, member: usize) -> Option<Line> {
        let line = self.lines.get(member).copied().flatten()?;
        let lied = line.standing == Standing::Ready && self.lies.contains(&member);
        Some(if lied { Line { standing: Standing::Draining, ..line } } else { line })
    }

    /// The whole list.
    pub fn all(&self) -> Vec<Line> {
        (0..self.lines.len()).filter_map(|m| self.told(m)).collect()
    }

    /// What has changed since a version; none: that is too long ago, or a version of the future.
    pub fn since(&self, version: u64) -> Option<Vec<Line>> {
        let missed = self.version.checked_sub(version)? as usize;
        if missed > self.changes.len() {
            return None;
        }
        Some(self.changes.iter().skip(self.changes.len() - missed).map(|(_, line)| *line).collect())
    }
}

#[cfg(test)]
mod tests;
