//! The page of figures at the target's size: arithmetic over the target, the measured slopes and the runs, done again
//! whenever the page is written or checked, so that page and runs can't drift apart.
//!
//! A folder holds `CAPACITY.md`, and beside it `capacity/target.toml` (the target's figures by name),
//! `capacity/rows.toml` (what is worked out, and how), `capacity/slopes/*.json` and `capacity/runs/*.json`.

mod page;
mod rows;
pub mod slopes;
#[cfg(test)]
mod tests;

pub use page::fill;
pub use rows::{Factor, Kind, Row, Term, Worked};

use serde::de::DeserializeOwned;
use serde::Deserialize;
use slopes::{json_files, Slope};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// One figure of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// What was measured.
    pub value: f64,
    /// Its unit.
    pub unit: String,
    /// What it may be at most, in the same unit, if anything is said.
    #[serde(default)]
    pub limit: Option<f64>,
}

/// A run at size.
#[derive(Clone, Debug, Deserialize)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// The experiment that was played.
    pub plan: String,
    /// Its seed.
    pub seed: u64,
    /// How long it was played.
    pub seconds: f64,
    /// What was measured.
    pub figures: Vec<Figure>,
}

/// All that the page is worked out from.
#[derive(Clone, Debug, Default)]
pub struct Inputs {
    /// The target's figures.
    pub target: BTreeMap<String, f64>,
    /// What is worked out.
    pub rows: Vec<Row>,
    /// What was fitted.
    pub slopes: Vec<Slope>,
    /// What was played.
    pub runs: Vec<Run>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rows {
    row: Vec<Row>,
}

fn toml_file<T: DeserializeOwned>(file: &Path) -> Result<T, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    toml::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
}

impl Inputs {
    /// Reads them from the folder that holds the page. Fits are done again from their points.
    ///
    /// # Errors
    /// Names what can't be read, does not fit, or does not follow from its points.
    pub fn read(docs: &Path) -> Result<Inputs, String> {
        let folder = docs.join("capacity");
        let inputs = Inputs {
            target: toml_file(&folder.join("target.toml"))?,
            rows: toml_file::<Rows>(&folder.join("rows.toml"))?.row,
            slopes: slopes::read(&folder.join("slopes"))?,
            runs: json_files(&folder.join("runs"))?,
        };
        inputs.slopes.iter().try_for_each(Slope::check)?;
        Ok(inputs)
    }

    /// All tables by name: one for each that a row names, `slopes`, `runs` and `target`.
    ///
    /// # Errors
    /// Names the row that can't be worked out.
    pub fn tables(&self) -> Result<BTreeMap<String, String>, String> {
        let mut tables: BTreeMap<String, String> = BTreeMap::new();
        for row in &self.rows {
            let worked = row.work(self).map_err(|why| format!("{}, {}: {why}", row.table, row.figure))?;
            let table = tables.entry(row.table.clone()).or_insert_with(|| {
                "| figure | at the target | limit | part of it | kind | from | carried by |\n|---|---|---|---|---|---|---|\n".into()
            });
            table.push_str(&row.line(&worked, self));
        }
        for (name, text) in
            [("slopes", self.slopes_table()), ("runs", self.runs_table()), ("target", self.target_table())]
        {
            if tables.insert(name.into(), text).is_some() {
                return Err(format!("rows may not fill the table {name}"));
            }
        }
        Ok(tables)
    }

    fn target_table(&self) -> String {
        let mut t = String::from("| name | value |\n|---|---|\n");
        for (name, value) in &self.target {
            // Writing to a string can't fail.
            let _ = writeln!(t, "| `{name}` | {} |", short(*value));
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
                short(s.fit.slope),
                short(s.fit.slope_se),
                short(s.fit.intercept),
                short(s.held_out.x),
                short(s.held_out.measured),
                short(s.held_out.predicted),
                short(s.held_out.predicted_se),
                if s.straight() { "holds" } else { "**bends**" },
                if s.shared { "shared" } else { "alone" },
            );
        }
        t
    }

    fn runs_table(&self) -> String {
        let mut t = String::from("| run | figure | measured | limit | part of it |\n|---|---|---|---|---|\n");
        for run in &self.runs {
            for f in &run.figures {
                let limit = f.limit.map_or("-".into(), |l| format!("{} {}", short(l), f.unit));
                let part = f.limit.map_or("-".into(), |l| percent(f.value, l));
                let Run { name, plan, seed, seconds, .. } = run;
                let _ = writeln!(
                    t,
                    "| {name} (`{plan}`, seed {seed}, {} s) | {} | {} {} | {limit} | {part} |",
                    short(*seconds),
                    f.name,
                    short(f.value),
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

/// A number with three significant digits, and commas where it is long.
pub fn short(value: f64) -> String {
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

/// The part of a limit that is used; none of a limit of 0.
fn percent(value: f64, limit: f64) -> String {
    if limit == 0.0 {
        return "-".into();
    }
    format!("{}%", short(100.0 * value / limit))
}

/// Works the page out; the text that it is to be.
///
/// # Errors
/// As [`Inputs::read`], [`Inputs::tables`] and [`fill`].
pub fn page(docs: &Path) -> Result<String, String> {
    let file = docs.join("CAPACITY.md");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let tables = Inputs::read(docs)?.tables()?;
    fill(&text, &tables).map_err(|why| format!("{}: {why}", file.display()))
}

/// The first line in which the page says something else than slopes and runs, if there is one.
///
/// # Errors
/// As [`page`].
pub fn differs(docs: &Path) -> Result<Option<String>, String> {
    let wanted = page(docs)?;
    let file = docs.join("CAPACITY.md");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    if text == wanted {
        return Ok(None);
    }
    let mut pairs = text.lines().zip(wanted.lines()).enumerate();
    let line = pairs.find(|(_, (is, should))| is != should);
    Ok(Some(match line {
        Some((n, (is, should))) => {
            format!("{}:{}: `{is}`, and worked out is `{should}`", file.display(), n + 1)
        }
        None => format!("{}: it is longer or shorter than what is worked out", file.display()),
    }))
}
