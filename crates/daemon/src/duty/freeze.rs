//! Suspends all threads of a daemon, as a pause of the process by the operating system would.
//!
//! Fault-injection tests use it: a daemon that resumes with stale orders in memory must not break
//! any promise.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use tokio::sync::watch;

/// The suspend switch of one daemon.
#[derive(Clone, Debug)]
pub struct Freeze {
    /// Wakes the runtimes when the switch changes.
    requested: watch::Sender<bool>,
    /// Blocks the threads while the switch is on.
    frozen: Arc<(Mutex<bool>, Condvar)>,
}

impl Default for Freeze {
    fn default() -> Self {
        Self { requested: watch::Sender::new(false), frozen: Arc::default() }
    }
}

impl Freeze {
    /// Suspends or resumes all threads.
    pub fn set(&self, on: bool) {
        let (frozen, changed) = &*self.frozen;
        *frozen.lock().unwrap_or_else(PoisonError::into_inner) = on;
        changed.notify_all();
        self.requested.send_replace(on);
    }

    /// Blocks the calling thread, and so its whole current-thread runtime, while the switch is on.
    pub(super) async fn block_while_frozen(self) {
        let mut requested = self.requested.subscribe();
        while requested.wait_for(|on| *on).await.is_ok() {
            let (frozen, changed) = &*self.frozen;
            let frozen = frozen.lock().unwrap_or_else(PoisonError::into_inner);
            drop(changed.wait_while(frozen, |on| *on));
            // `set` wakes the threads before it resets `requested`.
            if requested.wait_for(|on| !*on).await.is_err() {
                return;
            }
        }
    }
}
