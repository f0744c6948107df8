//! The choice of events by job, request or worker.

use super::{Error, name};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Line, What};

/// Which events to show: those that are about any of the named things, or all.
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
            job: job.map(|raw| name("--job", raw)).transpose()?,
            request: request.map(|raw| name("--request", raw)).transpose()?,
            worker: worker.map(|raw| name("--worker", raw)).transpose()?,
        })
    }

    pub(super) fn apply<'a>(&self, mut lines: Vec<Line<'a>>) -> Vec<Line<'a>> {
        if self.job.is_some() || self.request.is_some() || self.worker.is_some() {
            lines.retain(|line| self.takes(&line.event.what));
        }
        lines
    }

    fn takes(&self, what: &What) -> bool {
        let same =
            |wanted: &Option<Name>, is: Option<&Name>| wanted.is_some() && wanted.as_ref() == is;
        same(&self.job, what.job())
            || same(&self.request, what.request())
            || same(&self.worker, what.worker())
    }
}
