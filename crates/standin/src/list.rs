//! The platform's list of instances, which shows each change only after a lag.
//!
//! `GET /instances` gives the list as JSON; `POST /instances` registers an
//! [`Instance`]; `DELETE /instances/{name}` removes one.

use crate::fault::{Fault, Switch};
use crate::host::{Host, Port};
use crate::link::{Outcome, Service};
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

/// Connections of one listener.
const MAX_CONNECTIONS: usize = 1024;
/// Changes that are kept until their lag has passed; beyond, the oldest is shown early.
const MAX_CHANGES: usize = 4096;

enum Change {
    Set(Instance),
    Remove(Name),
}

struct Rows {
    /// What is the case, sorted by name.
    present: Vec<Instance>,
    /// What is shown, sorted by name.
    shown: Vec<Instance>,
    /// Changes that aren't shown yet, with the time from which they are.
    changes: VecDeque<(Millis, Change)>,
    lag: Millis,
    frozen: bool,
    outage: bool,
}

impl Rows {
    fn change(&mut self, change: Change, now: Millis) {
        apply(&mut self.present, &change);
        self.changes.push_back((now + self.lag, change));
        if self.changes.len() > MAX_CHANGES
            && let Some((_, change)) = self.changes.pop_front()
        {
            apply(&mut self.shown, &change);
        }
    }

    fn catch_up(&mut self, now: Millis) {
        while !self.frozen
            && self.changes.front().is_some_and(|(at, _)| *at <= now)
            && let Some((_, change)) = self.changes.pop_front()
        {
            apply(&mut self.shown, &change);
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

/// The list. It goes on until its host stops.
#[derive(Clone)]
pub struct List {
    rows: Arc<Mutex<Rows>>,
    port: Port,
}

impl List {
    /// Starts the service on `address`, with changes shown after `lag`.
    ///
    /// # Errors
    ///
    /// As [`Host::open`].
    pub fn start(host: &Host, address: SocketAddr, lag: Millis) -> io::Result<Self> {
        let rows = Arc::new(Mutex::new(Rows {
            present: Vec::new(),
            shown: Vec::new(),
            changes: VecDeque::new(),
            lag,
            frozen: false,
            outage: false,
        }));
        let desk = Arc::new(Desk(Arc::clone(&rows)));
        let port = host.open(address, MAX_CONNECTIONS, desk)?;
        Ok(Self { rows, port })
    }

    /// Returns the address that is meant for everyone.
    pub const fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Opens a further listener, such as one for a region, that has link faults of its own.
    ///
    /// # Errors
    ///
    /// As [`Host::open`].
    pub fn listener(&self, host: &Host, address: SocketAddr) -> io::Result<Port> {
        host.open(address, MAX_CONNECTIONS, Arc::new(Desk(Arc::clone(&self.rows))))
    }

    /// Registers or changes an instance; shown after the lag.
    pub fn register(&self, instance: &Instance) {
        lock(&self.rows).change(Change::Set(instance.clone()), clock::now());
    }

    /// Registers or changes an instance; shown at once.
    pub fn show(&self, instance: &Instance) {
        let change = Change::Set(instance.clone());
        let mut rows = lock(&self.rows);
        apply(&mut rows.present, &change);
        apply(&mut rows.shown, &change);
    }

    /// Marks an instance as leaving; shown after the lag. Returns whether there is such one.
    pub fn leave(&self, name: &str) -> bool {
        let mut rows = lock(&self.rows);
        let found = rows.present.binary_search_by(|i| i.name.as_str().cmp(name));
        if let Ok(i) = found {
            let mut instance = rows.present[i].clone();
            instance.state = State::Leaving;
            rows.change(Change::Set(instance), clock::now());
        }
        found.is_ok()
    }

    /// Removes an instance; shown after the lag.
    pub fn remove(&self, name: &Name) {
        lock(&self.rows).change(Change::Remove(name.clone()), clock::now());
    }

    /// Sets the lag of further changes.
    pub fn lag(&self, lag: Millis) {
        lock(&self.rows).lag = lag;
    }

    /// Switches whether the list shows no change at all.
    pub fn freeze(&self, on: bool) {
        lock(&self.rows).frozen = on;
    }

    /// Switches an outage, in which every call is answered with 503.
    pub fn outage(&self, on: bool) {
        lock(&self.rows).outage = on;
    }

    /// Returns what the list shows now.
    pub fn shown(&self) -> Vec<Instance> {
        let mut rows = lock(&self.rows);
        rows.catch_up(clock::now());
        rows.shown.clone()
    }
}

impl Switch for List {
    fn switch(&self, fault: Fault) -> bool {
        match fault {
            Fault::Outage(on) => self.outage(on),
            Fault::Freeze(on) => self.freeze(on),
            Fault::Lag(lag) => self.lag(lag),
            _ => return self.port.link.switch(fault),
        }
        true
    }
}

struct Desk(Arc<Mutex<Rows>>);

impl Desk {
    fn answer(&self, request: Request<'_>) -> Response {
        let mut rows = lock(&self.0);
        if rows.outage {
            return Response::findings(503, &finding::List::one("list", "is out of service"));
        }
        let now = clock::now();
        match (request.method, request.segments().as_slice()) {
            ("GET", ["instances"]) => {
                rows.catch_up(now);
                Response::json(200, &rows.shown).tagged(&request)
            }
            ("POST", ["instances"]) => match codec::from_json::<Instance>(request.body) {
                Ok(instance) => {
                    rows.change(Change::Set(instance.clone()), now);
                    Response::json(200, &instance)
                }
                Err(findings) => Response::findings(400, &findings),
            },
            ("DELETE", ["instances", name]) => match Name::try_from(*name) {
                Ok(name) => {
                    rows.change(Change::Remove(name.clone()), now);
                    Response::json(200, &name)
                }
                Err(findings) => Response::findings(400, &findings),
            },
            _ => Response::findings(404, &finding::List::one("path", "is not known")),
        }
    }
}

impl Service for Desk {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(std::future::ready(Outcome::Answer(self.answer(request))))
    }
}
