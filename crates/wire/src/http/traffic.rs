//! Counters of connections, and of bytes at the socket, which include headers and framing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counters that one or more listeners or clients share.
#[derive(Debug, Default)]
pub struct Traffic {
    opened: AtomicU64,
    closed: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

impl Traffic {
    /// Returns the number of connections opened since the counters were created.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that are open.
    pub fn open(&self) -> u64 {
        self.opened().saturating_sub(self.closed.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes received since the counters were created.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent since the counters were created.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// A stream that counts the bytes read and written.
#[derive(Debug)]
pub struct Counted<S> {
    stream: S,
    traffic: Arc<Traffic>,
}

impl<S> Counted<S> {
    /// Wraps the stream of a new connection. It counts as open until it is dropped, and its bytes are
    /// added to `traffic`.
    pub fn new(stream: S, traffic: Arc<Traffic>) -> Self {
        traffic.opened.fetch_add(1, Ordering::Relaxed);
        Self { stream, traffic }
    }
}

impl<S> Drop for Counted<S> {
    fn drop(&mut self) {
        self.traffic.closed.fetch_add(1, Ordering::Relaxed);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        self.traffic.received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.sent.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
