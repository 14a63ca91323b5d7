use std::collections::{BTreeMap, BTreeSet};

use crate::name_table::NameTable;
use crate::{Configuration, Name, TimeMs};

/// The requests of one host that wait for a replica.
///
/// A free slot goes to the lowest class, then to the customer that got the least service for its
/// share (start-time fair queuing by request cost), then to the earliest deadline. Expired requests
/// are returned to the caller of the queue at once, so that each of their senders gets a refusal.
/// Ordered trees keep every operation logarithmic.
#[derive(Debug)]
pub struct FairQueue<T> {
    customers: NameTable<CustomerShare>,
    lanes: NameTable<Vec<CustomerLane>>,
    waiting: BTreeMap<u64, Waiting<T>>,
    deadlines: BTreeSet<(TimeMs, u64)>,
    next_id: u64,
    virtual_time: f64,
}

/// A request to queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest<T> {
    /// The model or adapter that the request waits for.
    pub name: Name,
    /// The customer that sent the request.
    pub customer: Name,
    /// When the request expires.
    pub deadline: TimeMs,
    /// The cost of the request: the tokens that it reserves.
    pub cost_tokens: u64,
    /// Opaque data that the queue returns with the request.
    pub payload: T,
}

/// The waiting requests of one customer for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueDepth {
    /// The name of the model or adapter.
    pub name: Name,
    /// The customer that sent the requests.
    pub customer: Name,
    /// The customer's priority class; 0 is served first.
    pub class: u8,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The earliest of their deadlines.
    pub first_deadline: TimeMs,
    /// When the request with the earliest deadline arrived.
    pub first_arrival: TimeMs,
}

/// Identifies a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(u64);

#[derive(Debug, Default)]
struct CustomerShare {
    class: u8,
    weight: f64,
    virtual_time: f64,
}

#[derive(Debug)]
struct CustomerLane {
    customer: u32,
    requests: BTreeSet<(TimeMs, u64)>,
}

#[derive(Debug)]
struct Waiting<T> {
    request: QueuedRequest<T>,
    lane: u32,
    customer: u32,
    arrival: TimeMs,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue {
            customers: NameTable::default(),
            lanes: NameTable::default(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_id: 0,
            virtual_time: 0.0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    pub fn new() -> FairQueue<T> {
        FairQueue::default()
    }

    /// Applies the customers' classes and shares.
    pub fn configure(&mut self, configuration: &Configuration) {
        for customer in &configuration.customers {
            let id = self.customers.find_or_insert(&customer.name);
            if let Some(share) = self.customers.get_mut(id) {
                share.class = customer.class;
                share.weight = customer.rate_tokens_per_s.max(1) as f64;
            }
        }
    }

    /// Adds a request that arrived at `arrival` to the queue.
    pub fn push(&mut self, arrival: TimeMs, request: QueuedRequest<T>) -> QueueId {
        let id = self.next_id;
        self.next_id += 1;
        let customer = self.customers.find_or_insert(&request.customer);
        let lane = self.lanes.find_or_insert(&request.name);
        let virtual_time = self.virtual_time;
        if let Some(share) = self.customers.get_mut(customer) {
            share.virtual_time = share.virtual_time.max(virtual_time);
        }
        if let Some(lanes) = self.lanes.get_mut(lane) {
            let position = lanes.binary_search_by_key(&customer, |lane| lane.customer);
            let index = position.unwrap_or_else(|index| {
                lanes.insert(index, CustomerLane { customer, requests: BTreeSet::new() });
                index
            });
            lanes[index].requests.insert((request.deadline, id));
        }
        self.deadlines.insert((request.deadline, id));
        self.waiting.insert(id, Waiting { request, lane, customer, arrival });
        QueueId(id)
    }

    /// Removes and returns the next request for `name`, or returns `None` if no unexpired request
    /// waits for it.
    pub fn pop(&mut self, now: TimeMs, name: &str) -> Option<QueuedRequest<T>> {
        let lanes = self.lanes.get(self.lanes.find(name)?)?;
        let (_, id) = lanes
            .iter()
            .filter_map(|lane| {
                let next = lane.requests.range((now, 0)..).next()?;
                let share = self.customers.get(lane.customer)?;
                Some((share, *next))
            })
            .min_by(|(share, next), (other, other_next)| {
                (share.class.cmp(&other.class))
                    .then(share.virtual_time.total_cmp(&other.virtual_time))
                    .then(next.cmp(other_next))
            })?
            .1;
        let waiting = self.remove(id)?;
        if let Some(share) = self.customers.get_mut(waiting.customer) {
            self.virtual_time = self.virtual_time.max(share.virtual_time);
            share.virtual_time += waiting.request.cost_tokens.max(1) as f64 / share.weight.max(1.0);
        }
        Some(waiting.request)
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, id: QueueId) -> Option<QueuedRequest<T>> {
        self.remove(id.0).map(|waiting| waiting.request)
    }

    /// Removes and returns the requests whose deadline has passed, which have to be refused.
    pub fn take_expired(&mut self, now: TimeMs) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline >= now {
                break;
            }
            expired.extend(self.remove(id).map(|waiting| waiting.request));
        }
        expired
    }

    /// Removes and returns the requests of a customer for `name` whose deadline is before
    /// `ready_at`.
    pub fn take_unservable(
        &mut self,
        name: &str,
        customer: &str,
        ready_at: TimeMs,
    ) -> Vec<QueuedRequest<T>> {
        let Some(customer) = self.customers.find(customer) else { return Vec::new() };
        let lanes = self.lanes.find(name).and_then(|lane| self.lanes.get(lane));
        let Some(lanes) = lanes else { return Vec::new() };
        let Ok(index) = lanes.binary_search_by_key(&customer, |lane| lane.customer) else {
            return Vec::new();
        };
        let ids: Vec<u64> =
            lanes[index].requests.range(..(ready_at, 0)).map(|(_, id)| *id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).map(|waiting| waiting.request).collect()
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<TimeMs> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that wait for `name`.
    pub fn waiting(&self, name: &str) -> usize {
        let lanes = self.lanes.find(name).and_then(|lane| self.lanes.get(lane));
        lanes.map_or(0, |lanes| lanes.iter().map(|lane| lane.requests.len()).sum())
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the waiting requests by name and customer, for the report to the coordinator.
    pub fn depths(&self) -> Vec<QueueDepth> {
        let lanes = self.lanes.ids().filter_map(|id| self.lanes.get(id));
        lanes.flatten().filter_map(|lane| self.depth(lane)).collect()
    }

    fn depth(&self, lane: &CustomerLane) -> Option<QueueDepth> {
        let (_, id) = lane.requests.first()?;
        let first = self.waiting.get(id)?;
        Some(QueueDepth {
            name: first.request.name.clone(),
            customer: first.request.customer.clone(),
            class: self.customers.get(lane.customer)?.class,
            waiting: lane.requests.len() as u32,
            first_deadline: first.request.deadline,
            first_arrival: first.arrival,
        })
    }

    fn remove(&mut self, id: u64) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&id)?;
        let entry = (waiting.request.deadline, id);
        self.deadlines.remove(&entry);
        let lanes = self.lanes.get_mut(waiting.lane)?;
        if let Ok(index) = lanes.binary_search_by_key(&waiting.customer, |lane| lane.customer) {
            lanes[index].requests.remove(&entry);
            if lanes[index].requests.is_empty() {
                lanes.remove(index);
            }
        }
        if lanes.is_empty() {
            self.lanes.remove(waiting.lane);
        }
        Some(waiting)
    }
}
