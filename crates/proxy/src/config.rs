//! The platform's configuration of a proxy: the `PROXY_*` environment variables and the JSON file that they
//! name.

mod endpoints;
mod error;
mod parse;

pub use endpoints::{Endpoint, EndpointList};
pub use error::{ParseError, PlatformError};

use aniseyoke_decision::api::Settings;
use std::net::SocketAddr;
use std::time::Duration;

/// Environment variable with the path of the file.
const FILE_VARIABLE: &str = "PROXY_CONFIG";
/// Environment variables that override the file's addresses.
const LISTEN: &str = "PROXY_LISTEN";
const DISCOVERY: &str = "PROXY_DISCOVERY";
const MGMT: &str = "PROXY_MGMT";

/// The configuration of one proxy.
#[derive(Clone)]
pub struct Config {
    /// Address of the listener for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the admin endpoint, if there is one.
    pub mgmt: Option<SocketAddr>,
    /// Seed of the decision module's random choices.
    pub seed: u64,
    /// Most file descriptors that the process may use.
    pub sockets: usize,
    /// Most memory that the process may use, in bytes.
    pub memory: usize,
    /// Timeout for connecting to a cache node.
    pub connect_timeout: Duration,
    /// The decision module's settings.
    pub settings: Settings,
    /// Whether the platform pushes its lists: changes count as notified, whether or not they have been
    /// polled.
    pub lists_pushed: bool,
    /// Names of classes, tenants, zones and kinds, which the decision module knows by number.
    pub names: Names,
    /// Endpoint list that is known at the start, if any.
    pub initial_list: Option<EndpointList>,
}

/// Names of classes, tenants, zones and kinds; the decision module uses their indices.
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
    /// Reads the environment variables and the file that they name.
    ///
    /// # Errors
    /// If a variable, the file or a field can't be read or is invalid; the error names it.
    pub fn from_env() -> Result<Self, PlatformError> {
        Self::read(|name| std::env::var(name).ok())
    }

    /// Reads the file again. Its address of the discovery service now takes precedence over the
    /// environment's.
    ///
    /// # Errors
    /// If a variable, the file or a field can't be read or is invalid; the error names it.
    pub fn reload() -> Result<Self, PlatformError> {
        Self::read(|name| std::env::var(name).ok().filter(|_| name != DISCOVERY))
    }

    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, PlatformError> {
        let path = std::env::var(FILE_VARIABLE).map_err(|_| PlatformError::NotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(PlatformError::Unreadable { path, source }),
        };
        Self::parse(&text, variable).map_err(|source| PlatformError::Invalid { path, source })
    }
}
