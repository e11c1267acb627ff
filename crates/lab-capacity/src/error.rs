//! Why the capacity page could not be worked out, and why a slope could not be measured.

use aniseyoke_lab_day::{DayError, FileError};
use aniseyoke_lab_process::ProcessError;
use aniseyoke_lab_trial::TrialError;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// Why the page could not be worked out, or a slope not be measured or read.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file or folder can't be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// A TOML file does not have the form that it should.
    #[error("{}: {source}", path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// Where, and what is wrong.
        source: Box<toml::de::Error>,
    },
    /// A JSON file does not have the form that it should.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Where, and what is wrong.
        source: serde_json::Error,
    },
    /// A slope could not be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// A row can't be worked out.
    #[error("{table}, {figure}: {source}")]
    Row {
        /// The row's table.
        table: String,
        /// The row's figure.
        figure: String,
        /// Why.
        source: RowError,
    },
    /// A row names a table that the page fills itself.
    #[error("rows may not fill the table {0}")]
    ReservedTable(&'static str),
    /// The page's markers and its tables do not match.
    #[error("{}: {source}", path.display())]
    Page {
        /// The page.
        path: PathBuf,
        /// Why.
        source: PageError,
    },
    /// A slope's points give no fit.
    #[error("{slope}: {source}")]
    Fit {
        /// The slope.
        slope: String,
        /// Why.
        source: FitError,
    },
    /// A slope's fit is another than its points give.
    #[error("{0}: the fit does not follow from the points")]
    FitDiffers(String),
    /// No family or slope has this name.
    #[error("there is no slope {name}; there are {}", known.join(", "))]
    UnknownSlope {
        /// The name.
        name: String,
        /// The names of all families.
        known: Vec<&'static str>,
    },
    /// A family could not be measured at a size.
    #[error("{family} at {size} {against}: {source}")]
    Measure {
        /// The family.
        family: &'static str,
        /// The size.
        size: f64,
        /// What the size is of.
        against: &'static str,
        /// Why.
        source: Box<MeasureError>,
    },
}

/// Why points give no fit.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// There are none.
    #[error("no points")]
    NoPoints,
    /// Too few for a line with an error.
    #[error("{0} points are too few for a line and its error")]
    TooFewForALine(usize),
    /// Too few beside the largest.
    #[error("{count} points beside the largest are too few ({min})")]
    TooFew {
        /// The points.
        count: usize,
        /// The fewest.
        min: usize,
    },
    /// The sizes lie too close together.
    #[error("{from} to {to} is less than a decade")]
    TooNarrow {
        /// The smallest size.
        from: f64,
        /// The largest size.
        to: f64,
    },
    /// A point is not finite.
    #[error("a point is no number")]
    NotANumber,
    /// All sizes are the same.
    #[error("all points are at one place")]
    OneSize,
}

/// Why a row can't be worked out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RowError {
    /// It has no terms.
    #[error("it has no terms")]
    NoTerms,
    /// The target lacks a figure.
    #[error("the target has no figure {0}")]
    NoTargetFigure(String),
    /// There is no such slope.
    #[error("there is no slope {0}")]
    NoSlope(String),
    /// A term of a slope needs just one of the two.
    #[error("slope {0}: either `at` or `each`")]
    AtOrEach(String),
    /// There is no such run.
    #[error("there is no run {0}")]
    NoRun(String),
    /// A run lacks a figure.
    #[error("run {run} has no figure {figure}")]
    NoRunFigure {
        /// The run.
        run: String,
        /// The figure.
        figure: String,
    },
    /// A term mixes several sources, or has none.
    #[error("a term is of a slope, of a run's figure, or paper")]
    MixedTerm,
}

/// Why tables can't be placed in a page.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A table begins within another.
    #[error("line {line}: the table from line {open} is not closed")]
    NotClosedBefore {
        /// Where the second begins.
        line: usize,
        /// Where the first began.
        open: usize,
    },
    /// The text ends within a table.
    #[error("line {0}: the table is not closed")]
    NotClosed(usize),
    /// There is no table of this name.
    #[error("line {line}: there is no table {name}")]
    NoTable {
        /// The line.
        line: usize,
        /// The name.
        name: String,
    },
    /// A table has two places.
    #[error("line {line}: the table {name} has two places")]
    TwoPlaces {
        /// The second place.
        line: usize,
        /// The table.
        name: String,
    },
    /// A table ends that did not begin.
    #[error("line {0}: no table is open")]
    NotOpen(usize),
    /// A table has no place.
    #[error("the table {0} has no place")]
    NoPlace(String),
}

/// Why a size could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The day is not possible.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A trial could not be played.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// There is no runtime, or no thread.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// There is no folder.
    #[error("a folder: {0}")]
    Folder(#[source] io::Error),
    /// The limit of descriptors can't be read.
    #[error("{0}")]
    Limit(#[source] nix::Error),
    /// The trial says nothing.
    #[error("the trial is void: {0}")]
    VoidTrial(String),
    /// Some requests were not served.
    #[error("not everything was served: {0:?}")]
    NotServed(BTreeMap<String, u64>),
    /// The machine could not publish as often as it should.
    #[error("only {reached:.1} a second of {rate} could be published: the machine is too busy")]
    RateNotReached {
        /// Versions a second that were published.
        reached: f64,
        /// Versions a second that should have been.
        rate: f64,
    },
    /// The process may not open as many connections as are needed.
    #[error("{proxies} proxies need {needed} descriptors, and {available} may be had (ulimit -n)")]
    TooFewDescriptors {
        /// Emulated proxies.
        proxies: usize,
        /// Descriptors that they need.
        needed: u64,
        /// Descriptors that the process may have.
        available: u64,
    },
    /// The control service could not be started.
    #[error("{program}: {source}")]
    Spawn {
        /// Its program.
        program: String,
        /// What the system says.
        source: io::Error,
    },
    /// The control service has no standard error to read from.
    #[error("no standard error")]
    NoStandardError,
    /// The control service said something else than its addresses.
    #[error("{program}: {line}")]
    UnexpectedLine {
        /// Its program.
        program: String,
        /// What it said.
        line: String,
    },
    /// The control service did not say its addresses in time.
    #[error("{0} told no addresses")]
    NoAddresses(String),
    /// The control service within this process could not be started.
    #[error("service: {0}")]
    Service(#[source] io::Error),
    /// The control service has ended.
    #[error("the control service has ended")]
    ServiceEnded,
    /// The control service rejected a call, or did not answer it.
    #[error("{0}")]
    Control(String),
    /// The control service answered something else than was asked.
    #[error("the service answered another call")]
    UnexpectedAnswer,
    /// Not all emulated proxies connected in time.
    #[error("only {have} of {proxies} proxies reached the service")]
    NotConnected {
        /// Those that did.
        have: usize,
        /// All.
        proxies: usize,
    },
    /// Not all emulated proxies had a version in time.
    #[error("only {have} of {proxies} proxies have version {number}")]
    NotTaken {
        /// Those that had.
        have: usize,
        /// All.
        proxies: usize,
        /// The version.
        number: u64,
    },
    /// The stand-ins' thread has ended.
    #[error("the stand-ins did not open")]
    StandInsPanicked,
    /// The stand-ins could not be opened.
    #[error("stand-ins of {nodes} nodes: {source}")]
    StandIns {
        /// Nodes that they were to list.
        nodes: usize,
        /// What the system says.
        source: io::Error,
    },
    /// The proxy did not do something in time.
    #[error("{what}; its last lines:\n{}", last_lines.join("\n"))]
    ProxyTimeout {
        /// What it did not do.
        what: String,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// The proxy has ended.
    #[error("the proxy has ended:\n{}", .0.join("\n"))]
    ProxyEnded(Vec<String>),
}
