use super::Ready;
use crate::ring;
use crate::shard::view::{self, Configuration, ShardStatus};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::{Bounds, Catalog};
use pimentovalve_core::contract::roster::Roster;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Returns the readiness check of a daemon that has just read the log to its end, by a read that was
/// sent `age` ago.
fn ready(age: u64) -> Ready {
    let log_read_at = view::now();
    let covered_until = log_read_at.since(Millis(age));
    let status =
        ShardStatus { caught_up: true, log_read_at, covered_until, ..ShardStatus::default() };
    let bounds =
        Bounds { header_bytes: 1, body_bytes: 1, header_ms: Millis(1), idle_ms: Millis(1) };
    let catalog = Some(Arc::new(Catalog::new(1, Vec::new(), bounds, Roster::default())));
    let (_, shard_status) = ring::latest(status);
    let (_, configuration) = ring::latest(Configuration { catalog, covered_until });
    Ready { shard_status, configuration, draining: CancellationToken::new() }
}

/// A daemon whose reads take seconds would refuse most of what callers ask.
#[gtest]
fn a_daemon_with_an_old_replica_is_not_ready() {
    expect_that!(ready(1000).not_ready_reason(), none());
    expect_that!(ready(3500).not_ready_reason(), some(anything()));
}
