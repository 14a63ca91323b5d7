use lycheeford_policy::{
    AdapterPlanner, AdapterWant, EngineLimits, EngineOperation, Name, OrderLease, PlacementLog,
    ShortKey, SwapPlanner, TargetTable, TimeMs,
};

use crate::membership::{LoadForecasts, RemainingLoad};
use crate::{Clock, GatewaySettings};

/// How long after the promised time the load of a model is still planned for callers that were
/// refused and told to come back at that time.
const PROMISE_GRACE_MS: u64 = 1_000;

/// The lease, the planners and the state of each engine.
#[derive(Debug)]
pub(crate) struct Orders {
    pub(crate) lease: OrderLease,
    pub(crate) adapters: AdapterPlanner,
    pub(crate) placements: PlacementLog,
    /// Sorted by service.
    planners: Vec<(Name, SwapPlanner)>,
    /// Sorted by engine.
    engines: Vec<EngineRecord>,
    /// When requests for each model are expected to be servable.
    ready_at: Vec<(Name, TimeMs)>,
    /// The models that can't be loaded now, and the earliest time at which a load could be done.
    no_room: Vec<(Name, TimeMs)>,
    /// The models of which requests were told when they would be ready, by service and model.
    promises: Vec<((Name, Name), Promise)>,
    /// The fencing token under which `engines` was recorded.
    token: Option<u64>,
    /// When that token was first used.
    token_since: TimeMs,
}

/// The load of a model for which requests were told to wait, or when to come back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Promise {
    /// The most urgent priority of the requests.
    pub(crate) priority: u8,
    until: TimeMs,
}

/// The state of one instance of an engine as far as orders are concerned.
#[derive(Debug)]
pub(crate) struct EngineRecord {
    engine: Name,
    life: u64,
    /// The number of orders that the engine has accepted.
    pub(crate) sequence: u64,
    /// The operation that the engine is carrying out, and when to query the engine about it.
    pub(crate) operation: Option<(EngineOperation, TimeMs)>,
    /// Whether an order or a query is in flight.
    pub(crate) has_call_in_flight: bool,
    /// The operation of an order in flight, which the planner counts as started.
    pub(crate) operation_in_flight: Option<EngineOperation>,
    /// When the engine must be queried. It gets no order before that.
    pub(crate) query_at: Option<TimeMs>,
    /// The models that the engine holds or may hold according to its orders and reports.
    ///
    /// Its entry in the store may be older, above all while the store is unavailable.
    pub(crate) assumed_models: Vec<Name>,
}

impl Orders {
    pub(crate) fn new(settings: &GatewaySettings, incarnation: u64) -> Orders {
        let lease = OrderLease::new(settings.host.clone(), incarnation, settings.order_lease_ms);
        let lease = lease.on_machine(settings.target_source);
        Orders {
            lease,
            adapters: AdapterPlanner::default(),
            placements: PlacementLog::default(),
            planners: Vec::new(),
            engines: Vec::new(),
            ready_at: Vec::new(),
            no_room: Vec::new(),
            promises: Vec::new(),
            token: None,
            token_since: TimeMs::default(),
        }
    }

    /// Returns the fencing token for orders sent now. A new token discards all engine state, since
    /// another host may have sent orders in between.
    pub(crate) fn token(&mut self, now: TimeMs) -> Option<u64> {
        let token = self.lease.token(now)?;
        if self.token != Some(token) {
            self.token = Some(token);
            self.token_since = now;
            self.ready_at.clear();
            self.no_room.clear();
            self.promises.clear();
            self.engines.clear();
            self.adapters = AdapterPlanner::default();
            self.placements = PlacementLog::default();
        }
        Some(token)
    }

    /// Records when requests for a model are expected to be servable.
    pub(crate) fn set_ready_at(&mut self, model: &Name, at: TimeMs) {
        self.ready_at.retain(|(known, _)| known != model);
        self.ready_at.push((model.clone(), at));
    }

    /// Returns the remaining wait of requests for each model, in milliseconds.
    pub(crate) fn remaining_waits(&self) -> Vec<(ShortKey, u64)> {
        let now = Clock.now();
        let wait = |(model, at): &(Name, TimeMs)| (ShortKey::of(model), at.since_ms(now));
        self.ready_at.iter().filter(|(_, at)| now < *at).map(wait).collect()
    }

    /// Replaces the models of a service that can't be loaded now.
    pub(crate) fn set_no_room(&mut self, limits: &EngineLimits, no_room: Vec<(Name, TimeMs)>) {
        self.no_room.retain(|(model, _)| limits.model(model).is_none());
        self.ready_at.retain(|(model, _)| !no_room.iter().any(|(other, _)| other == model));
        self.no_room.extend(no_room);
    }

    /// Returns the fencing token, how long it has been in use, and the time until each model is
    /// ready, if this host holds the lease.
    pub(crate) fn load_forecasts(&self, now: TimeMs) -> Option<LoadForecasts> {
        let (token, _, _) = self.lease.held(now)?;
        if self.token != Some(token) {
            return None;
        }
        let ready = self.ready_at.iter().filter(|(_, at)| now < *at).map(|(model, at)| {
            (ShortKey::of(model), RemainingLoad::Ready { in_ms: at.since_ms(now) })
        });
        let no_room = self.no_room.iter().filter(|(_, at)| now < *at).map(|(model, at)| {
            (ShortKey::of(model), RemainingLoad::NotBefore { in_ms: at.since_ms(now) })
        });
        let loads = ready.chain(no_room).collect();
        Some(LoadForecasts { token, held_ms: now.since_ms(self.token_since), loads })
    }

    /// Records that requests of a priority wait for a model, or come back for it, whose load is
    /// running or planned.
    pub(crate) fn promise(&mut self, service: &Name, model: &Name, priority: u8) {
        let ready_at = self.ready_at.iter().find(|(known, _)| known == model);
        let Some((_, ready_at)) = ready_at else { return };
        let until = *ready_at + PROMISE_GRACE_MS;
        let key = (service.clone(), model.clone());
        match self.promises.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(index) => {
                let promise = &mut self.promises[index].1;
                promise.priority = promise.priority.min(priority);
                promise.until = until;
            }
            Err(index) => self.promises.insert(index, (key, Promise { priority, until })),
        }
    }

    /// Returns the promise of a load, if there is one.
    pub(crate) fn promised(&self, now: TimeMs, service: &Name, model: &Name) -> Option<Promise> {
        let found = self
            .promises
            .binary_search_by(|((of, name), _)| (of, name).cmp(&(service, model)))
            .ok()?;
        let promise = self.promises[found].1;
        (now < promise.until).then_some(promise)
    }

    pub(crate) fn expire_promises(&mut self, now: TimeMs) {
        self.promises.retain(|(_, promise)| now < promise.until);
    }

    /// Returns the planner of a service.
    pub(crate) fn planner(&mut self, now: TimeMs, service: &Name) -> &mut SwapPlanner {
        let found = self.planners.binary_search_by(|(name, _)| name.cmp(service));
        let index = found.unwrap_or_else(|index| {
            self.planners.insert(index, (service.clone(), SwapPlanner::new(now)));
            index
        });
        &mut self.planners[index].1
    }

    /// Returns the state of an engine. A new engine must be queried before it gets an order.
    pub(crate) fn engine_or_new(
        &mut self,
        now: TimeMs,
        engine: &Name,
        life: u64,
    ) -> &mut EngineRecord {
        let found = self.engines.binary_search_by(|record| record.engine.cmp(engine));
        let index = found.unwrap_or_else(|index| {
            self.engines.insert(index, EngineRecord::new(engine.clone(), life, now));
            index
        });
        &mut self.engines[index]
    }

    /// Returns the state of this instance of an engine, if it is known.
    pub(crate) fn engine(&mut self, engine: &Name, life: u64) -> Option<&mut EngineRecord> {
        let index = self.engines.binary_search_by(|record| record.engine.cmp(engine)).ok()?;
        let record = &mut self.engines[index];
        (record.life == life).then_some(record)
    }

    /// Completes the operations that the engines' entries show as done.
    ///
    /// Returns whether there are changes to send to the other hosts.
    pub(crate) fn apply_entries(&mut self, targets: &TargetTable) -> bool {
        let mut done = Vec::new();
        self.engines.retain_mut(|record| match targets.target(&record.engine) {
            Some(target) if target.entry.life == record.life => {
                let holds = |model: &Name| target.entry.residency.model(model).is_some();
                let operation = record.finish_operation(holds);
                done.extend(operation.map(|operation| (record.engine.clone(), Some(operation))));
                true
            }
            _ => {
                done.push((record.engine.clone(), None));
                false
            }
        });
        let mut has_changes = false;
        for (engine, operation) in done {
            has_changes |= self.record_finished(&engine, operation);
        }
        has_changes
    }

    /// Records that an engine finished an operation, or, if `operation` is `None`, that the
    /// instance of the engine is gone. Returns whether there are changes to send to the other
    /// hosts.
    fn record_finished(&mut self, engine: &Name, operation: Option<EngineOperation>) -> bool {
        let Orders { adapters, placements, .. } = self;
        match operation {
            Some(EngineOperation::Load(model)) => {
                placements.note(engine, ShortKey::of(&model), true)
            }
            Some(EngineOperation::Unload { model, .. }) => {
                adapters.dropped_all(engine, Some(&model), placements);
                placements.note(engine, ShortKey::of(&model), false)
            }
            Some(EngineOperation::Unknown) => false,
            None => {
                adapters.dropped_all(engine, None, placements);
                false
            }
        }
    }

    /// Records that an engine accepted an order to unload a model and takes no new requests for it.
    pub(crate) fn record_unloading(&mut self, engine: &Name, model: &Name) {
        self.placements.note(engine, ShortKey::of(model), false);
    }

    /// Records that an engine doesn't hold an adapter that it was expected to hold.
    pub(crate) fn adapter_dropped(&mut self, engine: &Name, want: &AdapterWant) {
        self.adapters.dropped(engine, want, &mut self.placements);
    }

    /// Records the adapters that an engine reports.
    pub(crate) fn adapters_reported(
        &mut self,
        now: TimeMs,
        engine: &Name,
        adapters: &[AdapterWant],
    ) {
        self.adapters.reported(now, engine, adapters, &mut self.placements);
    }

    /// Publishes the adapters that are ready by now; returns whether there are any.
    pub(crate) fn announce_adapters(&mut self, now: TimeMs) -> bool {
        self.adapters.announce(now, &mut self.placements)
    }
}

impl EngineRecord {
    fn new(engine: Name, life: u64, now: TimeMs) -> EngineRecord {
        EngineRecord {
            engine,
            life,
            sequence: 0,
            operation: None,
            has_call_in_flight: false,
            operation_in_flight: None,
            query_at: Some(now),
            assumed_models: Vec::new(),
        }
    }

    /// Removes and returns the operation if the engine's entry shows that it is done.
    fn finish_operation(&mut self, holds: impl Fn(&Name) -> bool) -> Option<EngineOperation> {
        let is_done = match &self.operation {
            Some((EngineOperation::Load(model), _)) => holds(model),
            Some((EngineOperation::Unload { model, .. }, _)) => !holds(model),
            _ => false,
        };
        let (operation, _) = self.operation.take_if(|_| is_done)?;
        if let EngineOperation::Unload { model, .. } = &operation {
            self.assumed_models.retain(|held| held != model);
        }
        Some(operation)
    }

    /// Returns the operation that the planner must assume the engine is carrying out.
    pub(crate) fn planned_operation(&self) -> Option<EngineOperation> {
        match &self.operation {
            Some((operation, _)) => Some(operation.clone()),
            None if self.operation_in_flight.is_some() => self.operation_in_flight.clone(),
            None if self.has_call_in_flight || self.query_at.is_some() => {
                Some(EngineOperation::Unknown)
            }
            None => None,
        }
    }

    /// Returns whether the engine must be queried now.
    pub(crate) fn is_query_due(&self, now: TimeMs) -> bool {
        let is_overdue = self.operation.as_ref().is_some_and(|(_, due_at)| now >= *due_at);
        !self.has_call_in_flight && (is_overdue || self.query_at.is_some_and(|at| now >= at))
    }
}
