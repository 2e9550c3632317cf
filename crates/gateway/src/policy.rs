//! Behaviour that a deployment's settings switch on.

use model::prelude::*;

/// What the settings of a deployment ask for beyond the basic service. The default is the basic service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policy {
    /// Time from the confirmation of an evacuation until no request may reach the data centre's databases;
    /// `None` if the deployment has no evacuations.
    pub evacuation_bound: Option<DurationUs>,
    /// Requests that a cold database may get in a second beyond its rate, from all VMs together.
    pub cold_slack: f64,
    /// Whether callers compete for too little capacity, so that a workspace's rate goes to its most urgent
    /// operations first.
    pub rates_by_priority: bool,
    /// Whether reads that a data centre's own databases are too few for are spread over farther ones by their load.
    pub spread_reads: bool,
}
