//! `pimentovalve sizes`: counts from the daemons' logs how many jobs of each queue were completed in
//! time, by the size of the jobs.

#[cfg(test)]
mod tests;

use super::logs::{self, Line};
use super::{Error, Run};
use gumdrop::Options;
use pimentovalve_core::clock::Millis;
use std::fmt;
use std::io::Write;

/// Multiple of its objective after which a job's result has no value.
const WORTHLESS_OBJECTIVES: u64 = 3;

/// Shows how many jobs of each queue were completed in time, late and not at all: all of them, the
/// largest tenth by estimated processor time, and the fifth below it.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Log files of all daemons, one or more
    #[options(free)]
    files: Vec<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("sizes needs at least one file"));
        }
        for (queue, sizes) in queues(jobs(&logs::read(&self.files)?)) {
            let Sizes { all, largest_tenth, next_fifth } = sizes;
            writeln!(out, "{queue}: {all}")?;
            writeln!(out, "  largest tenth: {largest_tenth}")?;
            writeln!(out, "  fifth below it: {next_fifth}")?;
        }
        Ok(())
    }
}

/// An accepted job that its caller has not cancelled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Job<'a> {
    id: &'a str,
    queue: &'a str,
    submitted_at: Millis,
    tasks: u64,
    /// Estimated processor time, in core milliseconds.
    effort: u64,
    objective: Millis,
    /// Tasks that are done, sorted.
    done: Vec<&'a str>,
    /// When the last of its tasks was recorded as done.
    completed_at: Option<Millis>,
}

/// Outcomes of a set of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcomes {
    jobs: usize,
    in_time: usize,
    /// Completed before the result lost all value.
    late: usize,
}

/// Outcomes of a queue's jobs by size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sizes {
    all: Outcomes,
    largest_tenth: Outcomes,
    next_fifth: Outcomes,
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { jobs, in_time, late } = self;
        let percent = ((in_time + late) * 100).checked_div(*jobs).unwrap_or_default();
        write!(f, "{in_time} in time and {late} late of {jobs}, {percent} %")
    }
}

impl<'a> Job<'a> {
    fn of(line: &'a Line) -> Option<Self> {
        Some(Self {
            id: line.field("job")?,
            queue: line.field("queue")?,
            submitted_at: line.at,
            tasks: line.number("tasks")?,
            effort: line.number("core_ms")?,
            objective: Millis(line.number("objective_ms")?),
            done: Vec::new(),
            completed_at: None,
        })
    }

    fn task_done(&mut self, task: &'a str, at: Millis) {
        if let Err(i) = self.done.binary_search(&task) {
            self.done.insert(i, task);
            if u64::try_from(self.done.len()) == Ok(self.tasks) {
                self.completed_at = Some(at);
            }
        }
    }
}

impl<'a> FromIterator<&'a Job<'a>> for Outcomes {
    fn from_iter<I: IntoIterator<Item = &'a Job<'a>>>(jobs: I) -> Self {
        jobs.into_iter().fold(Self::default(), |mut outcomes, job| {
            let took = job.completed_at.map(|at| at.since(job.submitted_at));
            let is_in_time = took.is_some_and(|took| took <= job.objective);
            let has_value =
                took.is_some_and(|took| took <= job.objective.times(WORTHLESS_OBJECTIVES));
            outcomes.jobs += 1;
            outcomes.in_time += usize::from(is_in_time);
            outcomes.late += usize::from(has_value && !is_in_time);
            outcomes
        })
    }
}

/// Returns the jobs that were accepted and not cancelled. `lines` must be sorted by time. A repeated
/// submission counts from the first one.
fn jobs(lines: &[Line]) -> Vec<Job<'_>> {
    let submitted = |l: &&Line| l.message == "job submitted" && l.field("outcome") != Some("No");
    let mut jobs: Vec<Job<'_>> = lines.iter().filter(submitted).filter_map(Job::of).collect();
    jobs.sort_by_key(|job| (job.id, job.submitted_at));
    jobs.dedup_by_key(|job| job.id);
    for line in lines {
        let Some(id) = line.field("job") else { continue };
        let Ok(i) = jobs.binary_search_by_key(&id, |job| job.id) else { continue };
        match (line.message.as_str(), line.field("task"), line.field("outcome")) {
            ("end recorded", Some(task), Some("Done")) => jobs[i].task_done(task, line.at),
            ("job cancellation submitted", ..) => {
                jobs.remove(i);
            }
            _ => {}
        }
    }
    jobs
}

/// Returns the outcomes by size for each queue, sorted by queue.
fn queues(mut jobs: Vec<Job<'_>>) -> Vec<(&str, Sizes)> {
    jobs.sort_by_key(|job| (job.queue, std::cmp::Reverse(job.effort), job.id));
    let queues = jobs.chunk_by(|a, b| a.queue == b.queue);
    queues.map(|jobs| (jobs[0].queue, Sizes::of(jobs))).collect()
}

impl Sizes {
    /// `jobs` are sorted by size, the largest first.
    fn of(jobs: &[Job<'_>]) -> Self {
        let (largest, rest) = jobs.split_at(jobs.len() / 10);
        let (next, _) = rest.split_at(jobs.len() / 5);
        Self {
            all: jobs.iter().collect(),
            largest_tenth: largest.iter().collect(),
            next_fifth: next.iter().collect(),
        }
    }
}
