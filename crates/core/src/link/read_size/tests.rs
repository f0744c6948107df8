use super::{MAX_KB, MAX_TIMEOUT, MIN_KB, MIN_TIMEOUT, ReadSize};
use crate::clock::Millis;
use googletest::prelude::*;

/// Reads `bytes` over a link of this rate and latency; returns the bytes that were transferred.
fn read_all(bytes: u64, bytes_per_ms: u64, latency: Millis) -> u64 {
    let (mut size, mut left, mut paid) = (ReadSize::default(), bytes, 0);
    for _ in 0..100_000 {
        let next = left.min(u64::from(size.kilobytes()) * 1024);
        let took = latency + Millis(next / bytes_per_ms);
        if took <= size.timeout() {
            (left, paid) = (left - next, paid + next);
            size.completed(usize::try_from(next).unwrap(), took);
        } else {
            paid += next;
            size.timed_out();
        }
        if left == 0 {
            return paid;
        }
    }
    panic!("not read: {left} bytes left")
}

#[gtest]
fn links_of_any_rate_are_read_without_repeated_time_outs() {
    const BYTES: u64 = 8 << 20;
    // From 160 kbit/s to 1 Gbit/s.
    for bytes_per_ms in [20, 64, 250, 1250, 25_000, 125_000] {
        for latency in [Millis(1), Millis(60), Millis(900)] {
            let paid = read_all(BYTES, bytes_per_ms, latency);
            expect_that!(paid, le(BYTES + BYTES / 10), "{bytes_per_ms} bytes/ms, {latency}");
        }
    }
}

#[gtest]
fn a_fast_link_gets_large_reads() {
    let mut size = ReadSize::default();
    for _ in 0..10 {
        size.completed(size.kilobytes() as usize * 1024, Millis(20));
    }
    expect_that!((size.kilobytes(), size.timeout()), eq((MAX_KB, MIN_TIMEOUT)));
}

#[gtest]
fn small_answers_do_not_enlarge_reads() {
    let mut size = ReadSize::default();
    (0..10).for_each(|_| size.completed(100, Millis(5)));
    expect_that!(size, eq(ReadSize::default()));
}

#[gtest]
fn a_read_after_time_outs_is_small_and_waits_longer() {
    let mut size = ReadSize::default();
    (0..10).for_each(|_| size.timed_out());
    expect_that!((size.kilobytes(), size.timeout()), eq((MIN_KB, MAX_TIMEOUT)));
    size.completed(100, Millis(5));
    expect_that!(size.timeout(), eq(MIN_TIMEOUT));
}
