//! The configuration that the engine works by. It may be exchanged as a unit while the engine runs.

use crate::limits::LimitsConfig;
use aniseyoke_decision::api::Settings;
use aniseyoke_routes::Routing;

/// The configuration that the engine works by.
#[derive(Clone, Debug, Default)]
pub struct EngineConfig {
    /// The platform's settings, with the operator's overrides applied.
    pub settings: Settings,
    /// Concurrency limits and queues; `None`: whatever the decision module sends is started at once.
    pub limits: Option<LimitsConfig>,
    /// Which requests go to which pool, and the operator's overlay on the endpoint list.
    pub routing: Routing,
}
