//! Plays one case: `standin CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment nothing is disrupted.

mod bed;
mod http;
mod json;
mod record;
mod runner;
mod store;

use bed::Bed;
use record::{Record, Run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        bed::end_processes();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        bed::end_processes();
        std::process::exit(2);
    }));
    let runners = if case == "held-apart" { 16 } else { 24 };
    let Some(bed) = Bed::start(Arc::clone(&record), runners) else {
        bed::end_processes();
        eprintln!("the deployment doesn't serve");
        return ExitCode::from(2);
    };
    let broken = match case.as_str() {
        "given-up" => given_up(&bed, has_trouble),
        "same-id" => same_id(&bed, has_trouble),
        "held-apart" => held_apart(&bed, has_trouble),
        "takeover" => takeover(&bed, has_trouble),
        _ => {
            eprintln!("there is no such case");
            return ExitCode::from(2);
        }
    };
    drop(bed);
    for finding in &broken {
        record.note(&format!("BROKEN: {finding}"));
        println!("BROKEN: {finding}");
    }
    if broken.is_empty() {
        record.note("the rule held");
        println!("the rule held");
    }
    ExitCode::from(u8::from(!broken.is_empty()))
}

/// Returns the id of a job. It ends with a letter, so that the names of its tasks don't look like addresses.
const fn job(first: u64, number: u64) -> u64 {
    first + number * 16 + 0xf
}

/// Three idle runners of 24 crash and come back under new ids at their addresses. A job of one task is
/// handed in then.
fn given_up(bed: &Bed, has_trouble: bool) -> Vec<String> {
    const CRASHED: usize = 3;
    let mut broken = Vec::new();
    for round in 0..3_u64 {
        let down = Duration::from_millis(300);
        if has_trouble {
            let idle = bed.idle().into_iter().take(CRASHED).enumerate();
            let crashed: Vec<_> =
                idle.map(|(i, (at, _))| (at, format!("i-9{round}{i:02x}"))).collect();
            bed.restart(&crashed, down);
        } else {
            std::thread::sleep(down);
        }
        std::thread::sleep(Duration::from_millis(700));
        let id = job(0xa000, round);
        if !bed.submit(id, 1, 2000, 500) {
            continue;
        }
        let shown = bed.wait_for_end(id, Duration::from_secs(14));
        let task = format!("{id:016x}.0.0.0");
        let is_failed = |r: &Run| r.task == task && r.end.is_some_and(|(_, how)| how == "failed");
        let (runs, failed) = {
            let runs = bed.record.runs();
            let of_task = runs.iter().filter(|r| r.task == task).count();
            (of_task, runs.iter().filter(|r| is_failed(r)).count())
        };
        if shown.as_deref() == Some("failed") && failed < 4 {
            broken.push(format!(
                "LOST: job {id:016x} was accepted and is shown as failed; its task was started \
                 {runs} times by a runner, and {failed} runs ended failed of the 4 that it may"
            ));
        }
        std::thread::sleep(Duration::from_secs(6));
    }
    broken
}

/// Idle runners crash one by one and come back at once, each under its id, while jobs are handed in.
fn same_id(bed: &Bed, has_trouble: bool) -> Vec<String> {
    const ROUNDS: u64 = 18;
    const JOBS: u64 = ROUNDS * 6;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for i in 0..JOBS {
                bed.submit(job(0xb000, i), 1, 32_000, 1000);
                std::thread::sleep(Duration::from_millis(400));
            }
        });
        for _ in 0..ROUNDS {
            std::thread::sleep(Duration::from_millis(2600));
            if let Some(first) = bed.idle().first().filter(|_| has_trouble) {
                bed.restart(std::slice::from_ref(first), Duration::from_millis(50));
            }
        }
    });
    for i in 0..JOBS {
        bed.wait_for_end(job(0xb000, i), Duration::from_secs(10));
    }
    twice(&bed.record.runs())
}

/// Sixty clients hand in a small job each. The runner on which most of the jobs run and an idle one, of 16,
/// crash at the same time and come back under new ids at their addresses. Then nothing is disrupted any
/// more.
fn held_apart(bed: &Bed, has_trouble: bool) -> Vec<String> {
    const JOBS: u64 = 60;
    const TAKES_MS: u64 = 12_000;
    const CPU: u32 = 500;
    const DOWN: Duration = Duration::from_millis(300);
    let accepted: Vec<u64> = std::thread::scope(|scope| {
        let client =
            |i| scope.spawn(move || (job(0xc000, i), bed.submit(job(0xc000, i), 1, CPU, TAKES_MS)));
        let clients: Vec<_> = (0..JOBS).map(client).collect();
        let answers = clients.into_iter().map(|client| client.join().unwrap());
        answers.filter(|(_, is_accepted)| *is_accepted).map(|(id, _)| id).collect()
    });
    let last_sent = bed.record.now();
    std::thread::sleep(Duration::from_millis(2500));
    if has_trouble {
        let idle = bed.idle().into_iter().take(1).map(|(at, _)| at);
        let crashed: Vec<usize> = std::iter::once(bed.busiest()).chain(idle).collect();
        let ids = crashed.iter().map(|at| (*at, format!("i-9{at:03x}")));
        bed.restart(&ids.collect::<Vec<_>>(), DOWN);
    }
    // From 14 s after the last job, for 3 s.
    let from = last_sent + 14_000;
    while bed.record.now() < from {
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut waiting = accepted.clone();
    let mut most_used = 0;
    while bed.record.now() < from + 3000 {
        let runs = bed.record.runs();
        let used = runs.iter().filter(|r| r.end.is_none()).count() as u64 * u64::from(CPU);
        most_used = most_used.max(used);
        waiting.retain(|id| {
            let task = format!("{id:016x}.0.0.0");
            let mut runs = runs.iter().filter(|r| r.task == task);
            let is_served = |r: &Run| r.end.is_none_or(|(_, how)| how == "done");
            !runs.any(is_served)
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    // A job under which two runners have crashed may be given up, and doesn't count.
    let runs = bed.record.runs();
    waiting.retain(|id| {
        let task = format!("{id:016x}.0.0.0");
        runs.iter().filter(|r| r.task == task).count() <= 1
    });
    let whole = bed.whole_cpu();
    if waiting.is_empty() || most_used * 2 >= whole {
        return Vec::new();
    }
    let shown = bed.state(waiting[0]);
    vec![format!(
        "LOST: {} of {} accepted jobs have had nothing running for 3 s, 14 s after the last one was \
         handed in, and at most one runner crashed under any of them; each needs {CPU} thousandths \
         of a core, at most {most_used} of {whole} were in use; the first, {:016x}, is shown as {shown:?}",
        waiting.len(),
        accepted.len(),
        waiting[0]
    )]
}

/// A runner with tasks that last is lost for good, and the daemon that owns the shard is killed.
fn takeover(bed: &Bed, has_trouble: bool) -> Vec<String> {
    const TASKS: u32 = 4;
    const ID: u64 = job(0xe000, 0);
    // For 3 s, more than 6 s after the last run of a task, and after 4 s of calm: the daemon is back
    // after 3.5 s.
    let (from, to) = (8000, 11_000);
    let fields = format!("\"count\":{TASKS},\"cpu\":4000,\"longRunning\":true");
    bed.submit_step(ID, 600_000, &fields);
    // No lease of an owner before the present one is left after this time.
    std::thread::sleep(Duration::from_secs(20));
    let owner = bed.owner();
    let at = bed.busiest();
    let lost_at = bed.record.now();
    if let Some(owner) = owner.filter(|_| has_trouble) {
        if std::env::var_os("ONLY_DAEMON").is_none() {
            bed.lose(at);
        }
        if std::env::var_os("ONLY_RUNNER").is_none() {
            bed.kill_daemon(owner, Duration::from_millis(3500));
        }
    }
    let mut missing: Vec<String> = (0..TASKS).map(|i| format!("{ID:016x}.0.0.{i}")).collect();
    while bed.record.now() < lost_at + to {
        if bed.record.now() >= lost_at + from {
            let runs = bed.record.runs();
            missing.retain(|task| !runs.iter().any(|r| r.task == *task && r.end.is_none()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    while bed.record.now() < lost_at + 20_000 {
        std::thread::sleep(Duration::from_millis(100));
    }
    let missing = missing.iter().map(|task| {
        let runs = bed.record.runs();
        let next = runs.iter().find(|r| r.task == *task && r.began > lost_at).map(|r| r.began);
        format!(
            "LOST: {task} lasts and has had nothing running from {from} to {to} ms after its last run; \
             its next run began {:?} ms after it",
            next.map(|n| n - lost_at)
        )
    });
    missing.collect()
}

/// Returns where two runs of one task overlap. The runners are up: the runs of one that crashes end then.
fn twice(runs: &[Run]) -> Vec<String> {
    let mut broken = Vec::new();
    for (i, a) in runs.iter().enumerate() {
        for b in runs[i + 1..].iter().filter(|b| b.task == a.task) {
            let (end, how) = a.end.unwrap_or((u128::MAX, "running"));
            if b.began < end {
                let Run { task, number, on, began, .. } = a;
                broken.push(format!(
                    "TWICE: task {task} run {number} on {on} from {began} to {end} ms ({how}), and \
                     run {} on {} from {} ms",
                    b.number, b.on, b.began
                ));
            }
        }
    }
    broken
}
