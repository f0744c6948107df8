//! A thread with a single-threaded async runtime that serves the listeners of several stand-ins.

use crate::link::{Link, Service};
use async_channel::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Capacity of the ring that hands new listeners to the thread.
const RING_CAPACITY: usize = 64;

/// Loopback address with port 0: the operating system assigns a free port.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A listener, handed to the thread together with the service that answers on it.
struct Binding {
    listener: TcpListener,
    link: Arc<Link>,
    service: Arc<dyn Service>,
}

/// The handle of an open listener.
#[derive(Clone, Debug)]
pub struct Port {
    /// Bound address, with the assigned port.
    pub address: SocketAddr,
    /// Connections of the listener, into which faults can be injected.
    pub link: Arc<Link>,
}

/// The handle of the thread. Dropping it stops all its listeners and joins the thread.
#[derive(Debug)]
pub struct Server {
    bindings: Sender<Binding>,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a thread with the given name.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when no thread or file descriptor is available.
    pub fn start(name: &str) -> io::Result<Self> {
        let (bindings, new_bindings) = async_channel::bounded(RING_CAPACITY);
        let stop = CancellationToken::new();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let token = stop.clone();
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || runtime.block_on(run(new_bindings, token)))?;
        Ok(Self { bindings, stop, thread: Some(thread) })
    }

    /// Binds `address` and serves it with at most `connections` concurrent connections.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address can't be bound, or an error of kind
    /// [`io::ErrorKind::NotConnected`] after [`Self::stop`].
    pub fn listen(
        &self,
        address: SocketAddr,
        connections: usize,
        service: Arc<dyn Service>,
    ) -> io::Result<Port> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::new(connections));
        let binding = Binding { listener, link: Arc::clone(&link), service };
        self.bindings.send_blocking(binding).map_err(|_| io::ErrorKind::NotConnected)?;
        Ok(Port { address, link })
    }

    /// Stops serving and joins the thread. Requests in flight are aborted, as if the process had
    /// been killed.
    pub fn stop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("stand-in server thread panicked");
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn run(new_bindings: Receiver<Binding>, stop: CancellationToken) {
    loop {
        let binding = tokio::select! {
            () = stop.cancelled() => return,
            binding = new_bindings.recv() => binding,
        };
        let Ok(Binding { listener, link, service }) = binding else {
            return stop.cancelled().await;
        };
        let background = Arc::clone(&service);
        tokio::spawn(async move { background.run().await });
        match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => drop(tokio::spawn(link.serve(listener, service, stop.clone()))),
            Err(error) => tracing::error!(%error, "could not serve a stand-in's listener"),
        }
    }
}
