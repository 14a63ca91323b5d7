use lycheeford_policy::{Incarnation, Name};

use crate::state::State;

/// A target with the incarnation of the process that received a request.
#[derive(Debug, Clone)]
pub(crate) struct TargetInstance {
    pub(crate) target: Name,
    pub(crate) incarnation: Option<Incarnation>,
}

impl TargetInstance {
    /// Returns a target with the incarnation that the placement view has for it now.
    pub(crate) fn current(state: &State, target: Name) -> TargetInstance {
        let placement = state.placement.lock();
        let known = placement.targets().iter().find(|known| known.target == target);
        TargetInstance { incarnation: known.map(|known| known.incarnation), target }
    }
}
