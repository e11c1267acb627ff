//! Log levels: one for the whole program, and overrides for parts of it.

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;

/// The least severe level that is written, for the whole program and for parts of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Levels {
    /// The level of all targets that are not listed.
    pub all: Level,
    /// Levels by prefix of the target's name.
    pub targets: Vec<(String, Level)>,
}

/// The severity of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// No lines are written.
    Off,
    /// Failures.
    Error,
    /// Conditions that may lead to failures.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Individual events.
    Debug,
    /// Details for tracing.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

impl From<&Levels> for Targets {
    fn from(levels: &Levels) -> Self {
        let targets = levels.targets.iter().map(|(name, level)| (name.clone(), LevelFilter::from(*level)));
        Targets::new().with_default(LevelFilter::from(levels.all)).with_targets(targets)
    }
}
