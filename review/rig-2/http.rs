//! A small HTTP/1.1 server, one thread a connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

/// Threads that accept the connections of a server.
const ACCEPTORS: usize = 2;

/// Time in which the connections of a killed process end here: a status poll is held for 1.5 s.
const LOSS_NOTICED: Duration = Duration::from_millis(2500);

/// What a server does with a request.
pub enum Reply {
    /// Status and body.
    Answer(u16, Vec<u8>),
    /// No answer; the connection stays open and silent.
    Silence,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Self {
        Reply::Answer(status, body.into_bytes())
    }
}

pub type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// A listening server.
pub struct Server {
    /// Number of open connections, with those of machines that lost power: their ends are not seen.
    open: Arc<AtomicUsize>,
    /// When a machine at the other end has lost power. A connection that was open then and closes
    /// shortly after is one of its own, and stays open for the server.
    power_lost_at: Arc<Mutex<Option<Instant>>>,
    stop: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server that resets connections beyond `cap`.
    pub fn start(address: &str, cap: usize, handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let count = Arc::<AtomicUsize>::default();
        let power_lost_at = Arc::<Mutex<Option<Instant>>>::default();
        for _ in 0..ACCEPTORS {
            let (is_stopped, open) = (Arc::clone(&stop), Arc::clone(&streams));
            let (listener, handler) = (listener.try_clone()?, Arc::clone(&handler));
            let (count, lost_at) = (Arc::clone(&count), Arc::clone(&power_lost_at));
            std::thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(Duration::from_micros(500));
                        continue;
                    };
                    if count.fetch_add(1, Ordering::Relaxed) >= cap {
                        count.fetch_sub(1, Ordering::Relaxed);
                        continue;
                    }
                    let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                    if let Ok(copy) = stream.try_clone() {
                        open.lock().unwrap().push(copy);
                    }
                    let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
                    let (count, lost_at) = (Arc::clone(&count), Arc::clone(&lost_at));
                    std::thread::spawn(move || {
                        let opened = Instant::now();
                        serve(stream, &*handler, &is_stopped);
                        let is_lost = |at: Instant| opened < at && at.elapsed() < LOSS_NOTICED;
                        if !lost_at.lock().unwrap().is_some_and(is_lost) {
                            count.fetch_sub(1, Ordering::Relaxed);
                        }
                    });
                }
            });
        }
        Ok(Self { open: count, power_lost_at, stop, streams })
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Notes that a machine at the other end loses power now.
    pub fn note_power_loss(&self) {
        *self.power_lost_at.lock().unwrap() = Some(Instant::now());
    }

    /// Closes the port and all connections, as the end of the process does.
    pub fn close(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_stopped: &AtomicBool) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let reply = handler(&request);
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        match reply {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                // Reads on until the other end gives up.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = field.split_once(':')?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Some(0), |(_, v)| v.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_string(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(n, v)| (n.to_string(), v.to_string())).collect();
    Some(Request { method, path: path.to_string(), query, headers, body })
}

/// Makes a call on a connection of its own. Returns status and body, or why there is no answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let until = Instant::now() + timeout;
    let to = address.parse().map_err(|e| format!("{e}"))?;
    let stream = TcpStream::connect_timeout(&to, timeout).map_err(|e| e.to_string())?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request +=
        &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut out = stream.try_clone().map_err(|e| e.to_string())?;
    out.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or("no answer")?;
    let body = read_body(&mut reader, &headers).ok_or("incomplete answer")?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("bad status line")?;
    Ok((status, body))
}
