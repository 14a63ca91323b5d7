use lycheeford_policy::{Incarnation, Name, ORDER_SET_ASIDE_MS, TargetRecord, TimeMs};

/// What this life of the daemon knows of the orders that it recorded.
#[derive(Debug, Default)]
pub(crate) struct SentOrders {
    /// Orders that it never sends any more, with their targets.
    over: Vec<(Name, Name)>,
    /// Orders that may have reached their target unanswered.
    unknown: Vec<UnknownOrder>,
    /// Loads under way here, by name and target.
    loading: Vec<(Name, Name)>,
    /// When an unresolved order was first seen at a target.
    first_seen: Vec<(Name, TimeMs)>,
}

#[derive(Debug)]
struct UnknownOrder {
    id: Name,
    target: Name,
    target_incarnation: Option<Incarnation>,
}

impl SentOrders {
    /// Starts a load here, unless the same is under way.
    pub(crate) fn start_load(&mut self, name: &Name, target: &Name) -> bool {
        let starts = !self.is_loading(name, target);
        if starts {
            self.loading.push((name.clone(), target.clone()));
        }
        starts
    }

    pub(crate) fn end_load(&mut self, name: &Name, target: &Name) {
        self.loading.retain(|(known, at)| (known, at) != (name, target));
    }

    pub(crate) fn is_loading(&self, name: &Name, target: &Name) -> bool {
        self.loading.iter().any(|(known, at)| (known, at) == (name, target))
    }

    /// Notes that an order is sent no more: answered, or given up unsent.
    pub(crate) fn over(&mut self, id: Name, target: &Name) {
        self.over.push((id, target.clone()));
    }

    /// Notes that an order may have reached that life of its target unanswered.
    pub(crate) fn unknown(&mut self, id: Name, target: &Name, life: Option<Incarnation>) {
        let order = UnknownOrder { id, target: target.clone(), target_incarnation: life };
        self.unknown.push(order);
    }

    /// Takes in the life of a target: what was sent to an earlier one is over.
    pub(crate) fn target_lives(&mut self, target: &Name, incarnation: Incarnation) {
        let earlier = |order: &UnknownOrder| {
            order.target == *target
                && order.target_incarnation.is_some_and(|life| life < incarnation)
        };
        let (over, unknown): (Vec<_>, Vec<_>) = self.unknown.drain(..).partition(earlier);
        self.unknown = unknown;
        self.over.extend(over.into_iter().map(|order| (order.id, order.target)));
    }

    pub(crate) fn sending_over(&self) -> Vec<Name> {
        self.over.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the orders whose connection ended unanswered.
    pub(crate) fn sending_ended(&self) -> Vec<Name> {
        self.unknown.iter().map(|order| order.id.clone()).collect()
    }

    /// Forgets what the stored record of a target no longer holds.
    pub(crate) fn keep_only(&mut self, record: &TargetRecord, target: &Name) {
        let held = |id: &Name| record.orders().any(|order| order.id == *id);
        self.over.retain(|(id, at)| at != target || held(id));
        self.unknown.retain(|order| order.target != *target || held(&order.id));
    }

    /// Tells whether a target's unresolved order has been so for too long.
    pub(crate) fn is_overdue(&mut self, now: TimeMs, id: &Name) -> bool {
        if let Some((_, seen_at)) = self.first_seen.iter().find(|(known, _)| known == id) {
            return now.since_ms(*seen_at) >= ORDER_SET_ASIDE_MS;
        }
        self.first_seen.retain(|(_, seen_at)| now.since_ms(*seen_at) < 2 * ORDER_SET_ASIDE_MS);
        self.first_seen.push((id.clone(), now));
        false
    }
}
