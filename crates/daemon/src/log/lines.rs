//! Log lines that never hold up a duty: they go through a bounded ring to a thread that writes.
//!
//! When the ring is full, lines below `WARN` are dropped first: a quarter of the places is kept for
//! warnings and errors. What was dropped is counted, and the count is itself a line.

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::time::SystemTime;
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Places of the ring: about a second of a flood.
const PLACES: usize = 4096;
/// Places that only warnings and errors may take.
const KEPT: usize = PLACES / 4;
/// Most bytes that are written at once: POSIX keeps a write to a pipe whole up to here, so that the
/// lines of processes that share one are not mixed.
const BATCH_BYTES: usize = 4096;

/// Makes writers that put lines in the ring.
#[derive(Clone, Debug)]
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    depth: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

/// One line on its way to the ring.
#[derive(Debug)]
pub struct Line<'a> {
    lines: &'a Lines,
    places: usize,
    bytes: Vec<u8>,
}

impl Lines {
    /// Returns a ring whose lines a new thread writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when there is no thread to be had.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(PLACES);
        let lines = Self { sender, depth: Arc::default(), dropped: Arc::default() };
        let (depth, dropped) = (Arc::clone(&lines.depth), Arc::clone(&lines.dropped));
        let write = move || write_lines(&receiver, &depth, &dropped, out);
        std::thread::Builder::new().name("log".into()).spawn(write)?;
        Ok(lines)
    }

    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn put(&self, line: Vec<u8>, places: usize) {
        let is_full = self.depth.load(Ordering::Relaxed) >= places;
        if is_full || self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            self.depth.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line { lines: self, places: PLACES - KEPT, bytes: Vec::new() }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Line<'a> {
        let places = if *meta.level() <= Level::WARN { PLACES } else { PLACES - KEPT };
        Line { lines: self, places, bytes: Vec::new() }
    }
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            self.lines.put(std::mem::take(&mut self.bytes), self.places);
        }
    }
}

fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    depth: &AtomicUsize,
    dropped: &AtomicU64,
    mut out: impl Write,
) {
    let mut reported = 0;
    let mut next: Option<Vec<u8>> = None;
    while let Some(mut batch) = next.take().or_else(|| receiver.recv().ok()) {
        let mut count = 1;
        loop {
            match receiver.try_recv() {
                Ok(line) if batch.len() + line.len() > BATCH_BYTES => {
                    next = Some(line);
                    break;
                }
                Ok(line) => {
                    batch.extend_from_slice(&line);
                    count += 1;
                }
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        depth.fetch_sub(count, Ordering::Relaxed);
        let total = dropped.load(Ordering::Relaxed);
        // Nobody is left to be told when the output is closed.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        if total > reported {
            let at = humantime::format_rfc3339_micros(SystemTime::now());
            let line = format!(
                "{{\"timestamp\":\"{at}\",\"level\":\"WARN\",\"message\":\"lines dropped\",\"total\":{total}}}\n"
            );
            let _ = out.write_all(line.as_bytes()).and_then(|()| out.flush());
            reported = total;
        }
    }
}
