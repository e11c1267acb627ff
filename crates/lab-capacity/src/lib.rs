//! The capacity page: figures at the target's size, computed from the target, the measured slopes and the runs. They
//! are recomputed whenever the page is written or checked, so that the page stays consistent with slopes and runs.
//!
//! The folder of the documentation contains `CAPACITY.md`, `capacity/target.toml` (the target's figures by name),
//! `capacity/rows.toml` (the rows and their terms), `capacity/slopes/*.json` and `capacity/runs/*.json`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod page;
mod rows;
pub mod slopes;
#[cfg(test)]
mod tests;

pub use error::{CapacityError, FitError, MeasureError, PageError, RowError};
pub use page::fill;
pub use rows::{Factor, Kind, Row, RowValue, Term};

use aniseyoke_lab_day::FileError;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use slopes::{json_files, Slope};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// One measured figure of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct Figure {
    /// The name.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The unit of value and limit.
    pub unit: String,
    /// The limit, if there is one.
    #[serde(default)]
    pub limit: Option<f64>,
}

/// The result of a run at the target's size.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    /// The name.
    pub name: String,
    /// The file name of the plan.
    pub plan: String,
    /// The seed.
    pub seed: u64,
    /// The duration in seconds.
    pub seconds: f64,
    /// The measured figures.
    pub figures: Vec<Figure>,
}

/// All inputs of the page.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// The target's figures by name.
    pub target: BTreeMap<String, f64>,
    /// The rows of all tables.
    pub rows: Vec<Row>,
    /// The measured slopes with their fits.
    pub slopes: Vec<Slope>,
    /// The results of runs.
    pub runs: Vec<Run>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rows {
    row: Vec<Row>,
}

fn toml_file<T: DeserializeOwned>(file: &Path) -> Result<T, CapacityError> {
    let text = std::fs::read_to_string(file).map_err(FileError::at(file))?;
    toml::from_str(&text).map_err(|e| CapacityError::Toml { path: file.to_owned(), source: Box::new(e) })
}

impl Inputs {
    /// Reads all inputs from the folder that contains the page, and verifies each fit against its points.
    ///
    /// # Errors
    /// If a file can't be read or parsed, or if a stored fit differs from a fit of its points.
    pub fn read(docs: &Path) -> Result<Inputs, CapacityError> {
        let folder = docs.join("capacity");
        let inputs = Inputs {
            target: toml_file(&folder.join("target.toml"))?,
            rows: toml_file::<Rows>(&folder.join("rows.toml"))?.row,
            slopes: slopes::load(&folder.join("slopes"))?,
            runs: json_files(&folder.join("runs"))?,
        };
        inputs.slopes.iter().try_for_each(Slope::check)?;
        Ok(inputs)
    }

    /// Renders all tables by name: those that the rows name, and `slopes`, `runs` and `target`.
    ///
    /// # Errors
    /// If the value of a row can't be computed, or if a row uses a reserved table name.
    pub fn tables(&self) -> Result<BTreeMap<String, String>, CapacityError> {
        let mut tables: BTreeMap<String, String> = BTreeMap::new();
        for row in &self.rows {
            let row_value = row.evaluate(self).map_err(|source| CapacityError::Row {
                table: row.table.clone(),
                figure: row.figure.clone(),
                source,
            })?;
            let table = tables.entry(row.table.clone()).or_insert_with(|| {
                "| figure | at the target | limit | part of it | kind | from | carried by |\n|---|---|---|---|---|---|---|\n".into()
            });
            table.push_str(&row.line(&row_value, self));
        }
        for (name, text) in
            [("slopes", self.slopes_table()), ("runs", self.runs_table()), ("target", self.target_table())]
        {
            if tables.insert(name.into(), text).is_some() {
                return Err(CapacityError::ReservedTable(name));
            }
        }
        Ok(tables)
    }

    fn target_table(&self) -> String {
        let mut t = String::from("| name | value |\n|---|---|\n");
        for (name, value) in &self.target {
            // Writing to a string can't fail.
            let _ = writeln!(t, "| `{name}` | {} |", format_short(*value));
        }
        t
    }

    fn slopes_table(&self) -> String {
        let mut t = String::from(
            "| slope | against | for each one more | at 0 | power | largest size | measured there | predicted | line | machine |\n|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for s in &self.slopes {
            let power = s.fit.power.map_or("-".into(), |p| format!("{p:.2}"));
            let _ = writeln!(
                t,
                "| `{}`: {}, {} | {} | {} ± {} | {} | {power} | {} | {} | {} ± {} | {} | {} |",
                s.name,
                s.quantity,
                s.unit,
                s.against,
                format_short(s.fit.slope),
                format_short(s.fit.slope_se),
                format_short(s.fit.intercept),
                format_short(s.held_out.x),
                format_short(s.held_out.measured),
                format_short(s.held_out.predicted),
                format_short(s.held_out.predicted_se),
                if s.is_linear() { "holds" } else { "**bends**" },
                if s.shared { "shared" } else { "alone" },
            );
        }
        t
    }

    fn runs_table(&self) -> String {
        let mut t = String::from("| run | figure | measured | limit | part of it |\n|---|---|---|---|---|\n");
        for run in &self.runs {
            for f in &run.figures {
                let limit = f.limit.map_or("-".into(), |l| format!("{} {}", format_short(l), f.unit));
                let part = f.limit.map_or("-".into(), |l| format_percent(f.value, l));
                let Run { name, plan, seed, seconds, .. } = run;
                let _ = writeln!(
                    t,
                    "| {name} (`{plan}`, seed {seed}, {} s) | {} | {} {} | {limit} | {part} |",
                    format_short(*seconds),
                    f.name,
                    format_short(f.value),
                    f.unit
                );
            }
        }
        if self.runs.is_empty() {
            t.push_str("| none yet | - | - | - | - |\n");
        }
        t
    }
}

/// Formats a number with three significant digits and with commas between groups of thousands.
pub fn format_short(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if value.abs() < 1e-3 {
        return format!("{value:.2e}");
    }
    if digits > 0 {
        let text = format!("{value:.*}", digits as usize);
        return text.trim_end_matches('0').trim_end_matches('.').to_owned();
    }
    let unit = 10f64.powi(-digits);
    let rounded =
        format!("{:.0}", if value.abs() < 1e5 { value.round() } else { (value / unit).round() * unit });
    let (sign, plain) = rounded.strip_prefix('-').map_or(("", rounded.as_str()), |plain| ("-", plain));
    let mut out = String::new();
    for (n, c) in plain.chars().enumerate() {
        if n > 0 && (plain.len() - n) % 3 == 0 {
            out.push(',');
        }
        out.push(c);
    }
    format!("{sign}{out}")
}

/// Formats the percentage of a limit that is used, or `-` if the limit is 0.
fn format_percent(value: f64, limit: f64) -> String {
    if limit == 0.0 {
        return "-".into();
    }
    format!("{}%", format_short(100.0 * value / limit))
}

/// Renders the page: its text with all tables recomputed.
///
/// # Errors
/// As [`Inputs::read`], [`Inputs::tables`] and [`fill`].
pub fn render_page(docs: &Path) -> Result<String, CapacityError> {
    let file = docs.join("CAPACITY.md");
    let text = std::fs::read_to_string(&file).map_err(FileError::at(&file))?;
    let tables = Inputs::read(docs)?.tables()?;
    fill(&text, &tables).map_err(|source| CapacityError::Page { path: file, source })
}

/// Describes the first line of the page that differs from the rendered page, if there is one.
///
/// # Errors
/// As [`render_page`].
pub fn first_difference(docs: &Path) -> Result<Option<String>, CapacityError> {
    let wanted = render_page(docs)?;
    let file = docs.join("CAPACITY.md");
    let text = std::fs::read_to_string(&file).map_err(FileError::at(&file))?;
    if text == wanted {
        return Ok(None);
    }
    let mut pairs = text.lines().zip(wanted.lines()).enumerate();
    let line = pairs.find(|(_, (actual, expected))| actual != expected);
    Ok(Some(match line {
        Some((n, (actual, expected))) => {
            format!("{}:{}: found `{actual}`, expected `{expected}`", file.display(), n + 1)
        }
        None => format!("{}: its length differs from that of the rendered page", file.display()),
    }))
}
