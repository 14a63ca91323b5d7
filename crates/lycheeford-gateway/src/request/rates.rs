use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_policy::{
    Claim, Counters, CustomerRate, Name, PeerVisibility, RateDecision, RateForecast, RateQueue,
    RateRefusal, SharedBucket, ShortKey, TimeMs,
};

/// A request that asks for units of its customer's rate.
#[derive(Debug, Clone)]
pub(super) struct RateRequest {
    pub(super) id: Name,
    pub(super) customer: Name,
    pub(super) rate: CustomerRate,
    pub(super) claim: Claim,
    /// Whether the request may wait if the rate can't pay for it now.
    pub(super) may_wait: bool,
}

/// How a request that asked for units goes on.
pub(super) enum RateArrival {
    Granted,
    Waits { forecast: RateForecast, outcome: Receiver<RateOutcome> },
    Refused(RateForecast),
}

/// How the wait of a request for its customer's rate ended.
#[derive(Debug)]
pub(super) enum RateOutcome {
    Granted,
    Refused {
        reason: WaitRefusal,
        forecast: RateForecast,
        /// The request that was preferred to this one.
        preferred: Option<Name>,
    },
}

/// Why a request that waited for its customer's rate was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WaitRefusal {
    /// A newcomer costs its caller more to lose.
    Displaced,
    /// The rate turned out to pay for the request too late.
    Late,
    /// This host stops.
    Stopping,
}

/// The requests that wait for a customer's rate.
#[derive(Debug)]
struct CustomerQueue {
    customer: Name,
    /// The rate as declared when a request last asked.
    rate: CustomerRate,
    queue: RateQueue,
    /// The requests of the claims in the queue.
    waiters: Vec<Waiter>,
    check_at: TimeMs,
}

#[derive(Debug)]
struct Waiter {
    claim_id: u64,
    request: Name,
    outcome: Sender<RateOutcome>,
}

impl CustomerQueue {
    fn end(&mut self, claim_id: u64, outcome: RateOutcome) {
        if let Some(index) = self.waiters.iter().position(|waiter| waiter.claim_id == claim_id) {
            // Fails only if the receiver was dropped with its request.
            let _ = self.waiters.swap_remove(index).outcome.try_send(outcome);
        }
    }

    fn refuse(&mut self, refusal: RateRefusal, reason: WaitRefusal, newcomer: Option<&Name>) {
        let RateRefusal { claim, forecast } = refusal;
        let preferred = newcomer.cloned().or_else(|| self.request(forecast.after));
        self.end(claim.id, RateOutcome::Refused { reason, forecast, preferred });
    }

    fn request(&self, claim_id: Option<u64>) -> Option<Name> {
        let waiter = self.waiters.iter().find(|waiter| Some(waiter.claim_id) == claim_id)?;
        Some(waiter.request.clone())
    }
}

/// The customers' rate limits and the demand for models and adapters.
#[derive(Debug)]
pub(crate) struct Rates {
    /// The requests that wait for the rate of each customer, sorted by key. An entry without
    /// requests is kept for a while, since it knows what the customer asked for lately.
    queues: Vec<(ShortKey, CustomerQueue)>,
    /// Wakes the task that checks the queues.
    wait_begun: (Sender<()>, Receiver<()>),
    /// Sorted by key.
    buckets: Vec<(ShortKey, SharedBucket)>,
    /// The units refused to each customer by this host.
    refused: Counters,
    /// The requests for each model and adapter at this host.
    asked: Counters,
}

impl Default for Rates {
    fn default() -> Rates {
        Rates {
            queues: Vec::new(),
            wait_begun: bounded(1),
            buckets: Vec::new(),
            refused: Counters::default(),
            asked: Counters::default(),
        }
    }
}

impl Rates {
    /// Grants a request its units, lets it wait for them, or refuses it.
    pub(super) fn arrive(
        &mut self,
        now: TimeMs,
        visibility: &PeerVisibility,
        request: &RateRequest,
    ) -> RateArrival {
        let RateRequest { id, customer, rate, claim, may_wait } = request;
        let key = ShortKey::of(customer);
        self.bucket_of(now, key).ask(now, rate, visibility, claim.work);
        self.grant_due(now, key, visibility);
        let host_waiting = self.queues.iter().map(|(_, queue)| queue.queue.waiting().len()).sum();
        let found = self.queues.binary_search_by_key(&key, |(key, _)| *key);
        let units_ahead = found.map_or(0.0, |index| self.queues[index].1.queue.units());
        let supply = self.bucket_of(now, key).supply(now, visibility, units_ahead);
        if found.is_err() && supply.granted_at(now, 0.0) == Some(now) {
            // Nothing waits and the rate suffices, as for nearly all requests.
            self.bucket_of(now, key).spend_here(claim.work);
            return RateArrival::Granted;
        }
        let index = found.unwrap_or_else(|index| {
            let queue = CustomerQueue {
                customer: customer.clone(),
                rate: rate.clone(),
                queue: RateQueue::default(),
                waiters: Vec::new(),
                check_at: now,
            };
            self.queues.insert(index, (key, queue));
            index
        });
        let customer_queue = &mut self.queues[index].1;
        customer_queue.rate = rate.clone();
        let queue = &mut customer_queue.queue;
        let decision = if *may_wait {
            queue.arrive(now, &supply, claim.clone(), host_waiting)
        } else if supply.granted_at(now, 0.0) == Some(now) {
            RateDecision::Granted
        } else {
            RateDecision::Refused(queue.forecast_for(now, &supply, claim.sort_key()))
        };
        let arrival = match decision {
            RateDecision::Granted => {
                self.bucket_of(now, key).spend_here(claim.work);
                RateArrival::Granted
            }
            RateDecision::Refused(mut forecast) => {
                self.refused.add(now, key, claim.work);
                let bucket = self.bucket_of(now, key);
                // Without portions, the forecast counts on this host's part of the refill alone, so
                // that no wait is too short; a caller would be told to return far too late.
                if bucket.portion().is_none()
                    && let Err(wait_ms) = bucket.clone().take(now, rate, visibility, 0.0)
                {
                    let ahead_ms = forecast.units_ahead * 1_000.0 / rate.units_per_s;
                    forecast.granted_at = Some(now + wait_ms + ahead_ms as u64);
                }
                RateArrival::Refused(forecast)
            }
            RateDecision::Waits { forecast, displaced } => {
                let (sender, outcome) = bounded(1);
                let waiter = Waiter { claim_id: claim.id, request: id.clone(), outcome: sender };
                for refusal in displaced {
                    self.refused.add(now, key, refusal.claim.work);
                    customer_queue.refuse(refusal, WaitRefusal::Displaced, Some(id));
                }
                customer_queue.waiters.push(waiter);
                // The supply may have changed for all.
                customer_queue.check_at = now + 1;
                // A full channel already holds a wake-up.
                let _ = self.wait_begun.0.try_send(());
                RateArrival::Waits { forecast, outcome }
            }
        };
        self.queues.retain(|(_, queue)| !queue.queue.is_idle(now));
        arrival
    }

    /// Returns the request that waits with this claim.
    pub(super) fn waiting_request(&self, customer: &Name, claim_id: Option<u64>) -> Option<Name> {
        let key = ShortKey::of(customer);
        let index = self.queues.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        self.queues[index].1.request(claim_id)
    }

    /// Removes a request from its customer's queue, if it still waits.
    pub(super) fn withdraw(&mut self, customer: &Name, claim_id: u64) {
        let key = ShortKey::of(customer);
        let Ok(index) = self.queues.binary_search_by_key(&key, |(key, _)| *key) else { return };
        let queue = &mut self.queues[index].1;
        queue.queue.remove(claim_id);
        queue.waiters.retain(|waiter| waiter.claim_id != claim_id);
    }

    /// Returns a receiver of the wake-ups of the task that checks the queues.
    pub(super) fn wait_begun(&self) -> Receiver<()> {
        self.wait_begun.1.clone()
    }

    /// Returns when a queue has to be checked, or `None` if nothing waits.
    pub(super) fn next_check_at(&self) -> Option<TimeMs> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.waiters.is_empty());
        waiting.map(|(_, queue)| queue.check_at).min()
    }

    /// Grants what the rates pay for now, and refuses what they don't pay for in time.
    ///
    /// `rate` returns the rate of a customer as it is declared now.
    pub(super) fn check(
        &mut self,
        now: TimeMs,
        visibility: &PeerVisibility,
        rate: impl Fn(&Name) -> Option<CustomerRate>,
    ) {
        let due: Vec<(ShortKey, CustomerRate)> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty() && queue.check_at <= now)
            // For a customer that no longer has a rate, the last one holds until its requests have
            // left the queue.
            .map(|(key, queue)| (*key, rate(&queue.customer).unwrap_or(queue.rate.clone())))
            .collect();
        for (key, rate) in due {
            self.bucket_of(now, key).update(now, &rate, visibility);
            self.grant_due(now, key, visibility);
            self.refuse_late(now, key, visibility);
        }
        self.queues.retain(|(_, queue)| !queue.queue.is_idle(now));
    }

    /// Refuses all requests that wait, since this host stops.
    pub(super) fn refuse_waiting(&mut self, now: TimeMs, visibility: &PeerVisibility) {
        for (key, mut queue) in std::mem::take(&mut self.queues) {
            let supply = self.bucket_of(now, key).supply(now, visibility, queue.queue.units());
            for refusal in queue.queue.refuse_all(now, &supply) {
                self.refused.add(now, key, refusal.claim.work);
                queue.refuse(refusal, WaitRefusal::Stopping, None);
            }
        }
    }

    /// Grants the first claims of a customer, as long as its bucket, which is up to date, admits
    /// them.
    fn grant_due(&mut self, now: TimeMs, key: ShortKey, visibility: &PeerVisibility) {
        let Ok(index) = self.queues.binary_search_by_key(&key, |(key, _)| *key) else { return };
        loop {
            let supply = self.bucket_of(now, key).supply(now, visibility, 0.0);
            let queue = &mut self.queues[index].1;
            let Some(claim) = queue.queue.grant_first(now, &supply) else { return };
            queue.end(claim.id, RateOutcome::Granted);
            self.bucket_of(now, key).spend_here(claim.work);
        }
    }

    /// Refuses the claims of a customer that its rate doesn't pay for in time, and sets the time of
    /// the next check.
    fn refuse_late(&mut self, now: TimeMs, key: ShortKey, visibility: &PeerVisibility) {
        let Ok(index) = self.queues.binary_search_by_key(&key, |(key, _)| *key) else { return };
        let units = self.queues[index].1.queue.units();
        let bucket = self.bucket_of(now, key);
        let first = bucket.supply(now, visibility, 0.0);
        let all = bucket.supply(now, visibility, units);
        let queue = &mut self.queues[index].1;
        for refusal in queue.queue.refuse_late(now, &all) {
            self.refused.add(now, key, refusal.claim.work);
            queue.refuse(refusal, WaitRefusal::Late, None);
        }
        queue.check_at = queue.queue.next_check_at(now, &first).unwrap_or(now);
    }

    /// Returns the token bucket of a customer.
    pub(crate) fn bucket(&mut self, now: TimeMs, customer: &Name) -> &mut SharedBucket {
        self.bucket_of(now, ShortKey::of(customer))
    }

    fn bucket_of(&mut self, now: TimeMs, customer: ShortKey) -> &mut SharedBucket {
        let found = self.buckets.binary_search_by_key(&customer, |(key, _)| *key);
        let index = found.unwrap_or_else(|index| {
            self.buckets.insert(index, (customer, SharedBucket::new(now)));
            index
        });
        &mut self.buckets[index].1
    }

    /// Records units that a customer spent through another host.
    pub(crate) fn spent_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).spent_elsewhere(now, units);
    }

    /// Records units that another host refused to a customer.
    pub(crate) fn refused_elsewhere(&mut self, now: TimeMs, customer: ShortKey, units: f64) {
        self.bucket_of(now, customer).refused_elsewhere(now, units);
    }

    /// Records the level of a customer's bucket as another host reports it.
    pub(crate) fn level_elsewhere(
        &mut self,
        now: TimeMs,
        customer: ShortKey,
        level: f64,
        missing_units: f64,
    ) {
        self.bucket_of(now, customer).level_elsewhere(now, level, missing_units);
    }

    /// Returns the bucket level of each customer of which a request has arrived at this host.
    pub(crate) fn levels(&self, now: TimeMs) -> Vec<(ShortKey, f64)> {
        let level = |(key, bucket): &(ShortKey, SharedBucket)| Some((*key, bucket.level(now)?));
        self.buckets.iter().filter_map(level).collect()
    }

    /// Returns the units that each customer spent through this host since it started.
    pub(crate) fn spent(&self) -> Vec<(ShortKey, f64)> {
        self.buckets.iter().map(|(key, bucket)| (*key, bucket.spent_here())).collect()
    }

    /// Returns the units that a customer spent through this host since it started.
    pub(crate) fn spent_here(&self, customer: ShortKey) -> f64 {
        let found = self.buckets.binary_search_by_key(&customer, |(key, _)| *key);
        found.map_or(0.0, |index| self.buckets[index].1.spent_here())
    }

    /// Returns the units refused to each customer since this host started.
    pub(crate) fn refused(&self) -> Vec<(ShortKey, f64)> {
        self.refused.all()
    }

    /// Counts a request for a model or adapter.
    pub(crate) fn count_request(&mut self, now: TimeMs, name: ShortKey) {
        self.asked.add(now, name, 1.0);
    }

    /// Returns the requests for each model and adapter at this host.
    pub(crate) fn asked(&self) -> &Counters {
        &self.asked
    }
}
