//! Goodput against offered load: one day at several multiples of its rate, with one or more builds of the proxy.

use super::report::Report;
use super::{run, Options, TrialError};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::Goodput;
use aniseyoke_lab_process::ProxyLauncher;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;

/// One trial of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Multiple of the day's rate.
    pub times: f64,
    /// Priority weight offered per second.
    pub offered: f64,
    /// Priority weight served within the latency objective per second.
    pub good: f64,
    /// Fraction of the requests that were rejected in the end.
    pub refused: f64,
    /// Latency of served requests at the 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Whether the audit was clean and no proxy crashed.
    pub clean: bool,
}

/// The trials of one build.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// The name of the build.
    pub name: String,
    /// The trials, in the order of the given multiples.
    pub points: Vec<Point>,
}

impl Curve {
    /// Returns the highest weight per second that was served in time.
    pub fn peak(&self) -> f64 {
        self.points.iter().map(|p| p.good).fold(0.0, f64::max)
    }

    /// Returns the lowest goodput at any load beyond that of the peak, as a fraction of the peak.
    pub fn retained_fraction(&self) -> f64 {
        let peak = self.peak();
        let at = self.points.iter().position(|p| p.good == peak).unwrap_or(0);
        self.points[at.min(self.points.len())..].iter().map(|p| p.good / peak).fold(1.0, f64::min)
    }
}

fn point(times: f64, report: &Report) -> Result<Point, TrialError> {
    if let Some(why) = &report.void {
        return Err(TrialError::Void { times, why: why.clone() });
    }
    let Goodput { good, offered } = Goodput::sum(&report.timeline);
    let refused = report.all.outcomes.get("refused").copied().unwrap_or(0) as f64;
    Ok(Point {
        times,
        offered: offered / report.seconds,
        good: good / report.seconds,
        refused: refused / report.all.requests.max(1) as f64,
        p99_ms: report.all.served.p99_ms,
        clean: report.audit.clean() && report.crashes.is_empty(),
    })
}

/// Runs a day at each multiple of its rate.
///
/// # Errors
/// If a trial could not be run, or is void.
pub fn sweep(
    name: &str,
    day: &Day,
    launcher: &dyn ProxyLauncher,
    times: &[f64],
    options: &Options<'_>,
) -> Result<Curve, TrialError> {
    let mut points = Vec::new();
    for times in times {
        let mut day = day.clone();
        day.load.rate *= times;
        points.push(point(*times, &run(&day, launcher, options)?)?);
    }
    Ok(Curve { name: name.to_owned(), points })
}

/// Plots curves into an SVG file: weight served in time against weight offered, both per second.
///
/// # Errors
/// If the file can't be written.
pub fn plot(title: &str, curves: &[Curve], file: &Path) -> Result<(), TrialError> {
    let all = || curves.iter().flat_map(|c| &c.points);
    let max_x = all().map(|p| p.offered).fold(1.0, f64::max) * 1.05;
    let max_y = all().map(|p| p.good).fold(1.0, f64::max) * 1.15;
    let draw = || -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let root = SVGBackend::new(file, (720, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart
            .configure_mesh()
            .x_desc("priority weight offered per second")
            .y_desc("priority weight served in time per second")
            .draw()?;
        for (n, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let points = || curve.points.iter().map(|p| (p.offered, p.good));
            chart
                .draw_series(LineSeries::new(points(), colour.stroke_width(2)))?
                .label(curve.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            chart.draw_series(points().map(|at| Circle::new(at, 3, colour.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    };
    draw().map_err(|source| TrialError::Plot { path: file.to_owned(), source })
}

#[cfg(test)]
mod tests;
