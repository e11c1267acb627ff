//! Straight lines through measured points by least squares, with their errors, and the power of what is not straight. No
//! I/O, no clock.

use crate::FitError;
use serde::{Deserialize, Serialize};

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    /// Its value at 0, in the slope's unit.
    pub intercept: f64,
    /// What one more of the abscissa adds, in the slope's unit.
    pub slope: f64,
    /// The standard error of `slope`.
    pub slope_se: f64,
    /// The exponent of a power law through the same points, by a line through their logarithms; none where a value is
    /// not above 0.
    pub power: Option<f64>,
}

/// A value that a fit predicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Predicted {
    /// The value, in the slope's unit.
    pub value: f64,
    /// The standard error of a single measurement there.
    pub se: f64,
}

/// Sums about the means: mean of x, mean of y, Sxx, Sxy.
fn moments(points: &[(f64, f64)]) -> (f64, f64, f64, f64) {
    let n = points.len() as f64;
    let (mx, my) = (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let sxx = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sxy = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    (mx, my, sxx, sxy)
}

/// The residuals' standard deviation with two degrees of freedom taken.
fn residual(points: &[(f64, f64)], fit: &Fit) -> f64 {
    let squares: f64 = points.iter().map(|(x, y)| (y - fit.intercept - fit.slope * x).powi(2)).sum();
    (squares / (points.len() as f64 - 2.0)).sqrt()
}

impl Fit {
    /// Fits a line.
    ///
    /// # Errors
    /// With fewer than three points, with all at one place, or with a value that is no number.
    pub fn new(points: &[(f64, f64)]) -> Result<Fit, FitError> {
        if points.len() < 3 {
            return Err(FitError::TooFewForALine(points.len()));
        }
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return Err(FitError::NotANumber);
        }
        let (mx, my, sxx, sxy) = moments(points);
        if sxx <= 0.0 {
            return Err(FitError::OneSize);
        }
        let slope = sxy / sxx;
        let mut fit = Fit { intercept: my - slope * mx, slope, slope_se: 0.0, power: None };
        fit.slope_se = residual(points, &fit) / sxx.sqrt();
        if points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0) {
            let logarithms: Vec<_> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
            let (_, _, sxx, sxy) = moments(&logarithms);
            fit.power = Some(sxy / sxx);
        }
        Ok(fit)
    }

    /// What it says at `x`; `points` are those it was made from.
    pub fn predict(&self, points: &[(f64, f64)], x: f64) -> Predicted {
        let (mx, _, sxx, _) = moments(points);
        let spread = 1.0 + 1.0 / points.len() as f64 + (x - mx).powi(2) / sxx;
        Predicted { value: self.intercept + self.slope * x, se: residual(points, self) * spread.sqrt() }
    }
}
