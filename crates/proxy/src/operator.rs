//! The operator's file: what this product can do beyond what the platform asks of it. It is read where the variable
//! `ANISEYOKE_FILE` names it; without it all that it could set is off.

use aniseyoke_core::limits::Rules;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The variable that names the file.
pub const FILE: &str = "ANISEYOKE_FILE";

/// What an operator's file sets; a part that it leaves out is off.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// What may be out at nodes, and who waits for room there.
    pub limits: Option<Rules>,
}

impl Operator {
    /// Reads the file that the environment names, if it names one.
    ///
    /// # Errors
    /// File, line and key at fault, and why.
    pub fn from_env() -> Result<Self, String> {
        match std::env::var_os(FILE).filter(|path| !path.is_empty()) {
            Some(path) => Self::read(&PathBuf::from(path)),
            None => Ok(Self::default()),
        }
    }

    fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{FILE}: {}: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{FILE}: {}: {e}", path.display()))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let operator: Self = toml::from_str(text).map_err(|e| e.to_string().trim().to_owned())?;
        if let Some(rules) = &operator.limits {
            rules.check().map_err(|fault| fault.to_string())?;
        }
        Ok(operator)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_file_turns_nothing_on() {
        assert_eq!(Operator::parse(""), Ok(Operator::default()));
        assert!(Operator::parse("[limits]").expect("sound").limits.is_some(), "a part that is named is on");
    }

    #[test]
    fn what_cannot_be_followed_is_refused_with_its_place_and_reason() {
        let cases = [
            ("[limits.node]\nfloor = 20", ["limits.node.floor", "above the start"]),
            ("[limits.node]\nflor = 2", ["line 2", "flor"]),
            ("[limits.queue]\ninterval = \"soon\"", ["line 2", "interval"]),
            ("[limits]\nover_share_part = -1", ["limits.over_share_part", "outside"]),
            ("[limit]", ["line 1", "limit"]),
        ];
        for (text, parts) in cases {
            let error = Operator::parse(text).expect_err(text);
            assert!(parts.iter().all(|part| error.contains(part)), "{text:?}: {error}");
        }
    }

    #[test]
    fn the_file_that_ships_is_sound() {
        let shipped = include_str!("../../../deploy/operator.toml");
        let operator = Operator::parse(shipped).expect("sound");
        assert_eq!(operator, Operator::default(), "and turns nothing on");
        let on: String =
            shipped.lines().map(|l| format!("{}\n", l.strip_prefix("#: ").unwrap_or(l))).collect();
        assert_eq!(
            Operator::parse(&on).expect("sound").limits,
            Some(Rules::default()),
            "it shows the defaults"
        );
    }
}
