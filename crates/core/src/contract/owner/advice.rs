//! Advice: which workers an outside advisor allows to run a step, and for how long.
//!
//! The advisor answers one question at a time for each daemon that asks, and takes longer the more
//! workers are named. So questions are spread over the daemons by how long each is busy, slow ones
//! stay off one daemon, and only as many workers are named as the step is likely to need. Which
//! workers are allowed never changes for a step; only tickets expire.

use crate::clock::Millis;
use crate::contract::work::{Advised, Stage};
use crate::ledger::shard::Life;
use serde::{Deserialize, Serialize};

/// Most workers that one question may name; the advisor's limit.
pub const MAX_NAMED: usize = 100;
/// A question that takes longer counts as slow and stays off the first daemon.
const SLOW: Millis = Millis(150);
/// Time after which a question without answer is asked again, on top of the time that it takes.
const PATIENCE: Millis = Millis(700);
/// Pause after a question that failed.
const RETRY: Millis = Millis(60);
/// Time that a ticket and the order that carries it spend on their ways; three crossings between
/// regions and a margin.
const TICKET_TRAVEL: Millis = Millis(150);
/// Greatest time for which quick questions are lined up at one daemon: what is asked later can be
/// asked for what has room by then.
const MAX_AHEAD: Millis = Millis(200);
/// A daemon that brought no answer is not asked for so long.
const SILENT: Millis = Millis(800);
/// Weight of the newest answer in the share of workers that is allowed, in hundredths.
const SHARE_WEIGHT: u64 = 20;

/// A question to the advisor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question.
    pub number: u64,
    /// The daemon that asks.
    pub through: Box<str>,
    /// The step.
    pub stage: Stage,
    /// The workers.
    pub workers: Vec<Box<str>>,
    /// How long the daemon may wait for the answer.
    pub patience: Millis,
}

/// A worker that may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowed {
    /// The worker.
    pub worker: Box<str>,
    /// What shows that it may.
    pub ticket: Box<str>,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
struct File {
    /// Lives of workers that were asked about, sorted by worker.
    asked: Vec<Box<str>>,
    /// Workers that may run the step, sorted, with the newest ticket and its expiry.
    allowed: Vec<(Box<str>, Box<str>, Millis)>,
    /// Question in flight.
    open: Option<Open>,
    /// No question before.
    not_before: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    number: u64,
    until: Millis,
}

/// A daemon that can ask.
#[derive(Clone, Debug)]
struct Asker {
    name: Box<str>,
    busy_until: Millis,
    /// Questions in flight.
    open: usize,
}

/// The advisors' desk: all questions and answers.
#[derive(Debug, Default)]
pub struct Desk {
    /// Sorted by step.
    files: Vec<(Stage, File)>,
    askers: Vec<Asker>,
    /// Share of workers that is allowed, by queue, in thousandths; sorted.
    shares: Vec<(Box<str>, u64)>,
    questions: u64,
    /// Whether a question found no daemon free.
    is_full: bool,
    next_timeout: Option<Millis>,
}

/// A worker's standing for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nobody asked yet.
    Unknown,
    /// It may not run the step.
    Barred,
    /// It may, with this ticket until then.
    Allowed(Box<str>, Millis),
    /// It may, but the ticket has expired.
    Expired,
}

impl Desk {
    /// Takes in which daemons can ask, the own one first.
    pub fn set_askers(&mut self, names: &[Box<str>]) {
        let old = std::mem::take(&mut self.askers);
        let known = |name: &str| old.iter().find(|a| &*a.name == name).cloned();
        let fresh = |name: &str| Asker { name: name.into(), busy_until: Millis::ZERO, open: 0 };
        self.askers = names.iter().map(|n| known(n).unwrap_or_else(|| fresh(n))).collect();
    }

    /// Returns a worker's standing.
    ///
    /// `lead` is how long a start waits for its record.
    pub fn standing(&self, stage: &Stage, worker: &str, lead: Millis, now: Millis) -> Standing {
        let Some(file) = self.file(stage) else { return Standing::Unknown };
        if let Ok(i) = file.allowed.binary_search_by(|(w, ..)| (**w).cmp(worker)) {
            let (_, ticket, until) = &file.allowed[i];
            if now + lead + TICKET_TRAVEL < *until {
                return Standing::Allowed(ticket.clone(), *until);
            }
            return Standing::Expired;
        }
        match file.asked.binary_search_by(|w| (**w).cmp(worker)) {
            Ok(_) => Standing::Barred,
            Err(_) => Standing::Unknown,
        }
    }

    /// Returns whether a question about a step may be asked now.
    pub fn may_ask(&self, stage: &Stage, now: Millis) -> bool {
        !self.askers.is_empty()
            && self.file(stage).is_none_or(|f| f.open.is_none() && now >= f.not_before)
    }

    /// Returns the share of workers that a queue's steps are allowed, in thousandths.
    pub fn share(&self, queue: &str) -> u64 {
        let i = self.shares.binary_search_by(|(q, _)| (**q).cmp(queue));
        i.map_or(400, |i| self.shares[i].1.max(50))
    }

    /// Asks about workers.
    pub fn ask(
        &mut self,
        stage: Stage,
        advised: Advised,
        workers: Vec<Box<str>>,
        now: Millis,
    ) -> Option<Question> {
        let named = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        let takes =
            Millis((advised.answer_us + advised.worker_us.saturating_mul(named)) / 1000 + 1);
        let is_slow = takes > SLOW;
        let first = usize::from(is_slow && self.askers.len() > 1);
        let free = |a: &&mut Asker| {
            let ahead = a.busy_until.since(now);
            if is_slow { ahead == Millis::ZERO } else { ahead <= MAX_AHEAD }
        };
        let askers = self.askers.iter_mut().skip(first).filter(free);
        let Some(asker) = askers.min_by_key(|a| a.busy_until.max(now)) else {
            self.is_full = true;
            return None;
        };
        asker.busy_until = asker.busy_until.max(now) + takes;
        asker.open += 1;
        let patience = asker.busy_until.since(now) + PATIENCE;
        let through = asker.name.clone();
        self.questions += 1;
        let number = self.questions;
        let until = now + patience;
        self.next_timeout = Some(self.next_timeout.map_or(until, |t| t.min(until)));
        self.file_mut(stage).open = Some(Open { number, until });
        Some(Question { number, through, stage, workers, patience })
    }

    /// Takes an answer in, `None` when there was none.
    pub fn answered(
        &mut self,
        question: &Question,
        queue: &str,
        valid: Millis,
        answer: Option<&[Allowed]>,
        now: Millis,
    ) {
        if let Some(asker) = self.askers.iter_mut().find(|a| a.name == question.through) {
            asker.open = asker.open.saturating_sub(1);
            if answer.is_none() {
                asker.busy_until = asker.busy_until.max(now + SILENT);
            } else if asker.open == 0 {
                asker.busy_until = now;
            }
        }
        let is_open = |f: &File| f.open.is_some_and(|o| o.number == question.number);
        let Ok(i) = self.files.binary_search_by(|(s, _)| s.cmp(&question.stage)) else { return };
        let file = &mut self.files[i].1;
        if !is_open(file) {
            return;
        }
        file.open = None;
        let Some(answer) = answer else {
            file.not_before = now + RETRY;
            return;
        };
        let mut fresh = 0;
        for worker in &question.workers {
            if let Err(i) = file.asked.binary_search(worker) {
                file.asked.insert(i, worker.clone());
                fresh += 1;
            }
        }
        let mut gained = 0;
        for Allowed { worker, ticket } in answer {
            let entry = (worker.clone(), ticket.clone(), now + valid);
            match file.allowed.binary_search_by(|(w, ..)| w.cmp(worker)) {
                Ok(i) => file.allowed[i] = entry,
                Err(i) => {
                    file.allowed.insert(i, entry);
                    gained += 1;
                }
            }
        }
        if let Some(share) = (gained * 1000_u64).checked_div(fresh) {
            self.learn(queue, share);
        }
    }

    /// Returns whether a question has waited too long, or found no daemon free.
    pub fn is_due(&self, now: Millis) -> bool {
        self.is_full || self.next_timeout.is_some_and(|t| now >= t)
    }

    /// Gives up questions that have waited too long.
    pub fn expire(&mut self, now: Millis) {
        self.is_full = false;
        if self.next_timeout.is_none_or(|t| now < t) {
            return;
        }
        for (_, file) in &mut self.files {
            if file.open.is_some_and(|o| now >= o.until) {
                file.open = None;
            }
        }
        self.next_timeout = self.files.iter().filter_map(|(_, f)| f.open.map(|o| o.until)).min();
    }

    /// Forgets steps that are not open any more; `open` is sorted.
    pub fn forget_closed(&mut self, open: &[Stage]) {
        self.files.retain(|(stage, _)| open.binary_search(stage).is_ok());
    }

    /// Sets the ticket of one worker, as an answer that named only it would.
    #[cfg(test)]
    pub(super) fn renew(&mut self, question: &Question, allowed: &Allowed, until: Millis) {
        let file = self.file_mut(question.stage);
        file.allowed.retain(|(w, ..)| *w != allowed.worker);
        let at = file.allowed.partition_point(|(w, ..)| *w < allowed.worker);
        file.allowed.insert(at, (allowed.worker.clone(), allowed.ticket.clone(), until));
    }

    fn learn(&mut self, queue: &str, share: u64) {
        match self.shares.binary_search_by(|(q, _)| (**q).cmp(queue)) {
            Ok(i) => {
                let old = self.shares[i].1;
                self.shares[i].1 = (old * (100 - SHARE_WEIGHT) + share * SHARE_WEIGHT) / 100;
            }
            Err(i) => self.shares.insert(i, (queue.into(), share)),
        }
    }

    fn file(&self, stage: &Stage) -> Option<&File> {
        let i = self.files.binary_search_by(|(s, _)| s.cmp(stage)).ok()?;
        Some(&self.files[i].1)
    }

    fn file_mut(&mut self, stage: Stage) -> &mut File {
        let i = match self.files.binary_search_by(|(s, _)| s.cmp(&stage)) {
            Ok(i) => i,
            Err(i) => {
                self.files.insert(i, (stage, File::default()));
                i
            }
        };
        &mut self.files[i].1
    }
}

impl super::Owner {
    /// Takes in what the advisor answered, `None` when there was no answer.
    pub fn advised(
        &mut self,
        question: &Question,
        answer: Option<&[Allowed]>,
        book: &crate::ledger::shard::book::Book,
        now: Millis,
    ) {
        let Some(state) = book.job(question.stage.job) else { return };
        let policy = &state.job.policy;
        let valid = policy.advised.map_or(Millis::ZERO, |a| a.valid_ms);
        self.desk.answered(question, &policy.queue, valid, answer, now);
        self.is_dirty = true;
    }

    /// Forgets what was asked about a worker's earlier life: tickets name a life.
    pub(super) fn forget_tickets(&mut self, life: &Life) {
        for (_, file) in &mut self.desk.files {
            if let Ok(i) = file.allowed.binary_search_by(|(w, ..)| w.cmp(&life.worker)) {
                file.allowed[i].2 = Millis::ZERO;
            }
        }
    }
}
