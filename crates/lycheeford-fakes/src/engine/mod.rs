mod audit;
mod batch;
mod completion;
mod faults;
mod options;
mod orders;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use http_types::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::reply::{contains_any, error_reply, json_reply, path_segments, read_json};
use crate::server::{Caller, Server, lock};

use self::state::State;

pub use self::audit::{EngineAudit, MemoryPeriod, ReceivedOrder, max_concurrent_replicas};
pub use self::faults::{EngineFaults, EngineState};
pub use self::options::{EngineOptions, FenceCheck, OnCrash};

/// A stand-in for a model engine.
///
/// The server stops when this value is dropped.
#[derive(Debug)]
pub struct FakeEngine {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    state: Mutex<State>,
    server: OnceLock<Server>,
}

impl FakeEngine {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, options: EngineOptions) -> io::Result<FakeEngine> {
        let state = Mutex::new(State::new(&options));
        let shared = Arc::new(Shared { options, state, server: OnceLock::new() });
        let handling = Arc::clone(&shared);
        let server = Server::start(address, move |request, caller| {
            handle(Arc::clone(&handling), request, caller)
        })
        .await?;
        let _ = shared.server.set(server.clone());
        Ok(FakeEngine { server, shared })
    }

    /// Returns the bound address, with the actual port if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults; the default value clears them.
    pub fn set_faults(&self, faults: EngineFaults) {
        lock(&self.shared.state).set_faults(faults);
    }

    /// Returns the audit of orders, memory and completions since the start.
    pub fn audit(&self) -> EngineAudit {
        lock(&self.shared.state).audit.clone()
    }

    /// Returns the status that `GET /status` reports.
    pub fn status(&self) -> Value {
        lock(&self.shared.state).status()
    }

    /// Drops every open connection.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Shared {
    /// Simulates a crash: aborts the process or stops the server, as configured.
    fn crash(&self) {
        self.options.on_crash.abort_if_configured();
        if let Some(server) = self.server.get() {
            server.stop();
        }
    }
}

async fn handle(
    shared: Arc<Shared>,
    mut request: Request,
    caller: Caller,
) -> http_types::Result<Response> {
    if contains_any(&request, &shared.options.markers) {
        lock(&shared.state).audit.marker_seen = true;
    }
    let path = path_segments(&request).join("/");
    match (request.method(), path.as_str()) {
        (Method::Get, "status") => {
            let status = lock(&shared.state).status();
            json_reply(StatusCode::Ok, &status)
        }
        (Method::Get, "audit") => {
            let audit = lock(&shared.state).audit.clone();
            json_reply(StatusCode::Ok, &audit)
        }
        (Method::Post, "fault") => match read_json(&mut request).await {
            Ok(faults) => {
                lock(&shared.state).set_faults(faults);
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        (Method::Post, "orders") => orders::take(&shared, request).await,
        (Method::Post, "v1/completions") => {
            completion::complete(shared, completion::Dialect::Text, request, caller).await
        }
        (Method::Post, "v1/chat/completions") => {
            completion::complete(shared, completion::Dialect::Chat, request, caller).await
        }
        _ => error_reply(StatusCode::NotFound, "no such path"),
    }
}
