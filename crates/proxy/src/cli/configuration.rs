//! `aniseyoke config ...`.

use super::{lines, Shape};
use crate::operator::{read, read_layer};
use aniseyoke_config::layers::Resolved;
use aniseyoke_config::{diff, explain, resolve, schema, ConfigError};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

#[derive(clap::Subcommand)]
pub enum Command {
    /// Tell all that is wrong with operator's files; 1 is returned if anything is.
    Check {
        /// The files, each by itself.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print what is in force with a file and this environment, and which layer says so.
    Show {
        /// The file.
        #[arg(long, value_name = "FILE", env = crate::operator::FILE_VARIABLE)]
        file: Option<PathBuf>,
        /// The form.
        #[arg(long, value_enum, default_value_t = Shape::Text)]
        shape: Shape,
    },
    /// Tell what a key means: type, unit, default, range, since when, and what a change takes.
    Explain {
        /// A key such as `log.level`, or a part such as `limits.node`; without it all keys.
        #[arg(default_value = "")]
        key: String,
    },
    /// Tell which keys differ between two files, and what each change takes.
    Diff {
        /// The file before.
        before: PathBuf,
        /// The file after.
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
            let (before, after) = (alone(before), alone(after));
            let faults = [&before, &after].into_iter().filter_map(|r| r.as_ref().err()).flatten().cloned();
            let faults: Vec<ConfigError> = faults.collect();
            match (before, after) {
                (Ok(before), Ok(after)) => {
                    let changes = diff::diff(&before.operator, &after.operator);
                    Ok(changes.iter().map(|change| format!("{change}\n")).collect())
                }
                _ => Err(lines(faults)),
            }
        }
        Command::Schema => serde_json::to_string_pretty(schema::schema())
            .map(|text| text + "\n")
            .map_err(|e| vec![e.to_string()]),
    }
}

/// What a file says without any environment.
fn alone(file: &Path) -> Result<Resolved, Vec<ConfigError>> {
    resolve([read_layer(file).map_err(|fault| vec![fault])?])
}

fn check(files: &[PathBuf]) -> Result<String, Vec<String>> {
    let (mut sound, mut faults) = (String::new(), Vec::new());
    for file in files {
        match alone(file) {
            Ok(resolved) => {
                // Writing to a text can't fail.
                let _ = writeln!(sound, "{}: sound, digest {}", file.display(), resolved.digest());
            }
            Err(found) => faults.extend(lines(found)),
        }
    }
    if faults.is_empty() {
        Ok(sound)
    } else {
        Err(faults)
    }
}

fn show(resolved: &Resolved, shape: Shape) -> serde_json::Result<String> {
    if shape == Shape::Json {
        return Ok(serde_json::to_string_pretty(&resolved.operator)? + "\n");
    }
    let nothing = aniseyoke_config::Operator::default();
    let mut text = format!("digest {}\n", resolved.digest());
    for change in diff::diff(&nothing, &resolved.operator) {
        let value = change.after.map_or("-".into(), |value| value.to_string());
        // Writing to a text can't fail.
        let _ = writeln!(text, "{} = {value}  # {}", change.key, resolved.origin(&change.key));
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
