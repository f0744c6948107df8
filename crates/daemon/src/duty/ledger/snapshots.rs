//! Restoring streams from snapshots, and writing new ones.

use super::{Event, State};
use crate::duty::steward;
use crate::view;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::ledger::snapshot;
use pimentovalve_wire::codec;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl State {
    /// Merges a restored snapshot into the state. Only newer state is taken, so that no version
    /// ever decreases. A partition is handed to the steward duty, which starts it afresh.
    pub(super) async fn restored(&mut self, stream: Stream, state: Option<snapshot::State>) {
        let Some(i) = self.position(stream) else { return };
        let now = view::now();
        if let Some(state) = &state {
            self.streams[i].snapshots.written(state.next(), now);
        }
        match (stream, state) {
            (Stream::Partition(index), state) => {
                let replica = match state {
                    Some(snapshot::State::Replica(replica)) => Some(replica),
                    _ => None,
                };
                self.notify_steward(steward::Event::GiveUp { index }).await;
                self.notify_steward(steward::Event::Take { index, replica }).await;
            }
            (_, Some(snapshot::State::History(history))) => {
                self.history.merge(&history);
            }
            (_, Some(snapshot::State::Fleet(fleet))) => {
                self.fleet.merge(&fleet);
            }
            _ => {}
        }
        self.publish_view();
    }

    /// Starts the due snapshots of the streams of which this instance is the steward.
    pub(super) async fn start_due_snapshots(&mut self) {
        let now = view::now();
        let members = Arc::clone(&self.duty.members.borrow());
        for i in 0..self.streams.len() {
            let tail = &mut self.streams[i];
            let (stream, next) = (tail.stream, tail.known.load(Ordering::Relaxed));
            let is_own = members.steward(stream).is_some_and(|s| s.name == members.own.name);
            if !is_own || !tail.snapshots.is_due(next, now) {
                continue;
            }
            tail.snapshots.tried(now);
            match stream {
                Stream::Configuration => {
                    let history = snapshot::State::History(self.history.clone());
                    self.save(stream, &history);
                }
                Stream::Fleet => self.save(stream, &snapshot::State::Fleet(self.fleet.clone())),
                Stream::Partition(index) => {
                    self.notify_steward(steward::Event::Save { index }).await
                }
            }
        }
    }

    /// Appends a snapshot in the background. A failure is not retried: the schedule starts
    /// another one later.
    pub(super) fn save(&self, stream: Stream, state: &snapshot::State) {
        let (next, at) = (state.next(), view::now());
        let Ok(entry) = codec::pack(state) else {
            tracing::error!(%stream, "cannot encode snapshot");
            return;
        };
        let (log, events) = (Arc::clone(&self.duty.log), self.events.clone());
        tokio::spawn(async move {
            match log.append(&snapshot::name(stream), vec![entry]).await {
                Ok(_) => {
                    if events.push(Event::Saved { stream, next, at }).await.is_err() {
                        tracing::debug!("ledger duty has ended; call result discarded");
                    }
                }
                Err(failure) => tracing::warn!(%stream, ?failure, "cannot write snapshot"),
            }
        });
    }
}
