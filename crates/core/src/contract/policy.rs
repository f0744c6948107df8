//! Scheduling behaviour that depends on the [`Shape`] of a kind of work.
//!
//! The scheduler uses the trait [`Policy`] and never matches on the [`Shape`], so that a new shape
//! only needs another implementation of the trait.

use crate::clock::Millis;
use crate::contract::kind::Shape;
use crate::machine::capacity::Capacity;
use std::fmt;

/// Expected run time of a task without declared or estimated run time.
const DEFAULT_RUN: Millis = Millis::from_secs(300);
/// Expected run time of a service, which runs until it is cancelled.
const SERVICE_RUN: Millis = Millis::from_secs(24 * 3600);

/// Scheduling behaviour of the tasks of one kind of work.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Returns the capacity to reserve for a task, given its declared need and the estimate from
    /// earlier tasks of the kind.
    fn reserve(&self, declared: &Capacity, estimated: &Capacity) -> Capacity;

    /// Returns the expected run time of a task. By default an estimate takes precedence over the
    /// declared run time, where zero means that none was declared.
    fn run(&self, declared: Millis, estimated: Option<Millis>) -> Millis {
        match (estimated, declared) {
            (Some(estimated), _) => estimated,
            (None, Millis::ZERO) => DEFAULT_RUN,
            (None, declared) => declared,
        }
    }

    /// Returns whether the tasks of a job are gang-scheduled: either all start together or none.
    fn is_together(&self) -> bool {
        false
    }

    /// Returns whether the tasks of a job are spread over failure domains and racks.
    fn is_spread(&self) -> bool {
        false
    }

    /// Returns whether running tasks can be checkpointed and stopped to free capacity; those of a
    /// gang only together. Only preemptible work may use the guaranteed share of another class
    /// while that class has no work.
    fn is_preemptible(&self) -> bool {
        false
    }
}

/// Policy of [`Shape::Service`]: tasks run until the job is cancelled.
#[derive(Clone, Copy, Debug)]
struct Service;

/// Policy of [`Shape::Batch`]: tasks run to completion independently of each other.
#[derive(Clone, Copy, Debug)]
struct Batch;

/// Policy of [`Shape::Gang`]: all tasks run at the same time, or none does.
#[derive(Clone, Copy, Debug)]
struct Gang;

impl Policy for Service {
    fn reserve(&self, declared: &Capacity, _estimated: &Capacity) -> Capacity {
        *declared
    }

    fn run(&self, _declared: Millis, _estimated: Option<Millis>) -> Millis {
        SERVICE_RUN
    }

    fn is_spread(&self) -> bool {
        true
    }
}

impl Policy for Batch {
    fn reserve(&self, _declared: &Capacity, estimated: &Capacity) -> Capacity {
        *estimated
    }

    fn is_preemptible(&self) -> bool {
        true
    }
}

impl Policy for Gang {
    fn reserve(&self, _declared: &Capacity, estimated: &Capacity) -> Capacity {
        *estimated
    }

    fn is_together(&self) -> bool {
        true
    }

    fn is_preemptible(&self) -> bool {
        true
    }
}

/// Returns the policy of a shape.
pub fn of(shape: Shape) -> &'static dyn Policy {
    match shape {
        Shape::Service => &Service,
        Shape::Batch => &Batch,
        Shape::Gang => &Gang,
    }
}

#[cfg(test)]
mod tests;
