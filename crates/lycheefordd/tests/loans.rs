//! Customers within their rate reach daemons that have to borrow their tokens from peers.

mod support;

use lycheeford_fakes::{Answer, Call, CallError};

use crate::support::{EngineLinks, Fleet, until};

const MODEL: &str = "model-001";
const CUSTOMER: usize = 0;
/// Tokens of a request, few beside any daemon's share.
const TOKENS: u64 = 60;
/// Whether the first call comes before a beat of each peer is a matter of
/// milliseconds, so one restart shows little.
const RESTARTS: usize = 20;

#[async_std::test]
async fn a_restarted_daemon_refuses_no_customer_within_its_rate() {
    let mut fleet = Fleet::start_with("restarted", EngineLinks::Direct, |deployment| {
        // A daemon takes callers once it has read each customer's table of shares.
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

/// Returns the first answer of a daemon that may still be starting.
async fn first_answer(fleet: &Fleet, daemon: usize, tokens: u64) -> Answer {
    let call = Call::completion(&fleet.keys[CUSTOMER], MODEL, "first", tokens);
    let mut first = None;
    until("the daemon takes callers", async || {
        first = match call.send(fleet.caller_address(daemon)).await {
            Err(CallError::Connect { .. }) => None,
            answer => Some(answer.expect("the call is answered")),
        };
        first.is_some()
    })
    .await;
    first.expect("it was answered")
}
