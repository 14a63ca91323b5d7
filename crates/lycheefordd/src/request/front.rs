use std::sync::Arc;

use lycheeford_caller::{
    CallerBody, CallerRequest, CallerResponse, Handler, Method, refusal_response,
};
use lycheeford_policy::{HostState, Name, Refusal, RefusalCode};
use serde::Serialize;
use slog::warn;

use crate::handover::Handover;
use crate::membership::standing::settle_after_pause;
use crate::request::complete::complete;
use crate::service::serve::call_service;
use crate::state::State;

/// How long a caller may keep the addresses that it was given.
pub(crate) const ADDRESS_KEEP_MS: u64 = 2_000;

/// Answers callers.
#[derive(Clone)]
pub(crate) struct Front {
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

impl Handler for Front {
    async fn handle(&self, request: CallerRequest) -> CallerResponse {
        let _running = self.state.running.request_started();
        let id = request.id.clone();
        let handover = Arc::new(Handover::default());
        let answered = self.state.before_end(self.answer(request, &handover)).await;
        match answered.unwrap_or_else(|| Err(self.end(&handover))) {
            Ok(response) => response,
            Err(refusal) => {
                let what = format!("refused: {:?}: {}", refusal.code, refusal.message);
                self.state.decisions.lock().record(self.state.now(), &[&id], what);
                refusal_response(&id, &refusal)
            }
        }
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

impl Front {
    /// Ends a request that the stop leaves no time for.
    fn end(&self, handover: &Handover) -> Refusal {
        let refusal = handover.end();
        self.state.metrics.refusal(None, refusal.code);
        refusal
    }

    async fn answer(
        &self,
        request: CallerRequest,
        handover: &Arc<Handover>,
    ) -> Result<CallerResponse, Refusal> {
        let state = self.state.clone();
        match (request.method, request.path.as_str()) {
            (Method::Get, "/v1/addresses") => {
                settle_after_pause(&state).await;
                Ok(addresses(&state))
            }
            (Method::Get, "/v1/models") => Ok(models(&state)),
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => {
                complete(state, request, handover.clone()).await
            }
            (_, path) if path == "/v1" || path.starts_with("/v1/") => {
                Err(not_found(&format!("no {} {path}", request.method)))
            }
            _ => call_service(state, request, handover.clone()).await,
        }
    }
}

/// Returns the addresses that a caller should use, of hosts that take new callers.
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
        // The types above have no map keys or numbers that JSON can't hold.
        body: CallerBody::Whole(serde_json::to_vec(value).unwrap_or_default()),
    }
}

fn not_found(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::NotFound, message, None)
}
