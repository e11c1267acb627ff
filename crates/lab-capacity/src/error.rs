//! Errors of the computation of the capacity page and of the measurement of slopes.

use aniseyoke_lab_day::{DayError, FileError};
use aniseyoke_lab_process::ProcessError;
use aniseyoke_lab_trial::TrialError;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

/// An error while the page is computed, or while a slope is measured or read.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file or folder can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A TOML file is invalid.
    #[error("{}: {source}", path.display())]
    Toml {
        /// The file.
        path: PathBuf,
        /// The parse error with its position.
        source: Box<toml::de::Error>,
    },
    /// A JSON file is invalid.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The parse error with its position.
        source: serde_json::Error,
    },
    /// A slope could not be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The value of a row can't be computed.
    #[error("{table}, {figure}: {source}")]
    Row {
        /// The row's table.
        table: String,
        /// The row's figure.
        figure: String,
        /// The cause.
        source: RowError,
    },
    /// A row uses the name of a table that is generated from the inputs.
    #[error("a row must not use the reserved table name {0}")]
    ReservedTable(&'static str),
    /// The page's markers do not match the generated tables.
    #[error("{}: {source}", path.display())]
    Page {
        /// The page.
        path: PathBuf,
        /// The cause.
        source: PageError,
    },
    /// A slope's points can't be fitted.
    #[error("{slope}: {source}")]
    Fit {
        /// The slope.
        slope: String,
        /// The cause.
        source: FitError,
    },
    /// The stored fit of a slope differs from a new fit of its points.
    #[error("{0}: the stored fit differs from a fit of its points")]
    FitMismatch(String),
    /// The name matches no family and no slope.
    #[error("unknown slope {name}; known families: {}", known.join(", "))]
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
        /// The quantity that the size counts, with its unit.
        against: &'static str,
        /// The cause.
        source: Box<MeasureError>,
    },
}

/// Why a set of points can't be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// The set is empty.
    #[error("no points")]
    NoPoints,
    /// Too few points to fit a line with a standard error.
    #[error("{0} points are too few for a line with a standard error")]
    TooFewPointsForLine(usize),
    /// Too few points besides the one at the largest size.
    #[error("{count} points besides the largest are too few (minimum {min})")]
    TooFewPoints {
        /// The number of points.
        count: usize,
        /// The required minimum.
        min: usize,
    },
    /// The sizes span less than a decade.
    #[error("the sizes {from} to {to} span less than a decade")]
    RangeTooNarrow {
        /// The smallest size.
        from: f64,
        /// The largest size.
        to: f64,
    },
    /// A coordinate of a point is not a finite number.
    #[error("a point is not a finite number")]
    NotFinite,
    /// All points have the same size.
    #[error("all points have the same size")]
    SingleSize,
}

/// Why the value of a row can't be computed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RowError {
    /// The row has no terms.
    #[error("it has no terms")]
    NoTerms,
    /// The target does not define the figure.
    #[error("the target has no figure {0}")]
    NoTargetFigure(String),
    /// No slope has this name.
    #[error("there is no slope {0}")]
    NoSlope(String),
    /// A term of a slope has both or neither of `at` and `each`.
    #[error("slope {0}: requires either `at` or `each`")]
    AtOrEach(String),
    /// No run has this name.
    #[error("there is no run {0}")]
    NoRun(String),
    /// The run does not report the figure.
    #[error("run {run} has no figure {figure}")]
    NoRunFigure {
        /// The run.
        run: String,
        /// The figure.
        figure: String,
    },
    /// A term has several sources or none.
    #[error("a term is exactly one of a slope, a run's figure or paper")]
    MixedTerm,
}

/// Why tables can't be inserted into a page.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A table begins inside another table.
    #[error("line {line}: the table from line {open} is not closed")]
    NestedTable {
        /// The line of the inner table's marker.
        line: usize,
        /// The line of the outer table's marker.
        open: usize,
    },
    /// The text ends inside a table.
    #[error("line {0}: the table is not closed")]
    UnclosedTable(usize),
    /// A marker names a table that does not exist.
    #[error("line {line}: there is no table {name}")]
    UnknownTable {
        /// The line.
        line: usize,
        /// The name.
        name: String,
    },
    /// Two markers name the same table.
    #[error("line {line}: the table {name} has two places")]
    DuplicateTable {
        /// The line of the second marker.
        line: usize,
        /// The table.
        name: String,
    },
    /// An end marker has no begin marker.
    #[error("line {0}: no table is open")]
    UnopenedTable(usize),
    /// No marker names this table.
    #[error("the table {0} has no place")]
    UnplacedTable(String),
}

/// Why the measurement at a size failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The day is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A trial could not be run.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A runtime or thread could not be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A temporary folder could not be created.
    #[error("temporary folder: {0}")]
    Folder(#[source] io::Error),
    /// The limit on file descriptors can't be read.
    #[error("{0}")]
    Limit(#[source] nix::Error),
    /// The trial is void.
    #[error("the trial is void: {0}")]
    VoidTrial(String),
    /// Some requests of the trial had another outcome than served.
    #[error("not all requests were served: {0:?}")]
    NotServed(BTreeMap<String, u64>),
    /// The achieved publish rate is below the requested one.
    #[error("only {reached:.1} of {rate} versions a second could be published: the machine is overloaded")]
    RateNotReached {
        /// The achieved rate, in versions a second.
        reached: f64,
        /// The requested rate, in versions a second.
        rate: f64,
    },
    /// The limit on file descriptors is too low for the connections of the measurement.
    #[error("{proxies} proxies need {needed} file descriptors, but the limit is {available} (ulimit -n)")]
    TooFewDescriptors {
        /// The number of emulated proxies.
        proxies: usize,
        /// The descriptors that the measurement needs.
        needed: u64,
        /// The process's limit on descriptors.
        available: u64,
    },
    /// The control service could not be started.
    #[error("{program}: {source}")]
    Spawn {
        /// The program.
        program: String,
        /// The system's error.
        source: io::Error,
    },
    /// The control service was started without a pipe for its standard error.
    #[error("the control service has no standard error pipe")]
    NoStandardError,
    /// The control service printed a line without an address at its end.
    #[error("{program}: {line}")]
    UnexpectedLine {
        /// The program.
        program: String,
        /// The line.
        line: String,
    },
    /// The control service did not print its addresses in time.
    #[error("{0} did not print its addresses in time")]
    NoAddresses(String),
    /// The control service on a thread of this process could not be started.
    #[error("control service: {0}")]
    Service(#[source] io::Error),
    /// The control service has exited.
    #[error("the control service has exited")]
    ServiceEnded,
    /// The control service rejected a call, or did not answer it.
    #[error("{0}")]
    Control(String),
    /// The control service sent a response of another kind than the call expects.
    #[error("the control service sent an unexpected kind of response")]
    UnexpectedResponse,
    /// Not all emulated proxies connected in time.
    #[error("only {completed} of {proxies} proxies connected to the control service")]
    NotConnected {
        /// The proxies that connected.
        completed: usize,
        /// All emulated proxies.
        proxies: usize,
    },
    /// Not all emulated proxies received a version in time.
    #[error("only {completed} of {proxies} proxies received version {number}")]
    VersionNotReceived {
        /// The proxies that received the version.
        completed: usize,
        /// All emulated proxies.
        proxies: usize,
        /// The version's number.
        number: u64,
    },
    /// The thread of the stubs ended before it had opened them.
    #[error("the thread of the stubs ended before they were open")]
    StubsPanicked,
    /// The list server, the nodes or the byte counters could not be opened.
    #[error("stubs for {nodes} nodes: {source}")]
    Stubs {
        /// The length of the list of nodes.
        nodes: usize,
        /// The system's error.
        source: io::Error,
    },
    /// The proxy did not reach a state in time.
    #[error("{failure}; last lines of the proxy:\n{}", last_lines.join("\n"))]
    ProxyTimeout {
        /// The state that was not reached.
        failure: String,
        /// The last lines that the proxy printed.
        last_lines: Vec<String>,
    },
    /// The proxy has exited.
    #[error("the proxy has exited:\n{}", .0.join("\n"))]
    ProxyEnded(Vec<String>),
}
