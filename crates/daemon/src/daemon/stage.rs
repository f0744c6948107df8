//! Groups of duties that a planned stop ends together.

use crate::duty::{self, Duty, Tokens};
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Duties that a planned stop ends together.
///
/// A duty ends before those that it needs to complete its requests: first the fronts for callers
/// and operators, then the front for peers, then the dispatch duty, then all others.
pub(crate) struct ShutdownStage {
    pub tokens: Tokens,
    threads: Vec<JoinHandle<()>>,
}

impl ShutdownStage {
    /// Returns all stages. They stop one by one, but are aborted and suspended together.
    pub fn all() -> [Self; 4] {
        let shared = Tokens::default();
        [(); 4].map(|()| {
            let tokens = Tokens { stop: CancellationToken::new(), ..shared.clone() };
            Self { tokens, threads: Vec::new() }
        })
    }

    pub fn start(&mut self, duty: Box<dyn Duty>) -> Result<(), duty::Error> {
        self.threads.push(duty::start(duty, &self.tokens)?);
        Ok(())
    }

    /// Stops the duties gracefully and waits for their threads.
    pub fn stop(&mut self) {
        self.tokens.stop.cancel();
        self.join();
    }

    /// Waits for the threads.
    pub fn join(&mut self) {
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("duty thread panicked");
            }
        }
    }
}
