use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::reply::{error_reply, json_reply, path_segments, read_json};
use crate::server::{Caller, Server, lock};

/// The interval at which the progress of a load is updated.
const TICK: Duration = Duration::from_millis(5);

/// A stand-in for the rate-limited weight store.
///
/// `POST /loads` with the kind and the size in bytes responds when the load is done.
/// Concurrent loads beyond the limit share the total bandwidth; models and adapters
/// have separate limits.
#[derive(Debug)]
pub struct FakeWeightStore {
    server: Server,
    shared: Arc<Shared>,
}

/// Bandwidth and concurrency of a fake weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreOptions {
    /// The bytes per millisecond that one model load receives at full speed.
    pub bytes_per_ms: u64,
    /// The number of concurrent model loads served at full speed.
    pub models_at_once: u64,
    /// The duration of an adapter load at full speed, in milliseconds.
    pub adapter_ms: u64,
    /// The number of concurrent adapter loads served at full speed.
    pub adapters_at_once: u64,
}

impl Default for WeightStoreOptions {
    fn default() -> WeightStoreOptions {
        WeightStoreOptions {
            bytes_per_ms: 20_000_000,
            models_at_once: 4,
            adapter_ms: 8,
            adapters_at_once: 30,
        }
    }
}

/// Faults injected into a fake weight store.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightStoreFaults {
    /// The factor by which loads are slowed down; 0 and 1 mean normal speed.
    pub slowdown: u64,
}

/// The kind of data that a load transfers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadKind {
    /// The weights of a model; the duration depends on the size.
    Model,
    /// An adapter; the duration is fixed.
    Adapter,
}

/// The body of `POST /loads`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadRequest {
    pub(crate) kind: LoadKind,
    pub(crate) bytes: u64,
}

#[derive(Debug)]
struct Shared {
    options: WeightStoreOptions,
    faults: Mutex<WeightStoreFaults>,
    models: AtomicU64,
    adapters: AtomicU64,
    models_most: AtomicU64,
}

impl FakeWeightStore {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        options: WeightStoreOptions,
    ) -> io::Result<FakeWeightStore> {
        let shared = Arc::new(Shared {
            options,
            faults: Mutex::default(),
            models: AtomicU64::new(0),
            adapters: AtomicU64::new(0),
            models_most: AtomicU64::new(0),
        });
        let handling = Arc::clone(&shared);
        let server = Server::start(address, move |request, caller| {
            handle(Arc::clone(&handling), request, caller)
        })
        .await?;
        Ok(FakeWeightStore { server, shared })
    }

    /// Returns the bound address, with the actual port if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults; the default value clears them.
    pub fn set_faults(&self, faults: WeightStoreFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the peak number of concurrent model loads.
    pub fn peak_model_loads(&self) -> u64 {
        self.shared.models_most.load(Ordering::Relaxed)
    }
}

impl Drop for FakeWeightStore {
    fn drop(&mut self) {
        self.server.stop();
    }
}

async fn handle(
    shared: Arc<Shared>,
    mut request: Request,
    caller: Caller,
) -> http_types::Result<Response> {
    let segments = path_segments(&request);
    match (request.method(), segments.first().map_or("", String::as_str)) {
        (Method::Post, "fault") => match read_json(&mut request).await {
            Ok(faults) => {
                *lock(&shared.faults) = faults;
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        (Method::Get, "calls") => {
            let most = shared.models_most.load(Ordering::Relaxed);
            json_reply(StatusCode::Ok, &json!({ "models_most": most }))
        }
        (Method::Post, "loads") => match read_json::<LoadRequest>(&mut request).await {
            Ok(load) => {
                futures_util::future::select(
                    Box::pin(shared.load(&load)),
                    Box::pin(caller.disconnected()),
                )
                .await;
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        _ => error_reply(StatusCode::NotFound, "no such path"),
    }
}

impl Shared {
    async fn load(&self, load: &LoadRequest) {
        let (active, at_once, full_ms) = match load.kind {
            LoadKind::Model => (
                &self.models,
                self.options.models_at_once,
                load.bytes / self.options.bytes_per_ms.max(1),
            ),
            LoadKind::Adapter => {
                (&self.adapters, self.options.adapters_at_once, self.options.adapter_ms)
            }
        };
        let _slot = Slot::take(active);
        if load.kind == LoadKind::Model {
            self.models_most.fetch_max(active.load(Ordering::Relaxed), Ordering::Relaxed);
        }
        let mut remaining_ms = full_ms as f64;
        let mut last = Instant::now();
        while remaining_ms > 0.0 {
            task::sleep(TICK).await;
            let now = Instant::now();
            let contention =
                active.load(Ordering::Relaxed).max(at_once) as f64 / at_once.max(1) as f64;
            let slowdown = lock(&self.faults).slowdown.max(1) as f64;
            remaining_ms -= (now - last).as_secs_f64() * 1_000.0 / (contention * slowdown);
            last = now;
        }
    }
}

/// Counts a load as active until dropped.
struct Slot<'a>(&'a AtomicU64);

impl Slot<'_> {
    fn take(active: &AtomicU64) -> Slot<'_> {
        active.fetch_add(1, Ordering::Relaxed);
        Slot(active)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
