use super::*;
use googletest::prelude::*;

fn unit(job: Number) -> Unit {
    Unit { job, index: 0, since: Millis::ZERO }
}

/// Serves `count` units of cost 300 and returns the number served for each of two teams.
fn serve(queue: &mut Queue, weights: [u32; 2], count: usize) -> [usize; 2] {
    let mut served = [0; 2];
    for _ in 0..count {
        queue.begin();
        let team = queue.next(Class::Normal, |_| false).unwrap().team;
        queue.remove(Class::Normal, team, 0);
        queue.charge(Class::Normal, team, 300, weights[usize::from(team)]);
        served[usize::from(team)] += 1;
    }
    served
}

fn busy(units: u32) -> Queue {
    let mut queue = Queue::default();
    for job in 0..units {
        queue.push(Class::Normal, 0, unit(job), false);
        queue.push(Class::Normal, 1, unit(job), false);
    }
    queue
}

#[gtest]
fn teams_are_served_by_weight() {
    expect_that!(serve(&mut busy(400), [3, 1], 400), eq([300, 100]));
}

#[gtest]
fn a_flooding_team_does_not_delay_another() {
    let mut queue = Queue::default();
    for job in 0..10_000 {
        queue.push(Class::Normal, 0, unit(job), false);
    }
    serve(&mut queue, [1, 1], 100);
    queue.push(Class::Normal, 1, unit(1), false);
    expect_that!(serve(&mut queue, [1, 1], 2), eq([1, 1]));
}

#[gtest]
fn an_idle_team_accumulates_no_credit() {
    let mut queue = Queue::default();
    for job in 0..1000 {
        queue.push(Class::Normal, 0, unit(job), false);
    }
    serve(&mut queue, [1, 1], 500);
    for job in 0..1000 {
        queue.push(Class::Normal, 1, unit(job), false);
    }
    expect_that!(serve(&mut queue, [1, 1], 100), eq([50, 50]));
}

#[gtest]
fn a_flow_is_served_in_the_order_of_arrival_but_for_returned_units() {
    let mut queue = Queue::default();
    queue.push(Class::Urgent, 4, unit(1), false);
    queue.push(Class::Urgent, 4, unit(2), false);
    queue.push(Class::Urgent, 4, unit(3), true);
    let jobs: Vec<_> =
        queue.next(Class::Urgent, |_| false).unwrap().units().iter().map(|u| u.job).collect();
    expect_that!(jobs, elements_are![eq(&3), eq(&1), eq(&2)]);
}

#[gtest]
fn a_blocked_flow_is_left_out_for_one_pass() {
    let mut queue = busy(2);
    queue.begin();
    let first = queue.next(Class::Normal, |_| false).unwrap().team;
    queue.block(Class::Normal, first);
    expect_that!(queue.next(Class::Normal, |_| false).unwrap().team, not(eq(first)));
    queue.block(Class::Normal, 1 - first);
    expect_that!(queue.next(Class::Normal, |_| false).is_none(), eq(true));
    queue.begin();
    expect_that!(queue.next(Class::Normal, |_| false).unwrap().team, eq(first));
}

#[gtest]
fn a_preferred_team_goes_first_whatever_its_tag() {
    let mut queue = busy(2);
    queue.charge(Class::Normal, 1, 1000, 1);
    queue.begin();
    expect_that!(queue.next(Class::Normal, |_| false).unwrap().team, eq(0));
    expect_that!(queue.next(Class::Normal, |team| team == 1).unwrap().team, eq(1));
}

#[gtest]
fn a_charge_is_replaced_by_the_actual_cost() {
    let mut queue = busy(10);
    queue.charge(Class::Normal, 0, 1000, 1);
    queue.settle(Class::Normal, 0, 1000, 100, 1);
    queue.charge(Class::Normal, 1, 200, 1);
    queue.begin();
    expect_that!(queue.next(Class::Normal, |_| false).unwrap().team, eq(0));
}

#[gtest]
fn units_that_are_not_retained_are_removed() {
    let mut queue = busy(3);
    queue.retain(|u| u.job == 1);
    expect_that!(queue.next(Class::Normal, |_| false).unwrap().units().len(), eq(1));
    queue.retain(|_| false);
    expect_that!(queue.is_empty(Class::Normal), eq(true));
}
