//! Runs a trace in virtual time and calls the library's decisions for the simulated fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lycheeford_policy::{
    FairQueue, LoadLimits, Name, Planner, Readiness, ReplicaState, Router, TimeMs,
};

use crate::fleet::{Lifecycle, Store, Target};
use crate::measures::{Counts, Figures, Oracle};
use crate::workload::{Bucket, DAY_MS, Fault, HOSTS, TARGET_MEMORY_BYTES, Trace};

/// Network delay of a message between two daemons.
pub const MESSAGE_DELAY_MS: u64 = 1;
pub const REPORT_PERIOD_MS: u64 = 1_000;
/// Delay until a change at a target shows in the status that the daemons know.
pub const STATUS_DELAY_MS: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decisions of lycheeford-policy.
    Planned,
    /// The simple policy of the module `baseline`.
    Baseline,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
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
pub struct Host {
    pub router: Router,
    pub queue: FairQueue<usize>,
    pub readiness: Readiness,
    /// This host's equal part of each customer's rate; used by the baseline only.
    pub buckets: Vec<Bucket>,
    /// Running requests by entry.
    pub running: Vec<u32>,
    /// Requests started since the last demand report, by entry.
    pub served: Vec<u32>,
    /// When the next demand report is due.
    pub report_at_ms: Option<u64>,
    /// Whether the last demand report named neither demand nor activity.
    pub is_last_report_empty: bool,
}

/// A cold start in progress: the load that the first request for a cold entry caused.
#[derive(Debug, Clone, Copy)]
pub struct ColdLoad {
    /// When the oracle would have the entry ready.
    pub oracle_ready_ms: u64,
    /// The duration of the load alone, with the base model's if that must be loaded too.
    pub load_ms: u64,
}

#[derive(Debug)]
pub struct Simulation<'a> {
    pub trace: &'a Trace,
    pub policy: Policy,
    pub planner: Planner,
    pub now_ms: u64,
    /// Pending events by time; the sequence number keeps the order of events at the same time.
    pub events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub sequence: u64,
    pub targets: Vec<Target>,
    pub hosts: Vec<Host>,
    pub store: Store,
    pub oracle: Oracle,
    /// The cold start in progress of each entry.
    pub cold_loads: Vec<Option<ColdLoad>>,
    /// For each request, the cold start that it waited for.
    pub awaited_loads: Vec<Option<ColdLoad>>,
    /// When the next plan is due.
    pub plan_at_ms: u64,
    pub is_platform_down: bool,
    /// The entries whose load orders have been sent and not yet received by their targets.
    pub ordered: Vec<usize>,
    pub counts: Counts,
}

/// Runs a trace under a policy and returns the figures of the run.
pub fn run(trace: &Trace, policy: Policy) -> Figures {
    let mut simulation = Simulation::new(trace, policy);
    simulation.run();
    simulation.counts.figures(trace)
}

impl<'a> Simulation<'a> {
    pub fn new(trace: &'a Trace, policy: Policy) -> Simulation<'a> {
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
            cold_loads: vec![None; names],
            awaited_loads: vec![None; trace.requests.len()],
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

    pub fn run(&mut self) {
        for index in 0..self.trace.requests.len() {
            let at_ms = self.trace.requests[index].at_ms.min(DAY_MS);
            self.run_until(at_ms);
            self.now_ms = at_ms;
            self.arrive(index);
        }
        self.run_until(DAY_MS);
        self.now_ms = DAY_MS;
        for target in 0..self.targets.len() {
            self.remove_replicas(target);
        }
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, _, event))) = self.events.peek().copied() {
            if at_ms > end_ms {
                return;
            }
            self.events.pop();
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    pub fn handle(&mut self, event: Event) {
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
            Event::View { target } => self.deliver_status(target),
            Event::Report { host } => self.report(host),
            Event::Plan => self.plan(),
            Event::Expire { host } => self.expire(host),
            Event::Fault { index } => self.apply_fault(self.trace.faults[index].1),
        }
    }

    pub fn expire(&mut self, host: usize) {
        let now = self.now();
        for request in self.hosts[host].queue.take_expired(now) {
            self.counts.expired_waiting += 1;
            self.count_refusal(request.payload);
        }
    }

    /// Counts a request that is refused for its deadline, if it was within its customer's rate.
    pub fn count_refusal(&mut self, index: usize) {
        if !self.trace.within_rate[index] {
            return;
        }
        self.counts.refused_deadline += 1;
        self.counts.refused_in_outage += u64::from(self.is_platform_down);
    }

    pub fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave { target } => {
                self.targets[target].lifecycle = Lifecycle::Leaving;
                self.schedule(STATUS_DELAY_MS, Event::View { target });
            }
            Fault::Lose { target } => {
                self.remove_replicas(target);
                self.targets[target].lifecycle = Lifecycle::Gone;
                let name = self.targets[target].name.clone();
                self.planner.forget_target(&name);
                for host in &mut self.hosts {
                    host.router.remove_target(&name);
                }
                self.schedule_plan(MESSAGE_DELAY_MS);
            }
            Fault::Return { target } => {
                let generation = self.targets[target].generation + 1;
                self.targets[target] = Target::new(target, generation);
                self.schedule(STATUS_DELAY_MS, Event::View { target });
            }
            Fault::StoreSpeed { factor } => {
                self.advance_store();
                self.store.speed_factor = factor;
                self.schedule_store();
            }
            Fault::PlatformDown => self.is_platform_down = true,
            Fault::PlatformUp => self.is_platform_down = false,
        }
    }

    /// Removes all replicas of a target and counts the idle time that ends with them.
    pub fn remove_replicas(&mut self, target: usize) {
        let entries: Vec<usize> = self.targets[target].replicas.iter().map(|r| r.entry).collect();
        for entry in entries {
            self.counts.idle_ms += self.idle_ms(target, entry);
        }
        self.targets[target].replicas.clear();
    }

    /// Returns the idle time of a replica up to now, weighted by its part of the target's memory.
    pub fn idle_ms(&mut self, target: usize, entry: usize) -> f64 {
        let share = self.trace.memory_bytes(entry) as f64 / TARGET_MEMORY_BYTES as f64;
        let now_ms = self.now_ms;
        let Some(replica) = self.targets[target].replica(entry) else { return 0.0 };
        if replica.state != ReplicaState::Ready || replica.running > 0 {
            return 0.0;
        }
        (now_ms - replica.idle_since_ms) as f64 * share
    }

    /// Returns whether a live target has the entry ready.
    pub fn is_ready(&self, entry: usize) -> bool {
        let live = self.targets.iter().filter(|target| target.lifecycle == Lifecycle::Live);
        live.into_iter().any(|target| target.is_ready(entry))
    }

    /// Returns the index of a model or adapter in the trace's names.
    pub fn entry(&self, name: &Name) -> Option<usize> {
        let (models, adapters) = self.trace.names.split_at(self.trace.model_count());
        let adapter = || adapters.binary_search(name).ok().map(|index| index + models.len());
        models.binary_search(name).ok().or_else(adapter)
    }

    pub fn now(&self) -> TimeMs {
        TimeMs::from_ms(self.now_ms)
    }

    pub fn schedule(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + in_ms, self.sequence, event)));
    }

    pub fn schedule_store(&mut self) {
        if let Some(end_ms) = self.store.next_end_ms() {
            self.schedule(end_ms.saturating_sub(self.now_ms), Event::StoreDone);
        }
    }

    /// Schedules a demand report, unless one is due by then already.
    pub fn schedule_report(&mut self, host: usize, in_ms: u64) {
        let at_ms = self.now_ms + in_ms;
        let state = &mut self.hosts[host];
        if state.report_at_ms.is_some_and(|due_ms| due_ms <= at_ms) {
            return;
        }
        state.report_at_ms = Some(at_ms);
        self.schedule(in_ms, Event::Report { host });
    }

    /// Schedules a plan, unless one is due by then already.
    pub fn schedule_plan(&mut self, in_ms: u64) {
        let at_ms = self.now_ms + in_ms;
        if self.plan_at_ms > self.now_ms && self.plan_at_ms <= at_ms {
            return;
        }
        self.plan_at_ms = at_ms;
        self.schedule(in_ms, Event::Plan);
    }
}

impl Host {
    pub fn new(trace: &Trace, index: usize) -> Host {
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
            is_last_report_empty: true,
        }
    }
}
