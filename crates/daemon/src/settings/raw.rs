//! Parsed settings files, and their validation into [`Settings`].

use super::section::{Section, line};
use super::{Listen, Platform, Settings, Timing, relations};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::lease;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_wire::http::server;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use toml::Spanned;
use toml::de::DeTable;

/// Maximum of every time setting: one year, in milliseconds.
const MAX_MS: u64 = 365 * 24 * 3600 * 1000;
/// Range of times that must not be zero.
const POSITIVE_MS: RangeInclusive<u64> = 1..=MAX_MS;
/// Range of times that may be zero.
const ANY_MS: RangeInclusive<u64> = 0..=MAX_MS;
/// Maximum length of an instance's name, which leaves room for the suffix of each start.
const MAX_NAME_BYTES: usize = 48;
/// Range of the number of partitions of the ledger.
const PARTITIONS: RangeInclusive<u64> = 1..=256;
/// Range of the number of places in a ring.
const RING: RangeInclusive<u64> = 1..=65_536;
/// Range of the number of connections of a listener.
const CONNECTIONS: RangeInclusive<u64> = 1..=65_536;
/// Range of the size of a request's head. The lower bound is the minimum of the HTTP library.
const HEADER_BYTES: RangeInclusive<u64> = 8192..=1024 * 1024;
/// Range of the size of a request's body.
const BODY_BYTES: RangeInclusive<u64> = 1..=64 * 1024 * 1024;
/// Log levels, from the most severe.
pub(super) const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// A settings file that was parsed as TOML but not validated.
#[derive(Debug)]
pub struct Raw<'a> {
    text: &'a str,
    table: Spanned<DeTable<'a>>,
    /// Syntax errors. The table holds what could be parsed despite them.
    syntax_errors: List,
}

impl<'a> From<&'a str> for Raw<'a> {
    fn from(text: &'a str) -> Self {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut syntax_errors = List::new();
        for error in errors {
            let place = error
                .span()
                .map_or_else(|| "file".into(), |span| format!("line {}", line(text, span.start)));
            syntax_errors.note(place, error.message());
        }
        Self { text, table, syntax_errors }
    }
}

impl TryFrom<Raw<'_>> for Settings {
    type Error = List;

    fn try_from(raw: Raw<'_>) -> Result<Self, List> {
        let mut findings = raw.syntax_errors;
        if raw.table.get_ref().is_empty() && findings.is_empty() {
            findings.note("file", "is empty: name, place, listen and platform are required");
        }
        let mut root = Section::root(raw.text, raw.table.get_ref());
        let name = instance_name(&mut root, &mut findings);
        let place = read_place(&mut root, &mut findings);
        let listen = read_listen(&mut root, &mut findings);
        let platform = read_platform(&mut root, &mut findings);
        let bounds = read_bounds(&mut root, &mut findings);
        let timing = read_timing(&mut root, &mut findings);
        let limits = read_limits(&mut root, &mut findings);
        let partitions = root.number("partitions", &PARTITIONS, 16, &mut findings);
        let ring = root.number("ring", &RING, 1024, &mut findings);
        let log_level = read_level(&mut root, &mut findings);
        let timeline = read_path(&mut root, "timeline", &mut findings);
        let operator_keys = read_path(&mut root, "operator_keys", &mut findings);
        let peer_key = read_path(&mut root, "peer_key", &mut findings);
        root.finish(&mut findings);
        relations::times(&bounds, &timing, &limits, &mut findings);
        if let Some(listen) = &listen {
            relations::listeners(listen, &mut findings);
        }
        if let Some(platform) = &platform {
            relations::platform(platform, &bounds, &timing, &mut findings);
        }
        if let (Some(listen), Some(platform)) = (&listen, &platform) {
            relations::addresses(listen, platform, &mut findings);
        }
        match (name, place, listen, platform) {
            (Some(name), Some(place), Some(listen), Some(platform)) if findings.is_empty() => {
                Ok(Self {
                    name,
                    place,
                    listen,
                    platform,
                    bounds,
                    timing,
                    partitions: u16::try_from(partitions).unwrap_or(u16::MAX),
                    limits,
                    ring: to_size(ring),
                    log_level,
                    timeline,
                    operator_keys,
                    peer_key,
                })
            }
            _ => Err(findings),
        }
    }
}

fn instance_name(root: &mut Section<'_>, findings: &mut List) -> Option<Name> {
    let name = root.name("name", findings)?;
    if name.as_str().len() > MAX_NAME_BYTES {
        let message = format!("must have at most {MAX_NAME_BYTES} bytes");
        findings.note(root.place("name"), message);
    }
    Some(name)
}

fn read_place(root: &mut Section<'_>, findings: &mut List) -> Option<Place> {
    let mut section = root.section("place", findings);
    let region = section.name("region", findings);
    let domain = section.name("domain", findings);
    let rack = section.name("rack", findings);
    section.finish(findings);
    Some(Place { region: region?, domain: domain?, rack: rack? })
}

fn read_listen(root: &mut Section<'_>, findings: &mut List) -> Option<Listen> {
    let mut section = root.section("listen", findings);
    let callers = section.address("callers", findings);
    let operators = section.address("operators", findings);
    let peers = section.address("peers", findings);
    let metrics = section.address("metrics", findings);
    section.finish(findings);
    Some(Listen { callers: callers?, operators: operators?, peers: peers?, metrics: metrics? })
}

fn read_platform(root: &mut Section<'_>, findings: &mut List) -> Option<Platform> {
    let mut section = root.section("platform", findings);
    let log = section.address("log", findings);
    let list = section.address("list", findings);
    let list_lag_ms = section.millis("list_lag_ms", &POSITIVE_MS, Millis::from_secs(5), findings);
    let retention_ms =
        section.millis("retention_ms", &POSITIVE_MS, Millis::from_secs(3600), findings);
    section.finish(findings);
    Some(Platform { log: log?, list: list?, list_lag_ms, retention_ms })
}

fn read_bounds(root: &mut Section<'_>, findings: &mut List) -> lease::Bounds {
    let mut section = root.section("bounds", findings);
    let default = lease::Bounds::default();
    let bounds = lease::Bounds {
        lease_ms: section.millis("lease_ms", &POSITIVE_MS, default.lease_ms, findings),
        currency_ms: section.millis("currency_ms", &POSITIVE_MS, default.currency_ms, findings),
        skew_ms: section.millis("skew_ms", &ANY_MS, default.skew_ms, findings),
    };
    section.finish(findings);
    bounds
}

fn read_timing(root: &mut Section<'_>, findings: &mut List) -> Timing {
    let mut section = root.section("timing", findings);
    let default = Timing::default();
    let mut positive = |key, default| section.millis(key, &POSITIVE_MS, default, findings);
    let timing = Timing {
        list_ms: positive("list_ms", default.list_ms),
        ping_ms: positive("ping_ms", default.ping_ms),
        suspicion_ms: positive("suspicion_ms", default.suspicion_ms),
        heartbeat_ms: positive("heartbeat_ms", default.heartbeat_ms),
        loss_ms: positive("loss_ms", default.loss_ms),
        log_ms: positive("log_ms", default.log_ms),
        term_ms: positive("term_ms", default.term_ms),
        drain_ms: section.millis("drain_ms", &ANY_MS, default.drain_ms, findings),
    };
    section.finish(findings);
    timing
}

fn read_limits(root: &mut Section<'_>, findings: &mut List) -> server::Limits {
    let mut section = root.section("limits", findings);
    let default = server::Limits::default();
    let mut size = |key, range: &RangeInclusive<u64>, default: usize| {
        to_size(section.number(key, range, default as u64, findings))
    };
    let connections = size("connections", &CONNECTIONS, default.connections);
    let header_bytes = size("header_bytes", &HEADER_BYTES, default.header_bytes);
    let body_bytes = size("body_bytes", &BODY_BYTES, default.body_bytes);
    let limits = server::Limits {
        connections,
        header_bytes,
        body_bytes,
        header_ms: section.millis("header_ms", &POSITIVE_MS, default.header_ms, findings),
        request_ms: section.millis("request_ms", &POSITIVE_MS, default.request_ms, findings),
    };
    section.finish(findings);
    limits
}

fn read_level(root: &mut Section<'_>, findings: &mut List) -> String {
    let level = root.text("log_level", findings).unwrap_or("info");
    if !LEVELS.contains(&level) {
        let message = format!("must be one of {}, not {level:?}", LEVELS.join(", "));
        findings.note(root.place("log_level"), message);
    }
    level.into()
}

fn read_path(root: &mut Section<'_>, key: &'static str, findings: &mut List) -> Option<PathBuf> {
    let text = root.text(key, findings)?;
    if text.is_empty() {
        findings.note(root.place(key), "must not be empty");
    }
    Some(PathBuf::from(text))
}

fn to_size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
