//! All that the core works by and that may be exchanged as a whole while it runs.

use crate::limits::Rules;
use aniseyoke_decision::api::Settings;
use aniseyoke_routes::Routing;

/// What the core works by.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The platform's settings with the operators' word laid over them.
    pub settings: Settings,
    /// What may be out at nodes; none: whatever the module sends goes out at once.
    pub limits: Option<Rules>,
    /// Which requests go where, and what is said of nodes.
    pub routing: Routing,
}
