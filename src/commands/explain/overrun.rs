//! Runs that went on after their job was cancelled, and what the owners did about each.

use crate::commands::logs::Line;
use pimentovalve_core::clock::Millis;

/// Time after a cancellation for which a run may go on without being reported.
const MAX_UNREPORTED: Millis = Millis(1000);
/// Most runs that are reported for one job.
const MAX_REPORTED_RUNS: usize = 5;

const JOB_ENDED: &str = "job ended: runs to stop";

/// A run of the job, as task and number, with its lines.
struct Traced<'a> {
    task: &'a str,
    number: u64,
    lines: Vec<&'a Line>,
}

/// Explains the runs that went on after the job was cancelled. `own` are the lines of the job, sorted by
/// time.
pub(super) fn overruns(own: &[&Line]) -> Vec<String> {
    let Some(cancelled) = own.iter().find(|l| is_cancellation(l)) else { return Vec::new() };
    let mut causes: Vec<String> = late_application(own, cancelled).into_iter().collect();
    let runs = runs(own);
    let mut told = runs.iter().filter_map(|run| overrun(own, run, cancelled.at));
    causes.extend(told.by_ref().take(MAX_REPORTED_RUNS));
    match told.count() {
        0 => {}
        more => causes.push(format!("{more} more runs went on after the cancellation")),
    }
    causes
}

fn is_cancellation(line: &Line) -> bool {
    match line.message.as_str() {
        "job cancellation submitted" => line.field("outcome") == Some("Yes"),
        JOB_ENDED => line.field("status") == Some("Cancelled"),
        _ => false,
    }
}

fn late_application(own: &[&Line], cancelled: &Line) -> Option<String> {
    let applied = own.iter().find(|l| l.message == JOB_ENDED && !l.is_set("recovered"))?;
    let late = applied.at.since(cancelled.at);
    (late > MAX_UNREPORTED).then(|| {
        format!("the owner applied the cancellation {} ms after it was submitted", late.get())
    })
}

/// Returns the runs that a line names, in the order of their first lines.
fn runs<'a>(own: &[&'a Line]) -> Vec<Traced<'a>> {
    let mut runs: Vec<Traced<'_>> = Vec::new();
    for &line in own {
        let (Some(task), Some(number)) = (line.field("task"), line.number("number")) else {
            continue;
        };
        match runs.iter_mut().find(|r| r.task == task && r.number == number) {
            Some(run) => run.lines.push(line),
            None => runs.push(Traced { task, number, lines: vec![line] }),
        }
    }
    runs
}

/// Explains a run that did not end soon after the cancellation at `from`, unless it was stopped.
fn overrun(own: &[&Line], run: &Traced<'_>, from: Millis) -> Option<String> {
    let last = |message: &str| run.lines.iter().rev().find(|l| l.message == message);
    let end = last("end recorded");
    let is_lost = last("loss recorded").is_some() && last("unknown run listed").is_none();
    let has_ended =
        end.is_some_and(|e| e.field("outcome") == Some("Stopped") || e.at <= from + MAX_UNREPORTED);
    if has_ended || (end.is_none() && (is_lost || last("start not taken").is_some())) {
        return None;
    }
    let until = end.map_or_else(
        || "has no end in these logs".into(),
        |e| format!("ended {} at {}", e.field("outcome").unwrap_or("?"), e.time()),
    );
    let why = reason(own, run);
    Some(format!("after the cancellation the run {}#{} {until}: {why}", run.task, run.number))
}

fn reason(own: &[&Line], run: &Traced<'_>) -> String {
    let first = |message: &str| run.lines.iter().find(|l| l.message == message);
    let answers = || run.lines.iter().filter(|l| l.message == "stop answered");
    let taken = answers().find(|l| l.field("answer") == Some("Taken"));
    if let Some(line) = first("run listed after its stop was acknowledged") {
        return format!(
            "its worker still listed it at {}, after it had acknowledged the stop",
            line.time()
        );
    }
    if let Some(line) = first("unknown run listed") {
        return format!("no owner knew it until its worker listed it at {}", line.time());
    }
    if let Some(line) = taken {
        return format!("its worker acknowledged the stop at {}", line.time());
    }
    if let Some(line) = answers().next_back() {
        let answer = line.field("answer").unwrap_or("?");
        return format!(
            "no stop was acknowledged, the last answer was {answer} at {}",
            line.time()
        );
    }
    if let Some(line) = first("stop ordered") {
        return format!("the stop ordered at {} has no answer in these logs", line.time());
    }
    let ended = || own.iter().filter(|l| l.message == JOB_ENDED);
    if let Some(line) = ended().find(|l| l.is_set("recovered")) {
        let (process, at) = (&line.process, line.time());
        return format!("{process} took the shard over with it at {at} and ordered no stop");
    }
    match ended().next() {
        Some(line) if line.number("runs") == Some(0) => {
            format!("the owner knew no run when it applied the cancellation at {}", line.time())
        }
        Some(line) => {
            format!("the owner applied the cancellation at {} and ordered no stop", line.time())
        }
        None => "no owner has logged that it applied the cancellation".into(),
    }
}
