use std::sync::Arc;

use lycheeford_config::WeightStoreLimits;
use lycheeford_policy::{
    Configuration, DemandReport, Host, HostRole, HostState, Incarnation, LoadLimits, LoadState,
    Name, PlanAction, Planner, ReplicaState, ReplicaView, TargetRecord, TargetView, TimeMs,
    Verdict,
};
use lycheeford_target::{self as target, TargetStatus};
use lycheeford_wire::{Expected, PlacementReport, Refused, TargetPlacement};

use crate::versioned::Versioned;

/// How often the status of a target is requested while nothing changes on it.
const POLL_MS: u64 = 250;
/// How often it is requested while the target loads or unloads.
const POLL_BUSY_MS: u64 = 20;

/// The state from which the coordinating daemon plans loads.
///
/// Every daemon has a coordinator; only that of the coordinating daemon is active. Its state is
/// reset whenever the daemon starts to coordinate.
#[derive(Debug)]
pub(crate) struct Coordinator {
    limits: LoadLimits,
    planner: Planner,
    configuration: Arc<Configuration>,
    active: bool,
    view_requested: bool,
    sequence: u64,
    /// Sorted by name.
    targets: Vec<CoordinatedTarget>,
    expected: Vec<Expected>,
    refused: Vec<Refused>,
}

/// A target as its coordinator sees it.
#[derive(Debug)]
pub(crate) struct CoordinatedTarget {
    pub(crate) host: Host,
    pub(crate) status: Option<TargetStatus>,
    pub(crate) record: Option<Versioned<TargetRecord>>,
    pub(crate) verdict: Verdict,
    poll_due: TimeMs,
    polling: bool,
    idle_since: TimeMs,
}

impl Coordinator {
    pub(crate) fn new(limits: &WeightStoreLimits) -> Coordinator {
        let limits = LoadLimits {
            store_loads_at_once: limits.loads_at_once,
            store_loads_per_s: limits.loads_per_s,
            adapter_loads_at_once: limits.adapter_loads_at_once,
        };
        Coordinator {
            planner: Planner::new(limits.clone()),
            limits,
            configuration: Arc::default(),
            active: false,
            view_requested: false,
            sequence: 0,
            targets: Vec::new(),
            expected: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Applies a configuration; the planner of an inactive coordinator stays empty.
    pub(crate) fn configure(&mut self, configuration: &Arc<Configuration>) {
        self.configuration = configuration.clone();
        if self.active {
            self.planner.configure(configuration);
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.active
    }

    /// Activates the coordinator with a new planner; returns `false` if it was active already.
    pub(crate) fn activate(&mut self) -> bool {
        if self.active {
            return false;
        }
        self.active = true;
        self.planner = Planner::new(self.limits.clone());
        self.planner.configure(&self.configuration);
        self.targets.clear();
        true
    }

    /// Deactivates the coordinator; returns `false` if it was inactive already.
    pub(crate) fn deactivate(&mut self) -> bool {
        if !self.active {
            return false;
        }
        self.active = false;
        self.planner = Planner::new(self.limits.clone());
        true
    }

    /// Replaces the list of model workers, which has to be sorted by name.
    pub(crate) fn set_hosts(&mut self, now: TimeMs, hosts: Vec<Host>) {
        let mut known = std::mem::take(&mut self.targets);
        for host in hosts {
            match known.iter().position(|target| target.host.name == host.name) {
                Some(index) => {
                    let mut target = known.swap_remove(index);
                    target.host = host;
                    self.targets.push(target);
                }
                None => self.targets.push(CoordinatedTarget {
                    host,
                    status: None,
                    record: None,
                    verdict: Verdict::Up,
                    poll_due: now,
                    polling: false,
                    idle_since: now,
                }),
            }
        }
        for gone in known {
            self.planner.forget_target(&gone.host.name);
        }
    }

    /// Returns the targets that are due for a poll, with their known records, and marks them as
    /// being polled.
    pub(crate) fn due(&mut self, now: TimeMs) -> Vec<(Host, Option<Versioned<TargetRecord>>)> {
        let due =
            self.targets.iter_mut().filter(|target| !target.polling && target.poll_due <= now);
        due.map(|target| {
            target.polling = true;
            (target.host.clone(), target.record.clone())
        })
        .collect()
    }

    /// Records the result of polling a target and returns the target's idle time since the last
    /// poll, in ms.
    pub(crate) fn record_poll(
        &mut self,
        now: TimeMs,
        name: &str,
        status: Option<TargetStatus>,
        record: Option<Versioned<TargetRecord>>,
        verdict: Verdict,
    ) -> u64 {
        let Ok(index) = self.position(name) else { return 0 };
        let target = &mut self.targets[index];
        target.polling = false;
        target.verdict = verdict;
        if status.is_some() {
            target.status = status;
        }
        target.record = record;
        let pause_ms = if target.is_changing() { POLL_BUSY_MS } else { POLL_MS };
        target.poll_due = now + pause_ms;
        let idle_ms = target.idle_ms(now);
        if let Some(view) = target.view() {
            self.planner.observe_target(now, view);
        }
        idle_ms
    }

    /// Makes a target due for a poll at once, with its record read again.
    pub(crate) fn poll_soon(&mut self, now: TimeMs, name: &str) {
        if let Ok(index) = self.position(name) {
            self.targets[index].poll_due = now;
            self.targets[index].record = None;
        }
    }

    pub(crate) fn report_demand(&mut self, now: TimeMs, report: DemandReport) {
        self.view_requested |= !report.demands.is_empty();
        self.planner.report_demand(now, report);
    }

    /// Returns whether a host has reported waiting requests since the last call.
    pub(crate) fn take_view_requested(&mut self) -> bool {
        std::mem::take(&mut self.view_requested)
    }

    /// Drops a planned action that couldn't be carried out.
    pub(crate) fn abandon(&mut self, name: &str, target: &str) {
        self.planner.abandon(name, target);
    }

    /// Plans, keeps the expected loads and refusals for the next report, and returns the orders
    /// to carry out.
    pub(crate) fn plan(&mut self, now: TimeMs) -> Vec<PlanAction> {
        self.expected.clear();
        self.refused.clear();
        let mut orders = Vec::new();
        for action in self.planner.plan(now) {
            match action {
                PlanAction::Expect { name, ready_in_ms } => {
                    self.expected.push(Expected { name, ready_in_ms });
                }
                PlanAction::Refuse { name, customer, retry_after_ms } => {
                    self.refused.push(Refused { name, customer, retry_after_ms });
                }
                PlanAction::Load { .. } | PlanAction::Unload { .. } => orders.push(action),
            }
        }
        orders
    }

    /// Returns the placement view to publish, with the next sequence number.
    pub(crate) fn report(&mut self) -> PlacementReport {
        self.sequence += 1;
        PlacementReport {
            sequence: self.sequence,
            targets: self.targets.iter().filter_map(CoordinatedTarget::placement).collect(),
            expected: self.expected.clone(),
            refused: self.refused.clone(),
        }
    }

    /// Returns the incarnation of a target as of its last status.
    pub(crate) fn target_incarnation(&self, name: &str) -> Option<Incarnation> {
        let target = &self.targets[self.position(name).ok()?];
        target.status.as_ref().map(|status| status.incarnation)
    }

    pub(crate) fn targets(&self) -> &[CoordinatedTarget] {
        &self.targets
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|target| target.host.name.as_str().cmp(name))
    }
}

impl CoordinatedTarget {
    /// Returns whether new requests may be sent to the target.
    pub(crate) fn accepts_work(&self) -> bool {
        self.host.state == HostState::Live
            && self.verdict != Verdict::Down
            && self.status.as_ref().is_some_and(|status| status.state == HostState::Live)
    }

    fn is_changing(&self) -> bool {
        let loading = |status: &TargetStatus| {
            status.loaded.iter().any(|loaded| loaded.state != LoadState::Ready)
        };
        let ordered = |record: &Versioned<TargetRecord>| record.value.order.is_some();
        self.status.as_ref().is_some_and(loading) || self.record.as_ref().is_some_and(ordered)
    }

    /// Returns the time since the last call in ms, if the target now has replicas but no requests.
    fn idle_ms(&mut self, now: TimeMs) -> u64 {
        let idle_since = std::mem::replace(&mut self.idle_since, now);
        let idle = self.status.as_ref().is_some_and(|status| {
            !status.loaded.is_empty() && status.running == 0 && status.queued == 0
        });
        if idle { now.since_ms(idle_since) } else { 0 }
    }

    fn view(&self) -> Option<TargetView> {
        let HostRole::ModelWorker { memory_bytes, .. } = self.host.role else { return None };
        let (status, record) = (self.status.as_ref()?, self.record.as_ref()?);
        Some(TargetView {
            name: self.host.name.clone(),
            failure_domain: self.host.failure_domain.clone(),
            accepts_work: self.accepts_work(),
            memory_total_bytes: memory_bytes.min(status.memory_total_bytes),
            reserved_bytes: record.value.reserved_bytes(),
            blocked: record.value.order.is_some(),
            replicas: status.loaded.iter().map(replica_view).collect(),
            checkpoints: status
                .checkpoints
                .iter()
                .map(|checkpoint| (checkpoint.name.clone(), checkpoint.place))
                .collect(),
            running: status.running,
        })
    }

    fn placement(&self) -> Option<TargetPlacement> {
        let status = self.status.as_ref()?;
        let mut ready: Vec<Name> = status
            .loaded
            .iter()
            .filter(|loaded| loaded.state == LoadState::Ready)
            .map(|loaded| loaded.name.clone())
            .collect();
        ready.sort();
        Some(TargetPlacement {
            target: self.host.name.clone(),
            incarnation: status.incarnation,
            accepts_work: self.accepts_work(),
            running: status.running,
            queued: status.queued,
            ready,
        })
    }
}

fn replica_view(loaded: &target::Loaded) -> ReplicaView {
    let state = match loaded.state {
        LoadState::Loading => ReplicaState::Loading,
        LoadState::Ready => ReplicaState::Ready,
        LoadState::Unloading => ReplicaState::Unloading,
    };
    ReplicaView { name: loaded.name.clone(), state, memory_bytes: loaded.memory_bytes }
}
