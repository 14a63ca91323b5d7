use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_policy::{
    Chosen, Claim, HoldTimes, LoadForecast, LoadTime, Name, PlacementLog, ReportedPlacement,
    Selection, Shedding, ShortKey, SlotSupply, TargetRequirements, TargetTable, TimeMs, WaitQueue,
    Waiting, WantedName,
};

use crate::membership::{LoadForecasts, RemainingLoad};

/// How long a ready time is kept after it has passed, since the load may be late.
const READY_SLACK_MS: u64 = 1_000;

/// What a waiting request gets.
#[derive(Debug)]
pub(crate) enum Granted {
    /// A target, on which the request counts as running.
    Target(Chosen),
    /// A refusal, since it can't be served in time, or others cost callers more to lose.
    TurnedAway(Box<TurnedAway>),
}

/// Why a waiting request is turned away.
#[derive(Debug)]
pub(crate) struct TurnedAway {
    /// The request that is preferred to it with its claim, if a newcomer is.
    pub(crate) preferred: Option<(Name, Claim)>,
    /// The supply on which this rests.
    pub(crate) supply: SlotSupply,
    /// How long the request would have waited.
    pub(crate) wait_ms: u64,
}

/// The targets and the queue of requests.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    pub(crate) targets: TargetTable,
    pub(crate) queue: WaitQueue,
    /// How long the requests of each route hold a slot.
    pub(crate) hold_times: HoldTimes,
    /// Sorted by the id of the waiting request.
    waiters: Vec<(u64, Sender<Granted>)>,
    /// The token of the lease holder whose placements are known.
    placements_token: u64,
    /// The placements by that lease holder, kept to relay them to other hosts.
    pub(crate) placements: PlacementLog,
    /// When models are expected to be ready, as last reported by the lease holder; sorted by model.
    forecasts: Vec<(ShortKey, LoadForecast)>,
    /// The token of the lease holder that sent forecasts last.
    forecasts_token: u64,
}

impl Dispatcher {
    /// Queues a request. The receiver gets its target, on which the request then counts as running.
    pub(crate) fn submit(&mut self, now: TimeMs, waiting: Waiting) -> Receiver<Granted> {
        let (sender, receiver) = bounded(1);
        let id = waiting.claim.id;
        let index = self.waiters.partition_point(|(other, _)| *other < id);
        self.waiters.insert(index, (id, sender));
        self.queue.push(now, waiting);
        self.dispatch(now);
        receiver
    }

    /// Assigns free slots to waiting requests.
    pub(crate) fn dispatch(&mut self, now: TimeMs) {
        if self.queue.waiting().is_empty() {
            return;
        }
        for (id, chosen) in self.queue.dispatch(now, &mut self.targets) {
            let Ok(index) = self.waiters.binary_search_by_key(&id, |(id, _)| *id) else {
                continue;
            };
            let (_, sender) = self.waiters.remove(index);
            // The receiver exists as long as the request is in the queue.
            let _ = sender.try_send(Granted::Target(chosen));
        }
    }

    /// Removes a request from the queue; does nothing if it already has a target.
    pub(crate) fn withdraw(&mut self, id: u64) {
        self.queue.remove(id);
        if let Ok(index) = self.waiters.binary_search_by_key(&id, |(id, _)| *id) {
            self.waiters.remove(index);
        }
    }

    /// Turns away the waiting requests that a newcomer displaces; returns why the newcomer itself is
    /// turned away, if it is. Without a forecast, nobody is turned away.
    pub(crate) fn shed_for(&mut self, now: TimeMs, newcomer: &Waiting) -> Option<TurnedAway> {
        let Shedding { supply, rejected } = self.queue.shed_for(now, newcomer)?;
        let id = newcomer.claim.id;
        let is_rejected = rejected.contains(&id);
        let preferred = (!is_rejected).then(|| (newcomer.request.clone(), newcomer.claim.clone()));
        self.turn_away(
            now,
            supply,
            rejected.iter().filter(|other| **other != id),
            preferred.as_ref(),
        );
        is_rejected.then(|| {
            let ahead = self.queue.last_ahead(newcomer);
            let preferred = ahead.map(|ahead| (ahead.request.clone(), ahead.claim.clone()));
            TurnedAway { preferred, supply, wait_ms: self.wait_ms(now, newcomer) }
        })
    }

    /// Turns away the requests with these requirements that can't be served in time any more.
    pub(crate) fn shed_late(&mut self, now: TimeMs, need: &TargetRequirements) {
        if let Some(Shedding { supply, rejected }) = self.queue.shed_late(now, need) {
            self.turn_away(now, supply, rejected.iter(), None);
        }
    }

    fn turn_away<'a>(
        &mut self,
        now: TimeMs,
        supply: SlotSupply,
        ids: impl Iterator<Item = &'a u64>,
        preferred: Option<&(Name, Claim)>,
    ) {
        for id in ids {
            let Some(waiting) = self.queue.find(*id) else { continue };
            let wait_ms = self.wait_ms(now, waiting);
            self.queue.remove(*id);
            let Ok(index) = self.waiters.binary_search_by_key(id, |(id, _)| *id) else { continue };
            let (_, sender) = self.waiters.remove(index);
            let turned_away = TurnedAway { preferred: preferred.cloned(), supply, wait_ms };
            // The receiver exists as long as the request is in the queue.
            let _ = sender.try_send(Granted::TurnedAway(Box::new(turned_away)));
        }
    }

    fn wait_ms(&self, now: TimeMs, waiting: &Waiting) -> u64 {
        let grant = self.queue.forecast_grant(now, waiting);
        grant.map_or(0, |grant| grant.granted_at.since_ms(now))
    }

    /// Returns the models and adapters that requests wait for.
    pub(crate) fn wanted(&mut self, now: TimeMs) -> Vec<WantedName> {
        let mut wanted: Vec<WantedName> = Vec::new();
        for waiting in self.queue.waiting() {
            let Some(model) = &waiting.need.model else { continue };
            let name = WantedName {
                service: waiting.need.service.clone(),
                model: model.clone(),
                adapter: waiting.need.adapter.clone(),
                version: waiting.need.version,
                waiting: 1,
                oldest_ms: now.since_ms(waiting.claim.arrived_at),
                priority: waiting.claim.priority,
            };
            merge(&mut wanted, name);
        }
        wanted
    }

    /// Applies the placements that the lease holder reports, oldest first.
    pub(crate) fn apply_placements(&mut self, token: u64, placements: &[ReportedPlacement]) {
        if token > self.placements_token {
            self.placements_token = token;
            self.placements = PlacementLog::default();
            self.targets.clear_announced();
        }
        if token < self.placements_token {
            return;
        }
        for placement in self.placements.take(placements) {
            self.targets.announce(placement.target, placement.name, placement.is_ready);
        }
    }

    /// Returns the token and version of the last known placements.
    pub(crate) fn placements_known(&self) -> (u64, u64) {
        (self.placements_token, self.placements.version())
    }

    /// Updates the ready times from the remaining waits that the lease holder reports.
    pub(crate) fn update_waits(&mut self, now: TimeMs, waits: &[(ShortKey, u64)]) {
        self.expire_forecasts(now);
        for (model, wait_ms) in waits {
            let time = LoadTime::Ready { at: now + *wait_ms };
            self.set_forecast(*model, LoadForecast { time, heard_at: now, held_ms: None });
        }
    }

    /// Applies the forecasts of a lease holder, unless a later holder is known.
    pub(crate) fn apply_forecasts(&mut self, now: TimeMs, forecasts: &LoadForecasts) {
        if forecasts.token < self.forecasts_token.max(self.placements_token) {
            return;
        }
        if forecasts.token > self.forecasts_token {
            self.forecasts_token = forecasts.token;
            self.forecasts.clear();
        }
        self.expire_forecasts(now);
        for (model, load) in &forecasts.loads {
            let time = match load {
                RemainingLoad::Ready { in_ms } => LoadTime::Ready { at: now + *in_ms },
                RemainingLoad::NotBefore { in_ms } => LoadTime::NotBefore { at: now + *in_ms },
            };
            let held_ms = Some(forecasts.held_ms);
            self.set_forecast(*model, LoadForecast { time, heard_at: now, held_ms });
        }
    }

    /// Applies all forecasts that this host made as the lease holder: each model without one can be
    /// loaded again.
    pub(crate) fn apply_own_forecasts(&mut self, now: TimeMs, forecasts: &LoadForecasts) {
        self.forecasts.retain(|(_, known)| matches!(known.time, LoadTime::Ready { .. }));
        self.apply_forecasts(now, forecasts);
    }

    fn expire_forecasts(&mut self, now: TimeMs) {
        self.forecasts.retain(|(_, known)| now < known.time.at() + READY_SLACK_MS);
    }

    fn set_forecast(&mut self, model: ShortKey, forecast: LoadForecast) {
        match self.forecasts.binary_search_by_key(&model, |(known, _)| *known) {
            Ok(index) => self.forecasts[index].1 = forecast,
            Err(index) => self.forecasts.insert(index, (model, forecast)),
        }
    }

    /// Returns when a model is expected to be ready, if known.
    pub(crate) fn load_forecast(&self, model: &Name) -> Option<LoadForecast> {
        let key = ShortKey::of(model);
        let index = self.forecasts.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(self.forecasts[index].1)
    }

    /// Returns the result of choosing a target for a request now.
    pub(crate) fn try_choose(&mut self, now: TimeMs, waiting: &Waiting) -> Selection {
        self.targets.choose(now, &waiting.need)
    }

    /// Returns the number of slots at the ready targets of a service, and how many are taken.
    pub(crate) fn slots(&self, service: &Name) -> (u32, u32) {
        let ready = self.targets.of_service(service).filter(|target| target.is_ready());
        ready.fold((0, 0), |(slots, running), target| {
            (slots + target.entry.slots, running + target.running().min(target.entry.slots))
        })
    }
}

/// Adds demand to a list, combining entries for the same model and adapter.
pub(crate) fn merge(wanted: &mut Vec<WantedName>, name: WantedName) {
    let same = |other: &&mut WantedName| {
        (&other.service, &other.model, &other.adapter, other.version)
            == (&name.service, &name.model, &name.adapter, name.version)
    };
    match wanted.iter_mut().find(same) {
        Some(known) => {
            known.waiting += name.waiting;
            known.oldest_ms = known.oldest_ms.max(name.oldest_ms);
            known.priority = known.priority.min(name.priority);
        }
        None => wanted.push(name),
    }
}
