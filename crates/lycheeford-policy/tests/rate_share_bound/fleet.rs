//! Six hosts that hold shares, over a store and a network with faults.

use lycheeford_policy::{
    GoneProofs, Instance, Loan, LoanArrival, LoanId, LoanReport, Name, RateLimits, RateShare,
    ReservationId, ShareTable, TimeMs,
};

use crate::{Op, Write};

pub const HOSTS: usize = 6;
pub const LIMITS: RateLimits = RateLimits { rate_tokens_per_s: 100, burst_tokens: 1_000 };
const OVERDUE_MS: u64 = 500;

#[derive(Debug, Clone)]
pub enum Message {
    Ask { loan: Loan },
    Grant { loan: Loan },
    Report { report: LoanReport },
    Settled { report: LoanReport },
    Query { loan: Loan },
    InheritedQuery { from: usize, to: usize, former: Instance },
    Disclaimed { from: usize, to: usize, former: Instance },
}

#[derive(Debug, Clone)]
pub struct Daemon {
    pub me: Instance,
    pub share: RateShare,
    pub reservations: Vec<ReservationId>,
    /// The base version and the table of a written transfer of a share whose result isn't known.
    pending: Option<(u64, ShareTable)>,
}

#[derive(Debug)]
pub struct Fleet {
    pub now_ms: u64,
    pub daemons: Vec<Option<Daemon>>,
    incarnations: Vec<u64>,
    listed: Vec<bool>,
    gone: GoneProofs,
    pub network: Vec<Message>,
    /// The versions of the table; the last one is stored.
    tables: Vec<ShareTable>,
    /// Writes that take effect later, with the version they are based on.
    delayed: Vec<(u64, ShareTable)>,
    /// The level of an ideal bucket that started full, in millitokens.
    pub ideal_millitokens: u64,
    pub ideal_at_ms: u64,
}

fn host_name(host: usize) -> Name {
    Name::from(format!("entry-{host}"))
}

pub fn host_index(name: &Name) -> usize {
    name.strip_prefix("entry-").unwrap().parse().unwrap()
}

fn customer() -> Name {
    Name::from("pilots")
}

impl Fleet {
    pub fn new() -> Fleet {
        let mut fleet = Fleet {
            now_ms: 1_000,
            daemons: vec![None; HOSTS],
            incarnations: vec![0; HOSTS],
            listed: vec![true; HOSTS],
            gone: GoneProofs::default(),
            network: Vec::new(),
            tables: Vec::new(),
            delayed: Vec::new(),
            ideal_millitokens: LIMITS.burst_tokens * 1_000,
            ideal_at_ms: 1_000,
        };
        fleet.gone.set_listed_hosts(&fleet.hosts());
        (0..HOSTS).for_each(|host| fleet.restart(host));
        let me = fleet.daemons[0].as_ref().unwrap().me.clone();
        fleet.tables.push(ShareTable::create(&customer(), &me, &fleet.hosts()));
        for host in 0..HOSTS {
            fleet.write_claim(host, Write::Answered);
        }
        fleet
    }

    fn hosts(&self) -> Vec<Name> {
        (0..HOSTS).filter(|host| self.listed[*host]).map(host_name).collect()
    }

    /// Returns the time on a host's clock; each clock has its own origin.
    pub fn now(&self, host: usize) -> TimeMs {
        TimeMs::from_ms(self.now_ms + 7_919 * host as u64)
    }

    fn version(&self) -> u64 {
        self.tables.len() as u64
    }

    fn restart(&mut self, host: usize) {
        if !self.listed[host] || self.daemons[host].is_some() {
            return;
        }
        self.incarnations[host] += 1;
        let me = Instance::new(host_name(host), self.incarnations[host]);
        self.gone.answered(&me);
        let share = RateShare::new(me.clone(), self.now(host), LIMITS);
        self.daemons[host] = Some(Daemon { me, share, reservations: Vec::new(), pending: None });
    }

    pub fn step(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.now_ms += u64::from(ms),
            Op::Request { host, tokens, lenders } => self.request(host, tokens, lenders),
            Op::Consume { host, pick, tokens } => self.consume(host, pick, tokens),
            Op::TopUp { host, pick } => self.with_reservation(host, pick, |daemon, now, id| {
                daemon.share.top_up(now, id);
                Vec::new()
            }),
            Op::Finish { host, pick } => self.with_reservation(host, pick, |daemon, now, id| {
                daemon.reservations.retain(|kept| *kept != id);
                daemon.share.finish(now, id)
            }),
            Op::Deliver { pick } => {
                if let Some(message) = self.pick_message(pick) {
                    self.receive(message);
                }
            }
            Op::DeliverAndKeep { pick } => {
                if let Some(message) = self.pick_message(pick) {
                    self.network.push(message.clone());
                    self.receive(message);
                }
            }
            Op::Drop { pick } => drop(self.pick_message(pick)),
            Op::AskOverdue { host } => self.ask_overdue(host),
            Op::AskInherited { host } => self.ask_inherited(host),
            Op::Claim { host, write } => self.write_claim(host, write),
            Op::Give { host, to, ppm, write } => self.give(host, to, ppm, write),
            Op::RetryGive { host, write } => {
                let pending = self.daemons[host].as_ref().and_then(|daemon| daemon.pending.clone());
                if let Some((base, table)) = pending {
                    self.write(host, base, table, write);
                }
            }
            Op::Read { host } => self.read(host, self.version()),
            Op::ReadStale { host, pick } => self.read(host, 1 + pick as u64 % self.version()),
            Op::TakeEffect { pick } => {
                if !self.delayed.is_empty() {
                    let (base, table) = self.delayed.swap_remove(pick % self.delayed.len());
                    self.put(base, table);
                }
            }
            Op::Crash { host } => self.daemons[host] = None,
            Op::Restart { host } => self.restart(host),
            Op::Leave { host } => self.list(host, false),
            Op::Join { host } => self.list(host, true),
        }
    }

    fn list(&mut self, host: usize, listed: bool) {
        if !listed {
            self.daemons[host] = None;
        }
        self.listed[host] = listed;
        self.gone.set_listed_hosts(&self.hosts());
    }

    fn request(&mut self, host: usize, tokens: u64, lenders: u8) {
        let now = self.now(host);
        let Some(daemon) = &mut self.daemons[host] else { return };
        let (id, missing) = daemon.share.reserve_available(now, tokens);
        daemon.reservations.push(id);
        if missing == 0 {
            return;
        }
        for lender in (0..HOSTS).filter(|lender| *lender != host && lenders & (1 << lender) != 0) {
            let ask = daemon.share.open_ask(id, &host_name(lender)).unwrap();
            let lender = Instance::new(host_name(lender), self.incarnations[lender]);
            let id = LoanId { lender, borrower: daemon.me.clone(), ask };
            self.network.push(Message::Ask { loan: Loan { id, tokens: missing } });
        }
    }

    fn consume(&mut self, host: usize, pick: usize, tokens: u64) {
        let mut delivered = 0;
        self.with_reservation(host, pick, |daemon, now, id| {
            delivered = match daemon.share.consume(now, id, tokens) {
                Ok(()) => tokens,
                Err(short) => match daemon.share.consume(now, id, short.left_tokens) {
                    Ok(()) => short.left_tokens,
                    Err(_) => 0,
                },
            };
            Vec::new()
        });
        self.deliver_to_caller(delivered);
    }

    /// Checks that an ideal bucket holds the delivered tokens, which bounds every window that ends
    /// now.
    fn deliver_to_caller(&mut self, tokens: u64) {
        let refilled = (self.now_ms - self.ideal_at_ms) * LIMITS.rate_tokens_per_s;
        self.ideal_at_ms = self.now_ms;
        self.ideal_millitokens =
            (self.ideal_millitokens + refilled).min(LIMITS.burst_tokens * 1_000);
        let left = self.ideal_millitokens.checked_sub(tokens * 1_000);
        self.ideal_millitokens = left.expect("delivered more than rate x time + burst");
    }

    fn with_reservation(
        &mut self,
        host: usize,
        pick: usize,
        act: impl FnOnce(&mut Daemon, TimeMs, ReservationId) -> Vec<LoanReport>,
    ) {
        let now = self.now(host);
        let Some(daemon) = &mut self.daemons[host] else { return };
        if daemon.reservations.is_empty() {
            return;
        }
        let id = daemon.reservations[pick % daemon.reservations.len()];
        let reports = act(daemon, now, id);
        self.network.extend(reports.into_iter().map(|report| Message::Report { report }));
    }

    fn pick_message(&mut self, pick: usize) -> Option<Message> {
        let index = pick.checked_rem(self.network.len())?;
        Some(self.network.swap_remove(index))
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Ask { loan } => {
                let lender = host_index(&loan.id.lender.host);
                let now = self.now(lender);
                let Some(daemon) = &mut self.daemons[lender] else { return };
                let id = &loan.id;
                let loan = daemon.share.lend(now, &id.borrower, id.ask, loan.tokens);
                self.network.extend(loan.map(|loan| Message::Grant { loan }));
            }
            Message::Grant { loan } => {
                let Some(daemon) = &mut self.daemons[host_index(&loan.id.borrower.host)] else {
                    return;
                };
                match daemon.share.accept_loan(&loan) {
                    LoanArrival::Returned(report) => self.network.push(Message::Report { report }),
                    LoanArrival::Accepted { .. } | LoanArrival::Duplicate => {}
                }
            }
            Message::Report { report } => {
                let lender = host_index(&report.id.lender.host);
                let now = self.now(lender);
                let Some(daemon) = &mut self.daemons[lender] else { return };
                if daemon.share.settle(now, &report) {
                    self.network.push(Message::Settled { report });
                }
            }
            Message::Settled { report } => {
                if let Some(daemon) = &mut self.daemons[host_index(&report.id.borrower.host)] {
                    daemon.share.forget_loan(&report.id);
                }
            }
            Message::Query { loan } => {
                if let Some(daemon) = &mut self.daemons[host_index(&loan.id.borrower.host)] {
                    let report = daemon.share.report_loan(&loan);
                    self.network.push(Message::Report { report });
                }
            }
            Message::InheritedQuery { from, to, former } => {
                if let Some(daemon) = &mut self.daemons[to]
                    && daemon.share.disclaim_loans(&former)
                {
                    self.network.push(Message::Disclaimed { from: to, to: from, former });
                }
            }
            Message::Disclaimed { from, to, former } => {
                let now = self.now(to);
                if let Some(daemon) = &mut self.daemons[to] {
                    daemon.share.clear_inherited(now, &host_name(from), &former);
                }
            }
        }
    }

    fn ask_overdue(&mut self, host: usize) {
        let now = self.now(host);
        let Some(daemon) = &mut self.daemons[host] else { return };
        daemon.share.settle_gone(now, &self.gone);
        let overdue = daemon.share.overdue_loans(now, OVERDUE_MS);
        self.network.extend(overdue.into_iter().map(|loan| Message::Query { loan }));
    }

    fn ask_inherited(&mut self, host: usize) {
        let now = self.now(host);
        let Some(daemon) = &mut self.daemons[host] else { return };
        let mut cleared = Vec::new();
        for (asked, former) in daemon.share.inherited_queries() {
            let to = host_index(&asked);
            if self.listed[to] {
                self.network.push(Message::InheritedQuery { from: host, to, former });
            } else {
                cleared.extend(daemon.share.clear_inherited(now, &asked, &former));
            }
        }
        let base = daemon.share.table_version();
        let stored = &self.tables[self.tables.len() - 1];
        let cleared = cleared.iter().find_map(|former| stored.clear_taken(&daemon.me, former));
        if let Some(table) = cleared {
            self.write(host, base, table, Write::Answered);
        }
    }

    fn write_claim(&mut self, host: usize, write: Write) {
        let Some(daemon) = &self.daemons[host] else { return };
        let version = self.version();
        let stored = &self.tables[self.tables.len() - 1];
        let claimed = stored.claim(&customer(), &daemon.me, &self.hosts(), &self.gone);
        match claimed {
            Some(table) => self.write(host, version, table, write),
            None => self.read(host, version),
        }
    }

    fn give(&mut self, host: usize, to: usize, ppm: u32, write: Write) {
        let now = self.now(host);
        let stored = self.tables[self.tables.len() - 1].clone();
        let version = self.version();
        let to = Instance::new(host_name(to), self.incarnations[to]);
        self.read(host, version);
        let Some(daemon) = &mut self.daemons[host] else { return };
        if daemon.share.table_version() != version {
            return;
        }
        let Some(given_ppm) = daemon.share.prepare_transfer(now, ppm) else { return };
        match stored.transfer_share(&daemon.me, &to, given_ppm) {
            Ok(table) => {
                daemon.pending = Some((version, table.clone()));
                self.write(host, version, table, write);
            }
            Err(_) => daemon.share.abort_transfer(now, given_ppm),
        }
    }

    fn write(&mut self, host: usize, base: u64, table: ShareTable, write: Write) {
        match write {
            Write::Answered => {
                self.put(base, table);
                self.read(host, self.version());
            }
            Write::LostAfterEffect => self.put(base, table),
            Write::LostBeforeEffect => {}
            Write::TakesEffectLater => self.delayed.push((base, table)),
        }
    }

    fn put(&mut self, base: u64, table: ShareTable) {
        assert!(table.total_ppm() <= 1_000_000);
        if base == self.version() {
            self.tables.push(table);
        }
    }

    fn read(&mut self, host: usize, version: u64) {
        let hosts = self.hosts();
        let now = self.now(host);
        let table = self.tables[version as usize - 1].clone();
        let Some(daemon) = &mut self.daemons[host] else { return };
        daemon.share.adopt(now, version, &table, &hosts);
        if daemon.pending.as_ref().is_some_and(|(base, _)| *base < version) {
            daemon.pending = None;
        }
    }
}
