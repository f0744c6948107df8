//! Derives the causes of a job's refusal, delay or failure from the log lines of all daemons.

use super::overrun;
use crate::commands::logs::Line;
use pimentovalve_core::clock::Millis;

/// Time before and after a refused submission in which a takeover may have caused it. A shard has
/// no owner from the old owner's silence until a new one has claimed it.
const TAKEOVER_WINDOW: Millis = Millis(3000);
/// Most outages that are reported for one wait. Further ones are mostly the same outage, logged by
/// other daemons.
const MAX_REPORTED_OUTAGES: usize = 3;
/// Shortest wait that is reported.
const MIN_REPORTED_WAIT: Millis = Millis(1000);

/// Messages of a submission: the present text, and that of earlier builds. During an upgrade, the
/// logs of both are read together.
const JOB_SUBMITTED: [&str; 2] = ["job submitted", "job handed in"];
/// Message of a job that was refused because it could not end while its result has value.
const NO_ROOM: &str = "job refused for want of room";
/// Messages of a finished advisor call: the present text, and that of earlier builds.
const ADVISOR_CALL_FINISHED: [&str; 2] = ["advisor call finished", "advice"];

/// Returns the causes: first those of refused submissions, then those of failures and delays, then
/// those of runs that went on after the job was cancelled.
/// `lines` must be sorted by time.
pub(super) fn causes(lines: &[Line], job: &str) -> Vec<String> {
    let own: Vec<&Line> = lines.iter().filter(|l| l.field("job") == Some(job)).collect();
    let mut refused = refused_requests(lines, job);
    if own.is_empty() && refused.is_empty() {
        return vec![not_logged(lines)];
    }
    let submissions = || own.iter().filter(|l| JOB_SUBMITTED.contains(&l.message.as_str()));
    let mut causes: Vec<String> = submissions().filter_map(|line| refusal(lines, line)).collect();
    causes.append(&mut refused);
    causes.extend(own.iter().filter_map(|line| no_room(line)));
    if submissions().any(|l| l.field("outcome") == Some("Yes")) {
        causes.extend(never_started(&own));
        causes.extend(run_failures(&own));
        causes.extend(longest_wait(lines, &own));
    }
    causes.extend(overrun::overruns(&own));
    causes
}

/// Explains why no line names the job.
fn not_logged(lines: &[Line]) -> String {
    let dropped = lines.iter().filter(|l| l.message == "lines dropped").count();
    match dropped {
        0 => "no line names the job: it was submitted to none of these daemons".into(),
        n => format!("no line names the job, but lines were dropped {n} times"),
    }
}

/// Counts the requests for a job that were refused before anything was stored, by cause. Lines of
/// requests without a valid key have no job, only a path that ends with its id.
fn refused_requests(lines: &[Line], job: &str) -> Vec<String> {
    let mut causes: Vec<(String, &Line, usize)> = Vec::new();
    for line in lines {
        let is_for_job = line.field("path").is_some_and(|path| path.ends_with(job));
        let version = line.number("version").unwrap_or_default();
        let cause = match line.message.as_str() {
            "request refused" if is_for_job => match line.field("answer") {
                Some("NoKey") => format!("version {version} of the configuration has no such key"),
                Some("NoQueue") => {
                    format!("version {version} of the configuration has no such queue")
                }
                _ => continue,
            },
            "request refused: its key may have been withdrawn" if is_for_job => {
                format!(
                    "version {version} of the configuration was too old to tell whether its key is valid"
                )
            }
            "job refused: over its team's quota" if line.field("job") == Some(job) => {
                let findings = line.field("findings").unwrap_or("no finding");
                format!("its team's quota can never hold it: {findings}")
            }
            _ => continue,
        };
        match causes.iter_mut().find(|(known, ..)| *known == cause) {
            Some((.., count)) => *count += 1,
            None => causes.push((cause, line, 1)),
        }
    }
    let tell = |(cause, line, count): (String, &Line, usize)| {
        format!(
            "{count} requests were refused, the first at {} by {}: {cause}",
            line.time(),
            line.process
        )
    };
    causes.into_iter().map(tell).collect()
}

/// Explains why a submission was not stored, or why it is unknown whether it was. Outages of the
/// daemon that took it come first; takeovers and slow appends count only if there was none.
fn refusal(lines: &[Line], line: &Line) -> Option<String> {
    let what = match line.field("outcome")? {
        "No" => "was not stored",
        "Unknown" => "may have been stored",
        _ => return None,
    };
    let when = format!("at {} the submission to {} {what}", line.time(), line.process);
    let outages = outages(lines, Some(&line.process), line.at, line.at);
    let (from, to) = (line.at.since(TAKEOVER_WINDOW), line.at + TAKEOVER_WINDOW);
    let mut found = outages;
    if let Some(silent) = line.number("silent_ms").filter(|silent| *silent > 0) {
        let waited = line.number("waited_ms").unwrap_or_default();
        found.insert(0, format!("when it came the store had been silent for {silent} ms, and it was held for {waited} ms"));
    }
    if found.is_empty() {
        found.extend(takeovers(lines, from, to));
        found.extend(slowest_append(lines, from, to));
    }
    let nothing = "these logs name no outage, takeover or slow store around that time";
    let why = if found.is_empty() { nothing.into() } else { found.join("; ") };
    Some(format!("{when}: {why}"))
}

/// Explains a refusal for want of room.
fn no_room(line: &Line) -> Option<String> {
    if line.message != NO_ROOM {
        return None;
    }
    let start = line.number("expected_start_ms")?;
    let mut expected = line.clone();
    expected.at = line.at + Millis(start);
    let retry = line.number("retry_ms").unwrap_or_default();
    Some(format!(
        "at {} {} refused the job for want of room: its first start was expected at {}, in {start} ms; \
         its caller was told to return after {retry} ms",
        line.time(),
        line.process,
        expected.time()
    ))
}

/// Explains what a job was waiting for that was stored but never started.
fn never_started(own: &[&Line]) -> Option<String> {
    if own.iter().any(|l| l.message == "start recorded") {
        return None;
    }
    let last = own.iter().rev().find(|l| ADVISOR_CALL_FINISHED.contains(&l.message.as_str()));
    Some(match last.map(|l| (l.time(), l.field("allowed").unwrap_or("None"))) {
        None => "no run was started: the advisor was not called (no room, or not its turn)".into(),
        Some((at, "None")) => format!("no run was started: the advisor gave no answer at {at}"),
        Some((at, allowed)) => {
            format!("no run was started: of the workers allowed at {at}, {allowed}, none had room")
        }
    })
}

/// Counts the runs that failed, were lost, not taken by their worker or stopped, by cause.
fn run_failures(own: &[&Line]) -> Vec<String> {
    let mut counts: Vec<(String, usize)> = Vec::new();
    for line in own {
        let what = match (line.message.as_str(), line.field("outcome")) {
            ("end recorded", Some(outcome)) if outcome != "Done" => format!("ended {outcome}"),
            ("loss recorded", _) => "were lost with their worker, or never began".into(),
            ("worker crashed under run", _) => "were on a worker that crashed".into(),
            ("run moved to the worker's new incarnation", _) => {
                "may have begun after their worker had restarted".into()
            }
            ("start not taken", _) => {
                format!("were not taken: {}", line.field("answer").unwrap_or("no answer"))
            }
            ("stop ordered", _) => format!("were stopped: {}", line.field("why").unwrap_or("?")),
            _ => continue,
        };
        match counts.iter_mut().find(|(w, _)| *w == what) {
            Some((_, count)) => *count += 1,
            None => counts.push((what, 1)),
        }
    }
    counts.into_iter().map(|(what, count)| format!("{count} runs {what}")).collect()
}

/// Reports the longest wait between two successive lines of the job, with the takeovers and outages
/// during that wait.
fn longest_wait(lines: &[Line], own: &[&Line]) -> Option<String> {
    let wait = |pair: &[&Line]| pair[1].at.since(pair[0].at);
    let pair =
        own.windows(2).max_by_key(|pair| wait(pair)).filter(|p| wait(p) >= MIN_REPORTED_WAIT)?;
    let (from, to) = (pair[0], pair[1]);
    let mut meanwhile = takeovers(lines, from.at, to.at);
    meanwhile.extend(outages(lines, None, from.at, to.at).into_iter().take(MAX_REPORTED_OUTAGES));
    let explained = match meanwhile.is_empty() {
        true => String::new(),
        false => format!("; meanwhile {}", meanwhile.join("; ")),
    };
    Some(format!(
        "the longest wait, {} ms, lies between \"{}\" and \"{}\" at {}{explained}",
        wait(pair).get(),
        from.message,
        to.message,
        to.time()
    ))
}

/// Returns the takeovers of the shard between `from` and `to`.
fn takeovers(lines: &[Line], from: Millis, to: Millis) -> Vec<String> {
    let taken = lines.iter().filter(|l| l.message == "ownership taken");
    let within = taken.filter(|l| from <= l.at && l.at <= to);
    let tell = |l: &Line| {
        let epoch = l.number("epoch").unwrap_or_default();
        format!("{} took the shard over at {} as epoch {epoch}", l.process, l.time())
    };
    within.map(tell).collect()
}

/// Returns the slowest of the slow appends between `from` and `to`, if any was logged.
fn slowest_append(lines: &[Line], from: Millis, to: Millis) -> Option<String> {
    let slow = lines.iter().filter(|l| l.message == "slow append" && from <= l.at && l.at <= to);
    let slowest = slow.max_by_key(|l| l.number("took_ms"))?;
    let took = slowest.number("took_ms")?;
    Some(format!("the store was slow: an append took {took} ms at {}", slowest.time()))
}

/// Returns the outages that overlap the time from `from` to `to`, as logged by `process`, or by all
/// daemons if it is `None`.
fn outages(lines: &[Line], process: Option<&str>, from: Millis, to: Millis) -> Vec<String> {
    let is_of = |l: &&Line| process.is_none_or(|p| l.process == p);
    let lost = lines.iter().filter(is_of).filter(|l| l.message == "dependency lost");
    let mut outages = Vec::new();
    for line in lost.filter(|l| l.at <= to) {
        let of = line.field("of").unwrap_or("?");
        let back = lines.iter().find(|l| {
            let is_back = l.message == "dependency regained" && l.field("of") == Some(of);
            // A restart ends the outage too: the new process logs its own losses.
            let is_restart = l.message == "daemon started";
            l.process == line.process && l.at >= line.at && (is_back || is_restart)
        });
        if back.is_some_and(|b| b.at < from) {
            continue;
        }
        let until = back.map_or_else(|| "the end of these logs".into(), Line::time);
        let error = line.field("error").unwrap_or("no error");
        let (by, since) = (&line.process, line.time());
        outages.push(format!("the {of} was unavailable to {by} from {since} to {until} ({error})"));
    }
    outages
}
