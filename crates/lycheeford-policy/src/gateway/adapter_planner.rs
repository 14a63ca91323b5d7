use super::placement_log::PlacementLog;
use super::short_key::ShortKey;
use crate::{Name, TimeMs};

/// Adapters on their way to one engine at once.
const COMING_PER_ENGINE_MAX: usize = 4;
/// Adapters on their way over all engines; more slow each other down.
const COMING_MAX: usize = 30;
/// How long an adapter takes until requests for it can run.
const COMING_MS: u64 = 15;
/// How long an adapter must have been idle to make way while others are older.
const IDLE_MS: u64 = 300;

/// An adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterWant {
    /// The model.
    pub model: Name,
    /// The adapter on it.
    pub adapter: Name,
}

impl AdapterWant {
    /// Returns the key under which hosts tell each other of it.
    pub fn key(&self) -> ShortKey {
        ShortKey::of_adapter(&self.model, &self.adapter)
    }
}

/// An engine as far as adapters go.
#[derive(Debug, Clone)]
pub struct AdapterEngine {
    /// The engine's id.
    pub id: Name,
    /// Memory for weights that nothing takes, in megabytes.
    pub free_mb: u64,
    /// The part of its places that is taken.
    pub crowd: f64,
}

/// What should be ordered of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load the wanted adapter.
    Load,
    /// Unload this one first.
    Unload(AdapterWant),
}

/// Decides which adapters are held where.
///
/// There are more adapters than places, a load takes milliseconds, and engines
/// don't announce it in the store. So the holder of orders keeps the table and
/// tells the others by a [`PlacementLog`].
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
    /// Returns what to order for `want`, or `None` if it is there, coming, or can't be had now.
    ///
    /// `engines` hold the model and may get orders.
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
        let coming = self.held.iter().filter(|held| now < held.ready_at);
        if coming.count() >= COMING_MAX {
            return None;
        }
        let free = engines.iter().filter(|engine| {
            let at = self.held.iter().filter(|held| held.engine == engine.id);
            let coming = at.filter(|held| now < held.ready_at).count();
            coming < COMING_PER_ENGINE_MAX
        });
        let best = free.min_by(|left, right| {
            let order = |engine: &AdapterEngine| {
                (self.count(&engine.id) as f64 / f64::from(adapters_max.max(1))) + engine.crowd
            };
            order(left).total_cmp(&order(right))
        })?;
        let has_place = self.count(&best.id) < adapters_max as usize && best.free_mb >= adapter_mb;
        if has_place {
            return Some((best.id.clone(), AdapterStep::Load));
        }
        let at = self.held.iter().filter(|held| held.engine == best.id);
        let oldest = at
            .filter(|held| now.since_ms(held.used_at) >= IDLE_MS && now >= held.ready_at)
            .min_by_key(|held| held.used_at)?;
        Some((best.id.clone(), AdapterStep::Unload(oldest.want.clone())))
    }

    /// Takes in that an engine took the order to load an adapter.
    pub fn ordered(&mut self, now: TimeMs, engine: &Name, want: &AdapterWant) {
        self.held.retain(|held| held.engine != *engine || held.want != *want);
        let ready_at = now + COMING_MS;
        let (engine, want) = (engine.clone(), want.clone());
        self.held.push(HeldAdapter { engine, want, ready_at, used_at: now });
    }

    /// Notes the adapters that are ready since the last call; returns whether there are any.
    pub fn announce(&self, now: TimeMs, log: &mut PlacementLog) -> bool {
        let mut has_news = false;
        for held in self.held.iter().filter(|held| now >= held.ready_at) {
            has_news |= log.note(&held.engine, held.want.key(), true);
        }
        has_news
    }

    /// Takes in that an adapter is gone from an engine, or isn't there although it should be.
    pub fn dropped(&mut self, engine: &Name, want: &AdapterWant, log: &mut PlacementLog) {
        let before = self.held.len();
        self.held.retain(|held| held.engine != *engine || held.want != *want);
        if self.held.len() < before {
            log.note(engine, want.key(), false);
        }
    }

    /// Takes in that an engine dropped a model, or everything, with its adapters.
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

    /// Takes over what an engine reports that it holds.
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

    /// Takes in that an adapter was asked for.
    pub fn used(&mut self, now: TimeMs, adapter: ShortKey) {
        for held in &mut self.held {
            if held.want.key() == adapter {
                held.used_at = now;
            }
        }
    }

    /// Returns the engines and adapters that are held, for the engines' free memory.
    pub fn held_at<'a>(&'a self, engine: &'a Name) -> impl Iterator<Item = &'a AdapterWant> {
        self.held.iter().filter(move |held| held.engine == *engine).map(|held| &held.want)
    }

    fn count(&self, engine: &Name) -> usize {
        self.held.iter().filter(|held| held.engine == *engine).count()
    }
}
