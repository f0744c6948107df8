//! Holding all threads of a daemon, as the system does with a process that it pauses.
//!
//! Trials use it: a daemon that wakes with orders in hand must do no harm.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use tokio::sync::watch;

/// The switch of one daemon.
#[derive(Clone, Debug)]
pub struct Freeze {
    wanted: watch::Sender<bool>,
    held: Arc<(Mutex<bool>, Condvar)>,
}

impl Default for Freeze {
    fn default() -> Self {
        Self { wanted: watch::Sender::new(false), held: Arc::default() }
    }
}

impl Freeze {
    /// Holds or releases all threads.
    pub fn set(&self, on: bool) {
        let (held, changed) = &*self.held;
        *held.lock().unwrap_or_else(PoisonError::into_inner) = on;
        changed.notify_all();
        self.wanted.send_replace(on);
    }

    /// Holds the calling thread, with everything that its runtime does, whenever that is wanted.
    pub(super) async fn hold(self) {
        let mut wanted = self.wanted.subscribe();
        while wanted.wait_for(|on| *on).await.is_ok() {
            let (held, changed) = &*self.held;
            let held = held.lock().unwrap_or_else(PoisonError::into_inner);
            drop(changed.wait_while(held, |on| *on));
            // The switch is set back after the threads are released.
            if wanted.wait_for(|on| !*on).await.is_err() {
                return;
            }
        }
    }
}
