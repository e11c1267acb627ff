//! The platform's configuration of a proxy: the `PROXY_*` variables and the JSON file that they name.

mod endpoints;
mod error;
mod parse;

pub use endpoints::{Endpoint, EndpointList};
pub use error::{ParseError, PlatformError};

use aniseyoke_decision::api::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// The variable that names the file.
const FILE: &str = "PROXY_CONFIG";
/// The variables that stand in place of the file's addresses.
const LISTEN: &str = "PROXY_LISTEN";
const DISCOVERY: &str = "PROXY_DISCOVERY";
const MGMT: &str = "PROXY_MGMT";

/// The configuration of one proxy.
#[derive(Clone)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The admin endpoint; none: there is none.
    pub mgmt: Option<SocketAddr>,
    /// Seeds the decision module's random choices.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold, in bytes.
    pub memory: usize,
    /// How long a connection to a cache node may take to come up.
    pub connect_timeout: Duration,
    /// The decision module's settings.
    pub settings: Settings,
    /// The platform pushes its lists: what its agent has counts as notified, whether or not it was polled.
    pub lists_pushed: bool,
    /// The names of what the decision module knows by number.
    pub names: Names,
    /// The endpoint list that the platform knows at the start.
    pub initial_list: Option<EndpointList>,
}

/// The names that stand on the sockets for what the decision module knows by number.
#[derive(Clone, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones of cache nodes.
    pub zones: Vec<String>,
    /// Kinds of cache nodes.
    pub kinds: Vec<String>,
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    /// What can't be read or used, with its variable or field.
    pub fn from_env() -> Result<Self, PlatformError> {
        Self::read(|name| std::env::var(name).ok())
    }

    /// Reads the file again; what it says of discovery now counts for more than the environment.
    ///
    /// # Errors
    /// What can't be read or used, with its variable or field.
    pub fn reload() -> Result<Self, PlatformError> {
        Self::read(|name| std::env::var(name).ok().filter(|_| name != DISCOVERY))
    }

    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, PlatformError> {
        let path = std::env::var(FILE).map_err(|_| PlatformError::NotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(PlatformError::Unreadable { path, source }),
        };
        Self::parse(&text, variable).map_err(|source| PlatformError::Invalid { path, source })
    }
}
