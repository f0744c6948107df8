//! Non-blocking log output: lines go through a bounded ring to a writer thread, so that a blocked
//! output never blocks a duty.
//!
//! When the ring fills up, lines below `WARN` are dropped first: a quarter of the places is
//! reserved for warnings and errors. Dropped lines are counted, and the count is logged.

#[cfg(test)]
mod tests;

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::time::{Duration, SystemTime};
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::MakeWriter;

/// Places of the ring, which hold about one second of heavy logging.
const PLACES: usize = 4096;
/// Places reserved for warnings and errors.
const RESERVED_PLACES: usize = PLACES / 4;
/// Maximum number of bytes per write, except for a single longer line. Writes to a pipe are atomic
/// up to this size (`PIPE_BUF`), so the lines of processes that share a pipe do not interleave.
const BATCH_BYTES: usize = 4096;

/// Time for which the writer thread collects further lines before it writes the first one, so that
/// it does not wake up for every line.
const LINGER: Duration = Duration::from_millis(10);

/// The sending end of the ring, as a factory of writers for `tracing`.
#[derive(Clone, Debug)]
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    depth: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

/// The writer of one line, which enters the ring when the writer is dropped.
#[derive(Debug)]
pub struct Line<'a> {
    lines: &'a Lines,
    /// The line is dropped if the ring holds this many lines.
    places: usize,
    bytes: Vec<u8>,
}

impl Lines {
    /// Creates a ring and the thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the thread cannot be created.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(PLACES);
        let lines = Self { sender, depth: Arc::default(), dropped: Arc::default() };
        let (depth, dropped) = (Arc::clone(&lines.depth), Arc::clone(&lines.dropped));
        let write = move || write_lines(&receiver, &depth, &dropped, out);
        std::thread::Builder::new().name("log".into()).spawn(write)?;
        Ok(lines)
    }

    /// Returns the number of lines dropped since the ring was created.
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
        Line { lines: self, places: PLACES - RESERVED_PLACES, bytes: Vec::new() }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Line<'a> {
        let places = if *meta.level() <= Level::WARN { PLACES } else { PLACES - RESERVED_PLACES };
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
    let first = || {
        let line = receiver.recv().ok()?;
        std::thread::sleep(LINGER);
        Some(line)
    };
    while let Some(mut batch) = next.take().or_else(first) {
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
        // A closed output is ignored, since there is no other place to report it.
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
