use lycheeford_policy::Name;

use crate::document::{
    AdapterEntry, CustomerEntry, Document, ModelEntry, RouteEntry, ServiceEntry, WeightsEntry,
};

/// Merges a site's overlay into the base.
///
/// An overlay entry overrides those fields of the base entry of the same name
/// that it states. It is added if the base has no such entry, and removes the
/// base entry if it states `remove: true`. Lists are replaced as a whole. The
/// result is sorted by name, and merging the same overlay again changes nothing.
pub fn merge(base: &Document, overlay: &Document) -> Document {
    Document {
        models: merge_entries(&base.models, &overlay.models, model_key, override_model),
        adapters: merge_entries(&base.adapters, &overlay.adapters, adapter_key, override_adapter),
        services: merge_entries(&base.services, &overlay.services, service_key, override_service),
        routes: merge_entries(&base.routes, &overlay.routes, route_key, override_route),
        customers: merge_entries(
            &base.customers,
            &overlay.customers,
            customer_key,
            override_customer,
        ),
        weights: merge_weights(base.weights.as_ref(), overlay.weights.as_ref()),
    }
}

fn merge_entries<T: Clone>(
    base: &[T],
    overlay: &[T],
    key: fn(&T) -> (&Name, Option<bool>),
    override_fields: fn(&mut T, &T),
) -> Vec<T> {
    let mut merged: Vec<Option<T>> = base.iter().cloned().map(Some).collect();
    let mut positions: Vec<(Name, usize)> =
        base.iter().enumerate().map(|(index, entry)| (key(entry).0.clone(), index)).collect();
    positions.sort();
    for entry in overlay {
        let (name, remove) = key(entry);
        let start = positions.partition_point(|(other, _)| other < name);
        let end = positions.partition_point(|(other, _)| other <= name);
        if remove == Some(true) {
            for (_, index) in positions.drain(start..end) {
                merged[index] = None;
            }
        } else if start == end {
            positions.insert(start, (name.clone(), merged.len()));
            merged.push(Some(entry.clone()));
        } else if let Some(existing) = &mut merged[positions[start].1] {
            override_fields(existing, entry);
        }
    }
    let mut merged: Vec<T> = merged.into_iter().flatten().collect();
    merged.sort_by(|left, right| key(left).0.cmp(key(right).0));
    merged
}

fn model_key(entry: &ModelEntry) -> (&Name, Option<bool>) {
    (&entry.name, entry.remove)
}

fn override_model(base: &mut ModelEntry, overlay: &ModelEntry) {
    override_field(&mut base.remove, overlay.remove.as_ref());
    override_field(&mut base.memory_bytes, overlay.memory_bytes.as_ref());
    override_field(&mut base.replicas_max, overlay.replicas_max.as_ref());
    override_field(&mut base.load_remote_ms, overlay.load_remote_ms.as_ref());
    override_field(&mut base.load_disk_ms, overlay.load_disk_ms.as_ref());
    override_field(&mut base.min_bytes_per_token, overlay.min_bytes_per_token.as_ref());
    override_field(&mut base.customers, overlay.customers.as_ref());
}

fn adapter_key(entry: &AdapterEntry) -> (&Name, Option<bool>) {
    (&entry.name, entry.remove)
}

fn override_adapter(base: &mut AdapterEntry, overlay: &AdapterEntry) {
    override_field(&mut base.remove, overlay.remove.as_ref());
    override_field(&mut base.model, overlay.model.as_ref());
    override_field(&mut base.memory_bytes, overlay.memory_bytes.as_ref());
    override_field(&mut base.customers, overlay.customers.as_ref());
}

fn service_key(entry: &ServiceEntry) -> (&Name, Option<bool>) {
    (&entry.name, entry.remove)
}

fn override_service(base: &mut ServiceEntry, overlay: &ServiceEntry) {
    override_field(&mut base.remove, overlay.remove.as_ref());
    override_field(&mut base.timeout_ms, overlay.timeout_ms.as_ref());
}

fn route_key(entry: &RouteEntry) -> (&Name, Option<bool>) {
    (&entry.path_prefix, entry.remove)
}

fn override_route(base: &mut RouteEntry, overlay: &RouteEntry) {
    override_field(&mut base.remove, overlay.remove.as_ref());
    override_field(&mut base.service, overlay.service.as_ref());
    override_field(&mut base.access, overlay.access.as_ref());
    override_field(&mut base.repeat, overlay.repeat.as_ref());
    override_field(&mut base.customers, overlay.customers.as_ref());
}

fn customer_key(entry: &CustomerEntry) -> (&Name, Option<bool>) {
    (&entry.name, entry.remove)
}

fn override_customer(base: &mut CustomerEntry, overlay: &CustomerEntry) {
    override_field(&mut base.remove, overlay.remove.as_ref());
    override_field(&mut base.rate_tokens_per_s, overlay.rate_tokens_per_s.as_ref());
    override_field(&mut base.burst_tokens, overlay.burst_tokens.as_ref());
    override_field(&mut base.class, overlay.class.as_ref());
}

fn merge_weights(
    base: Option<&WeightsEntry>,
    overlay: Option<&WeightsEntry>,
) -> Option<WeightsEntry> {
    let (Some(base), Some(overlay)) = (base, overlay) else {
        return overlay.or(base).cloned();
    };
    Some(WeightsEntry {
        cold_start_tail: overlay.cold_start_tail.or(base.cold_start_tail),
        idle_hours: overlay.idle_hours.or(base.idle_hours),
        worst_customer: overlay.worst_customer.or(base.worst_customer),
        wrongful_refusals: overlay.wrongful_refusals.or(base.wrongful_refusals),
    })
}

fn override_field<T: Clone>(base: &mut Option<T>, overlay: Option<&T>) {
    if let Some(value) = overlay {
        *base = Some(value.clone());
    }
}
