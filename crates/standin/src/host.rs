//! A thread with its own runtime that serves a group of stand-ins.

use crate::link::{Link, Service};
use async_channel::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Listeners that may wait to be taken over by the thread.
const RING: usize = 64;

/// Loopback with a port that the system chooses.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One listener with what serves it.
struct Site {
    listener: TcpListener,
    link: Arc<Link>,
    service: Arc<dyn Service>,
}

/// A listener that is being served.
#[derive(Clone, Debug)]
pub struct Port {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its connections and their faults.
    pub link: Arc<Link>,
}

/// The thread. Dropping it stops everything that it serves.
#[derive(Debug)]
pub struct Host {
    sites: Sender<Site>,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when there is no further thread or descriptor.
    pub fn start(name: &str) -> io::Result<Self> {
        let (sites, inbox) = async_channel::bounded(RING);
        let stop = CancellationToken::new();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let token = stop.clone();
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || runtime.block_on(run(inbox, token)))?;
        Ok(Self { sites, stop, thread: Some(thread) })
    }

    /// Listens on `address` and serves it with at most `connections` connections at once.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound, or an error of the kind
    /// [`io::ErrorKind::NotConnected`] after [`Self::stop`].
    pub fn open(
        &self,
        address: SocketAddr,
        connections: usize,
        service: Arc<dyn Service>,
    ) -> io::Result<Port> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::new(connections));
        let site = Site { listener, link: Arc::clone(&link), service };
        self.sites.send_blocking(site).map_err(|_| io::ErrorKind::NotConnected)?;
        Ok(Port { address, link })
    }

    /// Stops serving and waits for the thread. Requests in flight are cut off, as by a kill.
    pub fn stop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("a stand-in thread panicked");
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn run(inbox: Receiver<Site>, stop: CancellationToken) {
    loop {
        let site = tokio::select! {
            () = stop.cancelled() => return,
            site = inbox.recv() => site,
        };
        let Ok(Site { listener, link, service }) = site else {
            return stop.cancelled().await;
        };
        let background = Arc::clone(&service);
        tokio::spawn(async move { background.run().await });
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => drop(tokio::spawn(link.serve(listener, service, stop.clone()))),
            Err(error) => tracing::error!(%error, "a stand-in can't listen"),
        }
    }
}
