//! Filter of events by job, request or worker.

use super::{Error, parse_name};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Line, What};

/// Selects the events that match any of the criteria given, or all events if none is given.
#[derive(Debug, Default)]
pub(super) struct Filter {
    job: Option<Name>,
    request: Option<Name>,
    worker: Option<Name>,
}

impl Filter {
    pub(super) fn new(
        job: Option<&str>,
        request: Option<&str>,
        worker: Option<&str>,
    ) -> Result<Self, Error> {
        Ok(Self {
            job: job.map(|raw| parse_name("--job", raw)).transpose()?,
            request: request.map(|raw| parse_name("--request", raw)).transpose()?,
            worker: worker.map(|raw| parse_name("--worker", raw)).transpose()?,
        })
    }

    pub(super) fn apply<'a>(&self, mut lines: Vec<Line<'a>>) -> Vec<Line<'a>> {
        if self.job.is_some() || self.request.is_some() || self.worker.is_some() {
            lines.retain(|line| self.matches(&line.event.what));
        }
        lines
    }

    fn matches(&self, what: &What) -> bool {
        let is_wanted = |wanted: &Option<Name>, actual: Option<&Name>| {
            wanted.is_some() && wanted.as_ref() == actual
        };
        is_wanted(&self.job, what.job())
            || is_wanted(&self.request, what.request())
            || is_wanted(&self.worker, what.worker())
    }
}
