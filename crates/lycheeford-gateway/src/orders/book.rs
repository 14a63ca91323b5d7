use lycheeford_policy::{
    AdapterPlanner, EngineOperation, Name, OrderLease, SwapPlanner, TargetTable, TimeMs,
};

use crate::GatewaySettings;

/// The lease, the planners, and what each engine is doing.
#[derive(Debug)]
pub(crate) struct Orders {
    pub(crate) lease: OrderLease,
    pub(crate) adapters: AdapterPlanner,
    /// Sorted by service.
    planners: Vec<(Name, SwapPlanner)>,
    /// Sorted by engine.
    books: Vec<EngineBook>,
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
    /// The order that it carries out, and when it should be done.
    pub(crate) operation: Option<(EngineOperation, TimeMs)>,
    /// Whether an order or a question is on its way.
    pub(crate) is_busy_here: bool,
    /// When the engine must be asked what it does before it gets another order.
    pub(crate) ask_at: Option<TimeMs>,
}

impl Orders {
    pub(crate) fn new(settings: &GatewaySettings, incarnation: u64, _now: TimeMs) -> Orders {
        let lease = OrderLease::new(settings.host.clone(), incarnation, settings.order_lease_ms);
        Orders {
            lease,
            adapters: AdapterPlanner::default(),
            planners: Vec::new(),
            books: Vec::new(),
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
        }
        Some(token)
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
    pub(crate) fn refresh(&mut self, targets: &TargetTable) {
        let mut gone: Vec<(Name, Option<Name>)> = Vec::new();
        self.books.retain_mut(|book| {
            let Some(target) = targets.target(&book.engine) else {
                gone.push((book.engine.clone(), None));
                return false;
            };
            if target.entry.life != book.life {
                gone.push((book.engine.clone(), None));
                return false;
            }
            book.sequence = book.sequence.max(target.entry.sequence);
            let holds = |model: &Name| target.entry.residency.model(model).is_some();
            match &book.operation {
                Some((EngineOperation::Load(model), _)) if holds(model) => book.operation = None,
                Some((EngineOperation::Unload { model, .. }, _)) if !holds(model) => {
                    gone.push((book.engine.clone(), Some(model.clone())));
                    book.operation = None;
                }
                _ => {}
            }
            true
        });
        for (engine, model) in gone {
            self.adapters.dropped_all(&engine, model.as_ref());
        }
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
            ask_at: Some(now),
        }
    }

    /// Returns what the planner must take the engine to be doing.
    pub(crate) fn planned_operation(&self) -> Option<EngineOperation> {
        match &self.operation {
            Some((operation, _)) => Some(operation.clone()),
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
