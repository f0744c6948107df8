//! Stand-in of the platform's instance list, which publishes each change only after a lag.
//!
//! `GET /instances` returns the list as JSON; `POST /instances` registers an [`Instance`];
//! `DELETE /instances/{name}` removes one.

use crate::fault::{Fault, FaultInjection};
use crate::link::{Outcome, Service};
use crate::server::{Port, Server};
use crate::{clock, lock};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::{Instance, State};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

#[cfg(test)]
mod tests;

/// Most concurrent connections of one listener.
const MAX_CONNECTIONS: usize = 1024;
/// Most unpublished changes; beyond that, the oldest is published early, also while the list is
/// frozen.
const MAX_CHANGES: usize = 4096;

enum Change {
    Set(Instance),
    Remove(Name),
}

struct ListState {
    /// Actual registrations, sorted by name.
    registered: Vec<Instance>,
    /// Published list, sorted by name.
    published: Vec<Instance>,
    /// Unpublished changes with the time at which each is due, in the order of registration.
    changes: VecDeque<(Millis, Change)>,
    lag: Millis,
    frozen: bool,
    outage: bool,
}

impl ListState {
    fn record_change(&mut self, change: Change, now: Millis) {
        apply(&mut self.registered, &change);
        self.changes.push_back((now + self.lag, change));
        if self.changes.len() > MAX_CHANGES
            && let Some((_, change)) = self.changes.pop_front()
        {
            apply(&mut self.published, &change);
        }
    }

    fn publish_due_changes(&mut self, now: Millis) {
        while !self.frozen
            && self.changes.front().is_some_and(|(at, _)| *at <= now)
            && let Some((_, change)) = self.changes.pop_front()
        {
            apply(&mut self.published, &change);
        }
    }
}

fn apply(rows: &mut Vec<Instance>, change: &Change) {
    match change {
        Change::Set(instance) => match rows.binary_search_by(|i| i.name.cmp(&instance.name)) {
            Ok(i) => rows[i] = instance.clone(),
            Err(i) => rows.insert(i, instance.clone()),
        },
        Change::Remove(name) => rows.retain(|i| i.name != *name),
    }
}

/// The instance list. It runs until its server stops; clones share one list.
#[derive(Clone)]
pub struct List {
    state: Arc<Mutex<ListState>>,
    port: Port,
}

impl List {
    /// Starts the service on `address`, publishing changes after `lag`.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn start(server: &Server, address: SocketAddr, lag: Millis) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ListState {
            registered: Vec::new(),
            published: Vec::new(),
            changes: VecDeque::new(),
            lag,
            frozen: false,
            outage: false,
        }));
        let service = Arc::new(ListService(Arc::clone(&state)));
        let port = server.listen(address, MAX_CONNECTIONS, service)?;
        Ok(Self { state, port })
    }

    /// Returns the address of the main listener.
    pub const fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Opens another listener with its own link faults, for example to isolate the clients of one
    /// region.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn listener(&self, server: &Server, address: SocketAddr) -> io::Result<Port> {
        server.listen(address, MAX_CONNECTIONS, Arc::new(ListService(Arc::clone(&self.state))))
    }

    /// Registers or updates an instance; published after the lag.
    pub fn register(&self, instance: &Instance) {
        lock(&self.state).record_change(Change::Set(instance.clone()), clock::now());
    }

    /// Registers or updates an instance and publishes it immediately.
    pub fn register_now(&self, instance: &Instance) {
        let change = Change::Set(instance.clone());
        let mut state = lock(&self.state);
        apply(&mut state.registered, &change);
        apply(&mut state.published, &change);
    }

    /// Marks an instance as leaving; published after the lag. Returns whether the instance is
    /// registered.
    pub fn leave(&self, name: &str) -> bool {
        let mut state = lock(&self.state);
        let found = state.registered.binary_search_by(|i| i.name.as_str().cmp(name));
        if let Ok(i) = found {
            let mut instance = state.registered[i].clone();
            instance.state = State::Leaving;
            state.record_change(Change::Set(instance), clock::now());
        }
        found.is_ok()
    }

    /// Removes an instance; published after the lag.
    pub fn remove(&self, name: &Name) {
        lock(&self.state).record_change(Change::Remove(name.clone()), clock::now());
    }

    /// Sets the lag of later changes; those already pending keep theirs and are published first.
    pub fn set_lag(&self, lag: Millis) {
        lock(&self.state).lag = lag;
    }

    /// While on, publishes no change, whatever its lag.
    pub fn set_frozen(&self, on: bool) {
        lock(&self.state).frozen = on;
    }

    /// Starts or ends an outage, in which every call is answered with status 503.
    pub fn set_outage(&self, on: bool) {
        lock(&self.state).outage = on;
    }

    /// Returns the published list.
    pub fn published(&self) -> Vec<Instance> {
        let mut state = lock(&self.state);
        state.publish_due_changes(clock::now());
        state.published.clone()
    }
}

impl FaultInjection for List {
    fn inject(&self, fault: Fault) -> bool {
        match fault {
            Fault::Outage(on) => self.set_outage(on),
            Fault::Freeze(on) => self.set_frozen(on),
            Fault::Lag(lag) => self.set_lag(lag),
            _ => return self.port.link.inject(fault),
        }
        true
    }
}

struct ListService(Arc<Mutex<ListState>>);

impl ListService {
    fn answer(&self, request: Request<'_>) -> Response {
        let mut state = lock(&self.0);
        if state.outage {
            return Response::findings(503, &finding::List::one("list", "is out of service"));
        }
        let now = clock::now();
        match (request.method, request.segments().as_slice()) {
            ("GET", ["instances"]) => {
                state.publish_due_changes(now);
                Response::json(200, &state.published).tagged(&request)
            }
            ("POST", ["instances"]) => match codec::from_json::<Instance>(request.body) {
                Ok(instance) => {
                    state.record_change(Change::Set(instance.clone()), now);
                    Response::json(200, &instance)
                }
                Err(findings) => Response::findings(400, &findings),
            },
            ("DELETE", ["instances", name]) => match Name::try_from(*name) {
                Ok(name) => {
                    state.record_change(Change::Remove(name.clone()), now);
                    Response::json(200, &name)
                }
                Err(findings) => Response::findings(400, &findings),
            },
            _ => Response::findings(404, &finding::List::one("path", "is not known")),
        }
    }
}

impl Service for ListService {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(std::future::ready(Outcome::Answer(self.answer(request))))
    }
}
