//! What the tests of the stand-ins have in common.

use crate::host::{ANY_PORT, Host, Port};
use crate::link::{Outcome, Service};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_wire::http::Content;
use pimentovalve_wire::http::client::{Call, Client, Error, Reply};
use pimentovalve_wire::http::{Pending, Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time in which a stand-in without faults answers, even on a busy machine.
pub const PATIENT: Millis = Millis::from_secs(30);
/// Time after which a silent stand-in is given up.
pub const BRIEF: Millis = Millis(150);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a valid name")
}

pub fn task(job: &str) -> task::Id {
    task::Id { job: name(job), index: 0 }
}

pub fn place() -> Place {
    Place { region: name("lima"), domain: name("lima-a"), rack: name("lima-a-r1") }
}

/// Counts the requests that it answers.
#[derive(Default)]
pub struct Counter(pub AtomicUsize);

impl Counter {
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Service for Counter {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(async move {
            self.0.fetch_add(1, Ordering::SeqCst);
            match request.path {
                "/lost" => Outcome::Lost,
                path => Outcome::Answer(Response::text(200, path)),
            }
        })
    }
}

pub fn counter(connections: usize) -> (Host, Port, Arc<Counter>) {
    let host = Host::start("test").expect("a thread");
    let counter = Arc::new(Counter::default());
    let service: Arc<dyn Service> = Arc::<Counter>::clone(&counter);
    let port = host.open(ANY_PORT, connections, service).expect("a port");
    (host, port, counter)
}

pub async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<Reply, Error> {
    client.call(Call::get(&address.to_string(), path, PATIENT)).await
}

pub async fn brief(client: &Client, address: SocketAddr, path: &str) -> Result<Reply, Error> {
    client.call(Call::get(&address.to_string(), path, BRIEF)).await
}

pub async fn post_json(client: &Client, address: SocketAddr, path: &str, body: &str) -> Reply {
    let address = address.to_string();
    let call = Call::post(&address, path, body.as_bytes(), PATIENT);
    client.call(Call { content: Content::Json, ..call }).await.expect("an answer")
}

/// Waits until the condition holds; panics after a time that only a defect can take.
pub async fn until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENT.into(), holds).await.expect("the condition to hold");
}

/// Makes a call that isn't answered, and leaves it once the condition holds.
pub async fn unanswered<T>(call: impl Future<Output = T>, condition: impl Fn() -> bool) {
    tokio::select! {
        _ = call => panic!("the call ended"),
        () = until(condition) => {}
    }
}
