//! Builds configurations of any size, whose names sort in the order of their index.

use lycheeford_config::{KEY_RANDOM_BYTES, generate_key};
use lycheeford_policy::{Adapter, Configuration, Customer, Key, Model, Name};

pub fn configuration(models: u32, adapters: u32, customers: u32) -> Configuration {
    let listed: Vec<Name> = (0..customers).map(|index| name("customer", index)).collect();
    Configuration {
        models: (0..models).map(|index| model(name("model", index))).collect(),
        adapters: (0..adapters)
            .filter(|_| models > 0)
            .map(|index| Adapter {
                name: name("adapter", index),
                model: name("model", index % models),
                memory_bytes: 1 + u64::from(index),
                customers: listed.clone(),
            })
            .collect(),
        customers: listed.into_iter().map(customer).collect(),
        ..Configuration::default()
    }
}

pub fn name(kind: &str, index: u32) -> Name {
    Name::from(format!("{kind}-{index:05}"))
}

fn model(name: Name) -> Model {
    Model {
        name,
        memory_bytes: 16 << 30,
        replicas_max: 2,
        load_remote_ms: 20_000,
        load_disk_ms: 6_000,
        min_bytes_per_token: 2,
        customers: Vec::new(),
    }
}

fn customer(name: Name) -> Customer {
    Customer { name, rate_tokens_per_s: 10, burst_tokens: 100, class: 0 }
}

pub fn key(customer: &Name, seed: u8) -> Key {
    generate_key(customer, &[seed; KEY_RANDOM_BYTES]).0
}
