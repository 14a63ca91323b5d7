use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::reply::{json_reply, read_json};
use crate::server::lock;
use crate::weight_store::{LoadKind, LoadRequest};

use super::Shared;
use super::audit::ReceivedOrder;
use super::options::FenceCheck;
use super::state::{Loaded, LoadedState, Outcome, State};

/// The interval at which an unload checks whether the last request has ended.
const UNLOAD_POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Deserialize)]
struct Order {
    #[serde(rename = "order_id")]
    id: String,
    fence: u64,
    action: Action,
    name: String,
    #[serde(default)]
    base: Option<String>,
    #[serde(default)]
    memory_bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Load,
    Unload,
}

pub(super) async fn take(
    shared: &Arc<Shared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let order: Order = match read_json(&mut request).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    let outcome = accept(shared, &order);
    let status = match outcome {
        Outcome::RefusedStaleFence => StatusCode::Conflict,
        Outcome::RefusedMemory => StatusCode::InsufficientStorage,
        _ => StatusCode::Accepted,
    };
    if outcome == Outcome::Accepted {
        task::spawn(execute(Arc::clone(shared), order));
    }
    json_reply(status, &json!({ "outcome": outcome }))
}

/// Accepts or refuses an order and reserves the memory for a load.
fn accept(shared: &Shared, order: &Order) -> Outcome {
    let mut state = lock(&shared.state);
    let outcome = decide(shared, &state, order);
    state.highest_fence = state.highest_fence.max(order.fence);
    state.audit.record_order(ReceivedOrder {
        order_id: order.id.clone(),
        fence: order.fence,
        action: text(&order.action),
        name: order.name.clone(),
        outcome: text(&outcome),
    });
    if outcome == Outcome::Accepted {
        begin(&mut state, order);
    }
    state.set_outcome(&order.id, outcome);
    outcome
}

fn decide(shared: &Shared, state: &State, order: &Order) -> Outcome {
    let outdated = order.fence < state.highest_fence;
    if outdated && shared.options.fence_check == FenceCheck::Refuse {
        return Outcome::RefusedStaleFence;
    }
    let held = state.loaded.iter().find(|loaded| loaded.name == order.name);
    match (order.action, held.map(|loaded| loaded.state)) {
        (Action::Load, Some(LoadedState::Ready | LoadedState::Loading)) => Outcome::Done,
        (Action::Load, Some(LoadedState::Unloading))
        | (Action::Unload, None | Some(LoadedState::Unloading)) => Outcome::Failed,
        (Action::Unload, Some(_)) => Outcome::Accepted,
        (Action::Load, None) => check_memory(shared, state, order),
    }
}

fn check_memory(shared: &Shared, state: &State, order: &Order) -> Outcome {
    let wanted_bytes = state.memory_used_bytes().saturating_add(order.memory_bytes);
    if wanted_bytes > shared.options.memory_bytes && !shared.options.trusting {
        return Outcome::RefusedMemory;
    }
    Outcome::Accepted
}

fn begin(state: &mut State, order: &Order) {
    match order.action {
        Action::Load => state.add_loaded(Loaded {
            name: order.name.clone(),
            memory_bytes: order.memory_bytes,
            state: LoadedState::Loading,
            order_id: order.id.clone(),
        }),
        Action::Unload => {
            if let Some(loaded) = state.loaded.iter_mut().find(|held| held.name == order.name) {
                loaded.state = LoadedState::Unloading;
                loaded.order_id.clone_from(&order.id);
            }
        }
    }
}

async fn execute(shared: Arc<Shared>, order: Order) {
    let outcome = match order.action {
        Action::Load => load(&shared, &order).await,
        Action::Unload => unload(&shared, &order).await,
    };
    lock(&shared.state).set_outcome(&order.id, outcome);
}

async fn load(shared: &Shared, order: &Order) -> Outcome {
    let base_ready = order.base.as_ref().is_none_or(|base| lock(&shared.state).is_ready(base));
    let fetched = base_ready && fetch(shared, order).await;
    let mut state = lock(&shared.state);
    let Some(index) = state.loaded_position(&order.id) else {
        return Outcome::Failed;
    };
    if !fetched {
        state.remove_loaded(&order.id);
        return Outcome::Failed;
    }
    state.loaded[index].state = LoadedState::Ready;
    state.add_checkpoint(&order.name);
    Outcome::Done
}

async fn unload(shared: &Shared, order: &Order) -> Outcome {
    while lock(&shared.state).batch.has_running_request(&order.name) {
        task::sleep(UNLOAD_POLL).await;
    }
    task::sleep(Duration::from_millis(shared.options.unload_ms)).await;
    lock(&shared.state).remove_loaded(&order.id);
    Outcome::Done
}

/// Loads the weights into memory; returns whether this succeeded.
async fn fetch(shared: &Shared, order: &Order) -> bool {
    let options = &shared.options;
    let kind = if order.base.is_some() { LoadKind::Adapter } else { LoadKind::Model };
    let on_disk = lock(&shared.state).has_checkpoint(&order.name);
    match options.weight_store {
        Some(store) if !on_disk => fetch_remote(store, kind, order.memory_bytes).await.is_ok(),
        _ => {
            let bytes_per_ms =
                if on_disk { options.disk_bytes_per_ms } else { options.load_bytes_per_ms };
            task::sleep(Duration::from_millis(order.memory_bytes / bytes_per_ms.max(1))).await;
            true
        }
    }
}

async fn fetch_remote(store: SocketAddr, kind: LoadKind, bytes: u64) -> http_types::Result<()> {
    let stream = TcpStream::connect(store).await?;
    let url = Url::parse(&format!("http://{store}/loads"))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_json(&LoadRequest { kind, bytes })?);
    let response = async_h1::connect(stream, request).await?;
    if response.status() == StatusCode::Ok {
        return Ok(());
    }
    Err(http_types::Error::from_str(response.status(), "the weight store refused the load"))
}

fn text(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
