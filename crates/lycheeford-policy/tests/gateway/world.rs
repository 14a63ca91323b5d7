//! Builders of the values that the tests use.

use lycheeford_policy::{
    Claim, EngineLimits, EngineModel, EngineView, ModelDemand, Name, Residency, ResidentModel,
    ResidentView, RouteKind, ServiceRoute, ShortKey, TargetEntry, TargetRequirements, TargetState,
    TimeMs, Waiting, WeightedService,
};

pub fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

pub fn name(text: &str) -> Name {
    Name::from(text)
}

pub fn entry(id: &str, models: &[&str]) -> TargetEntry {
    let resident = |model: &&str| ResidentModel { name: name(model), adapters: Vec::new() };
    TargetEntry {
        id: name(id),
        revision: 0,
        life: 1,
        service: name("models"),
        version: name("v1"),
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: name("a"),
        state: TargetState::Ready,
        slots: 4,
        cold_remaining_ms: 0,
        residency: Residency {
            models: models.iter().map(resident).collect(),
            ..Residency::default()
        },
    }
}

pub fn need(model: &str) -> TargetRequirements {
    TargetRequirements {
        service: name("models"),
        model: Some(name(model)),
        adapter: None,
        version: None,
        tokens: 100,
        cache_tokens_max: Some(100_000),
        failure_domain: name("a"),
        affinity: None,
        objective_ms: 400,
        excluded: Vec::new(),
        priority: 0,
    }
}

pub fn route(host: &str, path_prefix: &str, parts: &[(&str, u32)]) -> ServiceRoute {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: name(service),
        weight: *weight,
    };
    ServiceRoute {
        name: name(path_prefix),
        host: name(host),
        path_prefix: name(path_prefix),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_ms_max: 400,
        priority: 0,
        split: parts.iter().map(part).collect(),
        attempts_max: 2,
        is_open: false,
    }
}

/// Engines with room for two models of 100 MB each.
pub fn limits(models: &[&str]) -> EngineLimits {
    let model = |model: &&str| EngineModel {
        name: name(model),
        weights_mb: 100,
        load_store_ms: 6_000,
        load_disk_ms: 500,
        load_memory_ms: 400,
        adapters: 10,
        adapter_mb: 1,
    };
    EngineLimits {
        weights_mb: 210,
        adapters_max: 2,
        cache_tokens: 100_000,
        store_loads_per_s: 8.0,
        models: models.iter().map(model).collect(),
    }
}

pub fn engine(id: &str, residents: &[&str], on_disk: &[&str]) -> EngineView {
    let resident = |model: &&str| ResidentView { model: name(model), weights_mb: 100, running: 0 };
    EngineView {
        id: name(id),
        version: ShortKey::of("v1"),
        is_ready: true,
        is_limited: false,
        free_mb: 210 - 100 * residents.len() as u64,
        utilization: 0.0,
        residents: residents.iter().map(resident).collect(),
        in_memory: Vec::new(),
        on_disk: on_disk.iter().map(|model| name(model)).collect(),
        operation: None,
    }
}

pub fn demand(model: &str, waiting: u32, rate_per_s: f64, asked_at: TimeMs) -> ModelDemand {
    ModelDemand {
        model: name(model),
        version: None,
        waiting,
        oldest_ms: u64::from(waiting) * 100,
        priority: 0,
        rate_per_s,
        running: 0,
        asked_at,
        is_promised: false,
    }
}

/// Returns the claim of a request with an objective of 400 ms and a deadline of 4 s.
pub fn slot_claim(id: u64, arrived_ms: u64) -> Claim {
    Claim {
        id,
        arrived_at: at(arrived_ms),
        order_at: at(arrived_ms),
        due_at: at(arrived_ms + 400),
        latest_at: at(arrived_ms + 4_000),
        priority: 0,
        work: 100.0,
    }
}

pub fn queued(claim: Claim, need: TargetRequirements) -> Waiting {
    Waiting { request: name(&format!("request-{}", claim.id)), need, claim }
}
