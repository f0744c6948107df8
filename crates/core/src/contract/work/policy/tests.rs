//! Tests of the encoding that builds without teams share.

use super::{AdvisorTiming, Policy};
use crate::clock::Millis;
use crate::contract::work::tests::policy;
use crate::name::Name;
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

/// A policy as builds without teams have it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Earlier {
    queue: Box<str>,
    pool: Box<str>,
    priority: u32,
    attempts: u32,
    stretch_milli: u64,
    slack_ms: Millis,
    #[serde(rename = "advised")]
    advisor_timing: Option<AdvisorTiming>,
}

/// The same in a record with fields around it, as in a job.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Around<P>(u64, P, Box<str>);

fn earlier(policy: &Policy) -> Earlier {
    let Policy { queue, pool, priority, attempts, stretch_milli, slack_ms, advisor_timing, .. } =
        policy.clone();
    Earlier { queue, pool, priority, attempts, stretch_milli, slack_ms, advisor_timing }
}

fn policies() -> Vec<Policy> {
    let timing = AdvisorTiming { answer_us: 1, worker_us: 2, valid_ms: Millis(3) };
    vec![policy(), Policy { advisor_timing: Some(timing), ..policy() }]
}

#[gtest]
fn without_a_team_the_encoding_is_that_of_builds_without_teams() {
    for policy in policies() {
        let earlier = rmp_serde::to_vec(&earlier(&policy)).unwrap();
        expect_that!(rmp_serde::to_vec(&policy).unwrap(), eq(&earlier));
        expect_that!(rmp_serde::from_slice::<Policy>(&earlier), ok(eq(&policy)));
    }
}

#[gtest]
fn builds_without_teams_read_a_policy_with_a_team() {
    for policy in policies() {
        let team = Some(Name::try_from("wards").unwrap());
        let with_team = Around(7, Policy { team, ..policy.clone() }, "after".into());
        let bytes = rmp_serde::to_vec(&with_team).unwrap();
        let read = rmp_serde::from_slice::<Around<Earlier>>(&bytes);
        expect_that!(read, ok(eq(&Around(7, earlier(&policy), "after".into()))));
        expect_that!(rmp_serde::from_slice::<Around<Policy>>(&bytes), ok(eq(&with_team)));
    }
}

#[gtest]
fn a_truncated_policy_is_not_read() {
    let policy = Policy { team: Some(Name::try_from("wards").unwrap()), ..policy() };
    let bytes = rmp_serde::to_vec(&policy).unwrap();
    for end in 0..bytes.len() {
        expect_that!(rmp_serde::from_slice::<Policy>(&bytes[..end]), err(anything()), "{end}");
    }
}
