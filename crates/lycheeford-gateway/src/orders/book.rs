use lycheeford_policy::{
    AdapterPlanner, AdapterWant, EngineOperation, Name, OrderLease, PlacementLog, ShortKey,
    SwapPlanner, TargetTable, TimeMs,
};

use crate::{Clock, GatewaySettings};

/// The lease, the planners, and what each engine is doing.
#[derive(Debug)]
pub(crate) struct Orders {
    pub(crate) lease: OrderLease,
    pub(crate) adapters: AdapterPlanner,
    pub(crate) placements: PlacementLog,
    /// Sorted by service.
    planners: Vec<(Name, SwapPlanner)>,
    /// Sorted by engine.
    books: Vec<EngineBook>,
    /// When requests for a model should be able to run.
    ready_at: Vec<(Name, TimeMs)>,
    /// The token under which the books were kept.
    token: Option<u64>,
}

/// What is known of the orders of one engine.
#[derive(Debug)]
pub(crate) struct EngineBook {
    engine: Name,
    life: u64,
    /// How many orders it has taken.
    pub(crate) sequence: u64,
    /// The order that it carries out, and when it is asked about it.
    pub(crate) operation: Option<(EngineOperation, TimeMs)>,
    /// Whether an order or a question is on its way.
    pub(crate) is_busy_here: bool,
    /// The operation that an order on its way asks for, which counts as begun.
    pub(crate) sending: Option<EngineOperation>,
    /// When the engine must be asked what it does before it gets another order.
    pub(crate) ask_at: Option<TimeMs>,
    /// The models that it holds or may hold as far as its orders and reports tell.
    ///
    /// Its entry in the store may be older, above all while the store is away.
    pub(crate) believed: Vec<Name>,
}

impl Orders {
    pub(crate) fn new(settings: &GatewaySettings, incarnation: u64) -> Orders {
        let lease = OrderLease::new(settings.host.clone(), incarnation, settings.order_lease_ms);
        Orders {
            lease,
            adapters: AdapterPlanner::default(),
            placements: PlacementLog::default(),
            planners: Vec::new(),
            books: Vec::new(),
            ready_at: Vec::new(),
            token: None,
        }
    }

    /// Returns the token for orders right now; under a new one nothing is known of the engines.
    pub(crate) fn token(&mut self, now: TimeMs) -> Option<u64> {
        let token = self.lease.token(now)?;
        if self.token != Some(token) {
            self.token = Some(token);
            self.books.clear();
            self.adapters = AdapterPlanner::default();
            self.placements = PlacementLog::default();
        }
        Some(token)
    }

    /// Takes in when requests for a model should be able to run.
    pub(crate) fn expect(&mut self, model: &Name, at: TimeMs) {
        self.ready_at.retain(|(known, _)| known != model);
        self.ready_at.push((model.clone(), at));
    }

    /// Returns how long requests for models will still wait.
    pub(crate) fn waits(&self) -> Vec<(ShortKey, u64)> {
        let now = Clock.now();
        let wait = |(model, at): &(Name, TimeMs)| (ShortKey::of(model), at.since_ms(now));
        self.ready_at.iter().filter(|(_, at)| now < *at).map(wait).collect()
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

    /// Returns what is known of an engine; one that is new must be asked first.
    pub(crate) fn book(&mut self, now: TimeMs, engine: &Name, life: u64) -> &mut EngineBook {
        let found = self.books.binary_search_by(|book| book.engine.cmp(engine));
        let index = found.unwrap_or_else(|index| {
            self.books.insert(index, EngineBook::new(engine.clone(), life, now));
            index
        });
        &mut self.books[index]
    }

    /// Returns what is known of this life of an engine, if anything is.
    pub(crate) fn known(&mut self, engine: &Name, life: u64) -> Option<&mut EngineBook> {
        let index = self.books.binary_search_by(|book| book.engine.cmp(engine)).ok()?;
        let book = &mut self.books[index];
        (book.life == life).then_some(book)
    }

    /// Takes in what the engines' entries say of the orders that they carry out.
    ///
    /// Returns whether there is news for the other hosts.
    pub(crate) fn refresh(&mut self, targets: &TargetTable) -> bool {
        let mut done = Vec::new();
        self.books.retain_mut(|book| match targets.target(&book.engine) {
            Some(target) if target.entry.life == book.life => {
                let holds = |model: &Name| target.entry.residency.model(model).is_some();
                let operation = book.finish_operation(holds);
                done.extend(operation.map(|operation| (book.engine.clone(), Some(operation))));
                true
            }
            _ => {
                done.push((book.engine.clone(), None));
                false
            }
        });
        let mut has_news = false;
        for (engine, operation) in done {
            has_news |= self.finished(&engine, operation);
        }
        has_news
    }

    /// Takes in that an engine finished an operation, or began a new life.
    fn finished(&mut self, engine: &Name, operation: Option<EngineOperation>) -> bool {
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

    /// Takes in that an engine took an order to unload a model: it takes no new request for it.
    pub(crate) fn leaving(&mut self, engine: &Name, model: &Name) {
        self.placements.note(engine, ShortKey::of(model), false);
    }

    /// Takes in that an adapter isn't where it should be.
    pub(crate) fn adapter_dropped(&mut self, engine: &Name, want: &AdapterWant) {
        self.adapters.dropped(engine, want, &mut self.placements);
    }

    /// Takes over the adapters that an engine reports.
    pub(crate) fn adapters_reported(
        &mut self,
        now: TimeMs,
        engine: &Name,
        adapters: &[AdapterWant],
    ) {
        self.adapters.reported(now, engine, adapters, &mut self.placements);
    }

    /// Notes the adapters that are ready by now; returns whether there are any.
    pub(crate) fn announce_adapters(&mut self, now: TimeMs) -> bool {
        self.adapters.announce(now, &mut self.placements)
    }
}

impl EngineBook {
    fn new(engine: Name, life: u64, now: TimeMs) -> EngineBook {
        EngineBook {
            engine,
            life,
            sequence: 0,
            operation: None,
            is_busy_here: false,
            sending: None,
            ask_at: Some(now),
            believed: Vec::new(),
        }
    }

    /// Returns the operation if its entry shows that it is done.
    fn finish_operation(&mut self, holds: impl Fn(&Name) -> bool) -> Option<EngineOperation> {
        let is_done = match &self.operation {
            Some((EngineOperation::Load(model), _)) => holds(model),
            Some((EngineOperation::Unload { model, .. }, _)) => !holds(model),
            _ => false,
        };
        let (operation, _) = self.operation.take_if(|_| is_done)?;
        if let EngineOperation::Unload { model, .. } = &operation {
            self.believed.retain(|held| held != model);
        }
        Some(operation)
    }

    /// Returns what the planner must take the engine to be doing.
    pub(crate) fn planned_operation(&self) -> Option<EngineOperation> {
        match &self.operation {
            Some((operation, _)) => Some(operation.clone()),
            None if self.sending.is_some() => self.sending.clone(),
            None if self.is_busy_here || self.ask_at.is_some() => Some(EngineOperation::Unknown),
            None => None,
        }
    }

    /// Returns whether the engine must be asked now what it does.
    pub(crate) fn is_question_due(&self, now: TimeMs) -> bool {
        let is_overdue = self.operation.as_ref().is_some_and(|(_, due_at)| now >= *due_at);
        !self.is_busy_here && (is_overdue || self.ask_at.is_some_and(|at| now >= at))
    }
}
