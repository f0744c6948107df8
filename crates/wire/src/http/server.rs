//! An HTTP server with resource limits.
//!
//! Every listener limits connections, header time, body size and request time. A stop completes the
//! requests in flight and closes idle connections.

use super::traffic::{Counted, Traffic};
use super::{Handler, Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HeaderValue, IF_NONE_MATCH, RETRY_AFTER};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed `accept`, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Resource limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time limit for receiving a request head, and for an idle connection. It should exceed the
    /// idle time after which clients discard connections, so that no call is sent on a connection
    /// that is being closed.
    pub header_ms: Millis,
    /// Time limit for receiving a request body and handling the request.
    pub request_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 512,
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_ms: Millis::from_secs(30),
            request_ms: Millis::from_secs(75),
        }
    }
}

/// Serves a listener until `stop` is cancelled, then waits for the requests in flight. Bytes are
/// added to `traffic`.
pub async fn serve(
    listener: TcpListener,
    limits: Limits,
    traffic: Arc<Traffic>,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let tracker = TaskTracker::new();
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let stream = prepare(stream, &traffic);
                let connection = connection(stream, limits, Arc::clone(&handler), stop.clone());
                tracker.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Serves one accepted connection until it ends, or until `stop` is cancelled and its request in
/// flight is answered. [`serve`] calls this for each connection of a listener.
pub async fn connection(
    stream: impl AsyncRead + AsyncWrite + Unpin,
    limits: Limits,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(request, limits, &*handler).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.header_ms))
        .max_buf_size(limits.header_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection closed with an error");
    }
}

/// Wraps an accepted stream with byte counters, and sets `TCP_NODELAY`, without which small
/// responses are delayed.
fn prepare(stream: TcpStream, traffic: &Arc<Traffic>) -> Counted<TcpStream> {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY");
    }
    Counted::new(stream, Arc::clone(traffic))
}

async fn answer(
    request: hyper::Request<Incoming>,
    limits: Limits,
    handler: &dyn Handler,
) -> hyper::Response<Full<Bytes>> {
    let limit = Duration::from(limits.request_ms);
    let response = match tokio::time::timeout(limit, handle(request, limits, handler)).await {
        Ok(response) => response,
        Err(_) => Response::findings(408, &List::one("request", "took too long")),
    };
    encode(response)
}

/// Receives the body of a request and calls the handler.
async fn handle(
    request: hyper::Request<Incoming>,
    limits: Limits,
    handler: &dyn Handler,
) -> Response {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("must be at most {} bytes", limits.body_bytes);
            return Response::findings(413, &List::one("body", message));
        }
        Err(error) => {
            return Response::findings(400, &List::one("body", error.to_string()));
        }
    };
    let authorization = head.headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let request = Request {
        method: head.method.as_str(),
        path: head.uri.path(),
        query: head.uri.query().unwrap_or_default(),
        key: authorization.and_then(|v| v.strip_prefix("Bearer ")),
        if_none_match: head.headers.get(IF_NONE_MATCH).and_then(|v| v.to_str().ok()),
        headers: &head.headers,
        body: &body,
    };
    handler.handle(request).await
}

fn encode(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut encoded = hyper::Response::new(Full::new(Bytes::from(response.body)));
    *encoded.status_mut() = hyper::StatusCode::from_u16(response.status)
        .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = encoded.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(response.content.media_type()));
    if let Some(after) = response.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.get().div_ceil(1000)));
    }
    if let Some(tag) = response.tag.and_then(|t| HeaderValue::try_from(t).ok()) {
        headers.insert(ETAG, tag);
    }
    encoded
}
