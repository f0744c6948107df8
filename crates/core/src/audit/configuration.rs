//! Check: an accepted configuration is in force everywhere within seconds and never reverts.

use super::replay::Patched;
use super::{Check, Findings, Input, Promise, Subject};
use crate::clock::Millis;
use crate::contract::configuration::Version;
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Maximum time from the acceptance of a version until it is in force everywhere.
const IN_FORCE_LIMIT: Millis = Millis::from_secs(4);

/// Checks the versions in the ledger and those in force in each process.
pub(super) struct Configuration;

/// The events of one process about its configuration, in sequence.
struct Timeline<'a> {
    process: &'a Name,
    /// Whether it is a daemon; workers and runners have no configuration.
    is_daemon: bool,
    first: Millis,
    last: Millis,
    events: Vec<&'a Event>,
}

/// The last state that a process reported of its configuration.
enum State {
    InForce(Version),
    /// The log is unavailable; the last version that was in force.
    LogUnavailable(Version),
    /// The process cannot prove that its configuration is current.
    Lapsed,
    /// Nothing was reported.
    Unreported,
}

impl State {
    const fn log_lost(self) -> Self {
        match self {
            Self::InForce(version) => Self::LogUnavailable(version),
            other => other,
        }
    }

    const fn log_regained(self) -> Self {
        match self {
            Self::LogUnavailable(version) => Self::InForce(version),
            other => other,
        }
    }
}

impl<'a> Timeline<'a> {
    fn add(&mut self, event: &'a Event) {
        self.last = self.last.max(event.at);
        match event.what {
            What::ProcessStarted => self.is_daemon = true,
            What::ConfigurationInForce { .. }
            | What::ConfigurationLapsed { .. }
            | What::LogLost
            | What::LogRegained => self.events.push(event),
            _ => {}
        }
    }

    /// Returns the state that the process had last reported at an instant.
    fn state_at(&self, at: Millis) -> State {
        let earlier = self.events.iter().take_while(|event| event.at <= at);
        earlier.fold(State::Unreported, |state, event| match event.what {
            What::ConfigurationInForce { version } => State::InForce(version),
            What::ConfigurationLapsed { .. } => State::Lapsed,
            What::LogLost => state.log_lost(),
            What::LogRegained => state.log_regained(),
            _ => state,
        })
    }
}

impl Check for Configuration {
    fn promise(&self) -> Promise {
        Promise::Configuration
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| stream == Stream::Configuration, findings);
        input.check_timeline_complete(findings);
        for patched in &input.replay.patches {
            findings.count_checked(vec![Subject::Version(patched.version)]);
        }
        for timeline in timelines(input) {
            check_direction(&timeline, input, findings);
            for patched in &input.replay.patches {
                check_in_force(patched, &timeline, input, findings);
            }
        }
    }
}

fn timelines<'a>(input: &Input<'a>) -> Vec<Timeline<'a>> {
    let mut found: Vec<Timeline<'a>> = Vec::new();
    for line in &input.lines {
        let (process, at) = (&line.event.process, line.event.at);
        let i = match found.binary_search_by(|t| t.process.cmp(process)) {
            Ok(i) => i,
            Err(i) => {
                let (first, last, events) = (at, at, Vec::new());
                found.insert(i, Timeline { process, is_daemon: false, first, last, events });
                i
            }
        };
        found[i].add(line.event);
    }
    found.retain(|timeline| timeline.is_daemon);
    found
}

/// Checks that the versions in force in a process only increase, and that each is in the ledger.
fn check_direction(timeline: &Timeline<'_>, input: &Input<'_>, findings: &mut Findings) {
    let process = timeline.process;
    let latest = input.replay.patches.last().map_or(0, |patched| patched.version);
    let mut previous: Option<(Version, &Event)> = None;
    for event in &timeline.events {
        let What::ConfigurationInForce { version } = event.what else { continue };
        if let Some((last, earlier)) = previous.filter(|(last, _)| version < *last) {
            let message = format!("{process} reverted from version {last} to {version}");
            let about = vec![Subject::Version(last), Subject::Version(version)];
            findings.broken(message, about).event(earlier).event(event);
        }
        if version > latest {
            let message = format!("{process} has version {version}, which is not in the ledger");
            findings.broken(message, vec![Subject::Version(version)]).event(event);
        }
        previous = Some((version, event));
    }
}

/// Checks that a version was in force in a process in time, if the process was running then.
fn check_in_force(
    patched: &Patched<'_>,
    timeline: &Timeline<'_>,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let skew = input.bounds.skew_ms;
    let due = patched.row.record.at + IN_FORCE_LIMIT + skew;
    let was_running = timeline.first + IN_FORCE_LIMIT <= due && timeline.last > due;
    if !was_running {
        return;
    }
    let last = timeline.state_at(due);
    let about = vec![Subject::Version(patched.version)];
    let (process, version) = (timeline.process, patched.version);
    let (stream, offset) = (patched.row.stream, patched.row.offset);
    match last {
        State::InForce(current) | State::LogUnavailable(current) if current >= version => {}
        // A process without proof that its configuration is current accepts no new work.
        State::Lapsed => {}
        State::InForce(current) => {
            let message = format!("{process} still had version {current} when {version} was due");
            findings.broken(message, about).record(stream, offset);
        }
        State::LogUnavailable(current) => {
            let message = format!(
                "{process} had version {current} when {version} was due: the log was unavailable"
            );
            findings.unprovable(message, about).record(stream, offset);
        }
        State::Unreported => {
            let message =
                format!("{process} reported no configuration before version {version} was due");
            findings.unprovable(message, about).record(stream, offset);
        }
    }
}
