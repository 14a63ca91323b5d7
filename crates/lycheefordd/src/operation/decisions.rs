use std::collections::VecDeque;

use lycheeford_policy::{Name, TimeMs};

/// The maximum number of decisions that a daemon keeps; the oldest are dropped.
const DECISIONS_MAX: usize = 4_096;

/// The latest decisions of this daemon, for `lycheeford explain`.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    decisions: VecDeque<Decision>,
}

/// One decision and its reason.
#[derive(Debug, Clone)]
pub(crate) struct Decision {
    pub(crate) at: TimeMs,
    /// The requests, models, adapters, targets and customers that the decision is about.
    pub(crate) subjects: Vec<Name>,
    pub(crate) what: String,
}

impl DecisionLog {
    pub(crate) fn record(&mut self, at: TimeMs, subjects: &[&Name], what: impl Into<String>) {
        if self.decisions.len() == DECISIONS_MAX {
            self.decisions.pop_front();
        }
        let subjects = subjects.iter().map(|name| (*name).clone()).collect();
        self.decisions.push_back(Decision { at, subjects, what: what.into() });
    }

    /// Returns the decisions about `subject`, latest first.
    pub(crate) fn about<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a Decision> {
        self.decisions
            .iter()
            .rev()
            .filter(move |decision| decision.subjects.iter().any(|name| name.as_str() == subject))
    }
}
