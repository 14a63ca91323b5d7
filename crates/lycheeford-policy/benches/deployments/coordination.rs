//! The simulation of demand reports, plans, orders and target statuses.

use lycheeford_policy::{Activity, Demand, DemandReport, Name, PlanAction, ReplicaState, TimeMs};

use crate::baseline;
use crate::fleet::{Lifecycle, Replica, local_load_ms};
use crate::simulation::{
    Event, MESSAGE_DELAY_MS, Policy, REPORT_PERIOD_MS, STATUS_DELAY_MS, Simulation,
};
use crate::workload::{HOSTS, TARGET_MEMORY_BYTES};

/// Time from a decision to the arrival of its order: two conditional updates and the network delay
/// to the target.
const ORDER_DELAY_MS: u64 = 8;
const UNLOAD_DURATION_MS: u64 = 50;
/// Time until the coordinator plans again while requests wait for a load.
const REPLAN_PERIOD_MS: u64 = 25;

impl Simulation<'_> {
    pub fn report(&mut self, host: usize) {
        if self.hosts[host].report_at_ms != Some(self.now_ms) {
            return;
        }
        self.hosts[host].report_at_ms = None;
        let report = self.demand_report(host);
        let is_empty = report.demands.is_empty() && report.activity.is_empty();
        self.planner.report_demand(self.now(), report);
        if !(is_empty && self.hosts[host].is_last_report_empty) {
            self.schedule_report(host, REPORT_PERIOD_MS);
        }
        self.hosts[host].is_last_report_empty = is_empty;
        self.schedule_plan(MESSAGE_DELAY_MS);
    }

    pub fn demand_report(&mut self, host: usize) -> DemandReport {
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

    pub fn plan(&mut self) {
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
                next_ms = REPLAN_PERIOD_MS;
            }
            self.carry_out(action);
        }
        self.plan_at_ms = 0;
        self.schedule_plan(next_ms);
    }

    /// Returns the entries that requests wait for, by the arrival of their first waiting request.
    pub fn waiting(&self) -> Vec<usize> {
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

    pub fn carry_out(&mut self, action: PlanAction) {
        match action {
            PlanAction::Load { name, target, .. } => {
                let Some((target, generation, entry)) = self.block(&target, &name) else { return };
                self.ordered.push(entry);
                self.schedule(ORDER_DELAY_MS, Event::StartLoad { target, generation, entry });
            }
            PlanAction::Unload { name, target } => {
                let Some((target, generation, entry)) = self.block(&target, &name) else { return };
                self.schedule(ORDER_DELAY_MS, Event::StartUnload { target, generation, entry });
            }
            PlanAction::Refuse { name, customer, retry_after_ms } => {
                let ready_at = self.now() + retry_after_ms;
                for host in 0..HOSTS {
                    let queue = &mut self.hosts[host].queue;
                    for request in queue.take_unservable(&name, &customer, ready_at) {
                        self.count_refusal(request.payload);
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

    /// Blocks the target for a new order and returns its index, its generation and the entry.
    pub fn block(&mut self, target: &Name, name: &Name) -> Option<(usize, u64, usize)> {
        let index = self.targets.iter().position(|known| known.name == *target)?;
        let entry = self.entry(name)?;
        self.targets[index].blocked = true;
        Some((index, self.targets[index].generation, entry))
    }

    pub fn start_load(&mut self, target: usize, generation: u64, entry: usize) {
        self.ordered.retain(|ordered| *ordered != entry);
        if !self.begin_order(target, generation, entry) {
            return;
        }
        let memory_bytes = self.trace.memory_bytes(entry);
        let used_bytes = self.targets[target].used_bytes(self.trace);
        assert!(
            used_bytes + memory_bytes <= TARGET_MEMORY_BYTES,
            "a load exceeds the target's memory"
        );
        let (state, now_ms) = (ReplicaState::Loading, self.now_ms);
        let replica =
            Replica { entry, state, running: 0, used_at_ms: now_ms, idle_since_ms: now_ms };
        self.targets[target].replicas.push(replica);
        self.counts.loads[entry] += 1;
        let adapters = self.targets.iter().flat_map(|target| &target.replicas);
        let adapters = adapters.filter(|r| r.state == ReplicaState::Loading);
        let adapters = adapters.filter(|r| r.entry >= self.trace.model_count()).count();
        let place = self.targets[target].checkpoint_place(entry);
        if let Some(load_ms) = local_load_ms(self.trace, entry, place, adapters) {
            self.schedule(load_ms, Event::EndOrder { target, generation, entry });
        } else {
            self.advance_store();
            let load_ms = self.trace.configuration.models[entry].load_remote_ms;
            self.store.add(target, generation, entry, load_ms);
            self.schedule_store();
        }
        self.schedule(STATUS_DELAY_MS, Event::View { target });
    }

    /// Returns whether the order was recorded at the platform and reached its target.
    pub fn begin_order(&mut self, target: usize, generation: u64, entry: usize) -> bool {
        let state = &mut self.targets[target];
        if state.generation != generation || state.lifecycle == Lifecycle::Gone {
            return false;
        }
        if self.is_platform_down {
            state.blocked = false;
            self.planner.abandon(&self.trace.names[entry], &state.name);
        }
        !self.is_platform_down
    }

    pub fn start_unload(&mut self, target: usize, generation: u64, entry: usize) {
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
        self.schedule(UNLOAD_DURATION_MS, Event::EndOrder { target, generation, entry });
        self.schedule(STATUS_DELAY_MS, Event::View { target });
    }

    /// Completes a load or unload at its target.
    pub fn end_order(&mut self, target: usize, generation: u64, entry: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.targets[target];
        if state.generation != generation || state.lifecycle == Lifecycle::Gone {
            return;
        }
        state.blocked = false;
        state.replicas.retain(|r| r.entry != entry || r.state != ReplicaState::Unloading);
        if let Some(replica) = state.replica(entry) {
            replica.state = ReplicaState::Ready;
            replica.idle_since_ms = now_ms;
            if entry < self.trace.model_count() {
                state.add_checkpoint(entry);
            }
            self.cold_loads[entry] = None;
        }
        self.schedule(STATUS_DELAY_MS, Event::View { target });
    }

    pub fn advance_store(&mut self) {
        for load in self.store.advance(self.now_ms) {
            self.end_order(load.target, load.generation, load.entry);
        }
        self.schedule_store();
    }

    /// Delivers a target's status to the planner and to the routers of all hosts.
    pub fn deliver_status(&mut self, target: usize) {
        if self.targets[target].lifecycle == Lifecycle::Gone {
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
        self.schedule_plan(MESSAGE_DELAY_MS);
    }
}
