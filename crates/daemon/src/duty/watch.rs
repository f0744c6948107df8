//! The watch duty: records timeline events for changes in the views that other duties publish.

#[cfg(test)]
mod tests;

use crate::duty::Duty;
use crate::ring::Latest;
use crate::telemetry::Telemetry;
use crate::view::{self, LedgerView, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_core::zone::membership::{Role, State};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval at which the age of the configuration is checked.
const TICK: Duration = Duration::from_millis(250);

/// The watch duty.
pub struct Watch {
    /// The configuration counts as lapsed when it was last known to be current longer ago than
    /// this.
    pub term: Millis,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Records the events.
    pub telemetry: Telemetry,
}

impl Duty for Watch {
    fn name(&self) -> &'static str {
        "watch"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let Self { term, mut members, mut ledger_view, telemetry } = *self;
            let mut last = LastSeen::default();
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Ok(()) = members.changed() => {}
                    Ok(()) = ledger_view.changed() => {}
                    _ = tick.tick() => {}
                }
                let mut changes =
                    last.ledger_view(&ledger_view.borrow_and_update(), term, view::now());
                changes.extend(last.members(&members.borrow_and_update()));
                for what in changes {
                    telemetry.note(what);
                }
            }
        })
    }
}

/// The state that the recorded events describe.
#[derive(Debug, Default)]
struct LastSeen {
    /// Whether the state of the configuration was recorded at all.
    has_recorded: bool,
    /// The version in force; `None` when it is not known to be current.
    version: Option<Version>,
    is_log_unavailable: bool,
    /// Reachable peers, sorted.
    reachable: Vec<Name>,
    /// Workers and runners that are leaving, sorted.
    leaving: Vec<Name>,
}

impl LastSeen {
    /// Returns the changes of the configuration and of the availability of the log.
    fn ledger_view(&mut self, ledger_view: &LedgerView, term: Millis, now: Millis) -> Vec<What> {
        let mut changes = Vec::new();
        let version = ledger_view.history.configuration().version;
        let is_current = now.since(ledger_view.history_as_of) <= term;
        let in_force = is_current.then_some(version);
        if in_force != self.version || !self.has_recorded {
            changes.push(match in_force {
                Some(version) => What::ConfigurationInForce { version },
                None => What::ConfigurationLapsed { version },
            });
            (self.version, self.has_recorded) = (in_force, true);
        }
        if ledger_view.log_unavailable != self.is_log_unavailable {
            self.is_log_unavailable = ledger_view.log_unavailable;
            changes.push(if ledger_view.log_unavailable {
                What::LogLost
            } else {
                What::LogRegained
            });
        }
        changes
    }

    /// Returns the changes of reachable peers and leaving machines.
    fn members(&mut self, members: &Members) -> Vec<What> {
        let own = &members.own.name;
        let peers = members.candidates.iter().map(|i| &i.name).filter(|name| *name != own);
        let mut reachable: Vec<Name> = peers.cloned().collect();
        reachable.sort();
        let lost = difference(&self.reachable, &reachable).map(|peer| What::PeerLost { peer });
        let found = difference(&reachable, &self.reachable).map(|peer| What::PeerHeard { peer });
        let mut changes: Vec<What> = lost.chain(found).collect();
        self.reachable = reachable;
        let machines =
            members.listed.iter().filter(|i| i.role != Role::Entry && i.state == State::Leaving);
        let mut leaving: Vec<Name> = machines.map(|i| i.name.clone()).collect();
        leaving.sort();
        changes.extend(
            difference(&leaving, &self.leaving).map(|instance| What::LeavingSeen { instance }),
        );
        self.leaving = leaving;
        changes
    }
}

/// Returns the names that are in `some` and not in the sorted list `others`.
fn difference<'a>(some: &'a [Name], others: &'a [Name]) -> impl Iterator<Item = Name> + 'a {
    some.iter().filter(|name| others.binary_search(name).is_err()).cloned()
}
