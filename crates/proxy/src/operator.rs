//! The operator's file: where it is found, the log settings from it, and which of its changes need a restart.

use aniseyoke_config::layers::{environment, resolve, Layer, Resolved};
use aniseyoke_config::model::{Format, Level, Log, Operator};
use aniseyoke_config::ConfigError;
use std::path::{Path, PathBuf};

/// Environment variable with the path of the operator's file.
pub const FILE_VARIABLE: &str = "ANISEYOKE_FILE";

/// Reads the file, if one is given, and the environment, which overrides it.
///
/// # Errors
/// All errors of all layers.
pub fn read(file: Option<&Path>) -> Result<Resolved, Vec<ConfigError>> {
    let mut layers = Vec::new();
    if let Some(file) = file {
        layers.push(read_layer(file).map_err(|error| vec![error])?);
    }
    layers.extend(environment(env_variables()));
    resolve(layers)
}

/// Returns the environment variables, without those that are not valid UTF-8, which can't be settings.
pub fn env_variables() -> impl Iterator<Item = (String, String)> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
}

/// Reads a file as a configuration layer.
///
/// # Errors
/// If the file can't be read or is too long.
pub fn read_layer(file: &Path) -> Result<Layer, ConfigError> {
    /// Longest file that is read.
    const MAX_FILE_BYTES: u64 = 16 << 20;
    let location = file.display().to_string();
    let error = |reason: String| ConfigError { location: location.clone(), key: String::new(), reason };
    let length = std::fs::metadata(file).map_err(|e| error(e.to_string()))?.len();
    if length > MAX_FILE_BYTES {
        return Err(error(format!("{length} bytes exceed the limit of {MAX_FILE_BYTES}")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
    Ok(Layer::File(location, text))
}

/// Returns the path of the file that the environment names, if any.
pub fn file_from_env() -> Option<PathBuf> {
    std::env::var_os(FILE_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from)
}

/// Converts the log settings to the logger's options.
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

/// Converts the log levels to the logger's. A target in the settings is a module of this program, without the
/// prefix `aniseyoke::`.
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

/// Returns the keys that differ between two files and are applied only at a restart.
pub fn restart_keys(before: &Operator, after: &Operator) -> Vec<String> {
    let changes = aniseyoke_config::diff::diff(before, after);
    changes.into_iter().filter(|c| c.restart).map(|c| c.key).collect()
}

#[cfg(test)]
mod tests;
