//! Loops that follow the configuration, the list of workers, the list of members and the owner.
//!
//! [`relayed_catalog`] asks peers for the configuration while the store turns this daemon away.
//! [`owner`] learns whether the owner can go on, [`successor`] who owns the shard while the log can't
//! be read.

use super::{
    ANNOUNCE_INTERVAL, Backoff, CATALOG_WAIT, OUTLOOK_PATH, OutageLog, TENURE_PATH, handover,
};
use crate::ring::{Latest, Publisher, Sender};
use crate::shard::border::{self, Member, Store};
use crate::shard::relay::{self, CONFIGURATION_PATH, Offer, Search};
use crate::shard::steward::Event;
use crate::shard::view::{self, Configuration, Peers, Prospect, ShardStatus};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::contract::owner::outlook::Outlook;
use pimentovalve_core::ledger::shard::succession::{self, Standing, Tenure};
use pimentovalve_wire::http::client::{Client, Error};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval between two reads of the list of workers by the owner.
const OWNER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two reads of the list of workers by other daemons. They read it only to have a
/// recent list when they become owner.
const LIST_INTERVAL: Duration = Duration::from_secs(3);
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

/// The loops of this module, with what they read and publish.
pub(super) struct Follow {
    /// Platform adapter for the store.
    pub(super) store: Arc<dyn Store>,
    /// Announcement of this daemon to its peers.
    pub(super) member: Member,
    /// HTTP client for questions to peers.
    pub(super) client: Arc<Client>,
    /// Addresses of the other daemons.
    pub(super) peers: Latest<Peers>,
    /// Ring to the steward.
    pub(super) steward: Sender<Event>,
    /// Ownership and log progress, published by the steward.
    pub(super) shard_status: Latest<ShardStatus>,
    /// Publishes the newest configuration.
    pub(super) configuration: Publisher<Configuration>,
    /// Number of jobs that callers have submitted to this daemon.
    pub(super) submissions: Latest<u64>,
    /// What waits, published by the steward while this daemon owns the shard.
    pub(super) own_prospect: Latest<Prospect>,
    /// Publishes what the owner says of the waiting work.
    pub(super) prospect: Publisher<Prospect>,
    /// Notified when the store answers again.
    pub(super) regained: Arc<Notify>,
}

impl Follow {
    /// Starts the loops.
    pub(super) fn spawn(self) -> [JoinHandle<()>; 8] {
        let Self { store, client, steward, shard_status, configuration, regained, .. } = self;
        let catalog_failed = Arc::new(AtomicBool::new(false));
        [
            tokio::spawn(catalog(
                Arc::clone(&store),
                configuration.clone(),
                Arc::clone(&regained),
                Arc::clone(&catalog_failed),
            )),
            tokio::spawn(relayed_catalog(
                Arc::clone(&client),
                configuration,
                catalog_failed,
                self.peers.clone(),
                shard_status.clone(),
            )),
            tokio::spawn(workers(
                Arc::clone(&store),
                steward.clone(),
                shard_status.clone(),
                regained,
            )),
            tokio::spawn(owner(Arc::clone(&client), steward.clone(), shard_status.clone())),
            tokio::spawn(handover::invite(Arc::clone(&client), shard_status.clone())),
            tokio::spawn(outlook(
                Arc::clone(&client),
                shard_status.clone(),
                self.submissions,
                self.own_prospect,
                self.prospect,
            )),
            tokio::spawn(successor(client, steward.clone(), self.peers, shard_status.clone())),
            tokio::spawn(members(store, self.member, steward, shard_status)),
        ]
    }
}

/// Publishes each new version of the configuration, and when it was last read; older versions are
/// ignored. `has_failed` tells whether the last read failed.
async fn catalog(
    store: Arc<dyn Store>,
    configuration: Publisher<Configuration>,
    regained: Arc<Notify>,
    has_failed: Arc<AtomicBool>,
) {
    let (mut outage, mut backoff) = (OutageLog::new("configuration"), Backoff::new());
    loop {
        let began = view::now();
        let read = tokio::select! {
            read = store.catalog(CATALOG_WAIT) => read,
            () = regained.notified() => continue,
        };
        match read {
            Ok(newest) => {
                outage.regained();
                backoff.reset();
                has_failed.store(false, Ordering::Relaxed);
                publish(&configuration, newest, began, "store");
            }
            Err(failure) => {
                has_failed.store(true, Ordering::Relaxed);
                outage.lost(&failure);
                tokio::select! {
                    () = backoff.pause() => {}
                    () = regained.notified() => {}
                }
            }
        }
    }
}

/// Publishes what a read or a peer said about the configuration.
fn publish(
    configuration: &Publisher<Configuration>,
    catalog: Option<Catalog>,
    covered_until: Millis,
    from: &str,
) {
    configuration.send_modify(|configuration| {
        if configuration.learn(catalog, covered_until)
            && let Some(catalog) = &configuration.catalog
        {
            let (version, queues) = (catalog.version, catalog.queues().len());
            let (teams, keys) = (catalog.roster.teams().len(), catalog.roster.key_count());
            tracing::info!(version, queues, teams, keys, from, "configuration in force");
        }
    });
}

/// Asks peers for the configuration while this daemon's own reads of it fail. By an old one, callers
/// whose keys were withdrawn would be served, or all callers refused.
async fn relayed_catalog(
    client: Arc<Client>,
    configuration: Publisher<Configuration>,
    has_failed: Arc<AtomicBool>,
    peers: Latest<Peers>,
    shard_status: Latest<ShardStatus>,
) {
    let mut search = Search::default();
    let mut is_relayed = false;
    loop {
        sleep(search.pause().into()).await;
        let own = configuration.borrow().clone();
        let peer = {
            let (status, peers) = (shard_status.borrow(), peers.borrow());
            let owner = if status.owns() { "" } else { &*status.owner };
            let has_failed = has_failed.load(Ordering::Relaxed);
            let random = rand::random_range(0..usize::MAX);
            search.peer(has_failed, &own, owner, &peers, random, view::now())
        };
        let Some(peer) = peer else { continue };
        let (asked, version) = (view::now(), own.catalog.map_or(0, |catalog| catalog.version));
        let answer = client.exchange(&peer, CONFIGURATION_PATH, &version, relay::TIMEOUT).await;
        let covered_until = match answer {
            Ok(offer) => {
                let offer: Offer = offer;
                let covered_until = offer.covered_until(asked);
                publish(&configuration, offer.catalog, covered_until, &peer);
                Some(covered_until)
            }
            Err(error) => {
                tracing::debug!(%peer, %error, "no configuration from a peer");
                None
            }
        };
        let helps = search.note(&peer, covered_until, view::now());
        if helps != is_relayed {
            let age_ms = view::now().since(configuration.borrow().covered_until).get();
            tracing::info!(%peer, helps, age_ms, version, "configuration from a peer");
            is_relayed = helps;
        }
    }
}

/// Sends the list of workers to the steward, at once when this daemon becomes owner.
async fn workers(
    store: Arc<dyn Store>,
    steward: Sender<Event>,
    mut shard_status: Latest<ShardStatus>,
    regained: Arc<Notify>,
) {
    let (mut outage, mut backoff) = (OutageLog::new("list of workers"), Backoff::new());
    loop {
        let began = view::now();
        let listed = tokio::select! {
            listed = store.workers() => listed,
            () = regained.notified() => continue,
        };
        match listed {
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
                tokio::select! {
                    () = backoff.pause() => {}
                    () = regained.notified() => {}
                }
            }
        }
    }
}

/// Announces this daemon, and sends the members to the steward while this daemon is the owner.
async fn members(
    store: Arc<dyn Store>,
    mut member: Member,
    steward: Sender<Event>,
    shard_status: Latest<ShardStatus>,
) {
    let (mut outage, mut backoff) = (OutageLog::new("list of members"), Backoff::new());
    let takeover = member.takeover;
    // An announcement before its time does not count: the others that start may not be listed yet.
    let mut round = 0_u64;
    loop {
        member.beat += 1;
        // A daemon that can't take the shard over now must not be offered it.
        let (can_own, distance) = {
            let status = shard_status.borrow();
            (status.can_own, status.distance)
        };
        member.takeover = if can_own { takeover + distance } else { border::UNKNOWN_TAKEOVER };
        let announced = store.announce(&member).await;
        // The owner distributes calls to the advisor over the live members. The other daemons only need
        // addresses. Those that start together see each other in the second round.
        let owns = shard_status.borrow().owns();
        let is_listed = owns || round < 2 || round.is_multiple_of(ROUNDS_PER_LIST);
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
                    () = sleep(ANNOUNCE_INTERVAL) => round += 1,
                    _ = shard_status.wait_for(|f| f.owns() && !owns || f.can_own != can_own) => {}
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
async fn owner(client: Arc<Client>, steward: Sender<Event>, mut shard_status: Latest<ShardStatus>) {
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
/// callers' entries have to reach the present owner. The owner that is known is asked whether the store
/// accepts its appends: it can store what this daemon can't.
async fn successor(
    client: Arc<Client>,
    steward: Sender<Event>,
    peers: Latest<Peers>,
    shard_status: Latest<ShardStatus>,
) {
    let mut known = 0;
    loop {
        sleep(SUCCESSOR_INTERVAL).await;
        let (claim, owner) = {
            let status = shard_status.borrow();
            if status.owns() || !status.lags(view::now()) {
                continue;
            }
            (status.claim.max(known), status.owner.clone())
        };
        let asked = view::now();
        if !owner.is_empty()
            && let Ok(Tenure { epoch: Some(_), appends_succeed: true, .. }) =
                client.exchange(&owner, TENURE_PATH, &claim, TENURE_TIMEOUT).await
            && steward.push(Event::OwnerServes { asked }).await.is_err()
        {
            return;
        }
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
async fn outlook(
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
