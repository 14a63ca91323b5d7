use super::deployment::{EngineLimits, EngineModel};
use super::short_key::ShortKey;
use crate::{Name, TimeMs};

/// Duration of the unload of an idle model, including the answer.
const UNLOAD_MS: f64 = 25.0;
/// Additional duration of an unload that waits for running requests.
const UNLOAD_RUNNING_MS: f64 = 350.0;
/// Maximum cost of loading an evicted model again.
const RELOAD_MS: f64 = 700.0;
/// Idle time after which keeping a model is worth a third as much.
const VALUE_DECAY_MS: f64 = 4_000.0;
/// Request rate from which a model is kept at several engines.
const BUSY_PER_S: f64 = 2.0;
/// Fraction of an engine's slots that one busy model should use.
const BUSY_PART: f64 = 0.15;
/// Fraction of an engine's slots beyond which waiting requests get another replica.
const FULL_PART: f64 = 0.6;
/// Additional load time at an engine whose slots are all in use.
const UTILIZATION_MS: f64 = 150.0;
/// Additional cost of a rate-limited engine in milliseconds, so that others are preferred.
const LIMITED_MS: f64 = 400.0;
/// Fraction of the store's load rate that is used, since the starts of loads are counted elsewhere
/// and with a delay.
const STORE_RATE_PART: f64 = 0.85;
/// Burst of loads from the store, in seconds of its rate.
const STORE_BURST_S: f64 = 3.0;
/// Maximum number of concurrent loads from the store; more loads would only slow each other down.
const STORE_LOADS_MAX: usize = 4;
/// How long requests wait for an engine that has the weights in memory or on disk before the model
/// is loaded from the store.
const LOCAL_WEIGHTS_WAIT_MS_MAX: u64 = 3_000;
/// Pause between two loads for which no request waits.
const SPARE_PAUSE_MS: u64 = 150;
/// How long a model must have been idle to be evicted for a spare replica.
const SPARE_IDLE_MS: u64 = 4_000;
/// How recently a model must have been requested to be moved off a leaving engine.
const RECENTLY_ASKED_MS: u64 = 8_000;
/// Weight of a model without a ready engine, in seconds of its request rate.
const RATE_WEIGHT_S: f64 = 2.0;
/// Weight of one more engine for a busy model, in seconds of its request rate.
const SPARE_WEIGHT_S: f64 = 0.3;
/// Waiting time that weighs as much as one more waiting request.
const AGE_WEIGHT_MS: f64 = 500.0;
/// Expected wait for an engine that has the weights in memory or on disk but carries out other
/// work.
const LOCAL_WEIGHTS_WAIT_MS: u64 = 900;
/// Usual time until a model that is in use may be evicted.
const EVICTABLE_MS: u64 = 400;
/// How long no engine must have room for a model before its requests are told so. Room is often
/// missing only until the requests that wait for a model that was just loaded have been sent.
const NO_ROOM_MS: u64 = 100;
/// How long it is remembered since when no engine has room for a model that no request waits for.
const NO_ROOM_KEPT_MS: u64 = 2_000;
const MS_PER_S: f64 = 1_000.0;

/// An engine as seen by the planner.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Id of the engine.
    pub id: Name,
    /// Key of the software version that the engine runs.
    pub version: ShortKey,
    /// Whether the engine may receive orders for new models.
    pub is_ready: bool,
    /// Whether the engine's rate limit is lower than the rate that its slots could serve.
    pub is_limited: bool,
    /// Memory for weights that is used neither by residents, nor by adapters, nor by the model that
    /// is being loaded, in megabytes.
    pub free_mb: u64,
    /// Fraction of the engine's slots that is in use.
    pub utilization: f64,
    /// Models that the engine holds, without the one that it is loading.
    pub residents: Vec<ResidentView>,
    /// Models whose weights are in the engine's host memory, sorted.
    pub in_memory: Vec<Name>,
    /// Models whose weights are on the engine's disk, sorted.
    pub on_disk: Vec<Name>,
    /// Order that the engine carries out now, if any.
    pub operation: Option<EngineOperation>,
}

/// A model at an engine.
#[derive(Debug, Clone)]
pub struct ResidentView {
    /// Name of the model.
    pub model: Name,
    /// Memory that the weights of the model use, without its adapters, in megabytes.
    pub weights_mb: u64,
    /// Number of requests that run the model at this engine.
    pub running: u32,
}

/// An order that an engine carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOperation {
    /// Loads this model.
    Load(Name),
    /// Unloads a model to make room for another one.
    Unload {
        /// Model to unload.
        model: Name,
        /// Model to load afterwards.
        room_for: Name,
    },
    /// The operation is unknown.
    Unknown,
}

/// Demand for a model over all hosts.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    /// Name of the model.
    pub model: Name,
    /// Software version that the engine must run; `None` for the requests that accept any.
    pub version: Option<ShortKey>,
    /// Number of requests that wait because no engine holds the model or has a free slot.
    pub waiting: u32,
    /// How long the oldest of them has waited.
    pub oldest_ms: u64,
    /// The most urgent priority among them; 0 is served first.
    pub priority: u8,
    /// Rate of requests for the model, per second.
    pub rate_per_s: f64,
    /// Number of running requests for the model.
    pub running: u32,
    /// When the model was last requested.
    pub asked_at: TimeMs,
    /// Whether requests were told when the model would be ready.
    pub is_promised: bool,
}

/// Result of a planning round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SwapPlan {
    /// Orders to give now, at most one per engine.
    pub orders: Vec<SwapOrder>,
    /// Models that receive no order yet, with the expected remaining wait in milliseconds.
    pub waits: Vec<(Name, u64)>,
    /// Models that no engine holds and none has had room for during some time, with the least time
    /// in milliseconds until a load could be done.
    pub no_room: Vec<(Name, u64)>,
}

/// An order for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapOrder {
    /// Id of the engine.
    pub engine: Name,
    /// Action that the engine should carry out.
    pub action: SwapAction,
}

/// Action that an order requests of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapAction {
    /// Load a model.
    Load {
        /// Model to load.
        model: Name,
        /// Expected duration of the load.
        load_ms: u64,
    },
    /// Unload a model.
    Unload {
        /// Model to unload.
        model: Name,
        /// Model to load next.
        room_for: Name,
    },
}

/// Decides which models engines load and which are evicted.
///
/// Nearly half of all requests are for models that do not fit into engine memory all at once, each
/// requested every few seconds. The normal way of serving these models is to swap them through host
/// memory and disk in half a second. So for each model that requests wait for, the planner compares
/// how soon each engine could run it and which models would be evicted, and gives each engine one
/// order at a time.
#[derive(Debug, Clone)]
pub struct SwapPlanner {
    store_loads: f64,
    refilled_at: TimeMs,
    /// When the loads from the store that may still run will end.
    store_loads_until: Vec<TimeMs>,
    spare_at: TimeMs,
    /// The models that no engine has room for, each with the times since when and at which that was
    /// last found; sorted by model.
    no_room: Vec<(Name, TimeMs, TimeMs)>,
}

impl SwapPlanner {
    /// Returns a planner that at first allows no load from the store, since after a takeover the
    /// store's rate may be used up.
    pub fn new(now: TimeMs) -> SwapPlanner {
        SwapPlanner {
            store_loads: 0.0,
            refilled_at: now,
            store_loads_until: Vec::new(),
            spare_at: TimeMs::default(),
            no_room: Vec::new(),
        }
    }

    /// Decides which orders to give now.
    ///
    /// Models are ordered by the requests that wait for them: a model that many requests wait for
    /// and no engine holds precedes a model with a single request, also when the weight store is
    /// the bottleneck. Only a model whose requests wait since they were told when it would be ready
    /// isn't preceded by models of the same or a less urgent priority whose requests weren't.
    pub fn plan(
        &mut self,
        now: TimeMs,
        limits: &EngineLimits,
        slots: u32,
        engines: &[EngineView],
        demands: &[ModelDemand],
    ) -> SwapPlan {
        self.refill(now, limits);
        let mut round = PlanningRound { now, slots, engines, demands, ordered_engines: Vec::new() };
        let mut plan = SwapPlan::default();
        let mut waits_for_store = 0;
        self.no_room.retain(|(_, _, found_at)| now.since_ms(*found_at) < NO_ROOM_KEPT_MS);
        for (demand, urgency) in round.needs() {
            let Some(model) = limits.model(&demand.model) else { continue };
            if urgency == Urgency::Spare && now.since_ms(self.spare_at) < SPARE_PAUSE_MS {
                continue;
            }
            if let Some(order) = self.choose(&round, model, demand, urgency) {
                self.forget_no_room(&demand.model);
                if urgency == Urgency::Spare {
                    self.spare_at = now;
                }
                round.ordered_engines.push(order.engine.clone());
                plan.orders.push(order);
            } else if demand.waiting > 0 {
                match self.wait_ms(&round, limits, model, demand, &mut waits_for_store) {
                    Some(wait_ms) => {
                        self.forget_no_room(&demand.model);
                        plan.waits.push((demand.model.clone(), wait_ms));
                    }
                    None => plan.no_room.extend(self.no_room(&round, model, demand)),
                }
            }
        }
        plan
    }

    /// Returns how long a model that gets no order yet is expected to wait, if an engine has room
    /// for it or carries out another order.
    fn wait_ms(
        &self,
        round: &PlanningRound<'_>,
        limits: &EngineLimits,
        model: &EngineModel,
        demand: &ModelDemand,
        waits_for_store: &mut usize,
    ) -> Option<u64> {
        let is_busy = demand.rate_per_s >= BUSY_PER_S;
        let (mut local_ms, mut has_room_for_store) = (None, false);
        for engine in round.engines.iter().filter(|engine| may_load(engine, demand)) {
            let tier = Tier::of(engine, &model.name);
            if engine.is_limited && (is_busy || tier == Tier::Store) {
                continue;
            }
            let is_free = engine.operation.is_none() && !round.ordered_engines.contains(&engine.id);
            if is_free && round.make_room(engine, model, Urgency::Waiting).is_none() {
                continue;
            }
            if tier == Tier::Store {
                has_room_for_store = true;
                continue;
            }
            let wait_ms = LOCAL_WEIGHTS_WAIT_MS.max(EVICTABLE_MS + tier.load_ms(model));
            local_ms = Some(local_ms.map_or(wait_ms, |least_ms: u64| least_ms.min(wait_ms)));
        }
        if local_ms.is_some() || !has_room_for_store {
            return local_ms;
        }
        let ahead = *waits_for_store;
        *waits_for_store += 1;
        let start_ms = if round.has_local_weights(demand) {
            LOCAL_WEIGHTS_WAIT_MS_MAX.saturating_sub(demand.oldest_ms)
        } else {
            0
        };
        let rate_per_s = limits.store_loads_per_s * STORE_RATE_PART;
        let missing_loads = ((ahead + 1) as f64 - self.store_loads).max(0.0);
        if missing_loads > 0.0 && rate_per_s <= 0.0 {
            return None;
        }
        let refill_ms = if missing_loads > 0.0 {
            (missing_loads / rate_per_s * MS_PER_S).ceil() as u64
        } else {
            0
        };
        let load_ms = model.load_store_ms;
        let turn_ms = self.store_wait_ms(round.now, ahead, load_ms);
        Some(turn_ms.max(start_ms.max(refill_ms) + load_ms))
    }

    /// Records that no engine has room for a model; returns the model with the least time until a
    /// load could be done, if that has been so for some time.
    ///
    /// A model that some engine holds isn't lacking, and without an engine that takes orders nothing
    /// is known.
    fn no_room(
        &mut self,
        round: &PlanningRound<'_>,
        model: &EngineModel,
        demand: &ModelDemand,
    ) -> Option<(Name, u64)> {
        let now = round.now;
        let is_held = round.engines.iter().any(|engine| holds(engine, &demand.model));
        let usable = round.engines.iter().filter(|engine| may_load(engine, demand));
        let load_ms = usable.map(|engine| Tier::of(engine, &model.name).load_ms(model)).min()?;
        if is_held || demand.version.is_some() {
            return None;
        }
        let found = self.no_room.binary_search_by(|(known, ..)| known.cmp(&demand.model));
        let index = found.unwrap_or_else(|index| {
            self.no_room.insert(index, (demand.model.clone(), now, now));
            index
        });
        let (_, since, found_at) = &mut self.no_room[index];
        *found_at = now;
        (now.since_ms(*since) >= NO_ROOM_MS).then(|| (demand.model.clone(), EVICTABLE_MS + load_ms))
    }

    fn forget_no_room(&mut self, model: &Name) {
        if let Ok(index) = self.no_room.binary_search_by(|(known, ..)| known.cmp(model)) {
            self.no_room.remove(index);
        }
    }

    fn choose(
        &mut self,
        round: &PlanningRound<'_>,
        model: &EngineModel,
        demand: &ModelDemand,
        urgency: Urgency,
    ) -> Option<SwapOrder> {
        let is_busy = demand.rate_per_s >= BUSY_PER_S;
        let has_local_weights = round.has_local_weights(demand);
        let can_use_store = self.store_loads >= 1.0
            && self.store_loads_until.len() < STORE_LOADS_MAX
            && (!has_local_weights || demand.oldest_ms > LOCAL_WEIGHTS_WAIT_MS_MAX);
        let mut best: Option<(f64, SwapOrder, Tier)> = None;
        for engine in round.free_engines(demand) {
            let tier = Tier::of(engine, &model.name);
            if tier == Tier::Store && !can_use_store {
                continue;
            }
            // If only a limited engine has the weights in memory or on disk, loading there is
            // better than waiting for the store.
            if engine.is_limited && (is_busy || tier == Tier::Store) {
                continue;
            }
            let load_ms = tier.load_ms(model);
            let Some((room_ms, victim)) = round.make_room(engine, model, urgency) else {
                continue;
            };
            let limited_ms = if engine.is_limited { LIMITED_MS } else { 0.0 };
            let cost_ms =
                load_ms as f64 + room_ms + engine.utilization * UTILIZATION_MS + limited_ms;
            if best.as_ref().is_none_or(|(least_ms, ..)| cost_ms < *least_ms) {
                let action = match victim {
                    Some(victim) => {
                        SwapAction::Unload { model: victim, room_for: model.name.clone() }
                    }
                    None => SwapAction::Load { model: model.name.clone(), load_ms },
                };
                let order = SwapOrder { engine: engine.id.clone(), action };
                best = Some((cost_ms, order, tier));
            }
        }
        let (_, order, tier) = best?;
        if tier == Tier::Store && matches!(order.action, SwapAction::Load { .. }) {
            self.store_loads -= 1.0;
            self.store_loads_until.push(round.now + model.load_store_ms);
        }
        Some(order)
    }

    /// Returns how long a model waits for its load from the store, after `ahead` other loads.
    fn store_wait_ms(&self, now: TimeMs, ahead: usize, load_ms: u64) -> u64 {
        let mut free_at = self.store_loads_until.clone();
        free_at.resize(free_at.len().max(STORE_LOADS_MAX), now);
        free_at.sort();
        let first_at = free_at[ahead % STORE_LOADS_MAX];
        let rounds = (ahead / STORE_LOADS_MAX) as u64;
        first_at.since_ms(now) + load_ms * (rounds + 1)
    }

    fn refill(&mut self, now: TimeMs, limits: &EngineLimits) {
        let elapsed_s = now.since_ms(self.refilled_at) as f64 / MS_PER_S;
        self.refilled_at = now;
        let rate_per_s = limits.store_loads_per_s * STORE_RATE_PART;
        self.store_loads =
            (self.store_loads + rate_per_s * elapsed_s).min(rate_per_s * STORE_BURST_S);
        self.store_loads_until.retain(|until| now < *until);
    }
}

/// Whether requests wait for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Urgency {
    Waiting,
    Spare,
}

/// Nearest location from which an engine can load the weights of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tier {
    Memory,
    Disk,
    Store,
}

impl Tier {
    fn of(engine: &EngineView, model: &Name) -> Tier {
        if engine.in_memory.binary_search(model).is_ok() {
            Tier::Memory
        } else if engine.on_disk.binary_search(model).is_ok() {
            Tier::Disk
        } else {
            Tier::Store
        }
    }

    fn load_ms(self, model: &EngineModel) -> u64 {
        match self {
            Tier::Memory => model.load_memory_ms,
            Tier::Disk => model.load_disk_ms,
            Tier::Store => model.load_store_ms,
        }
    }
}

/// Input of one planning round, with the engines that already received an order.
struct PlanningRound<'a> {
    now: TimeMs,
    slots: u32,
    engines: &'a [EngineView],
    demands: &'a [ModelDemand],
    /// Engines that received an order in this round.
    ordered_engines: Vec<Name>,
}

impl<'a> PlanningRound<'a> {
    /// Returns the models that need one more engine, in descending order of weight.
    fn needs(&self) -> Vec<(&'a ModelDemand, Urgency)> {
        let weighted = |demand: &'a ModelDemand| {
            let (weight, urgency) = self.need(demand)?;
            Some((weight / (1.0 + f64::from(demand.priority.min(9)) / 2.0), demand, urgency))
        };
        let mut needs: Vec<_> = self.demands.iter().filter_map(weighted).collect();
        let heaviest = |needs: &[(f64, &ModelDemand, Urgency)], priority: u8| {
            let later = needs.iter().filter(|(_, demand, urgency)| {
                *urgency == Urgency::Waiting && !demand.is_promised && demand.priority >= priority
            });
            later.map(|(weight, ..)| *weight).fold(0.0, f64::max)
        };
        let weights: Vec<f64> = needs
            .iter()
            .map(|(weight, demand, urgency)| {
                let is_bound = demand.is_promised && *urgency == Urgency::Waiting;
                if is_bound { weight.max(heaviest(&needs, demand.priority)) } else { *weight }
            })
            .collect();
        for (need, weight) in needs.iter_mut().zip(weights) {
            need.0 = weight;
        }
        needs.sort_by(|left, right| {
            right.0.total_cmp(&left.0).then(right.1.is_promised.cmp(&left.1.is_promised))
        });
        needs.into_iter().map(|(_, demand, urgency)| (demand, urgency)).collect()
    }

    /// Returns the weight and urgency of one more engine for a model, if it needs one.
    fn need(&self, demand: &ModelDemand) -> Option<(f64, Urgency)> {
        if self.pending_loads(demand) > 0 {
            return None;
        }
        let waiting = f64::from(demand.waiting) + demand.oldest_ms as f64 / AGE_WEIGHT_MS;
        let rate_weight = demand.rate_per_s * RATE_WEIGHT_S;
        let unlimited = self.unlimited_replicas(demand);
        if unlimited == 0 && demand.waiting > 0 {
            return Some((waiting + rate_weight, Urgency::Waiting));
        }
        let replicas = self.replicas(demand);
        if replicas == 0 {
            let urgency =
                if demand.rate_per_s >= BUSY_PER_S { Urgency::Waiting } else { Urgency::Spare };
            return self.is_on_leaving_engines(demand).then_some((rate_weight, urgency));
        }
        let usable_slots = (f64::from(self.slots) * FULL_PART).max(1.0);
        let wanted = f64::from(demand.running + demand.waiting) / usable_slots;
        if demand.waiting > 0 && wanted > unlimited as f64 {
            return Some((waiting, Urgency::Waiting));
        }
        let needs_replica = replicas < self.replicas_wanted(demand);
        needs_replica.then_some((demand.rate_per_s * SPARE_WEIGHT_S, Urgency::Spare))
    }

    /// Returns whether a recently requested model is held by an engine that accepts no orders for
    /// new models, for example since it is leaving.
    fn is_on_leaving_engines(&self, demand: &ModelDemand) -> bool {
        let is_held =
            self.engines.iter().any(|engine| !engine.is_ready && holds(engine, &demand.model));
        is_held && self.now.since_ms(demand.asked_at) < RECENTLY_ASKED_MS
    }

    /// Returns whether another engine can load a model without the weight store. An engine that
    /// holds the model already has its weights, too, but can't become a further replica.
    fn has_local_weights(&self, demand: &ModelDemand) -> bool {
        let is_ready_with_weights = |engine: &EngineView| {
            engine.is_ready
                && accepts(demand, engine)
                && !holds(engine, &demand.model)
                && Tier::of(engine, &demand.model) != Tier::Store
        };
        self.engines.iter().any(is_ready_with_weights)
    }

    /// Returns the number of engines that should hold a model for its current load.
    fn replicas_wanted(&self, demand: &ModelDemand) -> usize {
        if demand.rate_per_s < BUSY_PER_S {
            return 1;
        }
        let usable_slots = (f64::from(self.slots) * BUSY_PART).max(1.0);
        let by_load = (f64::from(demand.running + demand.waiting) / usable_slots).ceil() as usize;
        by_load.max(2)
    }

    /// Returns the number of engines that hold a model and can serve its demand.
    ///
    /// A limited engine counts for a rarely requested model, so that no other model is evicted
    /// elsewhere for it.
    fn replicas(&self, demand: &ModelDemand) -> usize {
        self.engines.iter().filter(|engine| serves(engine, demand)).count()
    }

    fn unlimited_replicas(&self, demand: &ModelDemand) -> usize {
        let is_unlimited_replica = |engine: &&EngineView| {
            engine.is_ready
                && !engine.is_limited
                && accepts(demand, engine)
                && holds(engine, &demand.model)
        };
        self.engines.iter().filter(is_unlimited_replica).count()
    }

    fn pending_loads(&self, demand: &ModelDemand) -> usize {
        let is_loading_model = |engine: &&EngineView| match &engine.operation {
            Some(EngineOperation::Load(loading)) => *loading == demand.model,
            Some(EngineOperation::Unload { room_for, .. }) => *room_for == demand.model,
            _ => false,
        };
        let is_loading_model =
            |engine: &&EngineView| accepts(demand, engine) && is_loading_model(engine);
        self.engines.iter().filter(is_loading_model).count()
    }

    fn free_engines(&self, demand: &'a ModelDemand) -> impl Iterator<Item = &'a EngineView> {
        self.engines.iter().filter(move |engine| {
            engine.is_ready
                && engine.operation.is_none()
                && accepts(demand, engine)
                && !holds(engine, &demand.model)
                && !self.ordered_engines.contains(&engine.id)
        })
    }

    /// Returns the cost of making room for `model`, and the model that must be unloaded first, if
    /// any.
    fn make_room(
        &self,
        engine: &EngineView,
        model: &EngineModel,
        urgency: Urgency,
    ) -> Option<(f64, Option<Name>)> {
        let mut missing_mb = model.weights_mb.saturating_sub(engine.free_mb);
        if missing_mb == 0 {
            return Some((0.0, None));
        }
        let mut victims: Vec<(f64, &ResidentView)> = engine
            .residents
            .iter()
            .filter_map(|resident| {
                Some((self.eviction_cost_ms(engine, resident, urgency)?, resident))
            })
            .collect();
        victims.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut cost_ms = 0.0;
        let first = victims.first()?.1.model.clone();
        for (eviction_cost_ms, victim) in victims {
            cost_ms += eviction_cost_ms + UNLOAD_MS;
            missing_mb = missing_mb.saturating_sub(victim.weights_mb);
            if missing_mb == 0 {
                return Some((cost_ms, Some(first)));
            }
        }
        None
    }

    /// Returns the cost of evicting a resident model, or `None` if the model must stay.
    fn eviction_cost_ms(
        &self,
        engine: &EngineView,
        resident: &ResidentView,
        urgency: Urgency,
    ) -> Option<f64> {
        let is_awaited = |demand: &ModelDemand| {
            demand.model == resident.model && demand.version == Some(engine.version)
        };
        if self.demands.iter().any(is_awaited) {
            return None;
        }
        let running_ms = if resident.running > 0 { UNLOAD_RUNNING_MS } else { 0.0 };
        let demand = self.demands.iter().find(|demand| demand.model == resident.model);
        let Some(demand) = demand else { return Some(running_ms) };
        let others = self.replicas(demand) - usize::from(serves(engine, demand));
        if others >= self.replicas_wanted(demand) {
            return Some(running_ms);
        }
        if demand.rate_per_s >= BUSY_PER_S || demand.waiting > 0 {
            return None;
        }
        let idle_ms = self.now.since_ms(demand.asked_at);
        if urgency == Urgency::Spare && (idle_ms < SPARE_IDLE_MS || resident.running > 0) {
            return None;
        }
        Some(running_ms + RELOAD_MS * (-(idle_ms as f64) / VALUE_DECAY_MS).exp())
    }
}

/// Returns whether an engine counts as a replica of a model.
fn serves(engine: &EngineView, demand: &ModelDemand) -> bool {
    let is_enough = !engine.is_limited || demand.rate_per_s < BUSY_PER_S;
    engine.is_ready && is_enough && accepts(demand, engine) && holds(engine, &demand.model)
}

/// Returns whether an engine may load a model, now or after its current order.
fn may_load(engine: &EngineView, demand: &ModelDemand) -> bool {
    engine.is_ready && accepts(demand, engine) && !holds(engine, &demand.model)
}

/// Returns whether the requests may run at the software version of an engine.
fn accepts(demand: &ModelDemand, engine: &EngineView) -> bool {
    demand.version.is_none_or(|version| version == engine.version)
}

fn holds(engine: &EngineView, model: &Name) -> bool {
    let unloading = match &engine.operation {
        Some(EngineOperation::Unload { model, .. }) => Some(model),
        _ => None,
    };
    unloading != Some(model) && engine.residents.iter().any(|resident| resident.model == *model)
}
