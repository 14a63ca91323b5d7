use super::entry::{DemandPart, Entry, LoadSource, Phase, Replica};
use super::view::{DemandReport, ReplicaState, ReplicaView, TargetView};
use super::{HostUse, Planner};
use crate::TimeMs;

impl Planner {
    /// Applies the current state of a target.
    pub fn observe_target(&mut self, now: TimeMs, view: TargetView) {
        let id = self.targets.find_or_insert(&view.name);
        self.observe_checkpoints(id, &view);
        self.observe_missing(id, &view);
        for replica in &view.replicas {
            self.observe_replica(now, id, replica);
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        let replica_bytes = view.replicas.iter().map(|replica| replica.memory_bytes).sum();
        target.used_bytes = view.reserved_bytes.max(replica_bytes);
        self.target_bytes_max = self.target_bytes_max.max(view.memory_total_bytes);
        target.memory_total_bytes = view.memory_total_bytes;
        target.accepts_work = view.accepts_work;
        target.blocked = view.blocked;
        target.running = view.running;
        target.failure_domain = Some(view.failure_domain);
        self.index_free_memory(id);
    }

    /// Removes a target that no longer exists, with its replicas.
    pub fn forget_target(&mut self, name: &str) {
        let Some(id) = self.targets.find(name) else { return };
        let Some(target) = self.targets.get_mut(id) else { return };
        target.accepts_work = false;
        let (entries, checkpoints) =
            (std::mem::take(&mut target.entries), std::mem::take(&mut target.checkpoints));
        self.index_free_memory(id);
        self.pending.retain(|pending| pending.target != id);
        self.loading.retain(|(_, target)| *target != id);
        for entry in entries {
            if let Some(entry) = self.entries.get_mut(entry) {
                entry.remove_replica(id);
            }
        }
        for entry in checkpoints {
            if let Some(entry) = self.entries.get_mut(entry) {
                entry.checkpoints.retain(|(target, _)| *target != id);
            }
        }
        self.targets.remove(id);
    }

    /// Replaces the demand of an entry host.
    pub fn report_demand(&mut self, now: TimeMs, report: DemandReport) {
        let host = self.hosts.find_or_insert(&report.host);
        self.touch_running(now, host);
        self.clear_host_demand(host);
        let mut host_use = HostUse::default();
        for demand in report.demands {
            let id = self.entries.find_or_insert(&demand.name);
            let customer = self.customers.find_or_insert(&demand.customer);
            self.touch(now, id);
            let Some(entry) = self.entries.get_mut(id) else { continue };
            entry.demand.push(DemandPart {
                host,
                customer,
                class: demand.class,
                waiting: demand.waiting,
                deadline: now + demand.deadline_in_ms,
                since: now - demand.waited_ms,
                reported_at: now,
            });
            host_use.wanted.push(id);
            self.mark_wanted(id);
        }
        for activity in report.activity {
            let Some(id) = self.entries.find(&activity.name) else { continue };
            if activity.served > 0 || activity.running > 0 {
                self.touch(now, id);
            }
            if activity.running > 0 {
                host_use.running.push((id, activity.running));
                self.change_running(id, |running| running + activity.running);
            }
        }
        if let Some(slot) = self.hosts.get_mut(host) {
            *slot = host_use;
        }
    }

    /// Removes the demand of an entry host that no longer exists.
    pub fn forget_host(&mut self, name: &str) {
        let Some(host) = self.hosts.find(name) else { return };
        self.clear_host_demand(host);
        self.hosts.remove(host);
    }

    /// Records a use of the entries that ran in the host's previous report, at the time of this
    /// report.
    fn touch_running(&mut self, now: TimeMs, host: u32) {
        let Some(host_use) = self.hosts.get(host) else { return };
        for (id, _) in host_use.running.clone() {
            self.touch(now, id);
        }
    }

    fn clear_host_demand(&mut self, host: u32) {
        let Some(slot) = self.hosts.get_mut(host) else { return };
        let HostUse { wanted, running } = std::mem::take(slot);
        for id in wanted {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.demand.retain(|part| part.host != host);
            }
        }
        for (id, count) in running {
            self.change_running(id, |running| running.saturating_sub(count));
        }
    }

    fn change_running(&mut self, id: u32, change: impl Fn(u32) -> u32) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.running = change(entry.running);
        let Some(base) = entry.base() else { return };
        if let Some(base) = self.entries.get_mut(base) {
            base.running = change(base.running);
        }
    }

    fn touch(&mut self, now: TimeMs, id: u32) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.touch(now);
        let Some(base) = entry.base() else { return };
        if let Some(base) = self.entries.get_mut(base) {
            base.touch(now);
        }
    }

    fn observe_checkpoints(&mut self, id: u32, view: &TargetView) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let old = std::mem::take(&mut target.checkpoints);
        let mut new: Vec<_> = view
            .checkpoints
            .iter()
            .map(|(name, place)| (self.entries.find_or_insert(name), *place))
            .collect();
        new.sort_unstable();
        new.dedup_by_key(|(entry, _)| *entry);
        for entry in old {
            if new.binary_search_by_key(&entry, |(entry, _)| *entry).is_err()
                && let Some(entry) = self.entries.get_mut(entry)
            {
                entry.checkpoints.retain(|(target, _)| *target != id);
            }
        }
        for (entry, place) in &new {
            let Some(entry) = self.entries.get_mut(*entry) else { continue };
            match entry.checkpoints.binary_search_by_key(&id, |(target, _)| *target) {
                Ok(index) => entry.checkpoints[index].1 = *place,
                Err(index) => entry.checkpoints.insert(index, (id, *place)),
            }
        }
        if let Some(target) = self.targets.get_mut(id) {
            target.checkpoints = new.into_iter().map(|(entry, _)| entry).collect();
        }
    }

    /// Removes the replicas that the view no longer shows.
    ///
    /// A decided load stays until its timeout, since the view may be older than the decision.
    fn observe_missing(&mut self, id: u32, view: &TargetView) {
        let mut shown: Vec<u32> =
            view.replicas.iter().filter_map(|replica| self.entries.find(&replica.name)).collect();
        shown.sort_unstable();
        let Some(target) = self.targets.get(id) else { return };
        let missing: Vec<u32> = target
            .entries
            .iter()
            .copied()
            .filter(|entry| shown.binary_search(entry).is_err())
            .filter(|entry| self.phase(*entry, id) != Some(Phase::LoadDecided))
            .collect();
        for entry in missing {
            self.drop_replica(entry, id);
        }
    }

    fn observe_replica(&mut self, now: TimeMs, target: u32, view: &ReplicaView) {
        let id = self.entries.find_or_insert(&view.name);
        let Some(entry) = self.entries.get_mut(id) else { return };
        let known = entry.replica(target).copied();
        let phase = match (known.map(|replica| replica.phase), view.state) {
            (Some(Phase::UnloadDecided), ReplicaState::Ready | ReplicaState::Loading) => return,
            (_, ReplicaState::Loading) => Phase::Loading,
            (_, ReplicaState::Ready) => Phase::Ready,
            (_, ReplicaState::Unloading) => Phase::Unloading,
        };
        let mut replica = known.unwrap_or_else(|| unknown_replica(now, entry, target));
        if replica.phase == phase && known.is_some() {
            return;
        }
        if phase == Phase::Ready && replica.source == LoadSource::Remote && known.is_some() {
            let full_speed_ms = entry.load_ms(LoadSource::Remote);
            self.store.observe(full_speed_ms, now.since_ms(replica.since));
        }
        if phase == Phase::Ready {
            entry.last_used.get_or_insert(now);
            entry.evicting_on = None;
        }
        if phase != Phase::Loading {
            replica.since = now;
        }
        replica.phase = phase;
        entry.set_replica(replica);
        self.clear_pending(id, target);
        self.set_loading(id, target, phase == Phase::Loading);
        if let Some(target) = self.targets.get_mut(target) {
            target.add_entry(id);
        }
        self.set_timer(now, id);
    }
}

fn unknown_replica(now: TimeMs, entry: &Entry, target: u32) -> Replica {
    let source = entry.source(target);
    let expected_ms = entry.load_ms(source);
    Replica { target, phase: Phase::Loading, since: now, source, expected_ms }
}
