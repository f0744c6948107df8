//! Waits of gangs: how long each had no turn, gathered room, or needed the advisor.

use crate::clock::Millis;
use crate::contract::work::StepId;

/// What a placement pass did for a waiting gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Nothing: there was no room for all members, and gangs of higher rank keep what it could gather.
    PassedOver,
    /// Nothing: as many gangs of higher rank gather room as may.
    Crowded,
    /// Some workers keep room for it.
    Gathering,
    /// Its workers have room, and the tickets for some of them have expired.
    Renewing,
    /// The advisor has to allow more workers.
    Exploring,
    /// It started.
    Started,
}

/// How a gang has waited since it could start, or since its last run ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wait {
    /// Time in which gangs of higher rank kept the room.
    pub passed_over: Millis,
    /// Time in which as many gangs of higher rank gathered room as may.
    pub crowded: Millis,
    /// Time in which the gang gathered room.
    pub gathering: Millis,
    /// Time in which its workers had room and it waited for tickets.
    pub renewing: Millis,
    /// Time in which it waited for the advisor to allow more workers.
    pub exploring: Millis,
    /// Time since it became late; zero for one that is in time.
    pub late: Millis,
    /// Number of earlier runs.
    pub runs: u32,
    /// What the last pass did, and its time.
    last: Option<(Turn, Millis)>,
}

/// A gang that has waited, reported when it becomes late and when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waited {
    /// The gang.
    pub step_id: StepId,
    /// Number of its members.
    pub tasks: usize,
    /// Whether it has started.
    pub has_started: bool,
    /// How it has waited.
    pub wait: Wait,
}

impl Wait {
    /// Returns the wait for the run that follows the one that starts now.
    pub(super) fn after_start(&self) -> Self {
        Self { runs: self.runs + 1, ..Self::default() }
    }

    /// Returns the time since the first turn, apart from that in which gangs of higher rank had the room.
    pub(super) fn since_first_turn(&self) -> Millis {
        self.gathering + self.renewing + self.exploring
    }

    /// Adds the time since the last pass to what that pass did for the gang.
    pub(super) fn add(&mut self, turn: Turn, now: Millis) {
        if let Some((last, at)) = self.last.replace((turn, now)) {
            let total = match last {
                Turn::PassedOver | Turn::Started => &mut self.passed_over,
                Turn::Crowded => &mut self.crowded,
                Turn::Gathering => &mut self.gathering,
                Turn::Renewing => &mut self.renewing,
                Turn::Exploring => &mut self.exploring,
            };
            *total = *total + now.since(at);
        }
    }
}
