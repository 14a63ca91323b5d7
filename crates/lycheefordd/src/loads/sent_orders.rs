use lycheeford_policy::{Incarnation, Name, ORDER_SET_ASIDE_MS, TargetRecord, TimeMs};

/// What this process of the daemon knows about the orders that it recorded.
#[derive(Debug, Default)]
pub(crate) struct SentOrders {
    /// Orders that this process will never send again, with their targets.
    closed: Vec<(Name, Name)>,
    /// Orders that may have reached their target but got no answer.
    unknown: Vec<UnknownOrder>,
    /// Loads that this process is carrying out, by name and target.
    loading: Vec<(Name, Name)>,
    /// When an unresolved order was first seen in a target's record.
    first_seen: Vec<(Name, TimeMs)>,
}

#[derive(Debug)]
struct UnknownOrder {
    id: Name,
    target: Name,
    target_incarnation: Option<Incarnation>,
}

impl SentOrders {
    /// Registers a load as in progress; returns `false` if the same load already is.
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

    /// Records that an order will not be sent again: it was answered or was never sent.
    pub(crate) fn record_closed(&mut self, id: Name, target: &Name) {
        self.closed.push((id, target.clone()));
    }

    /// Records that an order may have reached this incarnation of its target but got no answer.
    pub(crate) fn record_unknown(
        &mut self,
        id: Name,
        target: &Name,
        incarnation: Option<Incarnation>,
    ) {
        let order = UnknownOrder { id, target: target.clone(), target_incarnation: incarnation };
        self.unknown.push(order);
    }

    /// Records a target's incarnation, which closes the orders sent to an earlier one.
    pub(crate) fn record_target_incarnation(&mut self, target: &Name, incarnation: Incarnation) {
        let earlier = |order: &UnknownOrder| {
            order.target == *target
                && order.target_incarnation.is_some_and(|sent_to| sent_to < incarnation)
        };
        let (closed, unknown): (Vec<_>, Vec<_>) = self.unknown.drain(..).partition(earlier);
        self.unknown = unknown;
        self.closed.extend(closed.into_iter().map(|order| (order.id, order.target)));
    }

    /// Returns the orders that this process will never send again.
    pub(crate) fn concluded_orders(&self) -> Vec<Name> {
        self.closed.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the orders whose connection ended without an answer.
    pub(crate) fn unanswered_orders(&self) -> Vec<Name> {
        self.unknown.iter().map(|order| order.id.clone()).collect()
    }

    /// Drops the orders of a target that its stored record no longer contains.
    pub(crate) fn retain_recorded(&mut self, record: &TargetRecord, target: &Name) {
        let held = |id: &Name| record.orders().any(|order| order.id == *id);
        self.closed.retain(|(id, at)| at != target || held(id));
        self.unknown.retain(|order| order.target != *target || held(&order.id));
    }

    /// Returns whether an order has been unresolved for so long that it should be set aside.
    ///
    /// The time counts from the first call for the order.
    pub(crate) fn is_overdue(&mut self, now: TimeMs, id: &Name) -> bool {
        if let Some((_, seen_at)) = self.first_seen.iter().find(|(known, _)| known == id) {
            return now.since_ms(*seen_at) >= ORDER_SET_ASIDE_MS;
        }
        self.first_seen.retain(|(_, seen_at)| now.since_ms(*seen_at) < 2 * ORDER_SET_ASIDE_MS);
        self.first_seen.push((id.clone(), now));
        false
    }
}
