//! Benchmarks of the owner of a shard with 350 workers of 32 cores whose queues all have an advisor,
//! with a full fleet and a growing backlog of open steps.

#[path = "owner/fleet.rs"]
mod fleet;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::{Fleet, Part};
use std::time::Duration;

const BACKLOGS: [usize; 3] = [100, 800, 3000];
/// Runs that end in 20 ms when 1,000 runs start a second.
const ENDS: usize = 20;

/// Returns the time of `iters` executions of `part` in cycles of 20 ms in which `ends` runs end.
fn time(fleet: &mut Fleet, part: Part, iters: u64, ends: usize) -> Duration {
    let mut total = Duration::ZERO;
    let mut left = iters;
    while left > 0 {
        let (took, count) = fleet.cycle(part, ends);
        let counted = count.min(left);
        if count > 0 {
            total += took * u32::try_from(counted).unwrap_or(u32::MAX)
                / u32::try_from(count).unwrap_or(u32::MAX);
        }
        left -= counted;
    }
    total
}

fn operations(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("owner");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(5));
    group.measurement_time(Duration::from_millis(50));
    let parts = [
        ("a pass without room", Part::Pass, 0),
        ("a pass with the room of 20 ends", Part::Pass, ENDS),
        ("a poll answer with an end", Part::Poll, ENDS),
        ("a start answer", Part::Start, ENDS),
        ("a tick", Part::Tick, ENDS),
        ("an entry recorded", Part::Record, ENDS),
        ("a replayed entry", Part::Replay, ENDS),
    ];
    for backlog in BACKLOGS {
        let mut fleet = Fleet::with_backlog(backlog);
        for (name, part, ends) in parts {
            group.bench_with_input(BenchmarkId::new(name, backlog), &backlog, |bencher, _| {
                bencher.iter_custom(|iters| time(&mut fleet, part, iters, ends));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, operations);
criterion_main!(benches);
