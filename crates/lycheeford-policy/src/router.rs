use std::borrow::Cow;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name_table::NameTable;
use crate::prefix_cache::PrefixCache;
use crate::{Name, TimeMs};

/// Spreads small seeds over the whole range.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// How long a load report is used after it was received.
const LOAD_FRESH_MS: u64 = 5_000;
/// How many requests more than the less loaded of the two random replicas a target with a cached
/// prefix may have, beyond a quarter of that replica's load.
const AFFINITY_SLACK_REQUESTS: u32 = 2;

/// Chooses the target that serves a request.
///
/// Engines report their load late, so the router adds the requests that it has itself started since
/// the report. It picks the less loaded of two random replicas, so that hosts with the same late
/// reports do not all pick the same target. The target that served the longest prefix of the prompt
/// has that prefix cached and is preferred while it is not much busier.
#[derive(Debug, Default)]
pub struct Router {
    names: NameTable<Vec<u32>>,
    targets: NameTable<RoutedTarget>,
    prefixes: PrefixCache,
    choices: u64,
}

#[derive(Debug, Default)]
struct RoutedTarget {
    running_here: u32,
    started_since_report: u32,
    reported_requests: u32,
    reported_at: TimeMs,
}

impl Router {
    /// Returns a router without any replica, whose random choices follow seed 0.
    pub fn new() -> Router {
        Router::default()
    }

    /// Returns a router whose random choices follow `seed`.
    ///
    /// Hosts need different seeds: with the same late reports and the same random choices they
    /// would all pick the same target.
    pub fn with_seed(seed: u64) -> Router {
        Router { choices: seed.wrapping_mul(SEED_FACTOR), ..Router::default() }
    }

    /// Records that `target` serves `name`.
    pub fn set_replica(&mut self, name: &str, target: &str) {
        let target_id = self.targets.find_or_insert(target);
        let name_id = self.names.find_or_insert(name);
        let Some(replicas) = self.names.get_mut(name_id) else { return };
        if let Err(index) = replicas.binary_search(&target_id) {
            replicas.insert(index, target_id);
        }
    }

    /// Records that `target` no longer serves `name`.
    pub fn remove_replica(&mut self, name: &str, target: &str) {
        let Some(target_id) = self.targets.find(target) else { return };
        let Some(name_id) = self.names.find(name) else { return };
        let Some(replicas) = self.names.get_mut(name_id) else { return };
        if let Ok(index) = replicas.binary_search(&target_id) {
            replicas.remove(index);
        }
        if replicas.is_empty() {
            self.names.remove(name_id);
        }
    }

    /// Removes a target with its replicas.
    pub fn remove_target(&mut self, target: &str) {
        let Some(target_id) = self.targets.find(target) else { return };
        for name_id in self.names.ids().collect::<Vec<_>>() {
            let Some(replicas) = self.names.get_mut(name_id) else { continue };
            replicas.retain(|replica| *replica != target_id);
            if replicas.is_empty() {
                self.names.remove(name_id);
            }
        }
        self.targets.remove(target_id);
    }

    /// Returns whether a replica of `name` is known.
    pub fn is_ready(&self, name: &str) -> bool {
        self.names.find(name).is_some()
    }

    /// Chooses the target for a request, or returns `None` if no replica is known or all are
    /// excluded.
    ///
    /// `prompt_prefix_hashes` are the hashes of prefixes of the prompt, the shortest prefix first.
    /// `excluded` are the targets that have already failed the request.
    pub fn choose(
        &mut self,
        now: TimeMs,
        name: &str,
        prompt_prefix_hashes: &[u64],
        excluded: &[Name],
    ) -> Option<Name> {
        self.choices = self.choices.wrapping_add(1);
        let mut replicas = Cow::from(self.names.get(self.names.find(name)?)?.as_slice());
        if !excluded.is_empty() {
            let is_excluded = |id| self.targets.name(id).is_none_or(|name| excluded.contains(name));
            replicas.to_mut().retain(|id| !is_excluded(*id));
        }
        let other = self.less_loaded_of_two(now, &replicas)?;
        let chosen =
            self.prefix_match(now, &replicas, prompt_prefix_hashes, other).unwrap_or(other);
        for hash in prompt_prefix_hashes {
            self.prefixes.insert(*hash, chosen);
        }
        self.targets.name(chosen).cloned()
    }

    /// Records that a request was sent to `target`.
    pub fn started(&mut self, target: &str) {
        let Some(id) = self.targets.find(target) else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        target.running_here += 1;
        target.started_since_report += 1;
    }

    /// Records that a request at `target` ended.
    pub fn finished(&mut self, target: &str) {
        let Some(id) = self.targets.find(target) else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        target.running_here = target.running_here.saturating_sub(1);
    }

    /// Records the load that `target` reported; the report lags behind the actual load.
    pub fn observe_load(&mut self, now: TimeMs, target: &str, running: u32, queued: u32) {
        let Some(id) = self.targets.find(target) else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        target.reported_requests = running.saturating_add(queued);
        target.reported_at = now;
        target.started_since_report = 0;
    }

    fn load(&self, now: TimeMs, id: u32) -> u32 {
        let Some(target) = self.targets.get(id) else { return u32::MAX };
        if now.since_ms(target.reported_at) > LOAD_FRESH_MS {
            return target.running_here;
        }
        target
            .running_here
            .max(target.reported_requests.saturating_add(target.started_since_report))
    }

    /// Returns the replica that served the longest prefix, unless it is much busier than `other`.
    fn prefix_match(
        &self,
        now: TimeMs,
        replicas: &[u32],
        hashes: &[u64],
        other: u32,
    ) -> Option<u32> {
        let least = self.load(now, other);
        let limit = least + least / 4 + AFFINITY_SLACK_REQUESTS;
        hashes
            .iter()
            .rev()
            .filter_map(|hash| self.prefixes.target(*hash))
            .filter(|id| replicas.binary_search(id).is_ok())
            .find(|id| self.load(now, *id) <= limit)
    }

    fn less_loaded_of_two(&self, now: TimeMs, replicas: &[u32]) -> Option<u32> {
        let len = replicas.len() as u64;
        if len == 0 {
            return None;
        }
        let hash = xxh3_64_with_seed(&self.choices.to_le_bytes(), 0);
        let first = hash % len;
        let second = (first + 1 + (hash >> 32) % (len - 1).max(1)) % len;
        let (first, second) = (replicas[first as usize], replicas[second as usize]);
        Some(if self.load(now, second) < self.load(now, first) { second } else { first })
    }
}
