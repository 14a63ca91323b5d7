use super::placement_log::PlacementLog;
use super::short_key::ShortKey;
use crate::{Name, TimeMs};

/// Maximum number of adapters that one engine loads concurrently.
const LOADS_PER_ENGINE_MAX: usize = 4;
/// Maximum number of adapters that all engines load concurrently; more loads slow each other down.
const LOADS_MAX: usize = 30;
/// Time from the order until requests for an adapter can run.
const LOAD_MS: u64 = 15;
/// How long an adapter must have been idle to be evicted; the longest idle adapter goes first.
const IDLE_MS: u64 = 300;

/// An adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterWant {
    /// Name of the model.
    pub model: Name,
    /// Name of the adapter on the model.
    pub adapter: Name,
}

impl AdapterWant {
    /// Returns the key of the adapter in messages between hosts.
    pub fn key(&self) -> ShortKey {
        ShortKey::of_adapter(&self.model, &self.adapter)
    }
}

/// State of an engine that is relevant for adapters.
#[derive(Debug, Clone)]
pub struct AdapterEngine {
    /// Id of the engine.
    pub id: Name,
    /// Memory for weights that is free, in megabytes.
    pub free_mb: u64,
    /// Fraction of the engine's slots that is in use.
    pub utilization: f64,
}

/// Order to give to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load the requested adapter.
    Load,
    /// Unload this adapter first.
    Unload(AdapterWant),
}

/// Decides which engine holds which adapters.
///
/// There are more adapters than adapter slots, a load takes milliseconds, and engines do not
/// announce loads in the store. So the holder of the order lease keeps this table and reports
/// changes to the other hosts in a [`PlacementLog`].
#[derive(Debug, Default)]
pub struct AdapterPlanner {
    held: Vec<HeldAdapter>,
}

#[derive(Debug, Clone)]
struct HeldAdapter {
    engine: Name,
    want: AdapterWant,
    ready_at: TimeMs,
    used_at: TimeMs,
}

impl AdapterPlanner {
    /// Returns the order to give for `want`, or `None` if the adapter is held, is being loaded, or
    /// cannot be loaded now.
    ///
    /// `engines` are those that hold the model and may receive orders.
    pub fn plan(
        &self,
        now: TimeMs,
        want: &AdapterWant,
        engines: &[AdapterEngine],
        adapters_max: u32,
        adapter_mb: u64,
    ) -> Option<(Name, AdapterStep)> {
        let is_wanted = |held: &&HeldAdapter| {
            held.want == *want && engines.iter().any(|engine| engine.id == held.engine)
        };
        if self.held.iter().any(|held| is_wanted(&held)) {
            return None;
        }
        let loading = self.held.iter().filter(|held| now < held.ready_at);
        if loading.count() >= LOADS_MAX {
            return None;
        }
        let free = engines.iter().filter(|engine| {
            let at = self.held.iter().filter(|held| held.engine == engine.id);
            let loading = at.filter(|held| now < held.ready_at).count();
            loading < LOADS_PER_ENGINE_MAX
        });
        let best = free.min_by(|left, right| {
            let order = |engine: &AdapterEngine| {
                (self.count(&engine.id) as f64 / f64::from(adapters_max.max(1)))
                    + engine.utilization
            };
            order(left).total_cmp(&order(right))
        })?;
        let has_room = self.count(&best.id) < adapters_max as usize && best.free_mb >= adapter_mb;
        if has_room {
            return Some((best.id.clone(), AdapterStep::Load));
        }
        let at = self.held.iter().filter(|held| held.engine == best.id);
        let oldest = at
            .filter(|held| now.since_ms(held.used_at) >= IDLE_MS && now >= held.ready_at)
            .min_by_key(|held| held.used_at)?;
        Some((best.id.clone(), AdapterStep::Unload(oldest.want.clone())))
    }

    /// Records that an engine accepted the order to load an adapter.
    pub fn ordered(&mut self, now: TimeMs, engine: &Name, want: &AdapterWant) {
        self.held.retain(|held| held.engine != *engine || held.want != *want);
        let ready_at = now + LOAD_MS;
        let (engine, want) = (engine.clone(), want.clone());
        self.held.push(HeldAdapter { engine, want, ready_at, used_at: now });
    }

    /// Adds the adapters that have become ready to the log; returns whether any were added.
    pub fn announce(&self, now: TimeMs, log: &mut PlacementLog) -> bool {
        let mut has_changes = false;
        for held in self.held.iter().filter(|held| now >= held.ready_at) {
            has_changes |= log.note(&held.engine, held.want.key(), true);
        }
        has_changes
    }

    /// Records that an engine unloaded an adapter, or lacks an adapter that it should hold.
    pub fn dropped(&mut self, engine: &Name, want: &AdapterWant, log: &mut PlacementLog) {
        let before = self.held.len();
        self.held.retain(|held| held.engine != *engine || held.want != *want);
        if self.held.len() < before {
            log.note(engine, want.key(), false);
        }
    }

    /// Records that an engine unloaded a model with its adapters, or all models if `model` is
    /// `None`.
    pub fn dropped_all(&mut self, engine: &Name, model: Option<&Name>, log: &mut PlacementLog) {
        let gone: Vec<AdapterWant> = self
            .held
            .iter()
            .filter(|held| {
                held.engine == *engine && model.is_none_or(|model| held.want.model == *model)
            })
            .map(|held| held.want.clone())
            .collect();
        for want in gone {
            self.dropped(engine, &want, log);
        }
    }

    /// Replaces the adapters of an engine by those that it reported.
    pub fn reported(
        &mut self,
        now: TimeMs,
        engine: &Name,
        adapters: &[AdapterWant],
        log: &mut PlacementLog,
    ) {
        self.dropped_all(engine, None, log);
        for want in adapters {
            let (engine, want) = (engine.clone(), want.clone());
            self.held.push(HeldAdapter { engine, want, ready_at: now, used_at: now });
        }
    }

    /// Records that an adapter was requested.
    pub fn used(&mut self, now: TimeMs, adapter: ShortKey) {
        for held in &mut self.held {
            if held.want.key() == adapter {
                held.used_at = now;
            }
        }
    }

    /// Returns the adapters that an engine holds or loads, from which its free memory is computed.
    pub fn held_at<'a>(&'a self, engine: &'a Name) -> impl Iterator<Item = &'a AdapterWant> {
        self.held.iter().filter(move |held| held.engine == *engine).map(|held| &held.want)
    }

    fn count(&self, engine: &Name) -> usize {
        self.held.iter().filter(|held| held.engine == *engine).count()
    }
}
