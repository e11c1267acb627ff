//! What a row of the page is worked out from: terms over slopes, runs, the target's figures and numbers. No I/O.

use super::{format_percent, format_short, Inputs, RowError};
use serde::Deserialize;

/// A number, or a figure of the target by its name; behind a `/` it divides.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Factor {
    /// A number.
    Number(f64),
    /// A figure of the target, or `/` and one.
    Name(String),
}

/// One part of a row's sum.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The slope that it follows from.
    pub slope: Option<String>,
    /// The slope's line at the product of these.
    pub at: Option<Vec<Factor>>,
    /// The slope's rise times the product of these, without what it is at 0.
    pub each: Option<Vec<Factor>>,
    /// The run that measured it.
    pub run: Option<String>,
    /// The run's figure.
    pub figure: Option<String>,
    /// No measurement: where it is from instead.
    pub paper: Option<String>,
    /// Multiplied by the product of these.
    #[serde(default)]
    pub times: Vec<Factor>,
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The table.
    pub table: String,
    /// What the figure is of.
    pub figure: String,
    /// Its unit.
    pub unit: String,
    /// The sum of the terms times this is in that unit.
    #[serde(default = "one")]
    pub scale: f64,
    /// The target's figure that limits it, in the row's unit.
    pub limit: Option<Vec<Factor>>,
    /// The mechanism that carries it, by module.
    pub by: String,
    /// What it is the sum of.
    pub terms: Vec<Term>,
}

fn one() -> f64 {
    1.0
}

/// How a figure is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Measured at just this size.
    Measured,
    /// Worked out from what was measured at other sizes.
    Predicted,
    /// Worked out from something that was not measured.
    Paper,
}

/// A row's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worked {
    /// In the row's unit.
    pub value: f64,
    /// Its standard error, in the row's unit; 0 where it is not known: of what was measured, of paper, and of sums with either.
    pub se: f64,
    /// How it is known.
    pub kind: Kind,
}

fn factor(factor: &Factor, inputs: &Inputs) -> Result<f64, RowError> {
    let named = |name: &str| {
        inputs.target.get(name).copied().ok_or_else(|| RowError::NoTargetFigure(name.to_owned()))
    };
    match factor {
        Factor::Number(number) => Ok(*number),
        Factor::Name(name) => match name.strip_prefix('/') {
            Some(name) => Ok(1.0 / named(name)?),
            None => named(name),
        },
    }
}

fn product(factors: &[Factor], inputs: &Inputs) -> Result<f64, RowError> {
    factors.iter().try_fold(1.0, |all, one| Ok(all * factor(one, inputs)?))
}

impl Term {
    fn work(&self, inputs: &Inputs) -> Result<Worked, RowError> {
        let times = product(&self.times, inputs)?;
        // What was measured and then multiplied was not measured as such.
        let kept = if self.times.is_empty() { Kind::Measured } else { Kind::Predicted };
        let found = match self {
            Term { slope: Some(name), at, each, run: None, figure: None, paper: None, .. } => {
                let slope = inputs.slopes.iter().find(|s| s.name == *name);
                let slope = slope.ok_or_else(|| RowError::NoSlope(name.clone()))?;
                match (at, each) {
                    (Some(at), None) => {
                        let x = product(at, inputs)?;
                        match slope.measured(x) {
                            Some(value) => Worked { value, se: 0.0, kind: kept },
                            None => {
                                let prediction = slope.predict(x);
                                Worked { value: prediction.value, se: prediction.se, kind: Kind::Predicted }
                            }
                        }
                    }
                    (None, Some(each)) => {
                        let x = product(each, inputs)?;
                        let (value, se) = (slope.fit.slope * x, slope.fit.slope_se * x);
                        Worked { value, se, kind: Kind::Predicted }
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
                let found_run = inputs.runs.iter().find(|r| r.name == *run);
                let found_run = found_run.ok_or_else(|| RowError::NoRun(run.clone()))?;
                let seen = found_run.figures.iter().find(|f| f.name == *figure);
                let seen =
                    seen.ok_or_else(|| RowError::NoRunFigure { run: run.clone(), figure: figure.clone() })?;
                Worked { value: seen.value, se: 0.0, kind: kept }
            }
            Term { slope: None, at: None, each: None, run: None, figure: None, paper: Some(_), .. } => {
                Worked { value: 1.0, se: 0.0, kind: Kind::Paper }
            }
            _ => return Err(RowError::MixedTerm),
        };
        Ok(Worked { value: found.value * times, se: found.se * times.abs(), kind: found.kind })
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
    /// Works its value out.
    ///
    /// # Errors
    /// Says what is named that is not there.
    pub fn work(&self, inputs: &Inputs) -> Result<Worked, RowError> {
        if self.terms.is_empty() {
            return Err(RowError::NoTerms);
        }
        self.limit.as_ref().map(|limit| product(limit, inputs)).transpose()?;
        let (mut value, mut variance, mut kind, mut errors) = (0.0, 0.0, Kind::Measured, 0);
        for term in &self.terms {
            let one = term.work(inputs)?;
            value += one.value;
            variance += one.se * one.se;
            errors += usize::from(one.se > 0.0);
            kind = kind.max(one.kind);
        }
        if self.terms.len() > 1 {
            // A sum was not measured as such.
            kind = kind.max(Kind::Predicted);
        }
        // The error of a sum is not known where that of a part is not.
        let se = if errors == self.terms.len() { variance.sqrt() * self.scale } else { 0.0 };
        Ok(Worked { value: value * self.scale, se, kind })
    }

    /// Its line in the table.
    pub(super) fn line(&self, worked: &Worked, inputs: &Inputs) -> String {
        let Worked { value, se, kind } = worked;
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
