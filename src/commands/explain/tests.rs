//! Tests on log lines as daemons wrote them, for the three cases that docs/OPERATIONS.md describes.

use super::cause::causes;
use crate::commands::logs::Line;
use googletest::prelude::*;

fn lines(texts: &[&str]) -> Vec<Line> {
    texts.iter().flat_map(|t| Line::parse(t, "file").expect("a line").split()).collect()
}

const OUTAGE: [&str; 3] = [
    r#"2.5403 front-a {"timestamp":"2026-09-02T20:53:42.540300Z","level":"WARN","message":"dependency lost","of":"log","error":"/log-read was answered 429","target":"x"}"#,
    r#"11.6802 front-a {"timestamp":"2026-09-02T20:53:51.680200Z","level":"INFO","message":"dependency regained","of":"log","lost_ms":9103,"target":"x"}"#,
    r#"4.1 front-a {"timestamp":"2026-09-02T20:53:44.100000Z","level":"INFO","message":"job submitted","job":"889437b27aef8a96","queue":"q","version":2,"outcome":"No","target":"x"}"#,
];

const TAKEOVER: [&str; 4] = [
    r#"{"timestamp":"2026-09-02T20:53:44.336000Z","level":"INFO","message":"ownership taken","epoch":2,"jobs":155,"runs":206,"target":"x"}"#,
    r#"{"timestamp":"2026-09-02T20:53:44.611600Z","level":"INFO","message":"job submitted","job":"16cfbbbb4ac26d3c","queue":"q","version":2,"outcome":"Unknown","target":"x"}"#,
    r#"{"timestamp":"2026-09-02T20:53:44.767500Z","level":"INFO","message":"job submitted","job":"16cfbbbb4ac26d3c","queue":"q","version":2,"outcome":"Yes","target":"x"}"#,
    r#"{"timestamp":"2026-09-02T20:53:48.584800Z","level":"INFO","message":"start recorded","job":"16cfbbbb4ac26d3c","task":"16cfbbbb4ac26d3c.0.0.0","number":1,"worker":"i-1","epoch":2,"target":"x"}"#,
];

#[gtest]
fn refusal_is_explained_by_an_outage_that_its_daemon_logged() {
    let explained = causes(&lines(&OUTAGE), "889437b27aef8a96");
    let explained = explained.join("\n");
    expect_that!(explained, contains_substring("the submission to front-a was not stored"));
    expect_that!(
        explained,
        contains_substring("the log was unavailable to front-a from 2026-09-02T20:53:42.540Z")
    );
    expect_that!(explained, contains_substring("answered 429"));
}

#[gtest]
fn refusal_is_explained_by_a_store_that_had_been_silent() {
    let refused = OUTAGE[2].replace("\"version\":2", "\"silent_ms\":1900,\"waited_ms\":1440");
    let explained = causes(&lines(&[&refused]), "889437b27aef8a96").join("\n");
    expect_that!(explained, contains_substring("the store had been silent for 1900 ms"));
    expect_that!(explained, contains_substring("held for 1440 ms"));
}

#[gtest]
fn unknown_outcome_is_explained_by_a_takeover_and_the_longest_wait_is_reported() {
    let explained = causes(&lines(&TAKEOVER), "16cfbbbb4ac26d3c");
    expect_that!(explained, len(eq(2)));
    expect_that!(
        explained[0],
        contains_substring("may have been stored: file took the shard over")
    );
    expect_that!(explained[0], contains_substring("as epoch 2"));
    let wait = "the longest wait, 3817 ms, lies between \"job submitted\" and \"start recorded\"";
    expect_that!(explained[1], contains_substring(wait));
}

#[gtest]
fn unknown_outcome_is_explained_by_a_slow_store() {
    let slow = r#"{"timestamp":"2026-09-02T20:53:44.500000Z","level":"INFO","message":"slow append","number":7,"entries":9,"bytes":99,"took_ms":612,"target":"x"}"#;
    let explained = causes(&lines(&[slow, TAKEOVER[1]]), "16cfbbbb4ac26d3c");
    expect_that!(
        explained,
        elements_are![contains_substring("the store was slow: an append took 612 ms")]
    );
}

#[gtest]
fn job_that_never_started_is_explained_by_what_it_waited_for() {
    let accepted = TAKEOVER[2];
    let job = "16cfbbbb4ac26d3c";
    let explained = causes(&lines(&[accepted]), job);
    expect_that!(
        explained,
        elements_are![contains_substring("the advisor was not called (no room, or not its turn)")]
    );
    let advice = accepted.replace("job submitted", "advisor call finished").replace(
        r#""outcome":"Yes""#,
        r#""step":"16cfbbbb4ac26d3c.0.0","through":"front-b","named":9,"allowed":"Some(3)""#,
    );
    let explained = causes(&lines(&[accepted, &advice]), job);
    expect_that!(explained, elements_are![contains_substring("Some(3), none had room")]);
}

/// Returns a line with the message text that earlier builds logged.
fn earlier(line: &str) -> String {
    line.replace(r#""message":"job submitted""#, r#""message":"job handed in""#)
        .replace(r#""message":"advisor call finished""#, r#""message":"advice""#)
}

#[gtest]
fn logs_of_earlier_builds_are_explained_alike() {
    let advice = TAKEOVER[2].replace("job submitted", "advisor call finished").replace(
        r#""outcome":"Yes""#,
        r#""step":"16cfbbbb4ac26d3c.0.0","through":"front-b","named":9,"allowed":"Some(3)""#,
    );
    let unanswered = advice.replace("Some(3)", "None");
    let slow = r#"{"timestamp":"2026-09-02T20:53:44.500000Z","level":"INFO","message":"slow append","number":7,"entries":9,"bytes":99,"took_ms":612,"target":"x"}"#;
    let failed = TAKEOVER[3]
        .replace("start recorded", "end recorded")
        .replace(r#""worker""#, r#""outcome":"Failed","worker""#);
    let job = "16cfbbbb4ac26d3c";
    let cases: [(&str, &[&str], &str); 7] = [
        ("889437b27aef8a96", &OUTAGE, "the log was unavailable to front-a from"),
        (job, &TAKEOVER, "may have been stored: file took the shard over"),
        (job, &[slow, TAKEOVER[1]], "the store was slow: an append took 612 ms"),
        (job, &[TAKEOVER[2]], "the advisor was not called (no room, or not its turn)"),
        (job, &[TAKEOVER[2], &advice], "Some(3), none had room"),
        (job, &[TAKEOVER[2], &unanswered], "the advisor gave no answer at"),
        (job, &[TAKEOVER[2], TAKEOVER[3], &failed], "1 runs ended Failed"),
    ];
    for (job, present, finding) in cases {
        let expected = causes(&lines(present), job);
        expect_that!(expected, contains(contains_substring(finding)));
        let old: Vec<String> = present.iter().map(|line| earlier(line)).collect();
        // Each line can come from either build. Lines are quoted with the text that was logged.
        for mix in 0..1_usize << present.len() {
            let text = |i: usize| if mix & (1 << i) == 0 { present[i] } else { old[i].as_str() };
            let mixed: Vec<&str> = (0..present.len()).map(text).collect();
            let explained: Vec<String> = causes(&lines(&mixed), job)
                .iter()
                .map(|cause| cause.replace("\"job handed in\"", "\"job submitted\""))
                .collect();
            expect_that!(explained, eq(&expected), "{mixed:?}");
        }
    }
    let explained = causes(&lines(&TAKEOVER.map(earlier).each_ref().map(String::as_str)), job);
    let wait = "the longest wait, 3817 ms, lies between \"job handed in\" and \"start recorded\"";
    expect_that!(explained, contains(contains_substring(wait)));
}

/// Returns the line of the present build for a line of an earlier build about one run, in which the
/// runs of another job come first and last.
fn list(line: &str, details: &str) -> String {
    let of = |job: &str| format!("{job}.0.0.0#1@i-1{details}");
    let (other, own) = (of("889437b27aef8a96"), of("16cfbbbb4ac26d3c"));
    let (message, _) = line.split_once(r#","job""#).unwrap();
    let message = message.replace("start recorded", "starts recorded");
    let message = message.replace("end recorded", "ends recorded");
    format!(r#"{message},"epoch":2,"runs":"{other} {own} {other}","target":"x"}}"#)
}

#[gtest]
fn a_run_is_found_in_a_line_about_several_runs() {
    let end = TAKEOVER[3].replace("start recorded", "end recorded");
    let end = end.replace(r#""worker""#, r#""outcome":"Failed","worker""#);
    let old = [TAKEOVER[2], TAKEOVER[3], &end];
    let (starts, ends) = (list(TAKEOVER[3], ""), list(&end, "=Failed"));
    let new = [TAKEOVER[2], &starts, &ends];
    let job = "16cfbbbb4ac26d3c";
    expect_that!(causes(&lines(&new), job), eq(&causes(&lines(&old), job)));
    let own = |texts: &[&str]| -> Vec<String> {
        let lines = lines(texts);
        let own = lines.iter().filter(|l| l.field("job") == Some(job));
        own.map(ToString::to_string).collect()
    };
    expect_that!(own(&new), eq(&own(&old)));
    expect_that!(own(&new), len(eq(3)));
}

#[gtest]
fn a_loss_in_a_line_about_several_runs_is_counted() {
    let loss = r#"{"timestamp":"2026-09-02T20:53:49.000000Z","level":"INFO","message":"losses recorded","epoch":2,"runs":"16cfbbbb4ac26d3c.0.0.0#1 16cfbbbb4ac26d3c.0.0.1#1 889437b27aef8a96.0.0.0#1","target":"x"}"#;
    let explained = causes(&lines(&[TAKEOVER[2], TAKEOVER[3], loss]), "16cfbbbb4ac26d3c");
    expect_that!(explained, contains(contains_substring("2 runs were lost with their worker")));
}

#[gtest]
fn failed_runs_are_counted_by_outcome() {
    let end = TAKEOVER[3].replace("start recorded", "end recorded");
    let failed = end.replace(r#""worker""#, r#""outcome":"Failed","worker""#);
    let done = end.replace(r#""worker""#, r#""outcome":"Done","worker""#);
    let all = [TAKEOVER[2], TAKEOVER[3], &failed, &failed, &done];
    let explained = causes(&lines(&all), "16cfbbbb4ac26d3c");
    expect_that!(explained[0], eq("2 runs ended Failed"));
}

#[gtest]
fn job_without_log_lines_is_reported() {
    let explained = causes(&lines(&OUTAGE), "00000000000000ff");
    expect_that!(explained, elements_are![contains_substring("no line names the job")]);
}

#[gtest]
fn truncated_line_is_a_parse_error() {
    expect_that!(Line::parse(&OUTAGE[0][..90], "file"), err(contains_substring("not a log line")));
    expect_that!(Line::parse("{}", "file"), err(contains_substring("timestamp")));
}

/// Lines of a job that is cancelled at 44.0 s while its run executes.
const CANCELLED: [&str; 3] = [
    r#"{"timestamp":"2026-09-02T20:53:42.000000Z","level":"INFO","message":"start recorded","job":"16cfbbbb4ac26d3c","task":"16cfbbbb4ac26d3c.0.0.0","number":1,"worker":"i-1","epoch":1,"target":"x"}"#,
    r#"{"timestamp":"2026-09-02T20:53:44.000000Z","level":"INFO","message":"job cancellation submitted","job":"16cfbbbb4ac26d3c","outcome":"Yes","target":"x"}"#,
    r#"{"timestamp":"2026-09-02T20:53:52.000000Z","level":"INFO","message":"end recorded","job":"16cfbbbb4ac26d3c","task":"16cfbbbb4ac26d3c.0.0.0","number":1,"worker":"i-1","outcome":"Done","epoch":2,"target":"x"}"#,
];

/// Returns a line about the run, or about its job, `at` seconds into the minute.
fn event(at: &str, message: &str, fields: &str) -> String {
    let run = r#""job":"16cfbbbb4ac26d3c","task":"16cfbbbb4ac26d3c.0.0.0","number":1,"epoch":2"#;
    let job = r#""job":"16cfbbbb4ac26d3c","epoch":2"#;
    let subject = if message.starts_with("job ended") { job } else { run };
    format!(
        r#"{{"timestamp":"2026-09-02T20:53:{at}00Z","level":"INFO","message":"{message}",{subject},{fields},"target":"x"}}"#
    )
}

/// Returns the causes that are named with these lines between the cancellation and the end.
fn overrun(events: &[String]) -> Vec<String> {
    let mut texts = vec![CANCELLED[0], CANCELLED[1]];
    texts.extend(events.iter().map(String::as_str));
    texts.push(CANCELLED[2]);
    causes(&lines(&texts), "16cfbbbb4ac26d3c")
}

fn ended(at: &str, runs: u64, recovered: bool) -> String {
    let fields = format!(r#""status":"Cancelled","runs":{runs},"recovered":{recovered}"#);
    event(at, "job ended: runs to stop", &fields)
}

#[gtest]
fn a_run_that_went_on_after_the_cancellation_is_explained_by_what_its_owners_did() {
    let ordered = event("44.2000", "stop ordered", r#""why":"Over""#);
    let answered = |answer| {
        event("44.3000", "stop answered", &format!(r#""answer":"{answer}","ordered_ms":100"#))
    };
    let listed = |message| event("47.0000", message, r#""worker":"i-1""#);
    let late = listed("run listed after its stop was acknowledged");
    let cases: [(&[String], &str); 8] = [
        (&[], "no owner has logged that it applied the cancellation"),
        (
            &[ended("45.0000", 1, true)],
            "took the shard over with it at 2026-09-02T20:53:45.000Z and ordered no stop",
        ),
        (&[ended("44.1000", 0, false)], "the owner knew no run when it applied the cancellation"),
        (&[ended("44.1000", 1, false)], "and ordered no stop"),
        (&[ended("44.1000", 1, false), ordered.clone()], "has no answer in these logs"),
        (&[ordered.clone(), answered("Unknown")], "the last answer was Unknown at"),
        (
            &[ordered, answered("Taken"), late],
            "its worker still listed it at 2026-09-02T20:53:47.000Z",
        ),
        (&[listed("unknown run listed")], "no owner knew it until its worker listed it"),
    ];
    for (events, finding) in cases {
        let run = "after the cancellation the run 16cfbbbb4ac26d3c.0.0.0#1 ended Done at";
        let expected = all![starts_with(run), contains_substring(finding)];
        expect_that!(overrun(events), contains(expected), "{events:?}");
    }
}

#[gtest]
fn a_cancellation_that_the_owner_applied_late_is_reported() {
    let late = "the owner applied the cancellation 4000 ms after it was submitted";
    expect_that!(overrun(&[ended("48.0000", 1, false)]), contains(eq(late)));
    expect_that!(overrun(&[ended("44.1000", 1, false)]), not(contains(eq(late))));
}

#[gtest]
fn a_run_that_was_stopped_after_the_cancellation_needs_no_explanation() {
    let stopped = CANCELLED[2].replace("Done", "Stopped");
    let soon = CANCELLED[2].replace("20:53:52", "20:53:44");
    for end in [stopped, soon] {
        let causes = causes(&lines(&[CANCELLED[0], CANCELLED[1], &end]), "16cfbbbb4ac26d3c");
        expect_that!(causes, not(contains(contains_substring("after the cancellation"))));
    }
}

#[gtest]
fn requests_without_a_valid_key_are_found_by_their_path() {
    let refused = r#"{"timestamp":"2026-09-02T20:53:42.600000Z","level":"INFO","message":"request refused","method":"POST","path":"/q/889437b27aef8a96","version":12,"answer":"NoKey","target":"x"}"#;
    let old = refused
        .replace("request refused", "request refused: its key may have been withdrawn")
        .replace("NoKey", "");
    let other = refused.replace("889437b27aef8a96", "16cfbbbb4ac26d3c");
    let explained = causes(&lines(&[refused, refused, &other, &old]), "889437b27aef8a96");
    expect_that!(
        explained,
        elements_are![
            all![
                contains_substring(
                    "2 requests were refused, the first at 2026-09-02T20:53:42.600Z"
                ),
                contains_substring("version 12 of the configuration has no such key")
            ],
            contains_substring("too old to tell whether its key is valid")
        ]
    );
}

#[gtest]
fn a_job_over_its_teams_quota_is_explained_by_the_findings() {
    let refused = r#"{"timestamp":"2026-09-02T20:53:42.600000Z","level":"INFO","message":"job refused: over its team's quota","job":"889437b27aef8a96","version":12,"findings":"steps[0]: too much","target":"x"}"#;
    expect_that!(
        causes(&lines(&[refused]), "889437b27aef8a96"),
        elements_are![contains_substring("quota can never hold it: steps[0]: too much")]
    );
}

#[gtest]
fn refusal_for_want_of_room_names_the_expected_first_start() {
    let refused = r#"{"timestamp":"2026-09-02T20:53:44.500000Z","level":"INFO","message":"job refused for want of room","job":"16cfbbbb4ac26d3c","queue":"q","version":2,"expected_start_ms":61500,"retry_ms":3200,"target":"x"}"#;
    let explained = causes(&lines(&[refused]), "16cfbbbb4ac26d3c");
    let cause = "file refused the job for want of room: its first start was expected at \
                 2026-09-02T20:54:46.000Z, in 61500 ms; its caller was told to return after 3200 ms";
    expect_that!(explained, elements_are![contains_substring(cause)]);
}
