//! Queries of entry instances, and the replayed records that answer them.

use super::{Query, Steward, StewardReply, Ticket};
use crate::clock::Millis;
use crate::contract::job::{self, Job};
use crate::contract::request::{self, Answer, Reason, Request};
use crate::contract::status::{self, Refusal};
use crate::contract::task;
use crate::finding::List;
use crate::ledger::Verdict;
use crate::ledger::record::{Change, Record, Register};
use crate::ledger::replica::Key;
use crate::name::Name;
use crate::zone::stewardship;

/// Retry time in a refusal that the planner did not make.
const RETRY_AFTER: Millis = Millis::from_secs(2);

/// Returns the hash of a request's team, service and body. A second submission of a key with
/// another hash is refused as a mismatch.
pub fn digest(request: &Request) -> u64 {
    stewardship::hash(&[request.team.as_str(), request.service.as_str(), &request.body])
}

impl Steward {
    /// Handles a query. It is answered by an [`Effect::Answer`](super::Effect::Answer), immediately or
    /// when a record has been replayed.
    pub fn ask(&mut self, ticket: Ticket, ask: Query, now: Millis) {
        let Some(i) = self.partition_of(ask.team()) else {
            self.tell(ticket, StewardReply::Elsewhere);
            return;
        };
        match ask {
            Query::Submit(job) => self.submit(i, ticket, job, now),
            Query::Status { job, .. } => {
                let told = self.job(i, &job).map_or(StewardReply::Nothing, StewardReply::Job);
                self.tell(ticket, told);
            }
            Query::Cancel { job, .. } => self.cancel(i, ticket, &job, now),
            Query::Answered { request, .. } => {
                let key = self.partitions[i].replica.key(request.as_str());
                let told = key
                    .map_or(StewardReply::Nothing, |key| StewardReply::Answer(known_answer(key)));
                self.tell(ticket, told);
            }
            Query::Claim { request, sender } => self.claim(i, ticket, &request, sender, now),
            Query::Settle { request, answer, .. } => self.settle(i, ticket, request, answer, now),
            Query::Release { task, attempt, operator, .. } => {
                self.release(i, ticket, task, attempt, operator, now);
            }
        }
    }

    fn job(&self, i: usize, id: &job::Id) -> Option<status::Job> {
        self.partitions[i].replica.job(id.as_str()).map(status::Job::from)
    }

    fn submit(&mut self, i: usize, ticket: Ticket, job: Job, now: Millis) {
        if let Some(entry) = self.partitions[i].replica.job(job.id.as_str()) {
            let told = same_job(entry.job == job, entry.into());
            self.tell(ticket, told);
            return;
        }
        let register = Register::Job(job.id.clone());
        if let Err(refusal) = self.check_open(i, &register) {
            self.tell(ticket, StewardReply::Refused(refusal));
            return;
        }
        let mut findings = List::new();
        let kind = self.configuration.kind(job.kind.as_str()).cloned();
        if kind.is_none() {
            findings.note("kind", format!("kind {} is not configured", job.kind));
        }
        if self.configuration.team(job.team.as_str()).is_none() {
            findings.note("team", format!("team {} is not configured", job.team));
        }
        let Some(kind) = kind.filter(|_| findings.is_empty()) else {
            self.tell(ticket, StewardReply::Refused(Refusal::invalid(&findings)));
            return;
        };
        if let Err(refusal) = self.planner.admit(&job, &kind, &self.configuration, now) {
            self.tell(ticket, StewardReply::Refused(refusal));
            return;
        }
        let partition = self.partitions[i].index;
        self.append(partition, register, 0, Change::Submit { job, kind }, Some(ticket), now);
    }

    /// Checks whether new work under this id can be accepted.
    fn check_open(&self, i: usize, register: &Register) -> Result<(), Refusal> {
        if self.partitions[i].replica.is_expired(register) {
            return Err(Refusal::not_run(Reason::Expired, Millis::ZERO));
        }
        self.open.clone().map_err(|reason| Refusal::not_run(reason, RETRY_AFTER))
    }

    fn cancel(&mut self, i: usize, ticket: Ticket, id: &job::Id, now: Millis) {
        let Some(entry) = self.partitions[i].replica.job(id.as_str()) else {
            self.tell(ticket, StewardReply::Nothing);
            return;
        };
        let status = status::Job::from(entry);
        if entry.cancelled || status.ended {
            self.tell(ticket, StewardReply::Job(status));
            return;
        }
        let (expect, partition) = (entry.version, self.partitions[i].index);
        let register = Register::Job(id.clone());
        self.append(partition, register, expect, Change::Cancel, Some(ticket), now);
    }

    fn claim(&mut self, i: usize, ticket: Ticket, request: &Request, sender: u64, now: Millis) {
        let digest = digest(request);
        if let Some(key) = self.partitions[i].replica.key(request.id.as_str()) {
            let told = same_request(key, digest, sender);
            self.tell(ticket, told);
            return;
        }
        let register = Register::Key(request.id.clone());
        if let Err(refusal) = self.check_open(i, &register) {
            self.tell(ticket, StewardReply::Refused(refusal));
            return;
        }
        let partition = self.partitions[i].index;
        self.append(partition, register, 0, Change::Claim { digest, sender }, Some(ticket), now);
    }

    fn settle(
        &mut self,
        i: usize,
        ticket: Ticket,
        request: request::Id,
        answer: Answer,
        now: Millis,
    ) {
        let Some(key) = self.partitions[i].replica.key(request.as_str()) else {
            self.tell(ticket, StewardReply::Nothing);
            return;
        };
        if key.answer.is_some() {
            self.tell(ticket, StewardReply::Settled);
            return;
        }
        let (expect, partition) = (key.version, self.partitions[i].index);
        let change = Change::Answer(answer);
        self.append(partition, Register::Key(request), expect, change, Some(ticket), now);
    }

    fn release(
        &mut self,
        i: usize,
        ticket: Ticket,
        task: task::Id,
        attempt: task::Attempt,
        operator: Name,
        now: Millis,
    ) {
        let Some(found) = self.partitions[i].replica.task(&task) else {
            self.tell(ticket, StewardReply::Nothing);
            return;
        };
        if found.placement().is_none() || found.attempt != attempt {
            let message = format!("attempt {attempt} of {task} is not placed");
            let refusal = Refusal::invalid(&List::one("attempt", message));
            self.tell(ticket, StewardReply::Refused(refusal));
            return;
        }
        let (expect, partition) = (found.version, self.partitions[i].index);
        let change = Change::Release { operator, attempt };
        self.append(partition, Register::Task(task), expect, change, Some(ticket), now);
    }

    /// Handles the verdict on a record of this instance, and answers the query that waits for it.
    pub(super) fn settle_pending(
        &mut self,
        i: usize,
        record: &Record,
        verdict: Verdict,
        now: Millis,
    ) {
        let Ok(found) = self.pending.binary_search_by(|p| p.id.cmp(&record.id)) else {
            return;
        };
        let pending = self.pending.remove(found);
        if let (Register::Task(task), Change::Attempt { .. }) = (&record.register, &record.change)
            && verdict != Verdict::Accepted
        {
            self.overtaken(i, task, now);
        }
        if let Some(ticket) = pending.ticket {
            let told = self.answer_to(i, record, verdict);
            self.tell(ticket, told);
        }
    }

    /// Returns the answer to the query that appended a record, given the record's verdict.
    fn answer_to(&self, i: usize, record: &Record, verdict: Verdict) -> StewardReply {
        let replica = &self.partitions[i].replica;
        let accepted = verdict == Verdict::Accepted;
        match (&record.register, &record.change) {
            (Register::Job(id), Change::Submit { job, .. }) => replica
                .job(id.as_str())
                .map_or_else(expired, |entry| same_job(entry.job == *job, entry.into())),
            (Register::Job(id), _) => {
                self.job(i, id).map_or(StewardReply::Nothing, StewardReply::Job)
            }
            (Register::Key(_), Change::Claim { .. }) if accepted => StewardReply::Claimed,
            (Register::Key(id), Change::Claim { digest, sender }) => {
                let key = replica.key(id.as_str());
                key.map_or_else(expired, |key| same_request(key, *digest, *sender))
            }
            (Register::Key(_), _) => StewardReply::Settled,
            _ if accepted => StewardReply::Settled,
            _ => StewardReply::Refused(Refusal::invalid(&List::one(
                "task",
                "has been changed by another record in the meantime",
            ))),
        }
    }
}

fn expired() -> StewardReply {
    StewardReply::Refused(Refusal::not_run(Reason::Expired, Millis::ZERO))
}

fn same_job(same: bool, status: status::Job) -> StewardReply {
    if same {
        StewardReply::Job(status)
    } else {
        StewardReply::Refused(Refusal::not_run(Reason::Mismatch, Millis::ZERO))
    }
}

/// Returns the answer to the submission of a request whose key is already claimed. The claimant
/// itself may claim again because the answer to its claim was lost. It has not forwarded the
/// request then, so it is safe to confirm the claim again.
fn same_request(key: &Key, digest: u64, sender: u64) -> StewardReply {
    if key.digest != digest {
        StewardReply::Refused(Refusal::not_run(Reason::Mismatch, Millis::ZERO))
    } else if key.sender == sender && key.answer.is_none() {
        StewardReply::Claimed
    } else {
        StewardReply::Answer(known_answer(key))
    }
}

/// Returns the recorded answer to a claimed request, or that it may have run.
fn known_answer(key: &Key) -> Answer {
    key.answer.clone().unwrap_or_else(|| Answer::Unknown { request: key.request.clone() })
}
