use super::*;
use googletest::prelude::*;

const DECLARED: Capacity = Capacity::new(4000, 4000, 1);
const ESTIMATED: Capacity = Capacity::new(1000, 2000, 1);

#[gtest]
fn services_reserve_the_declared_size_and_others_the_estimate() {
    expect_that!(of(Shape::Service).reserve(&DECLARED, &ESTIMATED), eq(DECLARED));
    expect_that!(of(Shape::Batch).reserve(&DECLARED, &ESTIMATED), eq(ESTIMATED));
    expect_that!(of(Shape::Gang).reserve(&DECLARED, &ESTIMATED), eq(ESTIMATED));
}

#[gtest]
fn an_estimated_run_time_takes_precedence_over_a_declared_one() {
    let batch = of(Shape::Batch);
    expect_that!(batch.run(Millis(5), Some(Millis(9))), eq(Millis(9)));
    expect_that!(batch.run(Millis(5), None), eq(Millis(5)));
    expect_that!(batch.run(Millis::ZERO, None), eq(DEFAULT_RUN));
    expect_that!(of(Shape::Service).run(Millis(5), Some(Millis(9))), eq(SERVICE_RUN));
}

#[gtest]
fn services_are_spread_and_not_preemptible_and_gangs_start_together() {
    let [service, batch, gang] = [Shape::Service, Shape::Batch, Shape::Gang].map(of);
    expect_that!([service, batch, gang].map(|p| p.is_spread()), eq([true, false, false]));
    expect_that!([service, batch, gang].map(|p| p.is_preemptible()), eq([false, true, true]));
    expect_that!([service, batch, gang].map(|p| p.is_together()), eq([false, false, true]));
}
