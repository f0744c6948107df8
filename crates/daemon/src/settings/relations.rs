//! Checks of relations between settings.

use super::{Listen, Platform, Timing};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::lease;
use pimentovalve_wire::http::server;
use std::net::SocketAddr;

/// The key of a setting and its value.
type Value<'a> = (&'a str, Millis);

/// Checks relations between the times.
pub(super) fn times(
    bounds: &lease::Bounds,
    timing: &Timing,
    limits: &server::Limits,
    findings: &mut List,
) {
    let lease = ("bounds.lease_ms", bounds.lease_ms);
    let currency = ("bounds.currency_ms", bounds.currency_ms);
    let heartbeat = ("timing.heartbeat_ms", timing.heartbeat_ms);
    let suspicion = ("timing.suspicion_ms", timing.suspicion_ms);
    let loss = ("timing.loss_ms", timing.loss_ms);
    let log = ("timing.log_ms", timing.log_ms);
    // One missed heartbeat must neither end a lease nor make a worker count as lost.
    longer_than_twice(lease, heartbeat, findings);
    longer_than_twice(loss, heartbeat, findings);
    longer_than_twice(suspicion, ("timing.ping_ms", timing.ping_ms), findings);
    longer_than(loss, suspicion, findings);
    longer_than(lease, currency, findings);
    // Currency is established by reading the log, which may take up to its timeout.
    longer_than(currency, log, findings);
    longer_than(("timing.term_ms", timing.term_ms), log, findings);
    if limits.request_ms <= request::MAX_WAIT {
        let message =
            format!("must be longer than the longest wait of a caller, {}", request::MAX_WAIT);
        findings.note("limits.request_ms", message);
    }
}

/// Checks the stated guarantees of the platform against the times that depend on them.
pub(super) fn platform(
    platform: &Platform,
    bounds: &lease::Bounds,
    timing: &Timing,
    findings: &mut List,
) {
    // A peer that is missing from the list counts as a peer for the time of the lag only.
    let lag = ("platform.list_lag_ms", platform.list_lag_ms);
    longer_than(lag, ("timing.list_ms", timing.list_ms), findings);
    if platform.retention_ms <= bounds.fence() {
        let message =
            format!("must be longer than the fencing time after a loss, {}", bounds.fence());
        findings.note("platform.retention_ms", message);
    }
}

/// Checks that other instances can reach the peers' listener.
pub(super) fn listeners(listen: &Listen, findings: &mut List) {
    if listen.peers.ip().is_unspecified() {
        findings.note("listen.peers", "must be an IP address at which peers reach this instance");
    }
    if listen.peers.port() == 0 {
        findings.note("listen.peers", "must name a port, because the platform's list shows it");
    }
}

/// Checks that no address is used twice. Port 0 stands for any free port.
pub(super) fn addresses(listen: &Listen, platform: &Platform, findings: &mut List) {
    let all: [(&str, SocketAddr); 6] = [
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.peers", listen.peers),
        ("listen.metrics", listen.metrics),
        ("platform.log", platform.log),
        ("platform.list", platform.list),
    ];
    for (i, (place, address)) in all.iter().enumerate() {
        let earlier = all[..i].iter().find(|(_, other)| overlap(*address, *other));
        if let Some((other, _)) = earlier {
            // The log and the list may share one address.
            if (*other, *place) != ("platform.log", "platform.list") {
                findings.note(*place, format!("{address} is already used by {other}"));
            }
        }
    }
    for (place, address) in &all[4..] {
        if address.port() == 0 {
            findings.note(*place, "must name a port");
        }
    }
}

fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any)
}

fn longer_than_twice((place, value): Value<'_>, (other, least): Value<'_>, findings: &mut List) {
    if value <= least.times(2) {
        findings
            .note(place, format!("must be longer than twice {other} (2 x {least}), not {value}"));
    }
}

fn longer_than((place, value): Value<'_>, (other, least): Value<'_>, findings: &mut List) {
    if value <= least {
        findings.note(place, format!("must be longer than {other} ({least}), not {value}"));
    }
}
