//! The teams of the configuration in force, which the owner has to know before it starts their work.

use super::{State, Tenure};
use crate::shard::freshness::MAX_CONFIGURATION_AGE;
use pimentovalve_core::clock::Millis;

impl State {
    /// Passes the teams of a new configuration to the owner. Returns whether tasks may be started by
    /// it: where there are teams, a quota may have been lowered since an old configuration was read.
    pub(super) fn update_teams(&mut self, now: Millis) -> bool {
        let configuration = self.duty.configuration.borrow().clone();
        let Some(catalog) = configuration.catalog else { return true };
        if let Some(Tenure { owner, teams_version, epoch, .. }) = &mut self.tenure
            && *teams_version < catalog.version
        {
            *teams_version = catalog.version;
            let (version, teams) = (catalog.version, catalog.roster.teams().len());
            owner.update_teams(&catalog.roster);
            tracing::info!(version, teams, epoch, "teams of a configuration in force");
        }
        catalog.roster.is_empty() || now.since(configuration.covered_until) <= MAX_CONFIGURATION_AGE
    }
}
