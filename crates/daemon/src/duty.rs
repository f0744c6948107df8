//! Duties: one OS thread each, with a current-thread runtime and an actor that owns its life.
//!
//! The actor starts the duty's loop, learns when it ended, and stops. A loop that ends before it
//! was told to takes the whole daemon down: a daemon that lacks a duty must be replaced, and its
//! peers take over within the suspicion time.

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

/// A duty could not be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operating system gave no thread or runtime.
    #[snafu(display("the duty {name} could not be started: {source}"))]
    Start {
        /// The duty.
        name: &'static str,
        /// Why.
        source: std::io::Error,
    },
}

/// The work of one thread.
pub trait Duty: Send + 'static {
    /// Name of the duty and its thread.
    fn name(&self) -> &'static str;

    /// Works until `stop` is cancelled, then finishes what is in flight.
    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()>;
}

/// The ways to end or hold all duties of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    /// Finish what is in flight, then end.
    pub stop: CancellationToken,
    /// End at once, as if the process had died.
    pub kill: CancellationToken,
    /// Hold all threads for a while, as if the process were paused.
    pub freeze: Freeze,
}

/// Starts the thread of a duty.
///
/// # Errors
///
/// Returns [`Error::Start`] when there is no thread or runtime to be had.
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
                tokio::spawn(tokens.freeze.clone().hold());
                tokio::select! {
                    () = live(duty, tokens) => {}
                    () = kill.cancelled() => {}
                }
            });
            runtime.shutdown_background();
        })
        .context(StartSnafu { name })
}

async fn live(duty: Box<dyn Duty>, tokens: Tokens) {
    let name = duty.name();
    match Actor::spawn(None, Life { name, tokens: tokens.clone() }, duty).await {
        Ok((_, ended)) => {
            if let Err(error) = ended.await {
                tracing::error!(duty = name, %error, "the duty's actor failed");
            }
        }
        Err(error) => tracing::error!(duty = name, %error, "the duty's actor did not start"),
    }
    if !tokens.stop.is_cancelled() {
        tracing::error!(duty = name, "the duty ended by itself; the daemon stops");
        tokens.kill.cancel();
    }
}

/// The actor that owns the life of a duty.
struct Life {
    name: &'static str,
    tokens: Tokens,
}

/// The loop of the duty has ended.
struct Ended;

impl Actor for Life {
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
                tracing::error!(duty = name, %error, "the duty's loop panicked");
            }
            if myself.cast(Ended).is_err() {
                tracing::debug!(duty = name, "the duty's actor ended before its loop");
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
