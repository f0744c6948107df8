//! Metrics of a shard's daemon, exported in the Prometheus text format.

use super::ledger::counts::Counts;
use super::view::{self, ShardStatus};
use crate::metrics::{Depth, Error, Export, gauge};
use crate::ring::Latest;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::traffic::Traffic;
use std::sync::Arc;

/// Instrumentation scope of the metrics.
const METER: &str = "pimentovalve_shard";
/// Bucket bounds of latency histograms, in milliseconds: from the network latency between regions to
/// the longest time that a caller waits.
const BUCKETS_MS: [f64; 10] = [2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 3000.0];

/// Bucket bounds of the waits that jobs are refused for, in milliseconds.
const WAIT_BUCKETS_MS: [f64; 6] = [2000.0, 5000.0, 10_000.0, 20_000.0, 40_000.0, 80_000.0];

/// Instruments of one daemon.
pub struct Metrics {
    export: Export,
    answers: Counter<u64>,
    answer_ms: Histogram<u64>,
    orders: Counter<u64>,
    order_ms: Histogram<u64>,
    order_wait_ms: Histogram<u64>,
    stop_ms: Histogram<u64>,
    stage_ms: Histogram<u64>,
    entries: Counter<u64>,
    refused_wait_ms: Histogram<u64>,
}

impl Metrics {
    /// Registers the instruments. `rings` holds each ring with the name of its receiving duty, `workers`
    /// counts the connections to workers, `counts` the entries that wait for the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setup`] when the exporter can't be set up.
    pub fn new(
        shard_status: Latest<ShardStatus>,
        rings: Vec<(&'static str, Box<dyn Depth>)>,
        workers: Arc<Traffic>,
        counts: Arc<Counts>,
    ) -> Result<Self, Error> {
        let export = Export::new()?;
        let meter = export.meter(METER);
        let epochs = shard_status.clone();
        let name = "pimentovalve_owned_epoch";
        gauge(&meter, name, "Epoch of the own claim, 0 without one", "shard", move || {
            vec![("0", epochs.borrow().epoch.unwrap_or_default())]
        });
        let leftovers = shard_status.clone();
        let name = "pimentovalve_ended_job_runs";
        gauge(&meter, name, "Runs of ended jobs that may still execute", "shard", move || {
            vec![("0", leftovers.borrow().leftover.runs as u64)]
        });
        let ages = shard_status.clone();
        let name = "pimentovalve_ended_job_runs_age_ms";
        gauge(
            &meter,
            name,
            "Longest time since the end of such a job, in ms",
            "shard",
            move || vec![("0", ages.borrow().leftover.oldest.get())],
        );
        let name = "pimentovalve_log_age_ms";
        gauge(&meter, name, "Age of the replica, in ms", "shard", move || {
            vec![("0", view::now().since(shard_status.borrow().covered_until).get())]
        });
        let name = "pimentovalve_ring_depth";
        gauge(&meter, name, "Taken places of a ring", "duty", move || {
            rings.iter().map(|(duty, ring)| (*duty, ring.depth() as u64)).collect()
        });
        let name = "pimentovalve_worker_connections";
        gauge(&meter, name, "Connections to workers, by state", "state", move || {
            vec![("open", workers.open()), ("opened", workers.opened())]
        });
        let name = "pimentovalve_waiting_entries";
        gauge(&meter, name, "Callers' entries that wait for the store", "state", move || {
            counts.values()
        });
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let histogram = |name, about| {
            let builder = meter.u64_histogram(name).with_description(about);
            builder.with_boundaries(BUCKETS_MS.to_vec()).build()
        };
        Ok(Self {
            export,
            answers: counter("pimentovalve_answers", "Answers to callers, by kind"),
            answer_ms: histogram("pimentovalve_answer_ms", "Time to answer a caller, in ms"),
            orders: counter("pimentovalve_orders", "Calls to workers, by kind and answer"),
            order_ms: histogram("pimentovalve_order_ms", "Time of a call to a worker, in ms"),
            order_wait_ms: histogram(
                "pimentovalve_order_wait_ms",
                "Time that an order waits for earlier ones to its worker, in ms",
            ),
            stop_ms: histogram(
                "pimentovalve_stop_ms",
                "Time from the end of a job to the acknowledged stop of a run, in ms",
            ),
            stage_ms: histogram(
                "pimentovalve_stage_ms",
                "Time of a stage between a job's request and its first start, in ms",
            ),
            entries: counter("pimentovalve_entries", "Own entries in the log, by kind"),
            refused_wait_ms: meter
                .u64_histogram("pimentovalve_refused_wait_ms")
                .with_description("Expected wait of a job refused for want of room, in ms")
                .with_boundaries(WAIT_BUCKETS_MS.to_vec())
                .build(),
        })
    }

    /// Counts an answer to a caller and records its latency.
    pub fn answered(&self, kind: &'static str, took: Millis) {
        self.answers.add(1, &[KeyValue::new("answer", kind)]);
        self.answer_ms.record(took.get(), &[]);
    }

    /// Counts a call to a worker and records its latency.
    pub fn ordered(&self, kind: &'static str, answer: &'static str, took: Millis) {
        let kind = KeyValue::new("kind", kind);
        self.orders.add(1, &[kind.clone(), KeyValue::new("answer", answer)]);
        self.order_ms.record(took.get(), &[kind]);
    }

    /// Records the time that an order waited for earlier ones to its worker.
    pub fn order_waited(&self, took: Millis) {
        self.order_wait_ms.record(took.get(), &[]);
    }

    /// Records the time from the end of a job to the acknowledged stop of one of its runs.
    pub fn stopped(&self, took: Millis) {
        self.stop_ms.record(took.get(), &[]);
    }

    /// Records the time of a stage between a job's request and the start of its first task.
    pub fn stage(&self, stage: &'static str, took: Millis) {
        self.stage_ms.record(took.get(), &[KeyValue::new("stage", stage)]);
    }

    /// Records the expected wait of a job that was refused for want of room.
    pub fn refused(&self, wait: Millis) {
        self.refused_wait_ms.record(wait.get(), &[]);
    }

    /// Counts entries of one kind that this daemon has recorded in the log.
    pub fn recorded(&self, kind: &'static str, count: usize) {
        self.entries.add(count as u64, &[KeyValue::new("entry", kind)]);
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Text`] when the metrics can't be encoded.
    pub fn text(&self) -> Result<String, Error> {
        self.export.text()
    }
}
