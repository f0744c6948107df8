//! The platform's metadata store: topics with one partition, fenced appends, and keyed topics.

use crate::http::{Request, Response};
use crate::json::quote;
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

const APPEND: Duration = Duration::from_millis(4);
const REMEMBERED: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers of the last appends, each with its response.
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Writes a keyed record, as the operator and the runners do. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.into()).or_default().records.push(content);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default().to_string();
        match request.path.as_str() {
            "/log-append" => {
                std::thread::sleep(APPEND);
                self.append(request, topic)
            }
            "/log-read" => self.read(request, topic),
            "/log-newest" => self.newest(topic),
            _ => Response::new(404, "{}"),
        }
    }

    fn append(&self, request: &Request, topic: String) -> Response {
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (content, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            records.push(content.to_vec());
            rest = tail;
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic).or_default();
        let offset = topic.records.len() as u64;
        let end = offset + records.len() as u64;
        if request.number("at").is_some_and(|at| at != offset) {
            return Response::new(412, format!("{{\"endOffset\":{offset}}}"));
        }
        let answer = format!("{{\"offset\":{offset},\"endOffset\":{end}}}");
        let producer = request.parameter("producerId");
        if let (Some(id), Some(epoch)) = (producer, request.number("epoch")) {
            let producer = topic.producers.entry(id.into()).or_default();
            if epoch < producer.epoch {
                return Response::new(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, last: Vec::new() };
            }
            if let Some(seq) = request.number("seqNo").filter(|_| !records.is_empty()) {
                if let Some((_, first)) = producer.last.iter().find(|(s, _)| *s == seq) {
                    return Response::new(200, first.as_str());
                }
                let expected = producer.last.last().map(|(s, _)| s + 1);
                if let Some(expected) = expected.filter(|e| *e != seq) {
                    let body = format!("{{\"reason\":\"seq\",\"seqNo\":{expected}}}");
                    return Response::new(409, body);
                }
                producer.last.push((seq, answer.clone()));
                if producer.last.len() > REMEMBERED {
                    producer.last.remove(0);
                }
            }
        }
        topic.records.append(&mut records);
        self.changed.notify_all();
        Response::new(200, answer)
    }

    fn read(&self, request: &Request, name: String) -> Response {
        let from = request.number("from").unwrap_or(0) as usize;
        let most = request.number("maxKb").unwrap_or(1024) as usize * 1024;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for content in topic.records.iter().skip(from) {
                    if body.len() + content.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    body.extend_from_slice(content);
                }
                return Response::new(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: String) -> Response {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let mut rows: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, content) in topic.records.iter().enumerate() {
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            if value.is_empty() {
                rows.remove(key);
            } else {
                rows.insert(key, (offset, value));
            }
        }
        let items = rows.into_iter().map(|(key, (offset, value))| {
            let key = quote(&String::from_utf8_lossy(key));
            format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<String> = items.collect();
        let end = topic.records.len();
        let items = items.join(",");
        Response::new(200, format!("{{\"items\":[{items}],\"hasMore\":false,\"endOffset\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
