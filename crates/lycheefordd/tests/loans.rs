//! Customers within their rate are served by daemons that have to borrow the customer's tokens from
//! peers.

mod support;

use std::time::Duration;

use async_std::task;
use lycheeford_fakes::{Answer, Call, CallError};
use lycheeford_policy::Name;

use crate::support::{EngineLinks, Fleet, until};

const MODEL: &str = "model-001";
const CUSTOMER: usize = 0;
/// Tokens of a request, few compared with any daemon's share.
const TOKENS: u64 = 60;
/// Whether the first call arrives before a heartbeat of each peer is a matter of milliseconds, so
/// that a single restart shows little.
const RESTARTS: usize = 20;
/// Tokens that a daemon has to borrow for one request.
const BORROWED_TOKENS: u64 = 50;
/// How many daemons are killed: as many as a daemon asks for a loan one after the other for one
/// request.
const KILLED_DAEMONS: usize = 3;
const RATE_TOKENS_PER_S: u64 = 240;
const BURST_TOKENS: u64 = 1_200;
/// Two heartbeat intervals between daemons.
const TWO_HEARTBEATS: Duration = Duration::from_millis(500);

#[async_std::test]
async fn a_restarted_daemon_refuses_no_customer_within_its_rate() {
    let mut fleet = Fleet::start_with("restarted", EngineLinks::Direct, |deployment| {
        // A daemon accepts callers once it has read the table of shares of each customer.
        deployment.base.customers.truncate(1);
    })
    .await;
    let daemon = fleet.daemons.len() - 1;
    first_answer(&fleet, daemon, TOKENS).await;
    let mut refused = Vec::new();
    for _ in 0..RESTARTS {
        fleet.daemons[daemon].kill();
        fleet.daemons[daemon].start();
        let answer = first_answer(&fleet, daemon, TOKENS).await;
        if answer.status != 200 {
            refused.push(answer.body);
        }
        fleet.await_daemon(daemon).await;
    }
    assert!(refused.is_empty(), "{} of {RESTARTS}: {refused:?}", refused.len());
}

#[async_std::test]
async fn unreachable_peers_are_not_asked_for_loans_before_those_that_can_lend() {
    let mut fleet = Fleet::start_with("gone-lenders", EngineLinks::Direct, |deployment| {
        let customer = &mut deployment.base.customers[CUSTOMER];
        customer.rate_tokens_per_s = Some(RATE_TOKENS_PER_S);
        customer.burst_tokens = Some(BURST_TOKENS);
    })
    .await;
    let daemons = fleet.daemons.len();
    let killed = 1..=KILLED_DAEMONS;
    // More than one daemon's share, and less than the shares of all remaining daemons together.
    let tokens = BURST_TOKENS / daemons as u64 + BORROWED_TOKENS;
    await_full_shares(&fleet).await;
    for daemon in killed.clone() {
        fleet.daemons[daemon].kill();
    }
    let names: Vec<Name> =
        killed.map(|daemon| fleet.deployment.daemons[daemon].name.clone()).collect();
    until("the killed daemons are unreachable", async || {
        let hosts = fleet.operator(0).in_force().await.unwrap_or_default();
        hosts.iter().filter(|host| !host.reachable && names.contains(&host.host)).count()
            == KILLED_DAEMONS
    })
    .await;
    let answer = first_answer(&fleet, 0, tokens).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Returns the first answer of a daemon that may still be starting.
async fn first_answer(fleet: &Fleet, daemon: usize, tokens: u64) -> Answer {
    let call = Call::completion(&fleet.keys[CUSTOMER], MODEL, "first", tokens);
    let mut first = None;
    until("the daemon accepts callers", async || {
        first = match call.send(fleet.caller_address(daemon)).await {
            Err(CallError::Connect { .. }) => None,
            answer => Some(answer.expect("the call is answered")),
        };
        first.is_some()
    })
    .await;
    first.expect("the call was answered")
}

/// Waits until the shares of the customer are full and each daemon has learnt that from the others.
async fn await_full_shares(fleet: &Fleet) {
    let customer = fleet.deployment.customers()[CUSTOMER].clone();
    until("the customer's burst is available", async || {
        let mut available_tokens = 0;
        for daemon in 0..fleet.daemons.len() {
            let reports = fleet.operator(daemon).customers().await.unwrap_or_default();
            let report = reports.iter().find(|report| report.name == customer);
            available_tokens += report.map_or(0, |report| report.available_tokens);
        }
        // Each share is rounded down.
        available_tokens + fleet.daemons.len() as u64 >= BURST_TOKENS
    })
    .await;
    task::sleep(TWO_HEARTBEATS).await;
}
