//! Checks of settings against each other.

use super::{Listen, Platform, Timing};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::lease;
use pimentovalve_wire::http::server;
use std::net::SocketAddr;

/// A setting with its value.
type Value<'a> = (&'a str, Millis);

/// Checks times against each other.
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
    // A lease survives one lost heartbeat, and a worker is not lost by one.
    twice(lease, heartbeat, findings);
    twice(loss, heartbeat, findings);
    twice(suspicion, ("timing.ping_ms", timing.ping_ms), findings);
    longer(loss, suspicion, findings);
    longer(lease, currency, findings);
    // The proofs rest on a reading of the log that may take its longest time.
    longer(currency, log, findings);
    longer(("timing.term_ms", timing.term_ms), log, findings);
    if limits.request_ms <= request::MAX_WAIT {
        let message =
            format!("must be longer than the longest wait of a caller, {}", request::MAX_WAIT);
        findings.note("limits.request_ms", message);
    }
}

/// Checks what is stated of the platform against the times that rest on it.
pub(super) fn platform(
    platform: &Platform,
    bounds: &lease::Bounds,
    timing: &Timing,
    findings: &mut List,
) {
    // Peers that are not in a reading are still asked for the lag only.
    let lag = ("platform.list_lag_ms", platform.list_lag_ms);
    longer(lag, ("timing.list_ms", timing.list_ms), findings);
    if platform.retention_ms <= bounds.fence() {
        let message = format!("must be longer than the fence after a loss, {}", bounds.fence());
        findings.note("platform.retention_ms", message);
    }
}

/// Checks that the peers' listener can be found by others.
pub(super) fn listeners(listen: &Listen, findings: &mut List) {
    if listen.peers.ip().is_unspecified() {
        findings.note("listen.peers", "must be the IP number by which the peers reach it");
    }
    if listen.peers.port() == 0 {
        findings.note("listen.peers", "must name a port, because the platform's list shows it");
    }
}

/// Checks that no address is given twice. Port 0 stands for any free port.
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
        let earlier = all[..i].iter().find(|(_, other)| clash(*address, *other));
        if let Some((other, _)) = earlier {
            // The log and the list may be one service.
            if (*other, *place) != ("platform.log", "platform.list") {
                findings.note(*place, format!("{address} is also given for {other}"));
            }
        }
    }
    for (place, address) in &all[4..] {
        if address.port() == 0 {
            findings.note(*place, "must name a port");
        }
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any)
}

fn twice((place, value): Value<'_>, (other, least): Value<'_>, findings: &mut List) {
    if value <= least.times(2) {
        findings
            .note(place, format!("must be longer than twice {other}, 2 x {least}, not {value}"));
    }
}

fn longer((place, value): Value<'_>, (other, least): Value<'_>, findings: &mut List) {
    if value <= least {
        findings.note(place, format!("must be longer than {other}, {least}, not {value}"));
    }
}
