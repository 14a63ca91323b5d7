use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use async_std::task;
use futures_util::TryStreamExt;
use futures_util::stream;
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::engine::OnCrash;
use crate::reply::{carries_any, json_reply, path_segments, read_json};
use crate::server::{Caller, Server, lock};

/// A stand-in for an application worker that runs plain services.
///
/// It answers any method and path and counts its runs, also of calls whose
/// answer it then loses.
#[derive(Debug)]
pub struct FakeService {
    server: Server,
    shared: Arc<Shared>,
}

/// How the service behaves.
#[derive(Debug, Clone, Default)]
pub struct ServiceOptions {
    /// What it does when a fault tells it to die.
    pub on_crash: OnCrash,
    /// Texts that no header, cookie or query may carry.
    pub markers: Vec<String>,
}

/// Faults of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// How long an answer waits after the run.
    pub answer_delay_ms: u64,
    /// How many of the next answers end early.
    pub truncate_answers: u64,
    /// How many of the next runs lose their answer with the connection.
    pub drop_answers: u64,
    /// Whether the next run ends the process before its answer.
    pub die_after_running: bool,
}

/// The runs counted by a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRuns {
    /// Every run.
    pub total: u64,
    /// By idempotency key, sorted.
    pub by_key: Vec<RunCount>,
    /// By the body's `id`, sorted.
    pub by_id: Vec<RunCount>,
    /// By `x-request-id`, sorted.
    pub by_request: Vec<RunCount>,
    /// Whether a request carried one of the markers.
    pub marker_seen: bool,
}

/// How often one key or id ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The key or id.
    pub key: String,
    /// The runs.
    pub runs: u64,
}

#[derive(Debug)]
struct Shared {
    options: ServiceOptions,
    state: Mutex<State>,
    server: OnceLock<Server>,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    runs: ServiceRuns,
}

impl FakeService {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start(address: SocketAddr, options: ServiceOptions) -> io::Result<FakeService> {
        let shared = Arc::new(Shared { options, state: Mutex::default(), server: OnceLock::new() });
        let handling = Arc::clone(&shared);
        let server = Server::start(address, move |request, _: Caller| {
            handle(Arc::clone(&handling), request)
        })
        .await?;
        let _ = shared.server.set(server.clone());
        Ok(FakeService { server, shared })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> ServiceRuns {
        lock(&self.shared.state).runs.clone()
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.server.stop();
    }
}

impl Shared {
    fn crash(&self) {
        self.options.on_crash.abort_if_asked();
        if let Some(server) = self.server.get() {
            server.stop();
        }
    }
}

async fn handle(shared: Arc<Shared>, mut request: Request) -> http_types::Result<Response> {
    let segments = path_segments(&request);
    match (request.method(), segments.first().map_or("", String::as_str)) {
        (Method::Post, "fault") => match read_json(&mut request).await {
            Ok(faults) => {
                lock(&shared.state).faults = faults;
                json_reply(StatusCode::Ok, &json!({}))
            }
            Err(refusal) => refusal,
        },
        (Method::Get, "ran") => {
            let runs = lock(&shared.state).runs.clone();
            json_reply(StatusCode::Ok, &runs)
        }
        _ => run(&shared, request).await,
    }
}

async fn run(shared: &Shared, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    let key = request.header("idempotency-key").map(|value| value.as_str().to_owned());
    let id = body_id(&body);
    let request_id = request.header("x-request-id").map(|value| value.as_str().to_owned());
    let fate = {
        let mut state = lock(&shared.state);
        state.runs.marker_seen |= carries_any(&request, &shared.options.markers);
        state.runs.count(key.as_deref(), id.as_deref(), request_id.as_deref());
        state.faults.next_answer()
    };
    if fate.dies {
        shared.crash();
    }
    task::sleep(Duration::from_millis(fate.delay_ms)).await;
    if fate.drops || fate.dies {
        return Err(http_types::Error::from_str(StatusCode::InternalServerError, "dropped"));
    }
    let answer = json!({
        "method": request.method().to_string(),
        "path": request.url().path(),
        "query": request.url().query(),
        "key": key,
        "id": id,
        "body": body,
    });
    let mut response = json_reply(StatusCode::Ok, &answer)?;
    if fate.truncates {
        response.set_body(truncated(&answer.to_string()));
    }
    Ok(response)
}

/// Returns a body that announces more bytes than it has.
fn truncated(text: &str) -> Body {
    let half = text.as_bytes()[..text.len() / 2].to_vec();
    let end = io::Error::new(io::ErrorKind::ConnectionAborted, "truncated by a fault");
    let reader = stream::iter([Ok(half), Err(end)]).into_async_read();
    Body::from_reader(reader, Some(text.len()))
}

fn body_id(body: &str) -> Option<String> {
    let value: Value = serde_json::from_str(body).ok()?;
    match value.get("id")? {
        Value::String(id) => Some(id.clone()),
        id => Some(id.to_string()),
    }
}

impl ServiceRuns {
    /// Returns how often an idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        runs_of(&self.by_key, key)
    }

    /// Returns how often a body with this `id` ran.
    pub fn runs_of_id(&self, id: &str) -> u64 {
        runs_of(&self.by_id, id)
    }

    /// Returns how often the request with this `x-request-id` ran.
    pub fn runs_of_request(&self, request_id: &str) -> u64 {
        runs_of(&self.by_request, request_id)
    }

    fn count(&mut self, key: Option<&str>, id: Option<&str>, request_id: Option<&str>) {
        self.total += 1;
        count_in(&mut self.by_key, key);
        count_in(&mut self.by_id, id);
        count_in(&mut self.by_request, request_id);
    }
}

fn runs_of(counts: &[RunCount], key: &str) -> u64 {
    let found = counts.binary_search_by(|count| count.key.as_str().cmp(key));
    found.map_or(0, |index| counts[index].runs)
}

fn count_in(counts: &mut Vec<RunCount>, key: Option<&str>) {
    let Some(key) = key else { return };
    match counts.binary_search_by(|count| count.key.as_str().cmp(key)) {
        Ok(index) => counts[index].runs += 1,
        Err(index) => counts.insert(index, RunCount { key: key.to_owned(), runs: 1 }),
    }
}

struct Fate {
    delay_ms: u64,
    truncates: bool,
    drops: bool,
    dies: bool,
}

impl ServiceFaults {
    fn next_answer(&mut self) -> Fate {
        let truncates = take_one(&mut self.truncate_answers);
        let drops = take_one(&mut self.drop_answers);
        let dies = std::mem::take(&mut self.die_after_running);
        Fate { delay_ms: self.answer_delay_ms, truncates, drops, dies }
    }
}

fn take_one(left: &mut u64) -> bool {
    let takes = *left > 0;
    *left = left.saturating_sub(1);
    takes
}
