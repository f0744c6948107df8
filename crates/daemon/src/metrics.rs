//! Metrics of one daemon, through `opentelemetry`, in the Prometheus text format.
//!
//! Values are read on export, from the views that duties publish, from the rings, and from the
//! operating system. So metrics cost nothing between exports, and no duty waits for them.

mod process;

use crate::ring::{Latest, Sender};
use crate::view::{self, ControlledWorkers, LedgerView, Members, SchedulerStats};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pimentovalve_core::contract::class::Class;
use pimentovalve_wire::http::traffic::Traffic;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;

/// Name of the OpenTelemetry meter.
const METER: &str = "pimentovalve";

/// Why metrics cannot be exported.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exporter cannot be set up.
    #[snafu(display("cannot set up the metrics exporter: {source}"))]
    Setup {
        /// Error of the exporter.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics cannot be encoded as text.
    #[snafu(display("cannot encode metrics: {source}"))]
    Text {
        /// Error of the encoder.
        source: prometheus::Error,
    },
}

/// The sources of all metrics.
pub struct Sources {
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Workers controlled by this instance, as published by the control duty.
    pub controlled: Latest<ControlledWorkers>,
    /// Scheduler statistics as published by the steward duty.
    pub scheduler_stats: Latest<SchedulerStats>,
    /// Rings by the name of the receiving duty.
    pub rings: Vec<(&'static str, Box<dyn Depth>)>,
    /// Byte counters by the kind of remote end.
    pub traffic: Vec<(&'static str, Arc<Traffic>)>,
}

/// The metrics of a ring, independent of its item type.
pub trait Depth: Send + Sync {
    /// Returns the number of items in the ring.
    fn depth(&self) -> usize;

    /// Returns the number of offers that have failed since the ring was created.
    fn refusals(&self) -> u64;
}

impl<T: Send> Depth for Sender<T> {
    fn depth(&self) -> usize {
        Self::depth(self)
    }

    fn refusals(&self) -> u64 {
        Self::refusals(self)
    }
}

/// A meter provider with a Prometheus exporter.
pub(crate) struct Export {
    registry: Registry,
    /// Owns the instruments, which end with it.
    provider: SdkMeterProvider,
}

impl Export {
    /// Sets up an exporter without instruments.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setup`] when the exporter cannot be set up.
    pub(crate) fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context(SetupSnafu)?;
        Ok(Self { registry, provider: SdkMeterProvider::builder().with_reader(exporter).build() })
    }

    /// Returns a meter, through which instruments are created.
    pub(crate) fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// Reads all metrics and returns them in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Text`] when they cannot be encoded.
    pub(crate) fn text(&self) -> Result<String, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).context(TextSnafu)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// All metrics of one daemon.
pub struct Metrics(Export);

impl Metrics {
    /// Creates all instruments. They read `sources` on each export.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setup`] when the exporter cannot be set up.
    pub fn new(sources: Sources) -> Result<Self, Error> {
        let export = Export::new()?;
        let meter = export.meter(METER);
        let Sources { ledger_view, members, controlled, scheduler_stats, rings, traffic } = sources;
        observe_ledger(&meter, ledger_view);
        observe_members(&meter, members, controlled);
        observe_waits(&meter, scheduler_stats.clone());
        observe_packing(&meter, scheduler_stats);
        observe_rings(&meter, rings);
        observe_traffic(&meter, traffic);
        observe_process(&meter);
        Ok(Self(export))
    }

    /// Reads all metrics and returns them in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Text`] when they cannot be encoded.
    pub fn text(&self) -> Result<String, Error> {
        self.0.text()
    }
}

/// Adds a gauge with one label. On each export `read` returns pairs of label value and amount.
pub(crate) fn gauge(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    label: &'static str,
    read: impl Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
) {
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |observer| {
            for (value, amount) in read() {
                observer.observe(amount, &[KeyValue::new(label, value)]);
            }
        })
        .build();
}

/// Adds a counter with one label. On each export `read` returns pairs of label value and amount.
pub(crate) fn counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    label: &'static str,
    read: impl Fn() -> Vec<(String, u64)> + Send + Sync + 'static,
) {
    meter
        .u64_observable_counter(name)
        .with_description(description)
        .with_callback(move |observer| {
            for (value, amount) in read() {
                observer.observe(amount, &[KeyValue::new(label, value)]);
            }
        })
        .build();
}

fn observe_ledger(meter: &Meter, ledger_view: Latest<LedgerView>) {
    let versions = ledger_view.clone();
    let name = "pimentovalve_configuration_version";
    gauge(meter, name, "Version in force", "stream", move || {
        vec![("configuration", versions.borrow().history.configuration().version)]
    });
    let name = "pimentovalve_log_lag_ms";
    gauge(meter, name, "Age of what is known of a stream, in ms", "stream", move || {
        let (now, ledger_view) = (view::now(), ledger_view.borrow());
        vec![
            ("configuration", now.since(ledger_view.history_as_of).get()),
            ("fleet", now.since(ledger_view.fleet_as_of).get()),
        ]
    });
}

fn observe_members(
    meter: &Meter,
    members: Latest<Arc<Members>>,
    controlled: Latest<ControlledWorkers>,
) {
    let name = "pimentovalve_instances";
    gauge(meter, name, "Instances that this one knows", "state", move || {
        let members = Arc::clone(&members.borrow());
        vec![
            ("candidate", members.candidates.len() as u64),
            ("peer", members.peers.len() as u64),
            ("draining", u64::from(members.draining)),
        ]
    });
    let (current, adoptions) = (controlled.clone(), controlled);
    let name = "pimentovalve_workers";
    gauge(meter, name, "Workers that this instance controls", "state", move || {
        vec![("held", current.borrow().workers.len() as u64)]
    });
    let name = "pimentovalve_ownership";
    counter(meter, name, "Adoptions and losses of ownership", "event", move || {
        let controlled = adoptions.borrow();
        vec![("adopted".into(), controlled.adopted), ("given_up".into(), controlled.given_up)]
    });
}

fn observe_waits(meter: &Meter, scheduler_stats: Latest<SchedulerStats>) {
    let class_name = |class: Class| match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Deferrable => "deferrable",
    };
    let sums = scheduler_stats.clone();
    let counts = scheduler_stats.clone();
    let name = "pimentovalve_wait_count";
    counter(meter, name, "Tasks that were given a place", "class", move || {
        let counters = counts.borrow().counters;
        Class::ALL.map(|c| (class_name(c).into(), counters.waits[c.index()].count)).into()
    });
    let name = "pimentovalve_wait_sum_ms";
    counter(meter, name, "Sum of waits for a place, in ms", "class", move || {
        let counters = sums.borrow().counters;
        Class::ALL.map(|c| (class_name(c).into(), counters.waits[c.index()].sum.get())).into()
    });
    let name = "pimentovalve_decisions";
    counter(meter, name, "Decisions of the scheduler", "kind", move || {
        let counters = scheduler_stats.borrow().counters;
        vec![
            ("placed".into(), counters.placed),
            ("preempted".into(), counters.preempted),
            ("refused".into(), counters.refused),
            ("backfilled".into(), counters.backfilled),
            ("reserved".into(), counters.reservations),
        ]
    });
}

fn observe_packing(meter: &Meter, scheduler_stats: Latest<SchedulerStats>) {
    let total = scheduler_stats.clone();
    let name = "pimentovalve_capacity";
    gauge(meter, name, "Capacity of the fleet in view", "resource", move || {
        let total = total.borrow().total;
        vec![
            ("cpu_milli", total.cpu_milli),
            ("memory_mib", total.memory_mib),
            ("accelerators", total.accelerators),
        ]
    });
    let name = "pimentovalve_capacity_free";
    gauge(meter, name, "Capacity that is free in view", "resource", move || {
        let free = scheduler_stats.borrow().free;
        vec![
            ("cpu_milli", free.cpu_milli),
            ("memory_mib", free.memory_mib),
            ("accelerators", free.accelerators),
        ]
    });
}

fn observe_rings(meter: &Meter, rings: Vec<(&'static str, Box<dyn Depth>)>) {
    let rings = Arc::new(rings);
    let depths = Arc::clone(&rings);
    let name = "pimentovalve_ring_depth";
    gauge(meter, name, "Taken places of a ring", "duty", move || {
        depths.iter().map(|(duty, ring)| (*duty, ring.depth() as u64)).collect()
    });
    let name = "pimentovalve_ring_refusals";
    counter(meter, name, "Offers that a full ring refused", "duty", move || {
        rings.iter().map(|(duty, ring)| ((*duty).into(), ring.refusals())).collect()
    });
}

fn observe_traffic(meter: &Meter, traffic: Vec<(&'static str, Arc<Traffic>)>) {
    let traffic = Arc::new(traffic);
    let sent = Arc::clone(&traffic);
    let name = "pimentovalve_bytes_sent";
    counter(meter, name, "Bytes sent, by other end", "with", move || {
        sent.iter().map(|(with, t)| ((*with).into(), t.sent())).collect()
    });
    let name = "pimentovalve_bytes_received";
    counter(meter, name, "Bytes received, by other end", "with", move || {
        traffic.iter().map(|(with, t)| ((*with).into(), t.received())).collect()
    });
}

fn observe_process(meter: &Meter) {
    let name = "pimentovalve_thread_cpu_ms";
    counter(meter, name, "Processor time by duty, in ms", "duty", process::threads);
    let name = "pimentovalve_memory_bytes";
    gauge(meter, name, "Resident memory of the process, in bytes", "kind", || {
        vec![("resident", process::resident_bytes())]
    });
}
