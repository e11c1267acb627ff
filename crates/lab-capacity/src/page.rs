//! Replaces the tables between markers in a text. No I/O.

use super::PageError;
use std::collections::{BTreeMap, BTreeSet};

const BEGIN: &str = "<!-- table:";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end -->";

/// Inserts each table between its markers, `<!-- table:NAME -->` and `<!-- end -->`, which are on separate lines.
///
/// # Errors
/// If a marker is not closed, repeated or without a table, or if a table has no marker.
pub fn fill(text: &str, tables: &BTreeMap<String, String>) -> Result<String, PageError> {
    let (mut out, mut placed, mut open) = (String::new(), BTreeSet::new(), None);
    for (n, line) in text.lines().enumerate() {
        let n = n + 1;
        let begins = line.trim().strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(BEGIN_END));
        if let Some(name) = begins {
            if let Some(before) = open {
                return Err(PageError::NestedTable { line: n, open: before });
            }
            let table =
                tables.get(name).ok_or_else(|| PageError::UnknownTable { line: n, name: name.to_owned() })?;
            if !placed.insert(name) {
                return Err(PageError::DuplicateTable { line: n, name: name.to_owned() });
            }
            open = Some(n);
            out.push_str(line);
            out.push('\n');
            out.push_str(table);
        } else if line.trim() == END {
            open.take().ok_or(PageError::UnopenedTable(n))?;
            out.push_str(line);
            out.push('\n');
        } else if open.is_none() {
            out.push_str(line);
            out.push('\n');
        }
    }
    if let Some(before) = open {
        return Err(PageError::UnclosedTable(before));
    }
    match tables.keys().find(|name| !placed.contains(name.as_str())) {
        Some(name) => Err(PageError::UnplacedTable(name.clone())),
        None => Ok(out),
    }
}
