//! Drives the decisions in virtual time over the fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lycheeford_policy::{
    Activity, Demand, DemandReport, FairQueue, LoadLimits, Name, PlanAction, Planner,
    QueuedRequest, Readiness, ReplicaState, Router, TimeMs,
};

use crate::baseline;
use crate::fleet::{Life, Replica, Store, Target, local_load_ms};
use crate::measures::{Counts, Figures, Oracle};
use crate::workload::{Bucket, DAY_MS, Fault, HOSTS, TARGET_MEMORY_BYTES, Trace};

/// A message between two daemons.
const MESSAGE_MS: u64 = 1;
/// Hosts gather changes of demand for this long.
const REPORT_DELAY_MS: u64 = 2;
const REPORT_PERIOD_MS: u64 = 1_000;
/// Two conditional updates and the order's way to the target.
const ORDER_MS: u64 = 8;
/// A target's status reaches the daemons this late.
const VIEW_LAG_MS: u64 = 20;
const UNLOAD_MS: u64 = 50;
/// While something waits, the coordinator looks again after this.
const REPLAN_MS: u64 = 25;
const SLOTS_PER_REPLICA: u32 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Planned,
    Baseline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { target: usize, generation: u64, entry: usize, host: usize },
    StartLoad { target: usize, generation: u64, entry: usize },
    StartUnload { target: usize, generation: u64, entry: usize },
    EndOrder { target: usize, generation: u64, entry: usize },
    StoreDone,
    View { target: usize },
    Report { host: usize },
    Plan,
    Expire { host: usize },
    Fault { index: usize },
}

#[derive(Debug)]
struct Host {
    router: Router,
    queue: FairQueue<usize>,
    readiness: Readiness,
    buckets: Vec<Bucket>,
    running: Vec<u32>,
    served: Vec<u32>,
    report_at_ms: Option<u64>,
    is_reported_empty: bool,
}

/// A load that the first request for a cold entry asks for.
#[derive(Debug, Clone, Copy)]
struct Wakeup {
    oracle_ready_ms: u64,
    load_ms: u64,
}

#[derive(Debug)]
struct Simulation<'a> {
    trace: &'a Trace,
    policy: Policy,
    planner: Planner,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    targets: Vec<Target>,
    hosts: Vec<Host>,
    store: Store,
    oracle: Oracle,
    wakeups: Vec<Option<Wakeup>>,
    cold: Vec<Option<Wakeup>>,
    plan_at_ms: u64,
    is_platform_down: bool,
    /// Loads whose orders are on their way.
    ordered: Vec<usize>,
    counts: Counts,
}

/// Runs a trace under a policy.
pub fn run(trace: &Trace, policy: Policy) -> Figures {
    let mut simulation = Simulation::new(trace, policy);
    simulation.run();
    simulation.counts.figures(trace)
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, policy: Policy) -> Simulation<'a> {
        let store_loads_per_s = trace.deployment.store_loads_per_s;
        let limits = LoadLimits { store_loads_per_s, ..LoadLimits::default() };
        let mut planner = Planner::new(limits);
        planner.configure(&trace.configuration);
        let names = trace.names.len();
        let mut simulation = Simulation {
            trace,
            policy,
            planner,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            targets: (0..trace.deployment.targets).map(|index| Target::new(index, 0)).collect(),
            hosts: (0..HOSTS).map(|index| Host::new(trace, index)).collect(),
            store: Store::new(),
            oracle: Oracle::default(),
            wakeups: vec![None; names],
            cold: vec![None; trace.requests.len()],
            plan_at_ms: 0,
            is_platform_down: false,
            ordered: Vec::new(),
            counts: Counts { loads: vec![0; names], ..Counts::default() },
        };
        for target in 0..simulation.targets.len() {
            simulation.schedule(0, Event::View { target });
        }
        for (index, (at_ms, _)) in trace.faults.iter().enumerate() {
            simulation.schedule(*at_ms, Event::Fault { index });
        }
        simulation
    }

    fn run(&mut self) {
        for index in 0..self.trace.requests.len() {
            let at_ms = self.trace.requests[index].at_ms.min(DAY_MS);
            self.run_until(at_ms);
            self.now_ms = at_ms;
            self.arrive(index);
        }
        self.run_until(DAY_MS);
        self.now_ms = DAY_MS;
        for target in 0..self.targets.len() {
            self.clear(target);
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, _, event))) = self.events.peek().copied() {
            if at_ms > end_ms {
                return;
            }
            self.events.pop();
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Finish { target, generation, entry, host } => {
                self.finish(target, generation, entry, host);
            }
            Event::StartLoad { target, generation, entry } => {
                self.start_load(target, generation, entry);
            }
            Event::StartUnload { target, generation, entry } => {
                self.start_unload(target, generation, entry);
            }
            Event::EndOrder { target, generation, entry } => {
                self.end_order(target, generation, entry);
            }
            Event::StoreDone => self.advance_store(),
            Event::View { target } => self.view(target),
            Event::Report { host } => self.report(host),
            Event::Plan => self.plan(),
            Event::Expire { host } => self.expire(host),
            Event::Fault { index } => self.fault(self.trace.faults[index].1),
        }
    }

    fn arrive(&mut self, index: usize) {
        let request = &self.trace.requests[index];
        let is_within = self.trace.within_rate[index];
        self.counts.within[request.customer] += u64::from(is_within);
        let is_admitted = match self.policy {
            Policy::Planned => is_within,
            Policy::Baseline => {
                self.hosts[request.host].buckets[request.customer].take(self.now_ms, request.tokens)
            }
        };
        if !is_admitted {
            self.counts.refused_rate += u64::from(is_within);
            return;
        }
        let name = &self.trace.names[request.entry];
        if !self.is_ready(request.entry) {
            self.cold[index] = Some(self.wake(request.entry));
        }
        let now = self.now();
        let host = &mut self.hosts[request.host];
        if self.policy == Policy::Planned
            && !host.router.is_ready(name)
            && host.readiness.ready_in_ms(now, name) > Some(request.deadline_in_ms)
        {
            self.refuse(index);
            return;
        }
        let deadline = now + request.deadline_in_ms;
        host.queue.push(
            now,
            QueuedRequest {
                name: name.clone(),
                customer: self.trace.configuration.customers[request.customer].name.clone(),
                deadline,
                cost_tokens: request.tokens,
                payload: index,
            },
        );
        let expire = Event::Expire { host: request.host };
        self.schedule(request.deadline_in_ms + 1, expire);
        self.dispatch(request.host, request.entry);
        if self.hosts[request.host].queue.waiting(name) > 0 {
            self.schedule_report(request.host, REPORT_DELAY_MS);
        }
    }

    /// Returns the wake-up under way for an entry, with the oracle's load for it.
    fn wake(&mut self, entry: usize) -> Wakeup {
        if let Some(wakeup) = self.wakeups[entry] {
            return wakeup;
        }
        let base = self.trace.base(entry).filter(|base| !self.is_ready(*base));
        let base = base.map(|base| self.wake(base));
        let live = self.targets.iter().filter(|target| target.life == Life::Live);
        let place = live.filter_map(|target| target.place(entry)).min();
        let start_ms = base.map_or(self.now_ms, |base| base.oracle_ready_ms);
        let local_ms = local_load_ms(self.trace, entry, place, 0);
        let load_ms = local_ms.unwrap_or_else(|| {
            let load_ms = self.trace.configuration.models[entry].load_remote_ms;
            (load_ms as f64 / self.store.factor) as u64
        });
        let oracle_ready_ms = match local_ms {
            Some(_) => start_ms + load_ms,
            None => self.oracle.load_remote(start_ms, load_ms),
        };
        let load_ms = load_ms + base.map_or(0, |base| base.load_ms);
        let wakeup = Wakeup { oracle_ready_ms, load_ms };
        self.wakeups[entry] = Some(wakeup);
        wakeup
    }

    fn dispatch(&mut self, host: usize, entry: usize) {
        let trace = self.trace;
        let name = &trace.names[entry];
        let now = self.now();
        while self.hosts[host].queue.waiting(name) > 0 {
            let Some(target_name) = self.hosts[host].router.choose(now, name, &[entry as u64], &[])
            else {
                return;
            };
            let target = self.targets.iter().position(|target| target.name == target_name);
            let is_ready = |target: &usize| self.targets[*target].is_ready(entry);
            let Some(target) = target.filter(is_ready) else {
                self.hosts[host].router.remove_replica(name, &target_name);
                continue;
            };
            let running = self.targets[target].replica(entry).map_or(0, |replica| replica.running);
            if running >= SLOTS_PER_REPLICA {
                return;
            }
            let Some(request) = self.hosts[host].queue.pop(now, name) else { return };
            self.start(request.payload, host, target);
        }
    }

    fn start(&mut self, index: usize, host: usize, target: usize) {
        let request = &self.trace.requests[index];
        let entry = request.entry;
        if let Some(wakeup) = self.cold[index] {
            self.counts.cold_ms.push(self.now_ms - request.at_ms);
            let oracle_ms = wakeup.oracle_ready_ms.saturating_sub(request.at_ms);
            self.counts.cold_oracle_ms.push(oracle_ms);
            self.counts.cold_load_ms.push(wakeup.load_ms);
        }
        self.counts.good[request.customer] += u64::from(self.trace.within_rate[index]);
        self.use_replica(target, entry);
        if let Some(base) = self.trace.base(entry) {
            self.use_replica(target, base);
        }
        let generation = self.targets[target].generation;
        let host_state = &mut self.hosts[host];
        host_state.router.started(&self.targets[target].name);
        host_state.running[entry] += 1;
        host_state.served[entry] += 1;
        let finish = Event::Finish { target, generation, entry, host };
        self.schedule(request.service_ms, finish);
        self.schedule_report(host, REPORT_PERIOD_MS);
    }

    fn use_replica(&mut self, target: usize, entry: usize) {
        let idle_ms = self.idle_ms(target, entry);
        self.counts.idle_ms += idle_ms;
        if let Some(replica) = self.targets[target].replica(entry) {
            replica.running += 1;
            replica.used_at_ms = self.now_ms;
        }
    }

    fn finish(&mut self, target: usize, generation: u64, entry: usize, host: usize) {
        self.hosts[host].running[entry] -= 1;
        if self.targets[target].generation != generation {
            return;
        }
        let now_ms = self.now_ms;
        self.hosts[host].router.finished(&self.targets[target].name);
        for entry in [Some(entry), self.trace.base(entry)].into_iter().flatten() {
            if let Some(replica) = self.targets[target].replica(entry) {
                replica.running -= 1;
                replica.idle_since_ms = now_ms;
                replica.used_at_ms = now_ms;
            }
        }
        self.dispatch_all(entry);
    }

    fn dispatch_all(&mut self, entry: usize) {
        for host in 0..HOSTS {
            self.dispatch(host, entry);
        }
    }

    fn report(&mut self, host: usize) {
        if self.hosts[host].report_at_ms != Some(self.now_ms) {
            return;
        }
        self.hosts[host].report_at_ms = None;
        let report = self.demand_report(host);
        let is_empty = report.demands.is_empty() && report.activity.is_empty();
        self.planner.report_demand(self.now(), report);
        if !(is_empty && self.hosts[host].is_reported_empty) {
            self.schedule_report(host, REPORT_PERIOD_MS);
        }
        self.hosts[host].is_reported_empty = is_empty;
        self.schedule_plan(MESSAGE_MS);
    }

    fn demand_report(&mut self, host: usize) -> DemandReport {
        let now = self.now();
        let names = &self.trace.names;
        let state = &mut self.hosts[host];
        let demands = state.queue.depths().into_iter().map(|depth| Demand {
            name: depth.name,
            customer: depth.customer,
            class: depth.class,
            waiting: depth.waiting,
            deadline_in_ms: depth.first_deadline.since_ms(now),
            waited_ms: now.since_ms(depth.first_arrival),
        });
        let used = |(index, (running, served)): (usize, (&u32, &u32))| {
            let (served, running) = (*served, *running);
            let is_used = running > 0 || served > 0;
            is_used.then(|| Activity { name: names[index].clone(), served, running })
        };
        let activity = state.running.iter().zip(&state.served).enumerate().filter_map(used);
        let host = Name::from(format!("host-{host}"));
        let report =
            DemandReport { host, demands: demands.collect(), activity: activity.collect() };
        state.served.fill(0);
        report
    }

    fn plan(&mut self) {
        if self.plan_at_ms != self.now_ms {
            return;
        }
        let actions = match self.policy {
            Policy::Planned => self.planner.plan(self.now()),
            Policy::Baseline => {
                baseline::plan(self.trace, &self.targets, &self.waiting(), &self.ordered)
            }
        };
        let mut next_ms = REPORT_PERIOD_MS;
        for action in actions {
            if matches!(action, PlanAction::Expect { ready_in_ms: 1.., .. }) {
                next_ms = REPLAN_MS;
            }
            self.carry_out(action);
        }
        self.plan_at_ms = 0;
        self.schedule_plan(next_ms);
    }

    /// Returns the entries that requests wait for, in the order of their first requests.
    fn waiting(&self) -> Vec<usize> {
        let depths = self.hosts.iter().flat_map(|host| host.queue.depths());
        let mut waiting: Vec<(TimeMs, Name)> =
            depths.map(|depth| (depth.first_arrival, depth.name)).collect();
        waiting.sort();
        let mut entries: Vec<usize> = Vec::new();
        for (_, name) in waiting {
            entries.extend(self.entry(&name).filter(|entry| !entries.contains(entry)));
        }
        entries
    }

    fn carry_out(&mut self, action: PlanAction) {
        match action {
            PlanAction::Load { name, target, .. } => {
                let Some((target, generation, entry)) = self.order(&target, &name) else { return };
                self.ordered.push(entry);
                self.schedule(ORDER_MS, Event::StartLoad { target, generation, entry });
            }
            PlanAction::Unload { name, target } => {
                let Some((target, generation, entry)) = self.order(&target, &name) else { return };
                self.schedule(ORDER_MS, Event::StartUnload { target, generation, entry });
            }
            PlanAction::Refuse { name, customer, retry_after_ms } => {
                let ready_at = self.now() + retry_after_ms;
                for host in 0..HOSTS {
                    let queue = &mut self.hosts[host].queue;
                    for request in queue.unreachable(&name, &customer, ready_at) {
                        self.refuse(request.payload);
                    }
                }
            }
            PlanAction::Expect { name, ready_in_ms } => {
                let now = self.now();
                for host in &mut self.hosts {
                    host.readiness.expect(now, &name, ready_in_ms);
                }
            }
        }
    }

    fn order(&mut self, target: &Name, name: &Name) -> Option<(usize, u64, usize)> {
        let index = self.targets.iter().position(|known| known.name == *target)?;
        let entry = self.entry(name)?;
        self.targets[index].blocked = true;
        Some((index, self.targets[index].generation, entry))
    }

    fn start_load(&mut self, target: usize, generation: u64, entry: usize) {
        self.ordered.retain(|ordered| *ordered != entry);
        if !self.begin_order(target, generation, entry) {
            return;
        }
        let memory_bytes = self.trace.memory_bytes(entry);
        let used_bytes = self.targets[target].used_bytes(self.trace);
        assert!(used_bytes + memory_bytes <= TARGET_MEMORY_BYTES, "memory overcommitted");
        let (state, now_ms) = (ReplicaState::Loading, self.now_ms);
        let replica =
            Replica { entry, state, running: 0, used_at_ms: now_ms, idle_since_ms: now_ms };
        self.targets[target].replicas.push(replica);
        self.counts.loads[entry] += 1;
        let adapters = self.targets.iter().flat_map(|target| &target.replicas);
        let adapters = adapters.filter(|r| r.state == ReplicaState::Loading);
        let adapters = adapters.filter(|r| r.entry >= self.trace.models()).count();
        let place = self.targets[target].place(entry);
        if let Some(load_ms) = local_load_ms(self.trace, entry, place, adapters) {
            self.schedule(load_ms, Event::EndOrder { target, generation, entry });
        } else {
            self.advance_store();
            let load_ms = self.trace.configuration.models[entry].load_remote_ms;
            self.store.add(target, generation, entry, load_ms);
            self.schedule_store();
        }
        self.schedule(VIEW_LAG_MS, Event::View { target });
    }

    /// Returns whether the order could be recorded and reached its target.
    fn begin_order(&mut self, target: usize, generation: u64, entry: usize) -> bool {
        let state = &mut self.targets[target];
        if state.generation != generation || state.life == Life::Gone {
            return false;
        }
        if self.is_platform_down {
            state.blocked = false;
            self.planner.abandon(&self.trace.names[entry], &state.name);
        }
        !self.is_platform_down
    }

    fn start_unload(&mut self, target: usize, generation: u64, entry: usize) {
        if !self.begin_order(target, generation, entry) {
            return;
        }
        let is_idle = self.targets[target].replica(entry).is_some_and(|r| r.running == 0);
        if !is_idle {
            self.targets[target].blocked = false;
            self.planner.abandon(&self.trace.names[entry], &self.targets[target].name);
            return;
        }
        self.counts.idle_ms += self.idle_ms(target, entry);
        if let Some(replica) = self.targets[target].replica(entry) {
            replica.state = ReplicaState::Unloading;
        }
        for host in &mut self.hosts {
            let name = &self.trace.names[entry];
            host.router.remove_replica(name, &self.targets[target].name);
        }
        self.schedule(UNLOAD_MS, Event::EndOrder { target, generation, entry });
        self.schedule(VIEW_LAG_MS, Event::View { target });
    }

    fn end_order(&mut self, target: usize, generation: u64, entry: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.targets[target];
        if state.generation != generation || state.life == Life::Gone {
            return;
        }
        state.blocked = false;
        state.replicas.retain(|r| r.entry != entry || r.state != ReplicaState::Unloading);
        if let Some(replica) = state.replica(entry) {
            replica.state = ReplicaState::Ready;
            replica.idle_since_ms = now_ms;
            if entry < self.trace.models() {
                state.hold_checkpoint(entry);
            }
            self.wakeups[entry] = None;
        }
        self.schedule(VIEW_LAG_MS, Event::View { target });
    }

    fn advance_store(&mut self) {
        for load in self.store.advance(self.now_ms) {
            self.end_order(load.target, load.generation, load.entry);
        }
        self.schedule_store();
    }

    fn view(&mut self, target: usize) {
        if self.targets[target].life == Life::Gone {
            return;
        }
        let view = self.targets[target].view(self.trace);
        for replica in &view.replicas {
            for host in &mut self.hosts {
                if view.accepts_work && replica.state == ReplicaState::Ready {
                    host.router.set_replica(&replica.name, &view.name);
                } else {
                    host.router.remove_replica(&replica.name, &view.name);
                }
            }
        }
        let ready: Vec<usize> = self.targets[target].replicas.iter().map(|r| r.entry).collect();
        self.planner.observe_target(self.now(), view);
        for entry in ready {
            self.dispatch_all(entry);
        }
        self.schedule_plan(MESSAGE_MS);
    }

    fn expire(&mut self, host: usize) {
        let now = self.now();
        for request in self.hosts[host].queue.expired(now) {
            self.counts.expired_waiting += 1;
            self.refuse(request.payload);
        }
    }

    fn refuse(&mut self, index: usize) {
        if !self.trace.within_rate[index] {
            return;
        }
        self.counts.refused_deadline += 1;
        self.counts.refused_in_outage += u64::from(self.is_platform_down);
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave { target } => {
                self.targets[target].life = Life::Leaving;
                self.schedule(VIEW_LAG_MS, Event::View { target });
            }
            Fault::Lose { target } => {
                self.clear(target);
                self.targets[target].life = Life::Gone;
                let name = self.targets[target].name.clone();
                self.planner.forget_target(&name);
                for host in &mut self.hosts {
                    host.router.remove_target(&name);
                }
                self.schedule_plan(MESSAGE_MS);
            }
            Fault::Return { target } => {
                let generation = self.targets[target].generation + 1;
                self.targets[target] = Target::new(target, generation);
                self.schedule(VIEW_LAG_MS, Event::View { target });
            }
            Fault::StoreSpeed { factor } => {
                self.advance_store();
                self.store.factor = factor;
                self.schedule_store();
            }
            Fault::PlatformDown => self.is_platform_down = true,
            Fault::PlatformUp => self.is_platform_down = false,
        }
    }

    fn clear(&mut self, target: usize) {
        let entries: Vec<usize> = self.targets[target].replicas.iter().map(|r| r.entry).collect();
        for entry in entries {
            self.counts.idle_ms += self.idle_ms(target, entry);
        }
        self.targets[target].replicas.clear();
    }

    /// Returns the idle time that ends now, as time of a whole accelerator.
    fn idle_ms(&mut self, target: usize, entry: usize) -> f64 {
        let share = self.trace.memory_bytes(entry) as f64 / TARGET_MEMORY_BYTES as f64;
        let now_ms = self.now_ms;
        let Some(replica) = self.targets[target].replica(entry) else { return 0.0 };
        if replica.state != ReplicaState::Ready || replica.running > 0 {
            return 0.0;
        }
        (now_ms - replica.idle_since_ms) as f64 * share
    }

    fn is_ready(&self, entry: usize) -> bool {
        let live = self.targets.iter().filter(|target| target.life == Life::Live);
        live.into_iter().any(|target| target.is_ready(entry))
    }

    fn entry(&self, name: &Name) -> Option<usize> {
        let (models, adapters) = self.trace.names.split_at(self.trace.models());
        let adapter = || adapters.binary_search(name).ok().map(|index| index + models.len());
        models.binary_search(name).ok().or_else(adapter)
    }

    fn now(&self) -> TimeMs {
        TimeMs::from_ms(self.now_ms)
    }

    fn schedule(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + in_ms, self.sequence, event)));
    }

    fn schedule_store(&mut self) {
        if let Some(end_ms) = self.store.next_end_ms() {
            self.schedule(end_ms.saturating_sub(self.now_ms), Event::StoreDone);
        }
    }

    fn schedule_report(&mut self, host: usize, in_ms: u64) {
        let at_ms = self.now_ms + in_ms;
        let state = &mut self.hosts[host];
        if state.report_at_ms.is_some_and(|due_ms| due_ms <= at_ms) {
            return;
        }
        state.report_at_ms = Some(at_ms);
        self.schedule(in_ms, Event::Report { host });
    }

    fn schedule_plan(&mut self, in_ms: u64) {
        let at_ms = self.now_ms + in_ms;
        if self.plan_at_ms > self.now_ms && self.plan_at_ms <= at_ms {
            return;
        }
        self.plan_at_ms = at_ms;
        self.schedule(in_ms, Event::Plan);
    }
}

impl Host {
    fn new(trace: &Trace, index: usize) -> Host {
        let mut queue = FairQueue::new();
        queue.configure(&trace.configuration);
        let mut readiness = Readiness::new();
        readiness.configure(&trace.configuration);
        let share = 1.0 / HOSTS as f64;
        let buckets = trace.configuration.customers.iter().map(|c| Bucket::new(c, share));
        Host {
            router: Router::with_seed(index as u64),
            queue,
            readiness,
            buckets: buckets.collect(),
            running: vec![0; trace.names.len()],
            served: vec![0; trace.names.len()],
            report_at_ms: None,
            is_reported_empty: true,
        }
    }
}
