//! Log lines from the end of a job to the last stop of its runs. They bear the job's id, so that the way
//! of a cancellation can be followed through the logs of all daemons.

#[cfg(test)]
mod tests;

use crate::shard::metrics::Metrics;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::order::{Poll, Stop};
use pimentovalve_core::contract::owner::{Notice, PollError, Report, StopAnswer, Tally};
use pimentovalve_core::contract::work::Status;
use pimentovalve_core::ledger::shard::replica::Replica;
use pimentovalve_core::ledger::shard::{Incarnation, Run};

/// Logs what the owner of this epoch has noticed.
pub(super) fn log(notice: &Notice, epoch: u64, replica: &Replica, now: Millis) {
    match notice {
        Notice::Over { job, open, is_recovered } => {
            let Some(status) = replica.status(*job) else { return };
            // Most jobs end without open runs. A cancellation is logged in any case: that its runs have
            // ended before says where they went.
            if open.unstopped == 0 && status != Status::Cancelled {
                return;
            }
            let ended = replica.job(*job).and_then(|j| j.ended);
            let ended_ms = ended.map_or(Millis::ZERO, |at| now.since(at)).get();
            let Tally { recording, ordered, working, stopping, stopped, ending, .. } = *open;
            tracing::info!(%job, epoch, ?status, runs = open.total(), recording, ordered, working,
                stopping, stopped, ending, recovered = is_recovered, ended_ms,
                "job ended: runs to stop");
        }
        Notice::Unstopped(run, on, since) => {
            let (Run { task, number }, worker) = (run, &on.worker);
            tracing::warn!(job = %task.step_id.job, %task, number, %worker, epoch,
                stopped_ms = since.get(), "run listed after its stop was acknowledged");
        }
        Notice::Unknown(run, on) => {
            let (Run { task, number }, worker) = (run, &on.worker);
            let status = replica.status(task.step_id.job);
            tracing::warn!(job = %task.step_id.job, %task, number, %worker, epoch, ?status,
                "unknown run listed");
        }
        Notice::Missing { run: Run { task, number }, on, has_begun, ends, last_end } => {
            let Incarnation { worker, born } = &**on;
            tracing::warn!(job = %task.step_id.job, %task, number, %worker, born, epoch, has_begun,
                ends, last_end, "run missing from a report");
        }
    }
}

/// Logs that another incarnation of a worker than the one that was meant has answered a status poll, with
/// what the poll was to say. The adapter may have left it out.
pub(super) fn log_poll(poll: &Poll, report: &Result<Report, PollError>, epoch: u64) {
    let Incarnation { worker, born } = &*poll.on;
    let Ok(Report { born: Some(by), .. }) = report else { return };
    if by != born {
        tracing::info!(%worker, born, by, acknowledged = poll.recorded_end,
            lease_end = ?poll.lease_end, epoch, "status poll answered by another incarnation");
    }
}

/// Records the time from the end of a job, as this daemon applied it, to an acknowledged stop of a run.
pub(super) fn record_stop(
    stop: &Stop,
    answer: StopAnswer,
    replica: &Replica,
    metrics: &Metrics,
    now: Millis,
) {
    let ended = replica.job(stop.run.task.step_id.job).and_then(|j| j.ended);
    if let (StopAnswer::Taken, Some(at)) = (answer, ended) {
        metrics.stopped(now.since(at));
    }
}

/// Logs the answer to a stop order, with the time since the first stop of the run was ordered.
pub(super) fn log_stop(stop: &Stop, answer: StopAnswer, epoch: u64, now: Millis) {
    let Stop { on, run: Run { task, number }, reason, since, .. } = stop;
    let Incarnation { worker, .. } = &**on;
    tracing::info!(job = %task.step_id.job, %task, number, %worker, why = ?reason, epoch, ?answer,
        ordered_ms = now.since(*since).get(), "stop answered");
}
