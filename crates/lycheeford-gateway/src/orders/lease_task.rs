use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_platform::{Category, Expect};
use lycheeford_policy::{LeaseExpect, LeaseRecord, LeaseStep, Name, StoreVersion};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::state::State;

/// The kind and name of the lease object in the store.
const LEASE_KIND: &str = "lycheeford-leases";
const LEASE_NAME: &str = "engine-orders";
/// The interval at which the lease is checked.
const TICK_MS: u64 = 40;

/// The rank of a host that hasn't listed the others yet.
const UNLISTED_RANK: u64 = 10;

/// The stored form of the lease.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredLease {
    holder: Name,
    /// Absent in a record that an earlier version of this program wrote.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    machine: Option<IpAddr>,
    incarnation: u64,
    renewals: u64,
    is_settled: bool,
    /// Absent in a record that an earlier version of this program wrote.
    #[serde(default = "first_era")]
    era: u64,
}

fn first_era() -> u64 {
    StoreVersion::FIRST_ERA
}

impl From<LeaseRecord> for StoredLease {
    fn from(record: LeaseRecord) -> StoredLease {
        let LeaseRecord { holder, machine, incarnation, renewals, is_settled, era } = record;
        StoredLease { holder, machine, incarnation, renewals, is_settled, era }
    }
}

impl From<StoredLease> for LeaseRecord {
    fn from(stored: StoredLease) -> LeaseRecord {
        let StoredLease { holder, machine, incarnation, renewals, is_settled, era } = stored;
        LeaseRecord { holder, machine, incarnation, renewals, is_settled, era }
    }
}

/// Acquires, renews and releases the lease on orders until the future is dropped.
pub(crate) async fn keep_lease(state: Arc<State>) {
    let mut held = false;
    loop {
        task::sleep(Duration::from_millis(TICK_MS)).await;
        // A host that is being restarted keeps the lease: its next process continues at once,
        // whereas another host would have to wait until no old order can arrive.
        let now = state.now();
        // This host's rank among the candidates for taking over the lease.
        let rank = if state.is_registered() {
            state.membership().rank(now, LEASE_NAME, &state.settings.host) as u64
        } else {
            UNLISTED_RANK
        };
        let step = {
            // The orders of a host that is cut off from the engines can't arrive.
            let is_cut_off = state.is_cut_off();
            let mut orders = state.orders();
            let step = if is_cut_off { LeaseStep::Idle } else { orders.lease.next(now, rank) };
            orders.lease.asked(now, &step);
            step
        };
        match step {
            LeaseStep::Idle => {}
            LeaseStep::Read => read(&state).await,
            LeaseStep::Write { expect, record } => write(&state, expect, record).await,
        }
        let holds = state.orders().lease.token(state.now()).is_some();
        if holds != held {
            held = holds;
            info!(state.log, "orders_held"; "holds" => holds);
            state.metrics.holds_orders.set(i64::from(holds));
            state.target_pace.wake();
            state.wake_planner();
        }
    }
}

async fn read(state: &State) {
    let found = state.protocols.store.objects().get(LEASE_KIND, LEASE_NAME).await;
    let now = state.now();
    match found {
        Ok(None) => state.orders().lease.read_found(now, None),
        Ok(Some(object)) => {
            let record = object.decode::<StoredLease>().map(LeaseRecord::from);
            let record = record.unwrap_or_else(|error| {
                warn!(state.log, "lease_unreadable";
                    "revision" => object.version, "error" => %error);
                LeaseRecord::unreadable(StoreVersion::from_number(object.version).era)
            });
            state.orders().lease.read_found(now, Some((object.version, record)));
        }
        Err(error) => warn!(state.log, "lease_unread"; "error" => %error),
    }
}

async fn write(state: &State, expect: LeaseExpect, record: LeaseRecord) {
    let expect = match expect {
        LeaseExpect::Absent => Expect::Absent,
        LeaseExpect::Revision(revision) => Expect::Version(revision),
    };
    let value = match serde_json::to_value(StoredLease::from(record)) {
        Ok(value) => value,
        Err(error) => {
            warn!(state.log, "lease_unwritten"; "error" => %error);
            return state.orders().lease.not_written();
        }
    };
    let written = state.protocols.store.objects().put(LEASE_KIND, LEASE_NAME, value, expect).await;
    let now = state.now();
    let mut orders = state.orders();
    match written {
        Ok(revision) => orders.lease.written(now, revision),
        Err(error) => {
            if error.category() != Category::Conflict {
                warn!(state.log, "lease_unwritten"; "error" => %error);
            }
            orders.lease.not_written();
        }
    }
}
