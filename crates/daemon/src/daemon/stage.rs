//! Stages of a planned stop.

use crate::duty::{self, Duty, Tokens};
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Duties that end together in a planned stop.
///
/// What a duty needs to finish its requests ends in a later stage: the fronts for callers and
/// operators, then the one for peers, then the dispatch duty, then everything else.
pub(crate) struct Stage {
    pub tokens: Tokens,
    threads: Vec<JoinHandle<()>>,
}

impl Stage {
    /// Returns stages that are killed and held together.
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

    /// Lets the duties finish what is in flight, and waits for it.
    pub fn stop(&mut self) {
        self.tokens.stop.cancel();
        self.join();
    }

    /// Waits until the threads have ended.
    pub fn join(&mut self) {
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                tracing::error!("the thread of a duty panicked");
            }
        }
    }
}
