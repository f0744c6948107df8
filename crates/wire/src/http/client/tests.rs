//! Tests of the connections that a client keeps open.

use super::{Call, Client, Retention};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const RETENTION: Retention = Retention { connections: 2, time: Millis(200) };
const CALL_TIMEOUT: Millis = Millis::from_secs(5);
/// Time in which connections must be closed on a busy machine.
const MAX_CLOSING: Duration = Duration::from_secs(20);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A server that counts its connections and answers all requests.
#[derive(Default)]
struct Server {
    accepted: AtomicUsize,
    open: AtomicUsize,
}

impl Server {
    /// Starts a server and returns it with its address.
    async fn start() -> (Arc<Self>, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = Arc::new(Self::default());
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.accepted.fetch_add(1, Ordering::Relaxed);
                serving.open.fetch_add(1, Ordering::Relaxed);
                let server = Arc::clone(&serving);
                tokio::spawn(async move {
                    answer_all(stream).await;
                    server.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        (server, address)
    }

    /// Waits until no more than `count` connections are open.
    async fn wait_open(&self, count: usize) -> bool {
        let began = Instant::now();
        while self.open.load(Ordering::Relaxed) > count {
            if began.elapsed() > MAX_CLOSING {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        true
    }
}

/// Answers the requests on a connection, which have no body, until it is closed.
async fn answer_all(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    while let Ok(1..) = stream.read(&mut buffer).await {
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

async fn call(client: &Client, address: &str) {
    client.call(Call::get(address, "/", CALL_TIMEOUT)).await.unwrap();
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

/// Regression: an idle connection was only closed by a later call to its address. A daemon that did not own
/// the shard any more kept up to eight connections to each worker for as long as it lived.
#[gtest]
fn idle_connections_are_closed_although_no_call_follows() {
    block_on(async {
        let client = Client::retaining(RETENTION);
        let (server, address) = Server::start().await;
        call(&client, &address).await;
        expect_that!(server.open.load(Ordering::Relaxed), eq(1));
        expect_that!(server.wait_open(0).await, eq(true));
        call(&client, &address).await;
        expect_that!(server.wait_open(0).await, eq(true));
    });
}

#[gtest]
fn a_limited_number_of_idle_connections_stays_open() {
    block_on(async {
        let retention = Retention { time: Millis::from_secs(600), ..RETENTION };
        let client = Client::retaining(retention);
        let (server, address) = Server::start().await;
        let calls = || call(&client, &address);
        tokio::join!(calls(), calls(), calls(), calls());
        expect_that!(server.accepted.load(Ordering::Relaxed), eq(4));
        expect_that!(server.wait_open(retention.connections).await, eq(true));
        expect_that!(server.open.load(Ordering::Relaxed), eq(retention.connections));
    });
}

#[gtest]
fn calls_in_a_row_share_a_connection() {
    block_on(async {
        let client = Client::retaining(RETENTION);
        let (server, address) = Server::start().await;
        for _ in 0..50 {
            call(&client, &address).await;
        }
        expect_that!(server.accepted.load(Ordering::Relaxed), eq(1));
    });
}
