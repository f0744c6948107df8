//! HTTP on both sides: a bounded server with trait-object handlers, and a pooled client that
//! tells "never sent" from "may have run".

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

/// A future that a trait object returns.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// How a body is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// JSON.
    Json,
    /// MessagePack.
    Pack,
    /// Plain text, such as TOML or metrics.
    Text,
}

impl Content {
    /// Returns the media type.
    pub const fn media_type(self) -> &'static str {
        match self {
            Self::Json => "application/json",
            Self::Pack => "application/msgpack",
            Self::Text => "text/plain; charset=utf-8",
        }
    }
}

/// A whole request, as a handler sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method, in capitals.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query without the question mark, empty when there is none.
    pub query: &'a str,
    /// Name and secret from the `Authorization: Bearer name:secret` header.
    pub key: Option<&'a str>,
    /// Tag of the content that the sender has, from the `If-None-Match` header.
    pub unless: Option<&'a str>,
    /// All header fields.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Returns the value of a header field, if it is text.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the parts of the path between slashes.
    pub fn segments(&self) -> Vec<&'a str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns the value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// How the body is encoded.
    pub content: Content,
    /// Body.
    pub body: Vec<u8>,
    /// When the caller should come back, for the `Retry-After` header.
    pub retry_after: Option<Millis>,
    /// Tag of the content, for the `ETag` header.
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

    /// Gives the content a tag, and leaves it out (304) when the sender has it already.
    #[must_use]
    pub fn tagged(self, request: &Request<'_>) -> Self {
        let tag = format!("\"{:016x}\"", fingerprint(&self.body));
        if request.unless == Some(tag.as_str()) {
            return Self { status: 304, body: Vec::new(), tag: Some(tag), ..self };
        }
        Self { tag: Some(tag), ..self }
    }

    /// Returns a response that lists findings.
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

/// Returns a hash of a body, the same in every process of a release.
fn fingerprint(body: &[u8]) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// Serves requests; the border between the protocol and whoever decides.
pub trait Handler: Send + Sync {
    /// Answers a request.
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response>;
}
