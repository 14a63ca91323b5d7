//! The three schemes to share a bucket, and the ideal bucket.

use lycheeford_policy::{
    GoneProofs, Instance, LoanArrival, LoanReport, Name, PeerSpare, REBALANCE_INTERVAL_MS,
    RateShare, ReservationId, ShareDemand, ShareTable, TimeMs, TokenBucket, WHOLE_SHARE_PPM,
    choose_lenders,
};

use crate::{HOSTS, LIMITS};

const DOWN_MS: u64 = 5_000;
const TAKEOVER_MS: u64 = 2_500;
/// The tokens that an owner may admit before it must write again: one second of the rate.
const WINDOW_TOKENS: u64 = 10_000;
const ASK_ROUNDS: usize = 2;

/// The host that admitted a request, and the tokens reserved and used there.
#[derive(Debug, Clone, Copy)]
pub struct Ticket {
    host: usize,
    life: u64,
    id: ReservationId,
    reserved: u64,
    pub used: u64,
}

impl Ticket {
    pub fn with_used(self, used: u64) -> Ticket {
        Ticket { used, ..self }
    }
}

/// A scheme that keeps the customer within its rate over all hosts.
pub trait SharingScheme {
    fn admit(&mut self, now: TimeMs, host: usize, reserved: u64) -> Option<Ticket>;
    fn spend(&mut self, now: TimeMs, ticket: &Ticket, tokens: u64);
    fn finish(&mut self, now: TimeMs, ticket: &Ticket);
    fn crash(&mut self, _now: TimeMs, _host: usize) {}
    /// Does the periodic work; called once a second.
    fn every_second(&mut self, _now: TimeMs, _store_is_up: bool) {}
}

/// A bucket with a fixed share at each host; with a single host it is the ideal bucket.
pub struct StaticSplit {
    buckets: Vec<TokenBucket>,
    lives: Vec<u64>,
    down_until: Vec<TimeMs>,
}

impl StaticSplit {
    pub fn new(hosts: usize) -> StaticSplit {
        let mut bucket = TokenBucket::new(TimeMs::from_ms(0), LIMITS);
        bucket.set_share(TimeMs::from_ms(0), WHOLE_SHARE_PPM / hosts as u32);
        bucket.fill();
        StaticSplit {
            buckets: vec![bucket; hosts],
            lives: vec![0; hosts],
            down_until: vec![TimeMs::default(); hosts],
        }
    }

    /// Replaces the host's bucket by an empty one.
    fn restart(&mut self, host: usize, up_at: TimeMs, share_ppm: u32) {
        self.lives[host] += 1;
        self.down_until[host] = up_at;
        self.buckets[host] = TokenBucket::new(up_at, LIMITS);
        self.buckets[host].set_share(up_at, share_ppm);
    }

    fn up_host(&self, now: TimeMs, host: usize) -> usize {
        let hosts = self.buckets.len();
        (host..host + hosts).map(|h| h % hosts).find(|h| self.down_until[*h] <= now).unwrap()
    }
}

impl SharingScheme for StaticSplit {
    fn admit(&mut self, now: TimeMs, host: usize, reserved: u64) -> Option<Ticket> {
        let host = self.up_host(now, host % self.buckets.len());
        if self.buckets[host].level_tokens(now) < reserved {
            return None;
        }
        self.buckets[host].commit(now, reserved);
        Some(Ticket { host, life: self.lives[host], id: ReservationId(0), reserved, used: 0 })
    }

    fn spend(&mut self, now: TimeMs, ticket: &Ticket, tokens: u64) {
        if self.lives[ticket.host] == ticket.life {
            self.buckets[ticket.host].spend(now, tokens);
        }
    }

    fn finish(&mut self, now: TimeMs, ticket: &Ticket) {
        if self.lives[ticket.host] == ticket.life {
            self.buckets[ticket.host].put_back(now, ticket.reserved - ticket.used);
        }
    }

    fn crash(&mut self, now: TimeMs, host: usize) {
        let up_at = now + DOWN_MS;
        self.restart(host, up_at, WHOLE_SHARE_PPM / HOSTS as u32);
    }
}

/// A single owner of the whole bucket, which writes to the store in advance what it may admit.
pub struct SingleOwner {
    bucket: StaticSplit,
    host: usize,
    window_tokens: u64,
    store_is_up: bool,
}

impl SingleOwner {
    pub fn new() -> SingleOwner {
        SingleOwner {
            bucket: StaticSplit::new(1),
            host: 0,
            window_tokens: WINDOW_TOKENS,
            store_is_up: true,
        }
    }
}

impl SharingScheme for SingleOwner {
    fn admit(&mut self, now: TimeMs, _host: usize, reserved: u64) -> Option<Ticket> {
        if self.bucket.down_until[0] > now {
            return None;
        }
        if self.window_tokens < reserved && self.store_is_up {
            self.window_tokens = WINDOW_TOKENS;
        }
        self.window_tokens = self.window_tokens.checked_sub(reserved)?;
        self.bucket.admit(now, 0, reserved)
    }

    fn spend(&mut self, now: TimeMs, ticket: &Ticket, tokens: u64) {
        self.bucket.spend(now, ticket, tokens);
    }

    fn finish(&mut self, now: TimeMs, ticket: &Ticket) {
        self.bucket.finish(now, ticket);
    }

    fn crash(&mut self, now: TimeMs, host: usize) {
        if host != self.host {
            return;
        }
        self.host = (self.host + 1) % HOSTS;
        self.bucket.restart(0, now + TAKEOVER_MS, WHOLE_SHARE_PPM);
    }

    fn every_second(&mut self, _now: TimeMs, store_is_up: bool) {
        self.store_is_up = store_is_up;
    }
}

/// A share for each host that lasts between requests, with loans between hosts.
pub struct SharesWithLoans {
    table: ShareTable,
    version: u64,
    hosts: Vec<Name>,
    lives: Vec<u64>,
    parts: Vec<RateShare>,
    demands: Vec<ShareDemand>,
    known_spare: Vec<u64>,
    down_until: Vec<TimeMs>,
    gone: GoneProofs,
}

impl SharesWithLoans {
    pub fn new() -> SharesWithLoans {
        let now = TimeMs::from_ms(0);
        let hosts: Vec<Name> = (0..HOSTS).map(|host| Name::from(format!("e{host}"))).collect();
        let share = |host: &Name| RateShare::new(Instance::new(host.clone(), 1), now, LIMITS);
        let mut scheme = SharesWithLoans {
            table: ShareTable::create(&"c".into(), &Instance::new("e0", 1), &hosts),
            version: 1,
            parts: hosts.iter().map(share).collect(),
            lives: vec![1; HOSTS],
            demands: vec![ShareDemand::default(); HOSTS],
            known_spare: vec![0; HOSTS],
            down_until: vec![now; HOSTS],
            gone: GoneProofs::default(),
            hosts,
        };
        (0..HOSTS).for_each(|host| scheme.claim(now, host));
        scheme
    }

    fn me(&self, host: usize) -> Instance {
        Instance::new(self.hosts[host].clone(), self.lives[host])
    }

    fn claim(&mut self, now: TimeMs, host: usize) {
        let me = self.me(host);
        if let Some(table) = self.table.claim(&"c".into(), &me, &self.hosts, &self.gone) {
            self.table = table;
            self.version += 1;
        }
        self.parts[host].adopt(now, self.version, &self.table, &self.hosts);
    }

    fn borrow(&mut self, now: TimeMs, host: usize, id: ReservationId, missing: u64) -> u64 {
        let is_peer = |peer: &usize| *peer != host && self.down_until[*peer] <= now;
        let spare = |peer: usize| PeerSpare {
            host: self.hosts[peer].clone(),
            spare_tokens: self.known_spare[peer],
        };
        let peers: Vec<PeerSpare> = (0..HOSTS).filter(is_peer).map(spare).collect();
        let mut missing = missing;
        for asked in choose_lenders(missing, &peers) {
            let lender = self.hosts.iter().position(|name| *name == asked.host).unwrap();
            let ask = self.parts[host].open_ask(id, &asked.host).unwrap();
            let borrower = self.me(host);
            let loan = self.parts[lender].lend(now, &borrower, ask, asked.spare_tokens);
            self.known_spare[lender] = self.parts[lender].spare_tokens(now);
            let Some(loan) = loan else { continue };
            self.demands[lender].lent(&borrower.host, loan.tokens);
            if let LoanArrival::Accepted { missing_tokens } = self.parts[host].accept_loan(&loan) {
                missing = missing_tokens;
            }
        }
        missing
    }

    fn settle(&mut self, now: TimeMs, host: usize, reports: Vec<LoanReport>) {
        for report in reports {
            let lender = self.hosts.iter().position(|name| *name == report.id.lender.host).unwrap();
            if self.down_until[lender] <= now && self.parts[lender].settle(now, &report) {
                self.parts[host].forget_loan(&report.id);
            }
        }
    }

    fn ask_inherited(&mut self, now: TimeMs, host: usize) {
        for (asked, former) in self.parts[host].inherited_queries() {
            let peer = self.hosts.iter().position(|name| *name == asked).unwrap();
            if self.down_until[peer] <= now && self.parts[peer].disclaim_loans(&former) {
                self.parts[host].clear_inherited(now, &asked, &former);
            }
        }
    }

    fn rebalance(&mut self, now: TimeMs, host: usize) {
        let share_ppm = self.parts[host].share_ppm();
        let Some((to, ppm)) = self.demands[host].rebalance(share_ppm) else { return };
        let to = self.hosts.iter().position(|name| *name == to).unwrap();
        self.parts[host].adopt(now, self.version, &self.table, &self.hosts);
        let Some(given) = self.parts[host].prepare_transfer(now, ppm) else { return };
        match self.table.transfer_share(&self.me(host), &self.me(to), given) {
            Ok(table) => {
                self.table = table;
                self.version += 1;
                for party in [host, to] {
                    self.parts[party].adopt(now, self.version, &self.table, &self.hosts);
                }
            }
            Err(_) => self.parts[host].abort_transfer(now, given),
        }
    }
}

impl SharingScheme for SharesWithLoans {
    fn admit(&mut self, now: TimeMs, host: usize, reserved: u64) -> Option<Ticket> {
        let is_up = |host: &usize| self.down_until[*host] <= now;
        let host = (host..host + HOSTS).map(|h| h % HOSTS).find(is_up)?;
        let (id, mut missing) = self.parts[host].reserve_available(now, reserved);
        self.demands[host].served(reserved - missing);
        for _ in 0..ASK_ROUNDS {
            if missing > 0 {
                missing = self.borrow(now, host, id, missing);
            }
        }
        let ticket = Ticket { host, life: self.lives[host], id, reserved, used: 0 };
        if missing > 0 {
            self.finish(now, &ticket);
            return None;
        }
        Some(ticket)
    }

    fn spend(&mut self, now: TimeMs, ticket: &Ticket, tokens: u64) {
        if self.lives[ticket.host] == ticket.life && self.down_until[ticket.host] <= now {
            self.parts[ticket.host].consume(now, ticket.id, tokens).unwrap();
        }
    }

    fn finish(&mut self, now: TimeMs, ticket: &Ticket) {
        if self.lives[ticket.host] == ticket.life && self.down_until[ticket.host] <= now {
            let reports = self.parts[ticket.host].finish(now, ticket.id);
            self.settle(now, ticket.host, reports);
        }
    }

    fn crash(&mut self, now: TimeMs, host: usize) {
        self.down_until[host] = now + DOWN_MS;
    }

    fn every_second(&mut self, now: TimeMs, store_is_up: bool) {
        for host in 0..HOSTS {
            let up_at = self.down_until[host];
            if up_at != TimeMs::default() && up_at <= now {
                self.down_until[host] = TimeMs::default();
                self.lives[host] += 1;
                self.gone.answered(&self.me(host));
                self.parts[host] = RateShare::new(self.me(host), now, LIMITS);
            }
            if self.down_until[host] > now {
                continue;
            }
            if store_is_up {
                self.claim(now, host);
                if now.as_ms().is_multiple_of(REBALANCE_INTERVAL_MS) {
                    self.rebalance(now, host);
                }
            }
            self.parts[host].settle_gone(now, &self.gone);
            self.ask_inherited(now, host);
            for loan in self.parts[host].overdue_loans(now, 1_000) {
                let borrower =
                    self.hosts.iter().position(|name| *name == loan.id.borrower.host).unwrap();
                let report = self.parts[borrower].report_loan(&loan);
                self.parts[host].settle(now, &report);
            }
            self.known_spare[host] = self.parts[host].spare_tokens(now);
        }
    }
}
