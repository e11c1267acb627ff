//! What one more node, change, route, proxy or request costs each role: measured at several sizes, fitted, and tried on
//! the largest size, which the fit has not seen.
//!
//! A [`Family`] is one way to measure and yields a [`Slope`] for each quantity that it looks at.

mod byte_counter;
mod control;
mod emulated_proxy;
mod fit;
mod list_calls;
mod list_server;
mod proxy;
mod requests;
#[cfg(test)]
mod tests;

pub use fit::{Fit, Predicted};

use crate::{CapacityError, FitError, MeasureError};
use aniseyoke_lab_day::FileError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The fewest points of a fit; the one kept out comes beside them.
const MIN_POINTS: usize = 4;
/// The largest size is at least this many times the smallest.
const MIN_SIZE_RATIO: f64 = 10.0;

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
    pub fn new(
        of: &Quantity,
        family: &Family,
        shared: bool,
        all: Vec<(f64, f64)>,
    ) -> Result<Slope, CapacityError> {
        let named = |source: FitError| CapacityError::Fit { slope: of.name.into(), source };
        let (points, held_out) = split_largest(all).map_err(named)?;
        let fit = Fit::new(&points).map_err(named)?;
        let prediction = fit.predict(&points, held_out.0);
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
                predicted: prediction.value,
                predicted_se: prediction.se,
            },
            points,
            fit,
        })
    }

    /// What it says at a size.
    pub fn predict(&self, x: f64) -> Predicted {
        self.fit.predict(&self.points, x)
    }

    /// What was measured at just this size, if anything was.
    pub fn measured(&self, x: f64) -> Option<f64> {
        let held_out = (self.held_out.x, self.held_out.measured);
        self.points.iter().copied().chain([held_out]).find(|p| p.0 == x).map(|p| p.1)
    }

    /// Whether the line holds at the largest size: within a tenth, or within three standard errors.
    pub fn is_linear(&self) -> bool {
        let HeldOut { measured, predicted, predicted_se, .. } = self.held_out;
        let off = (measured - predicted).abs();
        off <= measured.abs() * 0.1 || off <= 3.0 * predicted_se
    }

    /// Does the fit again and says what in the file does not follow from its points.
    ///
    /// # Errors
    /// As [`Slope::new`], and if anything differs.
    pub fn check(&self) -> Result<(), CapacityError> {
        let mut all = self.points.clone();
        all.push((self.held_out.x, self.held_out.measured));
        let named = |source: FitError| CapacityError::Fit { slope: self.name.clone(), source };
        let (points, held_out) = split_largest(all).map_err(named)?;
        let fit = Fit::new(&points).map_err(named)?;
        let prediction = fit.predict(&points, held_out.0);
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-9 * (1.0 + a.abs().max(b.abs()));
        let same = near(fit.slope, self.fit.slope)
            && near(fit.intercept, self.fit.intercept)
            && near(fit.slope_se, self.fit.slope_se)
            && near(fit.power.unwrap_or(0.0), self.fit.power.unwrap_or(0.0))
            && near(prediction.value, self.held_out.predicted)
            && near(prediction.se, self.held_out.predicted_se);
        same.then_some(()).ok_or_else(|| CapacityError::FitDiffers(self.name.clone()))
    }
}

/// The points of a fit, and the one at the largest size.
type SplitPoints = (Vec<(f64, f64)>, (f64, f64));

/// Splits points into those of the fit and the one at the largest size.
fn split_largest(mut all: Vec<(f64, f64)>) -> Result<SplitPoints, FitError> {
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let held_out = all.pop().ok_or(FitError::NoPoints)?;
    if all.len() < MIN_POINTS {
        return Err(FitError::TooFew { count: all.len(), min: MIN_POINTS });
    }
    if all[0].0 <= 0.0 || held_out.0 < all[0].0 * MIN_SIZE_RATIO {
        return Err(FitError::TooNarrow { from: all[0].0, to: held_out.0 });
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
    pub measure: fn(&Setup, f64) -> Result<Vec<f64>, MeasureError>,
}

/// The fraction of a rate that has to be reached for its figure to count.
const MIN_REACHED: f64 = 0.95;

/// Fails unless `n` in so many seconds reach the rate.
fn check_rate(n: u64, seconds: f64, rate: f64) -> Result<(), MeasureError> {
    let reached = n as f64 / seconds;
    (reached >= rate * MIN_REACHED).then_some(()).ok_or(MeasureError::RateNotReached { reached, rate })
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
        &list_calls::PROXIES,
        &list_calls::NODES,
    ]
}

/// The families that these names call: a family's, or that of one of its slopes; all without any.
///
/// # Errors
/// If a name calls none.
pub fn select(names: &[String]) -> Result<Vec<&'static Family>, CapacityError> {
    let calls = |f: &Family, name: &String| f.name == name || f.quantities.iter().any(|q| q.name == name);
    if let Some(unknown) = names.iter().find(|name| !families().iter().any(|f| calls(f, name))) {
        let known = families().iter().map(|f| f.name).collect();
        return Err(CapacityError::UnknownSlope { name: unknown.clone(), known });
    }
    let wanted = |f: &&Family| names.is_empty() || names.iter().any(|name| calls(f, name));
    Ok(families().into_iter().filter(wanted).collect())
}

/// Measures a family at all its sizes; `progress` is called after each.
///
/// # Errors
/// If a size could not be measured, or its points make no slope.
pub fn measure(
    family: &Family,
    setup: &Setup,
    mut progress: impl FnMut(f64, &[f64]),
) -> Result<Vec<Slope>, CapacityError> {
    let mut rows = Vec::new();
    for x in family.at {
        let values = (family.measure)(setup, *x).map_err(|source| CapacityError::Measure {
            family: family.name,
            size: *x,
            against: family.against,
            source: Box::new(source),
        })?;
        progress(*x, &values);
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
pub fn save(slope: &Slope, folder: &Path) -> Result<(), CapacityError> {
    let file = folder.join(format!("{}.json", slope.name));
    let text = serde_json::to_string_pretty(slope).map_err(CapacityError::Encode)?;
    std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
    std::fs::write(&file, text + "\n").map_err(FileError::at(&file))?;
    Ok(())
}

/// Reads all JSON files of a folder, in the order of their names; none where there is no such folder.
///
/// # Errors
/// Names the file that can't be read or does not fit.
pub fn json_files<T: DeserializeOwned>(folder: &Path) -> Result<Vec<T>, CapacityError> {
    if !folder.exists() {
        return Ok(Vec::new());
    }
    let entries = std::fs::read_dir(folder).map_err(FileError::at(folder))?;
    let mut files = Vec::new();
    for entry in entries {
        files.push(entry.map_err(FileError::at(folder))?.path());
    }
    files.retain(|file| file.extension().is_some_and(|e| e == "json"));
    files.sort();
    let load = |file: PathBuf| {
        let text = std::fs::read_to_string(&file).map_err(FileError::at(&file))?;
        serde_json::from_str(&text).map_err(|source| CapacityError::Json { path: file, source })
    };
    files.into_iter().map(load).collect()
}

/// Reads all slopes of a folder, in the order of their names.
///
/// # Errors
/// Names the file that can't be read or is no slope.
pub fn load(folder: &Path) -> Result<Vec<Slope>, CapacityError> {
    let mut slopes: Vec<Slope> = json_files(folder)?;
    slopes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(slopes)
}
