use crate::loan::{AskId, Loan, LoanArrival, LoanId, LoanReport, LoanState};
use crate::loan_book::{BorrowedLoans, Inherited, LoansOut};
use crate::share::ShareTable;
use crate::token_bucket::{
    LENDABLE_PPM, NANO, RateLimits, TokenBucket, WHOLE_SHARE_PPM, burst_nano, lendable_nano, nano,
};
use crate::{GoneProofs, Instance, Name, TimeMs};

/// Names one reservation within one life of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId(pub u64);

/// Why tokens can't be reserved here and now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// The tokens that are missing; a peer may lend them.
    pub missing_tokens: u64,
    /// When this host alone would have them, if it ever does.
    pub ready_in_ms: Option<u64>,
}

/// The tokens asked for are more than the reservation still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdrawn {
    /// The tokens that the reservation still holds; none of them was spent.
    pub left_tokens: u64,
}

/// One daemon's part in keeping one customer within its rate and burst.
///
/// Tokens come from the daemon's own bucket, or from a peer as a loan for one
/// request. Nothing here waits for the platform's service: shares move rarely
/// and by conditional update, loans by message. docs/RATES.md argues why the
/// bound over the fleet holds whatever is paused, late or lost.
///
/// ```
/// use lycheeford_policy::{Instance, RateLimits, RateShare, ShareTable, TimeMs};
///
/// let me = Instance::new("a", 1);
/// let limits = RateLimits { rate_tokens_per_s: 100, burst_tokens: 1_000 };
/// let now = TimeMs::from_ms(0);
/// let mut share = RateShare::new(me.clone(), now, limits);
/// let table = ShareTable::create(&"pilots".into(), &me, &["a".into()]);
/// share.adopt(now, 1, &table, &["a".into()]);
/// let id = share.reserve(now, 400).unwrap();
/// share.consume(now, id, 150).unwrap();
/// share.finish(now, id);
/// assert_eq!(share.level_tokens(now), 850);
/// ```
#[derive(Debug, Clone)]
pub struct RateShare {
    me: Instance,
    bucket: TokenBucket,
    table_version: u64,
    started: bool,
    /// The version that a share-lowering write of ours was based on.
    pending_give: Option<u64>,
    reservations: Vec<Reservation>,
    loans_out: LoansOut,
    borrowed: BorrowedLoans,
    inherited: Inherited,
    inherited_nano: u128,
    last_number: u64,
}

#[derive(Debug, Clone)]
struct Reservation {
    id: ReservationId,
    own_tokens: u64,
    missing_tokens: u64,
    loans: Vec<LoanId>,
}

impl RateShare {
    /// Returns an empty part without a share.
    pub fn new(me: Instance, now: TimeMs, limits: RateLimits) -> RateShare {
        RateShare {
            me,
            bucket: TokenBucket::new(now, limits),
            table_version: 0,
            started: false,
            pending_give: None,
            reservations: Vec::new(),
            loans_out: LoansOut::default(),
            borrowed: BorrowedLoans::default(),
            inherited: Inherited::default(),
            inherited_nano: 0,
            last_number: 0,
        }
    }

    /// Returns the whole tokens that can be reserved without a loan.
    pub fn level_tokens(&mut self, now: TimeMs) -> u64 {
        self.bucket.level_tokens(now)
    }

    /// Returns the share in force here, which may be less than the stored one.
    pub fn share_ppm(&self) -> u32 {
        self.bucket.share_ppm()
    }

    /// Returns the version of the share table in force here.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Takes over the operator's new rate and burst.
    pub fn set_limits(&mut self, now: TimeMs, limits: RateLimits) {
        self.bucket.set_limits(now, limits);
        self.weigh_inherited(now);
    }

    /// Takes over the stored share table, read or written at `version`.
    ///
    /// `entry_hosts` are the listed entry hosts, live and leaving, read at a
    /// revision no older than `version`: each of them may hold loans of a
    /// former holder. An older table than the one in force changes nothing,
    /// and while a share-lowering write may still take effect, only a later
    /// version than that write's base does.
    pub fn adopt(&mut self, now: TimeMs, version: u64, table: &ShareTable, entry_hosts: &[Name]) {
        let superseded = version < self.table_version;
        if superseded || self.pending_give.is_some_and(|base| version <= base) {
            return;
        }
        self.pending_give = None;
        self.table_version = version;
        let entry = table.entry(&self.me.host).filter(|entry| entry.holder == self.me);
        let taken = entry.map_or(&[][..], |entry| &entry.taken);
        self.inherited.update(taken, entry_hosts);
        self.bucket.set_share(now, entry.map_or(0, |entry| entry.share_ppm));
        self.weigh_inherited(now);
        if table.creator == self.me && !self.started {
            self.bucket.fill();
        }
        self.started = true;
    }

    /// Lowers the local share before a table that gives `ppm` away is written.
    ///
    /// Returns what can be given: tokens that are reserved or lent stay
    /// covered by what is left, and accrued ones beyond it are lost. The write
    /// has to be conditional on [`table_version`](Self::table_version). After
    /// it, [`adopt`](Self::adopt) the table that it made, or
    /// [`abort_give`](Self::abort_give) if it was refused.
    pub fn prepare_give(&mut self, now: TimeMs, ppm: u32) -> Option<u32> {
        if self.pending_give.is_some() {
            return None;
        }
        let kept_ppm = self.kept_ppm(now);
        let given_ppm = ppm.min(self.bucket.share_ppm().saturating_sub(kept_ppm));
        if given_ppm == 0 {
            return None;
        }
        self.bucket.set_share(now, self.bucket.share_ppm() - given_ppm);
        self.pending_give = Some(self.table_version);
        Some(given_ppm)
    }

    /// Takes back [`prepare_give`](Self::prepare_give) once the write was refused for certain.
    ///
    /// After a lost answer it isn't certain, and
    /// [`has_pending_give`](Self::has_pending_give) tells so.
    pub fn abort_give(&mut self, now: TimeMs, given_ppm: u32) {
        if self.pending_give.take().is_some() {
            self.bucket.set_share(now, self.bucket.share_ppm() + given_ppm);
        }
    }

    /// Tells whether a give was prepared whose write may still take effect.
    ///
    /// If no later version shows, store the table unchanged on condition of
    /// [`table_version`](Self::table_version) and adopt it: then the earlier
    /// write has failed for certain and the share is whole again. Until then
    /// this host works with the lower share and gives nothing more.
    pub fn has_pending_give(&self) -> bool {
        self.pending_give.is_some()
    }

    /// Reserves `tokens` from the own bucket, or nothing.
    ///
    /// # Errors
    ///
    /// A [`Shortage`] that says what is missing and when it would be there.
    pub fn reserve(&mut self, now: TimeMs, tokens: u64) -> Result<ReservationId, Shortage> {
        let level_tokens = self.bucket.level_tokens(now);
        if level_tokens < tokens {
            let missing_tokens = tokens - level_tokens;
            let ready_in_ms = self.bucket.ready_in_ms(now, tokens);
            return Err(Shortage { missing_tokens, ready_in_ms });
        }
        Ok(self.begin(now, tokens).0)
    }

    /// Reserves what the own bucket has of `tokens` and returns what is missing.
    ///
    /// Loans and [`top_up`](Self::top_up) fill the rest; a request that gives
    /// up waiting calls [`finish`](Self::finish).
    pub fn begin(&mut self, now: TimeMs, tokens: u64) -> (ReservationId, u64) {
        let own_tokens = self.bucket.commit(now, tokens);
        let missing_tokens = tokens - own_tokens;
        let id = ReservationId(self.next_number());
        self.reservations.push(Reservation { id, own_tokens, missing_tokens, loans: Vec::new() });
        (id, missing_tokens)
    }

    /// Adds refilled tokens of the own bucket to a reservation and returns what is missing.
    pub fn top_up(&mut self, now: TimeMs, id: ReservationId) -> u64 {
        let Some(index) = self.position(id) else { return 0 };
        let reservation = &mut self.reservations[index];
        let own_tokens = self.bucket.commit(now, reservation.missing_tokens);
        reservation.own_tokens += own_tokens;
        reservation.missing_tokens -= own_tokens;
        reservation.missing_tokens
    }

    /// Spends tokens of a reservation, before they are delivered.
    ///
    /// # Errors
    ///
    /// [`Overdrawn`] if it holds less; then nothing is spent and nothing may
    /// be delivered.
    pub fn consume(
        &mut self,
        now: TimeMs,
        id: ReservationId,
        tokens: u64,
    ) -> Result<(), Overdrawn> {
        let Some(index) = self.position(id) else { return Err(Overdrawn { left_tokens: 0 }) };
        let reservation = &mut self.reservations[index];
        let left_tokens = reservation.own_tokens + self.borrowed.left_tokens(&reservation.loans);
        if left_tokens < tokens {
            return Err(Overdrawn { left_tokens });
        }
        let own_tokens = tokens.min(reservation.own_tokens);
        reservation.own_tokens -= own_tokens;
        self.bucket.spend(now, own_tokens);
        self.borrowed.spend(&reservation.loans, tokens - own_tokens);
        Ok(())
    }

    /// Ends a reservation, gives the rest back and returns reports for the lenders.
    pub fn finish(&mut self, now: TimeMs, id: ReservationId) -> Vec<LoanReport> {
        let Some(index) = self.position(id) else { return Vec::new() };
        let reservation = self.reservations.remove(index);
        self.bucket.put_back(now, reservation.own_tokens);
        self.borrowed.close_asks(id);
        reservation.loans.iter().filter_map(|loan| self.borrowed.close(loan)).collect()
    }

    /// Opens a question to `lender` for a reservation; it takes one loan at most.
    pub fn open_ask(&mut self, id: ReservationId, lender: &Name) -> Option<AskId> {
        self.position(id)?;
        let ask = AskId(self.next_number());
        self.borrowed.open_ask(ask, id, lender);
        Some(ask)
    }

    /// Takes a loan in for the reservation that asked for it.
    pub fn accept_loan(&mut self, loan: &Loan) -> LoanArrival {
        if loan.id.borrower != self.me {
            return LoanArrival::Returned(self.foreign_report(loan));
        }
        if self.borrowed.contains(&loan.id) {
            return LoanArrival::Duplicate;
        }
        let Some(id) = self.borrowed.take_ask(loan) else {
            return LoanArrival::Returned(unused(loan));
        };
        let Some(index) = self.position(id) else {
            return LoanArrival::Returned(unused(loan));
        };
        let reservation = &mut self.reservations[index];
        reservation.loans.push(loan.id.clone());
        reservation.missing_tokens = reservation.missing_tokens.saturating_sub(loan.tokens);
        self.borrowed.record(loan);
        LoanArrival::Accepted { missing_tokens: reservation.missing_tokens }
    }

    /// Answers a lender that asks how its loan stands.
    ///
    /// A loan that never arrived is refused from now on, so that it can be
    /// returned whole.
    pub fn report_loan(&mut self, loan: &Loan) -> LoanReport {
        if loan.id.borrower != self.me {
            return self.foreign_report(loan);
        }
        if let Some(report) = self.borrowed.report(&loan.id) {
            return report;
        }
        self.borrowed.close_ask(loan.id.ask);
        unused(loan)
    }

    /// Forgets a closed loan after its lender has settled it.
    pub fn forget_loan(&mut self, id: &LoanId) {
        self.borrowed.forget(id);
    }

    /// Lends up to `tokens` to the peer's question, or `None` without any to spare.
    ///
    /// A doubled question gets the same loan again while it is out.
    /// The tokens leave the level here, before the message is sent. Lend only to
    /// a host of the platform's list: a later holder asks the listed hosts what
    /// they still hold.
    pub fn lend(
        &mut self,
        now: TimeMs,
        borrower: &Instance,
        ask: AskId,
        tokens: u64,
    ) -> Option<Loan> {
        let id = LoanId { lender: self.me.clone(), borrower: borrower.clone(), ask };
        if let Some(loan) = self.loans_out.get(&id) {
            return Some(loan.clone());
        }
        let granted = self.bucket.commit(now, tokens.min(self.lendable_tokens()));
        if granted == 0 {
            return None;
        }
        let loan = Loan { id, tokens: granted };
        self.loans_out.record(now, &loan);
        Some(loan)
    }

    /// Returns the tokens that a peer could borrow, to be told with each message.
    pub fn spare_tokens(&mut self, now: TimeMs) -> u64 {
        self.bucket.level_tokens(now).min(self.lendable_tokens())
    }

    /// Settles a loan of this life from its borrower's report; a second report changes nothing.
    ///
    /// What a running loan has spent so far makes room here at once. Returns
    /// whether the borrower may forget the loan.
    pub fn settle(&mut self, now: TimeMs, report: &LoanReport) -> bool {
        let returned_tokens = match report.state {
            LoanState::Running { used_tokens } => {
                let newly_used = self.loans_out.spend_up_to(&report.id, used_tokens);
                self.bucket.spend(now, newly_used);
                return false;
            }
            LoanState::Closed { returned_tokens, .. } => returned_tokens,
            LoanState::BorrowerGone => 0,
        };
        let Some(left_tokens) = self.loans_out.remove(&report.id) else { return true };
        let returned_tokens = returned_tokens.min(left_tokens);
        self.bucket.spend(now, left_tokens - returned_tokens);
        self.bucket.put_back(now, returned_tokens);
        true
    }

    /// Counts the loans of borrowers proven gone as spent, and forgets closed ones of lenders gone.
    pub fn settle_gone(&mut self, now: TimeMs, gone: &GoneProofs) {
        self.borrowed.forget_gone(gone);
        let left_tokens = self.loans_out.remove_gone(gone);
        self.bucket.spend(now, left_tokens);
    }

    /// Returns the loans that were out at least `age_ms`, whose borrowers should be asked.
    pub fn overdue_loans(&self, now: TimeMs, age_ms: u64) -> Vec<Loan> {
        self.loans_out.older_than(now, age_ms)
    }

    /// Returns the hosts to ask whether they still hold loans of a former holder.
    pub fn inherited_queries(&self) -> Vec<(Name, Instance)> {
        self.inherited.queries()
    }

    /// Answers such a question: whether no loan of `former` runs here.
    ///
    /// From then on no loan of that life or an earlier one is accepted.
    pub fn disclaim_loans(&mut self, former: &Instance) -> bool {
        self.borrowed.disclaim(former)
    }

    /// Takes in that `host` holds no loan of `former`, or is gone.
    ///
    /// Returns the former holders whose loans are over; the stored table
    /// should be [cleared](ShareTable::clear_taken) of them.
    pub fn clear_inherited(
        &mut self,
        now: TimeMs,
        host: &Name,
        former: &Instance,
    ) -> Vec<Instance> {
        self.inherited.disclaimed(host, former);
        self.weigh_inherited(now);
        self.inherited.resolved()
    }

    /// Returns the former holders whose loans are over, as [`clear_inherited`](Self::clear_inherited).
    pub fn resolved_holders(&self) -> Vec<Instance> {
        self.inherited.resolved()
    }

    /// Tells whether every token is accounted for within the share's burst.
    pub fn is_within_share(&mut self, now: TimeMs) -> bool {
        let level_nano = nano(self.bucket.level_tokens(now));
        let burst_nano = burst_nano(self.bucket.limits(), self.share_ppm());
        level_nano + self.bucket.committed_nano() <= burst_nano
    }

    fn weigh_inherited(&mut self, now: TimeMs) {
        let share_ppm = self.inherited.open_ppm().min(self.bucket.share_ppm());
        let weight_nano = lendable_nano(self.bucket.limits(), share_ppm);
        if weight_nano > self.inherited_nano {
            self.bucket.encumber_nano(now, weight_nano - self.inherited_nano);
        } else {
            self.bucket.spend_nano(now, self.inherited_nano - weight_nano);
        }
        self.inherited_nano = weight_nano;
    }

    fn lendable_tokens(&self) -> u64 {
        let limit_nano = lendable_nano(self.bucket.limits(), self.bucket.share_ppm());
        let out_nano = nano(self.loans_out.tokens()) + self.inherited_nano;
        (limit_nano.saturating_sub(out_nano) / NANO) as u64
    }

    /// Returns the least share that covers what is reserved, lent and inherited.
    fn kept_ppm(&mut self, now: TimeMs) -> u32 {
        self.bucket.level_tokens(now);
        let per_ppm = u128::from(self.bucket.limits().burst_tokens) * 1_000;
        if per_ppm == 0 {
            return 0;
        }
        let out_nano = nano(self.loans_out.tokens()) + self.inherited_nano;
        let whole_nano = out_nano * u128::from(WHOLE_SHARE_PPM) / u128::from(LENDABLE_PPM);
        let lent_ppm = whole_nano.div_ceil(per_ppm);
        let committed_ppm = self.bucket.committed_nano().div_ceil(per_ppm);
        u32::try_from(lent_ppm.max(committed_ppm)).unwrap_or(u32::MAX)
    }

    fn foreign_report(&self, loan: &Loan) -> LoanReport {
        let state = if self.me.succeeds(&loan.id.borrower) {
            LoanState::BorrowerGone
        } else {
            LoanState::Running { used_tokens: 0 }
        };
        LoanReport { id: loan.id.clone(), state }
    }

    fn position(&self, id: ReservationId) -> Option<usize> {
        self.reservations.binary_search_by_key(&id, |reservation| reservation.id).ok()
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

fn unused(loan: &Loan) -> LoanReport {
    let state = LoanState::Closed { used_tokens: 0, returned_tokens: loan.tokens };
    LoanReport { id: loan.id.clone(), state }
}
