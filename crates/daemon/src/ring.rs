//! Bounded rings between duties.
//!
//! Two rules prevent deadlocks between duties that wait for each other. A command to another duty
//! is *offered*: if the ring is full, the offer fails at once and the command is refused. Only
//! one-way data (records of the log, reports, results of a duty's own calls) may be *pushed*, which
//! waits for a free place.

use snafu::Snafu;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{oneshot, watch};

/// Error of [`Sender::offer`] and [`Sender::push`]: the ring is full, or its receiver was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the ring is full or its receiver has ended"))]
pub struct Full;

/// The sending end of a ring.
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

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T>(async_channel::Receiver<T>);

impl<T> Clone for Receiver<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Creates a ring with `places` places, at least one.
pub fn ring<T>(places: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = async_channel::bounded(places.max(1));
    (Sender { sender, refusals: Arc::default() }, Receiver(receiver))
}

impl<T> Sender<T> {
    /// Puts an item in the ring without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when no place is free or the receiver was dropped.
    pub fn offer(&self, item: T) -> Result<(), Full> {
        self.sender.try_send(item).map_err(|_| {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            Full
        })
    }

    /// As [`Self::offer`], but returns the item on failure.
    ///
    /// # Errors
    ///
    /// Returns the item when no place is free or the receiver was dropped.
    pub fn offer_back(&self, item: T) -> Result<(), T> {
        self.sender.try_send(item).map_err(|error| {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            error.into_inner()
        })
    }

    /// Puts an item in the ring, waiting until a place is free.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when the receiver was dropped.
    pub async fn push(&self, item: T) -> Result<(), Full> {
        self.sender.send(item).await.map_err(|_| Full)
    }

    /// Returns the number of items in the ring.
    pub fn depth(&self) -> usize {
        self.sender.len()
    }

    /// Returns the number of offers that have failed since the ring was created.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }
}

impl<T> Receiver<T> {
    /// Takes the next item, waiting until there is one. Returns `None` when the ring is empty and
    /// all senders were dropped.
    pub async fn next(&self) -> Option<T> {
        self.0.recv().await.ok()
    }

    /// Takes the next item if there is one.
    pub fn try_next(&self) -> Option<T> {
        self.0.try_recv().ok()
    }
}

/// The channel on which a command is answered, at most once.
pub type Reply<T> = oneshot::Sender<T>;

/// The reading end of a ring of one place whose value is replaced by each newer one. Every reader
/// sees the newest value.
pub type Latest<T> = watch::Receiver<T>;

/// The writing end of a [`Latest`].
pub type Publisher<T> = watch::Sender<T>;

/// Creates a [`Latest`] with its initial value.
pub fn latest<T>(first: T) -> (Publisher<T>, Latest<T>) {
    watch::channel(first)
}

/// Errors of [`ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unanswered {
    /// The ring was full, so the command had no effect.
    #[snafu(display("the ring is full"))]
    Refused,
    /// The receiver dropped the command without a reply; the command may have had an effect.
    #[snafu(display("the receiver ended"))]
    Dropped,
}

/// Offers a command that carries its reply channel, and waits for the reply.
///
/// # Errors
///
/// Returns [`Unanswered::Refused`] when the command certainly had no effect, and
/// [`Unanswered::Dropped`] when it may have had one.
pub async fn ask<T, R>(
    ring: &Sender<T>,
    command: impl FnOnce(Reply<R>) -> T,
) -> Result<R, Unanswered> {
    let (reply, answer) = oneshot::channel();
    ring.offer(command(reply)).map_err(|Full| Unanswered::Refused)?;
    answer.await.map_err(|_| Unanswered::Dropped)
}
