//! HTTP server and client: a server with resource limits and trait-object handlers, and a pooled
//! client that distinguishes calls that were never sent from calls that may have run.

pub mod client;
pub mod keys;
pub mod server;
pub mod traffic;

use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use serde::Serialize;
use std::future::Future;
use std::hash::Hasher;
use std::pin::Pin;

use crate::codec;
use hyper::HeaderMap;

/// A boxed future, as returned by methods of trait objects.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The encoding of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// JSON, as of [`codec::to_json`].
    Json,
    /// MessagePack, as of [`codec::pack`].
    Pack,
    /// Plain text, such as TOML or metrics.
    Text,
}

impl Content {
    /// Returns the value of the `Content-Type` header.
    pub const fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Pack => "application/msgpack",
            Self::Text => "text/plain; charset=utf-8",
        }
    }
}

/// A completely received request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method, in capitals.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark; empty when there is none.
    pub query: &'a str,
    /// Name and secret from the `Authorization: Bearer name:secret` header.
    pub key: Option<&'a str>,
    /// Entity tag of the content that the client has, from the `If-None-Match` header.
    pub if_none_match: Option<&'a str>,
    /// All header fields.
    pub headers: &'a HeaderMap,
    /// Body, not longer than the listener's limit.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Returns the value of a header field, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&'a str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A response to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code. A code outside 100 to 999 is sent as 500.
    pub status: u16,
    /// Encoding of `body`.
    pub content: Content,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Time for the `Retry-After` header, which is rounded up to seconds.
    pub retry_after: Option<Millis>,
    /// Entity tag for the `ETag` header.
    pub tag: Option<String>,
}

impl Response {
    /// Returns a response with a JSON body.
    pub fn json<T: Serialize>(status: u16, message: &T) -> Self {
        Self::encoded(status, Content::Json, codec::to_json(message))
    }

    /// Returns a response with a MessagePack body.
    pub fn pack<T: Serialize>(status: u16, message: &T) -> Self {
        Self::encoded(status, Content::Pack, codec::pack(message))
    }

    /// Returns a response with a text body.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        let body = body.into().into_bytes();
        Self { status, content: Content::Text, body, retry_after: None, tag: None }
    }

    /// Adds an entity tag, and turns the response into 304 without a body if the client already has
    /// the content.
    #[must_use]
    pub fn tagged(self, request: &Request<'_>) -> Self {
        let tag = format!("\"{:016x}\"", fingerprint(&self.body));
        if request.if_none_match == Some(tag.as_str()) {
            return Self { status: 304, body: Vec::new(), tag: Some(tag), ..self };
        }
        Self { tag: Some(tag), ..self }
    }

    /// Returns a response with findings as JSON.
    pub fn findings(status: u16, findings: &List) -> Self {
        #[derive(Serialize)]
        struct Body<'a> {
            findings: &'a List,
        }
        Self::json(status, &Body { findings })
    }

    fn encoded(status: u16, content: Content, body: Result<Vec<u8>, List>) -> Self {
        match body {
            Ok(body) => Self { status, content, body, retry_after: None, tag: None },
            Err(findings) => Self::text(500, findings.to_string()),
        }
    }
}

/// Returns a hash of a body that is equal in all processes of the same release.
fn fingerprint(body: &[u8]) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Handles the requests of a listener, independently of the protocol.
pub trait Handler: Send + Sync {
    /// Returns the response to a request. The future is dropped if it takes longer than the
    /// listener's limit.
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response>;
}
