//! Generates the workloads of both deployments from a seed.

use lycheeford_policy::{Adapter, Configuration, Customer, Model, Name, SiteWeights};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

pub const HOSTS: usize = 8;
pub const TARGET_MEMORY_BYTES: u64 = 80_000_000_000;
pub const DAY_MS: u64 = 24 * HOUR_MS;
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
const GIGABYTE: u64 = 1_000_000_000;
/// The probability with which a draw yields each customer, as the owner of a model or adapter or as
/// the sender of a request.
const CUSTOMER_SHARES: [f64; 5] = [0.4, 0.3, 0.15, 0.1, 0.05];
const OVERLOAD_CUSTOMER: usize = 2;
/// Multiple of the customer's rate limit that it sends while it overloads the fleet.
const OVERLOAD_FACTOR: u64 = 5;
const STORMS_PER_DAY: u64 = 12;
const BURSTS_PER_STORM: usize = 15;

#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub targets: usize,
    models: usize,
    adapters: usize,
    pub store_loads_per_s: f64,
    /// Weights of the cold start tail, idle hours, worst customer and wrongful refusals.
    weights: [f64; 4],
}

pub const NORTHPASS: Deployment = Deployment {
    name: "northpass",
    targets: 9,
    models: 50,
    adapters: 40,
    store_loads_per_s: 8.0,
    weights: [3.0, 1.0, 1.0, 1.0],
};

pub const REGULATOR: Deployment = Deployment {
    name: "regulator",
    targets: 20,
    models: 100,
    adapters: 120,
    store_loads_per_s: 6.5,
    weights: [1.0, 1.0, 3.0, 3.0],
};

#[derive(Debug, Clone)]
pub struct Request {
    pub at_ms: u64,
    pub host: usize,
    /// The model or adapter, as an index into [`Trace::names`].
    pub entry: usize,
    pub customer: usize,
    /// The deadline for the first token, counted from the arrival.
    pub deadline_in_ms: u64,
    pub service_ms: u64,
    /// The tokens charged to the customer's rate limit.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The target announces that it leaves and gets no new work.
    Leave {
        target: usize,
    },
    /// The target is gone, with all its replicas.
    Lose {
        target: usize,
    },
    /// The target is back, without replicas and checkpoints.
    Return {
        target: usize,
    },
    /// The weight store runs at this fraction of its normal speed.
    StoreSpeed {
        factor: f64,
    },
    PlatformDown,
    PlatformUp,
}

#[derive(Debug)]
pub struct Trace {
    pub deployment: Deployment,
    pub configuration: Configuration,
    /// All models, then all adapters; an index into this list is called an entry.
    pub names: Vec<Name>,
    pub requests: Vec<Request>,
    /// Each fault with its time in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// For each request, whether its customer's exact token bucket for the whole fleet admits it.
    pub within_rate: Vec<bool>,
}

impl Trace {
    pub fn new(deployment: Deployment, seed: u64) -> Trace {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut configuration = configuration(deployment, &mut rng);
        let models = configuration.models.iter().map(|model| model.name.clone());
        let adapters = configuration.adapters.iter().map(|adapter| adapter.name.clone());
        let names: Vec<Name> = models.chain(adapters).collect();
        let mut requests = Vec::new();
        let owners: Vec<usize> = names.iter().map(|_| customer(&mut rng)).collect();
        for (entry, owner) in owners.iter().enumerate() {
            add_bursts(entry, *owner, &mut rng, &mut requests);
        }
        add_storms(&owners, &mut rng, &mut requests);
        set_rates(&mut configuration, &requests);
        add_overload(&owners, &mut rng, &mut requests);
        requests.sort_by_key(|request| (request.at_ms, request.entry, request.host));
        let within_rate = within_rate(&configuration, &requests);
        let faults = faults(deployment.targets, &mut rng);
        Trace { deployment, configuration, names, requests, faults, within_rate }
    }

    /// Returns the base model of an adapter, or `None` for a model.
    pub fn base(&self, entry: usize) -> Option<usize> {
        let adapter = self.configuration.adapters.get(entry.checked_sub(self.model_count())?)?;
        self.names[..self.model_count()].binary_search(&adapter.model).ok()
    }

    pub fn model_count(&self) -> usize {
        self.configuration.models.len()
    }

    pub fn memory_bytes(&self, entry: usize) -> u64 {
        match entry.checked_sub(self.model_count()) {
            None => self.configuration.models[entry].memory_bytes,
            Some(adapter) => self.configuration.adapters[adapter].memory_bytes,
        }
    }
}

/// A token bucket that is refilled continuously.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate_per_ms: f64,
    burst: f64,
    tokens: f64,
    at_ms: u64,
}

impl Bucket {
    pub fn new(customer: &Customer, share: f64) -> Bucket {
        let burst = customer.burst_tokens as f64 * share;
        let rate_per_ms = customer.rate_tokens_per_s as f64 * share / 1_000.0;
        Bucket { rate_per_ms, burst, tokens: burst, at_ms: 0 }
    }

    pub fn take(&mut self, now_ms: u64, tokens: u64) -> bool {
        let earned = (now_ms - self.at_ms) as f64 * self.rate_per_ms;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.at_ms = now_ms;
        if self.tokens < tokens as f64 {
            return false;
        }
        self.tokens -= tokens as f64;
        true
    }
}

fn configuration(deployment: Deployment, rng: &mut Xoshiro256PlusPlus) -> Configuration {
    let mean_load_ms = 4_000.0 / deployment.store_loads_per_s;
    let model = |index: usize, rng: &mut Xoshiro256PlusPlus| {
        let gigabytes: u64 = rng.random_range(8..36);
        let load_remote_ms = (mean_load_ms * gigabytes as f64 / 22.0) as u64;
        Model {
            name: Name::from(format!("model-{index:03}")),
            memory_bytes: gigabytes * GIGABYTE,
            replicas_max: rng.random_range(1..=3),
            load_remote_ms,
            load_disk_ms: load_remote_ms * 2 / 5,
            min_bytes_per_token: 1,
            customers: Vec::new(),
        }
    };
    let models: Vec<Model> = (0..deployment.models).map(|index| model(index, rng)).collect();
    let adapter = |index: usize| Adapter {
        name: Name::from(format!("adapter-{index:03}")),
        model: models[index % (deployment.models / 2)].name.clone(),
        memory_bytes: GIGABYTE / 5,
        customers: Vec::new(),
    };
    let [cold_start_tail, idle_hours, worst_customer, wrongful_refusals] = deployment.weights;
    Configuration {
        revision: 1,
        adapters: (0..deployment.adapters).map(adapter).collect(),
        models,
        customers: Vec::new(),
        weights: SiteWeights { cold_start_tail, idle_hours, worst_customer, wrongful_refusals },
        ..Configuration::default()
    }
}

/// Draws a customer by [`CUSTOMER_SHARES`].
fn customer(rng: &mut Xoshiro256PlusPlus) -> usize {
    let mut remaining: f64 = rng.random();
    for (index, share) in CUSTOMER_SHARES.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    CUSTOMER_SHARES.len() - 1
}

/// Adds bursts of requests for one model or adapter.
///
/// Each entry has its own mean gap between bursts, from a minute (busy nearly always) to six hours.
/// Every fourth entry is periodic, the others have log-normal gaps.
fn add_bursts(entry: usize, owner: usize, rng: &mut Xoshiro256PlusPlus, out: &mut Vec<Request>) {
    let mean_ms = MINUTE_MS as f64 * 360f64.powf(rng.random());
    let is_periodic = entry.is_multiple_of(4);
    let mut at_ms = (mean_ms * rng.random::<f64>()) as u64;
    while at_ms < DAY_MS {
        add_burst(at_ms, entry, owner, rng, out);
        let gap_ms = if is_periodic {
            mean_ms * (0.95 + 0.1 * rng.random::<f64>())
        } else {
            mean_ms * (normal(rng) - 0.5).exp()
        };
        at_ms += gap_ms.max(1_000.0) as u64;
    }
}

/// Adds a burst of requests for one entry that arrive at many hosts within seconds.
fn add_burst(
    at_ms: u64,
    entry: usize,
    owner: usize,
    rng: &mut Xoshiro256PlusPlus,
    out: &mut Vec<Request>,
) {
    let size: u64 = rng.random_range(3..16);
    let mut at_ms = at_ms;
    for _ in 0..size {
        let customer = if rng.random::<f64>() < 0.8 { owner } else { customer(rng) };
        out.push(Request {
            at_ms,
            host: rng.random_range(0..HOSTS),
            entry,
            customer,
            deadline_in_ms: if rng.random::<f64>() < 0.3 { 4_000 } else { 10_000 },
            service_ms: rng.random_range(200..2_500),
            tokens: rng.random_range(200..1_500),
        });
        at_ms += rng.random_range(0..1_000);
    }
}

/// Adds storms, in which bursts for many entries start within half a second.
fn add_storms(owners: &[usize], rng: &mut Xoshiro256PlusPlus, out: &mut Vec<Request>) {
    for storm in 0..STORMS_PER_DAY {
        let spread_ms = DAY_MS / STORMS_PER_DAY;
        let at_ms = storm * spread_ms + rng.random_range(0..spread_ms - MINUTE_MS);
        for _ in 0..BURSTS_PER_STORM {
            let entry = rng.random_range(0..owners.len());
            add_burst(at_ms + rng.random_range(0..500), entry, owners[entry], rng, out);
        }
    }
}

/// Sets each customer's rate to three times its mean use and its burst to ten minutes of that rate.
fn set_rates(configuration: &mut Configuration, requests: &[Request]) {
    for index in 0..CUSTOMER_SHARES.len() {
        let own = requests.iter().filter(|request| request.customer == index);
        let tokens: u64 = own.map(|request| request.tokens).sum();
        let rate_tokens_per_s = 3 * tokens / (DAY_MS / 1_000);
        configuration.customers.push(Customer {
            name: Name::from(format!("customer-{index}")),
            rate_tokens_per_s,
            burst_tokens: rate_tokens_per_s * 600,
            class: 0,
        });
    }
}

/// Adds an hour in which one customer sends several times its rate.
fn add_overload(owners: &[usize], rng: &mut Xoshiro256PlusPlus, out: &mut Vec<Request>) {
    let start_ms = 14 * HOUR_MS;
    let own = |request: &&Request| request.customer == OVERLOAD_CUSTOMER;
    let requests_per_day = out.iter().filter(own).count() as u64;
    let gap_ms = DAY_MS / (requests_per_day * 3 * OVERLOAD_FACTOR).max(1);
    let entries: Vec<usize> =
        (0..owners.len()).filter(|entry| owners[*entry] == OVERLOAD_CUSTOMER).collect();
    let mut at_ms = start_ms;
    while at_ms < start_ms + HOUR_MS && !entries.is_empty() {
        out.push(Request {
            at_ms,
            host: rng.random_range(0..HOSTS),
            entry: entries[rng.random_range(0..entries.len())],
            customer: OVERLOAD_CUSTOMER,
            deadline_in_ms: 10_000,
            service_ms: rng.random_range(200..2_500),
            tokens: rng.random_range(200..1_500),
        });
        at_ms += rng.random_range(0..=2 * gap_ms);
    }
}

/// Returns for each request whether an exact token bucket for the whole fleet, one per customer,
/// admits it.
fn within_rate(configuration: &Configuration, requests: &[Request]) -> Vec<bool> {
    let mut buckets: Vec<Bucket> =
        configuration.customers.iter().map(|customer| Bucket::new(customer, 1.0)).collect();
    let mut take =
        |request: &Request| buckets[request.customer].take(request.at_ms, request.tokens);
    requests.iter().map(&mut take).collect()
}

/// Returns the faults of a day: two targets that leave with a warning and one that is lost without,
/// a slow weight store for half an hour and a platform outage of ten minutes.
fn faults(targets: usize, rng: &mut Xoshiro256PlusPlus) -> Vec<(u64, Fault)> {
    let mut faults = vec![
        (9 * HOUR_MS, Fault::StoreSpeed { factor: 0.33 }),
        (9 * HOUR_MS + 30 * MINUTE_MS, Fault::StoreSpeed { factor: 1.0 }),
        (18 * HOUR_MS, Fault::PlatformDown),
        (18 * HOUR_MS + 10 * MINUTE_MS, Fault::PlatformUp),
    ];
    for (hour, is_announced) in [(4, true), (11, false), (20, true)] {
        let target = rng.random_range(0..targets);
        let at_ms = hour * HOUR_MS;
        if is_announced {
            faults.push((at_ms, Fault::Leave { target }));
        }
        faults.push((at_ms + 10_000, Fault::Lose { target }));
        faults.push((at_ms + 10 * MINUTE_MS, Fault::Return { target }));
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// Draws from the standard normal distribution (Box-Muller).
fn normal(rng: &mut Xoshiro256PlusPlus) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
