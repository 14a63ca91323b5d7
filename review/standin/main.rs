//! The stand-ins and the scenarios of the review's scripts.

mod fleet;
mod http;
mod memory;
mod poison;
mod record;
mod store;
mod streams;
mod versions;

use std::process::exit;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

fn main() {
    let scenario = std::env::args().nth(1).unwrap_or_default();
    let record = std::env::args().nth(2).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match scenario.as_str() {
        "poison" => poison::run(&record, has_trouble),
        "streams" => streams::run(&record, has_trouble),
        "versions" => versions::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        _ => NOT_RUN,
    };
    exit(code);
}
