//! Tests of the stored shares of a customer's rate: which host may take over which share, and the
//! level that its bucket then starts with.

use lycheeford_policy::{
    GoneProofs, Instance, LoanArrival, LoanReport, LoanState, MAX_SHARE_HOLDERS, Name, RateLimits,
    RateShare, ShareFault, ShareTable, TimeMs, WHOLE_SHARE_PPM,
};

const LIMITS: RateLimits = RateLimits { rate_tokens_per_s: 1_000, burst_tokens: 6_000 };
const START: TimeMs = TimeMs::from_ms(5_000);

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|host| Name::from(format!("entry-{host:03}"))).collect()
}

fn customer() -> Name {
    Name::from("pilots")
}

fn share_of(table: &ShareTable, me: &Instance, hosts: &[Name]) -> RateShare {
    let mut share = RateShare::new(me.clone(), START, LIMITS);
    share.adopt(START, 1, table, hosts);
    share
}

#[test]
fn shares_add_up_to_one_for_any_number_of_hosts() {
    for count in [1, 2, 3, 6, 7, 8, 9, 320] {
        let hosts = hosts(count);
        let me = Instance::new(hosts[count / 2].clone(), 1);
        let table = ShareTable::create(&customer(), &me, &hosts);
        assert_eq!(table.total_ppm(), WHOLE_SHARE_PPM, "{count} hosts");
        assert_eq!(table.entries.len(), count.min(MAX_SHARE_HOLDERS), "{count} hosts");
        assert!(table.entry(&me.host).is_some(), "{count} hosts");
    }
}

#[test]
fn only_the_creator_starts_with_a_full_bucket() {
    let hosts = hosts(2);
    let creator = Instance::new(hosts[0].clone(), 1);
    let other = Instance::new(hosts[1].clone(), 1);
    let table = ShareTable::create(&customer(), &creator, &hosts);
    let table = table.claim(&customer(), &other, &hosts, &GoneProofs::default()).unwrap();
    assert_eq!(share_of(&table, &creator, &hosts).level_tokens(START), 3_000);
    assert_eq!(share_of(&table, &other, &hosts).level_tokens(START), 0);
    let restarted = Instance::new(hosts[0].clone(), 2);
    let table = table.claim(&customer(), &restarted, &hosts, &GoneProofs::default()).unwrap();
    assert_eq!(share_of(&table, &restarted, &hosts).level_tokens(START), 0);
    assert_eq!(share_of(&table, &creator, &hosts).share_ppm(), 0);
}

#[test]
fn a_restarted_holder_counts_loans_as_outstanding_until_every_host_disclaims_them() {
    let hosts = hosts(2);
    let table = ShareTable::create(&customer(), &Instance::new(hosts[0].clone(), 1), &hosts);
    let me = Instance::new(hosts[0].clone(), 2);
    let table = table.claim(&customer(), &me, &hosts, &GoneProofs::default()).unwrap();
    let mut share = share_of(&table, &me, &hosts);
    let later = START + 60_000;
    assert_eq!(share.level_tokens(later), 300);
    let former = Instance::new(hosts[0].clone(), 1);
    assert!(share.clear_inherited(later, &hosts[0], &former).is_empty());
    assert_eq!(share.clear_inherited(later, &hosts[1], &former), [former]);
    assert_eq!(share.level_tokens(later + 60_000), 3_000);
}

struct GoneCase {
    name: &'static str,
    /// How many of the eight hosts the platform lists; the last host holds the share.
    listed: usize,
    /// How many of the eight hosts are live.
    live: usize,
    /// The incarnation as which the holder's address has answered.
    answered: Option<u64>,
    /// Whether a host takes over the holder's share.
    is_taken: bool,
}

#[test]
fn a_share_is_taken_over_only_from_a_holder_proven_gone() {
    let cases = [
        GoneCase { name: "listed, no answer", listed: 8, live: 8, answered: None, is_taken: false },
        GoneCase { name: "listed, leaving", listed: 8, live: 7, answered: None, is_taken: false },
        GoneCase { name: "no longer listed", listed: 7, live: 7, answered: None, is_taken: true },
        GoneCase {
            name: "restarted, so only the holder itself claims its share",
            listed: 8,
            live: 8,
            answered: Some(9),
            is_taken: false,
        },
    ];
    for case in cases {
        let hosts = hosts(8);
        let table = ShareTable::create(&customer(), &Instance::new(hosts[0].clone(), 1), &hosts);
        let last = Instance::new(hosts[7].clone(), 1);
        let mut gone = GoneProofs::default();
        gone.set_listed_hosts(&hosts);
        let table = table.claim(&customer(), &last, &hosts, &gone).unwrap();
        gone.set_listed_hosts(&hosts[..case.listed]);
        if let Some(incarnation) = case.answered {
            gone.answered(&Instance::new(hosts[7].clone(), incarnation));
        }
        let live = &hosts[..case.live];
        let takers = live.iter().filter(|host| {
            let me = Instance::new((*host).clone(), 1);
            let claimed = table.claim(&customer(), &me, live, &gone);
            claimed.is_some_and(|claimed| claimed.entry(&last.host).is_none())
        });
        assert_eq!(takers.count(), usize::from(case.is_taken), "{}", case.name);
    }
}

#[test]
fn a_share_is_given_only_by_the_instance_that_holds_it() {
    let hosts = hosts(2);
    let me = Instance::new(hosts[0].clone(), 1);
    let to = Instance::new(hosts[1].clone(), 1);
    let table = ShareTable::create(&customer(), &me, &hosts);
    let table = table.claim(&customer(), &to, &hosts, &GoneProofs::default()).unwrap();
    let given = table.transfer_share(&me, &to, 100_000).unwrap();
    assert_eq!(given.total_ppm(), WHOLE_SHARE_PPM);
    assert_eq!(given.entry(&to.host).unwrap().share_ppm, 600_000);
    let earlier = Instance::new(hosts[0].clone(), 0);
    assert_eq!(table.transfer_share(&earlier, &to, 1), Err(ShareFault::NotHeld));
    assert_eq!(table.transfer_share(&me, &to, 500_001), Err(ShareFault::NotHeld));
}

#[test]
fn a_loan_that_arrives_after_it_was_disclaimed_is_returned() {
    let hosts = hosts(2);
    let lender = Instance::new(hosts[0].clone(), 1);
    let me = Instance::new(hosts[1].clone(), 1);
    let table = ShareTable::create(&customer(), &lender, &hosts);
    let mut lending = share_of(&table, &lender, &hosts);
    let mut share = RateShare::new(me.clone(), START, LIMITS);
    let (id, _) = share.reserve_available(START, 500);
    let ask = share.open_ask(id, &hosts[0]).unwrap();
    let loan = lending.lend(START, &me, ask, 500).unwrap();
    assert!(share.disclaim_loans(&lender));
    let state = LoanState::Closed { used_tokens: 0, returned_tokens: 500 };
    let report = LoanReport { id: loan.id.clone(), state };
    assert_eq!(share.accept_loan(&loan), LoanArrival::Returned(report));
}

#[test]
fn tokens_spent_from_a_running_loan_are_refilled_at_its_lender() {
    let hosts = hosts(2);
    let lender = Instance::new(hosts[0].clone(), 1);
    let me = Instance::new(hosts[1].clone(), 1);
    let table = ShareTable::create(&customer(), &lender, &hosts);
    let mut lending = share_of(&table, &lender, &hosts);
    let mut share = RateShare::new(me.clone(), START, LIMITS);
    let (id, _) = share.reserve_available(START, 2_000);
    let ask = share.open_ask(id, &hosts[0]).unwrap();
    let loan = lending.lend(START, &me, ask, 2_000).unwrap();
    assert_eq!(lending.lend(START, &me, ask, 2_000), Some(loan.clone()));
    assert_eq!(share.accept_loan(&loan), LoanArrival::Accepted { missing_tokens: 0 });
    assert_eq!(share.accept_loan(&loan), LoanArrival::Duplicate);
    share.consume(START, id, 1_500).unwrap();
    assert!(!lending.settle(START, &share.report_loan(&loan)));
    assert_eq!(lending.level_tokens(START), 1_000);
    assert_eq!(lending.level_tokens(START + 60_000), 2_500);
    let reports = share.finish(START, id);
    assert!(lending.settle(START + 60_000, &reports[0]));
    assert!(lending.settle(START + 60_000, &reports[0]));
    assert_eq!(lending.level_tokens(START + 60_000), 3_000);
}

#[test]
fn a_holder_lowers_its_own_share_before_it_gives_a_part_away() {
    let hosts = hosts(1);
    let me = Instance::new(hosts[0].clone(), 1);
    let table = ShareTable::create(&customer(), &me, &hosts);
    let mut share = share_of(&table, &me, &hosts);
    let id = share.reserve(START, 4_500).unwrap();
    assert_eq!(share.prepare_transfer(START, 900_000), Some(250_000));
    assert_eq!(share.level_tokens(START), 0);
    share.adopt(START, 1, &table, &hosts);
    assert_eq!(share.share_ppm(), 750_000);
    share.finish(START, id);
    assert_eq!(share.level_tokens(START), 4_500);
    assert!(share.has_pending_transfer());
    assert_eq!(share.prepare_transfer(START, 1), None);
    let mut aborted = share.clone();
    aborted.abort_transfer(START, 250_000);
    let mut rewritten = share.clone();
    rewritten.adopt(START, 2, &table, &hosts);
    for mut whole in [aborted, rewritten] {
        assert!(!whole.has_pending_transfer());
        assert_eq!(whole.share_ppm(), WHOLE_SHARE_PPM);
        assert_eq!(whole.level_tokens(START), 4_500);
    }
}
