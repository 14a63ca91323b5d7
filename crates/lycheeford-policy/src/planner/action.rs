use crate::Name;

/// A decision of the planner, for the coordinator to carry out or to pass on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Load a model or adapter on a target.
    Load {
        /// The model or adapter.
        name: Name,
        /// The model that an adapter needs, ready on the same target.
        base: Option<Name>,
        /// Where to load it.
        target: Name,
        /// Memory to reserve before the order is sent.
        memory_bytes: u64,
    },
    /// Unload an idle model or adapter from a target.
    Unload {
        /// The model or adapter.
        name: Name,
        /// Where it is loaded.
        target: Name,
    },
    /// Refuse the waiting requests of a customer, since none can be served in time.
    Refuse {
        /// The model or adapter.
        name: Name,
        /// Whose requests to refuse.
        customer: Name,
        /// When the replica is expected to be ready.
        retry_after_ms: u64,
    },
    /// Tell the hosts when a model or adapter is expected to be ready.
    Expect {
        /// The model or adapter.
        name: Name,
        /// Time to ready; zero if it is ready.
        ready_in_ms: u64,
    },
}
