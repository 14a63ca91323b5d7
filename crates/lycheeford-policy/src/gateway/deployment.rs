use sha2::{Digest, Sha256};

use crate::Name;

/// What the operators of a gateway declared, checked as a whole.
///
/// A gateway serves any HTTP route to the targets of a service, unlike the
/// completions interface of [`Configuration`](crate::Configuration). Lists are
/// sorted, so that lookups stay logarithmic while a deployment grows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// The store's revision of this declaration; a gateway only moves forward.
    pub revision: u64,
    /// The operators' own number for it.
    pub version: u64,
    /// The routes, sorted by host and then by path prefix.
    pub routes: Vec<ServiceRoute>,
    /// The services, sorted by name.
    pub services: Vec<TargetService>,
    /// The customers, sorted by name.
    pub customers: Vec<RatedCustomer>,
    /// The keys, sorted by digest.
    pub keys: Vec<CustomerKey>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

impl Deployment {
    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// Prefixes begin and end with a slash, so that only the slashes of the
    /// path are tried, the last one first.
    pub fn route(&self, host: &str, path: &str) -> Option<&ServiceRoute> {
        path.rmatch_indices('/').find_map(|(index, _)| {
            let key = (host, &path[..=index]);
            let found = self.routes.binary_search_by(|route| route.key().cmp(&key)).ok()?;
            Some(&self.routes[found])
        })
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&TargetService> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns the customer called `name`.
    pub fn customer(&self, name: &str) -> Option<&RatedCustomer> {
        let found = self.customers.binary_search_by(|customer| customer.name.as_str().cmp(name));
        Some(&self.customers[found.ok()?])
    }

    /// Returns the customer that holds `key`.
    pub fn key_holder(&self, key: &str) -> Option<&RatedCustomer> {
        let digest = KeyDigest::of(key);
        let found = self.keys.binary_search_by(|key| key.digest.cmp(&digest)).ok()?;
        self.customer(&self.keys[found].customer)
    }
}

/// What a gateway may do with a request after it was sent once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It runs at most once for each id that its caller gave it.
    AtMostOnce,
    /// It is answered by a series of events and runs at most once.
    Stream,
    /// It is answered by a series of events that may go on at another target.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// The name that operators gave it.
    pub name: Name,
    /// The host, in lower case and without a port.
    pub host: Name,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer, or its first event, is wanted.
    pub objective_ms: u64,
    /// The longest pause between events that is still on time.
    pub pause_ms_max: u64,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The services that share the requests, with their weights.
    pub split: Vec<WeightedService>,
    /// The targets to which one request may be sent to run.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

impl ServiceRoute {
    fn key(&self) -> (&str, &str) {
        (&self.host, &self.path_prefix)
    }

    /// Returns the service of the request whose id hashes to `hash`.
    ///
    /// The same request always gets the same service, whichever host asks.
    pub fn service(&self, hash: u64) -> Option<&Name> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.split.first().map(|part| &part.service);
        }
        let mut place = hash % total;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if place < weight {
                return Some(&part.service);
            }
            place -= weight;
        }
        None
    }
}

/// A service with its weight in a split route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its part of the sum of the weights.
    pub weight: u32,
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetService {
    /// The name that targets give with themselves.
    pub name: Name,
    /// What its targets load, if they are model engines.
    pub engine: Option<EngineLimits>,
}

/// What the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: u64,
    /// Adapters that one engine holds at once.
    pub adapters_max: u32,
    /// Tokens of running requests and cached prompts that one engine holds.
    pub cache_tokens: u64,
    /// Loads a second from the weight store over all engines.
    pub store_loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<EngineModel>,
}

impl EngineLimits {
    /// Returns the model called `name`.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let found = self.models.binary_search_by(|model| model.name.as_str().cmp(name));
        Some(&self.models[found.ok()?])
    }
}

/// A model that engines load on order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineModel {
    /// The name that requests give.
    pub name: Name,
    /// Memory that its weights take, in megabytes, rounded up.
    pub weights_mb: u64,
    /// How long a load takes from the weight store.
    pub load_store_ms: u64,
    /// How long a load takes from an engine's disk.
    pub load_disk_ms: u64,
    /// How long a load takes from an engine's host memory.
    pub load_memory_ms: u64,
    /// How many adapters there are.
    pub adapters: u32,
    /// Memory that one adapter takes, in megabytes, rounded up.
    pub adapter_mb: u64,
}

/// A customer with its rate over all hosts together.
#[derive(Debug, Clone, PartialEq)]
pub struct RatedCustomer {
    /// The name.
    pub name: Name,
    /// The rank of its requests, which goes before that of the route.
    pub priority: Option<u8>,
    /// The rate and burst, or `None` without a limit.
    pub rate: Option<CustomerRate>,
}

/// A customer's rate and burst.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerRate {
    /// Units a second.
    pub units_per_s: f64,
    /// Units at once.
    pub burst_units: f64,
    /// What a request costs.
    pub unit: RateUnit,
}

/// What a customer's rate counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateUnit {
    /// Requests.
    Requests,
    /// Tokens in and out; a request that names none counts as `unstated_tokens`.
    Tokens {
        /// The tokens of a request that names none.
        unstated_tokens: u64,
    },
}

impl RateUnit {
    /// Returns what a request with these tokens in and out costs.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            RateUnit::Requests => 1.0,
            RateUnit::Tokens { unstated_tokens } => tokens.unwrap_or(unstated_tokens) as f64,
        }
    }
}

/// The digest of a key, so that no table or log holds the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// A key with its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerKey {
    /// The key's digest.
    pub digest: KeyDigest,
    /// The customer that holds it.
    pub customer: Name,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head.
    pub head_bytes_max: usize,
    /// The longest body.
    pub body_bytes_max: usize,
    /// How long a head may take.
    pub head_ms_max: u64,
    /// How long a connection may wait between requests.
    pub idle_ms_max: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes_max: 16 * 1024,
            body_bytes_max: 1024 * 1024,
            head_ms_max: 5_000,
            idle_ms_max: 60_000,
        }
    }
}
