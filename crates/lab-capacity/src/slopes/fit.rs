//! Linear fits of measured points by least squares with standard errors, and the exponent of a power law. No I/O, no
//! clock.

use crate::FitError;
use serde::{Deserialize, Serialize};

/// A line fitted to points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    /// The value at 0, in the slope's unit.
    pub intercept: f64,
    /// The increase for each unit of the abscissa, in the slope's unit.
    pub slope: f64,
    /// The standard error of `slope`.
    pub slope_se: f64,
    /// The exponent of a power law through the same points, from a linear fit of their logarithms; none if a value is
    /// not above 0.
    pub power: Option<f64>,
}

/// A value that a fit predicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Predicted {
    /// The value, in the slope's unit.
    pub value: f64,
    /// The standard error of a single measurement at this abscissa.
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

/// The residual standard deviation, with two degrees of freedom subtracted for the line.
fn residual(points: &[(f64, f64)], fit: &Fit) -> f64 {
    let squares: f64 = points.iter().map(|(x, y)| (y - fit.intercept - fit.slope * x).powi(2)).sum();
    (squares / (points.len() as f64 - 2.0)).sqrt()
}

impl Fit {
    /// Fits a line to points.
    ///
    /// # Errors
    /// If there are fewer than three points, all have the same abscissa, or a value is not finite.
    pub fn new(points: &[(f64, f64)]) -> Result<Fit, FitError> {
        if points.len() < 3 {
            return Err(FitError::TooFewPointsForLine(points.len()));
        }
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return Err(FitError::NotFinite);
        }
        let (mx, my, sxx, sxy) = moments(points);
        if sxx <= 0.0 {
            return Err(FitError::SingleSize);
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

    /// Predicts the value at `x`; `points` are the fitted points.
    pub fn predict(&self, points: &[(f64, f64)], x: f64) -> Predicted {
        let (mx, _, sxx, _) = moments(points);
        let spread = 1.0 + 1.0 / points.len() as f64 + (x - mx).powi(2) / sxx;
        Predicted { value: self.intercept + self.slope * x, se: residual(points, self) * spread.sqrt() }
    }
}
