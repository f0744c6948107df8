//! Tests of the choice of the next owner.

use super::{Candidate, Field, Incumbent};
use crate::clock::Millis;
use googletest::prelude::*;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LARGE: Millis = Millis(40);
const SMALL: Millis = Millis(730);
/// What the distance adds to the takeover time of a daemon in another region.
const FAR: Millis = Millis(120);
/// Start of the daemons that have not been replaced.
const EARLY: Millis = Millis(1_000_000);

fn daemon(name: &'static str, takeover: Millis, started: Millis) -> Candidate<'static> {
    Candidate { name, address: "", takeover, started }
}

/// Returns six daemons, the last three of which have been replaced, and the present time.
fn changing() -> (Vec<Candidate<'static>>, Millis) {
    let late = EARLY + Millis::from_secs(20);
    let early = ["a", "b", "c"].map(|name| daemon(name, LARGE, EARLY));
    let late = [daemon("d", LARGE + FAR, late), daemon("e", SMALL, late), daemon("f", SMALL, late)];
    (early.into_iter().chain(late).collect(), EARLY + Millis::from_secs(25))
}

fn name(candidate: Option<&Candidate<'_>>) -> Option<String> {
    candidate.map(|c| c.name.to_owned())
}

#[gtest]
fn a_replaced_daemon_is_preferred_while_a_replacement_goes_on() {
    let (mut daemons, now) = changing();
    let field = Field::new(daemons.clone());
    expect_that!(field.is_changing(now), eq(true));
    expect_that!(name(field.successor(now)).as_deref(), some(eq("d")));
    // A small one is not worth it: a handover costs less.
    daemons.remove(3);
    daemons.push(daemon("g", SMALL, EARLY + Millis::from_secs(20)));
    expect_that!(name(Field::new(daemons).successor(now)).as_deref(), some(eq("a")));
}

#[gtest]
fn without_a_replacement_the_largest_and_nearest_daemon_is_preferred() {
    let (mut daemons, now) = changing();
    let later = now + Millis::from_secs(60);
    expect_that!(name(Field::new(daemons.clone()).successor(later)).as_deref(), some(eq("a")));
    // Two starts are crashes, not a replacement.
    daemons.truncate(5);
    let field = Field::new(daemons);
    expect_that!(field.is_changing(now), eq(false));
    expect_that!(name(field.successor(now)).as_deref(), some(eq("a")));
}

#[gtest]
fn a_daemon_that_cant_own_is_no_successor() {
    let gone = Field::new(vec![daemon("a", Millis::MAX, EARLY)]);
    expect_that!(gone.successor(EARLY), none());
    expect_that!(Field::default().successor(EARLY), none());
    let owner = Incumbent { size: Millis::MAX, takeover: Millis::MAX, is_store_slow: false };
    expect_that!(gone.better(&Incumbent { size: LARGE, takeover: SMALL, ..owner }, EARLY), none());
}

#[gtest]
fn an_owner_far_from_the_store_hands_the_shard_over_once() {
    let now = EARLY + Millis::from_secs(60);
    let (near, far) = (LARGE + Millis(4), LARGE + FAR);
    let owner = |takeover| Incumbent { size: LARGE, takeover, is_store_slow: false };
    let others = |takeover| Field::new(vec![daemon("a", takeover, EARLY)]);
    expect_that!(name(others(near).better(&owner(far), now)).as_deref(), some(eq("a")));
    expect_that!(others(far).better(&owner(near), now), none());
    // While the store is slow, distances don't show.
    let slow = Incumbent { is_store_slow: true, ..owner(far) };
    expect_that!(others(near).better(&slow, now), none());
    let small = Incumbent { size: SMALL, takeover: SMALL, is_store_slow: true };
    expect_that!(others(far).better(&small, now), some(anything()));
    expect_that!(others(SMALL).better(&owner(far), now), none());
}

#[gtest]
fn no_handover_for_distance_goes_to_a_daemon_that_will_be_replaced() {
    let (daemons, now) = changing();
    let owner = Incumbent { size: LARGE, takeover: LARGE + FAR, is_store_slow: false };
    let field = Field::new(daemons);
    expect_that!(field.better(&owner, now), none());
    expect_that!(field.better(&owner, now + Millis::from_secs(60)), some(anything()));
}

/// Chooses the next owner from what the owner knows.
type Choice = fn(&Field<'_>, Millis, &mut ChaCha8Rng) -> Option<String>;

/// Returns the number of owners that stop while all of 12 large and 22 small daemons are replaced, one
/// each second. A third of the large ones is near the store. What the owner knows is up to 3 s old, and
/// a replaced daemon can own the shard 4 s after its stop.
fn owners_stopped(choose: Choice, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<String> = (0..34).map(|i| i.to_string()).collect();
    let takeover = |i: usize| match i {
        0..4 => LARGE + Millis(4),
        4..12 => LARGE + FAR,
        _ => SMALL,
    };
    let mut order: Vec<usize> = (0..34).collect();
    order.shuffle(&mut random);
    let stop = |i: usize| {
        let turn = order.iter().position(|o| *o == i).unwrap_or_default();
        EARLY + Millis::from_secs(15 + turn as u64)
    };
    let back = |i: usize| stop(i) + Millis::from_secs(4);
    let (mut owner, mut stopped) = (0, 0);
    for turn in order.iter().copied() {
        let now = stop(turn);
        if turn != owner {
            continue;
        }
        stopped += 1;
        let known = now.since(Millis(random.random_range(0..3000)));
        let view = (0..34).filter(|i| *i != owner).map(|i| Candidate {
            name: &names[i],
            address: "",
            takeover: if (stop(i)..back(i)).contains(&known) { Millis::MAX } else { takeover(i) },
            started: if back(i) <= known { back(i) } else { EARLY }
                .since(Millis(random.random_range(0..3000))),
        });
        let field = Field::new(view.collect());
        let chosen = choose(&field, now, &mut random).and_then(|n| n.parse().ok());
        // One that has just been stopped does not claim; another large one does.
        let is_up = |i: &usize| !(stop(*i)..back(*i)).contains(&now);
        let any = (0..12).filter(|i| *i != owner).find(is_up);
        owner = chosen.filter(is_up).or(any).unwrap_or(owner);
    }
    stopped
}

/// The daemon that claims first where nobody chooses: any large one.
fn any_large(field: &Field<'_>, _now: Millis, random: &mut ChaCha8Rng) -> Option<String> {
    let large: Vec<_> = field.candidates.iter().filter(|c| c.takeover < SMALL).collect();
    (!large.is_empty()).then(|| large[random.random_range(0..large.len())].name.to_owned())
}

/// Regression: while all daemons were replaced in turn, the shard went to daemons that were replaced next
/// and changed hands five times in 10 s.
#[gtest]
fn few_owners_are_stopped_while_all_daemons_are_replaced() {
    let chosen: Choice = |field, now, _| name(field.successor(now));
    let counts = || (0..200).map(|seed| owners_stopped(chosen, seed));
    let before: usize = (0..200).map(|seed| owners_stopped(any_large, seed)).sum();
    let after: usize = counts().sum();
    expect_that!(counts().max(), some(le(3)));
    expect_that!(after * 10, le(before * 7), "{after} instead of {before}");
    expect_that!(after, le(200 * 2), "{after} in 200 replacements");
}
