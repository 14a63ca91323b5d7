use crate::Name;

/// A decision of the planner, which the coordinator carries out or passes on to the hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Load a model or adapter on a target.
    Load {
        /// The name of the model or adapter.
        name: Name,
        /// The base model of an adapter, which is ready on the same target; `None` for a model.
        base: Option<Name>,
        /// The target to load on.
        target: Name,
        /// Memory to reserve before the order is sent.
        memory_bytes: u64,
    },
    /// Unload an idle model or adapter from a target.
    Unload {
        /// The name of the model or adapter.
        name: Name,
        /// The target to unload from.
        target: Name,
    },
    /// Refuse the waiting requests of a customer, since none can be served before its deadline.
    Refuse {
        /// The name of the model or adapter.
        name: Name,
        /// The customer whose requests are refused.
        customer: Name,
        /// When callers should retry: the time until the replica is expected to be ready, or a
        /// default if that time is unknown, for example since no target can take the load.
        retry_after_ms: u64,
    },
    /// Tell the hosts when a model or adapter is expected to be ready.
    Expect {
        /// The name of the model or adapter.
        name: Name,
        /// Time until ready; zero if a replica is ready.
        ready_in_ms: u64,
    },
}
