use std::net::SocketAddr;
use std::sync::OnceLock;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_types::{Method, Request, StatusCode, Url};
use lycheeford_policy::Name;
use serde_json::Value;

use crate::calls::Operation;
use crate::connection::{Answer, Connections, ExchangeError};
use crate::error::{
    AnswerLostSnafu, ConflictSnafu, ReadFailedSnafu, RefusedSnafu, TooLargeSnafu, UnreachableSnafu,
    WatchTooOldSnafu,
};
use crate::wire;
use crate::{
    CallCounters, Category, EraGate, Expect, Listing, Object, ObjectStore, PlatformError,
    PlatformLimits, RawJson, WatchBatch,
};

/// The header of an answer that states the store's era.
const ERA_HEADER: &str = "store-era";

/// The platform's object API over HTTP and JSON.
///
/// Reads reuse idle connections and fall back to a new one. Writes always open a new connection:
/// on a dead one a write would only fail after the whole answer time-out, with an unknown outcome.
///
/// A store that is restored from an older copy has lost what its users rely on, such as the ledger
/// of calls that run at most once. So this client refuses all calls once the era of the store has
/// risen. Its process serves nothing that needs the store until an operator has checked what was
/// lost and restarts it. See docs/PLATFORM.md, "A store that comes back from an older copy".
#[derive(Debug)]
pub struct HttpObjectStore {
    address: SocketAddr,
    connections: Connections,
    counters: CallCounters,
    eras: EraGate,
    /// The era that the first answer stated.
    first_era: OnceLock<u64>,
}

impl HttpObjectStore {
    /// Returns a client of the store at `address`; the first call connects.
    pub fn new(address: SocketAddr, limits: PlatformLimits) -> HttpObjectStore {
        HttpObjectStore {
            address,
            connections: Connections::new(address, limits),
            counters: CallCounters::default(),
            eras: EraGate::default(),
            first_era: OnceLock::new(),
        }
    }

    /// Returns the counters of the calls made through this client.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    async fn call(
        &self,
        operation: Operation,
        request: Request,
        wait_ms: u64,
    ) -> Result<Answer, PlatformError> {
        self.check_era()?;
        self.counters.count(operation);
        let answer = if operation.is_write() {
            self.connections.exchange_fresh(request, wait_ms).await
        } else {
            self.connections.read(request, wait_ms).await
        };
        let answer = answer.map_err(|error| {
            self.counters.count_failure();
            exchange_error(operation, error)
        })?;
        match self.admit(&answer) {
            Ok(()) => Ok(answer),
            // The write took effect in one copy of the store or the other.
            Err(error) if operation.is_write() => {
                Err(AnswerLostSnafu { message: error.to_string() }.build().into())
            }
            Err(error) => Err(error),
        }
    }

    fn admit(&self, answer: &Answer) -> Result<(), PlatformError> {
        let era = self.eras.admit(answer.header(ERA_HEADER))?;
        self.first_era.get_or_init(|| era);
        self.check_era()
    }

    /// Fails if the store was restored since the first call.
    fn check_era(&self) -> Result<(), PlatformError> {
        match self.first_era.get() {
            Some(first_era) if self.eras.newest() > *first_era => {
                let message = "the platform's store was restored from an older copy; check what it \
                               has lost, then restart all daemons";
                Err(PlatformError::new(Category::Unavailable, message))
            }
            _ => Ok(()),
        }
    }

    fn request(&self, method: Method, segments: &[&str]) -> Result<Request, PlatformError> {
        let mut url = Url::parse(&format!("http://{}/", self.address))
            .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
        if let Ok(mut path) = url.path_segments_mut() {
            path.clear().extend(segments);
        }
        Ok(Request::new(method, url))
    }

    async fn get_object(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let request = self.request(Method::Get, &["objects", kind, name])?;
        let answer = self.call(Operation::Get, request, 0).await?;
        match answer.status {
            StatusCode::Ok => Object::from_json(&answer.body, kind, name).map(Some),
            StatusCode::NotFound => Ok(None),
            status => Err(unexpected(Operation::Get, status)),
        }
    }

    async fn list_objects(&self, kind: &str) -> Result<Listing, PlatformError> {
        let request = self.request(Method::Get, &["objects", kind])?;
        let answer = self.call(Operation::List, request, 0).await?;
        match answer.status {
            StatusCode::Ok => Listing::from_json(&answer.body, kind),
            status => Err(unexpected(Operation::List, status)),
        }
    }

    async fn put_object(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        expect: Expect,
    ) -> Result<u64, PlatformError> {
        let mut request = self.request(Method::Put, &["objects", kind, name])?;
        match expect {
            Expect::Absent => request.insert_header("if-none-match", "*"),
            Expect::Version(version) => request.insert_header("if-match", version.to_string()),
        };
        request.insert_header("content-type", "application/json");
        request.set_body(value.to_string().into_bytes());
        let answer = self.call(Operation::Put, request, 0).await?;
        match answer.status {
            StatusCode::Ok | StatusCode::Created => decode_version(&answer.body),
            status => Err(write_error(Operation::Put, status, kind, name)),
        }
    }

    async fn delete_object(
        &self,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Result<(), PlatformError> {
        let mut request = self.request(Method::Delete, &["objects", kind, name])?;
        request.insert_header("if-match", version.to_string());
        let answer = self.call(Operation::Delete, request, 0).await?;
        match answer.status {
            StatusCode::NoContent | StatusCode::Ok => Ok(()),
            status => Err(write_error(Operation::Delete, status, kind, name)),
        }
    }

    async fn watch_kind(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchBatch, PlatformError> {
        let mut request = self.request(Method::Get, &["watch", kind])?;
        request.url_mut().set_query(Some(&format!("after={after}&wait_ms={wait_ms}")));
        let answer = self.call(Operation::Watch, request, wait_ms).await?;
        match answer.status {
            StatusCode::Ok => WatchBatch::from_json(&answer.body, kind),
            StatusCode::Gone => WatchTooOldSnafu { after }.fail().map_err(PlatformError::from),
            status => Err(unexpected(Operation::Watch, status)),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        self.get_object(kind, name).boxed()
    }

    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        self.list_objects(kind).boxed()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        value: Value,
        expect: Expect,
    ) -> BoxFuture<'a, Result<u64, PlatformError>> {
        self.put_object(kind, name, value, expect).boxed()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        self.delete_object(kind, name, version).boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<WatchBatch, PlatformError>> {
        self.watch_kind(kind, after, wait_ms).boxed()
    }
}

fn exchange_error(operation: Operation, error: ExchangeError) -> PlatformError {
    match error {
        ExchangeError::NotSent(message) => UnreachableSnafu { message }.build().into(),
        ExchangeError::MaybeSent(message) if operation.is_write() => {
            AnswerLostSnafu { message }.build().into()
        }
        ExchangeError::MaybeSent(message) => ReadFailedSnafu { message }.build().into(),
    }
}

fn write_error(operation: Operation, status: StatusCode, kind: &str, name: &str) -> PlatformError {
    let (kind, name) = (Name::from(kind), Name::from(name));
    match status {
        StatusCode::Conflict | StatusCode::PreconditionFailed | StatusCode::NotFound => {
            ConflictSnafu { kind, name }.build().into()
        }
        StatusCode::PayloadTooLarge => TooLargeSnafu { kind, name }.build().into(),
        status => unexpected(operation, status),
    }
}

/// Returns the error for a status that the operation doesn't define.
///
/// Only a refusal by the platform itself proves that a write had no effect; any other server error
/// may come from an intermediary, such as a proxy, after the platform received the write.
fn unexpected(operation: Operation, status: StatusCode) -> PlatformError {
    let refused = status.is_client_error() || status == StatusCode::ServiceUnavailable;
    if operation.is_write() && !refused {
        return AnswerLostSnafu { message: format!("status {status}") }.build().into();
    }
    RefusedSnafu { status: u16::from(status) }.build().into()
}

/// Decodes the answer to a put; if it is malformed, the outcome of the put is unknown.
fn decode_version(bytes: &[u8]) -> Result<u64, PlatformError> {
    match wire::version(RawJson::new(bytes)) {
        Ok(version) => Ok(version),
        Err(error) => Err(AnswerLostSnafu { message: error.to_string() }.build().into()),
    }
}
