//! The `aniseyoke config` commands: check, show, explain and compare operator's files.

use super::{lines, Shape};
use crate::operator::{read, read_layer};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::{diff, explain, resolve, schema, ConfigError};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

#[derive(clap::Subcommand)]
pub enum Command {
    /// Check operator's files and print all errors; the exit status is 1 if there are any.
    Check {
        /// The files, each of which is checked separately.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print the settings in force with a file and this environment, and the layer that sets each.
    Show {
        /// The operator's file.
        #[arg(long, value_name = "FILE", env = crate::operator::FILE_VARIABLE)]
        file: Option<PathBuf>,
        /// The output format.
        #[arg(long, value_enum, default_value_t = Shape::Text)]
        shape: Shape,
    },
    /// Explain a key: its meaning, type, unit, default and range, the version that added it, and how a change
    /// is applied.
    Explain {
        /// A key such as `log.level`, or a section such as `limits.node`; all keys by default.
        #[arg(default_value = "")]
        key: String,
    },
    /// Print the keys that differ between two files, and how each change is applied.
    Diff {
        /// The old file.
        before: PathBuf,
        /// The new file.
        after: PathBuf,
    },
    /// Print the JSON Schema of the operator's file.
    Schema,
}

pub fn run(command: &Command) -> Result<String, Vec<String>> {
    match command {
        Command::Check { files } => check(files),
        Command::Show { file, shape } => {
            let resolved = read(file.as_deref()).map_err(lines)?;
            show(&resolved, *shape).map_err(|e| vec![e.to_string()])
        }
        Command::Explain { key } => explain::explain(key).map_err(|e| vec![e.to_string()]),
        Command::Diff { before, after } => {
            let (before, after) = (resolve_file(before), resolve_file(after));
            let errors = [&before, &after].into_iter().filter_map(|r| r.as_ref().err()).flatten().cloned();
            let errors: Vec<ConfigError> = errors.collect();
            match (before, after) {
                (Ok(before), Ok(after)) => {
                    let changes = diff::diff(&before.operator, &after.operator);
                    Ok(changes.iter().map(|change| format!("{change}\n")).collect())
                }
                _ => Err(lines(errors)),
            }
        }
        Command::Schema => serde_json::to_string_pretty(schema::schema())
            .map(|text| text + "\n")
            .map_err(|e| vec![e.to_string()]),
    }
}

/// Resolves a file alone, without the environment.
fn resolve_file(file: &Path) -> Result<Resolved, Vec<ConfigError>> {
    resolve([read_layer(file).map_err(|error| vec![error])?])
}

fn check(files: &[PathBuf]) -> Result<String, Vec<String>> {
    let (mut report, mut errors) = (String::new(), Vec::new());
    for file in files {
        match resolve_file(file) {
            Ok(resolved) => {
                // Writing to a string can't fail.
                let _ = writeln!(report, "{}: sound, digest {}", file.display(), resolved.digest());
            }
            Err(found) => errors.extend(lines(found)),
        }
    }
    if errors.is_empty() {
        Ok(report)
    } else {
        Err(errors)
    }
}

fn show(resolved: &Resolved, shape: Shape) -> serde_json::Result<String> {
    if shape == Shape::Json {
        return Ok(serde_json::to_string_pretty(&resolved.operator)? + "\n");
    }
    let defaults = aniseyoke_config::Operator::default();
    let mut text = format!("digest {}\n", resolved.digest());
    for change in diff::diff(&defaults, &resolved.operator) {
        let value = change.after.map_or("-".into(), |value| value.to_string());
        // Writing to a string can't fail.
        let _ = writeln!(text, "{} = {value}  # {}", change.key, resolved.origin(&change.key));
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
