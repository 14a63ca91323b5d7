use serde::{Deserialize, Serialize};

use lycheeford_policy::{Access, Name, Repeat};

use crate::fault::{Category, Faults};
use crate::section::Section;
use crate::value;

/// What operators write: a base file, a site's overlay, or the two merged.
///
/// Every field of an entry is optional, so that an overlay states only what
/// differs; [`check`](crate::check) finds what is missing after the merge.
/// docs/CONFIGURATION.md describes each field with its unit and default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The models.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelEntry>,
    /// The adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<AdapterEntry>,
    /// The plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceEntry>,
    /// The routes to plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteEntry>,
    /// The customers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerEntry>,
    /// How the site weighs the four measures.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weights: Option<WeightsEntry>,
}

/// A model as written; see [`lycheeford_policy::Model`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The name that callers give.
    pub name: Name,
    /// Takes the entry of this name out of the base.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// Memory that a loaded replica takes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
    /// Replicas that may be loaded at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replicas_max: Option<u32>,
    /// How long a load takes from the remote store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_remote_ms: Option<u64>,
    /// How long a load takes from the target's disk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_disk_ms: Option<u64>,
    /// The least bytes of prompt that make a token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_bytes_per_token: Option<u32>,
    /// The customers that may call it; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// An adapter as written; see [`lycheeford_policy::Adapter`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The name that callers give.
    pub name: Name,
    /// Takes the entry of this name out of the base.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The model that it adapts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Name>,
    /// Memory that it takes beside a replica of the model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
    /// The customers that may call it; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// A plain service as written; see [`lycheeford_policy::Service`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The name that the platform's list gives.
    pub name: Name,
    /// Takes the entry of this name out of the base.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// How long a call may take.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// A route as written; see [`lycheeford_policy::Route`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// The prefix of the path, which names the entry.
    pub path_prefix: Name,
    /// Takes the entry of this prefix out of the base.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// The service that answers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Who may call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub access: Option<Access>,
    /// Whether a call may be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// The customers that may call it; absent means every customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customers: Option<Vec<Name>>,
}

/// A customer as written; see [`lycheeford_policy::Customer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The name.
    pub name: Name,
    /// Takes the entry of this name out of the base.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remove: Option<bool>,
    /// Tokens a second over all hosts together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_tokens_per_s: Option<u64>,
    /// Tokens at once over all hosts together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst_tokens: Option<u64>,
    /// The class that orders its requests when capacity is short; 0 goes first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<u8>,
}

/// Site weights as written; see [`lycheeford_policy::SiteWeights`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsEntry {
    /// The tail of cold-start times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_start_tail: Option<f64>,
    /// Idle accelerator hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idle_hours: Option<f64>,
    /// How the worst-served customer fares.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub worst_customer: Option<f64>,
    /// Requests refused although within the rate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wrongful_refusals: Option<f64>,
}

impl Document {
    /// Reads a base or an overlay from YAML; `file_name` only serves the messages.
    ///
    /// # Errors
    ///
    /// All faults of layout at once, each with its entry, field and line;
    /// [`check`](crate::check) finds the others after the merge.
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

    /// Writes the document as YAML that [`from_yaml`](Document::from_yaml) reads back.
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
            section.rename(format!("{} {name}", list.trim_end_matches('s')));
            match names.binary_search(&name) {
                Ok(_) => section.fault(
                    Category::Conflict,
                    name_field,
                    "stands twice in this file",
                    "join the two entries or rename one",
                ),
                Err(index) => names.insert(index, name.clone()),
            }
            entries.push(read(&mut section, name));
            root.absorb(section.finish());
        } else {
            root.absorb(section.into_faults());
        }
    }
    entries
}

fn read_model(section: &mut Section<'_>, name: Name) -> ModelEntry {
    ModelEntry {
        name,
        remove: section.optional("remove", value::truth),
        memory_bytes: section.optional("memory_bytes", value::size_bytes),
        replicas_max: section.optional("replicas_max", value::whole),
        load_remote_ms: section.optional("load_remote_ms", value::duration_ms),
        load_disk_ms: section.optional("load_disk_ms", value::duration_ms),
        min_bytes_per_token: section.optional("min_bytes_per_token", value::whole),
        customers: section.optional("customers", value::names),
    }
}

fn read_adapter(section: &mut Section<'_>, name: Name) -> AdapterEntry {
    AdapterEntry {
        name,
        remove: section.optional("remove", value::truth),
        model: section.optional("model", value::name),
        memory_bytes: section.optional("memory_bytes", value::size_bytes),
        customers: section.optional("customers", value::names),
    }
}

fn read_service(section: &mut Section<'_>, name: Name) -> ServiceEntry {
    ServiceEntry {
        name,
        remove: section.optional("remove", value::truth),
        timeout_ms: section.optional("timeout_ms", value::duration_ms),
    }
}

fn read_route(section: &mut Section<'_>, path_prefix: Name) -> RouteEntry {
    RouteEntry {
        path_prefix,
        remove: section.optional("remove", value::truth),
        service: section.optional("service", value::name),
        access: section.optional("access", value::access),
        repeat: section.optional("repeat", value::repeat),
        customers: section.optional("customers", value::names),
    }
}

fn read_customer(section: &mut Section<'_>, name: Name) -> CustomerEntry {
    CustomerEntry {
        name,
        remove: section.optional("remove", value::truth),
        rate_tokens_per_s: section.optional("rate_tokens_per_s", value::whole),
        burst_tokens: section.optional("burst_tokens", value::whole),
        class: section.optional("class", value::whole),
    }
}

fn read_weights(root: &mut Section<'_>) -> Option<WeightsEntry> {
    let mut section = root.section("weights");
    if section.is_empty() {
        root.absorb(section.into_faults());
        return None;
    }
    let weights = WeightsEntry {
        cold_start_tail: section.optional("cold_start_tail", value::decimal),
        idle_hours: section.optional("idle_hours", value::decimal),
        worst_customer: section.optional("worst_customer", value::decimal),
        wrongful_refusals: section.optional("wrongful_refusals", value::decimal),
    };
    root.absorb(section.finish());
    Some(weights)
}
