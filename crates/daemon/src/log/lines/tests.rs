//! A blocked output must not block the logging threads, and every dropped line must be counted.

use super::{Lines, PLACES, RESERVED_PLACES};
use googletest::prelude::*;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time for which a test waits for the writer thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// An output that blocks until a message arrives on `go`.
struct Blocked {
    go: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.is_open = self.go.recv().is_ok();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked() -> (Lines, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, go) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = Blocked { go, is_open: false, written: Arc::clone(&written) };
    (Lines::start(out).unwrap(), sender, written)
}

fn text(written: &Mutex<Vec<u8>>) -> String {
    String::from_utf8(written.lock().unwrap().clone()).unwrap()
}

#[gtest]
fn a_full_ring_drops_info_lines_and_keeps_warnings() {
    let (lines, go, written) = blocked();
    for i in 0..2 * PLACES {
        lines.put(format!("routine {i}\n").into_bytes(), PLACES - RESERVED_PLACES);
    }
    let before = lines.dropped();
    expect_that!(before, ge((PLACES / 2) as u64));
    for i in 0..RESERVED_PLACES / 2 {
        lines.put(format!("fault {i}\n").into_bytes(), PLACES);
    }
    expect_that!(lines.dropped(), eq(before));
    go.send(()).unwrap();
    let started = Instant::now();
    let last = format!("fault {}\n", RESERVED_PLACES / 2 - 1);
    while !text(&written).contains(&last) && started.elapsed() < WRITE_TIMEOUT {
        std::thread::sleep(Duration::from_millis(5));
    }
    let text = text(&written);
    expect_that!(text.matches("fault ").count(), eq(RESERVED_PLACES / 2));
    let total = format!("\"total\":{before}");
    expect_that!(text, contains_substring(total));
    let kept = text.matches("routine ").count() as u64;
    expect_that!(kept + before, eq(2 * PLACES as u64));
}

/// An output that sends the content of each write to the test.
struct Writes(Sender<Vec<u8>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Regression: writes of 32 KiB to a pipe were not atomic, and lines of several processes
/// interleaved.
#[gtest]
fn a_write_holds_whole_lines_and_stays_whole_in_a_pipe() {
    let (sender, writes) = channel();
    let lines = Lines::start(Writes(sender)).unwrap();
    for i in 0..500 {
        lines.put(format!("line {i:0100}\n").into_bytes(), PLACES);
    }
    let long = "x".repeat(6000);
    lines.put(format!("{long}\n").into_bytes(), PLACES);
    let mut seen = 0;
    while seen < 501 {
        let write = writes.recv_timeout(WRITE_TIMEOUT).expect("a write");
        let count = write.iter().filter(|b| **b == b'\n').count();
        expect_that!(write.last(), some(eq(&b'\n')));
        expect_true!(write.len() <= 4096 || count == 1);
        seen += count;
    }
}
