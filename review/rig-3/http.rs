//! HTTP/1.1 with `Content-Length`: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a server waits for the next request on a connection.
const IDLE: Duration = Duration::from_secs(60);

pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path without its query.
    pub fn place(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|f| f.1)
    }
}

/// What a server does with a request.
pub enum Answer {
    /// Responds with a status and a body.
    With(u16, Vec<u8>),
    /// Closes the connection without a response.
    Close,
}

impl Answer {
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self::With(status, body.into().into_bytes())
    }
}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. `mark` is what the connection was given when it was accepted.
    fn handle(&self, request: &Request, mark: u64) -> Answer;
}

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || connection(&stream, &*handler, 0));
        }
    });
}

/// Serves a connection until it ends.
pub fn connection(stream: &TcpStream, handler: &dyn Handler, mark: u64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(IDLE)).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let path = words.nth(1)?.to_owned();
        let headers = read_headers(&mut reader)?;
        let mut request = Request { path, headers, body: Vec::new() };
        let length = request.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body).ok()?;
        match handler.handle(&request, mark) {
            Answer::With(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut out = head.into_bytes();
                out.extend_from_slice(&body);
                (&mut &*stream).write_all(&out).ok()?;
            }
            Answer::Close => {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return None;
            }
        }
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Makes a call on a new connection. Returns the status and the body, or why there is no response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(failed)?;
    stream.set_read_timeout(Some(timeout)).map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let deadline = timeout.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {deadline}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(failed)?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status: u16 = status.ok_or("connection closed without a response")?;
    let headers = read_headers(&mut reader).ok_or("response head is broken")?;
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).map_err(failed)?;
    Ok((status, body))
}
