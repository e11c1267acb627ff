//! Decides whether an endpoint list that was stored on disk may be used at startup.

use std::time::Duration;
use thiserror::Error;

/// The largest difference between the clocks of healthy machines.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Metadata that is stored with an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListMetadata {
    /// The site that the list belongs to.
    pub site: String,
    /// The version of the list.
    pub version: u64,
    /// The Unix time in milliseconds at which the list was last confirmed to be current.
    pub confirmed_unix_ms: u64,
}

/// Why a stored list can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnusableList {
    /// It belongs to another site.
    #[error("it is of another site ({stored}; this is {own})")]
    OtherSite {
        /// The site that the list belongs to.
        stored: String,
        /// The site of this proxy.
        own: String,
    },
    /// It is older than the operator allows.
    #[error("it is {} s old", .0.as_secs())]
    TooOld(Duration),
    /// The time of its last confirmation is in the future.
    #[error("its last confirmation is {} s ahead of this machine's clock", .0.as_secs())]
    FromTheFuture(Duration),
    /// The platform's configuration announces a newer version.
    #[error("its version {stored} is older than the platform's {known}")]
    Outdated {
        /// The version of the stored list.
        stored: u64,
        /// The version in the platform's configuration.
        known: u64,
    },
}

/// Returns the age of a stored list if it may be used: it belongs to site `own_site`, is not older than the
/// version `known` in the platform's configuration, and was confirmed at most `max_age` before `now_unix_ms`.
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
