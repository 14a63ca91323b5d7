use lycheeford_operator::{Explanation, Fact, OperatorError, OperatorErrorCode, SubjectKind};
use lycheeford_policy::Name;

use super::facts::{age, replicas};
use crate::state::State;

/// The maximum number of decisions in one explanation.
const DECISIONS_SHOWN_MAX: usize = 20;

/// Explains the state of a customer, model or adapter, or otherwise a request by its id.
///
/// # Errors
///
/// Fails if this daemon has no record of the subject; another daemon may have one.
pub(crate) fn explain(state: &State, subject: &str) -> Result<Explanation, OperatorError> {
    let configuration = state.configuration.load();
    let name = Name::from(subject);
    let (kind, mut facts) = if configuration.customer(subject).is_some() {
        (SubjectKind::Customer, customer_facts(state, &name))
    } else if configuration.model(subject).is_some() || configuration.adapter(subject).is_some() {
        (SubjectKind::Model, model_facts(state, &name))
    } else {
        (SubjectKind::Request, Vec::new())
    };
    let now = state.now();
    let decisions = state.decisions.lock();
    for decision in decisions.about(subject).take(DECISIONS_SHOWN_MAX) {
        facts.push(Fact { about: age(now, decision.at), finding: decision.what.clone() });
    }
    if facts.is_empty() {
        let message = format!(
            "{} has no record of {subject:?}; ask the daemon that answered the request",
            state.me.host
        );
        return Err(OperatorError::new(OperatorErrorCode::NotFound, message));
    }
    let summary = facts[0].finding.clone();
    Ok(Explanation { kind, subject: subject.to_owned(), summary, facts })
}

fn customer_facts(state: &State, name: &Name) -> Vec<Fact> {
    let now = state.now();
    let mut rates = state.rates.lock();
    let Some(rate) = rates.customer(name) else { return Vec::new() };
    let finding = format!(
        "this host holds {} ppm of the rate and {} tokens; {} admitted, {} refused for the rate",
        rate.share.share_ppm(),
        rate.share.level_tokens(now),
        rate.admitted,
        rate.refused
    );
    vec![Fact { about: "rate".to_owned(), finding }]
}

fn model_facts(state: &State, name: &Name) -> Vec<Fact> {
    let replicas = replicas(state, name);
    if replicas.is_empty() {
        let finding = "no replica is loaded; the next request loads one".to_owned();
        return vec![Fact { about: "replicas".to_owned(), finding }];
    }
    let fact = |replica: lycheeford_operator::ReplicaReport| Fact {
        about: "replica".to_owned(),
        finding: format!("{:?} on {}", replica.state, replica.target),
    };
    replicas.into_iter().map(fact).collect()
}
