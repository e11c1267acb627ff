//! Whether a list of nodes that was kept on disk may be used at a start.

use std::fmt;
use std::time::Duration;

/// Clocks of machines that are well differ by less than this.
const SKEW_MOST: Duration = Duration::from_secs(60);

/// What stands beside a kept list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Label {
    /// The site that it is of.
    pub site: String,
    /// Its version.
    pub version: u64,
    /// When it was last known to be right, in milliseconds of Unix time.
    pub at_ms: u64,
}

/// Why a kept list is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// It is of another site.
    Site {
        /// That site.
        kept: String,
        /// This one.
        own: String,
    },
    /// It is too old.
    Old(Duration),
    /// It was kept at a time that has not come.
    Ahead(Duration),
    /// The platform tells a newer one at the start.
    Behind {
        /// Its version.
        kept: u64,
        /// The platform's.
        known: u64,
    },
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Site { kept, own } => write!(f, "it is of another site ({kept}; this is {own})"),
            Unfit::Old(age) => write!(f, "it is {} s old", age.as_secs()),
            Unfit::Ahead(by) => write!(f, "it was kept {} s ahead of this machine's clock", by.as_secs()),
            Unfit::Behind { kept, known } => {
                write!(f, "its version {kept} is behind the platform's {known}")
            }
        }
    }
}

/// The age of a list that may be used, by a site's name, the version that the platform tells, the time, and the age up
/// to which a list counts.
///
/// Only a wall clock spans two processes, and it may have been stepped in between. Forward, the list seems older than it is:
/// it is used for less long, or not at all. Back by more than `SKEW_MOST` past its own time, it lies ahead and is not used.
/// Back by less than it is old, it seems that much younger, which nothing here can tell: it is used for at most that
/// step longer than it should be, and in any case only until the service answers for its version.
///
/// # Errors
/// Why it may not be used.
pub fn judge(
    label: &Label,
    own: &str,
    known: Option<u64>,
    now_ms: u64,
    fresh_for: Duration,
) -> Result<Duration, Unfit> {
    if label.site != own {
        return Err(Unfit::Site { kept: label.site.clone(), own: own.to_owned() });
    }
    let ahead = Duration::from_millis(label.at_ms.saturating_sub(now_ms));
    if ahead > SKEW_MOST {
        return Err(Unfit::Ahead(ahead));
    }
    let age = Duration::from_millis(now_ms.saturating_sub(label.at_ms));
    if age > fresh_for {
        return Err(Unfit::Old(age));
    }
    match known.filter(|known| *known > label.version) {
        Some(known) => Err(Unfit::Behind { kept: label.version, known }),
        None => Ok(age),
    }
}

#[cfg(test)]
mod tests;
