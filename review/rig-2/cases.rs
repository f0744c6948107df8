//! The cases.

use crate::Outcome;
use crate::record::{Kind, Record};
use crate::rig::{Job, Rig, free_port};
use crate::runner::unix_ms;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

pub fn play(name: &str, record: &Arc<Record>) -> Outcome {
    match name {
        "power" => power(record),
        "ends" => ends(record),
        "owner" => owner(record),
        "connections" => connections(record),
        "gang" => gang(record),
        "lasting" => lasting(record),
        "entry" => entry(record),
        "clock" => clock(record),
        other => Err(format!("no case {other}")),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn ready(rig: &Rig) -> Result<(), String> {
    if rig.wait_ready(Duration::from_secs(15)) { Ok(()) } else { Err("daemons not ready".into()) }
}

/// All daemons lose power twice, or as often as `LOSSES` in the environment says. Afterwards every
/// accepted job must be known.
fn power(record: &Arc<Record>) -> Outcome {
    const DARK_MS: u64 = 9500;
    const UP_MS: u64 = 4500;
    let losses = std::env::var("LOSSES").ok().and_then(|l| l.parse().ok()).unwrap_or(2);
    let mut rig = Rig::start(record, 3, 4, 20);
    ready(&rig)?;
    let (began, mut accepted) = (Instant::now(), Vec::new());
    while began.elapsed() < Duration::from_millis(9000) {
        let id = 0xa00_0000_0000_0001 + accepted.len() as u64;
        let job = Job::new(
            id,
            "urgent",
            "run 1000 0",
            "\"count\":2,\"cpu\":2800,\"memMb\":5700,\"estRuntimeMs\":1000",
        );
        if !rig.submit(&job, accepted.len()) {
            return Err("a job was not accepted before the disruption".into());
        }
        accepted.push(job);
        pause(250);
    }
    for _ in 0..losses {
        if rig.is_troubled() {
            rig.kill_daemons();
        }
        pause(DARK_MS);
        rig.start_daemons();
        pause(UP_MS);
    }
    ready(&rig)?;
    // Every daemon has been in touch, and each job has been visible, for long.
    pause(8000);
    let mut broken = Vec::new();
    for (i, job) in accepted.iter().enumerate() {
        let answers: Vec<String> = (0..rig.daemons()).map(|d| rig.state(job, d)).collect();
        if answers.iter().any(|a| a == "410") {
            broken.push(format!("LOST: accepted job {i} is answered {answers:?}"));
        }
    }
    Ok(broken)
}

/// The store is down while many small tasks on one runner end.
fn ends(record: &Arc<Record>) -> Outcome {
    const JOBS: u64 = 64;
    const TASKS: usize = 640;
    const DOWN_MS: u64 = 4500;
    let rig = Rig::start(record, 3, 4, 300);
    ready(&rig)?;
    let job = |i| {
        let step = "\"count\":10,\"cpu\":40,\"memMb\":64,\"estRuntimeMs\":6000";
        Job::new(0xb00_0000_0000_0001 + i, "batch", "run 6000 50", step)
    };
    let jobs: Vec<Job> = (0..JOBS).map(job).collect();
    for (i, job) in jobs.iter().enumerate() {
        if !rig.submit(job, i) {
            return Err("a job was not accepted before the disruption".into());
        }
        pause(30);
    }
    let began = || {
        let events = record.events();
        events.iter().filter(|e| e.kind == Kind::Began).map(|e| e.at).collect::<Vec<_>>()
    };
    let until = Instant::now() + Duration::from_secs(3);
    while began().len() < TASKS {
        if Instant::now() > until {
            return Err("not all tasks have begun".into());
        }
        pause(10);
    }
    // The store is down from shortly before the first task ends.
    pause(5900_u64.saturating_sub(began()[0].elapsed().as_millis() as u64));
    rig.store.is_down.store(rig.is_troubled(), Ordering::Relaxed);
    record.line(if rig.is_troubled() { "the store is down" } else { "no disruption" });
    pause(DOWN_MS);
    rig.store.is_down.store(false, Ordering::Relaxed);
    record.line("the store is up");
    // The traffic goes on, with tasks on every runner.
    for i in 0..10 {
        let step = "\"count\":4,\"cpu\":40,\"memMb\":64,\"estRuntimeMs\":800,\"antiAffinity\":1";
        rig.submit(&Job::new(0xb00_0000_0000_1001 + i, "urgent", "run 800 0", step), i as usize);
        pause(500);
    }
    for (i, job) in jobs.iter().enumerate() {
        let state = rig.wait_state(job, &["completed", "failed"], Duration::from_secs(20));
        if state != "completed" {
            return Err(format!("job {i} is {state}"));
        }
    }
    pause(3000);
    Ok(record.doubled())
}

/// A gang waits for room that a service which lasts will not give back.
fn gang(record: &Arc<Record>) -> Outcome {
    let rig = Rig::start(record, 3, 8, 300);
    ready(&rig)?;
    let service = Job::new(
        0xd00_0000_0000_0001,
        "urgent",
        "last",
        "\"count\":1,\"cpu\":8000,\"memMb\":16000,\"longRunning\":true",
    );
    let large = Job::new(
        0xd00_0000_0000_0002,
        "urgent",
        "run 12000 0",
        "\"count\":24,\"cpu\":10500,\"memMb\":26000,\"estRuntimeMs\":12000,\"gang\":true",
    );
    if !rig.submit(&service, 0) {
        return Err("the service was not accepted".into());
    }
    if rig.wait_state(&service, &["running"], Duration::from_secs(5)) != "running" {
        return Err("the service does not run".into());
    }
    pause(1000);
    if rig.is_troubled() && !rig.submit(&large, 1) {
        return Err("the gang was not accepted".into());
    }
    let step = "\"count\":10,\"cpu\":2000,\"memMb\":7200,\"estRuntimeMs\":2700";
    let jobs: Vec<Job> =
        (0..4).map(|i| Job::new(0xd00_0000_0000_0010 + i, "batch", "run 2700 0", step)).collect();
    for (i, job) in jobs.iter().enumerate() {
        if !rig.submit(job, i) {
            return Err("a batch was not accepted".into());
        }
    }
    // The end of the traffic, and `finish_s`.
    pause(14_000);
    let mut broken = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        let state = rig.state(job, i);
        let has_begun = record.events().iter().any(|e| e.kind == Kind::Began && job.has(&e.task));
        if !has_begun {
            broken.push(format!(
                "LOST: 14 s after the end of the traffic batch {i} is {state} and nothing of it has ever run; 8 of 256 cores are in use"
            ));
        }
    }
    Ok(broken)
}

/// A runner with a task that lasts is lost for good.
fn lasting(record: &Arc<Record>) -> Outcome {
    let rig = Rig::start(record, 3, 8, 300);
    ready(&rig)?;
    let job = Job::new(
        0xe00_0000_0000_0001,
        "urgent",
        "last",
        "\"count\":8,\"cpu\":4000,\"memMb\":8000,\"longRunning\":true,\"antiAffinity\":2",
    );
    if !rig.submit(&job, 0) {
        return Err("the service was not accepted".into());
    }
    pause(6000);
    let runner = rig.runners.iter().find(|r| !r.running().is_empty()).ok_or("nothing runs")?;
    let tasks = runner.running();
    let lost_at = Instant::now();
    if rig.is_troubled() {
        runner.lose_power();
    }
    pause(25_000);
    let mut broken = Vec::new();
    for task in tasks.iter().filter(|_| rig.is_troubled()) {
        let events = record.events();
        let next =
            events.iter().find(|e| e.kind == Kind::Began && e.task == *task && e.at > lost_at);
        let after = next.map(|e| e.at.duration_since(lost_at).as_millis());
        record.line(&format!("{task} began again after {after:?} ms"));
        if after.is_none_or(|ms| ms > 9000) {
            broken.push(format!("LOST: {task} had nothing running for {after:?} ms"));
        }
    }
    Ok(broken)
}

/// Another writer leaves an entry of a service that the configuration does not name, under the id of a
/// runner that executes a task.
fn entry(record: &Arc<Record>) -> Outcome {
    let rig = Rig::start(record, 3, 4, 300);
    ready(&rig)?;
    let step = "\"count\":2,\"cpu\":9000,\"memMb\":26000,\"estRuntimeMs\":8000";
    let job = Job::new(0xf00_0000_0000_0001, "urgent", "run 8000 0", step);
    if !rig.submit(&job, 0) {
        return Err("the job was not accepted".into());
    }
    pause(3000);
    let runner = rig.runners.iter().find(|r| !r.running().is_empty()).ok_or("nothing runs")?;
    if rig.is_troubled() {
        let born = unix_ms();
        let address = format!("127.0.0.1:{}", free_port());
        let entry = format!(
            "{{\"service\":\"another\",\"address\":\"{address}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\
             \"gpus\":0}},\"labels\":[\"a\",\"r1-0\"],\"clockMs\":1,\"seqNo\":1,\"born\":{born}}}"
        );
        rig.store.put("keyed.servers", &runner.id, &entry);
        record.line(&format!("another writer: servers/{} {entry}", runner.id));
    }
    let state = rig.wait_state(&job, &["completed", "failed"], Duration::from_secs(40));
    if state != "completed" {
        return Err(format!("the job is {state}"));
    }
    pause(3000);
    Ok(record.doubled())
}

/// A runner goes down and up twice within 2.4 s, and its time of day jumps back by as much in between.
fn clock(record: &Arc<Record>) -> Outcome {
    const BACK_MS: u64 = 2400;
    let rig = Rig::start(record, 3, 10, 300);
    ready(&rig)?;
    let filler = Job::new(
        0x900_0000_0000_0001,
        "urgent",
        "last",
        "\"count\":9,\"cpu\":30000,\"memMb\":8000,\"longRunning\":true",
    );
    if !rig.submit(&filler, 0) {
        return Err("the filler was not accepted".into());
    }
    pause(2000);
    let idle = rig.runners.iter().find(|r| r.running().is_empty());
    let runner = idle.ok_or("every runner has a task")?;
    runner.crash();
    pause(500);
    runner.begin_life();
    // The daemons have read the new entry by then.
    pause(700);
    let job = Job::new(
        0x900_0000_0000_0002,
        "urgent",
        "run 3000 0",
        "\"count\":1,\"cpu\":9000,\"memMb\":26000,\"estRuntimeMs\":3000",
    );
    if !rig.submit(&job, 0) {
        return Err("the job was not accepted".into());
    }
    let until = Instant::now() + Duration::from_secs(5);
    while runner.running().is_empty() {
        if Instant::now() > until {
            return Err("the task does not run".into());
        }
        pause(10);
    }
    pause(300);
    runner.crash();
    pause(150);
    runner.begin_life_with_clock(if rig.is_troubled() { BACK_MS } else { 0 });
    let state = rig.wait_state(&job, &["completed", "failed"], Duration::from_secs(40));
    match state.as_str() {
        "completed" => Ok(Vec::new()),
        other => Ok(vec![format!("LOST: the job is {other}, and nothing of it has run for 40 s")]),
    }
}

/// One start order of an owner is left unanswered. The owner is killed, the runner restarts, and the
/// order is carried out late.
fn owner(record: &Arc<Record>) -> Outcome {
    let mut rig = Rig::start(record, 3, 8, 300);
    ready(&rig)?;
    pause(2000);
    // The first job leaves no room for the second, beside which the third fits best. Both have ended when
    // the later owner places the third one, which it then does on the first runner.
    let single = |id: u64, queue, ms: u64, cpu: u64| {
        let step = format!("\"count\":1,\"cpu\":{cpu},\"memMb\":16000,\"estRuntimeMs\":{ms}");
        Job::new(0xc00_0000_0000_0000 + id, queue, &format!("run {ms} 0"), &step)
    };
    let (first, second) = (single(1, "urgent", 1300, 12_000), single(2, "urgent", 900, 21_000));
    let job = single(3, "batch", 10_000, 9000);
    // Further orders, so that the one without an answer is one of twenty-five.
    let step = "\"count\":20,\"cpu\":20,\"memMb\":16,\"estRuntimeMs\":300";
    let crowd = Job::new(0xc00_0000_0000_0004, "urgent", "run 300 0", step);
    for other in [&first, &second] {
        if !rig.submit(other, 0) {
            return Err("a job was not accepted".into());
        }
        pause(400);
    }
    let is_troubled = rig.is_troubled();
    rig.runners.iter().for_each(|r| r.keeps_starts.store(is_troubled, Ordering::Relaxed));
    if !rig.submit(&job, 0) {
        return Err("the job was not accepted".into());
    }
    let sent = Instant::now();
    let kept = loop {
        let kept = rig.runners.iter().find(|r| r.kept() > 0).map(Arc::clone);
        if kept.is_some() || !is_troubled {
            break kept;
        }
        if sent.elapsed() > Duration::from_secs(5) {
            return Err("no order was sent".into());
        }
        pause(1);
    };
    let killed = Instant::now();
    if is_troubled && !rig.kill_owner() {
        return Err("no daemon owns the shard".into());
    }
    rig.runners.iter().for_each(|r| r.keeps_starts.store(false, Ordering::Relaxed));
    if !rig.submit(&crowd, 0) {
        return Err("a job was not accepted".into());
    }
    if let Some(runner) = kept {
        let is_elsewhere = || {
            let events = record.events();
            events
                .iter()
                .any(|e| e.kind == Kind::Began && job.has(&e.task) && e.runner != runner.id)
        };
        while !is_elsewhere() {
            if killed.elapsed() > Duration::from_secs(9) {
                return Err("the task does not run on another runner".into());
            }
            pause(10);
        }
        pause(2500_u64.saturating_sub(sent.elapsed().as_millis() as u64));
        runner.crash();
        pause(500);
        runner.begin_life();
        runner.carry_out_late();
        pause(3500_u64.saturating_sub(killed.elapsed().as_millis() as u64));
        rig.start_daemons();
    }
    let state = rig.wait_state(&job, &["completed", "failed"], Duration::from_secs(40));
    if state != "completed" {
        return Err(format!("the job is {state}"));
    }
    pause(1000);
    Ok(record.doubled())
}

/// The machine whose daemon owns the shard loses power again and again. Afterwards a job must run.
fn connections(record: &Arc<Record>) -> Outcome {
    const LOSSES: u64 = 10;
    const DARK_MS: u64 = 3500;
    const FINISH_MS: u64 = 14_000;
    const TASK_CPU: usize = 2000;
    const FLEET_CPU: usize = 8 * 32_000;
    let mut rig = Rig::start(record, 3, 8, 300);
    ready(&rig)?;
    let mut next = 0xd00_0000_0000_0001;
    for _ in 0..LOSSES {
        for i in 0..16 {
            let step = "\"count\":8,\"cpu\":2000,\"memMb\":7200,\"estRuntimeMs\":1000";
            rig.submit(&Job::new(next, "batch", "run 1000 0", step), i);
            next += 1;
        }
        pause(1500);
        if rig.is_troubled() {
            rig.runners.iter().for_each(|r| r.note_power_loss());
            rig.kill_owner();
        }
        pause(DARK_MS);
        rig.start_daemons();
        let open: Vec<usize> = rig.runners.iter().map(|r| r.connections()).collect();
        record.line(&format!("connections of the runners: {open:?}"));
    }
    ready(&rig)?;
    // The last disruption is over for longer than `contactMs`.
    pause(5000);
    let step = "\"count\":8,\"cpu\":2000,\"memMb\":7200,\"estRuntimeMs\":1000";
    let job = Job::new(next, "urgent", "run 1000 0", step);
    if !rig.submit(&job, 0) {
        return Err("the last job was not accepted".into());
    }
    // `finish_s` after the end of the traffic, and the 3 s of the rule.
    pause(FINISH_MS);
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let running: Vec<String> = rig.runners.iter().flat_map(|r| r.running()).collect();
        let has_room = running.len() * TASK_CPU * 2 < FLEET_CPU;
        if running.iter().any(|task| job.has(task)) || !has_room {
            return Ok(Vec::new());
        }
        pause(50);
    }
    let open: Vec<usize> = rig.runners.iter().map(|r| r.connections()).collect();
    record.line(&format!("connections of the runners: {open:?}"));
    match rig.state(&job, 0).as_str() {
        "completed" => Ok(Vec::new()),
        state => Ok(vec![format!(
            "LOST: from 14 s to 17 s after the end of the traffic the last job is {state} and nothing of it runs, while under half of the room is in use"
        )]),
    }
}
