use std::sync::Arc;

use lycheeford_caller::{Bounds, CallerBody, CallerResponse, RequestHead, Service, SharedBody};
use lycheeford_policy::{Name, PeerState, Refusal, RefusalCode};
use slog::warn;

use super::metrics::MetricsSnapshot;
use crate::AddressQuery;
use crate::state::State;

/// The most concurrent connections to each of these pages.
const CONNECTIONS_MAX: usize = 256;
/// The least number of hosts in the caller's failure domain for which only those are returned.
const NEAR_HOSTS_MIN: usize = 2;

/// Serves the addresses of hosts that accept callers.
#[derive(Clone)]
pub(crate) struct Directory {
    pub(crate) state: Arc<State>,
}

impl Service for Directory {
    type Request = AddressQuery;

    fn bounds(&self) -> Bounds {
        small_bounds()
    }

    async fn read(
        &self,
        _id: Name,
        head: RequestHead,
        _body: SharedBody,
    ) -> Result<AddressQuery, Refusal> {
        self.state.protocols.directory.address_query(&head).ok_or_else(no_page)
    }

    async fn answer(&self, address_query: AddressQuery) -> CallerResponse {
        let addresses = addresses(&self.state, &address_query);
        if addresses.is_empty() {
            let message = "no host accepts callers yet; retry soon";
            let refusal = Refusal::not_run(RefusalCode::PlatformUnavailable, message, None);
            return self.state.protocols.caller.refusal(&Name::from(""), &refusal);
        }
        self.state.protocols.directory.answer(&addresses, self.state.settings.address_cache_ms)
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        self.state.protocols.caller.refusal(id, refusal)
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

/// Returns the addresses of the hosts that accept callers, only those in the caller's failure
/// domain if there are enough.
fn addresses(state: &State, address_query: &AddressQuery) -> Vec<String> {
    let now = state.now();
    let mut hosts: Vec<(Name, String)> = state
        .membership()
        .ready(now)
        .map(|record| (record.failure_domain.clone(), record.caller_address.to_string()))
        .collect();
    if state.serving_state(now) == PeerState::Ready {
        let settings = &state.settings;
        hosts.push((settings.failure_domain.clone(), settings.caller_address.to_string()));
    }
    let is_near = |domain: &Name| address_query.failure_domain.as_ref() == Some(domain);
    let near = hosts.iter().filter(|(domain, _)| is_near(domain)).count();
    if near >= NEAR_HOSTS_MIN {
        hosts.retain(|(domain, _)| is_near(domain));
    }
    hosts.into_iter().map(|(_, address)| address).collect()
}

/// Serves the platform's readiness check.
#[derive(Clone)]
pub(crate) struct Readiness {
    pub(crate) state: Arc<State>,
}

impl Service for Readiness {
    type Request = ();

    fn bounds(&self) -> Bounds {
        small_bounds()
    }

    async fn read(&self, _id: Name, head: RequestHead, _body: SharedBody) -> Result<(), Refusal> {
        if self.state.protocols.directory.is_readiness_request(&head) {
            Ok(())
        } else {
            Err(no_page())
        }
    }

    async fn answer(&self, (): ()) -> CallerResponse {
        let state = self.state.serving_state(self.state.now());
        // A host that is cut off from the targets serves its callers through other hosts.
        let is_ready = matches!(state, PeerState::Ready | PeerState::CutOff);
        let status = if is_ready { 200 } else { 503 };
        CallerResponse { status, headers: Vec::new(), body: CallerBody::Whole(Vec::new()) }
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        self.state.protocols.caller.refusal(id, refusal)
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

/// Serves the metrics.
#[derive(Clone)]
pub(crate) struct MetricsPage {
    pub(crate) state: Arc<State>,
}

impl Service for MetricsPage {
    type Request = ();

    fn bounds(&self) -> Bounds {
        small_bounds()
    }

    async fn read(&self, _id: Name, _head: RequestHead, _body: SharedBody) -> Result<(), Refusal> {
        Ok(())
    }

    async fn answer(&self, (): ()) -> CallerResponse {
        let headers = vec![("content-type".to_owned(), "text/plain".to_owned())];
        let text = self.state.metrics.text(&snapshot(&self.state));
        CallerResponse { status: 200, headers, body: CallerBody::Whole(text.into_bytes()) }
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        self.state.protocols.caller.refusal(id, refusal)
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

fn snapshot(state: &State) -> MetricsSnapshot {
    let now = state.now();
    let own = state.orders().lease.held(now);
    let own = own.map(|(_, _, age_ms)| (state.settings.host.clone(), age_ms));
    let (hosts_alive, reported) = {
        let membership = state.membership();
        let reported = membership.lease(now).map(|lease| (lease.holder, lease.renewed_age_ms));
        (membership.hosts.alive(now).count(), reported)
    };
    let declaration_age_ms = state.confirmation().age_ms(now);
    let targets_age_ms = state.target_sync().watch.age_ms(now);
    let waiting = {
        let dispatcher = state.dispatcher();
        dispatcher.queue.waiting().iter().map(|waiting| waiting.claim.priority).collect()
    };
    MetricsSnapshot {
        waiting,
        declaration_age_ms,
        targets_age_ms,
        store_era: state.store_era(),
        hosts_alive,
        holder: own.or(reported),
        lines_left_out: state.left_out.left_out(),
        memory_held_bytes: state.memory.held_bytes(),
        memory_bytes_max: state.memory.total_bytes(),
    }
}

fn small_bounds() -> Bounds {
    Bounds { connections_max: CONNECTIONS_MAX, ..Bounds::default() }
}

fn no_page() -> Refusal {
    Refusal::not_run(RefusalCode::NotFound, "no such page; correct the URL", None)
}
