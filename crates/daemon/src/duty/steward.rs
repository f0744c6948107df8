//! The steward duty: carries out what the steward decides about its partitions.

use crate::duty::ledger::Command;
use crate::duty::{Duty, control};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::telemetry::Telemetry;
use crate::view::{self, Facts, Figures, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::status::Refusal;
use pimentovalve_core::contract::steward::{Ask, Effect, Landing, Steward, Ticket, Told};
use pimentovalve_core::ledger::book::Book;
use pimentovalve_core::ledger::record::{self, Record};
use pimentovalve_core::ledger::{Offset, Verdict};
use pimentovalve_core::machine::controller::{Grant, Wish};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::Role;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Grants, News, Standings, Tidings, Wishes};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Longest time for wishes to be answered.
const WISH_TIMEOUT: Millis = Millis::from_secs(2);
/// Time for which a failure is told to peers; at least two signs of life.
const NEWS_LIFE: Millis = Millis::from_secs(5);
/// Most failures that one sign of life tells.
const MAX_NEWS: usize = 16;
/// Most questions whose asker waits; more are refused.
const MAX_TICKETS: usize = 4096;
/// When to come back when too many wait.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// An event for the steward duty.
#[derive(Debug)]
pub enum Event {
    /// This instance becomes the steward of a partition.
    Take {
        /// The partition.
        index: u16,
        /// The best snapshot of it.
        book: Option<Book>,
    },
    /// Write a snapshot of a partition.
    Save {
        /// The partition.
        index: u16,
    },
    /// This instance is no longer the steward of a partition.
    GiveUp {
        /// The partition.
        index: u16,
    },
    /// Rows of a partition's stream.
    Rows {
        /// The partition.
        index: u16,
        /// The rows.
        rows: Vec<(Offset, Record)>,
        /// Whether they reach the end of the stream.
        at_end: bool,
    },
    /// How an append ended.
    Landed {
        /// The record.
        id: record::Id,
        /// How.
        landing: Landing,
    },
    /// A question of an entry instance.
    Ask {
        /// The question.
        ask: Ask,
        /// Where the answer goes.
        reply: Reply<Told>,
    },
    /// What a peer's policy tells.
    Hear {
        /// The peer.
        peer: Name,
        /// What it tells.
        tidings: Tidings,
    },
    /// A controller's report.
    Report {
        /// The report.
        report: Standings,
        /// Where the list of what is recorded goes.
        reply: Reply<Vec<(Name, u64)>>,
    },
}

/// What a controller answered, or that it could not be asked.
struct Granted {
    wishes: Vec<Wish>,
    grants: Vec<Grant>,
}

/// The steward duty.
pub struct Stewardship {
    /// Counts the bytes of calls to peers.
    pub traffic: Arc<Traffic>,
    /// The steward.
    pub steward: Steward,
    /// Longest age of the proof that the configuration is current.
    pub term: Millis,
    /// Key to show to peers, as `name:secret`.
    pub key: Option<String>,
    /// Events.
    pub events: Receiver<Event>,
    /// The control duty of this instance.
    pub control: Sender<control::Event>,
    /// The ledger duty.
    pub ledger: Sender<Command>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// The time line.
    pub telemetry: Telemetry,
    /// Where the measures go.
    pub figures: Publisher<Figures>,
}

struct State {
    duty: Stewardship,
    client: Arc<Client>,
    granted: Sender<Granted>,
    tickets: Vec<(Ticket, Reply<Told>)>,
    next_ticket: Ticket,
    /// Which instance reported each worker. Sorted by worker.
    reporters: Vec<(Name, Name)>,
    /// Failures of the last [`NEWS_LIFE`], with when they were seen.
    news: Vec<(Millis, News)>,
    /// Number of the last own failure. It starts with the time, to rise over restarts.
    last_news: u64,
    /// Number of the last failure that was heard of each peer. Sorted by peer.
    heard: Vec<(Name, u64)>,
}

impl Duty for Stewardship {
    fn name(&self) -> &'static str {
        "steward"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (granted, received) = ring::ring(256);
            let (mut members, mut facts) = (self.members.clone(), self.facts.clone());
            let events = self.events.clone();
            let duty = *self;
            let client = Arc::new(Client::counted(Arc::clone(&duty.traffic)));
            let mut state = State {
                duty,
                client,
                granted,
                tickets: Vec::new(),
                next_ticket: 0,
                reporters: Vec::new(),
                news: Vec::new(),
                last_news: view::now().get(),
                heard: Vec::new(),
            };
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(Granted { wishes, grants }) = received.next() => {
                        for (wish, grant) in wishes.iter().zip(grants) {
                            state.duty.steward.granted(wish, grant, view::now());
                        }
                    }
                    Some(event) = events.next() => state.event(event),
                    Ok(()) = facts.changed() => {
                        let seen = facts.borrow_and_update().clone();
                        state.duty.steward.configure(seen.history.configuration());
                        state.duty.steward.fleet(&seen.fleet, view::now());
                    }
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        state.members(&seen);
                    }
                    _ = tick.tick() => state.tick(),
                }
                state.carry_out();
            }
        })
    }
}

impl State {
    fn tick(&mut self) {
        let now = view::now();
        let open = {
            let members = Arc::clone(&self.duty.members.borrow());
            self.duty.facts.borrow().open(&members, self.duty.term, now)
        };
        self.duty.steward.open(open);
        self.duty.steward.tick(now);
        self.publish(now);
    }

    fn publish(&mut self, now: Millis) {
        let planner = self.duty.steward.planner_mut();
        for failure in planner.take_news() {
            self.last_news += 1;
            self.news.push((now, News { number: self.last_news, failure }));
        }
        self.news.retain(|(at, _)| now.since(*at) < NEWS_LIFE);
        let excess = self.news.len().saturating_sub(MAX_NEWS);
        self.news.drain(..excess);
        let (total, free) = planner.packing();
        self.duty.figures.send_replace(Figures {
            counters: planner.counters(),
            total,
            free,
            totals: planner.totals(),
            news: self.news.iter().map(|(_, news)| news.clone()).collect(),
        });
    }

    /// Takes in what a peer's policy tells, each failure once.
    fn hear(&mut self, peer: &Name, tidings: &Tidings, now: Millis) {
        let i = match self.heard.binary_search_by(|(p, _)| p.cmp(peer)) {
            Ok(i) => i,
            Err(i) => {
                self.heard.insert(i, (peer.clone(), 0));
                i
            }
        };
        let planner = self.duty.steward.planner_mut();
        if let Some(totals) = &tidings.totals {
            planner.hear_totals(peer, totals, now);
        }
        for News { number, failure } in &tidings.news {
            if *number > self.heard[i].1 {
                self.heard[i].1 = *number;
                planner.hear_failure(failure, now);
            }
        }
    }

    /// Forgets workers that have left the list.
    fn members(&mut self, members: &Members) {
        self.duty.steward.asked_since(members.asked_since);
        let listed = |name: &Name| members.of_role(Role::Worker).any(|w| w.name == *name);
        let gone = self.reporters.extract_if(.., |(worker, _)| !listed(worker));
        for (worker, _) in gone.collect::<Vec<_>>() {
            self.duty.steward.forget(&worker);
        }
    }

    fn event(&mut self, event: Event) {
        let now = view::now();
        let steward = &mut self.duty.steward;
        match event {
            Event::Take { index, book } => steward.take(index, book),
            Event::Save { index } => {
                if let Some(book) = steward.book(index).cloned()
                    && self.duty.ledger.offer(Command::Save { index, book }).is_err()
                {
                    tracing::warn!(index, "the ledger duty is behind; a snapshot is put off");
                }
            }
            Event::GiveUp { index } => steward.give_up(index),
            Event::Rows { index, rows, at_end } => steward.rows(index, &rows, at_end, now),
            Event::Landed { id, landing } => steward.landed(&id, landing),
            Event::Ask { ask, reply } => self.ask(ask, reply, now),
            Event::Hear { peer, tidings } => self.hear(&peer, &tidings, now),
            Event::Report { report, reply } => {
                for standing in &report.standings {
                    self.note_reporter(&standing.worker.name, &report.from);
                }
                let recorded = self.duty.steward.report(&report.standings, &report.ended, now);
                if reply.send(recorded).is_err() {
                    tracing::debug!("a controller no longer waits for its report's answer");
                }
            }
        }
    }

    fn ask(&mut self, ask: Ask, reply: Reply<Told>, now: Millis) {
        self.tickets.retain(|(_, reply)| !reply.is_closed());
        if self.tickets.len() >= MAX_TICKETS {
            let refusal = Refusal::not_run(Reason::Overload, RETRY_AFTER);
            if reply.send(Told::Refused(refusal)).is_err() {
                tracing::debug!("an asker no longer waits");
            }
            return;
        }
        self.next_ticket += 1;
        self.tickets.push((self.next_ticket, reply));
        self.duty.steward.ask(self.next_ticket, ask, now);
    }

    fn note_reporter(&mut self, worker: &Name, from: &Name) {
        match self.reporters.binary_search_by(|(w, _)| w.cmp(worker)) {
            Ok(i) => self.reporters[i].1 = from.clone(),
            Err(i) => self.reporters.insert(i, (worker.clone(), from.clone())),
        }
    }

    fn carry_out(&mut self) {
        let mut wishes: Vec<(Name, Vec<Wish>)> = Vec::new();
        for effect in self.duty.steward.effects() {
            match effect {
                Effect::Append { stream, record } => {
                    let id = record.id.clone();
                    if self.duty.ledger.offer(Command::Append { stream, record }).is_err() {
                        self.duty.steward.landed(&id, Landing::Refused);
                    }
                }
                Effect::Wish(wish) => self.group(&mut wishes, wish),
                Effect::Tell { ticket, told } => self.tell(ticket, told),
                Effect::Note { stream, offset, record, verdict } => {
                    if verdict == Verdict::Accepted {
                        self.duty.telemetry.recorded(stream, offset, &record);
                    }
                }
            }
        }
        for (controller, wishes) in wishes {
            self.send(&controller, wishes);
        }
    }

    /// Groups wishes by the controller of their worker: whoever reported it last.
    fn group(&self, wishes: &mut Vec<(Name, Vec<Wish>)>, wish: Wish) {
        let Ok(i) = self.reporters.binary_search_by(|(w, _)| w.cmp(wish.worker())) else {
            return;
        };
        let controller = &self.reporters[i].1;
        match wishes.iter_mut().find(|(c, _)| c == controller) {
            Some((_, list)) => list.push(wish),
            None => wishes.push((controller.clone(), vec![wish])),
        }
    }

    fn send(&self, controller: &Name, wishes: Vec<Wish>) {
        let members = Arc::clone(&self.duty.members.borrow());
        let granted = self.granted.clone();
        let from = members.own.name.clone();
        if *controller == from {
            let control = self.duty.control.clone();
            tokio::spawn(async move {
                let sent = wishes.clone();
                let asked =
                    ring::ask(&control, |reply| control::Event::Wishes { wishes: sent, reply });
                let grants = asked.await.unwrap_or_else(|_| elsewhere(&wishes));
                finish(&granted, wishes, grants).await;
            });
            return;
        }
        let peer = members.peers.iter().find(|p| p.name == *controller);
        let address = peer.map(|p| p.address.clone());
        let (client, key) = (Arc::clone(&self.client), self.duty.key.clone());
        tokio::spawn(async move {
            let grants = match address {
                Some(address) => {
                    let message = Wishes { from, wishes: wishes.clone() };
                    let call: Result<Grants, _> = client
                        .exchange_with_key(
                            &address,
                            "/peer/wishes",
                            &message,
                            WISH_TIMEOUT,
                            key.as_deref(),
                        )
                        .await;
                    call.map_or_else(|_| elsewhere(&wishes), |g| g.grants)
                }
                None => elsewhere(&wishes),
            };
            finish(&granted, wishes, grants).await;
        });
    }

    fn tell(&mut self, ticket: Ticket, told: Told) {
        if let Some(i) = self.tickets.iter().position(|(t, _)| *t == ticket) {
            let (_, reply) = self.tickets.swap_remove(i);
            if reply.send(told).is_err() {
                tracing::debug!("an asker no longer waits");
            }
        }
    }
}

fn elsewhere(wishes: &[Wish]) -> Vec<Grant> {
    vec![Grant::Elsewhere; wishes.len()]
}

async fn finish(granted: &Sender<Granted>, wishes: Vec<Wish>, grants: Vec<Grant>) {
    if granted.push(Granted { wishes, grants }).await.is_err() {
        tracing::debug!("the steward duty has ended");
    }
}
