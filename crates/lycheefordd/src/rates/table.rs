use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_policy::{
    AskId, Configuration, GoneProofs, Instance, Lenders, Loan, LoanArrival, LoanReport,
    MAX_LENDERS_ASKED, Name, Overdrawn, PeerSpare, REBALANCE_INTERVAL_MS, RateLimits, RateShare,
    ReservationId, ShareDemand, ShareTable, Shortage, TimeMs, choose_lenders,
};
use lycheeford_wire::SpareTokens;

use crate::versioned::Versioned;

/// This daemon's shares of all customers' rates and bursts.
#[derive(Debug)]
pub(crate) struct Rates {
    me: Instance,
    /// Sorted by name. A customer that is no longer declared stays in the list,
    /// since its loans may still be outstanding.
    customers: Vec<CustomerRate>,
    lenders: Lenders,
}

/// This daemon's share of one customer's rate and burst.
#[derive(Debug)]
pub(crate) struct CustomerRate {
    pub(crate) name: Name,
    pub(crate) share: RateShare,
    /// The stored table, as last read or written.
    pub(crate) table: Option<Versioned<ShareTable>>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    limits: RateLimits,
    demand: ShareDemand,
    rebalanced_at: TimeMs,
    pending_asks: Vec<PendingAsk>,
}

/// A loan request that a search waits for.
#[derive(Debug)]
struct PendingAsk {
    ask: AskId,
    answers: Sender<u64>,
}

/// One round of loan requests to peers for the tokens that a reservation lacks.
#[derive(Debug)]
pub(crate) struct LoanSearch {
    /// The lender, the id and the requested tokens of each loan request.
    pub(crate) asks: Vec<(Name, AskId, u64)>,
    /// Receives the tokens still missing after each answer; `u64::MAX` after a refusal.
    pub(crate) answers: Receiver<u64>,
}

impl Rates {
    pub(crate) fn new(me: Instance) -> Rates {
        Rates { me, customers: Vec::new(), lenders: Lenders::default() }
    }

    pub(crate) fn configure(&mut self, now: TimeMs, configuration: &Configuration) {
        for customer in &configuration.customers {
            let limits = RateLimits {
                rate_tokens_per_s: customer.rate_tokens_per_s,
                burst_tokens: customer.burst_tokens,
            };
            match self.position(&customer.name) {
                Ok(index) => self.customers[index].set_limits(now, limits),
                Err(index) => {
                    let rate = CustomerRate::new(&self.me, now, customer.name.clone(), limits);
                    self.customers.insert(index, rate);
                }
            }
        }
    }

    pub(crate) fn customer(&mut self, name: &str) -> Option<&mut CustomerRate> {
        let index = self.position(name).ok()?;
        Some(&mut self.customers[index])
    }

    /// Returns whether the share table of every customer has been read.
    pub(crate) fn has_all_tables(&self) -> bool {
        self.customers.iter().all(|rate| rate.table.is_some())
    }

    pub(crate) fn customers(&mut self) -> &mut [CustomerRate] {
        &mut self.customers
    }

    /// Returns the spare tokens that this host could lend, for its heartbeats.
    pub(crate) fn spare(&mut self, now: TimeMs) -> Vec<SpareTokens> {
        self.customers
            .iter_mut()
            .map(|rate| SpareTokens {
                customer: rate.name.clone(),
                tokens: rate.share.spare_tokens(now),
            })
            .filter(|spare| spare.tokens > 0)
            .collect()
    }

    /// Records the spare tokens that another host reported.
    pub(crate) fn record_peer_spare(&mut self, host: &Name, spare: &[SpareTokens]) {
        let spare = spare.iter().map(|spare| (spare.customer.clone(), spare.tokens)).collect();
        self.lenders.record_spare(host, spare);
    }

    /// Records that a peer doesn't answer.
    pub(crate) fn record_missed_peer(&mut self, host: &Name) {
        self.lenders.remove_unresponsive(host);
    }

    /// Replaces the list of hosts that may lend.
    pub(crate) fn set_lenders(&mut self, hosts: &[Name]) {
        self.lenders.retain_hosts(hosts);
    }

    /// Prepares loan requests for the missing tokens of a reservation to peers that weren't asked
    /// yet.
    pub(crate) fn search_loans(
        &mut self,
        customer: &Name,
        reservation: ReservationId,
        missing_tokens: u64,
        asked: &[Name],
    ) -> Option<LoanSearch> {
        let mut unasked = self.lenders.of(customer);
        unasked.retain(|peer| !asked.contains(&peer.host));
        let lenders = choose_lenders(missing_tokens, &unasked);
        Some(self.customer(customer)?.open_asks(reservation, &lenders))
    }

    /// Records that a peer refused a loan request, and the spare tokens that it reported.
    pub(crate) fn record_loan_refusal(
        &mut self,
        customer: &Name,
        from: &Name,
        ask: AskId,
        spare_tokens: u64,
    ) {
        self.lenders.record_refusal(from, customer, spare_tokens);
        if let Some(rate) = self.customer(customer) {
            rate.record_answer(ask, u64::MAX);
        }
    }

    /// Returns whether this host and its peers together have the tokens, by the latest reports.
    ///
    /// A refused request for which this holds counts in the metric `refusals_within_rate`.
    pub(crate) fn is_within_rate(&mut self, now: TimeMs, customer: &Name, tokens: u64) -> bool {
        let peers: u64 = self.lenders.of(customer).iter().map(|peer| peer.spare_tokens).sum();
        let level = self.customer(customer).map_or(0, |rate| rate.share.level_tokens(now));
        level.saturating_add(peers) >= tokens
    }

    pub(crate) fn settle_gone(&mut self, now: TimeMs, gone: &GoneProofs) {
        for rate in &mut self.customers {
            rate.share.settle_gone(now, gone);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.customers.binary_search_by(|rate| rate.name.as_str().cmp(name))
    }
}

impl CustomerRate {
    fn new(me: &Instance, now: TimeMs, name: Name, limits: RateLimits) -> CustomerRate {
        CustomerRate {
            name,
            share: RateShare::new(me.clone(), now, limits),
            table: None,
            admitted: 0,
            refused: 0,
            limits,
            demand: ShareDemand::default(),
            rebalanced_at: now,
            pending_asks: Vec::new(),
        }
    }

    fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.share.set_limits(now, limits);
        }
    }

    /// Reserves tokens from this host's share only.
    pub(crate) fn reserve(&mut self, now: TimeMs, tokens: u64) -> Result<ReservationId, Shortage> {
        let reserved = self.share.reserve(now, tokens);
        if reserved.is_ok() {
            self.admitted += 1;
            self.demand.served(tokens);
        }
        reserved
    }

    /// Reserves the tokens available in this host's share and returns the number still missing.
    pub(crate) fn reserve_available(&mut self, now: TimeMs, tokens: u64) -> (ReservationId, u64) {
        self.share.reserve_available(now, tokens)
    }

    /// Registers a loan request to each lender for the missing tokens of a reservation.
    fn open_asks(&mut self, reservation: ReservationId, lenders: &[PeerSpare]) -> LoanSearch {
        let (sender, answers) = bounded(MAX_LENDERS_ASKED);
        let mut asks = Vec::new();
        for lender in lenders {
            if let Some(ask) = self.share.open_ask(reservation, &lender.host) {
                self.pending_asks.push(PendingAsk { ask, answers: sender.clone() });
                asks.push((lender.host.clone(), ask, lender.spare_tokens));
            }
        }
        LoanSearch { asks, answers }
    }

    /// Ends a round of loan requests and returns the tokens still missing.
    pub(crate) fn end_search(
        &mut self,
        now: TimeMs,
        reservation: ReservationId,
        search: &LoanSearch,
    ) -> u64 {
        let asked = |pending: &PendingAsk| search.asks.iter().any(|ask| ask.1 == pending.ask);
        self.pending_asks.retain(|pending| !asked(pending));
        self.share.top_up(now, reservation)
    }

    /// Returns the customer's rate and burst across all hosts.
    pub(crate) fn limits(&self) -> RateLimits {
        self.limits
    }

    /// Grants a loan for a peer's request, or returns `None` if no tokens are spare.
    pub(crate) fn lend(
        &mut self,
        now: TimeMs,
        borrower: &Instance,
        ask: AskId,
        tokens: u64,
    ) -> Option<Loan> {
        let loan = self.share.lend(now, borrower, ask, tokens)?;
        self.demand.lent(&borrower.host, loan.tokens);
        Some(loan)
    }

    /// Accepts a loan; returns the report for the lender if no request waits for the loan.
    pub(crate) fn accept(&mut self, loan: &Loan) -> Option<LoanReport> {
        match self.share.accept_loan(loan) {
            LoanArrival::Accepted { missing_tokens } => {
                self.record_answer(loan.id.ask, missing_tokens);
                None
            }
            LoanArrival::Duplicate => None,
            LoanArrival::Returned(report) => Some(report),
        }
    }

    pub(crate) fn consume(
        &mut self,
        now: TimeMs,
        id: ReservationId,
        tokens: u64,
    ) -> Result<(), Overdrawn> {
        self.share.consume(now, id, tokens)
    }

    /// Returns the time in ms after which a request that lacks tokens should be retried.
    pub(crate) fn retry_after_ms(&self, shortage: Shortage, missing_tokens: u64) -> u64 {
        let missing_tokens = missing_tokens.min(shortage.missing_tokens);
        let fleet_ms = missing_tokens.saturating_mul(1_000) / self.limits.rate_tokens_per_s.max(1);
        shortage.ready_in_ms.unwrap_or(fleet_ms).min(fleet_ms)
    }

    /// Returns the host that should get a part of this share, and the part in ppm, at most once
    /// per rebalance interval.
    pub(crate) fn rebalance(&mut self, now: TimeMs) -> Option<(Name, u32)> {
        if now.since_ms(self.rebalanced_at) < REBALANCE_INTERVAL_MS {
            return None;
        }
        self.rebalanced_at = now;
        self.demand.rebalance(self.share.share_ppm())
    }

    fn record_answer(&mut self, ask: AskId, missing_tokens: u64) {
        if let Some(index) = self.pending_asks.iter().position(|pending| pending.ask == ask) {
            let pending = self.pending_asks.swap_remove(index);
            // The send fails if the search has ended, which needs no answer.
            let _ = pending.answers.try_send(missing_tokens);
        }
    }
}
