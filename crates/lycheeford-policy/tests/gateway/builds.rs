//! Hosts with different builds side by side: what each host computes for itself, and a fleet in which
//! the builds understand nothing of each other.

use lycheeford_policy::{
    PeerState, ShortKey, StreamKey, TargetLife, permit_granter, rendezvous_owner, stream_keepers,
};

use crate::fleet::{Fleet, Host, RATE, record};
use crate::world::{at, name};

/// All hosts must get the same results, whatever their build: a changed one needs a way for hosts
/// to see that all others have it. The values are those of builds c33a574 and 7f8999b.
#[test]
fn what_each_host_computes_for_itself_is_the_same_in_all_builds() {
    let keys = [ShortKey::of("model"), ShortKey::of_adapter("model", "adapter")];
    let hosts = ["host-0", "host-1", "host-2", "host-3", "host-4"].map(name);
    let owners = ["a", "b", "c", "d"].map(|key| rendezvous_owner(key, &hosts).unwrap().as_str());
    let states: Vec<_> = hosts.iter().map(|host| (host.clone(), PeerState::Ready)).collect();
    let granters = [1, 2, 3].map(|life| {
        permit_granter(TargetLife { target: ShortKey(7), life }, &states).unwrap().as_str()
    });
    let records: Vec<_> = (0..5).map(|index| record(index, 4)).collect();
    let keepers = stream_keepers(StreamKey(0x9c41_d07b_e2a3_5f68), &records);
    let keepers: Vec<&str> = keepers.iter().map(|host| host.host.as_str()).collect();
    assert_eq!(keys, [ShortKey(3_318_587_158), ShortKey(11_490_624)]);
    assert_eq!(owners, ["host-1", "host-3", "host-3", "host-2"]);
    assert_eq!(granters, ["host-0", "host-1", "host-4"]);
    assert_eq!(keepers, ["host-1", "host-4", "host-3"]);
}

struct UpgradeCase {
    hosts: usize,
    /// The pause between two hosts that are replaced.
    pause_ms: u64,
}

/// The users' rule for rates: 10% above the rate and the burst in a window, and the absolute
/// tolerance in proportion to that of a declared rate of 61,944, which is 110,000.
const WINDOW_MS: u64 = 8_000;
const OVERAGE: f64 = 1.1;
const TOLERANCE_S: f64 = 110_000.0 / 61_944.0;
/// How long the fleet stays half replaced: long enough for hosts that are silent to count as gone.
const HALF_MS: u64 = 30_000;

/// Regression test: hosts that weren't understood counted as gone, so that the hosts of either build
/// took the whole rate.
///
/// While builds understand nothing of each other, the hosts of each count the others as alive and
/// take no more than their own part of a rate.
#[test]
fn builds_that_do_not_understand_each_other_take_one_rate_together() {
    let cases = [
        UpgradeCase { hosts: 8, pause_ms: 2_000 },
        UpgradeCase { hosts: 73, pause_ms: 500 },
        UpgradeCase { hosts: 295, pause_ms: 100 },
    ];
    for UpgradeCase { hosts, pause_ms } in cases {
        let domains = 4;
        let mut fleet = Fleet::start(hosts, domains);
        let began_ms = fleet.ms;
        let (mut turn, mut replaced, mut next_ms) = (0, 0, fleet.ms + pause_ms);
        let mut taken: Vec<(u64, f64)> = Vec::new();
        while replaced < hosts {
            fleet.run(1, |_, _| true);
            let ms = fleet.ms;
            if ms >= next_ms {
                fleet.hosts[replaced] = Host::start(replaced, domains, 2, ms);
                fleet.hosts[replaced].build = 1;
                fleet.read_host_list();
                replaced += 1;
                next_ms = ms + if replaced == hosts / 2 { HALF_MS } else { pause_ms };
            }
            // Twice the rate.
            if ms.is_multiple_of(5) {
                turn = (turn + 1) % hosts;
                if fleet.hosts[turn].admit(ms, &RATE, 10.0) {
                    taken.push((ms, 10.0));
                }
            }
        }
        let spent: f64 = taken.iter().map(|(_, units)| units).sum();
        let most = fullest_window(&taken);
        let bound = (RATE.units_per_s * WINDOW_MS as f64 / 1_000.0 + RATE.burst_units) * OVERAGE
            + RATE.units_per_s * TOLERANCE_S;
        let allowed = RATE.units_per_s * (fleet.ms - began_ms) as f64 / 1_000.0;
        println!("{hosts} hosts: {most} of {bound} in the fullest window, {spent} of {allowed}");
        assert!(most <= bound, "{hosts} hosts: {most} of {bound}");
    }
}

/// Returns the most units within a window of `taken`, which holds times with units.
fn fullest_window(taken: &[(u64, f64)]) -> f64 {
    let (mut first, mut within, mut most) = (0, 0.0, 0.0);
    for (ms, units) in taken {
        within += units;
        while taken[first].0 + WINDOW_MS <= *ms {
            within -= taken[first].1;
            first += 1;
        }
        most = f64::max(most, within);
    }
    most
}

#[test]
fn a_host_that_is_not_understood_counts_as_alive_and_unheard() {
    let mut fleet = Fleet::start(4, 4);
    fleet.hosts[3].build = 1;
    fleet.run(20_000, |_, _| true);
    let part = |host: &Host, ms| host.table.visibility(at(ms)).part;
    for (index, expected) in [(0, 3.0 / 4.0), (3, 1.0 / 16.0)] {
        let part = part(&fleet.hosts[index], fleet.ms);
        assert!((part - expected).abs() < 1e-9, "host {index}: {part}, expected {expected}");
    }
    assert!(fleet.hosts[0].table.is_unread(at(fleet.ms), "host-3"));
}
