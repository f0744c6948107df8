//! The watch duty: notes in the time line what changes in the views that duties publish.

#[cfg(test)]
mod tests;

use crate::duty::Duty;
use crate::ring::Latest;
use crate::telemetry::Telemetry;
use crate::view::{self, Facts, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_core::zone::membership::{Role, State};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between two looks at whether the configuration is still current.
const TICK: Duration = Duration::from_millis(250);

/// The watch duty.
pub struct Watch {
    /// Longest age of the proof that the configuration is current.
    pub term: Millis,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// The time line.
    pub telemetry: Telemetry,
}

impl Duty for Watch {
    fn name(&self) -> &'static str {
        "watch"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let Self { term, mut members, mut facts, telemetry } = *self;
            let mut seen = Seen::default();
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Ok(()) = members.changed() => {}
                    Ok(()) = facts.changed() => {}
                    _ = tick.tick() => {}
                }
                let mut changes = seen.facts(&facts.borrow_and_update(), term, view::now());
                changes.extend(seen.members(&members.borrow_and_update()));
                for what in changes {
                    telemetry.note(what);
                }
            }
        })
    }
}

/// What was noted last.
#[derive(Debug, Default)]
struct Seen {
    /// Whether anything was noted of the configuration.
    has_told: bool,
    /// The version in force; `None` when it can't be shown to be current.
    version: Option<Version>,
    is_log_out: bool,
    /// Peers that are heard, sorted.
    heard: Vec<Name>,
    /// Workers and runners that are leaving, sorted.
    leaving: Vec<Name>,
}

impl Seen {
    /// Returns what changed in the streams that everybody reads.
    fn facts(&mut self, facts: &Facts, term: Millis, now: Millis) -> Vec<What> {
        let mut changes = Vec::new();
        let version = facts.history.configuration().version;
        let is_current = now.since(facts.history_as_of) <= term;
        let in_force = is_current.then_some(version);
        if in_force != self.version || !self.has_told {
            changes.push(match in_force {
                Some(version) => What::ConfigurationInForce { version },
                None => What::ConfigurationLapsed { version },
            });
            (self.version, self.has_told) = (in_force, true);
        }
        if facts.log_out != self.is_log_out {
            self.is_log_out = facts.log_out;
            changes.push(if facts.log_out { What::LogLost } else { What::LogRegained });
        }
        changes
    }

    /// Returns what changed among the instances.
    fn members(&mut self, members: &Members) -> Vec<What> {
        let own = &members.own.name;
        let peers = members.candidates.iter().map(|i| &i.name).filter(|name| *name != own);
        let mut heard: Vec<Name> = peers.cloned().collect();
        heard.sort();
        let lost = missing(&self.heard, &heard).map(|peer| What::PeerLost { peer });
        let found = missing(&heard, &self.heard).map(|peer| What::PeerHeard { peer });
        let mut changes: Vec<What> = lost.chain(found).collect();
        self.heard = heard;
        let gone =
            members.listed.iter().filter(|i| i.role != Role::Entry && i.state == State::Leaving);
        let mut leaving: Vec<Name> = gone.map(|i| i.name.clone()).collect();
        leaving.sort();
        changes.extend(
            missing(&leaving, &self.leaving).map(|instance| What::LeavingSeen { instance }),
        );
        self.leaving = leaving;
        changes
    }
}

/// Returns the names that one sorted list has and the other lacks.
fn missing<'a>(some: &'a [Name], others: &'a [Name]) -> impl Iterator<Item = Name> + 'a {
    some.iter().filter(|name| others.binary_search(name).is_err()).cloned()
}
