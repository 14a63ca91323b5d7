mod faults;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::sync::{Condvar, Mutex};
use async_std::task;
use futures_util::future::pending;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::reply::{error_reply, json_reply, path_segments, read_json};
use crate::server::{Caller, Server};

use self::faults::WriteFault;
use self::table::{Condition, ObjectTable, PutError};

pub use self::faults::{CallFault, LostWrites, PlatformFaults, WatchFault};

/// The maximum size of a stored value.
const VALUE_BYTES_MAX: usize = 1 << 20;

/// The header of all answers to calls that states how often the store was restored.
const ERA_HEADER: &str = "store-era";

/// The interval at which a watch polls while a fault makes reads lag.
const LAG_POLL_MS: u64 = 20;

/// A stand-in for the platform's object API.
///
/// Objects are kept in memory; the server stops when this value is dropped.
#[derive(Debug)]
pub struct FakePlatform {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    gets: AtomicU64,
    lists: AtomicU64,
    puts: AtomicU64,
    deletes: AtomicU64,
    watches: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    table: ObjectTable,
    /// Rises by one with each restore.
    era: u64,
    faults: PlatformFaults,
}

/// A revision to which the store goes back.
#[derive(Debug, Serialize, Deserialize)]
struct RestoreOrder {
    revision: u64,
}

/// The number of calls received, by operation.
///
/// A call that [`PlatformFaults::calls`] refuses or drops isn't counted, unless it is a watch that
/// waited already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of all objects of a kind.
    pub lists: u64,
    /// Writes of one object, including rejected ones.
    pub puts: u64,
    /// Deletions of one object, including rejected ones.
    pub deletes: u64,
    /// Watch requests; each long poll counts as one.
    pub watches: u64,
}

impl FakePlatform {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<FakePlatform> {
        let shared = Arc::new(Shared::default());
        let handling = Arc::clone(&shared);
        let server = Server::start(address, move |request, _: Caller| {
            handle(Arc::clone(&handling), request)
        })
        .await?;
        Ok(FakePlatform { server, shared })
    }

    /// Returns the bound address, with the actual port if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults; the default value clears them.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        self.shared.set_faults(faults).await;
    }

    /// Goes back to the state at a revision, as a store does that is restored from an older copy,
    /// and drops every open connection.
    pub async fn restore(&self, revision: u64) {
        self.shared.restore(revision).await;
        self.server.drop_connections();
    }

    /// Returns the revision of the last change.
    pub async fn revision(&self) -> u64 {
        self.shared.state.lock().await.table.revision()
    }

    /// Drops every open connection.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// Stores a value unconditionally and returns its version.
    pub async fn store(&self, kind: &str, name: &str, value: Value) -> u64 {
        let mut state = self.shared.state.lock().await;
        let stored = state.table.put(kind, name, value, Condition::Any);
        drop(state);
        self.shared.changed.notify_all();
        stored.unwrap_or_default()
    }

    /// Returns the version and the stored value, unaffected by faults.
    pub async fn stored(&self, kind: &str, name: &str) -> Option<(u64, Value)> {
        let state = self.shared.state.lock().await;
        state.table.object(kind, name, u64::MAX)
    }

    /// Returns the number of calls received since the start.
    pub fn calls(&self) -> PlatformCalls {
        self.shared.calls()
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Shared {
    async fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().await.faults = faults;
        self.changed.notify_all();
    }

    async fn restore(&self, revision: u64) {
        let mut state = self.state.lock().await;
        state.table.restore(revision);
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    fn calls(&self) -> PlatformCalls {
        PlatformCalls {
            gets: self.gets.load(Ordering::Relaxed),
            lists: self.lists.load(Ordering::Relaxed),
            puts: self.puts.load(Ordering::Relaxed),
            deletes: self.deletes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}

async fn handle(shared: Arc<Shared>, mut request: Request) -> http_types::Result<Response> {
    let segments = path_segments(&request);
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (request.method(), segments.as_slice()) {
        (Method::Post, ["fault"]) => match read_json(&mut request).await {
            Ok(faults) => {
                shared.set_faults(faults).await;
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        (Method::Post, ["restore"]) => match read_json::<RestoreOrder>(&mut request).await {
            Ok(RestoreOrder { revision }) => {
                shared.restore(revision).await;
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        (Method::Get, ["revision"]) => {
            let revision = shared.state.lock().await.table.revision();
            json_reply(StatusCode::Ok, &RestoreOrder { revision })
        }
        (Method::Get, ["calls"]) => json_reply(StatusCode::Ok, &shared.calls()),
        (method, segments) => {
            shared.apply_call_fault().await?;
            let mut response = if shared.refuses().await {
                error_reply(StatusCode::ServiceUnavailable, "unavailable")?
            } else {
                call(&shared, method, segments, request).await?
            };
            let era = shared.state.lock().await.era;
            response.insert_header(ERA_HEADER, era.to_string());
            Ok(response)
        }
    }
}

async fn call(
    shared: &Shared,
    method: Method,
    segments: &[&str],
    request: Request,
) -> http_types::Result<Response> {
    match (method, segments) {
        (Method::Get, ["objects", kind]) => shared.list(kind).await,
        (Method::Get, ["objects", kind, name]) => shared.get(kind, name).await,
        (Method::Put, ["objects", kind, name]) => shared.put(kind, name, request).await,
        (Method::Delete, ["objects", kind, name]) => shared.delete(kind, name, &request).await,
        (Method::Get, ["watch", kind]) => shared.watch(kind, &request).await,
        _ => error_reply(StatusCode::NotFound, "no such path"),
    }
}

impl Shared {
    /// Delays, stalls or drops a call according to the injected faults.
    async fn apply_call_fault(&self) -> http_types::Result<()> {
        let delay_ms = self.state.lock().await.faults.answer_delay_ms;
        task::sleep(Duration::from_millis(delay_ms)).await;
        let mut state = self.state.lock().await;
        while state.faults.calls == CallFault::Stall {
            state = self.changed.wait(state).await;
        }
        match state.faults.calls {
            CallFault::Reset => Err(dropped()),
            _ => Ok(()),
        }
    }

    async fn refuses(&self) -> bool {
        self.state.lock().await.faults.calls == CallFault::Refuse
    }

    async fn list(&self, kind: &str) -> http_types::Result<Response> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let state = self.state.lock().await;
        let revision = state.readable_revision(kind);
        let objects = state.table.objects(kind, revision);
        json_reply(StatusCode::Ok, &json!({ "revision": revision, "objects": objects }))
    }

    async fn get(&self, kind: &str, name: &str) -> http_types::Result<Response> {
        self.gets.fetch_add(1, Ordering::Relaxed);
        let state = self.state.lock().await;
        match state.table.object(kind, name, state.readable_revision(kind)) {
            Some((version, value)) => json_reply(
                StatusCode::Ok,
                &json!({ "kind": kind, "name": name, "version": version, "value": value }),
            ),
            None => error_reply(StatusCode::NotFound, "absent"),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        mut request: Request,
    ) -> http_types::Result<Response> {
        self.puts.fetch_add(1, Ordering::Relaxed);
        let bytes = request.body_bytes().await?;
        if bytes.len() > VALUE_BYTES_MAX {
            return error_reply(StatusCode::PayloadTooLarge, "too large");
        }
        let Ok(value) = serde_json::from_slice(&bytes) else {
            return error_reply(StatusCode::BadRequest, "not json");
        };
        let Some(condition) = condition(&request) else {
            return error_reply(StatusCode::BadRequest, "if-match is not a version");
        };
        let write = |table: &mut ObjectTable| table.put(kind, name, value, condition);
        match self.write(kind, write).await? {
            Ok(version) => json_reply(
                StatusCode::Ok,
                &json!({ "kind": kind, "name": name, "version": version }),
            ),
            Err(error) => refuse_write(error),
        }
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        request: &Request,
    ) -> http_types::Result<Response> {
        self.deletes.fetch_add(1, Ordering::Relaxed);
        let Some(condition) = condition(request) else {
            return error_reply(StatusCode::BadRequest, "if-match is not a version");
        };
        match self.write(kind, |table| table.delete(kind, name, condition)).await? {
            Ok(_) => Ok(Response::new(StatusCode::NoContent)),
            Err(error) => refuse_write(error),
        }
    }

    async fn write(
        &self,
        kind: &str,
        write: impl FnOnce(&mut ObjectTable) -> Result<u64, PutError>,
    ) -> http_types::Result<Result<u64, PutError>> {
        let mut state = self.state.lock().await;
        let write_fault = state.faults.next_write(kind);
        if write_fault == WriteFault::LoseRequest {
            return Err(dropped());
        }
        let written = write(&mut state.table);
        if kind == "head" && state.faults.after_head != CallFault::None {
            state.faults.calls = std::mem::take(&mut state.faults.after_head);
        }
        drop(state);
        self.changed.notify_all();
        match write_fault {
            WriteFault::LoseAnswer => Err(dropped()),
            _ => Ok(written),
        }
    }

    async fn watch(&self, kind: &str, request: &Request) -> http_types::Result<Response> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let after = query_number(request, "after").unwrap_or(0);
        let wait_ms = query_number(request, "wait_ms").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().await;
        let era = state.era;
        loop {
            if state.era != era {
                return Err(dropped());
            }
            if after > state.table.revision() {
                return error_reply(StatusCode::Gone, "no such revision");
            }
            if state.faults.watches == WatchFault::Silent {
                drop(state);
                pending::<()>().await;
                return Err(dropped());
            }
            match state.faults.calls {
                CallFault::None => {}
                CallFault::Stall => {
                    state = self.changed.wait(state).await;
                    continue;
                }
                CallFault::Refuse | CallFault::Reset => return Err(dropped()),
            }
            if !state.table.has_all_events_after(after) {
                return error_reply(StatusCode::Gone, "watch too old");
            }
            let revision = state.readable_revision(kind);
            let events = state.table.events(kind, after, revision);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let batch = json!({ "revision": revision, "events": events });
                return json_reply(StatusCode::Ok, &batch);
            }
            let pause = if state.faults.reads_lag() {
                remaining.min(Duration::from_millis(LAG_POLL_MS))
            } else {
                remaining
            };
            state = self.changed.wait_timeout(state, pause).await.0;
        }
    }
}

impl State {
    /// Returns the revision at which `kind` is read, including the lag from faults.
    fn readable_revision(&self, kind: &str) -> u64 {
        let newest = self.table.revision();
        let frozen_at = self.faults.reads_frozen_at.unwrap_or(newest);
        let stale = newest.saturating_sub(self.faults.stale_by_revisions).min(frozen_at);
        if kind != "host" || self.faults.host_list_lag_ms == 0 {
            return stale;
        }
        let lag = Duration::from_millis(self.faults.host_list_lag_ms);
        stale.min(self.table.revision_before(Instant::now().checked_sub(lag)))
    }
}

/// Returns the condition in the request's headers, or `None` if it is malformed.
fn condition(request: &Request) -> Option<Condition> {
    if request.header("if-none-match").is_some() {
        return Some(Condition::Absent);
    }
    let Some(value) = request.header("if-match") else {
        return Some(Condition::Any);
    };
    value.as_str().trim_matches('"').parse().ok().map(Condition::Version)
}

fn refuse_write(error: PutError) -> http_types::Result<Response> {
    match error {
        PutError::Conflict => error_reply(StatusCode::Conflict, "conflict"),
        PutError::Absent => error_reply(StatusCode::NotFound, "absent"),
    }
}

fn query_number(request: &Request, key: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(name, _)| name == key)?;
    value.parse().ok()
}

fn dropped() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "dropped by a fault")
}
