//! Bounded rings between duties.
//!
//! Two rules keep duties from waiting for each other in a circle. A command to another duty is
//! *offered*: when the ring is full it comes back at once, and ends in an honest refusal. Only
//! what flows away from its source (rows of the log, reports, events of a duty's own calls) may
//! be *pushed*, which waits for a place.

use snafu::Snafu;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{oneshot, watch};

/// The ring is full, or its receiver has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the ring is full or its receiver has ended"))]
pub struct Full;

/// The sending end.
#[derive(Debug)]
pub struct Sender<T> {
    sender: async_channel::Sender<T>,
    refusals: Arc<AtomicU64>,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone(), refusals: Arc::clone(&self.refusals) }
    }
}

/// The receiving end.
#[derive(Debug)]
pub struct Receiver<T>(async_channel::Receiver<T>);

impl<T> Clone for Receiver<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Returns both ends of a ring with `places` places.
pub fn ring<T>(places: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = async_channel::bounded(places.max(1));
    (Sender { sender, refusals: Arc::default() }, Receiver(receiver))
}

impl<T> Sender<T> {
    /// Puts an item in the ring without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when there is no place.
    pub fn offer(&self, item: T) -> Result<(), Full> {
        self.sender.try_send(item).map_err(|_| {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            Full
        })
    }

    /// As [`Self::offer`], but gives the item back.
    ///
    /// # Errors
    ///
    /// Returns the item when there is no place.
    pub fn offer_back(&self, item: T) -> Result<(), T> {
        self.sender.try_send(item).map_err(|error| {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            error.into_inner()
        })
    }

    /// Puts an item in the ring, waiting for a place.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when the receiver has ended.
    pub async fn push(&self, item: T) -> Result<(), Full> {
        self.sender.send(item).await.map_err(|_| Full)
    }

    /// Returns how many places are taken.
    pub fn depth(&self) -> usize {
        self.sender.len()
    }

    /// Returns how many offers were refused since the start.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }
}

impl<T> Receiver<T> {
    /// Takes the next item, waiting for one. `None` when all senders have ended.
    pub async fn next(&self) -> Option<T> {
        self.0.recv().await.ok()
    }

    /// Takes the next item if there is one.
    pub fn try_next(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}

/// Where the answer to one command goes.
pub type Reply<T> = oneshot::Sender<T>;

/// A ring of one place in which the newest value replaces the older one; every reader sees the
/// newest.
pub type Latest<T> = watch::Receiver<T>;

/// The writing end of a [`Latest`].
pub type Publisher<T> = watch::Sender<T>;

/// Returns both ends of a [`Latest`].
pub fn latest<T>(first: T) -> (Publisher<T>, Latest<T>) {
    watch::channel(first)
}

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unanswered {
    /// The ring was full; nobody saw the command.
    #[snafu(display("the ring is full"))]
    Refused,
    /// The receiver ended without a reply; the command may have had its effect.
    #[snafu(display("the receiver ended"))]
    Dropped,
}

/// Sends a command that carries its reply's address, and waits for the reply.
///
/// # Errors
///
/// Returns whether the command was never seen or may have had its effect.
pub async fn ask<T, R>(
    ring: &Sender<T>,
    command: impl FnOnce(Reply<R>) -> T,
) -> Result<R, Unanswered> {
    let (reply, answer) = oneshot::channel();
    ring.offer(command(reply)).map_err(|Full| Unanswered::Refused)?;
    answer.await.map_err(|_| Unanswered::Dropped)
}
