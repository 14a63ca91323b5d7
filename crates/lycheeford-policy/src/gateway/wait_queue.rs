use super::short_key::ShortKey;
use super::target_table::{Chosen, Selection, TargetRequirements, TargetTable};
use crate::{Name, TimeMs};

/// Time within which later requests can overtake a waiting one, per level of more urgent priority.
///
/// Without this bound, requests of the least urgent priority would starve while more urgent ones
/// keep arriving.
const PRIORITY_STEP_MS: u64 = 1_500;

/// A request that waits for a free slot at a target.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Id of the request in this queue.
    pub id: u64,
    /// Requirements of the request on its target.
    pub need: TargetRequirements,
    /// Priority of the request; 0 is served first.
    pub priority: u8,
    /// When the request arrived.
    pub arrived_at: TimeMs,
}

impl Waiting {
    fn sort_key(&self) -> (u64, u64) {
        (self.arrived_at.as_ms() + u64::from(self.priority) * PRIORITY_STEP_MS, self.id)
    }
}

/// The requests that wait at this host, in the order in which they are served.
///
/// A request whose caller disconnected is removed by its own task, so that no entry of the queue
/// lacks a caller.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// Sorted by `sort_key`.
    waiting: Vec<Waiting>,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let sort_key = waiting.sort_key();
        let index = self.waiting.partition_point(|other| other.sort_key() < sort_key);
        self.waiting.insert(index, waiting);
    }

    /// Removes a request; returns false if a target was already assigned.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.id != id);
        self.waiting.len() < before
    }

    /// Removes the requests that now have a target, and counts them as running there.
    ///
    /// A requirement that cannot be met holds back only requests with the same requirement, so that
    /// a model that is being loaded delays no other.
    pub fn dispatch(&mut self, now: TimeMs, targets: &mut TargetTable) -> Vec<(u64, Chosen)> {
        let mut dispatched = Vec::new();
        let mut unmet: Vec<RequirementKey> = Vec::new();
        self.waiting.retain(|waiting| {
            let key = RequirementKey::of(&waiting.need);
            if waiting.need.excluded.is_empty() && unmet.contains(&key) {
                return true;
            }
            let Selection::Chosen(chosen) = targets.choose(now, &waiting.need) else {
                // The result for a request that excludes targets does not apply to others.
                if waiting.need.excluded.is_empty() {
                    unmet.push(key);
                }
                return true;
            };
            targets.started(now, &chosen, waiting.need.model.as_ref(), waiting.need.tokens);
            targets.waited_for(now, &chosen);
            dispatched.push((waiting.id, chosen));
            false
        });
        dispatched
    }

    /// Returns how many requests for `service` precede a new one of this priority.
    pub fn ahead(&self, service: &Name, priority: u8, now: TimeMs) -> usize {
        let sort_key = (now.as_ms() + u64::from(priority) * PRIORITY_STEP_MS, u64::MAX);
        let is_ahead =
            |waiting: &&Waiting| waiting.need.service == *service && waiting.sort_key() < sort_key;
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Returns the requests in the order in which they are served.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }
}

/// Requirement by which waiting requests are grouped.
#[derive(Debug, PartialEq, Eq)]
struct RequirementKey {
    service: Name,
    model: Option<Name>,
    adapter: Option<Name>,
    version: Option<ShortKey>,
}

impl RequirementKey {
    fn of(need: &TargetRequirements) -> RequirementKey {
        RequirementKey {
            service: need.service.clone(),
            model: need.model.clone(),
            adapter: need.adapter.clone(),
            version: need.version,
        }
    }
}
