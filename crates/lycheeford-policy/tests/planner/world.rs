//! Simulated targets that execute the planner's orders, and checks of the planner's limits.

use lycheeford_policy::{
    Activity, Adapter, CheckpointPlace, Configuration, Customer, Demand, DemandReport, LoadLimits,
    Model, Name, PlanAction, Planner, ReplicaState, ReplicaView, TargetView, TimeMs,
};
use proptest::prelude::*;

pub const MODELS: usize = 8;
pub const ADAPTERS: usize = 4;
pub const TARGETS: usize = 5;
pub const MEMORY_BYTES: u64 = 100;
pub const LOAD_REMOTE_MS: u64 = 600;

#[derive(Debug, Clone)]
pub enum Step {
    Demand { host: usize, name: usize, customer: usize, deadline_in_ms: u64 },
    Activity { host: usize, name: usize, running: u32 },
    Advance { ms: u64 },
    Leave { target: usize },
    Replace { target: usize },
    Observe { target: usize },
    Fail,
    ChangeCoordinator,
}

/// The targets' actual state, which the planner may know only in part.
#[derive(Debug)]
pub struct World {
    pub now: TimeMs,
    pub configuration: Configuration,
    pub targets: Vec<TargetView>,
    pub orders: Vec<Order>,
    pub demands: Vec<(usize, Demand, TimeMs)>,
    pub remote_starts: Vec<TimeMs>,
}

#[derive(Debug)]
pub struct Order {
    pub target: Name,
    pub name: Name,
    pub ends_at: TimeMs,
    pub is_remote: bool,
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..MODELS + ADAPTERS, 0..3usize, 50..5_000u64).prop_map(
            |(host, name, customer, deadline_in_ms)| Step::Demand {
                host, name, customer, deadline_in_ms
            }
        ),
        2 => (0..3usize, 0..MODELS + ADAPTERS, 0..3u32)
            .prop_map(|(host, name, running)| Step::Activity { host, name, running }),
        6 => prop_oneof![1..200u64, 1..2_000u64, 60_000..7_200_000u64]
            .prop_map(|ms| Step::Advance { ms }),
        1 => (0..TARGETS).prop_map(|target| Step::Leave { target }),
        1 => (0..TARGETS).prop_map(|target| Step::Replace { target }),
        4 => (0..TARGETS).prop_map(|target| Step::Observe { target }),
        1 => Just(Step::Fail),
        1 => Just(Step::ChangeCoordinator),
    ]
}

pub fn name(index: usize) -> Name {
    match index.checked_sub(MODELS) {
        None => Name::from(format!("model-{index}")),
        Some(adapter) => Name::from(format!("adapter-{adapter}")),
    }
}

pub fn configuration() -> Configuration {
    let model = |index: usize| Model {
        name: name(index),
        memory_bytes: 20 + 10 * (index as u64 % 6),
        replicas_max: 1 + index as u32 % 3,
        load_remote_ms: LOAD_REMOTE_MS,
        load_disk_ms: 200,
        min_bytes_per_token: 1,
        customers: Vec::new(),
    };
    let adapter = |index: usize| Adapter {
        name: name(MODELS + index),
        model: name(index / 2),
        memory_bytes: 5,
        customers: Vec::new(),
    };
    let customer = |index: usize| Customer {
        name: Name::from(format!("customer-{index}")),
        rate_tokens_per_s: 100 + 900 * index as u64,
        burst_tokens: 1_000,
        class: index as u8 % 2,
    };
    Configuration {
        models: (0..MODELS).map(model).collect(),
        adapters: (0..ADAPTERS).map(adapter).collect(),
        customers: (0..3).map(customer).collect(),
        ..Configuration::default()
    }
}

pub fn empty_target(index: usize, generation: u64) -> TargetView {
    TargetView {
        name: Name::from(format!("target-{index}-{generation}")),
        failure_domain: Name::from(format!("domain-{}", index % 3)),
        accepts_work: true,
        memory_total_bytes: MEMORY_BYTES,
        reserved_bytes: 0,
        blocked: false,
        replicas: Vec::new(),
        checkpoints: vec![(name(index), CheckpointPlace::Disk)],
        running: 0,
    }
}

impl World {
    pub fn new() -> World {
        World {
            now: TimeMs::from_ms(1_000),
            configuration: configuration(),
            targets: (0..TARGETS).map(|index| empty_target(index, 0)).collect(),
            orders: Vec::new(),
            demands: Vec::new(),
            remote_starts: Vec::new(),
        }
    }

    pub fn apply(&mut self, step: &Step, planner: &mut Planner) {
        match step {
            Step::Demand { host, name: index, customer, deadline_in_ms } => {
                let demand = Demand {
                    name: name(*index),
                    customer: Name::from(format!("customer-{customer}")),
                    class: *customer as u8 % 2,
                    waiting: 1,
                    deadline_in_ms: *deadline_in_ms,
                    waited_ms: 0,
                };
                self.demands.retain(|(other, ..)| other != host);
                self.demands.push((*host, demand.clone(), self.now + *deadline_in_ms));
                self.report(planner, *host, vec![demand], Vec::new());
            }
            Step::Activity { host, name: index, running } => {
                self.demands.retain(|(other, ..)| other != host);
                let activity = Activity { name: name(*index), served: 1, running: *running };
                self.report(planner, *host, Vec::new(), vec![activity]);
            }
            Step::Advance { ms } => self.advance(planner, *ms),
            Step::Leave { target } => {
                self.targets[*target].accepts_work = false;
                planner.observe_target(self.now, self.targets[*target].clone());
            }
            Step::Replace { target } => self.replace(planner, *target),
            Step::Observe { target } => {
                planner.observe_target(self.now, self.targets[*target].clone());
            }
            Step::Fail => self.fail(planner),
            Step::ChangeCoordinator => {
                *planner = Planner::new(LoadLimits::default());
                planner.configure(&self.configuration);
                self.observe_all(planner);
                self.demands.clear();
            }
        }
    }

    pub fn report(
        &self,
        planner: &mut Planner,
        host: usize,
        demands: Vec<Demand>,
        activity: Vec<Activity>,
    ) {
        let host = Name::from(format!("host-{host}"));
        planner.report_demand(self.now, DemandReport { host, demands, activity });
    }

    pub fn observe_all(&self, planner: &mut Planner) {
        for target in &self.targets {
            planner.observe_target(self.now, target.clone());
        }
    }

    pub fn advance(&mut self, planner: &mut Planner, ms: u64) {
        self.now = self.now + ms;
        let now = self.now;
        let (ended, running) =
            std::mem::take(&mut self.orders).into_iter().partition(|order| order.ends_at <= now);
        self.orders = running;
        for order in ended {
            let Some(target) = self.targets.iter_mut().find(|t| t.name == order.target) else {
                continue;
            };
            target.blocked = false;
            target.replicas.retain(|replica| {
                replica.name != order.name || replica.state != ReplicaState::Unloading
            });
            for replica in target.replicas.iter_mut().filter(|r| r.name == order.name) {
                replica.state = ReplicaState::Ready;
            }
            target.reserved_bytes = target.replicas.iter().map(|r| r.memory_bytes).sum();
        }
        self.observe_all(planner);
    }

    pub fn replace(&mut self, planner: &mut Planner, index: usize) {
        let old = self.targets[index].name.clone();
        planner.forget_target(&old);
        self.orders.retain(|order| order.target != old);
        self.targets[index] = empty_target(index, self.now.as_ms());
        planner.observe_target(self.now, self.targets[index].clone());
    }

    /// Fails the oldest unfinished order at its target.
    pub fn fail(&mut self, planner: &mut Planner) {
        if self.orders.is_empty() {
            return;
        }
        let order = self.orders.remove(0);
        if let Some(target) = self.targets.iter_mut().find(|t| t.name == order.target) {
            target.blocked = false;
            target.replicas.retain(|replica| replica.name != order.name);
            target.reserved_bytes = target.replicas.iter().map(|r| r.memory_bytes).sum();
            planner.abandon(&order.name, &order.target);
            planner.observe_target(self.now, target.clone());
        }
    }

    /// Executes the actions of a plan and checks them against the limits.
    pub fn execute(&mut self, actions: &[PlanAction]) {
        for action in actions {
            match action {
                PlanAction::Load { name, base, target, memory_bytes } => {
                    self.load(name, base.as_ref(), target, *memory_bytes);
                }
                PlanAction::Unload { name, target } => self.unload(name, target),
                PlanAction::Refuse { .. } | PlanAction::Expect { .. } => {}
            }
        }
        self.check_limits();
        self.check_answers(actions);
    }

    pub fn load(&mut self, name: &Name, base: Option<&Name>, target: &Name, memory_bytes: u64) {
        let now = self.now;
        let is_model = base.is_none();
        let target = self.targets.iter_mut().find(|t| t.name == *target).expect("known target");
        assert!(target.accepts_work, "load on a target that accepts no work");
        assert!(!target.blocked, "load on a target with an unresolved order");
        assert!(
            target.replicas.iter().all(|replica| replica.name != *name),
            "a target loads a name that it already holds"
        );
        if let Some(base) = base {
            let has_base = |r: &ReplicaView| r.name == *base && r.state == ReplicaState::Ready;
            assert!(target.replicas.iter().any(has_base), "adapter loaded without its base model");
        }
        let is_remote = is_model && target.checkpoints.iter().all(|(held, _)| held != name);
        let load_ms = if is_remote { LOAD_REMOTE_MS } else { 200 };
        let state = ReplicaState::Loading;
        target.replicas.push(ReplicaView { name: name.clone(), state, memory_bytes });
        target.reserved_bytes += memory_bytes;
        target.blocked = true;
        let (target, name) = (target.name.clone(), name.clone());
        self.orders.push(Order { target, name, ends_at: now + load_ms, is_remote });
        if is_remote {
            self.remote_starts.push(now);
        }
    }

    pub fn unload(&mut self, name: &Name, target: &Name) {
        let target = self.targets.iter_mut().find(|t| t.name == *target).expect("known target");
        assert!(
            target.accepts_work && !target.blocked,
            "unload on a target that accepts no work or has an unresolved order"
        );
        for adapter in &self.configuration.adapters {
            let leaves_adapter = adapter.model == *name
                && target.replicas.iter().any(|replica| replica.name == adapter.name);
            assert!(!leaves_adapter, "base model unloaded while its adapter is loaded");
        }
        let replica = target.replicas.iter_mut().find(|replica| replica.name == *name);
        replica.expect("known replica").state = ReplicaState::Unloading;
        target.blocked = true;
        let (target, name) = (target.name.clone(), name.clone());
        self.orders.push(Order { target, name, ends_at: self.now + 100, is_remote: false });
    }

    pub fn check_limits(&self) {
        for target in &self.targets {
            let used: u64 = target.replicas.iter().map(|replica| replica.memory_bytes).sum();
            assert!(used <= target.memory_total_bytes, "{used} bytes reserved on {}", target.name);
        }
        for model in &self.configuration.models {
            let replicas = self.targets.iter().flat_map(|target| &target.replicas);
            let count = replicas.filter(|replica| replica.name == model.name).count();
            assert!(count <= model.replicas_max as usize, "{count} replicas of {}", model.name);
        }
        let in_flight = self.orders.iter().filter(|order| order.is_remote).count();
        assert!(in_flight <= 4, "{in_flight} loads from the store at once");
        let recent = self.remote_starts.iter().filter(|at| self.now.since_ms(**at) < 1_000).count();
        assert!(recent <= 4 + 8, "{recent} loads from the store in a second");
    }

    pub fn check_answers(&self, actions: &[PlanAction]) {
        for (_, demand, deadline) in &self.demands {
            if *deadline <= self.now {
                continue;
            }
            let answered = actions.iter().any(|action| match action {
                PlanAction::Expect { name, .. } => *name == demand.name,
                PlanAction::Refuse { name, customer, retry_after_ms } => {
                    *name == demand.name && *customer == demand.customer && *retry_after_ms > 0
                }
                PlanAction::Load { .. } | PlanAction::Unload { .. } => false,
            });
            assert!(answered, "no answer for {demand:?}");
        }
    }
}
