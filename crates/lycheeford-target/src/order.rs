use lycheeford_policy::{Name, OrderAction};

/// An order to an engine to load or unload a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The id, unique among all orders ever sent.
    pub order_id: Name,
    /// The fencing number; engines that check it refuse an order whose number is below the highest
    /// one they have seen.
    pub fence: u64,
    /// Whether to load or unload.
    pub action: OrderAction,
    /// The name of the model or adapter.
    pub name: Name,
    /// The base model, if `name` is an adapter.
    pub base: Option<Name>,
    /// The memory reserved for the model or adapter.
    pub memory_bytes: u64,
}
