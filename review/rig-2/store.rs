//! Stand-in of the platform's metadata store: topics with one partition, fenced appends, reads with
//! a wait, and the newest record of each key. Records expire after the retention time.

use crate::http::{Reply, Request};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Limits of the settings file.
pub const MAX_RECORD_BYTES: usize = 262_144;
pub const MAX_CALL_BYTES: usize = 2_097_152;
/// Time of an append, in milliseconds.
pub const APPEND_MS: u64 = 4;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    /// Sequence numbers and answers of the last five appends.
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    /// Offset of the first retained record.
    first: u64,
    records: std::collections::VecDeque<(Instant, Vec<u8>)>,
    /// Offset and value of the newest record of each key, for keyed topics.
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && let Some((length, rest)) = record.split_first() {
            let length = usize::from(*length).min(rest.len());
            let (key, value) = rest.split_at(length);
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.to_vec(), (self.end(), value.to_vec()));
            }
        }
        self.records.push_back((Instant::now(), record));
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

pub struct Store {
    keep: Duration,
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// One append at a time.
    append: Mutex<()>,
    /// Answers every call with 503.
    pub is_down: AtomicBool,
}

impl Store {
    pub fn new(keep: Duration) -> Self {
        let (topics, changed, append) = Default::default();
        Self { keep, topics, changed, append, is_down: AtomicBool::new(false) }
    }

    /// Writes a keyed record, as the operator and the runners do. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_string()).or_default().push(record, true);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        if self.is_down.load(Ordering::Relaxed) {
            return Reply::json(503, "{}".into());
        }
        let topic = request.parameter("topic").unwrap_or_default();
        if request.number("part") != Some(0) {
            return Reply::json(400, "{}".into());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request, topic),
            ("GET", "/log-read") => self.read(request, topic),
            ("GET", "/log-newest") => self.newest(request, topic),
            _ => Reply::json(404, "{}".into()),
        }
    }

    fn append(&self, request: &Request, topic: &str) -> Reply {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return Reply::json(403, "{}".into());
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_RECORD_BYTES || length > tail.len() {
                return Reply::json(400, "{}".into());
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        if records.iter().map(Vec::len).sum::<usize>() > MAX_CALL_BYTES {
            return Reply::json(400, "{}".into());
        }
        let _one = self.append.lock().unwrap();
        std::thread::sleep(Duration::from_millis(APPEND_MS));
        let mut topics = self.topics.lock().unwrap();
        let topic_state = topics.entry(topic.to_string()).or_default();
        topic_state.expire(self.keep);
        let (offset, count) = (topic_state.end(), records.len() as u64);
        if request.number("at").is_some_and(|at| at != offset) {
            return Reply::json(412, format!("{{\"endOffset\":{offset}}}"));
        }
        let answer = format!("{{\"offset\":{offset},\"endOffset\":{}}}", offset + count);
        if let (Some(id), Some(epoch), Some(number)) =
            (request.parameter("producerId"), request.number("epoch"), request.number("seqNo"))
        {
            let producer = topic_state.producers.entry(id.to_string()).or_default();
            let is_first = producer.last.is_empty() && producer.epoch == 0;
            if !is_first && epoch < producer.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch > producer.epoch || is_first {
                *producer = Producer { epoch, next: number, last: Vec::new() };
            }
            if let Some((_, first)) = producer.last.iter().find(|(n, _)| *n == number) {
                return Reply::json(200, first.clone());
            }
            if number != producer.next {
                let next = producer.next;
                return Reply::json(409, format!("{{\"reason\":\"seq\",\"seqNo\":{next}}}"));
            }
            producer.next += 1;
            producer.last.push((number, answer.clone()));
            if producer.last.len() > 5 {
                producer.last.remove(0);
            }
        }
        records.into_iter().for_each(|r| topic_state.push(r, topic.starts_with("keyed.")));
        self.changed.notify_all();
        Reply::json(200, answer)
    }

    fn read(&self, request: &Request, topic: &str) -> Reply {
        let from = request.number("from").unwrap_or(0);
        let most = request.number("maxKb").unwrap_or(1024) as usize * 1024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let state = topics.entry(topic.to_string()).or_default();
            state.expire(self.keep);
            if from < state.first {
                return Reply::json(410, format!("{{\"firstOffset\":{}}}", state.first));
            }
            if from < state.end() || Instant::now() >= until {
                let mut body = state.end().to_be_bytes().to_vec();
                body.extend_from_slice(&state.first.to_be_bytes());
                for (_, record) in state.records.iter().skip((from - state.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply::Answer(200, body);
            }
            let left = until.saturating_duration_since(Instant::now());
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, topic: &str) -> Reply {
        let after = request.parameter("dependsOn").unwrap_or_default().as_bytes().to_vec();
        let mut topics = self.topics.lock().unwrap();
        let state = topics.entry(topic.to_string()).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in state.newest.iter().filter(|(key, _)| **key > after) {
            if items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                has_more = true;
                break;
            }
            let key = crate::json::quoted(&String::from_utf8_lossy(key));
            let value = base64(value);
            bytes += value.len();
            items.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let (items, end) = (items.join(","), state.end());
        Reply::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}"),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = 0;
        for i in 0..3 {
            word = word << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
