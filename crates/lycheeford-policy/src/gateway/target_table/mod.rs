mod beliefs;
mod brittle;
mod choice;
mod cold;
mod running;
mod silence;

use std::net::SocketAddr;

use self::brittle::BRITTLE_FULL_PAUSE_MS;
pub use self::brittle::HostPlace;
use self::cold::ColdTurns;
pub use self::silence::SilenceView;
use crate::gateway::peer_table::RunningAt;
use crate::gateway::permit::PermitRank;
use crate::gateway::short_key::ShortKey;
use crate::gateway::target_belief::{TargetBelief, TargetLife};
use crate::gateway::target_entry::{Residency, TargetEntry, TargetState};
use crate::gateway::target_health::{TargetFailure, TargetHealth};
use crate::gateway::target_silence::TargetSilence;
use crate::{Name, StoreVersion, TimeMs};

/// Assumed latency of a service without samples.
const USUAL_MS: f64 = 50.0;
/// Weight of a new sample in the average latency of a service.
const USUAL_SAMPLE_PART: f64 = 0.05;
/// Fraction of an engine's token memory that requests may use.
const CACHE_PART: f64 = 0.9;
/// How long a target that rejected a request as full receives no further requests.
const FULL_PAUSE_MS: u64 = 60;

/// Requirements of a request on its target.
#[derive(Debug, Clone)]
pub struct TargetRequirements {
    /// Service that must serve the request.
    pub service: Name,
    /// Model that the target must hold, if the service runs engines.
    pub model: Option<Name>,
    /// Adapter on the model that the target must hold.
    pub adapter: Option<Name>,
    /// Software version that the target must run, if the request goes on with a stream.
    pub version: Option<ShortKey>,
    /// Upper bound of the tokens that the request reads and writes.
    pub tokens: u64,
    /// Token memory of one target, in tokens, if the service runs engines.
    pub cache_tokens_max: Option<u64>,
    /// Failure domain of this host.
    pub failure_domain: Name,
    /// Hash of the shared part of the prompt, and the cost in milliseconds of reading that part
    /// again.
    pub affinity: Option<(u64, u64)>,
    /// Latency objective of the answer.
    pub objective_ms: u64,
    /// Targets at which the request has already failed.
    pub excluded: Vec<Name>,
    /// Priority of the request; 0 is served first.
    pub priority: u8,
}

/// A chosen target, with the life that the request must reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chosen {
    /// Id of the target.
    pub id: Name,
    /// Life of the target, which changes when its process restarts.
    pub life: u64,
    /// Version of the software that the target runs.
    pub version: Name,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Requests that were running at the target when it was chosen.
    pub running: u32,
    /// Rank of the permit that must be obtained first, if the target announced a limit.
    pub permit: Option<PermitRank>,
    /// Details of the choice, for diagnostics.
    pub choice: Choice,
}

impl Chosen {
    /// Returns the identity of the target's life as used in messages between hosts.
    pub fn target_life(&self) -> TargetLife {
        TargetLife { target: ShortKey::of(&self.id), life: self.life }
    }
}

/// Alternatives that were compared when a target was chosen, for later diagnostics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice {
    /// Number of targets that could have served the request.
    pub usable: u32,
    /// Estimated cost of the target in milliseconds. Lower, possibly negative, if the target has
    /// cached the prompt.
    pub cost_ms: i64,
    /// The cheapest alternative with its cost.
    pub runner_up: Option<(Name, i64)>,
}

/// Result of looking for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    /// The chosen target.
    Chosen(Chosen),
    /// There are targets, but none has a free slot.
    Full,
    /// No target holds the model or adapter.
    NotResident,
    /// Every suitable target is rate-limited, and its permits go to other requests now.
    Limited {
        /// When to ask again.
        until: TimeMs,
    },
    /// Every suitable target asked this host to pause.
    Paused {
        /// When the first pause ends.
        until: TimeMs,
    },
    /// The service has no target.
    NoTarget,
}

/// The targets of all services, with their known load and health.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Sorted by id.
    targets: Vec<Target>,
    /// Sorted by service.
    usual_latency_ms: Vec<(Name, f64)>,
    choices: u64,
    host_place: HostPlace,
    /// The services whose targets are brittle, with the end of that; sorted by service.
    brittle_until: Vec<(Name, TimeMs)>,
    /// The failure domains whose targets must get no requests, sorted.
    evacuated: Vec<Name>,
    /// Requests per second that a cold target of a service takes; sorted by service.
    cold_rates: Vec<(Name, f64)>,
    /// Deadline after which a target that turns out to be leaving must not be used, counted from
    /// the last moment up to which this host knows all relevant changes.
    leave_by: Option<TimeMs>,
    /// State of lives that are not listed, in the order in which they were last updated.
    unlisted: Vec<UnlistedTarget>,
}

/// State of a target's life that is not listed now.
#[derive(Debug)]
struct UnlistedTarget {
    target: ShortKey,
    life: u64,
    since: TimeMs,
    belief: TargetBelief,
}

/// A target as known to this host.
#[derive(Debug)]
pub struct Target {
    /// The target's entry in the platform's store.
    pub entry: TargetEntry,
    key: ShortKey,
    health: TargetHealth,
    silence: TargetSilence,
    running_here: Vec<Running>,
    running_elsewhere: Vec<(Name, RunningAt)>,
    /// Models and adapters at the target, as announced by the holder of the order lease. Sorted by
    /// key.
    announced: Vec<(ShortKey, bool)>,
    full_until: TimeMs,
    /// Whether the target's failure domain is evacuated.
    is_evacuated: bool,
    /// Set while the target is cold and its service limits what cold targets get.
    cold: Option<ColdTurns>,
    /// Whether the target accepts work, from all sources of information.
    pub belief: TargetBelief,
    /// When the target is removed, if its entry has disappeared from the store.
    forget_at: Option<TimeMs>,
    /// Models that the target refused although its entry lists them, with the end of the refusal.
    refused: Vec<(Name, TimeMs)>,
}

#[derive(Debug)]
struct Running {
    model: ShortKey,
    requests: u32,
    tokens: u64,
}

impl Target {
    /// Returns the number of requests known to run at the target, through this host and others.
    pub fn running(&self) -> u32 {
        let running_here: u32 = self.running_here.iter().map(|running| running.requests).sum();
        let running_elsewhere: u32 = self.running_elsewhere.iter().map(|(_, at)| at.running).sum();
        running_here + running_elsewhere
    }

    /// Returns the number of requests for `model` that run at the target.
    pub fn running_model(&self, model: ShortKey) -> u32 {
        let running_here = self.running_here.iter().filter(|running| running.model == model);
        let running_elsewhere = self.running_elsewhere.iter().filter(|(_, at)| at.model == model);
        running_here.map(|running| running.requests).sum::<u32>()
            + running_elsewhere.map(|(_, at)| at.running).sum::<u32>()
    }

    /// Returns whether no source reported that the target is leaving, and its failure domain isn't
    /// evacuated.
    pub fn is_ready(&self) -> bool {
        !self.belief.is_leaving() && !self.is_evacuated
    }

    /// Returns whether the target may receive requests, which is not the case for a while after
    /// recent failures.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        self.health.is_usable(now)
    }

    /// Returns whether the target's limit is lower than the rate that its slots could serve.
    pub fn is_short(&self) -> bool {
        self.belief.is_short(self.entry.slots)
    }

    /// Returns the fraction of the target's slots that is in use.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running()) / f64::from(self.entry.slots.max(1))
    }

    fn tokens(&self) -> u64 {
        let running_here: u64 = self.running_here.iter().map(|running| running.tokens).sum();
        running_here + self.running_elsewhere.iter().map(|(_, at)| at.tokens).sum::<u64>()
    }

    /// Returns whether the target runs the service at a version that the request accepts.
    fn serves(&self, need: &TargetRequirements) -> bool {
        let accepts = |version: ShortKey| ShortKey::of(&self.entry.version) == version;
        self.entry.service == need.service && need.version.is_none_or(accepts)
    }

    fn holds(&self, now: TimeMs, need: &TargetRequirements) -> bool {
        let Some(model) = &need.model else { return true };
        let is_refused = |(name, until): &(Name, TimeMs)| name == model && now < *until;
        if self.refused.iter().any(is_refused) {
            return false;
        }
        let resident = self.entry.residency.model(model);
        let holds_model = self.announced(ShortKey::of(model)).unwrap_or(resident.is_some());
        let Some(adapter) = need.adapter.as_ref().filter(|_| holds_model) else {
            return holds_model;
        };
        let is_listed = || resident.is_some_and(|resident| resident.adapters.contains(adapter));
        self.announced(ShortKey::of_adapter(model, adapter)).unwrap_or_else(is_listed)
    }

    /// Returns what the holder of the order lease announced about a model or adapter.
    fn announced(&self, name: ShortKey) -> Option<bool> {
        let found = self.announced.binary_search_by_key(&name, |(key, _)| *key).ok()?;
        Some(self.announced[found].1)
    }

    fn announce(&mut self, name: ShortKey, is_ready: bool) {
        match self.announced.binary_search_by_key(&name, |(key, _)| *key) {
            Ok(index) => self.announced[index].1 = is_ready,
            Err(index) => self.announced.insert(index, (name, is_ready)),
        }
    }

    fn has_capacity(&self, now: TimeMs, need: &TargetRequirements) -> bool {
        let running = self.running();
        let has_turn = self.cold.is_none_or(|cold| cold.allows(now));
        if running >= self.entry.slots || now < self.full_until || !has_turn {
            return false;
        }
        let Some(cache_tokens_max) = need.cache_tokens_max else { return true };
        let usable_tokens = (cache_tokens_max as f64 * CACHE_PART) as u64;
        running == 0 || self.tokens() + need.tokens <= usable_tokens
    }
}

/// Returns whether an entry is of an earlier life than the known one, and comes from the copy from
/// which the store was restored.
fn is_earlier_life(entry: &TargetEntry, known: &TargetEntry) -> bool {
    let era = |entry: &TargetEntry| StoreVersion::from_number(entry.revision).era;
    entry.life < known.life && era(entry) > era(known)
}

impl TargetTable {
    /// Sets the deadline after which a target that turns out to be leaving must not be used.
    pub fn leave_by(&mut self, leave_by: TimeMs) {
        self.leave_by = Some(leave_by);
    }

    /// Sets the failure domains whose targets must get no requests, sorted.
    pub fn set_evacuated(&mut self, domains: Vec<Name>) {
        self.evacuated = domains;
        for index in 0..self.targets.len() {
            self.targets[index].is_evacuated = self.is_evacuated(&self.targets[index].entry);
        }
    }

    fn is_evacuated(&self, entry: &TargetEntry) -> bool {
        self.evacuated.binary_search(&entry.failure_domain).is_ok()
    }

    /// Stores an entry received from another host. Such an entry does not list the weights in host
    /// memory and on disk, so the known lists are kept.
    pub fn put_from_peer(&mut self, now: TimeMs, mut entry: TargetEntry) {
        let known = self.target(&entry.id).filter(|known| known.entry.life == entry.life);
        if let Some(known) = known {
            entry.residency.in_memory.clone_from(&known.entry.residency.in_memory);
            entry.residency.on_disk.clone_from(&known.entry.residency.on_disk);
        }
        self.put(now, entry);
    }

    /// Stores an entry; a new life starts without history.
    pub fn put(&mut self, now: TimeMs, entry: TargetEntry) {
        let key = ShortKey::of(&entry.id);
        let state = entry.state;
        let index = match self.position(&entry.id) {
            // An entry from another host may be newer than a delayed one from the store.
            Ok(index) if entry.revision < self.targets[index].entry.revision => return,
            Ok(index) if is_earlier_life(&entry, &self.targets[index].entry) => return,
            Ok(index) => {
                let target = &mut self.targets[index];
                let same = target.entry.life == entry.life
                    && target.entry.address == entry.address
                    && target.entry.service == entry.service;
                if same {
                    target.forget_at = None;
                    target.refused.clear();
                    target.entry = entry;
                } else {
                    let belief = self.take_unlisted(key, entry.life);
                    let next = Target::new(entry, key, belief);
                    let earlier = std::mem::replace(&mut self.targets[index], next);
                    self.keep_if_needed(now, earlier);
                }
                index
            }
            Err(index) => {
                let belief = self.take_unlisted(key, entry.life);
                self.targets.insert(index, Target::new(entry, key, belief));
                index
            }
        };
        let leave_by = self.leave_by.unwrap_or(TimeMs::from_ms(u64::MAX));
        self.targets[index].belief.record_entry_state(now, state, leave_by);
        self.targets[index].is_evacuated = self.is_evacuated(&self.targets[index].entry);
        self.record_cold(now, index);
    }

    /// Records that an entry disappeared; the target is removed after `grace_ms`.
    pub fn gone(&mut self, now: TimeMs, id: &str, grace_ms: u64) {
        let Ok(index) = self.position(id) else { return };
        if grace_ms == 0 {
            self.remove(now, index);
        } else {
            self.targets[index].forget_at.get_or_insert(now + grace_ms);
        }
    }

    /// Replaces the whole list; targets that are missing from `entries` count as gone.
    pub fn replace(&mut self, now: TimeMs, entries: Vec<TargetEntry>, grace_ms: u64) {
        let missing = self.missing_from(&entries);
        for entry in entries {
            self.put(now, entry);
        }
        for id in missing {
            self.gone(now, &id, grace_ms);
        }
    }

    /// Removes the targets whose grace period has ended.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some(index) =
            self.targets.iter().position(|target| target.forget_at.is_some_and(|at| now >= at))
        {
            self.remove(now, index);
        }
        self.forget_unlisted(now);
    }

    /// Returns the target with this `id`.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.position(id).ok().map(|index| &self.targets[index])
    }

    /// Returns whether `life` of the target with this `id` is still listed.
    pub fn is_listed(&self, id: &str, life: u64) -> bool {
        self.target(id).is_some_and(|target| target.entry.life == life)
    }

    /// Returns whether a later life of the chosen target is listed.
    pub fn has_later_life(&self, chosen: &Chosen) -> bool {
        self.target(&chosen.id).is_some_and(|target| target.entry.life > chosen.life)
    }

    /// Returns the targets of `service`.
    pub fn of_service<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(move |target| target.entry.service == *service)
    }

    /// Returns all targets, sorted by id.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Records that a target began to answer after `latency_ms`.
    pub fn succeeded(&mut self, now: TimeMs, chosen: &Chosen, latency_ms: u64) {
        let Some(target) = self.life_mut(&chosen.id, chosen.life) else { return };
        target.health.succeeded(now, latency_ms);
        let service = target.entry.service.clone();
        let usual_ms = self.usual_latency_ms(&service);
        let usual_ms = usual_ms + USUAL_SAMPLE_PART * (latency_ms as f64 - usual_ms);
        match self.usual_latency_ms.binary_search_by(|(name, _)| name.cmp(&service)) {
            Ok(index) => self.usual_latency_ms[index].1 = usual_ms,
            Err(index) => self.usual_latency_ms.insert(index, (service, usual_ms)),
        }
    }

    /// Records that a request failed at a target.
    pub fn failed(&mut self, now: TimeMs, chosen: &Chosen, failure: TargetFailure) {
        if let Some(target) = self.life_mut(&chosen.id, chosen.life) {
            target.health.failed(now, failure);
        }
    }

    /// Forgets the failures of all targets, because this host was cut off from them.
    pub fn forget_failures(&mut self) {
        for target in &mut self.targets {
            target.health.forget_failures();
        }
    }

    /// Records that a target rejected a request as full although it seemed to have a free slot.
    pub fn was_full(&mut self, now: TimeMs, chosen: &Chosen) {
        let service = self.target(&chosen.id).map(|target| target.entry.service.clone());
        let is_brittle = service.is_some_and(|service| self.is_brittle(now, &service));
        let pause_ms = if is_brittle { BRITTLE_FULL_PAUSE_MS } else { FULL_PAUSE_MS };
        if let Some(target) = self.life_mut(&chosen.id, chosen.life) {
            target.full_until = now + pause_ms;
        }
    }

    /// Records that a target refused a model or adapter that it seemed to hold.
    pub fn refused(
        &mut self,
        now: TimeMs,
        chosen: &Chosen,
        need: &TargetRequirements,
        pause_ms: u64,
    ) {
        let Some(target) = self.life_mut(&chosen.id, chosen.life) else { return };
        let Some(model) = &need.model else { return };
        if let Some(adapter) = &need.adapter {
            target.announce(ShortKey::of_adapter(model, adapter), false);
        } else {
            target.refused.retain(|(_, until)| now < *until);
            target.refused.push((model.clone(), now + pause_ms));
        }
    }

    /// Removes a target whose address now belongs to another process.
    pub fn misdirected(&mut self, now: TimeMs, chosen: &Chosen) {
        if let Ok(index) = self.position(&chosen.id)
            && self.targets[index].entry.life == chosen.life
        {
            self.remove(now, index);
        }
    }

    /// Returns whether an entry differs from the known one in more than the models and adapters it
    /// lists.
    pub fn is_other(&self, entry: &TargetEntry) -> bool {
        let Some(Target { entry: known, .. }) = self.target(&entry.id) else { return true };
        let is_leaving = |entry: &TargetEntry| entry.state != TargetState::Ready;
        (known.life, known.address, known.slots) != (entry.life, entry.address, entry.slots)
            || (&known.service, &known.failure_domain) != (&entry.service, &entry.failure_domain)
            || is_leaving(known) != is_leaving(entry)
            || (known.cold_remaining_ms > 0) != (entry.cold_remaining_ms > 0)
    }

    /// Returns the listed targets that are missing from `entries`.
    pub fn missing_from(&self, entries: &[TargetEntry]) -> Vec<Name> {
        let mut listed: Vec<&Name> = entries.iter().map(|entry| &entry.id).collect();
        listed.sort_unstable();
        let is_missing = |target: &&Target| {
            target.forget_at.is_none() && listed.binary_search(&&target.entry.id).is_err()
        };
        self.targets.iter().filter(is_missing).map(|target| target.entry.id.clone()).collect()
    }

    /// Stores the residency that an engine reported directly, which is newer than its entry.
    pub fn reported(&mut self, id: &str, life: u64, residency: Residency) {
        if let Some(target) = self.life_mut(id, life) {
            target.entry.residency = residency;
        }
    }

    /// Clears all announcements, since another host now manages placements.
    pub fn clear_announced(&mut self) {
        for target in &mut self.targets {
            target.announced.clear();
        }
    }

    /// Records whether a target can run requests for a model or adapter.
    pub fn announce(&mut self, target: ShortKey, name: ShortKey, is_ready: bool) {
        if let Some(target) = self.targets.iter_mut().find(|known| known.key == target) {
            target.announce(name, is_ready);
        }
    }

    fn usual_latency_ms(&self, service: &Name) -> f64 {
        let found = self.usual_latency_ms.binary_search_by(|(name, _)| name.cmp(service));
        found.map_or(USUAL_MS, |index| self.usual_latency_ms[index].1)
    }

    fn life_mut(&mut self, id: &str, life: u64) -> Option<&mut Target> {
        let index = self.position(id).ok()?;
        let target = &mut self.targets[index];
        (target.entry.life == life).then_some(target)
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.entry.id.as_str().cmp(id))
    }
}

impl Target {
    fn new(entry: TargetEntry, key: ShortKey, belief: TargetBelief) -> Target {
        Target {
            entry,
            key,
            belief,
            health: TargetHealth::default(),
            silence: TargetSilence::default(),
            running_here: Vec::new(),
            running_elsewhere: Vec::new(),
            announced: Vec::new(),
            full_until: TimeMs::default(),
            is_evacuated: false,
            cold: None,
            forget_at: None,
            refused: Vec::new(),
        }
    }
}
