//! The operator's file: where it is found, how the log is set by it, and what of it waits for a restart.

use aniseyoke_config::layers::{environment, resolve, Layer, Resolved};
use aniseyoke_config::model::{Format, Level, Log, Operator};
use aniseyoke_config::ConfigError;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const FILE_VARIABLE: &str = "ANISEYOKE_FILE";

/// Reads the file, if one is named, and the environment on top of it.
///
/// # Errors
/// All faults of all layers.
pub fn read(file: Option<&Path>) -> Result<Resolved, Vec<ConfigError>> {
    let mut layers = Vec::new();
    if let Some(file) = file {
        layers.push(read_layer(file).map_err(|fault| vec![fault])?);
    }
    layers.extend(environment(env_variables()));
    resolve(layers)
}

/// The environment, as far as it is text; what is none sets none of our keys.
pub fn env_variables() -> impl Iterator<Item = (String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
}

/// A file as a layer.
///
/// # Errors
/// If it can't be read.
pub fn read_layer(file: &Path) -> Result<Layer, ConfigError> {
    /// A larger file is no configuration, in bytes.
    const MOST: u64 = 16 << 20;
    let place = file.display().to_string();
    let fault = |why: String| ConfigError { location: place.clone(), key: String::new(), reason: why };
    let length = std::fs::metadata(file).map_err(|e| fault(e.to_string()))?.len();
    if length > MOST {
        return Err(fault(format!("{length} bytes are more than {MOST}")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| fault(e.to_string()))?;
    Ok(Layer::File(place, text))
}

/// The file that the environment names, if it names one.
pub fn file_from_env() -> Option<PathBuf> {
    std::env::var_os(FILE_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from)
}

/// How the log is written, in its own terms.
pub fn log_options(log: &Log) -> aniseyoke_logging::Options {
    aniseyoke_logging::Options {
        format: match log.format {
            Format::Plain => aniseyoke_logging::Format::Plain,
            Format::Json => aniseyoke_logging::Format::Json,
        },
        rate_limit: aniseyoke_logging::RateLimit { burst: log.burst, per_second: log.per_second },
        levels: log_levels(log),
    }
}

/// What the log tells, in its own terms: a part of the program is a target below this one's name.
pub fn log_levels(log: &Log) -> aniseyoke_logging::Levels {
    let level = |level: Level| match level {
        Level::Off => aniseyoke_logging::Level::Off,
        Level::Error => aniseyoke_logging::Level::Error,
        Level::Warn => aniseyoke_logging::Level::Warn,
        Level::Info => aniseyoke_logging::Level::Info,
        Level::Debug => aniseyoke_logging::Level::Debug,
        Level::Trace => aniseyoke_logging::Level::Trace,
    };
    let targets = log.targets.iter().map(|(name, l)| (format!("aniseyoke::{name}"), level(*l))).collect();
    aniseyoke_logging::Levels { all: level(log.level), targets }
}

/// The keys that differ but take a restart.
pub fn restart_keys(now: &Operator, then: &Operator) -> Vec<String> {
    let changes = aniseyoke_config::diff::diff(now, then);
    changes.into_iter().filter(|c| c.restart).map(|c| c.key).collect()
}

#[cfg(test)]
mod tests;
