//! The simulation of requests, from arrival to end.

use lycheeford_policy::QueuedRequest;

use crate::fleet::{Lifecycle, local_load_ms};
use crate::simulation::{ColdLoad, Event, Policy, REPORT_PERIOD_MS, Simulation};
use crate::workload::HOSTS;

/// How long a host collects changes of demand before it reports them.
const REPORT_DELAY_MS: u64 = 2;
/// Concurrent requests that a replica serves.
const SLOTS_PER_REPLICA: u32 = 16;

impl Simulation<'_> {
    pub fn arrive(&mut self, index: usize) {
        let request = &self.trace.requests[index];
        let is_within = self.trace.within_rate[index];
        self.counts.arrived_within_rate[request.customer] += u64::from(is_within);
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
            self.awaited_loads[index] = Some(self.cold_load(request.entry));
        }
        let now = self.now();
        let host = &mut self.hosts[request.host];
        if self.policy == Policy::Planned
            && !host.router.is_ready(name)
            && host.readiness.ready_in_ms(now, name) > Some(request.deadline_in_ms)
        {
            self.count_refusal(index);
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

    /// Returns the cold start in progress for an entry, or begins one with the oracle's load.
    pub fn cold_load(&mut self, entry: usize) -> ColdLoad {
        if let Some(cold_load) = self.cold_loads[entry] {
            return cold_load;
        }
        let base = self.trace.base(entry).filter(|base| !self.is_ready(*base));
        let base = base.map(|base| self.cold_load(base));
        let live = self.targets.iter().filter(|target| target.lifecycle == Lifecycle::Live);
        let place = live.filter_map(|target| target.checkpoint_place(entry)).min();
        let start_ms = base.map_or(self.now_ms, |base| base.oracle_ready_ms);
        let local_ms = local_load_ms(self.trace, entry, place, 0);
        let load_ms = local_ms.unwrap_or_else(|| {
            let load_ms = self.trace.configuration.models[entry].load_remote_ms;
            (load_ms as f64 / self.store.speed_factor) as u64
        });
        let oracle_ready_ms = match local_ms {
            Some(_) => start_ms + load_ms,
            None => self.oracle.load_remote(start_ms, load_ms),
        };
        let load_ms = load_ms + base.map_or(0, |base| base.load_ms);
        let cold_load = ColdLoad { oracle_ready_ms, load_ms };
        self.cold_loads[entry] = Some(cold_load);
        cold_load
    }

    /// Starts a host's waiting requests for an entry, as far as a chosen replica has free slots.
    pub fn dispatch(&mut self, host: usize, entry: usize) {
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

    pub fn start(&mut self, index: usize, host: usize, target: usize) {
        let request = &self.trace.requests[index];
        let entry = request.entry;
        if let Some(cold_load) = self.awaited_loads[index] {
            self.counts.cold_ms.push(self.now_ms - request.at_ms);
            let oracle_ms = cold_load.oracle_ready_ms.saturating_sub(request.at_ms);
            self.counts.cold_oracle_ms.push(oracle_ms);
            self.counts.cold_load_ms.push(cold_load.load_ms);
        }
        self.counts.served_within_rate[request.customer] +=
            u64::from(self.trace.within_rate[index]);
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

    /// Ends the idle time of a replica, if it was idle, and counts a running request.
    pub fn use_replica(&mut self, target: usize, entry: usize) {
        let idle_ms = self.idle_ms(target, entry);
        self.counts.idle_ms += idle_ms;
        if let Some(replica) = self.targets[target].replica(entry) {
            replica.running += 1;
            replica.used_at_ms = self.now_ms;
        }
    }

    pub fn finish(&mut self, target: usize, generation: u64, entry: usize, host: usize) {
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

    pub fn dispatch_all(&mut self, entry: usize) {
        for host in 0..HOSTS {
            self.dispatch(host, entry);
        }
    }
}
