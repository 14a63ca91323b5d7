use async_std::channel::{Receiver, Sender, bounded};
use lycheeford_policy::{
    AskId, Configuration, GoneProofs, Instance, Lenders, Loan, LoanArrival, LoanReport,
    MAX_LENDERS_ASKED, Name, Overdrawn, PeerSpare, REBALANCE_INTERVAL_MS, RateLimits, RateShare,
    ReservationId, ShareDemand, ShareTable, Shortage, TimeMs, choose_lenders,
};
use lycheeford_wire::SpareTokens;

use crate::versioned::Versioned;

/// This daemon's part in every customer's rate and burst.
#[derive(Debug)]
pub(crate) struct Rates {
    me: Instance,
    /// Sorted by name. A customer that is declared no more keeps its part,
    /// since its loans may still be out.
    customers: Vec<CustomerRate>,
    lenders: Lenders,
}

/// This daemon's part in one customer's rate and burst.
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
    questions: Vec<Question>,
}

#[derive(Debug)]
struct Question {
    ask: AskId,
    answers: Sender<u64>,
}

/// Questions to peers for the tokens that a reservation lacks.
#[derive(Debug)]
pub(crate) struct LoanSearch {
    /// Whom to ask for how much.
    pub(crate) asks: Vec<(Name, AskId, u64)>,
    /// Gets the tokens still missing, once for each answer.
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

    /// Tells whether the share table of every customer is known here.
    pub(crate) fn have_tables(&self) -> bool {
        self.customers.iter().all(|rate| rate.table.is_some())
    }

    pub(crate) fn customers(&mut self) -> &mut [CustomerRate] {
        &mut self.customers
    }

    /// Returns what this host could lend, for its beats.
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

    /// Takes in what another host could lend.
    pub(crate) fn peer_spare(&mut self, host: &Name, spare: &[SpareTokens]) {
        let spare = spare.iter().map(|spare| (spare.customer.clone(), spare.tokens)).collect();
        self.lenders.reported(host, spare);
    }

    /// Takes in that a peer doesn't answer.
    pub(crate) fn peer_missed(&mut self, host: &Name) {
        self.lenders.missed(host);
    }

    /// Takes over which hosts may lend.
    pub(crate) fn list_peers(&mut self, hosts: &[Name]) {
        self.lenders.list(hosts);
    }

    /// Opens questions to peers that weren't asked yet for what a reservation lacks.
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
        Some(self.customer(customer)?.open_questions(reservation, &lenders))
    }

    /// Takes in that a peer lends nothing.
    pub(crate) fn refused_loan(
        &mut self,
        customer: &Name,
        from: &Name,
        ask: AskId,
        spare_tokens: u64,
    ) {
        self.lenders.refused(from, customer, spare_tokens);
        if let Some(rate) = self.customer(customer) {
            rate.answered(ask, u64::MAX);
        }
    }

    /// Tells whether the fleet as far as known has the tokens though the request is refused.
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
            questions: Vec::new(),
        }
    }

    fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        if self.limits != limits {
            self.limits = limits;
            self.share.set_limits(now, limits);
        }
    }

    /// Reserves from the own bucket.
    pub(crate) fn reserve(&mut self, now: TimeMs, tokens: u64) -> Result<ReservationId, Shortage> {
        let reserved = self.share.reserve(now, tokens);
        if reserved.is_ok() {
            self.admitted += 1;
            self.demand.served(tokens);
        }
        reserved
    }

    /// Reserves what is there and returns what is missing.
    pub(crate) fn begin(&mut self, now: TimeMs, tokens: u64) -> (ReservationId, u64) {
        self.share.begin(now, tokens)
    }

    /// Opens a question to each lender for what a reservation lacks.
    fn open_questions(&mut self, reservation: ReservationId, lenders: &[PeerSpare]) -> LoanSearch {
        let (sender, answers) = bounded(MAX_LENDERS_ASKED);
        let mut asks = Vec::new();
        for lender in lenders {
            if let Some(ask) = self.share.open_ask(reservation, &lender.host) {
                self.questions.push(Question { ask, answers: sender.clone() });
                asks.push((lender.host.clone(), ask, lender.spare_tokens));
            }
        }
        LoanSearch { asks, answers }
    }

    /// Closes a round of questions and returns what is still missing.
    pub(crate) fn end_search(
        &mut self,
        now: TimeMs,
        reservation: ReservationId,
        search: &LoanSearch,
    ) -> u64 {
        let asked = |question: &Question| search.asks.iter().any(|ask| ask.1 == question.ask);
        self.questions.retain(|question| !asked(question));
        self.share.top_up(now, reservation)
    }

    /// Returns the customer's rate and burst over all hosts.
    pub(crate) fn limits(&self) -> RateLimits {
        self.limits
    }

    /// Lends to a peer's question.
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

    /// Takes a loan in, and returns the report for the lender if nobody waits for it.
    pub(crate) fn accept(&mut self, loan: &Loan) -> Option<LoanReport> {
        match self.share.accept_loan(loan) {
            LoanArrival::Accepted { missing_tokens } => {
                self.answered(loan.id.ask, missing_tokens);
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

    /// Returns when a request that lacks tokens should come back.
    pub(crate) fn retry_after_ms(&self, shortage: Shortage, missing_tokens: u64) -> u64 {
        let missing_tokens = missing_tokens.min(shortage.missing_tokens);
        let fleet_ms = missing_tokens.saturating_mul(1_000) / self.limits.rate_tokens_per_s.max(1);
        shortage.ready_in_ms.unwrap_or(fleet_ms).min(fleet_ms)
    }

    /// Returns what to give to whom, once an interval.
    pub(crate) fn rebalance(&mut self, now: TimeMs) -> Option<(Name, u32)> {
        if now.since_ms(self.rebalanced_at) < REBALANCE_INTERVAL_MS {
            return None;
        }
        self.rebalanced_at = now;
        self.demand.rebalance(self.share.share_ppm())
    }

    fn answered(&mut self, ask: AskId, missing_tokens: u64) {
        if let Some(index) = self.questions.iter().position(|question| question.ask == ask) {
            let question = self.questions.swap_remove(index);
            // A search that ended meanwhile needs no answer.
            let _ = question.answers.try_send(missing_tokens);
        }
    }
}
