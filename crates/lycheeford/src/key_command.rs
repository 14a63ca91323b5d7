use lycheeford_operator::{
    ApplyReport, ClientCategory, ClientError, GrantRequest, OperatorErrorCode, WithdrawRequest,
};
use lycheeford_policy::Name;

use crate::args::KeyCommand;
use crate::daemons::Daemons;
use crate::failure::{Exit, Failure};
use crate::output::Output;
use crate::table::Table;

/// The number of times that a withdrawal is sent while its responses are lost.
const WITHDRAW_ATTEMPTS_MAX: u32 = 3;

pub(crate) async fn run(
    command: KeyCommand,
    daemons: &Daemons,
    output: Output,
) -> Result<(), Failure> {
    match command {
        KeyCommand::Grant(command) => grant(&command.customer, daemons, output).await,
        KeyCommand::Withdraw(command) => withdraw(&command.id, daemons, output).await,
        KeyCommand::List(_) => list(daemons, output).await,
    }
}

async fn grant(customer: &str, daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let request = GrantRequest { customer: Name::from(customer) };
    let granted = daemons.call(async |client| client.grant_key(&request).await).await;
    let report = match granted {
        Err(error) if may_have_taken_effect(&error) => return Err(grant_lost(customer, &error)),
        granted => granted?,
    };
    let text = format!(
        "key {} for {} since revision {}; this is the only time that it is shown:\n{}",
        report.id, report.customer, report.revision, report.secret
    );
    output.result(&report, text);
    Ok(())
}

/// Returns the failure for a grant whose response was lost.
///
/// The key may exist, but nobody can use it without its secret, so the remedy is to withdraw
/// it and grant another.
fn grant_lost(customer: &str, error: &ClientError) -> Failure {
    let message = format!(
        "{error}; see `key list` for a new key of {customer}, whose secret is lost: \
         withdraw it and grant another"
    );
    Failure::new(Exit::Refused, message)
}

async fn withdraw(id: &str, daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let report = withdraw_with_retries(id, daemons).await?;
    let text = format!("key {id} is withdrawn since revision {}", report.revision);
    output.result(&report, text);
    Ok(())
}

/// Withdraws a key, and retries if the response is lost.
///
/// If the daemon doesn't find the key after a lost response, the earlier attempt took effect.
async fn withdraw_with_retries(id: &str, daemons: &Daemons) -> Result<ApplyReport, Failure> {
    let request = WithdrawRequest { id: Name::from(id) };
    let mut lost_error = None;
    for _ in 0..WITHDRAW_ATTEMPTS_MAX {
        let error = match daemons.call(async |client| client.withdraw_key(&request).await).await {
            Ok(report) => return Ok(report),
            Err(error) => error,
        };
        let is_absent =
            error.refusal().is_some_and(|refusal| refusal.code == OperatorErrorCode::NotFound);
        if is_absent && lost_error.is_some() {
            let report = daemons.call(async |client| client.configuration().await).await?;
            return Ok(ApplyReport { revision: report.revision });
        }
        if !may_have_taken_effect(&error) {
            return Err(error.into());
        }
        lost_error = Some(error);
    }
    let cause = lost_error.map(|error| error.to_string()).unwrap_or_default();
    Err(Failure::new(Exit::Refused, format!("{cause}; see `key list`")))
}

async fn list(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let keys = daemons.call(async |client| client.keys().await).await?;
    let mut table = Table::new(&["KEY", "CUSTOMER"]);
    for key in &keys {
        table.add_row(vec![key.id.to_string(), key.customer.to_string()]);
    }
    output.result(&keys, table);
    Ok(())
}

fn may_have_taken_effect(error: &ClientError) -> bool {
    match error.refusal().map(|refusal| refusal.code) {
        Some(code) => {
            matches!(code, OperatorErrorCode::OutcomeUnknown | OperatorErrorCode::Internal)
        }
        None => error.category() == ClientCategory::AnswerLost,
    }
}
