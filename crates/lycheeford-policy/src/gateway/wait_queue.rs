use super::target_table::{Chosen, Need, TargetTable, Tried};
use crate::{Name, TimeMs};

/// By how much a request may be passed by later ones of each better rank.
///
/// Without a bound the worst rank would starve while better ones keep coming.
const RANK_MS: u64 = 1_500;

/// A request that waits for a place at a target.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Names the request in this queue.
    pub id: u64,
    /// What it needs.
    pub need: Need,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// When it arrived.
    pub arrived_at: TimeMs,
}

impl Waiting {
    fn order(&self) -> (u64, u64) {
        (self.arrived_at.as_ms() + u64::from(self.priority) * RANK_MS, self.id)
    }
}

/// The requests that wait at this host, in the order in which they go.
///
/// A request whose caller left is removed by its own task, so that nothing in
/// the queue is for nobody.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// Sorted by order.
    waiting: Vec<Waiting>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let order = waiting.order();
        let index = self.waiting.partition_point(|other| other.order() < order);
        self.waiting.insert(index, waiting);
    }

    /// Removes a request; returns false if it was given a target already.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Takes out the requests that have a target now, and counts them as running there.
    ///
    /// A need that can't be met keeps back only the requests with the same one,
    /// so that a model that is being loaded holds up no other.
    pub fn dispatch(&mut self, now: TimeMs, targets: &mut TargetTable) -> Vec<(u64, Chosen)> {
        let mut dispatched = Vec::new();
        let mut unmet: Vec<Lane> = Vec::new();
        self.waiting.retain(|waiting| {
            let lane = Lane::of(&waiting.need);
            if waiting.need.excluded.is_empty() && unmet.contains(&lane) {
                return true;
            }
            let Tried::Chosen(chosen) = targets.choose(now, &waiting.need) else {
                // One that has tried targets already says nothing of those that others may have.
                if waiting.need.excluded.is_empty() {
                    unmet.push(lane);
                }
                return true;
            };
            targets.started(&chosen, waiting.need.model.as_ref(), waiting.need.tokens);
            dispatched.push((waiting.id, chosen));
            false
        });
        dispatched
    }

    /// Returns how many requests for `service` go before a new one of this rank.
    pub fn ahead(&self, service: &Name, priority: u8, now: TimeMs) -> usize {
        let order = (now.as_ms() + u64::from(priority) * RANK_MS, u64::MAX);
        let is_ahead =
            |waiting: &&Waiting| waiting.need.service == *service && waiting.order() < order;
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Returns the requests in the order in which they go.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }
}

/// What makes two waiting requests wait for the same thing.
#[derive(Debug, PartialEq, Eq)]
struct Lane {
    service: Name,
    model: Option<Name>,
    adapter: Option<Name>,
}

impl Lane {
    fn of(need: &Need) -> Lane {
        Lane {
            service: need.service.clone(),
            model: need.model.clone(),
            adapter: need.adapter.clone(),
        }
    }
}
