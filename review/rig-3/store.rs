//! The platform's metadata store: logs and keyed topics in memory, with the retention of records by age.

use crate::http::{Answer, Handler, Request};
use crate::json::quote;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that an append takes (`appendMs`). A partition makes them one at a time.
const APPEND: Duration = Duration::from_millis(4);
/// Answers to a producer's appends that the store repeats.
const REPEATED: usize = 5;
/// Most records in a page of newest records.
const PAGE: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Partition {
    records: VecDeque<(Instant, Vec<u8>)>,
    first: u64,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, content: Vec<u8>) {
        if is_keyed && let Some((length, rest)) = content.split_first() {
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.into(), (value.into(), self.end()));
            }
        }
        self.records.push_back((Instant::now(), content));
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct State {
    partitions: HashMap<String, Partition>,
    /// When the newest snapshot was announced, and how many were.
    snapshot: Option<(Instant, u64)>,
}

pub struct Store {
    keep: Duration,
    state: Mutex<State>,
    changed: Condvar,
    busy: Mutex<HashMap<String, Arc<Mutex<()>>>>,
}

impl Store {
    pub fn new(keep: Duration) -> Self {
        Self { keep, state: Mutex::default(), changed: Condvar::new(), busy: Mutex::default() }
    }

    /// Returns when the daemons' last snapshot was announced in their topic of places, and how many were.
    /// The referee times disruptions by it and judges nothing by it.
    pub fn snapshot(&self) -> Option<(Instant, u64)> {
        self.state.lock().unwrap().snapshot
    }

    /// Writes a keyed record as the operator or a runner. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![u8::try_from(key.len()).unwrap()];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state.partitions.entry(format!("{topic}/0")).or_default().push(true, content);
        drop(state);
        self.changed.notify_all();
    }

    fn append(&self, request: &Request, name: &str) -> Answer {
        let Some(records) = split(&request.body) else { return Answer::text(400, "{}") };
        let is_keyed = name.starts_with("keyed.");
        if name.starts_with("keyed.op/") || name.starts_with("keyed.servers/") {
            return Answer::text(403, "{}");
        }
        let busy = Arc::clone(self.busy.lock().unwrap().entry(name.into()).or_default());
        let _turn = busy.lock().unwrap();
        std::thread::sleep(APPEND);
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(name.into()).or_default();
        let number = |field: &str| request.query(field).and_then(|v| v.parse::<u64>().ok());
        let end = partition.end();
        if number("at").is_some_and(|at| at != end) {
            return Answer::text(412, format!("{{\"endOffset\":{end}}}"));
        }
        let offsets = (end, end + records.len() as u64);
        if let Some(id) = request.query("producerId") {
            let (epoch, sequence) = (number("epoch").unwrap_or(0), number("seqNo").unwrap_or(0));
            let producer = partition.producers.entry(id.into()).or_default();
            if epoch < producer.epoch {
                return Answer::text(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some((_, from, to)) = producer.answers.iter().find(|a| a.0 == sequence) {
                return Answer::text(200, format!("{{\"offset\":{from},\"endOffset\":{to}}}"));
            }
            if let Some(last) = producer.last.filter(|last| sequence != last + 1) {
                let expected = last + 1;
                return Answer::text(409, format!("{{\"reason\":\"seq\",\"seqNo\":{expected}}}"));
            }
            if !records.is_empty() {
                producer.last = Some(sequence);
                producer.answers.push_back((sequence, offsets.0, offsets.1));
                if producer.answers.len() > REPEATED {
                    producer.answers.pop_front();
                }
            }
        }
        for record in records {
            partition.push(is_keyed, record);
        }
        if name == "keyed.manifest/0" && request.body.windows(6).any(|w| w == b"newest") {
            let count = state.snapshot.map_or(0, |s| s.1) + 1;
            state.snapshot = Some((Instant::now(), count));
        }
        drop(state);
        self.changed.notify_all();
        Answer::text(200, format!("{{\"offset\":{},\"endOffset\":{}}}", offsets.0, offsets.1))
    }

    fn read(&self, request: &Request, name: &str) -> Answer {
        let number = |field: &str| request.query(field).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let most = number("maxKb").unwrap_or(1024) * 1024;
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(name.into()).or_default();
            partition.expire(self.keep);
            let (first, end) = (partition.first, partition.end());
            if from < first {
                return Answer::text(410, format!("{{\"firstOffset\":{first}}}"));
            }
            let now = Instant::now();
            if from < end || now >= until {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&first.to_be_bytes());
                let skip = usize::try_from(from - first).unwrap();
                for (_, content) in partition.records.iter().skip(skip) {
                    if (body.len() + content.len() + 4) as u64 > most.max(20) {
                        break;
                    }
                    body.extend_from_slice(&u32::try_from(content.len()).unwrap().to_be_bytes());
                    body.extend_from_slice(content);
                }
                return Answer::With(200, body);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request, name: &str) -> Answer {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(name.into()).or_default();
        let after = request.query("dependsOn").unwrap_or("").as_bytes();
        let rows = partition.newest.iter().filter(|(key, _)| after.is_empty() || &key[..] > after);
        let rows: Vec<_> = rows.take(PAGE + 1).collect();
        let item = |(key, (value, offset)): &(&Vec<u8>, &(Vec<u8>, u64))| {
            let key = quote(&String::from_utf8_lossy(key));
            format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = rows.iter().take(PAGE).map(item).collect();
        let (items, more, end) = (items.join(","), rows.len() > PAGE, partition.end());
        let body = format!("{{\"items\":[{items}],\"hasMore\":{more},\"endOffset\":{end}}}");
        Answer::text(200, body)
    }
}

impl Handler for Store {
    fn handle(&self, request: &Request, _: u64) -> Answer {
        let topic = request.query("topic").unwrap_or_default();
        let name = format!("{topic}/{}", request.query("part").unwrap_or("0"));
        match request.place() {
            "/log-append" => self.append(request, &name),
            "/log-read" => self.read(request, &name),
            "/log-newest" => self.newest(request, &name),
            _ => Answer::text(404, "{}"),
        }
    }
}

/// Splits a body into its records, each of which has its length in front.
fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(record.into());
        body = rest;
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let group = part.iter().fold(0_u32, |sum, b| sum << 8 | u32::from(*b));
        let group = group << (8 * (3 - part.len()));
        for i in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
