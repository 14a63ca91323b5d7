//! The cases of the second review that are shown by a script; `standin CASE RECORD` runs one.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod engine;
mod gateway;
mod http;
mod json;
mod random;
mod record;
mod store;
mod streams;
mod worker;

use std::panic;
use std::time::Duration;

use crate::record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(&format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
    gateway::start_watchdog(Duration::from_secs(100));
    let run = || match case.as_str() {
        "exits" => cases::exits::run(&record, has_trouble),
        "forgotten" => cases::forgotten::run(&record, has_trouble),
        "holder" => cases::holder::run(&record, has_trouble),
        "orders" => cases::orders::run(&record, number("SECONDS", 60), number("SEED", 1)),
        "replaced" => cases::replaced::run(&record, has_trouble),
        "silent" => cases::silent::run(&record, has_trouble),
        "skewed" => cases::skewed::run(&record, number("SECONDS", 60), number("SEED", 1)),
        "statuses" => cases::statuses::run(&record, has_trouble),
        "versions" => cases::versions::run(&record, has_trouble),
        other => panic!("no case is named {other}"),
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(run));
    gateway::end_all();
    let code = match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
