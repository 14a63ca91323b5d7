use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_policy::{
    Activity, Configuration, Demand, FairQueue, Incarnation, LateRequest, Name, QueueId,
    QueuedRequest, Ran, Readiness, Router, TimeMs,
};
use lycheeford_wire::{DemandReport, PlacementReport, TargetPlacement};

/// How long the demand of a request that was refused at arrival is reported after the
/// model should be ready, so that the model is loaded and ready when the caller retries.
const REFUSED_DEMAND_GRACE_MS: u64 = 5_000;
/// How long an unreachable incarnation of a target gets no requests.
const AVOID_MS: u64 = 3_000;

/// Where replicas are, and the requests of this host that wait for a replica.
#[derive(Debug)]
pub(crate) struct Placement {
    router: Router,
    readiness: Readiness,
    queue: FairQueue<Sender<Placed>>,
    /// Sorted by name.
    targets: Vec<TargetPlacement>,
    /// The coordinator that sent the current view (host and incarnation), and the view's sequence
    /// number.
    source: Option<(Name, Incarnation, u64)>,
    refused_demand: Vec<RefusedDemand>,
    avoided: Vec<Avoided>,
    /// Sorted by name.
    activity: Vec<Activity>,
}

/// The outcome of a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Placed {
    /// The target that the request was assigned to.
    Target(Name),
    /// It can't be served in time; the value is the time until the caller should retry, in ms.
    Refused(u64),
    /// Its deadline has passed.
    Expired,
}

/// The properties of a request that its placement depends on.
#[derive(Debug, Clone)]
pub(crate) struct PlaceRequest {
    pub(crate) name: Name,
    pub(crate) customer: Name,
    pub(crate) class: u8,
    pub(crate) arrived: TimeMs,
    pub(crate) deadline: TimeMs,
    /// The time that the request is expected to take at a target.
    pub(crate) run_ms: u64,
    /// Whether an earlier attempt ran.
    pub(crate) ran: Ran,
    pub(crate) cost_tokens: u64,
    pub(crate) prefix_hashes: Vec<u64>,
    /// When an attempt first failed, if one did. The request has waited for another replica since
    /// then, also while it was sent to the same one again.
    pub(crate) failed_since: Option<TimeMs>,
}

impl PlaceRequest {
    /// Returns the request for the decision whether a draining daemon sends it at `sent_at`.
    pub(crate) fn sent_at(&self, sent_at: TimeMs) -> LateRequest {
        LateRequest {
            arrived_at: self.arrived,
            sent_at,
            final_at: self.deadline,
            run_ms: self.run_ms,
            ran: self.ran,
        }
    }
}

/// The immediate result of placing a request.
#[derive(Debug)]
pub(crate) enum Place {
    /// A replica is ready on this target.
    Now(Name),
    /// The request is queued; its outcome arrives on the channel.
    Queued(QueueId, Receiver<Placed>),
    /// It can't be served before its deadline; the value is the time until the caller should
    /// retry, in ms.
    TooLate(u64),
}

/// Demand of requests that were refused at arrival, which is still reported to the coordinator.
#[derive(Debug)]
struct RefusedDemand {
    name: Name,
    customer: Name,
    class: u8,
    until: TimeMs,
}

/// An incarnation of a target that temporarily gets no requests.
#[derive(Debug)]
struct Avoided {
    target: Name,
    incarnation: Incarnation,
    until: TimeMs,
}

impl Placement {
    /// Returns an empty placement; a different `seed` on each host makes their routing choices
    /// independent.
    pub(crate) fn new(seed: u64) -> Placement {
        Placement {
            router: Router::with_seed(seed),
            readiness: Readiness::default(),
            queue: FairQueue::default(),
            targets: Vec::new(),
            source: None,
            refused_demand: Vec::new(),
            avoided: Vec::new(),
            activity: Vec::new(),
        }
    }

    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        self.readiness.configure(configuration);
        self.queue.configure(configuration);
    }

    /// Assigns a request to a ready replica, queues it, or reports that none can be ready in time.
    pub(crate) fn place(
        &mut self,
        now: TimeMs,
        request: &PlaceRequest,
        excluded: &[Name],
    ) -> Place {
        let chosen = self.router.choose(now, &request.name, &request.prefix_hashes, excluded);
        if let Some(target) = chosen {
            self.started(&request.name, &target);
            return Place::Now(target);
        }
        let ready_in_ms = self.ready_in_ms(now, &request.name);
        if now + ready_in_ms > request.deadline {
            self.record_refused_demand(now, request, ready_in_ms);
            return Place::TooLate(ready_in_ms);
        }
        let (sender, receiver) = bounded(1);
        let queued = QueuedRequest {
            name: request.name.clone(),
            customer: request.customer.clone(),
            deadline: request.deadline,
            cost_tokens: request.cost_tokens,
            payload: sender,
        };
        let waits_since = request.failed_since.unwrap_or(now);
        Place::Queued(self.queue.push(waits_since, queued), receiver)
    }

    /// Returns the expected time until a model or adapter without a ready replica has one, or 0
    /// if that isn't known.
    pub(crate) fn ready_in_ms(&self, now: TimeMs, name: &str) -> u64 {
        self.readiness.ready_in_ms(now, name).unwrap_or(0)
    }

    pub(crate) fn cancel(&mut self, id: QueueId) {
        self.queue.cancel(id);
    }

    /// Records that a request started at `target`.
    fn started(&mut self, name: &Name, target: &str) {
        self.router.started(target);
        let activity = self.activity_mut(name);
        activity.served += 1;
        activity.running += 1;
    }

    /// Records that a request at `target` ended.
    pub(crate) fn finished(&mut self, name: &Name, target: &str) {
        self.router.finished(target);
        let activity = self.activity_mut(name);
        activity.running = activity.running.saturating_sub(1);
    }

    /// Removes a replica that its target turned out not to have.
    pub(crate) fn forget_replica(&mut self, name: &str, target: &str) {
        self.router.remove_replica(name, target);
        if let Ok(index) = self.position(target) {
            self.targets[index].ready.retain(|ready| ready.as_str() != name);
        }
    }

    /// Stops routing to a target that crashed or can't be reached.
    ///
    /// The coordinator's view may list the target for a while longer. A later incarnation of it
    /// is used at once, the same incarnation only after a pause.
    pub(crate) fn forget_target(&mut self, now: TimeMs, target: &str) {
        self.router.remove_target(target);
        if let Ok(index) = self.position(target) {
            let known = &mut self.targets[index];
            known.ready.clear();
            self.avoided.push(Avoided {
                target: known.target.clone(),
                incarnation: known.incarnation,
                until: now + AVOID_MS,
            });
        }
    }

    /// Applies a coordinator's view and dispatches the queued requests that can run now.
    ///
    /// A view from the same coordinator that isn't newer than the current one is ignored.
    pub(crate) fn adopt(
        &mut self,
        now: TimeMs,
        from: (&Name, Incarnation),
        report: PlacementReport,
    ) {
        if let Some((host, incarnation, sequence)) = &self.source
            && host == from.0
            && (*incarnation, *sequence) >= (from.1, report.sequence)
        {
            return;
        }
        self.source = Some((from.0.clone(), from.1, report.sequence));
        self.replace_targets(now, report.targets);
        for expected in &report.expected {
            self.readiness.expect(now, &expected.name, expected.ready_in_ms);
        }
        for refused in &report.refused {
            let reachable_at = now + refused.retry_after_ms;
            let given_up =
                self.queue.take_unservable(&refused.name, &refused.customer, reachable_at);
            for request in given_up {
                // The send fails if the caller has hung up, which needs no answer.
                let _ = request.payload.try_send(Placed::Refused(refused.retry_after_ms));
            }
        }
        self.dispatch_queued(now);
    }

    /// Refuses queued requests whose deadline has passed, and drops expired demand.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        for request in self.queue.take_expired(now) {
            let _ = request.payload.try_send(Placed::Expired);
        }
        self.refused_demand.retain(|refused_demand| refused_demand.until > now);
    }

    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests on this host that wait for the model or adapter `name`.
    pub(crate) fn waiting(&self, name: &str) -> u64 {
        let depths = self.queue.depths();
        let depths = depths.iter().filter(|depth| depth.name.as_str() == name);
        depths.map(|depth| u64::from(depth.waiting)).sum()
    }

    pub(crate) fn targets(&self) -> &[TargetPlacement] {
        &self.targets
    }

    /// Returns the demand report for the coordinator and starts the next reporting period.
    pub(crate) fn report(&mut self, now: TimeMs) -> DemandReport {
        let mut demands: Vec<Demand> = self
            .queue
            .depths()
            .into_iter()
            .map(|depth| Demand {
                name: depth.name,
                customer: depth.customer,
                class: depth.class,
                waiting: depth.waiting,
                deadline_in_ms: depth.first_deadline.since_ms(now),
                waited_ms: now.since_ms(depth.first_arrival),
            })
            .collect();
        demands.extend(self.refused_demand.iter().map(|refused_demand| Demand {
            name: refused_demand.name.clone(),
            customer: refused_demand.customer.clone(),
            class: refused_demand.class,
            waiting: 1,
            deadline_in_ms: refused_demand.until.since_ms(now),
            waited_ms: 0,
        }));
        let activity = self.activity.clone();
        self.activity.retain(|activity| activity.running > 0);
        for activity in &mut self.activity {
            activity.served = 0;
        }
        DemandReport { demands, activity }
    }

    fn record_refused_demand(&mut self, now: TimeMs, request: &PlaceRequest, ready_in_ms: u64) {
        let until = now + ready_in_ms + REFUSED_DEMAND_GRACE_MS;
        let same = |refused_demand: &&mut RefusedDemand| {
            refused_demand.name == request.name && refused_demand.customer == request.customer
        };
        if let Some(refused_demand) = self.refused_demand.iter_mut().find(same) {
            refused_demand.until = until;
            return;
        }
        self.refused_demand.push(RefusedDemand {
            name: request.name.clone(),
            customer: request.customer.clone(),
            class: request.class,
            until,
        });
    }

    fn replace_targets(&mut self, now: TimeMs, mut targets: Vec<TargetPlacement>) {
        targets.sort_by(|a, b| a.target.cmp(&b.target));
        self.avoided.retain(|avoided| avoided.until > now);
        for target in &mut targets {
            let avoided = |avoided: &Avoided| {
                avoided.target == target.target && avoided.incarnation >= target.incarnation
            };
            target.accepts_work &= !self.avoided.iter().any(avoided);
        }
        for known in std::mem::take(&mut self.targets) {
            let new = targets.binary_search_by(|target| target.target.cmp(&known.target));
            let usable = |index: usize| targets[index].accepts_work;
            match new.ok().filter(|index| usable(*index)) {
                None => self.router.remove_target(&known.target),
                Some(index) => {
                    for name in &known.ready {
                        if targets[index].ready.binary_search(name).is_err() {
                            self.router.remove_replica(name, &known.target);
                        }
                    }
                }
            }
        }
        for target in targets.iter().filter(|target| target.accepts_work) {
            for name in &target.ready {
                self.router.set_replica(name, &target.target);
            }
            self.router.observe_load(now, &target.target, target.running, target.queued);
        }
        self.targets = targets;
    }

    fn dispatch_queued(&mut self, now: TimeMs) {
        let mut names: Vec<Name> =
            self.queue.depths().into_iter().map(|depth| depth.name).collect();
        names.dedup();
        for name in names {
            while self.router.is_ready(&name)
                && let Some(request) = self.queue.pop(now, &name)
            {
                let Some(target) = self.router.choose(now, &name, &[], &[]) else { break };
                self.started(&name, &target);
                if request.payload.try_send(Placed::Target(target.clone())).is_err() {
                    self.finished(&name, &target);
                }
            }
        }
    }

    fn activity_mut(&mut self, name: &Name) -> &mut Activity {
        let index = match self.activity.binary_search_by(|activity| activity.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                let activity = Activity { name: name.clone(), served: 0, running: 0 };
                self.activity.insert(index, activity);
                index
            }
        };
        &mut self.activity[index]
    }

    fn position(&self, target: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|known| known.target.as_str().cmp(target))
    }
}
