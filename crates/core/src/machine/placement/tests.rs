use super::*;
use googletest::prelude::*;

fn found(index: &Index, need: &Capacity) -> Vec<Handle> {
    let mut handles = Vec::new();
    index.candidates(need, |handle, _| handles.push(handle));
    handles
}

#[gtest]
fn steps_are_monotonic() {
    for amount in 0..5000 {
        expect_that!(step(amount), le(step(amount + 1)));
    }
}

#[gtest]
fn only_workers_that_satisfy_the_need_are_candidates() {
    let mut index = Index::default();
    index.insert(0, &Capacity::new(4000, 8000, 0));
    index.insert(1, &Capacity::new(4100, 8000, 0));
    index.insert(2, &Capacity::new(32_000, 64_000, 8));
    let need = Capacity::new(4050, 8000, 0);
    expect_that!(found(&index, &need), elements_are![eq(&1), eq(&2)]);
    expect_that!(found(&index, &Capacity::new(4050, 8000, 1)), elements_are![eq(&2)]);
    expect_that!(found(&index, &Capacity::new(33_000, 1, 0)), is_empty());
}

#[gtest]
fn the_number_of_candidates_does_not_grow_with_the_workers() {
    let mut index = Index::default();
    for handle in 0..10_000 {
        let spread = u64::from(handle) * 7919;
        index.insert(handle, &Capacity::new(1000 + spread % 31_000, 1000 + spread % 63_000, 0));
    }
    let bound = CANDIDATES_PER_LEVEL * LEVELS_PER_SEARCH;
    expect_that!(found(&index, &Capacity::new(1000, 1000, 0)).len(), le(bound));
}

#[gtest]
fn a_removed_worker_is_no_candidate_and_the_moved_one_is_returned() {
    let mut index = Index::default();
    let free = Capacity::new(1000, 1000, 0);
    let first = index.insert(0, &free);
    let second = index.insert(1, &free);
    expect_that!(index.remove(first), some(eq(1)));
    expect_that!(found(&index, &free), elements_are![eq(&1)]);
    expect_that!(index.remove(first), none());
    expect_that!(second, not(eq(first)));
    expect_that!(found(&index, &free), is_empty());
}

fn request(needs: Capacity) -> PlacementRequest {
    PlacementRequest { needs, spread: false, payload_bytes: 0, avoid: None }
}

fn site(capacity: Capacity) -> WorkerSite {
    WorkerSite { capacity, ..WorkerSite::default() }
}

#[gtest]
fn the_tighter_worker_costs_less() {
    let whole = Capacity::new(32_000, 64_000, 0);
    let need = request(Capacity::new(4000, 8000, 0));
    let of = |free| cost(&need, &free, &site(whole), &Weights::default());
    expect_that!(of(Capacity::new(4000, 8000, 0)), lt(of(Capacity::new(16_000, 32_000, 0))));
}

#[gtest]
fn work_without_accelerators_prefers_workers_without_them() {
    let plain = Capacity::new(32_000, 64_000, 0);
    let accelerated = Capacity::new(32_000, 64_000, 8);
    let need = request(Capacity::new(8000, 16_000, 0));
    let of = |whole: Capacity| cost(&need, &whole, &site(whole), &Weights::default());
    expect_that!(of(plain), lt(of(accelerated)));
}

#[gtest]
fn an_accelerator_is_taken_from_a_worker_with_some_already_in_use() {
    let whole = Capacity::new(32_000, 64_000, 8);
    let need = request(Capacity::new(1000, 1000, 1));
    let of = |free| cost(&need, &free, &site(whole), &Weights::default());
    expect_that!(of(Capacity::new(31_000, 63_000, 7)), lt(of(whole)));
}

#[gtest]
fn crowded_domains_and_racks_cost_more_only_when_spreading() {
    let whole = Capacity::new(32_000, 64_000, 0);
    let crowded = WorkerSite { in_domain: 2, in_rack: 1, ..site(whole) };
    let batch = request(Capacity::new(1000, 1000, 0));
    let service = PlacementRequest { spread: true, ..batch };
    let of = |request: &PlacementRequest, site: &WorkerSite| {
        cost(request, &whole, site, &Weights::default())
    };
    expect_that!(of(&service, &crowded), gt(of(&service, &site(whole))));
    expect_that!(of(&batch, &crowded), eq(of(&batch, &site(whole))));
}

#[gtest]
fn the_cost_of_another_region_grows_with_the_input() {
    let whole = Capacity::new(32_000, 64_000, 0);
    let remote = WorkerSite { remote: true, ..site(whole) };
    let small = request(Capacity::new(1000, 1000, 0));
    let large = PlacementRequest { payload_bytes: 16_384, ..small };
    let of = |request: &PlacementRequest, site: &WorkerSite| {
        cost(request, &whole, site, &Weights::default())
    };
    expect_that!(of(&small, &remote), gt(of(&small, &site(whole))));
    expect_that!(of(&large, &remote), gt(of(&small, &remote)));
}
