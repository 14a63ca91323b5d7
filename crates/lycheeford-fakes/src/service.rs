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
use crate::reply::{contains_any, json_reply, path_segments, read_json};
use crate::server::{Caller, Server, lock};

/// A stand-in for an application worker that runs plain services.
///
/// It answers any method and path except its own `POST /fault` and `GET /runs`,
/// and counts every run, including runs whose response is then dropped by a fault.
#[derive(Debug)]
pub struct FakeService {
    server: Server,
    shared: Arc<Shared>,
}

/// Configuration of a fake service.
#[derive(Debug, Clone, Default)]
pub struct ServiceOptions {
    /// What the service does when a fault makes it crash.
    pub on_crash: OnCrash,
    /// Texts that no header, cookie or query may contain; a match sets `marker_seen`.
    pub markers: Vec<String>,
}

/// Faults injected into a fake service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The delay between a run and its response, in milliseconds.
    pub answer_delay_ms: u64,
    /// The number of next responses whose body is truncated.
    pub truncate_answers: u64,
    /// The number of next runs whose connection is dropped before the response.
    pub drop_answers: u64,
    /// Whether the service crashes after the next run, before its response.
    pub die_after_running: bool,
}

/// The runs counted by a fake service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRuns {
    /// All runs, with and without a key or id.
    pub total: u64,
    /// Runs by idempotency key, sorted by key.
    pub by_key: Vec<RunCount>,
    /// Runs by the `id` in the JSON body, sorted by id.
    pub by_id: Vec<RunCount>,
    /// Runs by `x-request-id`, sorted by id.
    pub by_request: Vec<RunCount>,
    /// Whether a header, cookie or query of any request contained one of the markers.
    pub marker_seen: bool,
}

/// The number of runs of one key or id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// The idempotency key, body `id` or `x-request-id`.
    pub key: String,
    /// The number of requests that ran with this key or id.
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
    /// Fails if the address can't be bound.
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

    /// Returns the bound address, with the actual port if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all injected faults; the default value clears them.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.shared.state).faults = faults;
    }

    /// Returns the runs counted since the start.
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
        self.options.on_crash.abort_if_configured();
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
    let fault = {
        let mut state = lock(&shared.state);
        state.runs.marker_seen |= contains_any(&request, &shared.options.markers);
        state.runs.count(key.as_deref(), id.as_deref(), request_id.as_deref());
        state.faults.next_answer()
    };
    if fault.crashes {
        shared.crash();
    }
    task::sleep(Duration::from_millis(fault.delay_ms)).await;
    if fault.drops || fault.crashes {
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
    if fault.truncates {
        response.set_body(truncated(&answer.to_string()));
    }
    Ok(response)
}

/// Returns a body whose declared length exceeds the bytes it yields.
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
    /// Returns how many requests with this idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u64 {
        runs_of(&self.by_key, key)
    }

    /// Returns how many requests with this `id` in the body ran.
    pub fn runs_of_id(&self, id: &str) -> u64 {
        runs_of(&self.by_id, id)
    }

    /// Returns how many requests with this `x-request-id` ran.
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

struct AnswerFault {
    delay_ms: u64,
    truncates: bool,
    drops: bool,
    crashes: bool,
}

impl ServiceFaults {
    fn next_answer(&mut self) -> AnswerFault {
        let truncates = take_one(&mut self.truncate_answers);
        let drops = take_one(&mut self.drop_answers);
        let crashes = std::mem::take(&mut self.die_after_running);
        AnswerFault { delay_ms: self.answer_delay_ms, truncates, drops, crashes }
    }
}

fn take_one(left: &mut u64) -> bool {
    let takes = *left > 0;
    *left = left.saturating_sub(1);
    takes
}
