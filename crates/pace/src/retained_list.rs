//! Whether an endpoint list that was stored on disk may be used at a start.

use std::time::Duration;
use thiserror::Error;

/// Clocks of healthy machines differ by less than this.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// What is stored beside an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListMetadata {
    /// The site that the list belongs to.
    pub site: String,
    /// The version of the list.
    pub version: u64,
    /// When the list was last confirmed to be current, in milliseconds of Unix time.
    pub confirmed_unix_ms: u64,
}

/// Why a stored list is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnusableList {
    /// It belongs to another site.
    #[error("it is of another site ({stored}; this is {own})")]
    OtherSite {
        /// The site that it belongs to.
        stored: String,
        /// The site of this proxy.
        own: String,
    },
    /// It is older than the operator allows.
    #[error("it is {} s old", .0.as_secs())]
    TooOld(Duration),
    /// It was stored at a time that has not come yet.
    #[error("it was kept {} s ahead of this machine's clock", .0.as_secs())]
    FromTheFuture(Duration),
    /// The platform's configuration has a newer one.
    #[error("its version {stored} is behind the platform's {known}")]
    Outdated {
        /// The version that was stored.
        stored: u64,
        /// The version of the platform.
        known: u64,
    },
}

/// The age of a stored list, if it may be used: it belongs to site `own_site`, is not behind the version `known` that the
/// platform tells, and was confirmed no longer than `max_age` before `now_unix_ms`.
///
/// # Errors
/// Why it may not be used.
pub fn check_age(
    list: &ListMetadata,
    own_site: &str,
    known: Option<u64>,
    now_unix_ms: u64,
    max_age: Duration,
) -> Result<Duration, UnusableList> {
    if list.site != own_site {
        return Err(UnusableList::OtherSite { stored: list.site.clone(), own: own_site.to_owned() });
    }
    let ahead = Duration::from_millis(list.confirmed_unix_ms.saturating_sub(now_unix_ms));
    if ahead > MAX_CLOCK_SKEW {
        return Err(UnusableList::FromTheFuture(ahead));
    }
    let age = Duration::from_millis(now_unix_ms.saturating_sub(list.confirmed_unix_ms));
    if age > max_age {
        return Err(UnusableList::TooOld(age));
    }
    match known.filter(|known| *known > list.version) {
        Some(known) => Err(UnusableList::Outdated { stored: list.version, known }),
        None => Ok(age),
    }
}

#[cfg(test)]
mod tests;
