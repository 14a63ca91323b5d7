use serde::{Deserialize, Serialize};

use lycheeford_policy::{Access, Name, Repeat};

use crate::fault::{FaultCategory, Faults};
use crate::section::Section;
use crate::value;

/// The fleet's configuration as operators write it: a base file, a site's overlay or both merged.
///
/// Every field of an entry is optional, so that an overlay states only what
/// differs; [`check`](crate::check) reports fields that are missing after the merge.
/// docs/CONFIGURATION.md describes each field with its unit and default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Models, each served by replicas on targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelEntry>,
    /// Adapters, each loaded on top of a replica of its model.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterEntry>,
    /// Plain services, which are reached through routes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceEntry>,
    /// Routes, each of which maps a path prefix to a plain service.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteEntry>,
    /// Customers, each with its rate limit and priority class.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerEntry>,
    /// The site's weights for its four objectives; absent means the defaults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightsEntry>,
}

/// A model entry of a [`Document`]; see [`lycheeford_policy::Model`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The name that callers state in a request.
    pub name: Name,
    /// In an overlay, removes the base's entry of this name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// Memory that a loaded replica occupies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
    /// The most replicas that may be loaded at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_max: Option<u32>,
    /// How long a load takes from the remote store of weights, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_remote_ms: Option<u64>,
    /// How long a load takes from the target's disk, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_disk_ms: Option<u64>,
    /// The fewest prompt bytes per token, which bounds a prompt's token count from above; absent
    /// means 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_bytes_per_token: Option<u32>,
    /// The customers that may use this entry; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// An adapter entry of a [`Document`]; see [`lycheeford_policy::Adapter`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The name that callers state in a request.
    pub name: Name,
    /// In an overlay, removes the base's entry of this name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The model that the adapter is for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Memory that the adapter occupies in addition to a replica of its model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
    /// The customers that may use this entry; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// A plain service entry of a [`Document`]; see [`lycheeford_policy::Service`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The service's name in the platform's list.
    pub name: Name,
    /// In an overlay, removes the base's entry of this name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The time limit of a request to the service, in milliseconds; absent means 30 s.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// A route entry of a [`Document`]; see [`lycheeford_policy::Route`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// The prefix of the request path, which also identifies the entry.
    pub path_prefix: Name,
    /// In an overlay, removes the base's entry of this prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The service that receives the requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Whether callers need a key; absent means that they do.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub access: Option<Access>,
    /// Whether a request may be sent to the service more than once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// The customers that may use this entry; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// A customer entry of a [`Document`]; see [`lycheeford_policy::Customer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The name, to which keys refer.
    pub name: Name,
    /// In an overlay, removes the base's entry of this name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The rate limit in tokens per second, summed over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_tokens_per_s: Option<u64>,
    /// The burst limit in tokens, summed over all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u64>,
    /// The priority class of its requests when capacity is short; 0 is served first, and absent
    /// means 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<u8>,
}

/// The site weights of a [`Document`]; see [`lycheeford_policy::SiteWeights`].
///
/// Each is at least 0 and at least one above 0; an absent one has its default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsEntry {
    /// The weight of the tail of cold-start times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_start_tail: Option<f64>,
    /// The weight of idle accelerator hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_hours: Option<f64>,
    /// The weight of the service level of the worst-served customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worst_customer: Option<f64>,
    /// The weight of requests that were refused although they were within the rate limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wrongful_refusals: Option<f64>,
}

impl Document {
    /// Reads a base or an overlay from YAML; `file_name` is only used in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of syntax and type at once, each with its entry, field
    /// and line; [`check`](crate::check) reports the others after the merge.
    pub fn from_yaml(text: &str, file_name: &str) -> Result<Document, Faults> {
        let mut root = Section::parse(text).map_err(|fault| Faults::new(file_name, vec![fault]))?;
        let document = Document {
            models: read_entries(&mut root, "models", "name", read_model),
            adapters: read_entries(&mut root, "adapters", "name", read_adapter),
            services: read_entries(&mut root, "services", "name", read_service),
            routes: read_entries(&mut root, "routes", "path_prefix", read_route),
            customers: read_entries(&mut root, "customers", "name", read_customer),
            weights: read_weights(&mut root),
        };
        let faults = root.finish();
        if faults.is_empty() { Ok(document) } else { Err(Faults::new(file_name, faults)) }
    }

    /// Returns the document as YAML, which [`from_yaml`](Document::from_yaml) can read.
    pub fn to_yaml(&self) -> String {
        serde_yaml_ng::to_string(self).expect("documents hold only text keys and numbers")
    }
}

fn read_entries<T>(
    root: &mut Section<'_>,
    list: &'static str,
    name_field: &'static str,
    read: fn(&mut Section<'_>, Name) -> T,
) -> Vec<T> {
    let mut entries = Vec::new();
    let mut names: Vec<Name> = Vec::new();
    for mut section in root.items(list) {
        if let Some(name) = section.required(name_field, value::name) {
            section.set_entry_name(format!("{} {name}", list.trim_end_matches('s')));
            match names.binary_search(&name) {
                Ok(_) => section.record_fault(
                    FaultCategory::Conflict,
                    name_field,
                    "appears twice in this file",
                    "merge the two entries or rename one",
                ),
                Err(index) => names.insert(index, name.clone()),
            }
            entries.push(read(&mut section, name));
            root.add_faults(section.finish());
        } else {
            root.add_faults(section.into_faults());
        }
    }
    entries
}

fn read_model(section: &mut Section<'_>, name: Name) -> ModelEntry {
    ModelEntry {
        name,
        remove: section.optional("remove", value::boolean),
        memory_bytes: section.optional("memory_bytes", value::size_bytes),
        replicas_max: section.optional("replicas_max", value::integer),
        load_remote_ms: section.optional("load_remote_ms", value::duration_ms),
        load_disk_ms: section.optional("load_disk_ms", value::duration_ms),
        min_bytes_per_token: section.optional("min_bytes_per_token", value::integer),
        customers: section.optional("customers", value::names),
    }
}

fn read_adapter(section: &mut Section<'_>, name: Name) -> AdapterEntry {
    AdapterEntry {
        name,
        remove: section.optional("remove", value::boolean),
        model: section.optional("model", value::name),
        memory_bytes: section.optional("memory_bytes", value::size_bytes),
        customers: section.optional("customers", value::names),
    }
}

fn read_service(section: &mut Section<'_>, name: Name) -> ServiceEntry {
    ServiceEntry {
        name,
        remove: section.optional("remove", value::boolean),
        timeout_ms: section.optional("timeout_ms", value::duration_ms),
    }
}

fn read_route(section: &mut Section<'_>, path_prefix: Name) -> RouteEntry {
    RouteEntry {
        path_prefix,
        remove: section.optional("remove", value::boolean),
        service: section.optional("service", value::name),
        access: section.optional("access", value::access),
        repeat: section.optional("repeat", value::repeat),
        customers: section.optional("customers", value::names),
    }
}

fn read_customer(section: &mut Section<'_>, name: Name) -> CustomerEntry {
    CustomerEntry {
        name,
        remove: section.optional("remove", value::boolean),
        rate_tokens_per_s: section.optional("rate_tokens_per_s", value::integer),
        burst_tokens: section.optional("burst_tokens", value::integer),
        class: section.optional("class", value::integer),
    }
}

fn read_weights(root: &mut Section<'_>) -> Option<WeightsEntry> {
    let mut section = root.section("weights");
    if section.is_empty() {
        root.add_faults(section.into_faults());
        return None;
    }
    let weights = WeightsEntry {
        cold_start_tail: section.optional("cold_start_tail", value::decimal),
        idle_hours: section.optional("idle_hours", value::decimal),
        worst_customer: section.optional("worst_customer", value::decimal),
        wrongful_refusals: section.optional("wrongful_refusals", value::decimal),
    };
    root.add_faults(section.finish());
    Some(weights)
}
