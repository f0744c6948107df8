//! Loops that follow the configuration, the list of workers, the list of members and the owner.
//!
//! [`owner`] learns whether the owner can go on, [`successor`] who owns the shard while the log can't
//! be read.

use super::{Backoff, OUTLOOK_PATH, OutageLog, TENURE_PATH};
use crate::ring::{Latest, Publisher, Sender};
use crate::shard::border::{self, Member, Store};
use crate::shard::steward::Event;
use crate::shard::view::{self, Configuration, Peers, Prospect, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::outlook::Outlook;
use pimentovalve_core::ledger::shard::succession::{self, Standing, Tenure};
use pimentovalve_wire::http::client::{Client, Error};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Long-poll timeout of one configuration read.
const CATALOG_WAIT: Millis = Millis(1000);
/// Interval between two reads of the list of workers by the owner.
const OWNER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reads of the list of workers by other daemons. They read it only to have a
/// recent list when they become owner.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between two announcements of this daemon.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Announcements for each time that a daemon reads the list of members while it does not own the shard.
const ROUNDS_PER_LIST: u64 = 8;

/// Interval between two questions to a silent owner.
const TENURE_INTERVAL: Duration = Duration::from_millis(150);
/// Time-out of a question to the owner: twice the longest round trip between regions, and a margin.
const TENURE_TIMEOUT: Millis = Millis(300);

/// Interval between two questions for the owner while the replica lags.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two questions for the waiting work.
const OUTLOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of such a question: twice the longest round trip between regions, and a margin.
const OUTLOOK_TIMEOUT: Millis = Millis(300);

/// Publishes each new version of the configuration, and when it was last read; older versions are
/// ignored.
pub(super) async fn catalog(store: Arc<dyn Store>, configuration: Publisher<Configuration>) {
    let (mut outage, mut backoff) = (OutageLog::new("configuration"), Backoff::new());
    loop {
        let began = view::now();
        match store.catalog(CATALOG_WAIT).await {
            Ok(newest) => {
                outage.regained();
                backoff.reset();
                let current = configuration.borrow().catalog.as_ref().map_or(0, |c| c.version);
                let newer = newest.filter(|n| n.version > current);
                configuration.send_modify(|configuration| {
                    configuration.covered_until = began;
                    if let Some(newer) = newer {
                        let (version, queues) = (newer.version, newer.queues().len());
                        let (teams, keys) = (newer.roster.teams().len(), newer.roster.key_count());
                        tracing::info!(version, queues, teams, keys, "configuration in force");
                        configuration.catalog = Some(Arc::new(newer));
                    }
                });
            }
            Err(failure) => {
                outage.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

/// Sends the list of workers to the steward, at once when this daemon becomes owner.
pub(super) async fn workers(
    store: Arc<dyn Store>,
    steward: Sender<Event>,
    mut shard_status: Latest<ShardStatus>,
) {
    let (mut outage, mut backoff) = (OutageLog::new("list of workers"), Backoff::new());
    loop {
        let began = view::now();
        match store.workers().await {
            Ok(workers) => {
                outage.regained();
                backoff.reset();
                if steward.push(Event::Listed { workers, began }).await.is_err() {
                    return;
                }
                let pause =
                    if shard_status.borrow().owns() { OWNER_LIST_INTERVAL } else { LIST_INTERVAL };
                tokio::select! {
                    () = sleep(pause) => {}
                    _ = shard_status.wait_for(|f| f.owns() && pause > OWNER_LIST_INTERVAL) => {}
                }
            }
            Err(failure) => {
                outage.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

/// Announces this daemon, and sends the members to the steward while this daemon is the owner.
pub(super) async fn members(
    store: Arc<dyn Store>,
    mut member: Member,
    steward: Sender<Event>,
    shard_status: Latest<ShardStatus>,
) {
    let (mut outage, mut backoff) = (OutageLog::new("list of members"), Backoff::new());
    let takeover = member.takeover;
    for round in 0_u64.. {
        member.beat += 1;
        // A daemon that can't take the shard over now must not be offered it.
        member.takeover =
            if shard_status.borrow().can_own { takeover } else { border::UNKNOWN_TAKEOVER };
        let announced = store.announce(&member).await;
        // The owner distributes calls to the advisor over the live members. The other daemons only need
        // addresses. Those that start together see each other in the second round.
        let owns = shard_status.borrow().owns();
        let is_listed = owns || round < 2 || round % ROUNDS_PER_LIST == 0;
        let listed = if is_listed { store.members().await.map(Some) } else { Ok(None) };
        match announced.and(listed) {
            Ok(listed) => {
                outage.regained();
                backoff.reset();
                if let Some(members) = listed
                    && steward.push(Event::Members(members)).await.is_err()
                {
                    return;
                }
                let mut shard_status = shard_status.clone();
                tokio::select! {
                    () = sleep(ANNOUNCE_INTERVAL) => {}
                    _ = shard_status.wait_for(|f| f.owns() && !owns) => {}
                }
            }
            Err(failure) => {
                outage.lost(&failure);
                backoff.pause().await;
            }
        }
    }
}

/// Asks the owner for its standing while no record of it is read, and once after the start: the owner
/// may have ended before this daemon could notice a silence. After a takeover the earlier owner is
/// asked until it is known to grant no leases any more.
pub(super) async fn owner(
    client: Arc<Client>,
    steward: Sender<Event>,
    mut shard_status: Latest<ShardStatus>,
) {
    let mut has_asked = false;
    loop {
        let asked = |s: &ShardStatus| {
            if s.owns() {
                return s.earlier_owner.clone();
            }
            let is_silent = s.owner_silence() >= succession::ASK_AFTER;
            let is_due = s.caught_up && !s.owner.is_empty() && (is_silent || !has_asked);
            is_due.then(|| (s.claim, s.owner.clone()))
        };
        let due = shard_status.wait_for(|s| asked(s).is_some()).await;
        let Some((claim, address)) = due.ok().and_then(|status| asked(&status)) else { return };
        has_asked = true;
        let answer =
            client.exchange::<_, Tenure>(&address, TENURE_PATH, &claim, TENURE_TIMEOUT).await;
        let standing = match &answer {
            Ok(tenure) => Standing::of(tenure, claim),
            Err(Error::Unsent { is_refused: true, .. }) => Standing::Absent,
            Err(_) => Standing::Unknown,
        };
        tracing::info!(claim, %address, ?standing, ?answer, "owner asked for its standing");
        if steward.push(Event::OwnerAsked { claim, standing }).await.is_err() {
            return;
        }
        sleep(TENURE_INTERVAL).await;
    }
}

/// Asks peers for the owner while this daemon's replica lags: the shard may have changed hands, and
/// callers' entries have to reach the present owner.
pub(super) async fn successor(
    client: Arc<Client>,
    steward: Sender<Event>,
    peers: Latest<Peers>,
    shard_status: Latest<ShardStatus>,
) {
    let mut known = 0;
    loop {
        sleep(SUCCESSOR_INTERVAL).await;
        let claim = {
            let status = shard_status.borrow();
            if status.owns() || !status.lags(view::now()) {
                continue;
            }
            status.claim.max(known)
        };
        let peer = {
            let peers = peers.borrow();
            let at = rand::random_range(0..peers.len().max(1));
            peers.get(at).cloned()
        };
        let Some(peer) = peer else { continue };
        // A peer that does not answer is not asked again soon: there are others.
        let Ok(Tenure { claim: newer, owner, .. }) =
            client.exchange(&peer, TENURE_PATH, &claim, TENURE_TIMEOUT).await
        else {
            continue;
        };
        if newer > claim && !owner.is_empty() {
            known = newer;
            tracing::info!(claim = newer, %owner, %peer, "owner learnt from a peer");
            if steward.push(Event::OwnerFound { claim: newer, address: owner }).await.is_err() {
                return;
            }
        }
    }
}

/// Asks the owner what waits, while callers submit jobs to this daemon. Nobody waits for the answer; without one,
/// the last summary becomes too old to refuse jobs by it.
pub(super) async fn outlook(
    client: Arc<Client>,
    shard_status: Latest<ShardStatus>,
    mut submissions: Latest<u64>,
    own: Latest<Prospect>,
    prospect: Publisher<Prospect>,
) {
    while submissions.changed().await.is_ok() {
        let (epoch, owns, address) = {
            let status = shard_status.borrow();
            (status.claim, status.owns(), status.owner.clone())
        };
        if owns {
            prospect.send_replace(own.borrow().clone());
        } else if !address.is_empty() {
            let asked = view::now();
            let answer = client
                .exchange::<_, Option<(Millis, Outlook)>>(
                    &address,
                    OUTLOOK_PATH,
                    &epoch,
                    OUTLOOK_TIMEOUT,
                )
                .await;
            match answer {
                Ok(said) => {
                    let at = said.as_ref().map_or(asked, |(age, _)| asked.since(*age));
                    let outlook = said.map(|(_, outlook)| Arc::new(outlook));
                    prospect.send_replace(Prospect { epoch, at, outlook });
                }
                Err(error) => tracing::debug!(%address, %error, "owner did not say what waits"),
            }
        }
        sleep(OUTLOOK_INTERVAL).await;
    }
}
