use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_platform::{Change, FollowLimits, Object, WatchEvent, follow};
use lycheeford_policy::{GoneProofs, Instance, Name, ShareTable};
use lycheeford_wire::stored::StoredShareTable;
use lycheeford_wire::{FormerHolder, LoanOffer, Message};
use slog::{debug, warn};

use crate::objects::{self, SHARE_KIND};
use crate::state::State;
use crate::versioned::Versioned;

/// The interval between two maintenance rounds.
const UPKEEP_MS: u64 = 250;
/// The age at which the borrower of an unsettled loan is queried.
const LOAN_OVERDUE_MS: u64 = 1_000;

/// Watches the stored share tables and applies their changes.
pub(crate) async fn follow_shares(state: Arc<State>) {
    let limits = FollowLimits::default();
    let clock = state.clock;
    follow(
        &state.store,
        SHARE_KIND,
        &limits,
        move || clock.now(),
        |update| match update.change {
            Change::Replace(listing) => {
                listing.objects.iter().for_each(|object| adopt_object(&state, object));
            }
            Change::Apply(events) => {
                for event in events {
                    if let WatchEvent::Put(object) = event {
                        adopt_object(&state, &object);
                    }
                }
            }
        },
    )
    .await;
}

/// Runs the maintenance rounds: claims, gives and clears shares, and queries unsettled loans.
pub(crate) async fn maintain_shares(state: Arc<State>) {
    loop {
        task::sleep(Duration::from_millis(UPKEEP_MS)).await;
        if state.running.is_draining() || state.fleet.load().host(&state.me.host).is_none() {
            continue;
        }
        query_loans(&state);
        let customers: Vec<Name> =
            state.configuration.load().customers.iter().map(|c| c.name.clone()).collect();
        for customer in customers {
            if let Err(error) = maintain_share(&state, &customer).await
                && !objects::is_conflict(&error)
            {
                debug!(state.log, "share not kept"; "customer" => %customer, "error" => %error);
            }
        }
    }
}

/// Applies a share table that was read or written, unless the same or a newer version is known.
pub(crate) fn adopt(state: &State, customer: &Name, table: Versioned<ShareTable>) {
    let Some(version) = table.version else { return };
    let entry = table.value.entry(&state.me.host);
    let inherits = entry.is_some_and(|entry| !entry.taken.is_empty());
    if inherits && state.discovery.fleet_revision() < version {
        // Former holders may have lent to hosts that are missing from this older host list.
        return;
    }
    let hosts = entry_hosts(state);
    let now = state.now();
    let mut rates = state.rates.lock();
    let Some(rate) = rates.customer(customer) else { return };
    if rate.table.as_ref().is_some_and(|known| known.version >= Some(version)) {
        return;
    }
    rate.share.adopt(now, version, &table.value, &hosts);
    rate.table = Some(table);
}

fn adopt_object(state: &State, object: &Object) {
    match objects::decode::<ShareTable, StoredShareTable>(object) {
        Ok(value) => adopt(state, &object.name, Versioned { version: Some(object.version), value }),
        Err(error) => warn!(state.log, "share table not readable"; "error" => %error),
    }
}

async fn maintain_share(state: &State, customer: &Name) -> Result<(), objects::ObjectError> {
    let known = state.rates.lock().customer(customer).and_then(|rate| rate.table.clone());
    let Some(known) = known else { return start_table(state, customer).await };
    let has_pending_transfer =
        state.rates.lock().customer(customer).is_some_and(|rate| rate.share.has_pending_transfer());
    if has_pending_transfer {
        // Writing the table unchanged advances its version, so that an earlier give whose answer
        // was lost can no longer take effect.
        return write(state, customer, known.version, known.value).await;
    }
    if let Some(table) = claimed(state, customer, &known) {
        return write(state, customer, known.version, table).await;
    }
    if let Some(table) = cleared(state, customer, &known) {
        return write(state, customer, known.version, table).await;
    }
    give(state, customer, &known).await
}

async fn start_table(state: &State, customer: &Name) -> Result<(), objects::ObjectError> {
    if let Some(object) = read_object(state, customer).await? {
        adopt_object(state, &object);
        return Ok(());
    }
    let table = ShareTable::create(customer, &state.me, &live_hosts(state));
    write(state, customer, None, table).await
}

async fn read_object(
    state: &State,
    customer: &Name,
) -> Result<Option<Object>, objects::ObjectError> {
    use lycheeford_platform::ObjectStore;
    let read = state.store.get(SHARE_KIND, customer).await;
    read.map_err(|source| objects::ObjectError::Platform { source })
}

fn claimed(state: &State, customer: &Name, known: &Versioned<ShareTable>) -> Option<ShareTable> {
    let gone = state.gone.lock().clone();
    known.value.claim(customer, &state.me, &live_hosts(state), &gone)
}

fn cleared(state: &State, customer: &Name, known: &Versioned<ShareTable>) -> Option<ShareTable> {
    let over = clear_gone_holders(state, customer);
    over.iter().find_map(|former| known.value.clear_taken(&state.me, former))
}

/// Counts each host that left the host list or is proved gone as holding no loan from a former
/// holder, and this host too if it has none. Returns the former holders that are resolved at all
/// hosts.
fn clear_gone_holders(state: &State, customer: &Name) -> Vec<Instance> {
    let gone = state.gone.lock().clone();
    let fleet = state.fleet.load();
    let now = state.now();
    let mut rates = state.rates.lock();
    let Some(rate) = rates.customer(customer) else { return Vec::new() };
    for (host, former) in rate.share.inherited_queries() {
        let left = fleet.host(&host).is_none();
        let disclaimed = host == state.me.host && rate.share.disclaim_loans(&former);
        if left || disclaimed || is_gone(&gone, &host) {
            rate.share.clear_inherited(now, &host, &former);
        }
    }
    rate.share.resolved_holders()
}

fn is_gone(gone: &GoneProofs, host: &Name) -> bool {
    gone.is_gone(&Instance::new(host.clone(), u64::MAX))
}

async fn give(
    state: &State,
    customer: &Name,
    known: &Versioned<ShareTable>,
) -> Result<(), objects::ObjectError> {
    let prepared = {
        let now = state.now();
        let mut rates = state.rates.lock();
        let Some(rate) = rates.customer(customer) else { return Ok(()) };
        let Some((host, ppm)) = rate.rebalance(now) else { return Ok(()) };
        let Some(entry) = known.value.entry(&host) else { return Ok(()) };
        rate.share.prepare_transfer(now, ppm).map(|given_ppm| (entry.holder.clone(), given_ppm))
    };
    let Some((to, given_ppm)) = prepared else { return Ok(()) };
    let Ok(table) = known.value.transfer_share(&state.me, &to, given_ppm) else {
        abort_transfer(state, customer, given_ppm);
        return Ok(());
    };
    let written = write(state, customer, known.version, table).await;
    match &written {
        Err(error) if !error.is_outcome_unknown() => abort_transfer(state, customer, given_ppm),
        _ => {}
    }
    written
}

fn abort_transfer(state: &State, customer: &Name, given_ppm: u32) {
    let now = state.now();
    if let Some(rate) = state.rates.lock().customer(customer) {
        rate.share.abort_transfer(now, given_ppm);
    }
}

async fn write(
    state: &State,
    customer: &Name,
    version: Option<u64>,
    table: ShareTable,
) -> Result<(), objects::ObjectError> {
    let written =
        objects::write::<_, StoredShareTable>(state, SHARE_KIND, customer, version, table).await;
    match written {
        Ok(written) => {
            adopt(state, customer, written);
            Ok(())
        }
        Err(error) => {
            // Reads the stored table, which is authoritative; the watch may deliver it late.
            if let Ok(Some(object)) = read_object(state, customer).await {
                adopt_object(state, &object);
            }
            Err(error)
        }
    }
}

fn query_loans(state: &State) {
    let gone = state.gone.lock().clone();
    let now = state.now();
    let mut queries: Vec<(Name, Message)> = Vec::new();
    let mut rates = state.rates.lock();
    rates.settle_gone(now, &gone);
    for rate in rates.customers() {
        let customer = rate.name.clone();
        for loan in rate.share.overdue_loans(now, LOAN_OVERDUE_MS) {
            let borrower = loan.id.borrower.host.clone();
            let query = LoanOffer { customer: customer.clone(), loan };
            queries.push((borrower, Message::LoanQuery(query)));
        }
        for (host, former) in rate.share.inherited_queries() {
            let holder = FormerHolder { customer: customer.clone(), former };
            queries.push((host, Message::DisclaimAsk(holder)));
        }
    }
    drop(rates);
    if let Some(peers) = state.peers.get() {
        for (host, question) in queries {
            let _ = peers.send(&host, question);
        }
    }
}

fn entry_hosts(state: &State) -> Vec<Name> {
    state.fleet.load().entries().map(|(host, _)| host.name.clone()).collect()
}

fn live_hosts(state: &State) -> Vec<Name> {
    let fleet = state.fleet.load();
    let live = fleet.entries().filter(|(host, _)| host.state == lycheeford_policy::HostState::Live);
    live.map(|(host, _)| host.name.clone()).collect()
}
