//! What a customer gets over all hosts of a fleet that reports by relays, cut, restarted or whole.

use lycheeford_policy::{CustomerRate, RateUnit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Fleet, Host, RATE};
use crate::world::at;

const HOT_RATE: CustomerRate = CustomerRate {
    units_per_s: 1_000.0,
    burst_units: 1_000.0,
    unit: RateUnit::Tokens { unstated_tokens: 200 },
};

/// What is heard comes through relays, three reports old.
#[test]
fn a_customer_gets_its_rate_over_many_hosts_and_no_more() {
    const HOSTS: usize = 61;
    const WINDOW_S: f64 = 8.0;
    struct Case {
        what: &'static str,
        demand_per_ms: f64,
    }
    let cases = [
        Case { what: "half the rate", demand_per_ms: 0.5 },
        Case { what: "the rate", demand_per_ms: 1.0 },
        Case { what: "six times the rate", demand_per_ms: 6.0 },
    ];
    for Case { what, demand_per_ms } in cases {
        let mut fleet = Fleet::start(HOSTS, 4);
        let (mut owed, mut turn, mut windows) = (0.0, 0, [0.0; 4]);
        for ms in 0..32_000 {
            fleet.run(1, |_, _| true);
            owed += demand_per_ms;
            while owed >= 10.0 {
                owed -= 10.0;
                turn = (turn + 1) % HOSTS;
                let now_ms = fleet.ms;
                if fleet.hosts[turn].admit(now_ms, &RATE, 10.0) {
                    windows[ms / 8_000] += 10.0;
                }
            }
        }
        let most = RATE.units_per_s * WINDOW_S + RATE.burst_units;
        assert!(windows.iter().all(|window| *window <= most), "{what}: {windows:?}");
        // Who keeps within the rate is refused next to nothing; who doesn't gets all of it.
        let owed = (demand_per_ms * 1_000.0).min(RATE.units_per_s) * WINDOW_S;
        let got: f64 = windows[1..].iter().sum();
        assert!(got >= 3.0 * owed * 0.98, "{what}: {windows:?}");
    }
}

/// Returns the most that is taken in any eight seconds of `(moment, units)`.
fn fullest_window(taken: &[(u64, f64)]) -> f64 {
    const WINDOW_MS: u64 = 8_000;
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

#[derive(Clone, Copy)]
struct HotCase {
    what: &'static str,
    hosts: usize,
    /// What is asked for, and the part of each 2.2 s in which it is.
    demand_per_ms: f64,
    asked_part: f64,
    hot_from_ms: u64,
    /// From when to when hosts hear only those whose number leaves the same remainder.
    cut_ms: (u64, u64),
    cut_in: usize,
    /// How many hear nobody meanwhile, and when they restart.
    isolated: usize,
    isolated_restart_ms: Option<u64>,
    all_restart_ms: Option<u64>,
    /// How long all are gone then.
    down_ms: u64,
}

const HOT_BASE: HotCase = HotCase {
    what: "all hear all",
    hosts: 73,
    demand_per_ms: 4.0,
    asked_part: 1.0,
    hot_from_ms: 0,
    cut_ms: (0, 0),
    cut_in: 1,
    isolated: 0,
    isolated_restart_ms: None,
    all_restart_ms: None,
    down_ms: 0,
};

/// A customer of many times its rate overspent by more than a
/// burst while reports were under way, and what lay beyond the burst was forgiven each time; and hosts
/// that were cut off for longer than a silent host counts as alive took the whole rate for theirs.
#[test]
fn no_cut_restart_or_burst_of_requests_gives_a_customer_more_than_its_tolerance() {
    let twice = HotCase { demand_per_ms: 2.0, ..HOT_BASE };
    let isolated = HotCase { isolated: 25, hot_from_ms: 6_000, demand_per_ms: 3.3, ..HOT_BASE };
    check_tolerance(&[
        HotCase { ..HOT_BASE },
        HotCase { what: "bursts of requests", demand_per_ms: 10.0, asked_part: 0.5, ..HOT_BASE },
        HotCase {
            what: "bursts of requests, 61",
            hosts: 61,
            demand_per_ms: 10.0,
            asked_part: 0.5,
            ..HOT_BASE
        },
        HotCase {
            what: "failure domains cut apart",
            cut_ms: (6_000, 12_000),
            cut_in: 3,
            ..HOT_BASE
        },
        HotCase { what: "in 8 pieces", cut_ms: (6_000, 12_000), cut_in: 8, ..twice },
        HotCase { what: "in 8 pieces for a moment", cut_ms: (6_000, 7_500), cut_in: 8, ..twice },
        HotCase { what: "a third cut off", cut_ms: (2_000, 13_500), ..isolated },
        HotCase { what: "a third cut off for long", cut_ms: (2_000, 24_000), ..isolated },
        HotCase {
            what: "a third cut off that restart",
            cut_ms: (2_000, 14_000),
            isolated_restart_ms: Some(5_000),
            ..isolated
        },
        HotCase { what: "all restart", all_restart_ms: Some(11_000), ..HOT_BASE },
    ]);
}

/// All hosts spent what came back at once, before they heard of each other, and then none did
/// until that was paid for.
#[test]
fn a_customer_over_its_rate_is_served_in_each_second() {
    for (hosts, domains) in [(8, 2), (61, 4), (73, 3)] {
        for demand_per_ms in [1.5, 3.0, 4.6, 10.0] {
            let mut random = StdRng::seed_from_u64(1);
            let mut fleet = Fleet::start(hosts, domains);
            let mut served = [0.0; 20];
            let mut owed = 0.0;
            for past_ms in 0..served.len() * 1_000 {
                fleet.run(1, |_, _| true);
                owed += demand_per_ms;
                while owed >= 0.0 {
                    let units = random.random_range(2.0..60.0);
                    owed -= units;
                    let (ms, host) = (fleet.ms, random.random_range(0..hosts));
                    if fleet.hosts[host].admit(ms, &HOT_RATE, units) {
                        served[past_ms / 1_000] += units;
                    }
                }
            }
            let what = format!("{hosts} hosts, {demand_per_ms} units a millisecond: {served:?}");
            // The first seconds pay for the burst and what is taken before it is heard.
            let settled = &served[5..];
            assert!(settled.iter().all(|units| *units >= HOT_RATE.units_per_s * 0.4), "{what}");
            let got: f64 = settled.iter().sum();
            assert!(got >= HOT_RATE.units_per_s * settled.len() as f64 * 0.95, "{what}");
        }
    }
}

/// Portions kept a quarter of the burst back, and customers were refused within it.
#[test]
fn a_customer_over_its_rate_gets_its_burst_first() {
    const SECONDS: usize = 20;
    for (hosts, domains) in [(8, 2), (61, 4)] {
        for (burst_s, demand_per_ms) in [(7.0, 1.5), (7.0, 3.0), (2.0, 1.5)] {
            let rate = CustomerRate { burst_units: HOT_RATE.units_per_s * burst_s, ..HOT_RATE };
            let mut random = StdRng::seed_from_u64(1);
            let mut fleet = Fleet::start(hosts, domains);
            for host in &mut fleet.hosts {
                host.bucket.level_elsewhere(at(fleet.ms), rate.burst_units, 0.0);
            }
            let (mut owed, mut got) = (0.0, 0.0);
            for _ in 0..SECONDS * 1_000 {
                fleet.run(1, |_, _| true);
                owed += demand_per_ms;
                while owed >= 0.0 {
                    let units = random.random_range(2.0..60.0);
                    owed -= units;
                    let (ms, host) = (fleet.ms, random.random_range(0..hosts));
                    if fleet.hosts[host].admit(ms, &rate, units) {
                        got += units;
                    }
                }
            }
            let seconds = SECONDS as f64;
            let due =
                (rate.units_per_s * (seconds + burst_s)).min(demand_per_ms * 1_000.0 * seconds);
            assert!(got >= due * 0.95, "{hosts} hosts, burst of {burst_s} s: {got} of {due}");
        }
    }
}

/// A fleet that is cut in many pieces at once, each of which spends part of the burst.
#[test]
fn a_cut_in_many_pieces_gives_a_hot_customer_no_more_than_its_tolerance() {
    check_tolerance(&[
        HotCase { what: "in 8 pieces", cut_ms: (6_000, 12_000), cut_in: 8, ..HOT_BASE },
        HotCase { what: "for a moment", cut_ms: (6_000, 7_500), cut_in: 8, ..HOT_BASE },
    ]);
}

/// All hosts of a fleet that was restarted took what they hadn't heard of for nothing spent, and
/// each spent the whole rate until the reports came round.
#[test]
fn a_fleet_that_restarts_under_a_hot_customer_gives_it_no_more_than_its_tolerance() {
    let killed = HotCase {
        what: "killed for a second",
        all_restart_ms: Some(11_000),
        down_ms: 1_000,
        ..HOT_BASE
    };
    check_tolerance(&[
        killed,
        HotCase { what: "91 hosts", hosts: 91, ..killed },
        HotCase { what: "7 hosts", hosts: 7, ..killed },
        HotCase { what: "295 hosts", hosts: 295, ..killed },
        HotCase { what: "ten times its rate", demand_per_ms: 10.0, ..killed },
        HotCase { what: "twice its rate", demand_per_ms: 2.0, ..killed },
        HotCase { what: "hot since a moment", hot_from_ms: 9_000, demand_per_ms: 6.0, ..killed },
        HotCase { what: "for half a second", down_ms: 500, ..killed },
    ]);
}

/// A starting host's part was parted twice, and then one request of one host, which took its
/// part below zero, counted as a debt of all: customers within their rate were refused for seconds.
#[test]
fn a_fleet_that_restarts_soon_serves_a_customer_within_its_rate() {
    const DOMAINS: usize = 3;
    for (hosts, units_of_one) in [(7, 10.0..60.0), (61, 10.0..60.0), (61, 50.0..300.0)] {
        let mut random = StdRng::seed_from_u64(1);
        let mut fleet = Fleet::start(hosts, DOMAINS);
        for host in 0..hosts {
            fleet.hosts[host] = Host::start(host, DOMAINS, 2, fleet.ms);
        }
        fleet.list();
        let (mut owed, mut asked, mut served) = (0.0, [0.0; 6], [0.0; 6]);
        for past_ms in 0..6_000 {
            fleet.run(1, |_, _| true);
            owed += 0.55;
            while owed >= 0.0 {
                let units = random.random_range(units_of_one.clone());
                owed -= units;
                let (ms, host) = (fleet.ms, random.random_range(0..hosts));
                asked[past_ms / 1_000] += units;
                if fleet.hosts[host].admit(ms, &HOT_RATE, units) {
                    served[past_ms / 1_000] += units;
                }
            }
        }
        let what = format!("{hosts} hosts, {units_of_one:?}: {served:?} of {asked:?}");
        let part = |from: usize, to: usize| {
            served[from..to].iter().sum::<f64>() / asked[from..to].iter().sum::<f64>()
        };
        assert!(part(0, 3) >= 0.7, "{what}");
        assert!(part(3, 6) >= 0.95, "{what}");
    }
}

/// Checks that no eight seconds of a case hold more than the users' rule allows.
fn check_tolerance(cases: &[HotCase]) {
    const DOMAINS: usize = 3;
    const SECONDS: u64 = 30;
    // The users' rule: a tenth over, and the tolerance that a declared rate of 102,012 has beside it.
    let tolerance = HOT_RATE.units_per_s * 110_000.0 / 102_012.0;
    let bound = (HOT_RATE.units_per_s * 8.0 + HOT_RATE.burst_units) * 1.1 + tolerance;
    let mut broken = Vec::new();
    for case in cases {
        let mut random = StdRng::seed_from_u64(1);
        let mut fleet = Fleet::start(case.hosts, DOMAINS);
        let (mut owed, mut taken) = (0.0, Vec::new());
        let restart = |fleet: &mut Fleet, hosts: usize| {
            for host in 0..hosts {
                fleet.hosts[host] = Host::start(host, DOMAINS, 2, fleet.ms);
            }
            fleet.list();
        };
        for past_ms in 0..SECONDS * 1_000 {
            let is_cut = (case.cut_ms.0..case.cut_ms.1).contains(&past_ms);
            let is_heard = |from: usize, to: usize| {
                from % case.cut_in == to % case.cut_in && from.min(to) >= case.isolated
            };
            fleet.run(1, |from, to| !is_cut || is_heard(from, to));
            let ms = fleet.ms;
            if case.isolated_restart_ms == Some(past_ms) {
                restart(&mut fleet, case.isolated);
            }
            if case.all_restart_ms == Some(past_ms) {
                fleet.hosts.iter_mut().for_each(|host| host.is_up = false);
            }
            if case.all_restart_ms.is_some_and(|at_ms| at_ms + case.down_ms == past_ms) {
                restart(&mut fleet, case.hosts);
            }
            let is_asked = past_ms >= case.hot_from_ms
                && (past_ms % 2_200) as f64 <= 2_200.0 * case.asked_part;
            owed += if is_asked { case.demand_per_ms } else { 0.3 };
            while owed >= 0.0 {
                let units = random.random_range(2.0..60.0);
                owed -= units;
                let host = random.random_range(0..case.hosts);
                if fleet.hosts[host].is_up && fleet.hosts[host].admit(ms, &HOT_RATE, units) {
                    taken.push((ms, units));
                }
            }
        }
        let fullest = fullest_window(&taken);
        if fullest > bound {
            broken.push((case.what, fullest));
        }
    }
    assert!(broken.is_empty(), "over {bound}: {broken:?}");
}
