//! Tests of the gateway's decisions: tables of cases, and properties over random histories.

mod beliefs;
mod builds;
mod claims;
mod customer_rates;
mod deployment;
mod fleet;
mod lease_history;
mod limited_fleet;
mod limits;
mod load_shedding;
mod membership;
mod order_lease;
mod placement;
mod rates;
mod slot_forecast;
mod stated_content;
mod stop_load;
mod stopping;
mod stream_versions;
mod streams;
mod target_news;
mod target_reach;
mod target_silence;
mod targets;
mod unstated_ends;
mod world;
