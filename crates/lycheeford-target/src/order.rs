use lycheeford_policy::{Name, OrderAction};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The id, unique for each order that is ever sent.
    pub order_id: Name,
    /// The fencing number; engines that check refuse one below the highest seen.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
    /// The model or adapter.
    pub name: Name,
    /// The model under an adapter.
    pub base: Option<Name>,
    /// The memory that is reserved for it.
    pub memory_bytes: u64,
}
