use std::sync::Arc;

use lycheeford_caller::{
    CallerBody, CallerRequest, CallerResponse, Handler, Method, refusal_response,
};
use lycheeford_policy::{HostState, Name, Refusal, RefusalCode};
use serde::Serialize;
use slog::warn;

use crate::dispatch_gate::DispatchGate;
use crate::membership::peer_view::settle_after_pause;
use crate::request::complete::complete;
use crate::service::serve::call_service;
use crate::state::State;

/// How long a caller may cache the addresses that `/v1/addresses` returned.
pub(crate) const ADDRESS_KEEP_MS: u64 = 2_000;

/// Handles the requests of callers.
#[derive(Clone)]
pub(crate) struct CallerHandler {
    pub(crate) state: Arc<State>,
}

#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<AddressEntry>,
    keep_ms: u64,
}

#[derive(Debug, Serialize)]
struct AddressEntry {
    host: Name,
    address: String,
    failure_domain: Name,
}

#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: Name,
    object: &'static str,
}

impl Handler for CallerHandler {
    async fn handle(&self, request: CallerRequest) -> CallerResponse {
        let _running = self.state.running.request_started();
        let id = request.id.clone();
        let dispatch_gate = Arc::new(DispatchGate::default());
        let answered = self.state.run_until_stop(self.answer(request, &dispatch_gate)).await;
        match answered.unwrap_or_else(|| Err(self.end(&dispatch_gate))) {
            Ok(response) => response,
            Err(refusal) => {
                let Refusal { code, message, shortfall, .. } = &refusal;
                let what = match shortfall {
                    Some(shortfall) => format!("refused: {code:?}: {message} ({shortfall})"),
                    None => format!("refused: {code:?}: {message}"),
                };
                self.state.decisions.lock().record(self.state.now(), &[&id], what);
                refusal_response(&id, &refusal)
            }
        }
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

impl CallerHandler {
    /// Ends a request that can't finish before this host stops, and returns its refusal.
    fn end(&self, dispatch_gate: &DispatchGate) -> Refusal {
        let refusal = dispatch_gate.end();
        self.state.metrics.refusal(None, refusal.code);
        refusal
    }

    async fn answer(
        &self,
        request: CallerRequest,
        dispatch_gate: &Arc<DispatchGate>,
    ) -> Result<CallerResponse, Refusal> {
        let state = self.state.clone();
        match (request.method, request.path.as_str()) {
            (Method::Get, "/v1/addresses") => {
                settle_after_pause(&state).await;
                Ok(addresses(&state))
            }
            (Method::Get, "/v1/models") => Ok(models(&state)),
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => {
                complete(state, request, dispatch_gate.clone()).await
            }
            (_, path) if path == "/v1" || path.starts_with("/v1/") => {
                Err(not_found(&format!("no {} {path}", request.method)))
            }
            _ => call_service(state, request, dispatch_gate.clone()).await,
        }
    }
}

/// Returns the addresses of the hosts that accept new callers: reachable, not leaving and not
/// draining.
fn addresses(state: &State) -> CallerResponse {
    let now = state.now();
    let fleet = state.fleet.load();
    let members = state.members.lock();
    let usable = fleet.entries().map(|(host, _)| host).filter(|host| {
        if host.state == HostState::Leaving {
            return false;
        }
        if host.name == state.me.host {
            return !state.running.is_draining();
        }
        let member = members.member(&host.name);
        member.is_some_and(|member| member.is_reachable(now) && !member.is_draining())
    });
    let addresses = usable
        .map(|host| AddressEntry {
            host: host.name.clone(),
            address: host.address.to_string(),
            failure_domain: host.failure_domain.clone(),
        })
        .collect();
    json_response(&Addresses { addresses, keep_ms: ADDRESS_KEEP_MS })
}

fn models(state: &State) -> CallerResponse {
    let configuration = state.configuration.load();
    let models = configuration.models.iter().map(|model| &model.name);
    let adapters = configuration.adapters.iter().map(|adapter| &adapter.name);
    let data = models
        .chain(adapters)
        .map(|name| ModelEntry { id: name.clone(), object: "model" })
        .collect();
    json_response(&ModelList { object: "list", data })
}

fn json_response(value: &impl Serialize) -> CallerResponse {
    CallerResponse {
        status: 200,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        // Serialization can't fail: the types above have no map keys or numbers that JSON can't
        // represent.
        body: CallerBody::Whole(serde_json::to_vec(value).unwrap_or_default()),
    }
}

fn not_found(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::NotFound, message, None)
}
