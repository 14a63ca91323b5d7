//! The cases, by name.

mod brittle;
mod limited_drain;
mod lone_worker;
mod quota_without_burst;
mod rare_models;
mod silence_at_stop;
mod unknown_version;

use std::path::Path;

use crate::client::KEY;
use crate::json::{number, object, text, Json};
use crate::record::Record;
use crate::Verdict;

pub type Case = fn(&Path, &Record, bool) -> Verdict;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "brittle" => Some(brittle::play),
        "limited-drain" => Some(limited_drain::play),
        "lone-worker" => Some(lone_worker::play),
        "quota-without-burst" => Some(quota_without_burst::play),
        "rare-models" => Some(rare_models::play),
        "silence-at-stop" => Some(silence_at_stop::play),
        "unknown-version" => Some(unknown_version::play),
        _ => None,
    }
}

/// The tenants of all cases: one without a quota.
fn tenants() -> Json {
    let keys = Json::List(vec![text(KEY)]);
    Json::List(vec![object([("Name", text("ferries")), ("ApiKeys", keys)])])
}

fn limits() -> Json {
    object([
        ("MaxHeaderBytes", number(16_384)),
        ("MaxBodyBytes", number(4_194_304)),
        ("HeaderTimeoutMs", number(5_000)),
        ("IdleTimeoutMs", number(30_000)),
    ])
}
