//! Workers and runners whose answers are noted in the time line.
//!
//! What a worker or a runner says is noted before whoever asked acts on it, so that an end stands
//! before whatever it made possible.

#[cfg(test)]
mod tests;

use super::{Failure, Runner, Worker};
use crate::telemetry::Telemetry;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::worker::{Action, Ended, Epoch, Inventory, Order, Reply, Start};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::runner::{Call, Done, Slots};
use pimentovalve_wire::worker::{Adopt, Adopted, Beat, Heartbeat, Orders, Replies};
use std::sync::{Arc, Mutex, PoisonError};

/// Access to machines, with notes of what they answer.
pub struct Observed<M: ?Sized> {
    telemetry: Telemetry,
    /// What was noted of each worker. Sorted by address.
    books: Mutex<Vec<Book>>,
    machine: Arc<M>,
}

/// What was noted of one worker.
#[derive(Debug)]
struct Book {
    address: String,
    worker: Name,
    epoch: Epoch,
    /// Attempts that run. Sorted.
    running: Vec<(task::Id, task::Attempt)>,
    /// Sequence of the last ended attempt.
    ended: u64,
}

impl<M: ?Sized> Observed<M> {
    /// Returns access through `machine`.
    pub const fn new(machine: Arc<M>, telemetry: Telemetry) -> Self {
        Self { telemetry, books: Mutex::new(Vec::new()), machine }
    }

    /// Notes what a change of a worker's book makes known. Unknown workers are left out: one is
    /// known from its adoption on.
    fn with_book(&self, address: &str, change: impl FnOnce(&mut Book) -> Vec<What>) {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = books.binary_search_by(|b| b.address.as_str().cmp(address)) {
            for what in change(&mut books[i]) {
                self.telemetry.note(what);
            }
        }
    }

    fn adopted(&self, address: &str, inventory: &Inventory) {
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let worker = inventory.worker.name.clone();
        let epoch = inventory.epoch;
        match books.binary_search_by(|b| b.address.as_str().cmp(address)) {
            Ok(i) if books[i].worker == worker => books[i].epoch = epoch,
            Ok(i) => books[i] = Book::new(address, worker.clone(), epoch),
            Err(i) => books.insert(i, Book::new(address, worker.clone(), epoch)),
        }
        drop(books);
        let capacity = inventory.worker.capacity;
        self.telemetry.note(What::WorkerAdopted { worker, epoch, capacity });
        self.with_book(address, |book| {
            let mut changes = book.ended(&inventory.ended);
            changes.extend(book.running(inventory));
            changes
        });
    }
}

impl Book {
    fn new(address: &str, worker: Name, epoch: Epoch) -> Self {
        Self { address: address.into(), worker, epoch, running: Vec::new(), ended: 0 }
    }

    /// Takes in ended attempts, of which some may be known already.
    fn ended(&mut self, ended: &[Ended]) -> Vec<What> {
        let mut changes = Vec::new();
        for ended in ended.iter().filter(|ended| ended.sequence > self.ended) {
            let key = (ended.task.clone(), ended.attempt);
            if let Ok(i) = self.running.binary_search(&key) {
                self.running.remove(i);
            }
            changes.push(What::AttemptEnded {
                task: ended.task.clone(),
                attempt: ended.attempt,
                worker: self.worker.clone(),
                outcome: (&ended.ending).into(),
                ran_ms: ended.ran_ms,
            });
        }
        let last = ended.iter().map(|ended| ended.sequence).max();
        self.ended = self.ended.max(last.unwrap_or_default());
        changes
    }

    /// Takes in the running attempts of an inventory. Those that it lacks are gone.
    fn running(&mut self, inventory: &Inventory) -> Vec<What> {
        let mut changes = Vec::new();
        let mut running = Vec::new();
        for holding in &inventory.running {
            let key = (holding.task.clone(), holding.attempt);
            if self.running.binary_search(&key).is_err() {
                changes.push(What::AttemptStarted {
                    task: holding.task.clone(),
                    attempt: holding.attempt,
                    worker: self.worker.clone(),
                    needs: holding.needs,
                });
            }
            running.push(key);
        }
        running.sort();
        self.running = running;
        changes
    }

    /// Takes in the answer to an order.
    fn replied(&mut self, order: &Order, start: &Start, reply: &Reply) -> Option<What> {
        let (task, attempt, worker) = (order.task.clone(), order.attempt, self.worker.clone());
        match reply {
            Reply::Refused(refusal) => {
                Some(What::OrderRefused { task, attempt, worker, refusal: *refusal })
            }
            Reply::Done => {
                let key = (task.clone(), attempt);
                let gap = self.running.binary_search(&key).err()?;
                self.running.insert(gap, key);
                Some(What::AttemptStarted { task, attempt, worker, needs: start.needs })
            }
        }
    }
}

/// Returns the start orders among orders.
fn starts(orders: &[Order]) -> impl Iterator<Item = (usize, &Order, &Start)> {
    orders.iter().enumerate().filter_map(|(i, order)| match &order.action {
        Action::Start(start) => Some((i, order, start)),
        _ => None,
    })
}

impl<M: Worker + ?Sized> Worker for Observed<M> {
    fn adopt<'a>(
        &'a self,
        address: &'a str,
        adopt: Adopt,
    ) -> Pending<'a, Result<Adopted, Failure>> {
        Box::pin(async move {
            let adopted = self.machine.adopt(address, adopt).await;
            if let Ok(Adopted::Yes(inventory)) = &adopted {
                self.adopted(address, inventory);
            }
            adopted
        })
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        orders: Orders,
    ) -> Pending<'a, Result<Replies, Failure>> {
        Box::pin(async move {
            let sent = orders.clone();
            self.with_book(address, |book| {
                let worker = &book.worker;
                let sent = starts(&sent.orders).map(|(_, order, _)| What::OrderSent {
                    task: order.task.clone(),
                    attempt: order.attempt,
                    worker: worker.clone(),
                    epoch: sent.epoch,
                });
                sent.collect()
            });
            let replies = self.machine.order(address, orders).await;
            if let Ok(Replies { replies }) = &replies {
                self.with_book(address, |book| {
                    let answered = starts(&sent.orders)
                        .filter_map(|(i, order, start)| Some((order, start, replies.get(i)?)));
                    answered
                        .filter_map(|(order, start, reply)| book.replied(order, start, reply))
                        .collect()
                });
            }
            replies
        })
    }

    fn beat<'a>(
        &'a self,
        address: &'a str,
        heartbeat: Heartbeat,
    ) -> Pending<'a, Result<Beat, Failure>> {
        Box::pin(async move {
            let beat = self.machine.beat(address, heartbeat).await;
            if let Ok(beat) = &beat {
                self.with_book(address, |book| {
                    let mut changes = book.ended(&beat.ended);
                    if beat.epoch > book.epoch {
                        let (worker, epoch) = (book.worker.clone(), book.epoch);
                        book.epoch = beat.epoch;
                        changes.push(What::WorkerDeposed { worker, epoch });
                    }
                    if let Some(inventory) = &beat.inventory {
                        changes.extend(book.running(inventory));
                    }
                    changes
                });
            }
            beat
        })
    }
}

impl<M: Runner + ?Sized> Runner for Observed<M> {
    fn serve<'a>(
        &'a self,
        address: &'a str,
        call: Call,
        fresh: bool,
    ) -> Pending<'a, Result<Done, Failure>> {
        Box::pin(async move {
            let (request, attempt) = (call.request.clone(), call.attempt.clone());
            let done = self.machine.serve(address, call, fresh).await;
            match &done {
                Ok(done) => {
                    let (request, attempt) = (done.request.clone(), done.attempt.clone());
                    self.telemetry.note(What::RequestServed { request, attempt });
                }
                Err(Failure::Refused(_)) => {
                    self.telemetry.note(What::TryRefused { request, attempt });
                }
                Err(_) => {}
            }
            done
        })
    }

    fn slots<'a>(&'a self, address: &'a str) -> Pending<'a, Result<Slots, Failure>> {
        self.machine.slots(address)
    }

    fn forget(&self, address: &str) {
        self.machine.forget(address);
    }
}
