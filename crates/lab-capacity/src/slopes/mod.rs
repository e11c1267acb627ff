//! The marginal cost of nodes, changes, routes, proxies and requests for each role: measured at several sizes, fitted
//! by a line, and compared at the largest size, which is held out from the fit.
//!
//! A [`Family`] is a series of measurements over one size and yields a [`Slope`] for each of its quantities.

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

/// The minimum number of fitted points, without the held-out point.
const MIN_POINTS: usize = 4;
/// The minimum ratio of the largest size to the smallest.
const MIN_SIZE_RATIO: f64 = 10.0;

/// The held-out point and the fit's prediction for it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldOut {
    /// The size, larger than all sizes of the fit.
    pub x: f64,
    /// The measured value, in the slope's unit.
    pub measured: f64,
    /// The predicted value, in the slope's unit.
    pub predicted: f64,
    /// The standard error of the prediction.
    pub predicted_se: f64,
}

/// One quantity against one size, as it is stored in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// The name, of role, quantity and size.
    pub name: String,
    /// The role that is measured.
    pub role: String,
    /// The measured quantity.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The size that varies.
    pub against: String,
    /// The command that repeats the measurement.
    pub command: String,
    /// Whether the machine ran other work during the measurement.
    pub shared: bool,
    /// Sizes and values, without the largest size.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points.
    pub fit: Fit,
    /// The point at the largest size.
    pub held_out: HeldOut,
}

impl Slope {
    /// Fits all points except the one at the largest size, and predicts that point.
    ///
    /// # Errors
    /// If there are fewer than four points besides the largest, if the sizes span less than a decade, or
    /// as [`Fit::new`].
    pub fn new(
        measured_quantity: &Quantity,
        family: &Family,
        shared: bool,
        all: Vec<(f64, f64)>,
    ) -> Result<Slope, CapacityError> {
        let fit_error =
            |source: FitError| CapacityError::Fit { slope: measured_quantity.name.into(), source };
        let (points, held_out) = split_largest(all).map_err(fit_error)?;
        let fit = Fit::new(&points).map_err(fit_error)?;
        let prediction = fit.predict(&points, held_out.0);
        Ok(Slope {
            name: measured_quantity.name.into(),
            role: family.role.into(),
            quantity: measured_quantity.quantity.into(),
            unit: measured_quantity.unit.into(),
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

    /// Predicts the value at a size.
    pub fn predict(&self, x: f64) -> Predicted {
        self.fit.predict(&self.points, x)
    }

    /// The value that was measured at exactly this size, if there is one.
    pub fn measured(&self, x: f64) -> Option<f64> {
        let held_out = (self.held_out.x, self.held_out.measured);
        self.points.iter().copied().chain([held_out]).find(|p| p.0 == x).map(|p| p.1)
    }

    /// Whether the prediction at the largest size is within a tenth of the measured value or within three standard errors.
    pub fn is_linear(&self) -> bool {
        let HeldOut { measured, predicted, predicted_se, .. } = self.held_out;
        let deviation = (measured - predicted).abs();
        deviation <= measured.abs() * 0.1 || deviation <= 3.0 * predicted_se
    }

    /// Repeats the fit and compares it with the stored one.
    ///
    /// # Errors
    /// As [`Slope::new`], and if the stored fit or prediction differs.
    pub fn check(&self) -> Result<(), CapacityError> {
        let mut all = self.points.clone();
        all.push((self.held_out.x, self.held_out.measured));
        let fit_error = |source: FitError| CapacityError::Fit { slope: self.name.clone(), source };
        let (points, held_out) = split_largest(all).map_err(fit_error)?;
        let fit = Fit::new(&points).map_err(fit_error)?;
        let prediction = fit.predict(&points, held_out.0);
        let nearly_equal = |a: f64, b: f64| (a - b).abs() <= 1e-9 * (1.0 + a.abs().max(b.abs()));
        let matches_points = nearly_equal(fit.slope, self.fit.slope)
            && nearly_equal(fit.intercept, self.fit.intercept)
            && nearly_equal(fit.slope_se, self.fit.slope_se)
            && nearly_equal(fit.power.unwrap_or(0.0), self.fit.power.unwrap_or(0.0))
            && nearly_equal(prediction.value, self.held_out.predicted)
            && nearly_equal(prediction.se, self.held_out.predicted_se);
        matches_points.then_some(()).ok_or_else(|| CapacityError::FitMismatch(self.name.clone()))
    }
}

/// The points of a fit, and the one at the largest size.
type SplitPoints = (Vec<(f64, f64)>, (f64, f64));

/// Splits points into those of the fit and the one at the largest size.
fn split_largest(mut all: Vec<(f64, f64)>) -> Result<SplitPoints, FitError> {
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let held_out = all.pop().ok_or(FitError::NoPoints)?;
    if all.len() < MIN_POINTS {
        return Err(FitError::TooFewPoints { count: all.len(), min: MIN_POINTS });
    }
    if all[0].0 <= 0.0 || held_out.0 < all[0].0 * MIN_SIZE_RATIO {
        return Err(FitError::RangeTooNarrow { from: all[0].0, to: held_out.0 });
    }
    Ok((all, held_out))
}

/// A quantity that a family measures.
#[derive(Clone, Copy, Debug)]
pub struct Quantity {
    /// The name of its slope.
    pub name: &'static str,
    /// The description.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
}

/// A series of measurements of one role at several sizes.
pub struct Family {
    /// Its name.
    pub name: &'static str,
    /// The measured role.
    pub role: &'static str,
    /// The size that varies, with its unit.
    pub against: &'static str,
    /// The sizes.
    pub at: &'static [f64],
    /// The measured quantities, in the order of the values that `measure` returns.
    pub quantities: &'static [Quantity],
    /// Measures at one size.
    pub measure: fn(&Setup, f64) -> Result<Vec<f64>, MeasureError>,
}

/// The minimum fraction of a requested rate; a measurement at a lower rate fails.
const MIN_REACHED_FRACTION: f64 = 0.95;

/// Fails if `n` events in `seconds` are below `MIN_REACHED_FRACTION` of the rate.
fn check_rate(n: u64, seconds: f64, rate: f64) -> Result<(), MeasureError> {
    let reached = n as f64 / seconds;
    (reached >= rate * MIN_REACHED_FRACTION)
        .then_some(())
        .ok_or(MeasureError::RateNotReached { reached, rate })
}

/// The programs and conditions of a measurement.
pub struct Setup {
    /// The path of the proxy's program.
    pub proxy: PathBuf,
    /// The path of the control service's program.
    pub control: PathBuf,
    /// Whether the machine runs other work.
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
        &control::BY_REPLY_DELAY,
        &requests::RATE,
        &requests::RESPONSE_LENGTH,
        &requests::NODES,
        &list_calls::PROXIES,
        &list_calls::NODES,
    ]
}

/// Selects families by their own names or by the names of their slopes; all families if `names` is empty.
///
/// # Errors
/// If a name matches no family and no slope.
pub fn select(names: &[String]) -> Result<Vec<&'static Family>, CapacityError> {
    let matches_name =
        |f: &Family, name: &String| f.name == name || f.quantities.iter().any(|q| q.name == name);
    if let Some(unknown) = names.iter().find(|name| !families().iter().any(|f| matches_name(f, name))) {
        let known = families().iter().map(|f| f.name).collect();
        return Err(CapacityError::UnknownSlope { name: unknown.clone(), known });
    }
    let wanted = |f: &&Family| names.is_empty() || names.iter().any(|name| matches_name(f, name));
    Ok(families().into_iter().filter(wanted).collect())
}

/// Measures a family at all its sizes; `progress` is called after each.
///
/// # Errors
/// If the measurement at a size fails, or the points can't be fitted.
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
    let slope = |(n, measured_quantity): (usize, &Quantity)| {
        let points = rows.iter().map(|(x, values)| (*x, values.get(n).copied().unwrap_or(f64::NAN)));
        Slope::new(measured_quantity, family, setup.shared, points.collect())
    };
    family.quantities.iter().enumerate().map(slope).collect()
}

/// Writes a slope to the JSON file of its name in a folder.
///
/// # Errors
/// If the file can't be written.
pub fn save(slope: &Slope, folder: &Path) -> Result<(), CapacityError> {
    let file = folder.join(format!("{}.json", slope.name));
    let text = serde_json::to_string_pretty(slope).map_err(CapacityError::Encode)?;
    std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
    std::fs::write(&file, text + "\n").map_err(FileError::at(&file))?;
    Ok(())
}

/// Reads all JSON files of a folder, in the order of their names; returns none if the folder does not exist.
///
/// # Errors
/// If a file can't be read or parsed; the error names the file.
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
/// If a file can't be read or is not a slope; the error names the file.
pub fn load(folder: &Path) -> Result<Vec<Slope>, CapacityError> {
    let mut slopes: Vec<Slope> = json_files(folder)?;
    slopes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(slopes)
}
