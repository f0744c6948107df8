//! Benchmarks of single decisions and events of the scheduler, at the two-year size: 640 workers and
//! 55 teams.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::configuration::{Configuration, Patch};
use pimentovalve_core::contract::job::Job;
use pimentovalve_core::contract::kind::{Kind, Separation, Shape};
use pimentovalve_core::contract::scheduler::Scheduler;
use pimentovalve_core::contract::team::Team;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::view::Report;
use pimentovalve_core::machine::worker::Worker;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use std::hint::black_box;

const WORKERS: usize = 640;
const TEAMS: usize = 55;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn kind() -> Kind {
    let separation = Separation::Move;
    Kind { name: name("k"), shape: Shape::Batch, separation, class: Class::Normal, attempts: 1 }
}

fn job(i: usize) -> Job {
    Job {
        id: name(&format!("job-{i}")),
        team: name(&format!("team-{}", i % TEAMS)),
        kind: name("k"),
        class: None,
        tasks: 1,
        needs: Capacity::new(500 + 250 * (i as u64 % 16), 1000 + 500 * (i as u64 % 12), 0),
        run_ms: Millis(60_000),
        payload: String::new(),
    }
}

/// Returns a scheduler with [`WORKERS`] workers and `jobs` queued jobs.
fn scheduler(jobs: usize) -> Scheduler {
    let quota = Capacity::new(1 << 40, 1 << 40, 1 << 20);
    let team = |i| Team { name: name(&format!("team-{i}")), weight: 1, quota };
    let teams = (0..TEAMS).map(team).collect();
    let patch = Patch { kinds: vec![kind()], teams, ..Patch::default() };
    let configuration = Configuration::default().patched(&patch).expect("a valid patch");
    let mut scheduler = Scheduler::new(None, &configuration);
    for i in 0..WORKERS {
        let place = Place {
            region: name(&format!("r{}", i % 3)),
            domain: name(&format!("d{}", i % 7)),
            rack: name(&format!("k{}", i / 8)),
        };
        let capacity = Capacity::new(32_000, 128 * 1024, 0);
        let worker = Worker { name: name(&format!("w{i}")), place, capacity };
        let free = &capacity;
        scheduler.worker(&Report { worker: &worker, free, leaving: false, at: Millis(1) });
    }
    for i in 0..jobs {
        scheduler.enqueue(&job(i), &kind(), &[0], Millis(1));
    }
    scheduler
}

fn decisions(criterion: &mut Criterion) {
    criterion.bench_function("64 decisions, 10,000 queued", |bencher| {
        let fresh = scheduler(10_000);
        bencher.iter_batched(
            || fresh.clone(),
            |mut scheduler| black_box(scheduler.decide(Millis(10), 64)),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("a call that decides nothing", |bencher| {
        let mut idle = scheduler(0);
        idle.decide(Millis(10), 1);
        bencher.iter(|| black_box(idle.decide(Millis(10), 1)));
    });
    criterion.bench_function("100 cancellations, 10,000 queued", |bencher| {
        let fresh = scheduler(10_000);
        let ids: Vec<String> = (0..100).map(|i| format!("job-{}", 97 * i)).collect();
        bencher.iter_batched(
            || fresh.clone(),
            |mut scheduler| ids.iter().for_each(|id| scheduler.cancel(id)),
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
