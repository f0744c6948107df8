//! Results of an experiment: measured values with baseline, ratio and target, printed as a table or
//! as JSON.

use serde_json::{Map, Value, json};
use std::fmt;

/// Bound that a measured value must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// The measured value must not be greater.
    AtMost(f64),
    /// The measured value must not be smaller.
    AtLeast(f64),
}

impl Target {
    fn is_met(self, measured: f64) -> bool {
        match self {
            Self::AtMost(bound) => measured <= bound,
            Self::AtLeast(bound) => measured >= bound,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(bound) => write!(f, "<= {bound}"),
            Self::AtLeast(bound) => write!(f, ">= {bound}"),
        }
    }
}

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured, with its unit.
    pub metric: String,
    /// The measured value.
    pub measured: f64,
    /// The same value of the baseline, measured in the same run.
    pub baseline: Option<f64>,
    /// Bound that the measured value must keep, if it has one.
    pub target: Option<Target>,
}

impl Row {
    /// Returns whether the target is met; `None` without a target. NaN meets no target.
    pub fn is_met(&self) -> Option<bool> {
        self.target.map(|target| target.is_met(self.measured))
    }

    fn ratio(&self) -> Option<f64> {
        self.baseline.filter(|&b| b != 0.0).map(|b| self.measured / b)
    }
}

/// A line of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points of the line, as x and y.
    pub points: Vec<(f64, f64)>,
}

/// The result of one experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the experiment; one of [`crate::experiment::NAMES`].
    pub experiment: &'static str,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Measured values, in the order in which they are printed.
    pub rows: Vec<Row>,
    /// Number of violated guarantees of the scheduler, such as double runs and reservations beyond
    /// capacity; 1 is added when an experiment can't run.
    pub violations: u64,
    /// Lines of the chart that `--plot` draws; not part of the JSON output.
    pub chart: Vec<Series>,
    /// Names of the x and y axes of the chart.
    pub axes: (&'static str, &'static str),
}

impl Report {
    /// Creates a report without values, violations or chart.
    pub const fn new(experiment: &'static str, seed: u64) -> Self {
        Self {
            experiment,
            seed,
            rows: Vec::new(),
            violations: 0,
            chart: Vec::new(),
            axes: ("", ""),
        }
    }

    /// Adds a measured value.
    pub fn row(
        &mut self,
        metric: impl Into<String>,
        measured: f64,
        baseline: Option<f64>,
        target: Option<Target>,
    ) {
        self.rows.push(Row { metric: metric.into(), measured, baseline, target });
    }

    /// Returns whether all targets are met without a violation.
    pub fn is_met(&self) -> bool {
        self.violations == 0 && self.rows.iter().all(|row| row.is_met() != Some(false))
    }

    /// Returns the report as one JSON object, in which metrics are keys; without the chart.
    pub fn to_json(&self) -> Value {
        let map = |value: &dyn Fn(&Row) -> Option<Value>| {
            let pairs = self.rows.iter().filter_map(|r| Some((r.metric.clone(), value(r)?)));
            Value::Object(pairs.collect::<Map<String, Value>>())
        };
        let unmet = self.rows.iter().filter(|r| r.is_met() == Some(false));
        json!({
            "experiment": self.experiment,
            "seed": self.seed,
            "measured": map(&|r| Some(json!(r.measured))),
            "baseline": map(&|r| r.baseline.map(|b| json!(b))),
            "ratio": map(&|r| r.ratio().map(|ratio| json!(ratio))),
            "target": map(&|r| r.target.map(|target| json!(target.to_string()))),
            "met": self.is_met(),
            "unmet": unmet.map(|r| r.metric.as_str()).collect::<Vec<_>>(),
            "violations": self.violations,
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { experiment, seed, violations, .. } = self;
        writeln!(f, "{experiment}, seed {seed}")?;
        let width = self.rows.iter().map(|r| r.metric.len()).max().unwrap_or(0).max(6);
        let heads = ["measured", "baseline", "ratio", "target", "met"];
        write!(f, "{:width$}", "metric")?;
        for head in heads {
            write!(f, " {head:>12}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            let number = |n: Option<f64>| n.map_or_else(|| "-".into(), |n| format!("{n:.3}"));
            let target = row.target.map_or_else(|| "-".into(), |t| t.to_string());
            let met = row.is_met().map_or("-", |met| if met { "yes" } else { "NO" });
            write!(f, "{:width$} {:>12.3}", row.metric, row.measured)?;
            let (baseline, ratio) = (number(row.baseline), number(row.ratio()));
            writeln!(f, " {baseline:>12} {ratio:>12} {target:>12} {met:>12}")?;
        }
        writeln!(f, "violations: {violations}")
    }
}
