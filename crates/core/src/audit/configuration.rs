//! An accepted configuration is in force everywhere within seconds and never reverts.

use super::replay::Patched;
use super::{Case, Check, Promise, Sheet, Subject};
use crate::clock::Millis;
use crate::contract::configuration::Version;
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Longest time from the acceptance of a version until it is in force everywhere.
const IN_FORCE: Millis = Millis::from_secs(4);

/// Checks the versions in the ledger and those in force in each process.
pub(super) struct Configuration;

/// What one process says of its configuration, in its sequence.
struct Timeline<'a> {
    process: &'a Name,
    /// Whether it is a daemon; workers and runners take no configuration.
    is_daemon: bool,
    first: Millis,
    last: Millis,
    events: Vec<&'a Event>,
}

/// What a process last said of its configuration.
enum State {
    InForce(Version),
    /// The log can't be reached; the last version that was in force.
    CutOff(Version),
    Lapsed,
    Silent,
}

impl State {
    const fn cut_off(self) -> Self {
        match self {
            Self::InForce(version) => Self::CutOff(version),
            other => other,
        }
    }

    const fn regained(self) -> Self {
        match self {
            Self::CutOff(version) => Self::InForce(version),
            other => other,
        }
    }
}

impl<'a> Timeline<'a> {
    fn take(&mut self, event: &'a Event) {
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

    /// Returns what the process said last before an instant.
    fn state_at(&self, at: Millis) -> State {
        let told = self.events.iter().take_while(|event| event.at <= at);
        told.fold(State::Silent, |state, event| match event.what {
            What::ConfigurationInForce { version } => State::InForce(version),
            What::ConfigurationLapsed { .. } => State::Lapsed,
            What::LogLost => state.cut_off(),
            What::LogRegained => state.regained(),
            _ => state,
        })
    }
}

impl Check for Configuration {
    fn promise(&self) -> Promise {
        Promise::Configuration
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| stream == Stream::Configuration, sheet);
        case.need_timeline(sheet);
        for patched in &case.replay.patches {
            sheet.look(vec![Subject::Version(patched.version)]);
        }
        for timeline in timelines(case) {
            check_direction(&timeline, case, sheet);
            for patched in &case.replay.patches {
                check_in_force(patched, &timeline, case, sheet);
            }
        }
    }
}

fn timelines<'a>(case: &Case<'a>) -> Vec<Timeline<'a>> {
    let mut found: Vec<Timeline<'a>> = Vec::new();
    for line in &case.lines {
        let (process, at) = (&line.event.process, line.event.at);
        let i = match found.binary_search_by(|t| t.process.cmp(process)) {
            Ok(i) => i,
            Err(i) => {
                let (first, last, events) = (at, at, Vec::new());
                found.insert(i, Timeline { process, is_daemon: false, first, last, events });
                i
            }
        };
        found[i].take(line.event);
    }
    found.retain(|timeline| timeline.is_daemon);
    found
}

/// Checks that the versions in force of a process only rise, and that each is in the ledger.
fn check_direction(timeline: &Timeline<'_>, case: &Case<'_>, sheet: &mut Sheet) {
    let process = timeline.process;
    let latest = case.replay.patches.last().map_or(0, |patched| patched.version);
    let mut before: Option<(Version, &Event)> = None;
    for event in &timeline.events {
        let What::ConfigurationInForce { version } = event.what else { continue };
        if let Some((last, earlier)) = before.filter(|(last, _)| version < *last) {
            let message = format!("{process} went back from version {last} to {version}");
            let about = vec![Subject::Version(last), Subject::Version(version)];
            sheet.broken(message, about).event(earlier).event(event);
        }
        if version > latest {
            let message = format!("{process} has version {version}, which is not in the ledger");
            sheet.broken(message, vec![Subject::Version(version)]).event(event);
        }
        before = Some((version, event));
    }
}

/// Checks that a version was in force in a process in time, if the process lived then.
fn check_in_force(
    patched: &Patched<'_>,
    timeline: &Timeline<'_>,
    case: &Case<'_>,
    sheet: &mut Sheet,
) {
    let skew = case.bounds.skew_ms;
    let due = patched.row.record.at + IN_FORCE + skew;
    let lived = timeline.first + IN_FORCE <= due && timeline.last > due;
    if !lived {
        return;
    }
    let last = timeline.state_at(due);
    let about = vec![Subject::Version(patched.version)];
    let (process, version) = (timeline.process, patched.version);
    let (stream, offset) = (patched.row.stream, patched.row.offset);
    match last {
        State::InForce(current) | State::CutOff(current) if current >= version => {}
        // A process that knows that it is behind takes no new work.
        State::Lapsed => {}
        State::InForce(current) => {
            let message = format!("{process} still had version {current} when {version} was due");
            sheet.broken(message, about).record(stream, offset);
        }
        State::CutOff(current) => {
            let message = format!(
                "{process} had version {current} when {version} was due: the log was out of reach"
            );
            sheet.unprovable(message, about).record(stream, offset);
        }
        State::Silent => {
            let message = format!("{process} doesn't tell when version {version} was in force");
            sheet.unprovable(message, about).record(stream, offset);
        }
    }
}
