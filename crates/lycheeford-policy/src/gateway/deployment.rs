use sha2::{Digest, Sha256};

use crate::Name;

/// The declaration of a gateway's operators, validated as a whole.
///
/// A gateway serves any HTTP route to the targets of a service, unlike the completions interface of
/// [`Configuration`](crate::Configuration). Lists are sorted, so that lookups remain logarithmic as
/// a deployment grows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Revision of this declaration in the store; a gateway never returns to a lower one.
    pub revision: u64,
    /// Version number that the operators assigned.
    pub version: u64,
    /// The routes, sorted by host and then by path prefix.
    pub routes: Vec<ServiceRoute>,
    /// The services, sorted by name.
    pub services: Vec<TargetService>,
    /// The customers, sorted by name.
    pub customers: Vec<RatedCustomer>,
    /// The keys, sorted by digest.
    pub keys: Vec<CustomerKey>,
    /// Limits on what callers may send.
    pub caller_limits: CallerLimits,
}

impl Deployment {
    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Prefixes begin and end with a slash, so only the slashes of the path are tried, starting
    /// with the last one.
    pub fn route(&self, host: &str, path: &str) -> Option<&ServiceRoute> {
        path.rmatch_indices('/').find_map(|(index, _)| {
            let key = (host, &path[..=index]);
            let found = self.routes.binary_search_by(|route| route.key().cmp(&key)).ok()?;
            Some(&self.routes[found])
        })
    }

    /// Returns how much later requests of `route` for `service` are due than those of the strictest
    /// route of the same service and priority.
    pub fn objective_offset_ms(&self, route: &ServiceRoute, service: &Name) -> u64 {
        let is_like = |other: &&ServiceRoute| {
            other.priority == route.priority
                && other.objective_ms < route.objective_ms
                && other.split.iter().any(|part| part.service == *service)
        };
        let stricter = self.routes.iter().filter(is_like);
        let strictest_ms = stricter.map(|other| other.objective_ms).min();
        strictest_ms.map_or(0, |strictest_ms| route.objective_ms - strictest_ms)
    }

    /// Returns the service with this `name`.
    pub fn service(&self, name: &str) -> Option<&TargetService> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(name));
        Some(&self.services[found.ok()?])
    }

    /// Returns the customer with this `name`.
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

/// Retry semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Running a request twice has the same effect as running it once.
    Idempotent,
    /// A request runs at most once for each id that its caller assigned.
    AtMostOnce,
    /// The answer is an event stream, and the request runs at most once.
    Stream,
    /// The answer is an event stream that can resume at another target.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Name that the operators assigned.
    pub name: Name,
    /// Host of the request, in lower case and without a port.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Retry semantics of the route's requests.
    pub kind: RouteKind,
    /// Maximum time that a caller waits.
    pub timeout_ms: u64,
    /// Latency objective of an answer, or of its first event.
    pub objective_ms: u64,
    /// Longest pause between two events that still meets the objective.
    pub pause_ms_max: u64,
    /// Priority of the route's requests; 0 is served first.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub split: Vec<WeightedService>,
    /// Maximum number of targets to which one request may be sent for execution.
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
    /// The same request is always assigned to the same service, on every host.
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
    /// Name of the service.
    pub service: Name,
    /// Weight of the service; its fraction of the requests is this divided by the sum of all
    /// weights.
    pub weight: u32,
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetService {
    /// Name under which targets register for the service.
    pub name: Name,
    /// Limits of the service's engines; `None` if its targets are not model engines.
    pub engine: Option<EngineLimits>,
    /// Requests per second that a target takes from all hosts together while it is cold; `None` if
    /// cold targets take any number.
    pub cold_requests_per_s: Option<f64>,
}

/// Capacity of the engines of a service, and the models that they load.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineLimits {
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: u64,
    /// Maximum number of adapters that one engine holds.
    pub adapters_max: u32,
    /// Capacity of one engine in tokens, for running requests and cached prompts together.
    pub cache_tokens: u64,
    /// Loads per second from the weight store, over all engines.
    pub store_loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<EngineModel>,
}

impl EngineLimits {
    /// Returns the model with this `name`.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let found = self.models.binary_search_by(|model| model.name.as_str().cmp(name));
        Some(&self.models[found.ok()?])
    }
}

/// A model that engines load on order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineModel {
    /// Name of the model in requests.
    pub name: Name,
    /// Memory that its weights use, in megabytes, rounded up.
    pub weights_mb: u64,
    /// Duration of a load from the weight store.
    pub load_store_ms: u64,
    /// Duration of a load from an engine's disk.
    pub load_disk_ms: u64,
    /// Duration of a load from an engine's host memory.
    pub load_memory_ms: u64,
    /// Number of adapters on the model.
    pub adapters: u32,
    /// Memory that one adapter uses, in megabytes, rounded up.
    pub adapter_mb: u64,
}

/// A customer with its rate over all hosts together.
#[derive(Debug, Clone, PartialEq)]
pub struct RatedCustomer {
    /// Name of the customer.
    pub name: Name,
    /// Priority of the customer's requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Rate and burst, or `None` without a limit.
    pub rate: Option<CustomerRate>,
}

/// A customer's rate and burst.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerRate {
    /// Sustained rate, in units per second.
    pub units_per_s: f64,
    /// Burst, in units.
    pub burst_units: f64,
    /// Unit of the rate, which determines the cost of a request.
    pub unit: RateUnit,
}

/// Unit in which a customer's rate is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateUnit {
    /// Each request costs one unit.
    Requests,
    /// Each token, in and out, costs one unit; a request that states no token count costs
    /// `unstated_tokens`.
    Tokens {
        /// Tokens of a request that states no token count.
        unstated_tokens: u64,
    },
}

impl RateUnit {
    /// Returns the cost, in units, of a request with this number of tokens in and out.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            RateUnit::Requests => 1.0,
            RateUnit::Tokens { unstated_tokens } => tokens.unwrap_or(unstated_tokens) as f64,
        }
    }
}

/// Digest of a key, so that no table or log contains the key itself.
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
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Customer that holds the key.
    pub customer: Name,
}

/// Limits on the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes_max: usize,
    /// Maximum size of a request body.
    pub body_bytes_max: usize,
    /// Maximum time in which a request head must arrive.
    pub head_ms_max: u64,
    /// Maximum idle time of a connection between requests.
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
