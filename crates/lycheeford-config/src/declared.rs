use lycheeford_policy::{
    Adapter, Configuration, Customer, Model, Name, Route, Service, SiteWeights,
};

use crate::document::{
    AdapterEntry, CustomerEntry, Document, ModelEntry, RouteEntry, ServiceEntry, WeightsEntry,
};

/// Converts a checked configuration to a document that states every default.
impl From<&Configuration> for Document {
    fn from(configuration: &Configuration) -> Document {
        Document {
            models: configuration.models.iter().map(ModelEntry::from).collect(),
            adapters: configuration.adapters.iter().map(AdapterEntry::from).collect(),
            services: configuration.services.iter().map(ServiceEntry::from).collect(),
            routes: configuration.routes.iter().map(RouteEntry::from).collect(),
            customers: configuration.customers.iter().map(CustomerEntry::from).collect(),
            weights: Some(WeightsEntry::from(&configuration.weights)),
        }
    }
}

impl From<&Model> for ModelEntry {
    fn from(model: &Model) -> ModelEntry {
        ModelEntry {
            name: model.name.clone(),
            remove: None,
            memory_bytes: Some(model.memory_bytes),
            replicas_max: Some(model.replicas_max),
            load_remote_ms: Some(model.load_remote_ms),
            load_disk_ms: Some(model.load_disk_ms),
            min_bytes_per_token: Some(model.min_bytes_per_token),
            customers: none_if_empty(&model.customers),
        }
    }
}

impl From<&Adapter> for AdapterEntry {
    fn from(adapter: &Adapter) -> AdapterEntry {
        AdapterEntry {
            name: adapter.name.clone(),
            remove: None,
            model: Some(adapter.model.clone()),
            memory_bytes: Some(adapter.memory_bytes),
            customers: none_if_empty(&adapter.customers),
        }
    }
}

impl From<&Service> for ServiceEntry {
    fn from(service: &Service) -> ServiceEntry {
        ServiceEntry {
            name: service.name.clone(),
            remove: None,
            timeout_ms: Some(service.timeout_ms),
        }
    }
}

impl From<&Route> for RouteEntry {
    fn from(route: &Route) -> RouteEntry {
        RouteEntry {
            path_prefix: route.path_prefix.clone(),
            remove: None,
            service: Some(route.service.clone()),
            access: Some(route.access),
            repeat: Some(route.repeat),
            customers: none_if_empty(&route.customers),
        }
    }
}

impl From<&Customer> for CustomerEntry {
    fn from(customer: &Customer) -> CustomerEntry {
        CustomerEntry {
            name: customer.name.clone(),
            remove: None,
            rate_tokens_per_s: Some(customer.rate_tokens_per_s),
            burst_tokens: Some(customer.burst_tokens),
            class: Some(customer.class),
        }
    }
}

impl From<&SiteWeights> for WeightsEntry {
    fn from(weights: &SiteWeights) -> WeightsEntry {
        WeightsEntry {
            cold_start_tail: Some(weights.cold_start_tail),
            idle_hours: Some(weights.idle_hours),
            worst_customer: Some(weights.worst_customer),
            wrongful_refusals: Some(weights.wrongful_refusals),
        }
    }
}

fn none_if_empty(customers: &[Name]) -> Option<Vec<Name>> {
    (!customers.is_empty()).then(|| customers.to_vec())
}
