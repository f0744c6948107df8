//! Stand-in of a worker: serves the messages of [`pimentovalve_wire::worker`] with the
//! [`Arbiter`], and simulates the execution of tasks.

pub mod checkpoint;
pub mod run;
pub mod workload;

use crate::fault::{Fault, FaultInjection};
use crate::link::{Link, Outcome, Service};
use crate::observer::Observer;
use crate::server::{ANY_PORT, Port, Server};
use crate::{clock, lock};
use checkpoint::Store;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::arbiter::Arbiter;
use pimentovalve_core::machine::worker::{self, Action, Inventory, Order, Reply, Start};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use run::{FULL_SPEED_PERCENT, Run};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;
use workload::Workload;

#[cfg(test)]
mod tests;

/// Most concurrent connections of a worker.
const MAX_CONNECTIONS: usize = 256;
/// Upper bound on the time for which a heartbeat waits for a change.
const MAX_HEARTBEAT_WAIT: Millis = Millis::from_secs(60);
/// Run time of an attempt while [`Worker::set_fail_all`] is on.
const FAILING_RUN_TIME: Millis = Millis(5);

/// Resources and settings shared by the workers of one fleet.
#[derive(Clone, Debug)]
pub struct FleetContext {
    /// Records the start and end of each attempt.
    pub observer: Arc<Observer>,
    /// Stores the progress of checkpointed tasks.
    pub checkpoints: Arc<Store>,
    /// Delay from the start or throttling of an attempt to the report of its new usage.
    pub usage_lag: Millis,
}

struct State {
    arbiter: Arbiter,
    /// Incremented by each change of the inventory, except for usage and renewed leases.
    revision: u64,
    /// Sorted by task; the attempts that run according to the arbiter's inventory.
    runs: Vec<Run>,
    fail_all: bool,
    speed: u8,
    /// Offset of the worker's clock from the machine's, in milliseconds.
    clock_offset: i64,
    crashed: bool,
}

/// A worker. It runs until its server stops; clones share one worker.
#[derive(Clone)]
pub struct Worker {
    machine: Arc<Machine>,
    port: Port,
}

impl Worker {
    /// Starts an idle worker without a controller, on a free port.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn start(
        server: &Server,
        worker: worker::Worker,
        context: FleetContext,
    ) -> io::Result<Self> {
        let state = State {
            arbiter: Arbiter::new(worker),
            revision: 1,
            runs: Vec::new(),
            fail_all: false,
            speed: FULL_SPEED_PERCENT,
            clock_offset: 0,
            crashed: false,
        };
        let machine = Arc::new(Machine {
            state: Mutex::new(state),
            revision_raised: Notify::new(),
            wake: Notify::new(),
            context,
        });
        let service: Arc<dyn Service> = Arc::<Machine>::clone(&machine);
        let port = server.listen(ANY_PORT, MAX_CONNECTIONS, service)?;
        Ok(Self { machine, port })
    }

    /// Returns the address on which the worker takes orders and heartbeats.
    pub const fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the worker's link, into which pauses, partitions, silence and delays are injected.
    /// Tasks keep running and leases keep expiring under all of these faults.
    pub const fn link(&self) -> &Arc<Link> {
        &self.port.link
    }

    /// Returns the current inventory.
    pub fn inventory(&self) -> Inventory {
        let mut state = lock(&self.machine.state);
        self.machine.apply_due_events(&mut state);
        state.arbiter.inventory().clone()
    }

    /// Marks the worker as leaving: it refuses to start attempts.
    pub fn leave(&self) {
        let mut state = lock(&self.machine.state);
        state.arbiter.leave();
        self.machine.raise_revision(&mut state);
    }

    /// While on, every attempt that starts fails within milliseconds.
    pub fn set_fail_all(&self, on: bool) {
        lock(&self.machine.state).fail_all = on;
    }

    /// Sets the worker's speed in percent of full speed; 0 stops all progress.
    pub fn set_speed(&self, percent: u8) {
        let mut state = lock(&self.machine.state);
        state.speed = percent;
        let now = state.now();
        for run in &mut state.runs {
            run.advance(now);
            run.speed = percent;
        }
        self.machine.wake.notify_one();
    }

    /// Sets the offset of the worker's clock from the machine's, in milliseconds.
    pub fn set_clock_offset(&self, millis: i64) {
        lock(&self.machine.state).clock_offset = millis;
        self.machine.wake.notify_one();
    }

    /// Kills the worker: it is unreachable from now on and its tasks end without a report.
    pub fn crash(&self) {
        self.port.link.kill();
        let mut state = lock(&self.machine.state);
        state.crashed = true;
        let name = state.arbiter.inventory().worker.name.clone();
        for run in std::mem::take(&mut state.runs) {
            self.machine.context.observer.attempt_ended((&run.task, run.attempt), &name, None);
        }
    }
}

impl FaultInjection for Worker {
    fn inject(&self, fault: Fault) -> bool {
        match fault {
            Fault::Leave => self.leave(),
            Fault::FailAll(on) => self.set_fail_all(on),
            Fault::Speed(percent) => self.set_speed(percent),
            Fault::Crash => self.crash(),
            _ => return self.port.link.inject(fault),
        }
        true
    }
}

impl State {
    fn now(&self) -> Millis {
        Millis(clock::now().get().saturating_add_signed(self.clock_offset))
    }

    /// Returns the time of the next event that no request causes: the end of a run, the expiry of
    /// a lease or a usage sample.
    fn next_event(&self) -> Option<Millis> {
        let leases = self.arbiter.inventory().running.iter().map(|h| h.until + Millis(1));
        let runs = self.runs.iter().flat_map(|r| [r.end(), r.sample_at]).flatten();
        leases.chain(runs).min()
    }

    /// Returns the index of the run of the order's task, or where it would be inserted.
    fn position(&self, order: &Order) -> Result<usize, usize> {
        self.runs.binary_search_by(|r| r.task.cmp(&order.task))
    }
}

struct Machine {
    state: Mutex<State>,
    /// Wakes waiting heartbeats after the revision was raised.
    revision_raised: Notify,
    /// Wakes the background loop when the time of the next event may have changed.
    wake: Notify,
    context: FleetContext,
}

impl Machine {
    fn raise_revision(&self, state: &mut State) {
        state.revision += 1;
        self.revision_raised.notify_waiters();
        self.wake.notify_one();
    }

    /// Applies the events that are due: usage samples, finished runs and expired leases.
    fn apply_due_events(&self, state: &mut State) {
        if state.crashed {
            return;
        }
        let now = state.now();
        let due: Vec<_> = state
            .runs
            .iter()
            .filter(|r| r.end().is_some_and(|end| end <= now))
            .map(|r| (r.task.clone(), r.attempt, r.ending()))
            .collect();
        for run in state.runs.iter_mut().filter(|r| r.sample_at.is_some_and(|at| at <= now)) {
            run.sample_at = None;
            state.arbiter.sample(&run.task, &run.usage());
        }
        for (task, attempt, ending) in due {
            state.arbiter.finish(&task, attempt, ending, now);
        }
        state.arbiter.expire_leases(now);
        self.reconcile(state);
    }

    /// Removes the runs that no longer run according to the arbiter, and records their end.
    fn reconcile(&self, state: &mut State) {
        let inventory = state.arbiter.inventory();
        let count = state.runs.len();
        state.runs.retain(|run| {
            let found = inventory.running.binary_search_by(|h| h.task.cmp(&run.task));
            let is_running = found.is_ok_and(|i| inventory.running[i].attempt == run.attempt);
            if !is_running {
                let ended = inventory.ended.iter().rev();
                let ended = ended.clone().find(|e| e.task == run.task && e.attempt == run.attempt);
                let name = &inventory.worker.name;
                let attempt = (&run.task, run.attempt);
                self.context.observer.attempt_ended(attempt, name, ended.map(|e| &e.ending));
            }
            is_running
        });
        if state.runs.len() != count {
            self.raise_revision(state);
        }
    }

    fn adopt(&self, adopt: &Adopt) -> Adopted {
        let mut state = lock(&self.state);
        self.apply_due_events(&mut state);
        let adopted = match state.arbiter.adopt(&adopt.controller, adopt.expected) {
            Ok(inventory) => Adopted::Yes(inventory.clone()),
            Err(epoch) => {
                let controller = state.arbiter.inventory().controller.clone();
                return Adopted::No { epoch, controller };
            }
        };
        self.raise_revision(&mut state);
        adopted
    }

    fn orders(&self, orders: &Orders) -> Replies {
        let mut state = lock(&self.state);
        let replies = orders.orders.iter().map(|o| self.order(&mut state, orders.epoch, o));
        let replies = replies.collect();
        self.wake.notify_one();
        Replies { replies }
    }

    fn order(&self, state: &mut State, epoch: worker::Epoch, order: &Order) -> Reply {
        self.apply_due_events(state);
        let now = state.now();
        let running = state.position(order);
        if let (Action::Checkpoint, Ok(i)) = (&order.action, running) {
            state.runs[i].advance(now);
        }
        let reply = state.arbiter.order(epoch, order, now);
        if reply != Reply::Done {
            return reply;
        }
        match (&order.action, running) {
            (Action::Start(start), Err(i)) => self.start_run(state, order, start, i, now),
            (Action::Checkpoint, Ok(i)) => {
                self.context.checkpoints.save(&order.task, state.runs[i].progress);
            }
            (Action::Throttle { percent }, Ok(i)) => {
                let run = &mut state.runs[i];
                run.advance(now);
                run.throttle = *percent;
                run.sample_at = Some(now + self.context.usage_lag);
            }
            _ => {}
        }
        self.reconcile(state);
        reply
    }

    fn start_run(&self, state: &mut State, order: &Order, start: &Start, i: usize, now: Millis) {
        let mut workload = Workload::from(start.payload.as_str());
        if state.fail_all {
            workload.run_ms = Some(FAILING_RUN_TIME);
            workload.fail = Some("the worker fails everything".into());
        }
        let progress =
            if start.resume { self.context.checkpoints.load(&order.task) } else { Millis::ZERO };
        let run = Run {
            task: order.task.clone(),
            attempt: order.attempt,
            needs: start.needs,
            workload,
            progress,
            progress_at: now,
            throttle: FULL_SPEED_PERCENT,
            speed: state.speed,
            sample_at: Some(now + self.context.usage_lag),
        };
        state.runs.insert(i, run);
        let worker = &state.arbiter.inventory().worker;
        let attempt = (&order.task, order.attempt);
        self.context.observer.attempt_started(
            attempt,
            &start.needs,
            &worker.name,
            &worker.capacity,
        );
        self.raise_revision(state);
    }

    async fn heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let deadline = Instant::now() + heartbeat.wait_ms.min(MAX_HEARTBEAT_WAIT).into();
        self.renew(heartbeat);
        loop {
            let changed = self.revision_raised.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            let reply = self.heartbeat_reply(heartbeat);
            let has_changes = reply.epoch != heartbeat.epoch
                || reply.revision != heartbeat.seen
                || !reply.ended.is_empty();
            if has_changes || now >= deadline {
                return reply;
            }
            // The next iteration tells a change from a timeout.
            drop(tokio::time::timeout_at(deadline, changed).await);
        }
    }

    /// Applies the acknowledgement and lease renewal that a heartbeat carries.
    fn renew(&self, heartbeat: &Heartbeat) {
        let mut state = lock(&self.state);
        self.apply_due_events(&mut state);
        let now = state.now();
        state.arbiter.acknowledge(heartbeat.epoch, heartbeat.acknowledged);
        if let Some(until) = heartbeat.renew_all {
            state.arbiter.renew_all(heartbeat.epoch, until, now);
            self.wake.notify_one();
        }
        self.reconcile(&mut state);
    }

    fn heartbeat_reply(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let mut state = lock(&self.state);
        self.apply_due_events(&mut state);
        let inventory = state.arbiter.inventory();
        let ended = inventory.ended.iter().filter(|e| e.sequence > heartbeat.acknowledged);
        let ended = ended.cloned().collect();
        HeartbeatReply {
            epoch: inventory.epoch,
            revision: state.revision,
            inventory: (state.revision != heartbeat.seen).then(|| inventory.clone()),
            ended,
        }
    }

    async fn route(&self, request: Request<'_>) -> Result<Response, List> {
        Ok(match (request.method, request.path) {
            ("POST", "/adopt") => Response::pack(200, &self.adopt(&codec::unpack(request.body)?)),
            ("POST", "/orders") => Response::pack(200, &self.orders(&codec::unpack(request.body)?)),
            ("POST", "/heartbeat") => {
                Response::pack(200, &self.heartbeat(&codec::unpack(request.body)?).await)
            }
            _ => Response::findings(404, &List::one("path", "is not known")),
        })
    }
}

impl Service for Machine {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(async move {
            let response = self.route(request).await;
            Outcome::Answer(response.unwrap_or_else(|f| Response::findings(400, &f)))
        })
    }

    fn run(&self) -> Pending<'_, ()> {
        Box::pin(async move {
            loop {
                let next = {
                    let mut state = lock(&self.state);
                    self.apply_due_events(&mut state);
                    if state.crashed {
                        None
                    } else {
                        state.next_event().map(|n| n.since(state.now()))
                    }
                };
                match next {
                    Some(delay) => {
                        drop(tokio::time::timeout(delay.into(), self.wake.notified()).await);
                    }
                    None => self.wake.notified().await,
                }
            }
        })
    }
}
