//! Clients of the platform's services, workers and runners over HTTP.

use super::{Failure, List, Log, Runner, Worker};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::zone::membership::Instance;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::client::{self, Client, Error};
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::http::{Content, Pending};
use pimentovalve_wire::log::{Append, Appended, Chunk, Gone, Read};
use pimentovalve_wire::runner::{Call, Done, Slots};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;
use std::sync::{Arc, Mutex, PoisonError};

/// The service is unavailable, or the runner is busy; the call had no effect.
const UNAVAILABLE: u16 = 503;
/// Time after the end of a request's budget in which the runner's notice that it abandoned the
/// request should arrive.
const ABANDON_GRACE: Millis = Millis(50);
/// The client already has the current content.
const NOT_MODIFIED: u16 = 304;
/// The offset is no longer retained.
const GONE: u16 = 410;

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        match error {
            Error::Unsent { .. } => Self::Refused(message),
            Error::Status { status, .. }
                if status == UNAVAILABLE || (400..500).contains(&status) =>
            {
                Self::Refused(message)
            }
            Error::Status { .. } | Error::Unknown { .. } => Self::Unknown(message),
        }
    }
}

/// The last reading of the list, with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    tag: String,
    instances: Arc<Vec<Instance>>,
}

/// Client of the log service and the instance list, which have fixed addresses.
#[derive(Debug)]
pub struct Service {
    client: Client,
    log: String,
    list: String,
    timeout: Millis,
    cached: Mutex<Option<CachedList>>,
}

impl Service {
    /// Returns a client for the services at two socket addresses. `timeout` applies to each call,
    /// in addition to the time that a read waits.
    pub fn new(
        log: &impl ToString,
        list: &impl ToString,
        timeout: Millis,
        traffic: Arc<Traffic>,
    ) -> Self {
        Self {
            client: Client::counted(traffic),
            log: log.to_string(),
            list: list.to_string(),
            timeout,
            cached: Mutex::new(None),
        }
    }

    async fn read_list(&self) -> Result<Arc<Vec<Instance>>, Failure> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let if_none_match = cached.as_ref().map(|c| c.tag.as_str());
        let call = client::Call::get(&self.list, "/instances", self.timeout);
        let reply = self.client.call(client::Call { if_none_match, ..call }).await?;
        match (reply.status, cached) {
            (NOT_MODIFIED, Some(cached)) => Ok(cached.instances),
            (200, _) => {
                let read = codec::from_json(&reply.body);
                let instances = Arc::new(read.map_err(|e| Failure::Refused(e.to_string()))?);
                let cached =
                    reply.tag.map(|tag| CachedList { tag, instances: Arc::clone(&instances) });
                *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = cached;
                Ok(instances)
            }
            (status, _) => {
                Err(Failure::Refused(format!("instance list answered with status {status}")))
            }
        }
    }

    async fn read_stream(&self, stream: &str, read: Read) -> Result<Chunk, Failure> {
        let path = format!("/streams/{stream}/read");
        let body = codec::pack(&read).map_err(|e| Failure::Refused(e.to_string()))?;
        let timeout = self.timeout + read.wait_ms;
        let reply = self.client.call(client::Call::post(&self.log, &path, &body, timeout)).await?;
        let unreadable = |e: pimentovalve_core::finding::List| Failure::Unknown(e.to_string());
        match reply.status {
            200 => codec::unpack(&reply.body).map_err(unreadable),
            GONE => {
                let Gone { horizon } = codec::unpack::<Gone>(&reply.body).map_err(unreadable)?;
                Err(Failure::Gone { horizon })
            }
            status => Err(Failure::Refused(format!("log answered with status {status}"))),
        }
    }
}

impl Log for Service {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        entries: Vec<Vec<u8>>,
    ) -> Pending<'a, Result<Offset, Failure>> {
        Box::pin(async move {
            let path = format!("/streams/{stream}");
            let append = Append { entries: entries.into_iter().map(ByteBuf::from).collect() };
            let appended: Appended =
                self.client.exchange(&self.log, &path, &append, self.timeout).await?;
            Ok(appended.first)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Pending<'a, Result<Chunk, Failure>> {
        Box::pin(self.read_stream(stream, Read { from, max, wait_ms: wait }))
    }
}

impl List for Service {
    fn instances(&self) -> Pending<'_, Result<Arc<Vec<Instance>>, Failure>> {
        Box::pin(self.read_list())
    }
}

/// Client of workers and runners, at the addresses from the instance list.
#[derive(Debug)]
pub struct Machine {
    client: Client,
    timeout: Millis,
}

impl Machine {
    /// Returns a client. `timeout` applies to each call except [`Runner::serve`], which has a
    /// budget of its own, in addition to the time that a heartbeat waits.
    pub fn new(timeout: Millis, traffic: Arc<Traffic>) -> Self {
        Self { client: Client::counted(traffic), timeout }
    }

    async fn exchange<T: Serialize + Sync, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: T,
        wait: Millis,
    ) -> Result<R, Failure> {
        Ok(self.client.exchange(address, path, &message, self.timeout + wait).await?)
    }
}

impl Worker for Machine {
    fn adopt<'a>(
        &'a self,
        address: &'a str,
        adopt: Adopt,
    ) -> Pending<'a, Result<Adopted, Failure>> {
        Box::pin(self.exchange(address, "/adopt", adopt, Millis::ZERO))
    }

    fn order<'a>(
        &'a self,
        address: &'a str,
        orders: Orders,
    ) -> Pending<'a, Result<Replies, Failure>> {
        Box::pin(self.exchange(address, "/orders", orders, Millis::ZERO))
    }

    fn reply<'a>(
        &'a self,
        address: &'a str,
        heartbeat: Heartbeat,
    ) -> Pending<'a, Result<HeartbeatReply, Failure>> {
        let wait = heartbeat.wait_ms;
        Box::pin(self.exchange(address, "/heartbeat", heartbeat, wait))
    }
}

impl Runner for Machine {
    fn serve<'a>(
        &'a self,
        address: &'a str,
        call: Call,
        new_connection: bool,
    ) -> Pending<'a, Result<Done, Failure>> {
        Box::pin(async move {
            let body = codec::to_json(&call).map_err(|e| Failure::Refused(e.to_string()))?;
            let timeout = call.budget_ms + ABANDON_GRACE;
            let post = client::Call {
                content: Content::Json,
                new_connection,
                ..client::Call::post(address, "/serve", &body, timeout)
            };
            let is_expected = |reply: &client::Reply| {
                let done = codec::from_json::<Done>(&reply.body);
                let same = |d: Done| d.request == call.request && d.attempt == call.attempt;
                reply.status != 200 || done.is_ok_and(same)
            };
            let reply = self.client.call_checked(post, is_expected).await?;
            match reply.status {
                200 => codec::from_json(&reply.body).map_err(|e| Failure::Unknown(e.to_string())),
                UNAVAILABLE => Err(Failure::Refused("runner is busy".into())),
                status => Err(Failure::Unknown(format!("runner answered with status {status}"))),
            }
        })
    }

    fn slots<'a>(&'a self, address: &'a str) -> Pending<'a, Result<Slots, Failure>> {
        Box::pin(async move {
            let get = client::Call {
                new_connection: true,
                ..client::Call::get(address, "/slots", self.timeout)
            };
            let reply = self.client.call(get).await?;
            match reply.status {
                200 => codec::from_json(&reply.body).map_err(|e| Failure::Unknown(e.to_string())),
                status => Err(Failure::Refused(format!("runner answered with status {status}"))),
            }
        })
    }

    fn forget(&self, address: &str) {
        self.client.forget(address);
    }
}
