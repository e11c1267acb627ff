//! The outcome of an experiment as one HTML page: plots of request outcomes, calls to the discovery service and connections by
//! second, with the times of the faults marked on each plot.

use super::error::RigError;
use super::outcome::{table, Outcome};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write as _;

/// The size of a plot, in pixels.
const PLOT_SIZE_PIXELS: (u32, u32) = (960, 300);
/// The maximum number of faults marked on a plot; more marks would obscure the plot.
const MAX_FAULT_MARKS: usize = 60;

/// A data series of a plot: its name, and its value in each second.
struct Series<'a> {
    name: &'a str,
    seconds: Vec<f64>,
}

fn series<'a>(name: &'a str, counts: &[u64]) -> Series<'a> {
    Series { name, seconds: counts.iter().map(|c| *c as f64).collect() }
}

fn draw(
    root: &DrawingArea<SVGBackend<'_>, Shift>,
    title: &str,
    from: f64,
    rows: &[Series<'_>],
    fault_times: &[f64],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    root.fill(&WHITE)?;
    let values = || rows.iter().flat_map(|r| r.seconds.iter().copied());
    let (max, length) =
        (values().fold(1.0, f64::max), rows.iter().map(|r| r.seconds.len()).max().unwrap_or(1));
    let mut chart = ChartBuilder::on(root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(from..from + length as f64, 0.0..max * 1.05)?;
    chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw()?;
    for at in fault_times {
        chart.draw_series(LineSeries::new([(*at, 0.0), (*at, max * 1.05)], RED.mix(0.25)))?;
    }
    for (n, series) in rows.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let points = series.seconds.iter().enumerate().map(|(s, v)| (from + s as f64 + 0.5, *v));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
}

fn plot(title: &str, from: f64, rows: &[Series<'_>], fault_times: &[f64]) -> Result<String, RigError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PIXELS).into_drawing_area();
        draw(&root, title, from, rows, fault_times)
            .map_err(|source| RigError::Plot { title: title.to_owned(), source })?;
    }
    Ok(svg)
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Renders the outcome as an HTML page.
///
/// # Errors
/// Returns an error if a plot can't be drawn.
pub fn page(name: &str, outcome: &Outcome) -> Result<String, RigError> {
    let mut kinds: Vec<&String> = outcome.seconds.iter().flat_map(|s| s.keys()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let of = |kind: &String| -> Vec<u64> {
        outcome.seconds.iter().map(|s| s.get(kind).copied().unwrap_or(0)).collect()
    };
    let outcomes: Vec<Series<'_>> = kinds.iter().map(|kind| series(kind, &of(kind))).collect();
    let fault_times: Vec<f64> = outcome.steps.iter().map(|(at, _)| *at).take(MAX_FAULT_MARKS).collect();
    let list = [series("calls", &outcome.list_asks), series("refused", &outcome.list_refused)];
    let opened = [series("all nodes", &outcome.nodes.opened), series("the ledger", &outcome.origin.opened)];
    let max = [
        series("busiest node", &outcome.nodes.max_opened),
        series("rejected, all nodes", &outcome.nodes.rejected_connections),
    ];
    let plots = [
        plot("requests by outcome", outcome.began_s, &outcomes, &fault_times)?,
        plot("calls to the list service", 0.0, &list, &fault_times)?,
        plot("connections opened", 0.0, &opened, &fault_times)?,
        plot("connections opened at one node", 0.0, &max, &fault_times)?,
    ];
    let mut page = String::new();
    let name = escape_html(name);
    let head = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">";
    let style =
        "<style>body{font:14px sans-serif;max-width:980px;margin:2em auto}pre{overflow-x:auto}</style>";
    let title = format!("{name}, seed {}", outcome.seed);
    let verdict = if outcome.clean() { "no rule broken" } else { "rules broken or a proxy crashed" };
    // Writing to a `String` does not fail.
    let _ = write!(page, "{head}<title>{title}</title>{style}</head><body><h1>{title}</h1>");
    let _ = write!(page, "<p>{verdict}. Red lines: faults injected or cleared.</p>{}", plots.concat());
    let _ = write!(page, "<pre>{}</pre></body></html>", escape_html(&table(outcome)));
    Ok(page)
}
