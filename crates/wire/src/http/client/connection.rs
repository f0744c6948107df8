//! A connection that carries one HTTP/1.1 call at a time. Calls are small and frequent, so request
//! and response use buffers of the connection, and no task of its own drives it.

use super::{Call, Reply};
use crate::http::traffic::{Counted, Traffic};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header, Response, Status};
use std::io::{self, ErrorKind};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum size of a response body.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a response's head, and of the line before a chunk.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a response.
const MAX_HEADERS: usize = 64;
/// Size of the space that is made for a read of unknown length.
const READ_BYTES: usize = 1024;
/// Buffers that have grown above this size are not kept.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Why an exchange failed.
#[derive(Debug)]
pub(super) enum ExchangeError {
    /// No byte of the call was sent.
    Unsent,
    /// The call was sent, at least in part.
    Unknown(String),
}

/// A connection to a server.
#[derive(Debug)]
pub(super) struct Connection {
    stream: Counted<TcpStream>,
    request: Vec<u8>,
    /// Bytes that were received and are not yet taken.
    received: BytesMut,
    /// Whether the server ended the last response without closing the connection.
    is_reusable: bool,
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    Bytes(usize),
    Chunked,
    UntilClosed,
}

/// The parts of a response's head that are used.
#[derive(Debug)]
struct Head {
    status: u16,
    tag: Option<String>,
    length: Length,
    keeps_open: bool,
}

impl Connection {
    /// Connects to a server.
    pub(super) async fn open(address: &str, traffic: Arc<Traffic>) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (request, received) = (Vec::new(), BytesMut::new());
        Ok(Self { stream: Counted::new(stream, traffic), request, received, is_reusable: false })
    }

    /// Returns whether the connection is open and the server has sent nothing since its last response.
    pub(super) fn is_idle(&self) -> bool {
        let read = self.stream.get_ref().try_read(&mut [0]);
        read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether another call can follow the last one.
    pub(super) const fn can_be_reused(&self) -> bool {
        self.is_reusable
    }

    /// Sends a call and receives its response.
    pub(super) async fn exchange(&mut self, call: Call<'_>) -> Result<Reply, ExchangeError> {
        self.is_reusable = false;
        self.request.clear();
        write_request(&mut self.request, call).ok_or(ExchangeError::Unsent)?;
        let mut sent = 0;
        let mut failure = None;
        while sent < self.request.len() {
            match self.stream.write(&self.request[sent..]).await {
                Ok(0) => failure = Some(io::Error::from(ErrorKind::WriteZero)),
                Ok(count) => sent += count,
                Err(error) => failure = Some(error),
            }
            if failure.is_some() {
                break;
            }
        }
        if sent == 0 {
            return Err(ExchangeError::Unsent);
        }
        // A server that refuses a body may answer and close before it has read the whole body.
        let received = self.receive(call.method == "HEAD").await;
        let reply = received.map_err(|e| failure.as_ref().unwrap_or(&e).to_string());
        self.is_reusable &= failure.is_none() && self.received.is_empty();
        if self.received.capacity() > MAX_KEPT_BYTES {
            self.received = BytesMut::new();
        }
        if self.request.capacity() > MAX_KEPT_BYTES {
            self.request = Vec::new();
        }
        reply.map_err(ExchangeError::Unknown)
    }

    async fn receive(&mut self, is_bodiless: bool) -> io::Result<Reply> {
        let mut head = self.head().await?;
        while (100..200).contains(&head.status) {
            head = self.head().await?;
        }
        let body = match head.length {
            _ if is_bodiless || matches!(head.status, 204 | 304) => Bytes::new(),
            Length::Bytes(count) => self.take(count).await?,
            Length::Chunked => self.chunks().await?,
            Length::UntilClosed => self.rest().await?,
        };
        self.is_reusable = head.keeps_open;
        Ok(Reply { status: head.status, tag: head.tag, body })
    }

    async fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some((head, length)) = parse_head(&self.received)? {
                self.received.advance(length);
                return Ok(head);
            }
            check(self.received.len() < MAX_HEAD_BYTES, "head of the response is too large")?;
            self.fill(READ_BYTES).await?;
        }
    }

    /// Takes the next `count` bytes.
    async fn take(&mut self, count: usize) -> io::Result<Bytes> {
        check(count <= MAX_RESPONSE_BYTES, "body of the response is too large")?;
        while self.received.len() < count {
            self.fill(count - self.received.len()).await?;
        }
        Ok(self.received.split_to(count).freeze())
    }

    /// Takes a body that ends with the connection.
    async fn rest(&mut self) -> io::Result<Bytes> {
        loop {
            match self.fill(READ_BYTES).await {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::UnexpectedEof => {
                    return Ok(self.received.split().freeze());
                }
                Err(error) => return Err(error),
            }
            let is_short = self.received.len() <= MAX_RESPONSE_BYTES;
            check(is_short, "body of the response is too large")?;
        }
    }

    /// Takes a body in chunks, and the trailer after it.
    async fn chunks(&mut self) -> io::Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let size = self.chunk_size().await?;
            if size == 0 {
                break;
            }
            let is_short = size <= MAX_RESPONSE_BYTES - body.len();
            check(is_short, "body of the response is too large")?;
            body.put(self.take(size).await?);
            let end = self.line().await?;
            check(end.is_empty(), "chunk of the response is too long")?;
        }
        while !self.line().await?.is_empty() {}
        Ok(body.freeze())
    }

    async fn chunk_size(&mut self) -> io::Result<usize> {
        let line = self.line().await?;
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let digits = std::str::from_utf8(digits).unwrap_or_default();
        usize::from_str_radix(digits, 16).map_err(|_| invalid("size of a chunk can't be decoded"))
    }

    /// Takes a line, without its end.
    async fn line(&mut self) -> io::Result<Bytes> {
        loop {
            if let Some(end) = self.received.iter().position(|b| *b == b'\n') {
                let line = self.received.split_to(end + 1).freeze();
                let line = line.slice(..end);
                return Ok(if line.ends_with(b"\r") { line.slice(..end - 1) } else { line });
            }
            check(self.received.len() < MAX_HEAD_BYTES, "line of the response is too long")?;
            self.fill(READ_BYTES).await?;
        }
    }

    /// Receives more bytes into space for at least `space` ones.
    async fn fill(&mut self, space: usize) -> io::Result<()> {
        self.received.reserve(space);
        match self.stream.read_buf(&mut self.received).await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

fn check(is_valid: bool, message: &'static str) -> io::Result<()> {
    if is_valid { Ok(()) } else { Err(invalid(message)) }
}

fn invalid(message: &'static str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, message)
}

/// Writes a request. Returns `None` if a part of it would break out of its place in the head.
fn write_request(request: &mut Vec<u8>, call: Call<'_>) -> Option<()> {
    let is_word = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
    if !is_word(call.method) || !is_word(call.path) {
        return None;
    }
    for part in [call.method, " ", call.path, " HTTP/1.1\r\n"] {
        request.extend_from_slice(part.as_bytes());
    }
    field(request, "host", call.host())?;
    field(request, "content-type", call.content.media_type())?;
    if let Some(key) = call.key {
        field(request, "authorization", &format!("Bearer {key}"))?;
    }
    if let Some(tag) = call.if_none_match {
        field(request, "if-none-match", tag)?;
    }
    for (name, value) in call.headers.iter().filter(|(name, _)| *name != "Host") {
        field(request, name, value)?;
    }
    if !call.body.is_empty() || call.method != "GET" {
        field(request, "content-length", &call.body.len().to_string())?;
    }
    request.extend_from_slice(b"\r\n");
    request.extend_from_slice(call.body);
    Some(())
}

/// Writes a header field, unless its value has control characters.
fn field(request: &mut Vec<u8>, name: &str, value: &str) -> Option<()> {
    if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
        return None;
    }
    for part in [name, ": ", value, "\r\n"] {
        request.extend_from_slice(part.as_bytes());
    }
    Some(())
}

/// Parses the head of a response. Returns it with its length, or `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let length =
        match response.parse(bytes).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))? {
            Status::Complete(length) => length,
            Status::Partial => return Ok(None),
        };
    let fields = &*response.headers;
    let is_close = lists(fields, "connection", "close");
    let is_http_1_1 = response.version == Some(1);
    let body_length = body_length(fields)?;
    let head = Head {
        status: response.code.unwrap_or_default(),
        tag: value(fields, "etag").map(String::from),
        length: body_length,
        keeps_open: is_http_1_1 && !is_close && body_length != Length::UntilClosed,
    };
    Ok(Some((head, length)))
}

fn body_length(fields: &[Header<'_>]) -> io::Result<Length> {
    if lists(fields, "transfer-encoding", "chunked") {
        return Ok(Length::Chunked);
    }
    match value(fields, "content-length") {
        None => Ok(Length::UntilClosed),
        Some(text) => {
            let count = text.parse().map_err(|_| invalid("length of the body can't be decoded"))?;
            Ok(Length::Bytes(count))
        }
    }
}

fn value<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(field.value).ok().map(str::trim)
}

/// Returns whether a field with a list of words contains `word`.
fn lists(fields: &[Header<'_>], name: &str, word: &str) -> bool {
    let words = value(fields, name).unwrap_or_default().split(',');
    words.map(str::trim).any(|w| w.eq_ignore_ascii_case(word))
}
