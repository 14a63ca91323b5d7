//! An accepted configuration is in force everywhere within seconds and never reverts.

mod support;

use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use lycheeford_config::Document;
use lycheeford_fakes::{Call, CallFault, LostWrites, PlatformFaults};
use lycheeford_operator::{ApplyRequest, OperatorErrorCode, WithdrawRequest};
use lycheeford_policy::Name;

use crate::support::{Fleet, until};

/// The time within which an accepted change is in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(7);

/// Returns a request that sets the first customer's burst in the stored configuration.
async fn burst_request(fleet: &Fleet, daemon: usize, burst_tokens: u64) -> ApplyRequest {
    let stored = fleet.operator(daemon).configuration().await.expect("the store is up");
    let mut document = stored.document;
    document.customers[0].burst_tokens = Some(burst_tokens);
    let stamp = format!("burst-{burst_tokens}");
    ApplyRequest { base_revision: stored.revision, stamp, document }
}

fn burst_of(document: &Document) -> u64 {
    document.customers[0].burst_tokens.unwrap_or_default()
}

async fn revision_of(fleet: &Fleet, daemon: usize) -> u64 {
    fleet.operator(daemon).health().await.map_or(0, |health| health.revision)
}

async fn assert_in_force(fleet: &Fleet, revision: u64, what: &str) {
    let start = Instant::now();
    for daemon in 0..fleet.daemons.len() {
        while revision_of(fleet, daemon).await < revision {
            let elapsed = start.elapsed();
            assert!(elapsed < IN_FORCE_MAX, "{what}: daemon {daemon} lacks revision {revision}");
            task::sleep(Duration::from_millis(5)).await;
        }
    }
    println!("{what}: in force everywhere after {} ms", start.elapsed().as_millis());
}

#[async_std::test]
async fn one_of_racing_operators_wins() {
    let fleet = Fleet::start("racing-operators").await;
    for round in 0..5 {
        let mut requests = Vec::new();
        for daemon in 0..fleet.daemons.len() {
            let burst_tokens = 300_000 + round * 10 + daemon as u64;
            requests.push(burst_request(&fleet, daemon, burst_tokens).await);
        }
        let clients: Vec<_> = (0..requests.len()).map(|daemon| fleet.operator(daemon)).collect();
        let applies = clients.iter().zip(&requests).map(|(client, request)| client.apply(request));
        let outcomes = join_all(applies).await;
        let winners: Vec<usize> =
            (0..outcomes.len()).filter(|index| outcomes[*index].is_ok()).collect();
        assert_eq!(winners.len(), 1, "{outcomes:?}");
        for error in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
            let code = error.refusal().map(|refusal| refusal.code);
            assert_eq!(code, Some(OperatorErrorCode::Conflict), "{error}");
        }
        let stored = clients[0].configuration().await.unwrap();
        assert_eq!(burst_of(&stored.document), burst_of(&requests[winners[0]].document));
        assert_in_force(&fleet, stored.revision, "race").await;
    }
}

#[async_std::test]
async fn an_accepted_change_survives_lost_answers() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
    }
    let lost = |lose_answers, lose_requests| PlatformFaults {
        lose_answers,
        lose_requests,
        lost_kind: Some("head".to_owned()),
        ..PlatformFaults::default()
    };
    let cases = [
        Case { name: "lost answers", faults: lost(LostWrites::Next(2), LostWrites::None) },
        Case { name: "lost requests", faults: lost(LostWrites::None, LostWrites::Next(2)) },
        Case { name: "both", faults: lost(LostWrites::Next(2), LostWrites::Next(1)) },
    ];
    let fleet = Fleet::start("lost-answers").await;
    for (index, case) in cases.into_iter().enumerate() {
        assert_accepted_everywhere(&fleet, index, &case.faults, case.name).await;
    }
}

#[async_std::test]
async fn an_accepted_change_survives_an_outage_right_after() {
    let fleet = Fleet::start("outage-after").await;
    for (index, calls) in [CallFault::Refuse, CallFault::Stall].into_iter().enumerate() {
        let faults = PlatformFaults { after_head: calls, ..PlatformFaults::default() };
        assert_accepted_everywhere(&fleet, index, &faults, &format!("{calls:?}")).await;
    }
}

/// Applies a change while the faults last, and clears them once it is in force everywhere.
async fn assert_accepted_everywhere(
    fleet: &Fleet,
    daemon: usize,
    faults: &PlatformFaults,
    what: &str,
) {
    let platform = fleet.deployment.platform;
    let request = burst_request(fleet, daemon, 400_000 + daemon as u64).await;
    fleet.set_faults(platform, faults).await;
    let applied = fleet.operator(daemon).apply(&request).await;
    let revision = applied.unwrap_or_else(|error| panic!("{what}: {error}")).revision;
    assert_in_force(fleet, revision, what).await;
    fleet.set_faults(platform, &PlatformFaults::default()).await;
    let stored = fleet.operator(5).configuration().await.unwrap();
    assert_eq!(burst_of(&stored.document), burst_of(&request.document), "{what}");
}

#[async_std::test]
async fn a_restarted_daemon_doesnt_return_to_a_stale_configuration() {
    let mut fleet = Fleet::start("stale-restart").await;
    let key = fleet.keys[4].clone();
    let id = key.split('_').nth(1).expect("a key has an id");
    let platform = fleet.deployment.platform;
    let head = Call::get("/objects/head/fleet").send(platform).await.unwrap().json();
    let granted_at = head["version"].as_u64();
    let withdrawn = fleet.operator(0).withdraw_key(&WithdrawRequest { id: Name::from(id) }).await;
    let revision = withdrawn.expect("the key is withdrawn").revision;
    assert_in_force(&fleet, revision, "withdrawal").await;
    fleet.daemons[2].kill();
    let faults = PlatformFaults { reads_frozen_at: granted_at, ..PlatformFaults::default() };
    fleet.set_faults(platform, &faults).await;
    fleet.daemons[2].start();
    let start = Instant::now();
    let call = Call::completion(&key, "model-999", "p", 1);
    let mut answers = 0;
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok(answer) = call.send(fleet.caller_address(2)).await {
            let code = answer.refusal_code();
            assert!(code != "not_found", "a withdrawn key works after {:?}", start.elapsed());
            answers += 1;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    assert!(answers > 0, "the restarted daemon answered nothing");
    fleet.set_faults(platform, &PlatformFaults::default()).await;
    until("the daemon has caught up", async || revision_of(&fleet, 2).await >= revision).await;
}
