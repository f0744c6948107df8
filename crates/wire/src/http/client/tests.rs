//! The client against servers that send scripted bytes.

use super::connection::MAX_RESPONSE_BYTES;
use super::{Call, Client, Error, Reply};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

const TIMEOUT: Millis = Millis(5000);

/// Reads a request: its head, and a body if the head states its length.
fn read_request(stream: &mut TcpStream) -> String {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                return text;
            }
        }
        match stream.read(&mut buffer).unwrap() {
            0 => return text,
            count => text += std::str::from_utf8(&buffer[..count]).unwrap(),
        }
    }
}

/// Serves connections one after the other. On each, one request is answered with each of the given
/// responses, in as many writes as it has pieces; then the connection is closed. Returns the
/// address, and the requests once all connections are served.
fn serve(connections: Vec<Vec<Vec<Vec<u8>>>>) -> (String, JoinHandle<Vec<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let serve_one = |responses: Vec<Vec<Vec<u8>>>| {
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_nodelay(true).unwrap();
            let answer = |pieces: Vec<Vec<u8>>| {
                let request = read_request(&mut stream);
                for piece in pieces {
                    stream.write_all(&piece).unwrap();
                    std::thread::sleep(Duration::from_millis(1));
                }
                request
            };
            responses.into_iter().map(answer).collect()
        };
        connections.into_iter().map(serve_one).collect()
    });
    (address, server)
}

fn whole(text: &str) -> Vec<Vec<u8>> {
    vec![text.as_bytes().to_vec()]
}

fn bytewise(text: &str) -> Vec<Vec<u8>> {
    text.bytes().map(|b| vec![b]).collect()
}

/// Makes calls one after the other through one client.
fn call_all(address: &str, count: usize) -> Vec<std::result::Result<Reply, Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let client = Client::new();
        let mut replies = Vec::new();
        for _ in 0..count {
            replies.push(client.call(Call::post(address, "/a?b=c", b"body", TIMEOUT)).await);
            // Lets the end of a closed connection arrive.
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        replies
    })
}

fn bodies(replies: Vec<std::result::Result<Reply, Error>>) -> Vec<(u16, String)> {
    let body = |reply: Reply| (reply.status, String::from_utf8(reply.body.to_vec()).unwrap());
    replies.into_iter().map(|r| body(r.unwrap())).collect()
}

fn pair(status: u16, body: &str) -> (u16, String) {
    (status, body.into())
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes";

#[gtest]
fn responses_of_every_kind_are_received_on_one_connection() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n\
                   3;name=value\r\nfir\r\n2\r\nst\r\n0\r\nTrailer: x\r\n\r\n";
    let continued =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\ncontent-length:2\r\n\r\nno";
    let unchanged = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nETag: \"t\"\r\n\r\n";
    let texts = [OK, chunked, continued, unchanged, OK];
    let expected =
        [pair(200, "yes"), pair(200, "first"), pair(409, "no"), pair(304, ""), pair(200, "yes")];
    for cut in [whole, bytewise] {
        let (address, server) = serve(vec![texts.iter().map(|t| cut(t)).collect()]);
        let replies = call_all(&address, texts.len());
        let tags: Vec<_> = replies.iter().map(|r| r.as_ref().unwrap().tag.clone()).collect();
        expect_that!(tags[3], some(eq("\"t\"")));
        expect_that!(bodies(replies), eq(&expected));
        let requests = server.join().unwrap();
        let request = format!(
            "POST /a?b=c HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/msgpack\r\n\
             content-length: 4\r\n\r\nbody"
        );
        expect_that!(requests, eq(&vec![vec![request; texts.len()]]));
    }
}

#[gtest]
fn a_connection_that_the_server_closes_is_not_used_again() {
    let close = "HTTP/1.1 200 OK\r\nConnection: keep-alive, Close\r\nContent-Length: 1\r\n\r\na";
    let old = "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nb";
    let until_closed = "HTTP/1.1 200 OK\r\n\r\nuntil the end";
    let texts = [close, old, until_closed, OK, OK];
    let (address, _) = serve(texts.iter().map(|t| vec![whole(t)]).collect());
    let expected = [
        pair(200, "a"),
        pair(200, "b"),
        pair(200, "until the end"),
        pair(200, "yes"),
        pair(200, "yes"),
    ];
    expect_that!(bodies(call_all(&address, texts.len())), eq(&expected));
}

/// Bytes after a response would be taken for the response to the next call.
#[gtest]
fn a_connection_with_unasked_bytes_is_not_used_again() {
    let (address, _) = serve(vec![
        vec![whole(&format!("{OK}HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))],
        vec![vec![OK.into(), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_vec()]],
        vec![whole(OK)],
    ]);
    expect_that!(bodies(call_all(&address, 3)), eq(&vec![pair(200, "yes"); 3]));
}

#[gtest]
fn a_call_whose_response_is_incomplete_or_invalid_may_have_run() {
    let too_large =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", MAX_RESPONSE_BYTES + 1);
    let endless_head = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000));
    let huge_chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nab";
    let chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for text in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nyes",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        "SMTP\r\n\r\n",
        &format!("{chunk}3\r\nye"),
        &format!("{chunk}2\r\nyes\r\n0\r\n\r\n"),
        &format!("{chunk}no\r\n"),
        huge_chunk,
        &too_large,
        &endless_head,
    ] {
        let (address, _) = serve(vec![vec![whole(text)]]);
        let reply = call_all(&address, 1).remove(0);
        expect_that!(reply, err(matches_pattern!(Error::Unknown { .. })), "{text}");
    }
}

#[gtest]
fn a_call_that_would_forge_a_header_is_not_sent() {
    let (address, server) = serve(vec![vec![whole(OK)], vec![whole(OK)]]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = Client::new();
    let forged = [("X-A", "b\r\nX-C: d")];
    let call = Call::get(&address, "/", TIMEOUT);
    for call in [
        Call { headers: &forged, ..call },
        Call { path: "/a b", ..call },
        Call { path: "/ HTTP/1.1\r\n\r\n", ..call },
        Call { if_none_match: Some("a\nb"), ..call },
    ] {
        let reply = runtime.block_on(client.call(call));
        expect_that!(reply, err(matches_pattern!(Error::Unsent { .. })));
    }
    drop(client);
    drop(server);
}

#[gtest]
fn nothing_is_sent_to_an_address_without_a_listener() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let reply = call_all(&address, 1).remove(0);
    expect_that!(reply, err(matches_pattern!(Error::Unsent { .. })));
}

/// A server that refuses a large body need not read it.
#[gtest]
fn a_response_before_the_body_is_sent_is_received() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 100]).unwrap();
        stream.write_all(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n").unwrap();
        // Reads on, so that the response is not discarded by a reset.
        while stream.read(&mut [0; 65_536]).is_ok_and(|count| count > 0) {}
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let body = vec![b'x'; 4 << 20];
    let client = Client::new();
    let reply = runtime.block_on(client.call(Call::post(&address, "/", &body, TIMEOUT)));
    expect_that!(reply.map(|r| r.status), ok(eq(&413)));
    drop((client, runtime));
    server.join().unwrap();
}
