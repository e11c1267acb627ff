//! Validates a layer of the configuration against the schema, and reports all errors with their locations.

mod value;

pub use value::number_range;

use crate::node::{members, ConfigValue, Member, Shape};
use crate::schema::{dereferenced, member_schema, schema, type_name};
use serde_json::Value;
use std::fmt;
use toml::de::DeTable;

/// An error in a configuration, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The layer: a file with line and column, a variable, or a version of the control service.
    pub location: String,
    /// The invalid key; empty if the text as a whole can't be parsed.
    pub key: String,
    /// The reason, for the error message.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.location, self.reason),
            key => write!(f, "{}: {key}: {}", self.location, self.reason),
        }
    }
}

impl std::error::Error for ConfigError {}

/// Maximum number of errors that are reported of one layer; a text that is not a configuration at all has
/// thousands.
const MAX_ERRORS: usize = 100;
/// Minimum similarity of an unknown key to a known one that is suggested (Jaro-Winkler similarity, 0 to 1).
const MIN_SIMILARITY: f64 = 0.75;
/// The minimum as a normalized Damerau-Levenshtein similarity, 0 to 1, which accounts for swapped letters.
const MIN_SIMILARITY_SWAPPED: f64 = 0.6;

/// A position in a text; line and column are counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
    pub column: usize,
}

/// The result of the validation of a layer.
pub struct Checked {
    /// Keys with their positions. In a layer without lines, the items of lists are omitted.
    pub positions: Vec<(String, Position)>,
    /// All errors.
    pub errors: Vec<ConfigError>,
}

/// Validates a TOML text, and returns its value as well; if there are errors, the value is empty. `name` is
/// the name of the layer, and `has_lines` says whether its errors are reported with line and column.
pub fn check_text(text: &str, name: &str, has_lines: bool) -> (Value, Checked) {
    let line_starts = std::iter::once(0).chain(text.match_indices('\n').map(|(end, _)| end + 1)).collect();
    let mut checker = Checker { line_starts, name, has_lines, errors: Vec::new(), positions: Vec::new() };
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in syntax_errors {
        let offset = error.span().map_or(0, |span| span.start);
        checker.error(offset, String::new(), error.message().to_owned());
    }
    if checker.errors.is_empty() {
        checker.table("", schema(), members(table.get_ref()), true);
    }
    // A text without errors can be parsed as plain TOML.
    let parsed = checker.errors.is_empty().then(|| text.parse::<toml::Table>().ok()).flatten();
    let value = parsed.and_then(|table| serde_json::to_value(table).ok());
    (value.unwrap_or_else(|| Value::Object(serde_json::Map::new())), checker.finish())
}

/// Validates a JSON tree; `name` is the name of the layer.
pub fn check_tree(tree: &Value, name: &str) -> Checked {
    let line_starts = vec![0];
    let mut checker =
        Checker { line_starts, name, has_lines: false, errors: Vec::new(), positions: Vec::new() };
    match ConfigValue::Json(tree).shape() {
        Shape::Table(members) => checker.table("", schema(), members, true),
        other => checker.error(0, String::new(), format!("a table is wanted, not {}", other.name())),
    }
    checker.finish()
}

/// Validates the values of a layer recursively.
struct Checker<'n> {
    /// Offset of the start of each line. Counting lines anew for each key takes seconds with ten thousand
    /// routes.
    line_starts: Vec<usize>,
    name: &'n str,
    has_lines: bool,
    /// Errors with their offsets, by which they are sorted.
    errors: Vec<(usize, ConfigError)>,
    positions: Vec<(String, Position)>,
}

impl Checker<'_> {
    fn finish(mut self) -> Checked {
        self.errors.sort_by_key(|(offset, _)| *offset);
        let errors = self.errors.into_iter().map(|(_, error)| error).collect();
        Checked { positions: self.positions, errors }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset).max(1);
        Position { line, column: offset - self.line_starts[line - 1] + 1 }
    }

    fn error(&mut self, offset: usize, key: String, reason: String) {
        if self.errors.len() == MAX_ERRORS {
            return;
        }
        let location = if self.has_lines {
            let Position { line, column } = self.position(offset);
            format!("{}:{line}:{column}", self.name)
        } else {
            self.name.to_owned()
        };
        self.errors.push((offset, ConfigError { location, key, reason }));
    }

    /// Validates a table. `keep_positions` says whether the positions of its keys are stored: those of ten
    /// thousand routes take more memory than the routes.
    fn table(&mut self, path: &str, node: &'static Value, table: Vec<Member<'_>>, keep_positions: bool) {
        for Member { name, offset, value } in table {
            let key = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
            let Some(schema) = member_schema(node, name) else {
                self.error(offset, key, unknown_key(node, name));
                continue;
            };
            if keep_positions {
                let position = self.position(offset);
                self.positions.push((key.clone(), position));
            }
            self.value(key, schema, value, keep_positions);
        }
    }

    fn value(&mut self, key: String, schema: &'static Value, value: ConfigValue<'_>, keep_positions: bool) {
        let value_schema = dereferenced(schema);
        match (type_name(value_schema), value.shape()) {
            ("object", Shape::Table(table)) => self.table(&key, value_schema, table, keep_positions),
            ("array", Shape::List(list)) => {
                let keep_positions = keep_positions && self.has_lines;
                for (index, item) in list.into_iter().enumerate() {
                    self.value(format!("{key}.{index}"), &value_schema["items"], item, keep_positions);
                }
            }
            (_, shape) => {
                if let Err(error) = value::check(schema, value_schema, &shape) {
                    self.error(value.offset(), key, error.to_string());
                }
            }
        }
    }
}

/// Returns the message for a key that is not in a table's schema, with the most similar key or all valid
/// keys.
fn unknown_key(table: &Value, name: &str) -> String {
    let known = || table["properties"].as_object().into_iter().flatten().map(|(known, _)| known.as_str());
    // Jaro-Winkler finds typing errors in long names, Damerau-Levenshtein swapped letters in short ones.
    let similarity = |known: &str| {
        let swapped = strsim::normalized_damerau_levenshtein(known, name);
        strsim::jaro_winkler(known, name).max(swapped + MIN_SIMILARITY - MIN_SIMILARITY_SWAPPED)
    };
    let similar = known().map(|known| (similarity(known), known));
    let similar = similar.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    match similar.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, nearest)) => format!("there is no such key; did you mean {nearest:?}?"),
        None => {
            format!("there is no such key; there is {}", known().collect::<Vec<_>>().join(", "))
        }
    }
}

#[cfg(test)]
mod tests;
