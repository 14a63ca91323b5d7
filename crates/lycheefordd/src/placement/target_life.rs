use lycheeford_policy::{Incarnation, Name};

use crate::state::State;

/// A target in the life in which it got a request.
#[derive(Debug, Clone)]
pub(crate) struct TargetLife {
    pub(crate) target: Name,
    pub(crate) incarnation: Option<Incarnation>,
}

impl TargetLife {
    /// Returns the life of a target that the placement knows now.
    pub(crate) fn now(state: &State, target: Name) -> TargetLife {
        let placement = state.placement.lock();
        let known = placement.targets().iter().find(|known| known.target == target);
        TargetLife { incarnation: known.map(|known| known.incarnation), target }
    }
}
