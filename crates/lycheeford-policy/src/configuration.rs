use serde::{Deserialize, Serialize};

use crate::Name;

/// The configuration that the operators declared, validated as a whole, with its lists sorted.
///
/// The crate `lycheeford-config` builds it from a base file and the overlay of a site, and is the
/// only place that validates it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The revision of the head object; a daemon never applies an older revision.
    pub revision: u64,
    /// The models, sorted by name.
    pub models: Vec<Model>,
    /// The adapters, sorted by name.
    pub adapters: Vec<Adapter>,
    /// The plain services, sorted by name.
    pub services: Vec<Service>,
    /// The routes to plain services, sorted by path prefix.
    pub routes: Vec<Route>,
    /// The customers, sorted by name.
    pub customers: Vec<Customer>,
    /// The API keys, sorted by id.
    pub keys: Vec<Key>,
    /// The weights that this site gives to the four optimization measures.
    pub weights: SiteWeights,
}

impl Configuration {
    /// Returns the model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, name, |model| &model.name)
    }

    /// Returns the adapter called `name`.
    pub fn adapter(&self, name: &str) -> Option<&Adapter> {
        find(&self.adapters, name, |adapter| &adapter.name)
    }

    /// Returns the customer called `name`.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        find(&self.customers, name, |customer| &customer.name)
    }

    /// Returns the API key with the public part `id`.
    pub fn key(&self, id: &str) -> Option<&Key> {
        find(&self.keys, id, |key| &key.id)
    }

    /// Returns the route with the longest path prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(path))
            .max_by_key(|route| route.path_prefix.len())
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &Name) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| key(item).as_str().cmp(name)).ok()?;
    Some(&sorted[index])
}

/// A model that engines can load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The name that callers use in requests.
    pub name: Name,
    /// Memory that a loaded replica occupies including its cache, in bytes.
    pub memory_bytes: u64,
    /// The largest number of replicas loaded at the same time.
    pub replicas_max: u32,
    /// How long a load takes from the remote store at full speed.
    pub load_remote_ms: u64,
    /// How long a load takes from the target's disk.
    pub load_disk_ms: u64,
    /// The smallest number of prompt bytes per token, from which admission derives how many tokens
    /// to reserve.
    pub min_bytes_per_token: u32,
    /// The customers that may call it, sorted; empty means every customer.
    pub customers: Vec<Name>,
}

/// An adapter on top of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adapter {
    /// The name that callers use in requests.
    pub name: Name,
    /// The model that it adapts.
    pub model: Name,
    /// Memory that the adapter occupies in addition to a replica of the model, in bytes.
    pub memory_bytes: u64,
    /// The customers that may call it, sorted; empty means every customer.
    pub customers: Vec<Name>,
}

/// A service without a model, run by application workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name by which the platform's list assigns targets to the service.
    pub name: Name,
    /// The timeout of a call; the caller may set a shorter one.
    pub timeout_ms: u64,
}

/// A route from a path prefix to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The path prefix, which matches whole segments only.
    pub path_prefix: Name,
    /// The service that serves the route.
    pub service: Name,
    /// Whether a call needs an API key.
    pub access: Access,
    /// Whether a call may run more than once.
    pub repeat: Repeat,
    /// The customers that may call it, sorted; empty means every customer.
    pub customers: Vec<Name>,
}

impl Route {
    fn matches(&self, path: &str) -> bool {
        path.strip_prefix(self.path_prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether a call to a route needs an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Anyone may call, with or without a key.
    Open,
    /// Only a customer with its key may call.
    Keyed,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running the call twice has the same effect as running it once.
    Idempotent,
    /// The call runs at most once; the caller sends an `Idempotency-Key` header.
    AtMostOnce,
}

/// A customer, with its rate limit and priority class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The name, unique among the customers.
    pub name: Name,
    /// The rate in tokens per second, over all hosts together.
    pub rate_tokens_per_s: u64,
    /// The burst in tokens, over all hosts together.
    pub burst_tokens: u64,
    /// The priority class that orders requests when capacity is short; 0 is served first.
    pub class: u8,
}

/// An API key, stored as a digest; the secret is shown once, when the key is granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The public part of the key, by which the entry is found.
    pub id: Name,
    /// The customer that the key was granted to.
    pub customer: Name,
    /// The salt, in hex.
    pub salt: Name,
    /// SHA-256 over the bytes of the salt followed by the bytes of the secret, in hex.
    pub digest: Name,
}

/// The weights of the four optimization measures at a site; each is at least zero.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteWeights {
    /// The weight of the tail of cold-start times.
    pub cold_start_tail: f64,
    /// The weight of idle accelerator hours.
    pub idle_hours: f64,
    /// The weight of the service that the worst-served customer gets.
    pub worst_customer: f64,
    /// The weight of requests refused although they are within the rate.
    pub wrongful_refusals: f64,
}

impl Default for SiteWeights {
    fn default() -> SiteWeights {
        SiteWeights {
            cold_start_tail: 1.0,
            idle_hours: 1.0,
            worst_customer: 1.0,
            wrongful_refusals: 1.0,
        }
    }
}
