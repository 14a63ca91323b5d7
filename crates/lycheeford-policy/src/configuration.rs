use serde::{Deserialize, Serialize};

use crate::Name;

/// What the operators declared, checked as a whole and sorted by name.
///
/// `lycheeford-config` builds it from a base file and a site's overlay and is
/// the only place that checks it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The revision of the head object; a daemon only moves forward.
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
    /// The keys, sorted by id.
    pub keys: Vec<Key>,
    /// How this site weighs the four measures.
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

    /// Returns the key with the public part `id`.
    pub fn key(&self, id: &str) -> Option<&Key> {
        find(&self.keys, id, |key| &key.id)
    }

    /// Returns the route with the longest prefix of `path`.
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
    /// The name that callers give.
    pub name: Name,
    /// Memory that a loaded replica takes, with its cache.
    pub memory_bytes: u64,
    /// Replicas that may be loaded at once.
    pub replicas_max: u32,
    /// How long a load takes from the remote store at full speed.
    pub load_remote_ms: u64,
    /// How long a load takes from the target's disk.
    pub load_disk_ms: u64,
    /// The least bytes of prompt that make a token, for the reservation at admission.
    pub min_bytes_per_token: u32,
    /// The customers that may call it, sorted; empty means every customer.
    pub customers: Vec<Name>,
}

/// An adapter on top of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adapter {
    /// The name that callers give.
    pub name: Name,
    /// The model that it adapts.
    pub model: Name,
    /// Memory that it takes beside a replica of the model.
    pub memory_bytes: u64,
    /// The customers that may call it, sorted; empty means every customer.
    pub customers: Vec<Name>,
}

/// A plain service that application workers run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name that the platform's list gives with each target.
    pub name: Name,
    /// How long a call may take, unless the caller sets less.
    pub timeout_ms: u64,
}

/// A route from a path prefix to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The prefix of the path, whole segments.
    pub path_prefix: Name,
    /// The service that answers.
    pub service: Name,
    /// Who may call.
    pub access: Access,
    /// Whether a call may be repeated.
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

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Anyone, with or without a key.
    Open,
    /// A customer with its key.
    Keyed,
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It runs at most once; the caller sends an `Idempotency-Key`.
    AtMostOnce,
}

/// A customer with its share of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The name.
    pub name: Name,
    /// Tokens a second over all hosts together.
    pub rate_tokens_per_s: u64,
    /// Tokens at once over all hosts together.
    pub burst_tokens: u64,
    /// The class that orders its requests when capacity is short; 0 goes first.
    pub class: u8,
}

/// A key as a digest; the secret is shown once, when it is granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The public part, which finds the key.
    pub id: Name,
    /// The customer that it was granted to.
    pub customer: Name,
    /// The salt, in hex.
    pub salt: Name,
    /// SHA-256 over the salt's bytes and then the secret's bytes, in hex.
    pub digest: Name,
}

/// How a site weighs the four measures; each is at least zero.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteWeights {
    /// The tail of cold-start times.
    pub cold_start_tail: f64,
    /// Idle accelerator hours.
    pub idle_hours: f64,
    /// How the worst-served customer fares.
    pub worst_customer: f64,
    /// Requests refused although within the rate.
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
