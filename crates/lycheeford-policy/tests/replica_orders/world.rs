//! Simulated daemons, a store and targets with faults.

use lycheeford_policy::{
    FenceCheck, GoneProofs, Incarnation, Instance, LoadRequest, Name, Replica, ReplicaRef,
    ReplicaSet, ResolveEvidence, TargetOrder, TargetRecord, TargetStatus, resolve,
};

use crate::{Op, Write};

pub const DAEMONS: usize = 3;
pub const TARGETS: usize = 2;
/// Each name with its memory in bytes and the replicas it may have.
pub const NAMES: [(&str, u64, u32); 3] = [("a", 6, 1), ("b", 5, 1), ("c", 3, 2)];
pub const CAPACITY_BYTES: u64 = 10;

#[derive(Debug, Clone)]
pub enum Object {
    Set(usize, ReplicaSet),
    Record(usize, TargetRecord),
}

#[derive(Debug)]
pub struct Daemon {
    me: Instance,
    /// Replicas that this daemon decided and may order.
    decided: Vec<(usize, Replica)>,
    /// Orders with their targets whose record may or may not have been written.
    unconfirmed: Vec<(usize, Name)>,
    to_send: Vec<(usize, TargetOrder)>,
    pub concluded_orders: Vec<Name>,
    /// Orders whose connection ended unanswered, with their targets.
    pub unanswered_orders: Vec<(usize, Name)>,
    records: Vec<Option<(u64, TargetRecord)>>,
    statuses: Vec<Option<Observation>>,
}

/// A target's status, with what the daemon knew before it asked for the status.
#[derive(Debug, Clone)]
struct Observation {
    status: TargetStatus,
    gone: GoneProofs,
    concluded_orders: Vec<Name>,
    unanswered_orders: Vec<Name>,
}

/// An order in flight, or in the buffers of its target after its connection ended.
#[derive(Debug)]
pub struct InFlight {
    pub target: usize,
    pub sender: usize,
    pub order: TargetOrder,
    pub is_buffered: bool,
}

#[derive(Debug)]
pub struct Engine {
    pub status: TargetStatus,
    pub fence_check: FenceCheck,
}

#[derive(Debug)]
pub struct World {
    pub sets: Vec<(u64, ReplicaSet)>,
    pub records: Vec<(u64, TargetRecord)>,
    pub delayed: Vec<(u64, Object)>,
    pub daemons: Vec<Option<Daemon>>,
    incarnations: Vec<u64>,
    gone: GoneProofs,
    pub engines: Vec<Engine>,
    pub in_flight: Vec<InFlight>,
    last_order: u64,
}

pub fn model(name: usize) -> Name {
    Name::from(NAMES[name].0)
}

pub fn target_name(target: usize) -> Name {
    Name::from(format!("engine-{target}"))
}

fn target_index(name: &Name) -> usize {
    name.strip_prefix("engine-").unwrap().parse().unwrap()
}

impl World {
    pub fn new() -> World {
        let engine = |target| Engine {
            status: TargetStatus { incarnation: Incarnation(1), ..TargetStatus::default() },
            fence_check: if target == 0 { FenceCheck::Checked } else { FenceCheck::Ignored },
        };
        let mut world = World {
            sets: vec![(0, ReplicaSet::default()); NAMES.len()],
            records: vec![(0, TargetRecord::default()); TARGETS],
            delayed: Vec::new(),
            daemons: (0..DAEMONS).map(|_| None).collect(),
            incarnations: vec![0; DAEMONS],
            gone: GoneProofs::default(),
            engines: (0..TARGETS).map(engine).collect(),
            in_flight: Vec::new(),
            last_order: 0,
        };
        (0..DAEMONS).for_each(|daemon| world.restart(daemon));
        world
    }

    pub fn step(&mut self, op: &Op) {
        match *op {
            Op::Crash { daemon } => self.crash(daemon),
            Op::Restart { daemon } => self.restart(daemon),
            Op::Deliver { pick } => self.deliver(pick),
            Op::LoseOrder { pick } => {
                if let Some(mut sent) = self.pick_in_flight(pick) {
                    self.end_sending(&sent);
                    sent.is_buffered = true;
                    self.in_flight.push(sent);
                }
            }
            Op::Progress { target, succeeds } => self.progress(target, succeeds),
            Op::RestartTarget { target } => self.restart_target(target),
            Op::TakeEffect { pick } => {
                if let Some(index) = pick.checked_rem(self.delayed.len()) {
                    let (base_version, object) = self.delayed.swap_remove(index);
                    self.put(base_version, object);
                }
            }
            _ => self.run_daemon(op),
        }
    }

    /// Runs an operation of a daemon, which is taken out of `daemons` meanwhile.
    fn run_daemon(&mut self, op: &Op) {
        let (Op::Decide { daemon: index, .. }
        | Op::Recover { daemon: index }
        | Op::RecordLoad { daemon: index, .. }
        | Op::RecordUnload { daemon: index, .. }
        | Op::Reread { daemon: index }
        | Op::Send { daemon: index, .. }
        | Op::GiveUp { daemon: index, .. }
        | Op::SetAside { daemon: index, .. }
        | Op::ReadRecord { daemon: index, .. }
        | Op::ReadStatus { daemon: index, .. }
        | Op::Resolve { daemon: index, .. }
        | Op::Cancel { daemon: index, .. }
        | Op::Remove { daemon: index, .. }
        | Op::Clear { daemon: index, .. }) = *op
        else {
            return;
        };
        let Some(mut daemon) = self.daemons[index].take() else { return };
        match *op {
            Op::Decide { name, target, write, .. } => self.decide(&mut daemon, name, target, write),
            Op::Recover { .. } => self.recover(&mut daemon),
            Op::RecordLoad { pick, write, .. } => self.record_load(&mut daemon, pick, write),
            Op::RecordUnload { name, target, write, .. } => {
                let id = self.next_order();
                let (version, record) = &self.records[target];
                if let Ok(record) = record.record_unload(&id, &model(name), &daemon.me) {
                    daemon.unconfirmed.push((target, id));
                    self.write(*version, Object::Record(target, record), write);
                }
            }
            Op::Reread { .. } => self.reread(&mut daemon),
            Op::Send { pick, .. } => {
                if let Some(at) = pick.checked_rem(daemon.to_send.len()) {
                    let (target, order) = daemon.to_send.swap_remove(at);
                    let sent = InFlight { target, sender: index, order, is_buffered: false };
                    self.in_flight.push(sent);
                }
            }
            Op::GiveUp { pick, .. } => {
                if let Some(at) = pick.checked_rem(daemon.to_send.len()) {
                    let (_, order) = daemon.to_send.swap_remove(at);
                    daemon.concluded_orders.push(order.id);
                }
            }
            Op::SetAside { target, .. } => {
                let (version, record) = &self.records[target];
                let id = record.order.as_ref().map(|order| order.id.clone());
                if let Some(Ok(record)) = id.map(|id| record.set_aside(&id)) {
                    self.write(*version, Object::Record(target, record), Write::Answered);
                }
            }
            Op::ReadRecord { target, .. } => {
                daemon.records[target] = Some(self.records[target].clone());
                daemon.statuses[target] = None;
            }
            Op::ReadStatus { target, .. } if daemon.records[target].is_some() => {
                daemon.statuses[target] = Some(self.observe(&daemon, target));
            }
            Op::Resolve { target, write, .. } => self.resolve(&mut daemon, target, write),
            Op::Cancel { name, write, .. } => self.cancel(name, write),
            Op::Remove { name, write, .. } => self.remove(name, write),
            Op::Clear { name, target, .. } => self.clear(&mut daemon, name, target),
            _ => {}
        }
        self.daemons[index] = Some(daemon);
    }

    fn decide(&mut self, daemon: &mut Daemon, name: usize, target: usize, write: Write) {
        let (version, set) = &self.sets[name];
        let Ok((set, _)) = set.decide(&target_name(target), NAMES[name].2, &daemon.me) else {
            return;
        };
        self.write(*version, Object::Set(name, set), write);
        self.recover(daemon);
    }

    /// Reads the replicas that the daemon decided, also those whose answers were lost.
    fn recover(&self, daemon: &mut Daemon) {
        daemon.decided.clear();
        for (name, (_, set)) in self.sets.iter().enumerate() {
            let own = set.replicas.iter().filter(|replica| replica.decider == daemon.me);
            daemon.decided.extend(own.map(|replica| (name, replica.clone())));
        }
    }

    fn record_load(&mut self, daemon: &mut Daemon, pick: usize, write: Write) {
        let Some(at) = pick.checked_rem(daemon.decided.len()) else { return };
        let (name, replica) = daemon.decided[at].clone();
        let target = target_index(&replica.target);
        let order_id = self.next_order();
        let (version, record) = &self.records[target];
        let load = LoadRequest {
            order_id: &order_id,
            name: &model(name),
            memory_bytes: NAMES[name].1,
            replica: &replica,
            sender: &daemon.me,
            capacity_bytes: CAPACITY_BYTES,
        };
        if let Ok(record) = record.record_load(&load) {
            daemon.unconfirmed.push((target, order_id));
            self.write(*version, Object::Record(target, record), write);
            self.reread(daemon);
        }
    }

    /// Reads the records for the daemon's unconfirmed orders; those found there may be sent once.
    fn reread(&self, daemon: &mut Daemon) {
        for (target, id) in std::mem::take(&mut daemon.unconfirmed) {
            let orders = self.records[target].1.orders().find(|order| order.id == id).cloned();
            match orders {
                Some(order) => daemon.to_send.push((target, order)),
                None => daemon.unconfirmed.push((target, id)),
            }
        }
    }

    fn resolve(&mut self, daemon: &mut Daemon, target: usize, write: Write) {
        if daemon.records[target].is_none() {
            daemon.records[target] = Some(self.records[target].clone());
        }
        if daemon.statuses[target].is_none() {
            daemon.statuses[target] = Some(self.observe(daemon, target));
        }
        let (Some((version, record)), Some(observation)) =
            (daemon.records[target].take(), daemon.statuses[target].take())
        else {
            return;
        };
        let evidence = ResolveEvidence {
            gone: &observation.gone,
            concluded_orders: &observation.concluded_orders,
            unanswered_orders: &observation.unanswered_orders,
            fence_check: self.engines[target].fence_check,
        };
        if let Some(record) = resolve(&record, &observation.status, &evidence) {
            self.write(version, Object::Record(target, record), write);
        }
    }

    fn observe(&self, daemon: &Daemon, target: usize) -> Observation {
        Observation {
            status: self.engines[target].status.clone(),
            gone: self.gone.clone(),
            concluded_orders: daemon.concluded_orders.clone(),
            unanswered_orders: daemon
                .unanswered_orders
                .iter()
                .filter(|(at, _)| *at == target)
                .map(|(_, id)| id.clone())
                .collect(),
        }
    }

    /// Cancels decided replicas that no target has a reservation for.
    pub fn cancel(&mut self, name: usize, write: Write) {
        for replica in self.sets[name].1.replicas.clone() {
            let target = target_index(&replica.target);
            let (version, record) = &self.records[target];
            if let Ok(record) = record.cancel(&model(name), &replica) {
                self.write(*version, Object::Record(target, record), write);
            }
        }
    }

    pub fn remove(&mut self, name: usize, write: Write) {
        for replica in self.sets[name].1.replicas.clone() {
            let (version, set) = &self.sets[name];
            let record = &self.records[target_index(&replica.target)].1;
            if let Ok(set) = set.remove(&model(name), replica.id, record) {
                self.write(*version, Object::Set(name, set), write);
            }
        }
    }

    fn clear(&mut self, daemon: &mut Daemon, name: usize, target: usize) {
        let set = &self.sets[name].1;
        daemon.decided.retain(|(decided, replica)| *decided != name || set.contains(replica.id));
        let (version, record) = &self.records[target];
        let may_order = |replica: &ReplicaRef| {
            replica.decider != daemon.me && !self.gone.is_gone(&replica.decider)
        };
        let cleared = record.clear_cancelled(&model(name), set, may_order);
        if let Some(record) = cleared {
            self.write(*version, Object::Record(target, record), Write::Answered);
        }
    }

    fn write(&mut self, base_version: u64, object: Object, write: Write) {
        match write {
            Write::Answered | Write::LostAfterEffect => self.put(base_version, object),
            Write::LostBeforeEffect => {}
            Write::TakesEffectLater => self.delayed.push((base_version, object)),
        }
    }

    fn put(&mut self, base_version: u64, object: Object) {
        match object {
            Object::Set(name, set) if self.sets[name].0 == base_version => {
                self.sets[name] = (base_version + 1, set);
            }
            Object::Record(target, record) if self.records[target].0 == base_version => {
                self.records[target] = (base_version + 1, record);
            }
            Object::Set(..) | Object::Record(..) => {}
        }
    }

    fn next_order(&mut self) -> Name {
        self.last_order += 1;
        Name::from(self.last_order.to_string())
    }

    /// Ends a daemon, which loses its orders in flight.
    pub fn crash(&mut self, daemon: usize) {
        self.daemons[daemon] = None;
        self.in_flight.retain(|sent| sent.sender != daemon);
    }

    pub fn restart(&mut self, daemon: usize) {
        if self.daemons[daemon].is_some() {
            return;
        }
        self.incarnations[daemon] += 1;
        let me = Instance::new(format!("entry-{daemon}"), self.incarnations[daemon]);
        self.gone.answered(&me);
        self.daemons[daemon] = Some(Daemon {
            me,
            decided: Vec::new(),
            unconfirmed: Vec::new(),
            to_send: Vec::new(),
            concluded_orders: Vec::new(),
            unanswered_orders: Vec::new(),
            records: vec![None; TARGETS],
            statuses: vec![None; TARGETS],
        });
    }
}
