//! Helpers shared by the tests of the stand-ins.

use crate::link::{Outcome, Service};
use crate::server::{ANY_PORT, Port, Server};
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

/// Timeout of calls to a stand-in without faults; generous, for busy machines.
pub const CALL_TIMEOUT: Millis = Millis::from_secs(30);
/// Timeout of calls that are expected to get no answer, and time for which tests let a stand-in
/// work.
pub const SHORT_WAIT: Millis = Millis(150);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a valid name")
}

pub fn task(job: &str) -> task::Id {
    task::Id { job: name(job), index: 0 }
}

pub fn place() -> Place {
    Place { region: name("lima"), domain: name("lima-a"), rack: name("lima-a-r1") }
}

/// A service that counts the requests it handles and echoes their path; it loses the answer to
/// `/lost`.
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

pub fn start_counter(connections: usize) -> (Server, Port, Arc<Counter>) {
    let server = Server::start("test").expect("a thread");
    let counter = Arc::new(Counter::default());
    let service: Arc<dyn Service> = Arc::<Counter>::clone(&counter);
    let port = server.listen(ANY_PORT, connections, service).expect("a port");
    (server, port, counter)
}

pub async fn get(client: &Client, address: SocketAddr, path: &str) -> Result<Reply, Error> {
    client.call(Call::get(&address.to_string(), path, CALL_TIMEOUT)).await
}

pub async fn get_briefly(client: &Client, address: SocketAddr, path: &str) -> Result<Reply, Error> {
    client.call(Call::get(&address.to_string(), path, SHORT_WAIT)).await
}

pub async fn post_json(client: &Client, address: SocketAddr, path: &str, body: &str) -> Reply {
    let address = address.to_string();
    let call = Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT);
    client.call(Call { content: Content::Json, ..call }).await.expect("an answer")
}

/// Waits until the condition holds; panics after [`CALL_TIMEOUT`].
pub async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT.into(), holds).await.expect("the condition to hold");
}

/// Polls a call that must not complete and abandons it once the condition holds.
pub async fn abandon_call_when<T>(call: impl Future<Output = T>, condition: impl Fn() -> bool) {
    tokio::select! {
        _ = call => panic!("the call ended"),
        () = wait_until(condition) => {}
    }
}
