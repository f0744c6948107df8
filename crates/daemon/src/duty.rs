//! Duties: long-running components with one OS thread each.
//!
//! Each thread runs a current-thread Tokio runtime and a supervisor actor that starts the duty's
//! loop and observes its end. A loop that ends before a stop was requested shuts the whole daemon
//! down: a daemon that lacks a duty must be replaced, and its peers take over its work within the
//! suspicion time.

pub mod control;
pub mod dispatch;
pub mod freeze;
pub mod gossip;
pub mod ledger;
pub mod steward;
pub mod watch;

use freeze::Freeze;
use pimentovalve_wire::http::Pending;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use snafu::{ResultExt, Snafu};
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Errors of [`start`].
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operating system refused the thread or the resources of its runtime.
    #[snafu(display("cannot start duty {name}: {source}"))]
    Start {
        /// [`Duty::name`] of the duty.
        name: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A component that runs on its own thread.
pub trait Duty: Send + 'static {
    /// Returns the name of the duty, which is also the name of its thread and its metrics label.
    fn name(&self) -> &'static str;

    /// Runs until `stop` is cancelled, then completes the work in flight.
    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()>;
}

/// Signals that stop, abort or suspend the duties of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    /// Graceful stop: complete the work in flight, then end.
    pub stop: CancellationToken,
    /// Abort without completing anything, as in a crash of the process.
    pub kill: CancellationToken,
    /// Suspends all threads, as in a pause of the process.
    pub freeze: Freeze,
}

/// Spawns the thread of a duty.
///
/// # Errors
///
/// Returns [`Error::Start`] when the thread or its runtime cannot be created.
pub fn start(duty: Box<dyn Duty>, tokens: &Tokens) -> Result<JoinHandle<()>, Error> {
    let name = duty.name();
    let tokens = tokens.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu { name })?;
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let kill = tokens.kill.clone();
            runtime.block_on(async {
                tokio::spawn(tokens.freeze.clone().block_while_frozen());
                tokio::select! {
                    () = supervise(duty, tokens) => {}
                    () = kill.cancelled() => {}
                }
            });
            runtime.shutdown_background();
        })
        .context(StartSnafu { name })
}

/// Runs a duty under its supervisor, and aborts the daemon if the duty ends unasked.
async fn supervise(duty: Box<dyn Duty>, tokens: Tokens) {
    let name = duty.name();
    match Actor::spawn(None, Supervisor { name, tokens: tokens.clone() }, duty).await {
        Ok((_, ended)) => {
            if let Err(error) = ended.await {
                tracing::error!(duty = name, %error, "duty supervisor failed");
            }
        }
        Err(error) => tracing::error!(duty = name, %error, "duty supervisor failed to start"),
    }
    if !tokens.stop.is_cancelled() {
        tracing::error!(duty = name, "duty ended unexpectedly; shutting the daemon down");
        tokens.kill.cancel();
    }
}

/// The actor that starts the loop of a duty and stops when the loop ends.
struct Supervisor {
    name: &'static str,
    tokens: Tokens,
}

/// Message to the supervisor: the loop of its duty has ended.
struct Ended;

impl Actor for Supervisor {
    type Arguments = Box<dyn Duty>;
    type Msg = Ended;
    type State = ();

    async fn pre_start(
        &self,
        myself: ActorRef<Ended>,
        duty: Box<dyn Duty>,
    ) -> Result<(), ActorProcessingErr> {
        let run = tokio::spawn(duty.run(self.tokens.stop.clone()));
        let name = self.name;
        tokio::spawn(async move {
            if let Err(error) = run.await {
                tracing::error!(duty = name, %error, "duty loop panicked");
            }
            if myself.cast(Ended).is_err() {
                tracing::debug!(duty = name, "duty supervisor ended before the duty loop");
            }
        });
        Ok(())
    }

    async fn handle(
        &self,
        myself: ActorRef<Ended>,
        _: Ended,
        (): &mut (),
    ) -> Result<(), ActorProcessingErr> {
        myself.stop(None);
        Ok(())
    }
}
