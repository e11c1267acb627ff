//! What one more node, change, route, proxy or request costs each role: measured at several sizes, fitted, and tried on
//! the largest size, which the fit has not seen.
//!
//! A [`Family`] is one way to measure and yields a [`Slope`] for each quantity that it looks at.

mod control;
mod fit;
mod list;
mod lists;
mod proxy;
mod relay;
mod requests;
#[cfg(test)]
mod tests;

pub use fit::{Fit, Predicted};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The fewest points of a fit; the one kept out comes beside them.
const POINTS_LEAST: usize = 4;
/// The largest size is at least so many times the smallest.
const DECADE: f64 = 10.0;

/// What a fit was tried on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldOut {
    /// The size, larger than any of the fit.
    pub x: f64,
    /// What was measured there, in the slope's unit.
    pub measured: f64,
    /// What the fit says.
    pub predicted: f64,
    /// The standard error of that prediction.
    pub predicted_se: f64,
}

/// One quantity against one size, as it is kept in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Role, quantity, size.
    pub name: String,
    /// Whose it is.
    pub role: String,
    /// What was measured.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The size.
    pub against: String,
    /// How to measure it again.
    pub command: String,
    /// Whether other work was on the machine meanwhile.
    pub shared: bool,
    /// Size and value, all but the largest.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: Fit,
    /// The largest.
    pub held_out: HeldOut,
}

impl Slope {
    /// Fits all points but the one at the largest size, and predicts that.
    ///
    /// # Errors
    /// With fewer than four points beside the largest, with less than a decade between the smallest and the largest, or
    /// as [`Fit::new`].
    pub fn new(of: &Quantity, family: &Family, shared: bool, all: Vec<(f64, f64)>) -> Result<Slope, String> {
        let named = |why: String| format!("{}: {why}", of.name);
        let (points, held_out) = fitted(all).map_err(named)?;
        let fit = Fit::new(&points).map_err(named)?;
        let said = fit.at(&points, held_out.0);
        Ok(Slope {
            name: of.name.into(),
            role: family.role.into(),
            quantity: of.quantity.into(),
            unit: of.unit.into(),
            against: family.against.into(),
            command: format!("aniseyoke-lab slopes {}", family.name),
            shared,
            held_out: HeldOut {
                x: held_out.0,
                measured: held_out.1,
                predicted: said.value,
                predicted_se: said.se,
            },
            points,
            fit,
        })
    }

    /// What it says at a size.
    pub fn at(&self, x: f64) -> Predicted {
        self.fit.at(&self.points, x)
    }

    /// What was measured at just this size, if anything was.
    pub fn measured(&self, x: f64) -> Option<f64> {
        let held_out = (self.held_out.x, self.held_out.measured);
        self.points.iter().copied().chain([held_out]).find(|p| p.0 == x).map(|p| p.1)
    }

    /// Whether the line holds at the largest size: within a tenth, or within three standard errors.
    pub fn straight(&self) -> bool {
        let HeldOut { measured, predicted, predicted_se, .. } = self.held_out;
        let off = (measured - predicted).abs();
        off <= measured.abs() * 0.1 || off <= 3.0 * predicted_se
    }

    /// Does the fit again and says what in the file does not follow from its points.
    ///
    /// # Errors
    /// As [`Slope::new`], and if anything differs.
    pub fn check(&self) -> Result<(), String> {
        let mut all = self.points.clone();
        all.push((self.held_out.x, self.held_out.measured));
        let (points, held_out) = fitted(all).map_err(|why| format!("{}: {why}", self.name))?;
        let fit = Fit::new(&points).map_err(|why| format!("{}: {why}", self.name))?;
        let said = fit.at(&points, held_out.0);
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-9 * (1.0 + a.abs().max(b.abs()));
        let same = near(fit.slope, self.fit.slope)
            && near(fit.intercept, self.fit.intercept)
            && near(fit.slope_se, self.fit.slope_se)
            && near(fit.power.unwrap_or(0.0), self.fit.power.unwrap_or(0.0))
            && near(said.value, self.held_out.predicted)
            && near(said.se, self.held_out.predicted_se);
        same.then_some(()).ok_or_else(|| format!("{}: the fit does not follow from the points", self.name))
    }
}

/// Splits points into those of the fit and the one at the largest size.
type Fitted = (Vec<(f64, f64)>, (f64, f64));

fn fitted(mut all: Vec<(f64, f64)>) -> Result<Fitted, String> {
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let held_out = all.pop().ok_or("no points")?;
    if all.len() < POINTS_LEAST {
        return Err(format!("{} points beside the largest are too few ({POINTS_LEAST})", all.len()));
    }
    if all[0].0 <= 0.0 || held_out.0 < all[0].0 * DECADE {
        return Err(format!("{} to {} is less than a decade", all[0].0, held_out.0));
    }
    Ok((all, held_out))
}

/// What a family looks at.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// The slope's name.
    pub name: &'static str,
    /// In words.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
}

/// One way to measure, at several sizes.
pub struct Family {
    /// Its name.
    pub name: &'static str,
    /// Whose quantities they are.
    pub role: &'static str,
    /// What the sizes are of.
    pub against: &'static str,
    /// The sizes.
    pub at: &'static [f64],
    /// What is looked at, in the order in which `measure` gives the values.
    pub quantities: &'static [Quantity],
    /// Measures at one size.
    pub measure: fn(&Setup, f64) -> Result<Vec<f64>, String>,
}

/// The part of a rate that has to be reached for its figure to count.
const RATE_HELD: f64 = 0.95;

/// Whether so many in so many seconds are the rate that was wanted.
fn held(n: u64, seconds: f64, rate: f64) -> Result<(), String> {
    let reached = n as f64 / seconds;
    let why = || format!("only {reached:.1} a second of {rate} could be published: the machine is too busy");
    (reached >= rate * RATE_HELD).then_some(()).ok_or_else(why)
}

/// What a measurement needs.
pub struct Setup {
    /// The proxy's program.
    pub proxy: PathBuf,
    /// The control service's program.
    pub control: PathBuf,
    /// Whether other work is on the machine.
    pub shared: bool,
}

/// All families, in the order in which their figures are needed.
pub fn families() -> Vec<&'static Family> {
    vec![
        &proxy::NODES,
        &control::BY_PROXIES,
        &proxy::CHANGES,
        &proxy::ROUTES,
        &proxy::VERSIONS,
        &control::BY_RATE,
        &control::BY_DISTANCE,
        &requests::RATE,
        &requests::LENGTH,
        &requests::NODES,
        &lists::PROXIES,
        &lists::NODES,
    ]
}

/// The families that these names call: a family's, or that of one of its slopes; all without any.
///
/// # Errors
/// If a name calls none.
pub fn called(names: &[String]) -> Result<Vec<&'static Family>, String> {
    let calls = |f: &Family, name: &String| f.name == name || f.quantities.iter().any(|q| q.name == name);
    if let Some(unknown) = names.iter().find(|name| !families().iter().any(|f| calls(f, name))) {
        let known: Vec<&str> = families().iter().map(|f| f.name).collect();
        return Err(format!("there is no slope {unknown}; there are {}", known.join(", ")));
    }
    let wanted = |f: &&Family| names.is_empty() || names.iter().any(|name| calls(f, name));
    Ok(families().into_iter().filter(wanted).collect())
}

/// Measures a family at all its sizes; `told` hears of each.
///
/// # Errors
/// If a size could not be measured, or its points make no slope.
pub fn measure(
    family: &Family,
    setup: &Setup,
    mut told: impl FnMut(f64, &[f64]),
) -> Result<Vec<Slope>, String> {
    let mut rows = Vec::new();
    for x in family.at {
        let values = (family.measure)(setup, *x)
            .map_err(|e| format!("{} at {x} {}: {e}", family.name, family.against))?;
        told(*x, &values);
        rows.push((*x, values));
    }
    let slope = |(n, of): (usize, &Quantity)| {
        let points = rows.iter().map(|(x, values)| (*x, values.get(n).copied().unwrap_or(f64::NAN)));
        Slope::new(of, family, setup.shared, points.collect())
    };
    family.quantities.iter().enumerate().map(slope).collect()
}

/// Keeps a slope in a folder, a file by its name.
///
/// # Errors
/// If it can't be written.
pub fn keep(slope: &Slope, folder: &Path) -> Result<(), String> {
    let file = folder.join(format!("{}.json", slope.name));
    let text = serde_json::to_string_pretty(slope).map_err(|e| e.to_string())?;
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    std::fs::write(&file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
}

/// Reads all JSON files of a folder, in the order of their names; none where there is no such folder.
///
/// # Errors
/// Names the file that can't be read or does not fit.
pub fn json_files<T: DeserializeOwned>(folder: &Path) -> Result<Vec<T>, String> {
    if !folder.exists() {
        return Ok(Vec::new());
    }
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let entries = std::fs::read_dir(folder).map_err(|e| named(&e))?;
    let mut files = Vec::new();
    for entry in entries {
        files.push(entry.map_err(|e| named(&e))?.path());
    }
    files.retain(|file| file.extension().is_some_and(|e| e == "json"));
    files.sort();
    let read = |file: std::path::PathBuf| {
        let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))
    };
    files.into_iter().map(read).collect()
}

/// Reads all slopes of a folder, in the order of their names.
///
/// # Errors
/// Names the file that can't be read or is no slope.
pub fn read(folder: &Path) -> Result<Vec<Slope>, String> {
    let mut slopes: Vec<Slope> = json_files(folder)?;
    slopes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(slopes)
}
