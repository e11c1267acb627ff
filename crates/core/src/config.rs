//! The engine's configuration, which can be replaced as a whole while the engine runs.

use crate::limits::LimitsConfig;
use aniseyoke_decision::api::Settings;
use aniseyoke_routes::Routing;

/// The engine's configuration.
#[derive(Clone, Debug, Default)]
pub struct EngineConfig {
    /// The platform's settings with the operator's overrides applied.
    pub settings: Settings,
    /// Concurrency limits and queues. If `None`, each attempt of the decision module starts immediately.
    pub limits: Option<LimitsConfig>,
    /// The assignment of requests to pools, and the operator's overlay on the endpoint list.
    pub routing: Routing,
}
