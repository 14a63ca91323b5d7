use futures_util::future::join_all;
use lycheeford_fakes::Call;
use serde_json::json;
use snafu::{ResultExt, Whatever, ensure_whatever};

use crate::fleet::Fleet;
use crate::platform_calls::PlatformCalls;
use crate::{MODELS, change, row};

/// Non-idempotent service calls, sent one after the other.
const CHARGES: usize = 100;
/// Changes of the configuration, applied one after the other.
const CHANGES: usize = 10;

/// Prints the platform calls per operation of each kind. Calls for the daemons' watches during the
/// same time are included.
pub(crate) async fn report(fleet: &Fleet) -> Result<(), Whatever> {
    let start = PlatformCalls::read(fleet).await?;
    for index in 0..CHARGES {
        charge(fleet, index).await?;
    }
    let after_charges = PlatformCalls::read(fleet).await?;
    row("platform calls of a non-idempotent call", &(after_charges - start).each(CHARGES as f64));

    join_all(MODELS[1..].iter().map(|model| load(fleet, model)))
        .await
        .into_iter()
        .collect::<Result<(), Whatever>>()?;
    let after_loads = PlatformCalls::read(fleet).await?;
    row("platform calls of a load", &(after_loads - after_charges).each((MODELS.len() - 1) as f64));

    for _ in 0..CHANGES {
        change::change_one_adapter(fleet).await?;
    }
    let end = PlatformCalls::read(fleet).await?;
    row("platform calls of a change", &(end - after_loads).each(CHANGES as f64));
    Ok(())
}

async fn charge(fleet: &Fleet, index: usize) -> Result<(), Whatever> {
    let id = format!("measure-{index}-{:x}", rand::random::<u64>());
    let body = json!({ "id": id, "amount": 1 });
    let call = Call::post("/charges", &fleet.key, &body).header("idempotency-key", &id);
    let answer = call.send(fleet.daemons[index % fleet.daemons.len()].caller).await;
    let answer = answer.whatever_context("no answer to a service call")?;
    ensure_whatever!(
        answer.status == 200,
        "service call answered with status {}: {}",
        answer.status,
        answer.body
    );
    Ok(())
}

async fn load(fleet: &Fleet, model: &str) -> Result<(), Whatever> {
    let call = Call::completion(&fleet.key, model, "Is it open?", 1);
    let answer = call.send(fleet.daemons[0].caller).await;
    let answer = answer.whatever_context("no answer to a request for a cold model")?;
    ensure_whatever!(
        answer.status == 200,
        "request for a cold model answered with status {}: {}",
        answer.status,
        answer.body
    );
    Ok(())
}
