//! Checks a layer against the schema, and tells all faults at once with their places.

use crate::node::{members, Member, Node, Shape};
use crate::schema::{choices, kind, meant, member, schema};
use serde_json::Value;
use std::fmt;
use std::time::Duration;
use toml::de::DeTable;

/// Something that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The layer: a file with line and column, a variable, or a version of the control service.
    pub place: String,
    /// The key at fault; empty where the text as a whole can't be read.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.place, self.why),
            key => write!(f, "{}: {key}: {}", self.place, self.why),
        }
    }
}

/// So many faults are told of one layer; a text that is no configuration at all has thousands.
const FAULTS_MOST: usize = 100;
/// A name this similar to a key that is known is taken for a slip (Jaro and Winkler, 0 to 1).
const SIMILAR: f64 = 0.75;
/// The same by Damerau and Levenshtein.
const SWAPPED: f64 = 0.6;

/// What a check of a layer found.
pub struct Checked {
    /// Keys and where they stand, as line and column from 1. Of a list in a layer without lines the list alone.
    pub places: Vec<(String, (usize, usize))>,
    /// All that is wrong.
    pub faults: Vec<Fault>,
}

/// Checks one text. `place` names it, and `lines` says whether lines and columns mean anything in it. Returns what could
/// be read as well.
pub fn check(text: &str, place: &str, lines: bool) -> (Value, Checked) {
    let starts = std::iter::once(0).chain(text.match_indices('\n').map(|(n, _)| n + 1)).collect();
    let mut walk = Walk { starts, place, lines, faults: Vec::new(), places: Vec::new() };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        walk.fault(at, String::new(), error.message().to_owned());
    }
    if walk.faults.is_empty() {
        walk.table("", schema(), members(table.get_ref()), true);
    }
    // What holds no fault can be read as plain TOML.
    let read = walk.faults.is_empty().then(|| text.parse::<toml::Table>().ok()).flatten();
    let value = read.and_then(|table| serde_json::to_value(table).ok());
    (value.unwrap_or_else(|| Value::Object(serde_json::Map::new())), walk.done())
}

/// Checks a tree; `place` names the layer.
pub fn check_tree(tree: &Value, place: &str) -> Checked {
    let mut walk = Walk { starts: vec![0], place, lines: false, faults: Vec::new(), places: Vec::new() };
    match Node::Json(tree).shape() {
        Shape::Table(members) => walk.table("", schema(), members, true),
        other => walk.fault(0, String::new(), format!("a table is wanted, not {}", other.words())),
    }
    walk.done()
}

struct Walk<'p> {
    /// Where each line begins. Danger: to count lines anew for each key takes seconds for ten thousand routes.
    starts: Vec<usize>,
    place: &'p str,
    lines: bool,
    /// With where each stands, so that they can be told in that order.
    faults: Vec<(usize, Fault)>,
    places: Vec<(String, (usize, usize))>,
}

impl Walk<'_> {
    fn done(mut self) -> Checked {
        self.faults.sort_by_key(|(offset, _)| *offset);
        Checked { places: self.places, faults: self.faults.into_iter().map(|(_, fault)| fault).collect() }
    }

    fn at(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset).max(1);
        (line, offset - self.starts[line - 1] + 1)
    }

    fn fault(&mut self, offset: usize, key: String, why: String) {
        if self.faults.len() < FAULTS_MOST {
            let place = match (self.lines, self.at(offset)) {
                (true, (line, column)) => format!("{}:{line}:{column}", self.place),
                _ => self.place.to_owned(),
            };
            self.faults.push((offset, Fault { place, key, why }));
        }
    }

    /// `noted`: the places of its keys are kept. Danger: those of ten thousand routes take more memory than the routes.
    fn table(&mut self, path: &str, node: &'static Value, table: Vec<Member<'_>>, noted: bool) {
        for (name, offset, value) in table {
            let key = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
            match member(node, name) {
                Some(own) => {
                    if noted {
                        let at = self.at(offset);
                        self.places.push((key.clone(), at));
                    }
                    self.value(key, own, value, noted);
                }
                None => {
                    let why = unknown(node, name);
                    self.fault(offset, key, why);
                }
            }
        }
    }

    fn value(&mut self, key: String, own: &'static Value, value: Node<'_>, noted: bool) {
        let (node, offset) = (meant(own), value.offset());
        let duration = told(own, node, "x-kind").is_some_and(|kind| kind == "duration");
        let wanted = kind(node);
        match (wanted, value.shape()) {
            ("object", Shape::Table(table)) => self.table(&key, node, table, noted),
            ("array", Shape::List(list)) => {
                let noted = noted && self.lines;
                for (n, item) in list.into_iter().enumerate() {
                    self.value(format!("{key}.{n}"), &node["items"], item, noted);
                }
            }
            ("string", Shape::Text(text)) if duration => {
                if let Err(why) = span(text, own, node) {
                    self.fault(offset, key, why);
                }
            }
            ("string", Shape::Text(text)) => {
                let may = choices(node);
                if !may.is_empty() && !may.contains(&text) {
                    self.fault(offset, key, format!("{text:?} is none of {}", may.join(", ")));
                }
            }
            ("boolean", Shape::Truth) => {}
            ("integer" | "number", Shape::Whole(n)) | ("number", Shape::Point(n)) => {
                self.number(offset, key, n, own, node);
            }
            (_, given) => {
                let wanted = match (duration, wanted) {
                    (true, _) => "a text with a time and its unit, such as \"100ms\"",
                    (_, "object") => "a table",
                    (_, "array") => "a list",
                    (_, "string") => "a text in quotes",
                    (_, "boolean") => "true or false",
                    (_, "integer") => "a whole number",
                    _ => "a number",
                };
                self.fault(offset, key, format!("{wanted} is wanted, not {}", given.words()));
            }
        }
    }

    fn number(&mut self, offset: usize, key: String, number: Option<f64>, own: &Value, node: &Value) {
        let bound = |name| told(own, node, name).and_then(Value::as_f64);
        let (least, most) = (bound("minimum"), bound("maximum"));
        let why = match number {
            None => "the number is too large".to_owned(),
            Some(n) if n.is_nan() => "it is not a number".to_owned(),
            Some(n) if least.is_some_and(|least| n < least) || most.is_some_and(|most| n > most) => {
                format!("{n} lies outside of {}", range(least, most))
            }
            Some(_) => return,
        };
        self.fault(offset, key, why);
    }
}

fn told<'a>(own: &'a Value, node: &'a Value, name: &str) -> Option<&'a Value> {
    own.get(name).or_else(|| node.get(name))
}

/// A range in words.
pub fn range(least: Option<f64>, most: Option<f64>) -> String {
    match (least, most) {
        (Some(least), Some(most)) => format!("{least} to {most}"),
        (Some(least), None) => format!("{least} and up"),
        (None, Some(most)) => format!("up to {most}"),
        (None, None) => "any number".into(),
    }
}

/// Checks a span of time with its unit.
fn span(text: &str, own: &Value, node: &Value) -> Result<(), String> {
    let given =
        humantime::parse_duration(text).map_err(|e| format!("{text:?} is no time with a unit: {e}"))?;
    let bound = |name| {
        let told = told(own, node, name).and_then(Value::as_str);
        told.and_then(|t| humantime::parse_duration(t).ok())
    };
    let (least, most): (Option<Duration>, Option<Duration>) = (bound("x-least"), bound("x-most"));
    if least.is_some_and(|least| given < least) || most.is_some_and(|most| given > most) {
        let show =
            |d: Option<Duration>| d.map_or("any".into(), |d| humantime::format_duration(d).to_string());
        let why =
            told(own, node, "x-why").and_then(Value::as_str).map_or(String::new(), |why| format!(": {why}"));
        return Err(format!("{text} lies outside of {} to {}{why}", show(least), show(most)));
    }
    Ok(())
}

fn unknown(node: &Value, name: &str) -> String {
    let known = || node["properties"].as_object().into_iter().flatten().map(|(known, _)| known.as_str());
    // The one sees slips in long names, the other letters that changed places in short ones.
    let alike = |known: &str| {
        let swapped = strsim::normalized_damerau_levenshtein(known, name) + SIMILAR - SWAPPED;
        strsim::jaro_winkler(known, name).max(swapped)
    };
    let near = known().map(|known| (alike(known), known));
    let near = near.filter(|(alike, _)| *alike >= SIMILAR).max_by(|a, b| a.0.total_cmp(&b.0));
    match near {
        Some((_, near)) => format!("there is no such key; did you mean {near:?}?"),
        None => format!("there is no such key; there is {}", known().collect::<Vec<_>>().join(", ")),
    }
}

#[cfg(test)]
mod tests;
