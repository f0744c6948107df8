//! A fleet of workers and the advisor in simulated time.

use super::*;
use crate::contract::work::StepId;
use crate::name::Name;

/// Time between two steps of the simulation.
const TICK: Millis = Millis(20);
/// Time between a call and its answer, apart from the time that the callee takes.
const TRANSIT: Millis = Millis(20);
/// The same in addition for a daemon in another region.
const FAR_TRANSIT: Millis = Millis(30);

/// Size of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Site {
    pub(super) workers: usize,
    /// Number of daemons.
    pub(super) relays: usize,
    /// Number of daemons in the region of the owner and the advisor.
    pub(super) near: usize,
    /// Percentage of the workers that the advisor allows to run a job's steps.
    pub(super) allowed_percent: fn(Id) -> u64,
}

/// A run that a simulated worker executes.
struct Execution {
    run: Run,
    began: Millis,
    ends_at: Millis,
    outcome: Outcome,
}

/// A simulated worker.
struct Worker {
    name: Box<str>,
    executions: Vec<Execution>,
    /// Number of the last end.
    last_end: u64,
    /// Time that its runs take, in thousandths of that on a usual worker.
    slowness: u64,
    /// Share of its runs that fail, in percent.
    failing: u64,
}

/// A shard in simulated time. The simulated advisor allows a part of the workers and serves one
/// query at a time for each daemon; the simulated workers run each task for its estimated time, apart from
/// their slowness and the error of the estimate.
pub(super) struct Fleet {
    site: Site,
    list: Vec<WorkerEntry>,
    pub(super) now: Millis,
    pub(super) replica: Replica,
    pub(super) owner: Owner,
    unrecorded: Vec<Entry>,
    /// Queries in flight, with the times of their answers.
    pub(super) queries: Vec<(Millis, Query)>,
    /// Time by which the advisor has served the queries of each daemon.
    served_by: Vec<(Box<str>, Millis)>,
    orders: Vec<Start>,
    stops: Vec<Stop>,
    /// Sorted by name.
    workers: Vec<Worker>,
    polls: Vec<Poll>,
    /// Steps that have started, each with the time of its first start.
    started: Vec<(StepId, Millis)>,
    /// All starts, each with its worker and time.
    pub(super) placed: Vec<(Run, Box<str>, Millis)>,
    /// Greatest error of an estimate, in thousandths.
    pub(super) error: u64,
    /// Number of queries by job.
    asked: Vec<(Id, usize)>,
    /// When the next owner takes the shard over, if it has none.
    owned_from: Option<Millis>,
}

impl Fleet {
    pub(super) fn new(site: Site) -> Self {
        let now = Millis(1_000_000);
        let replica = Replica::default();
        let entry = |i: usize| WorkerEntry {
            capacity: Capacity::new(32_000, 131_072, 0),
            ..worker_entry(&format!("worker-{i:03}"), 1)
        };
        let list: Vec<WorkerEntry> = (0..site.workers).map(entry).collect();
        let owner = new_owner(&site, &list, &replica, now);
        let worker = |e: &WorkerEntry| Worker {
            name: e.incarnation.worker.clone(),
            executions: Vec::new(),
            last_end: 0,
            slowness: 1000,
            failing: 0,
        };
        let workers = list.iter().map(worker).collect();
        let served_by = relays(&site).into_iter().map(|name| (name, now)).collect();
        let mut fleet = Self {
            site,
            list,
            now,
            replica,
            owner,
            unrecorded: Vec::new(),
            queries: Vec::new(),
            served_by,
            orders: Vec::new(),
            stops: Vec::new(),
            workers,
            polls: Vec::new(),
            started: Vec::new(),
            placed: Vec::new(),
            error: 0,
            asked: Vec::new(),
            owned_from: None,
        };
        fleet.pass(Millis(100));
        fleet
    }

    /// Loses the owner with its calls in flight. Another one takes over after `silence`.
    pub(super) fn lose_owner(&mut self, silence: Millis) {
        for entry in std::mem::take(&mut self.unrecorded) {
            self.replica.apply(entry, self.now);
        }
        self.orders.clear();
        self.stops.clear();
        self.polls.clear();
        self.queries.clear();
        self.owned_from = Some(self.now + silence);
    }

    /// Returns whether the shard has an owner, after a successor took over if it is time.
    fn is_owned(&mut self) -> bool {
        match self.owned_from {
            Some(at) if self.now < at => return false,
            Some(_) => {
                self.owner = new_owner(&self.site, &self.list, &self.replica, self.now);
                self.owned_from = None;
            }
            None => {}
        }
        true
    }

    pub(super) fn submit(&mut self, job: Job) {
        let change = self.replica.apply(Entry::Submitted(Box::new(job)), self.now);
        self.owner.entry_applied(change, self.now);
    }

    pub(super) fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    pub(super) fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        if !self.is_owned() {
            return;
        }
        for entry in std::mem::take(&mut self.unrecorded) {
            let change = self.replica.apply(entry.clone(), now);
            self.owner.entry_recorded(&entry, &self.replica, now);
            self.owner.entry_applied(change, now);
        }
        self.answer_starts();
        self.answer_stops();
        self.answer_polls();
        self.answer_queries();
        self.owner.tick(&self.replica, now, now);
        self.owner.schedule(&self.replica, now, Millis::ZERO);
        self.collect();
    }

    fn collect(&mut self) {
        for effect in self.owner.effects() {
            match effect {
                Effect::Record(entry) => self.unrecorded.push(entry),
                Effect::Order(Order::Start(start)) => self.orders.push(*start),
                Effect::Order(Order::Stop(stop)) => self.stops.push(stop),
                Effect::Order(Order::Poll(poll)) => self.polls.push(poll),
                Effect::QueryAdvisor(query) => self.serve(query),
                Effect::Moved(..) | Effect::Notice(_) => {}
            }
        }
    }

    /// Queues a query behind the earlier ones of the same daemon.
    fn serve(&mut self, query: Query) {
        let named = u64::try_from(query.workers.len()).unwrap();
        let Some(state) = self.replica.job(query.step_id.job) else { return };
        let timing = state.job.policy.advisor_timing.unwrap();
        let takes = (timing.answer_us + timing.worker_us * named) / 1000;
        let i = self.served_by.iter().position(|(name, _)| *name == query.through).unwrap();
        let transit = if i < self.site.near { TRANSIT } else { TRANSIT + FAR_TRANSIT };
        let daemon = &mut self.served_by[i];
        daemon.1 = daemon.1.max(self.now + transit) + Millis(takes);
        let answered = daemon.1 + transit;
        match self.asked.iter_mut().find(|(job, _)| *job == query.step_id.job) {
            Some((_, count)) => *count += 1,
            None => self.asked.push((query.step_id.job, 1)),
        }
        self.queries.push((answered, query));
    }

    fn answer_queries(&mut self) {
        let now = self.now;
        let due = |(at, _): &mut (Millis, Query)| *at <= now;
        for (_, query) in self.queries.extract_if(.., due) {
            let ticket = |worker: &str| Allowed { worker: worker.into(), ticket: "ticket".into() };
            let percent = (self.site.allowed_percent)(query.step_id.job);
            let allowed = query.workers.iter().filter(|w| is_allowed(&query.step_id, w, percent));
            let answer: Vec<Allowed> = allowed.map(|w| ticket(w)).collect();
            self.owner.advisor_answered(&query, Some(&answer), &self.replica, now);
        }
    }

    fn answer_starts(&mut self) {
        for start in std::mem::take(&mut self.orders) {
            let step_id = start.run.task.step_id;
            if !self.started.iter().any(|(s, _)| *s == step_id) {
                self.started.push((step_id, self.now));
            }
            let step = &start.job.steps[usize::from(step_id.step)];
            self.placed.push((start.run, start.on.worker.clone(), self.now));
            let (run, began) = (start.run, self.now);
            let estimate = step.estimate_ms.get() * rough(&run, self.error) / 1000;
            let worker = self.worker(&start.on.worker);
            let fails = mix(run.task.step_id.job.0, run.number) % 100 < worker.failing;
            let takes = if fails { estimate / 4 } else { estimate * worker.slowness / 1000 };
            let outcome = if fails { Outcome::Failed } else { Outcome::Done };
            let ends_at = began + Millis(takes);
            worker.executions.push(Execution { run, began, ends_at, outcome });
            let clock = Some(self.now.get());
            let answer = StartAnswer::Taken;
            self.owner.start_answered(
                &start.on,
                &start.run,
                answer,
                clock,
                &self.replica,
                self.now,
            );
        }
    }

    fn answer_stops(&mut self) {
        for Stop { on, run, .. } in std::mem::take(&mut self.stops) {
            let now = self.now;
            let running = |e: &&mut Execution| e.run == run && e.ends_at > now;
            for execution in self.worker(&on.worker).executions.iter_mut().filter(running) {
                (execution.ends_at, execution.outcome) = (now, Outcome::Stopped);
            }
            let (answer, clock) = (StopAnswer::Taken, Some(self.now.get()));
            self.owner.stop_answered(&on, &run, answer, clock, &self.replica, self.now);
        }
    }

    fn answer_polls(&mut self) {
        for poll in std::mem::take(&mut self.polls) {
            let now = self.now;
            let mut report =
                Report { born: Some(poll.on.born), clock: now.get(), ..Report::default() };
            let worker = self.worker(&poll.on.worker);
            for ended in worker.executions.extract_if(.., |e| e.ends_at <= now) {
                worker.last_end += 1;
                let (run, number, outcome) = (ended.run, worker.last_end, ended.outcome);
                report.ends.push(End { run, number, outcome, saved: "".into() });
            }
            let running = worker.executions.iter();
            report.running = running.map(|e| e.progress(now)).collect();
            self.owner.poll_answered(&poll.on, poll.number, Ok(&report), &self.replica, self.now);
        }
    }

    /// Sets the slowness of a worker, in thousandths, for the runs that it starts from now on.
    pub(super) fn set_slowness(&mut self, worker: usize, slowness: u64) {
        self.workers[worker].slowness = slowness;
    }

    /// Sets which share of the runs that a worker starts from now on fail, in percent.
    pub(super) fn set_failing(&mut self, worker: usize, percent: u64) {
        self.workers[worker].failing = percent;
    }

    fn worker(&mut self, name: &str) -> &mut Worker {
        let i = self.workers.binary_search_by(|w| (*w.name).cmp(name)).unwrap();
        &mut self.workers[i]
    }

    /// Returns how long the first step of a job has waited for its start.
    pub(super) fn waited(&self, job: u64) -> Option<Millis> {
        let seen = self.replica.job(Id(job))?.seen;
        let started = self.started.iter().find(|(s, _)| s.job == Id(job) && s.step == 0);
        started.map(|(_, at)| at.since(seen))
    }

    /// Returns the needs of the runs that workers execute for a team.
    pub(super) fn used(&self, team: &Name) -> Capacity {
        let running = self.workers.iter().flat_map(|w| &w.executions);
        let needs = running.filter(|e| e.ends_at > self.now).filter_map(|e| {
            let StepId { job, step, .. } = e.run.task.step_id;
            let job = &self.replica.job(job)?.job;
            (job.policy.team.as_ref() == Some(team)).then(|| job.steps[usize::from(step)].needs)
        });
        needs.fold(Capacity::ZERO, |sum, needs| sum.plus(&needs))
    }

    /// Returns the number of queries about the steps of the jobs.
    pub(super) fn queries_sent(&self, jobs: std::ops::RangeInclusive<u64>) -> usize {
        self.asked.iter().filter(|(id, _)| jobs.contains(&id.0)).map(|(_, count)| count).sum()
    }

    /// Returns the jobs that have not started.
    pub(super) fn waiting(&self, jobs: impl Iterator<Item = u64>) -> Vec<u64> {
        jobs.filter(|job| self.waited(*job).is_none()).collect()
    }
}

impl Execution {
    fn progress(&self, now: Millis) -> Progress {
        let whole = self.ends_at.since(self.began).get().max(1);
        Progress {
            run: self.run,
            percent: (now.since(self.began).get() * 100 / whole).clamp(1, 99),
        }
    }
}

/// Returns the time that a run takes in thousandths of its estimate, which is wrong by `error` at most.
/// Two thirds of the error are that of the job, and one is the task's own. Neither changes from run to run.
fn rough(run: &Run, error: u64) -> u64 {
    let job = run.task.step_id.job.0;
    let of = |number, error| mix(job, number) % (2 * error + 1);
    1000 - error + of(u32::MAX, error * 2 / 3) + of(run.task.index, error / 3)
}

const fn mix(job: u64, number: u32) -> u64 {
    let seed = job ^ ((number as u64) << 48);
    let hash = (seed ^ (seed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}

fn relays(site: &Site) -> Vec<Box<str>> {
    (0..site.relays).map(|i| format!("node-{i}").into()).collect()
}

fn new_owner(site: &Site, list: &[WorkerEntry], replica: &Replica, now: Millis) -> Owner {
    let mut owner = Owner::new(LIMITS, replica, now);
    owner.queries_mut().set_relays(&relays(site));
    owner.update_workers(list, replica, now);
    owner
}

/// Returns whether the simulated advisor allows a worker to run a step.
fn is_allowed(step_id: &StepId, worker: &str, percent: u64) -> bool {
    let seed = step_id.job.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(step_id.step);
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = worker.bytes().fold(seed, mix);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33 & 0xffff
        < percent * 0x1_0000 / 100
}
