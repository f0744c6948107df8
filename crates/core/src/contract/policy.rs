//! What differs between the kinds of work, behind one trait.
//!
//! The scheduler asks a [`Policy`] and never the [`Shape`] itself, so that a further kind of work
//! is one more implementation of the trait.

use crate::clock::Millis;
use crate::contract::kind::Shape;
use crate::machine::capacity::Capacity;
use std::fmt;

/// Run time that is assumed of a task that says none.
const DEFAULT_RUN: Millis = Millis::from_secs(300);
/// Run time that is assumed of a service, which runs until it is cancelled.
const SERVICE_RUN: Millis = Millis::from_secs(24 * 3600);

/// How the tasks of one kind of work are scheduled.
pub trait Policy: fmt::Debug + Send + Sync {
    /// Returns the capacity to reserve for a task that declares `declared`, where `estimated` is
    /// what earlier tasks of the kind lead to expect.
    fn reserve(&self, declared: &Capacity, estimated: &Capacity) -> Capacity;

    /// Returns how long a task is expected to run.
    fn run(&self, declared: Millis, estimated: Option<Millis>) -> Millis {
        match (estimated, declared) {
            (Some(estimated), _) => estimated,
            (None, Millis::ZERO) => DEFAULT_RUN,
            (None, declared) => declared,
        }
    }

    /// Returns whether all tasks of a job start together or none does.
    fn is_together(&self) -> bool {
        false
    }

    /// Returns whether the tasks of a job are spread over failure domains and racks.
    fn is_spread(&self) -> bool {
        false
    }

    /// Returns whether running tasks can be checkpointed to make room, those of a gang together.
    /// Only such work may use the guaranteed share of another class while that has no work.
    fn is_preemptible(&self) -> bool {
        false
    }
}

/// Runs until it is cancelled.
#[derive(Clone, Copy, Debug)]
struct Service;

/// Each task runs to its end by itself.
#[derive(Clone, Copy, Debug)]
struct Batch;

/// All tasks run at once or none does.
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
