//! Rows of the page and the terms that they are computed from: slopes, runs, the target's figures and numbers. No I/O.

use super::{format_percent, format_short, Inputs, RowError};
use serde::Deserialize;

/// A number, or the name of a figure of the target; a leading `/` divides by the figure.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Factor {
    /// A number.
    Number(f64),
    /// The name of a figure of the target, with an optional leading `/`.
    Name(String),
}

/// One summand of a row's value.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The name of a slope.
    pub slope: Option<String>,
    /// Evaluates the slope at the product of these factors.
    pub at: Option<Vec<Factor>>,
    /// Multiplies the slope's gradient by the product of these factors, without its value at 0.
    pub each: Option<Vec<Factor>>,
    /// The name of a run.
    pub run: Option<String>,
    /// The name of the run's figure.
    pub figure: Option<String>,
    /// The source of a value that was not measured.
    pub paper: Option<String>,
    /// The product of these factors multiplies the term.
    #[serde(default)]
    pub times: Vec<Factor>,
}

/// A row of a table of the page.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The name of the table.
    pub table: String,
    /// The description of the figure.
    pub figure: String,
    /// The unit of the value.
    pub unit: String,
    /// Converts the sum of the terms to the row's unit.
    #[serde(default = "one")]
    pub scale: f64,
    /// The factors of the limit, in the row's unit.
    pub limit: Option<Vec<Factor>>,
    /// The module of the mechanism that carries the load.
    pub by: String,
    /// The summands of the value.
    pub terms: Vec<Term>,
}

fn one() -> f64 {
    1.0
}

/// How a figure was obtained. The order is that of decreasing certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Measured at exactly this size.
    Measured,
    /// Computed from measurements at other sizes.
    Predicted,
    /// Computed from at least one value that was not measured.
    Paper,
}

/// A row's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowValue {
    /// The value, in the row's unit.
    pub value: f64,
    /// The standard error, in the row's unit; 0 if it is unknown: for measured values, for paper, and for sums with
    /// either.
    pub se: f64,
    /// How the value was obtained.
    pub kind: Kind,
}

fn factor(factor: &Factor, inputs: &Inputs) -> Result<f64, RowError> {
    let target_figure = |name: &str| {
        inputs.target.get(name).copied().ok_or_else(|| RowError::NoTargetFigure(name.to_owned()))
    };
    match factor {
        Factor::Number(number) => Ok(*number),
        Factor::Name(name) => match name.strip_prefix('/') {
            Some(name) => Ok(1.0 / target_figure(name)?),
            None => target_figure(name),
        },
    }
}

fn product(factors: &[Factor], inputs: &Inputs) -> Result<f64, RowError> {
    factors.iter().try_fold(1.0, |all, one| Ok(all * factor(one, inputs)?))
}

impl Term {
    fn evaluate(&self, inputs: &Inputs) -> Result<RowValue, RowError> {
        let times = product(&self.times, inputs)?;
        // A measured value that is multiplied becomes a prediction.
        let measured_kind = if self.times.is_empty() { Kind::Measured } else { Kind::Predicted };
        let base = match self {
            Term { slope: Some(name), at, each, run: None, figure: None, paper: None, .. } => {
                let slope = inputs.slopes.iter().find(|s| s.name == *name);
                let slope = slope.ok_or_else(|| RowError::NoSlope(name.clone()))?;
                match (at, each) {
                    (Some(at), None) => {
                        let x = product(at, inputs)?;
                        match slope.measured(x) {
                            Some(value) => RowValue { value, se: 0.0, kind: measured_kind },
                            None => {
                                let prediction = slope.predict(x);
                                RowValue { value: prediction.value, se: prediction.se, kind: Kind::Predicted }
                            }
                        }
                    }
                    (None, Some(each)) => {
                        let x = product(each, inputs)?;
                        let (value, se) = (slope.fit.slope * x, slope.fit.slope_se * x);
                        RowValue { value, se, kind: Kind::Predicted }
                    }
                    _ => return Err(RowError::AtOrEach(name.clone())),
                }
            }
            Term {
                slope: None,
                at: None,
                each: None,
                run: Some(run),
                figure: Some(figure),
                paper: None,
                ..
            } => {
                let matching_run = inputs.runs.iter().find(|r| r.name == *run);
                let matching_run = matching_run.ok_or_else(|| RowError::NoRun(run.clone()))?;
                let run_figure = matching_run.figures.iter().find(|f| f.name == *figure);
                let run_figure = run_figure
                    .ok_or_else(|| RowError::NoRunFigure { run: run.clone(), figure: figure.clone() })?;
                RowValue { value: run_figure.value, se: 0.0, kind: measured_kind }
            }
            Term { slope: None, at: None, each: None, run: None, figure: None, paper: Some(_), .. } => {
                RowValue { value: 1.0, se: 0.0, kind: Kind::Paper }
            }
            _ => return Err(RowError::MixedTerm),
        };
        Ok(RowValue { value: base.value * times, se: base.se * times.abs(), kind: base.kind })
    }

    fn source(&self) -> String {
        match (&self.slope, &self.run, &self.paper) {
            (Some(slope), ..) => format!("`{slope}`"),
            (_, Some(run), _) => format!("run {run}"),
            (.., paper) => paper.clone().unwrap_or_default(),
        }
    }
}

impl Row {
    /// Computes the row's value.
    ///
    /// # Errors
    /// If the row has no terms, a term is invalid, or a name refers to a missing slope, run or figure.
    pub fn evaluate(&self, inputs: &Inputs) -> Result<RowValue, RowError> {
        if self.terms.is_empty() {
            return Err(RowError::NoTerms);
        }
        self.limit.as_ref().map(|limit| product(limit, inputs)).transpose()?;
        let (mut value, mut variance, mut kind, mut terms_with_error) = (0.0, 0.0, Kind::Measured, 0);
        for term in &self.terms {
            let one = term.evaluate(inputs)?;
            value += one.value;
            variance += one.se * one.se;
            terms_with_error += usize::from(one.se > 0.0);
            kind = kind.max(one.kind);
        }
        if self.terms.len() > 1 {
            // A sum of several measured values is a prediction.
            kind = kind.max(Kind::Predicted);
        }
        // The standard error of a sum is unknown if that of any term is unknown.
        let se = if terms_with_error == self.terms.len() { variance.sqrt() * self.scale } else { 0.0 };
        Ok(RowValue { value: value * self.scale, se, kind })
    }

    /// Renders the row as a line of its Markdown table.
    pub(super) fn line(&self, row_value: &RowValue, inputs: &Inputs) -> String {
        let RowValue { value, se, kind } = row_value;
        let error = if *se > 0.0 { format!(" ± {}", format_short(*se)) } else { String::new() };
        let limit = self.limit.as_ref().and_then(|limit| product(limit, inputs).ok());
        let limit_text = limit.map_or("-".into(), |limit| format!("{} {}", format_short(limit), self.unit));
        let part = limit.map_or("-".into(), |limit| format_percent(*value, limit));
        let kind = format!("{kind:?}").to_lowercase();
        let mut from: Vec<String> = self.terms.iter().map(Term::source).collect();
        from.dedup();
        format!(
            "| {} | {}{error} {} | {limit_text} | {part} | {kind} | {} | {} |\n",
            self.figure,
            format_short(*value),
            self.unit,
            from.join(" + "),
            self.by
        )
    }
}
