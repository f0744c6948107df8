use super::{Queue, Waiter};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::name::Name;
use googletest::prelude::*;

fn waiter(ticket: u64, class: Class) -> Waiter {
    Waiter {
        ticket,
        class,
        attempt: Name::try_from(format!("t.{ticket}")).expect("a name"),
        tried: Vec::new(),
        forwarded: None,
        deadline: Millis(1000),
        until: Millis(900),
    }
}

fn filled(each: u64) -> Queue {
    let mut queue = Queue::default();
    for (i, class) in Class::ALL.into_iter().rev().enumerate() {
        let first = u64::try_from(i).expect("small") * each;
        (first..first + each).for_each(|t| queue.push(waiter(t, class)));
    }
    queue
}

fn grants(queue: &mut Queue, count: usize) -> [usize; 3] {
    let mut granted = [0; 3];
    for _ in 0..count {
        let (waiter, ()) = queue.grant(|_| Some(())).expect("a waiting attempt");
        granted[waiter.class.index()] += 1;
    }
    granted
}

#[gtest]
fn the_most_urgent_class_goes_first_and_the_others_get_their_share() {
    let mut queue = filled(1000);
    expect_that!(grants(&mut queue, 1), eq([1, 0, 0]));
    let [urgent, normal, deferrable] = grants(&mut queue, 600);
    expect_that!(urgent, ge(400));
    expect_that!(normal, ge(80));
    expect_that!(deferrable, ge(40));
}

#[gtest]
fn an_attempt_without_a_runner_does_not_block_the_others() {
    let mut queue = filled(3);
    let found = queue.grant(|w| (w.class == Class::Deferrable && w.ticket == 1).then_some(()));
    expect_that!(found.map(|(w, ())| w.ticket), some(eq(1)));
    expect_that!(queue.grant(|_| None::<()>), none());
    expect_that!(queue.depth(Class::Deferrable), eq(2));
}

#[gtest]
fn attempts_expire_at_the_end_of_their_wait() {
    let mut queue = filled(1);
    let mut expired = Vec::new();
    queue.expire(Millis(899), &mut expired);
    expect_that!(expired, is_empty());
    queue.remove(0);
    queue.expire(Millis(900), &mut expired);
    expect_that!(expired, len(eq(2)));
    expect_that!(queue.is_empty(), eq(true));
}

#[gtest]
fn less_urgent_attempts_hardly_count_as_ahead() {
    let mut queue = Queue::default();
    (0..500).for_each(|t| queue.push(waiter(t, Class::Deferrable)));
    expect_that!(queue.ahead(Class::Urgent), eq(0));
    expect_that!(queue.ahead(Class::Normal), eq(0));
    expect_that!(queue.ahead(Class::Deferrable), eq(500));
    (500..600).for_each(|t| queue.push(waiter(t, Class::Urgent)));
    expect_that!(queue.ahead(Class::Urgent), eq(125));
    expect_that!(queue.ahead(Class::Deferrable), eq(600));
}
