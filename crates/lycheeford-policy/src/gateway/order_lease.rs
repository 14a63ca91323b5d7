use std::net::IpAddr;

use crate::{Name, StoreVersion, TimeMs};

/// Fraction of the lease time for which a renewal is valid.
const VALID_PART: f64 = 0.8;
/// Fraction of the lease time for which orders may be sent after a renewal.
///
/// The remaining validity covers the time in which orders are in transit.
const ORDER_PART: f64 = 0.55;
/// Number of renewals within the validity of one renewal.
const RENEWALS_PER_VALIDITY: u64 = 3;
/// Margin added to every wait, for differences between the clocks of two hosts.
const CLOCK_MARGIN_MS: u64 = 150;
/// Additional delay for each next host in rank before it tries to acquire the lease.
const TAKEOVER_DELAY_MS: u64 = 400;
/// Highest rank that delays the first write of the lease, since hosts that come first may be gone.
const FIRST_WRITE_RANK_MAX: u64 = 10;
/// Highest number of renewals at which a fleet counts as new; the next renewal comes after more
/// than half a second.
const NEW_FLEET_RENEWALS_MAX: u64 = 2;
/// Minimum pause between reads of the record.
const READ_PAUSE_MS: u64 = 250;

/// The lease on giving orders, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub holder: Name,
    /// Address of the holder's machine: another machine may have the same name later. `None` if an
    /// earlier build wrote the record.
    pub machine: Option<IpAddr>,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Number of renewals, so that each write differs from the previous one. It wraps around.
    pub renewals: u64,
    /// Whether the holder may already give orders.
    ///
    /// After a takeover, the holder waits until no order of the previous holder can arrive any
    /// more. If its process dies meanwhile, the next incarnation on the same host must wait as
    /// well.
    pub is_settled: bool,
    /// Era of the store in which the record was written. A record of an earlier era comes from an
    /// older copy: its holder may have lost the lease since.
    pub era: u64,
}

impl LeaseRecord {
    /// Returns the record to assume where the stored one can't be read: some other host may just
    /// have renewed it.
    pub fn unreadable(era: u64) -> LeaseRecord {
        LeaseRecord {
            holder: Name::from(""),
            machine: None,
            incarnation: 0,
            renewals: NEW_FLEET_RENEWALS_MAX + 1,
            is_settled: false,
            era,
        }
    }
}

/// The next operation on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// No operation.
    Idle,
    /// Read the record.
    Read,
    /// Write this record.
    Write {
        /// Condition for the write to take effect.
        expect: LeaseExpect,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// Expected state of the store for a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseExpect {
    /// No record exists.
    Absent,
    /// The record has this revision.
    Revision(u64),
}

/// Decides which host gives orders to engines, and when.
///
/// Not all engines check fencing tokens, and orders of two hosts within `lease_ms` could contradict
/// each other. So a holder stops by itself once its last renewal is too old. The age is counted on
/// a clock that also runs while the host is suspended, and the holder stops early enough that its
/// last order arrives or is withdrawn while the renewal is still valid. The next holder waits
/// `lease_ms` beyond that before its first order. Tokens are versions of the store
/// ([`StoreVersion::to_number`](crate::StoreVersion::to_number)), which only increase. A host that
/// restarts may continue at once, since it is the same holder. A machine that replaces another one
/// under its name is another holder.
///
/// A store that is restored from an older copy has lost the lease, or has an earlier one. The
/// holder then stops giving orders until it has written the lease again. No other host may give
/// orders sooner than after the time for which a lease that was lost may have been valid.
#[derive(Debug, Clone)]
pub struct OrderLease {
    own_host: Name,
    own_machine: Option<IpAddr>,
    incarnation: u64,
    lease_ms: u64,
    seen: Option<Seen>,
    held: Option<Held>,
    /// Until this time an order of another holder may still arrive.
    orders_safe_from: TimeMs,
    read_at: Option<TimeMs>,
    /// When the write that awaits its answer was started.
    writing_since: Option<TimeMs>,
    /// Whether the stored record may differ from the last one that was read.
    is_record_uncertain: bool,
    /// Newest known era of the store.
    era: u64,
    /// Whether this host held the lease when the era began.
    holds_across_eras: bool,
    fleet_start: FleetStart,
}

/// When the fleet started, as far as the lease shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FleetStart {
    /// The lease is old, or hasn't been read yet.
    Earlier,
    /// The first read showed that the lease had existed for only a short time.
    WithThisHost,
    /// This host wrote the first lease that the store has ever held.
    ThisHostIsFirst,
}

/// The record as last observed.
#[derive(Debug, Clone)]
struct Seen {
    /// The revision and the record, or `None` if there was no record.
    record: Option<(u64, LeaseRecord)>,
    /// The last time at which the holder may have renewed the record.
    renewed_at: TimeMs,
}

#[derive(Debug, Clone)]
struct Held {
    token: u64,
    revision: u64,
    renewed_at: TimeMs,
    renewals: u64,
}

impl OrderLease {
    /// Returns the state of a host that has not read the lease yet.
    pub fn new(own_host: Name, incarnation: u64, lease_ms: u64) -> OrderLease {
        OrderLease {
            own_host,
            own_machine: None,
            incarnation,
            lease_ms,
            seen: None,
            held: None,
            orders_safe_from: TimeMs::default(),
            read_at: None,
            writing_since: None,
            is_record_uncertain: false,
            era: StoreVersion::FIRST_ERA,
            holds_across_eras: false,
            fleet_start: FleetStart::Earlier,
        }
    }

    /// Sets the address of this host's machine.
    pub fn on_machine(self, machine: IpAddr) -> OrderLease {
        OrderLease { own_machine: Some(machine), ..self }
    }

    /// Records the era of the store; a later one than before means that the store was restored.
    pub fn enter_era(&mut self, now: TimeMs, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.holds_across_eras = self.held(now).is_some();
        self.orders_safe_from = self.orders_safe_from.max(self.orders_safe_after_seen());
        self.held = None;
        self.seen = None;
        self.is_record_uncertain = true;
    }

    /// Returns the fencing token for an order sent at `now`, if this host may send one.
    pub fn token(&self, now: TimeMs) -> Option<u64> {
        let held = self.held.as_ref()?;
        let age_ms = now.since_ms(held.renewed_at);
        let is_valid = age_ms < self.order_window_ms() && now >= self.orders_safe_from;
        is_valid.then_some(held.token)
    }

    /// Returns how long an order may be in transit to an engine before it must be withdrawn.
    pub fn order_transit_ms(&self) -> u64 {
        self.valid_ms() - self.order_window_ms()
    }

    /// Returns the token, the revision and the age of the last renewal in milliseconds, if this
    /// host holds the lease.
    pub fn held(&self, now: TimeMs) -> Option<(u64, u64, u64)> {
        let held = self.held.as_ref()?;
        let age_ms = now.since_ms(held.renewed_at);
        (age_ms < self.valid_ms()).then_some((held.token, held.revision, age_ms))
    }

    /// Returns whether the fleet had only just started when this host first read the lease.
    ///
    /// The record outlives every host, so it distinguishes a new fleet from a fleet that was
    /// restarted as a whole.
    pub fn began_with_fleet(&self) -> bool {
        self.fleet_start != FleetStart::Earlier
    }

    /// Returns whether this host wrote the first lease that the store has ever held, so that no host
    /// of an earlier fleet can have served.
    pub fn is_first_holder(&self) -> bool {
        self.fleet_start == FleetStart::ThisHostIsFirst
    }

    /// Returns the next operation on the store; `rank` is this host's position among those that
    /// could take over.
    pub fn next(&self, now: TimeMs, rank: u64) -> LeaseStep {
        if self.writing_since.is_some() {
            return LeaseStep::Idle;
        }
        if self.is_record_uncertain {
            return self.read(now);
        }
        if let Some(held) = &self.held {
            if now.since_ms(held.renewed_at) < self.valid_ms() / RENEWALS_PER_VALIDITY {
                return LeaseStep::Idle;
            }
            return self.write(
                now,
                LeaseExpect::Revision(held.revision),
                held.renewals.wrapping_add(1),
            );
        }
        let Some(seen) = &self.seen else { return self.read(now) };
        let Some((revision, record)) = &seen.record else {
            // Hosts that start together would all write. Others hear of the first one's lease.
            let write_at = seen.renewed_at + rank.min(FIRST_WRITE_RANK_MAX) * TAKEOVER_DELAY_MS;
            return if now >= write_at {
                self.write(now, LeaseExpect::Absent, 1)
            } else {
                LeaseStep::Idle
            };
        };
        let is_held_here = self.is_own(record);
        let takeover_at =
            seen.renewed_at + self.valid_ms() + CLOCK_MARGIN_MS + rank * TAKEOVER_DELAY_MS;
        if is_held_here || now >= takeover_at {
            return self.write(
                now,
                LeaseExpect::Revision(*revision),
                record.renewals.wrapping_add(1),
            );
        }
        LeaseStep::Idle
    }

    /// Records that an operation on the store was started.
    pub fn asked(&mut self, now: TimeMs, step: &LeaseStep) {
        match step {
            LeaseStep::Idle => {}
            LeaseStep::Read => self.read_at = Some(now),
            LeaseStep::Write { .. } => self.writing_since = Some(now),
        }
    }

    /// Records the result of a read.
    pub fn read_found(&mut self, now: TimeMs, record: Option<(u64, LeaseRecord)>) {
        self.is_record_uncertain = false;
        if self.seen.is_none() && self.held.is_none() {
            let renewals = record.as_ref().map_or(0, |(_, record)| record.renewals);
            let is_new = renewals <= NEW_FLEET_RENEWALS_MAX;
            self.fleet_start = if is_new { FleetStart::WithThisHost } else { FleetStart::Earlier };
        }
        let is_own_incarnation =
            |record: &LeaseRecord| self.is_own(record) && record.incarnation == self.incarnation;
        match record {
            Some((revision, record)) if is_own_incarnation(&record) => match &mut self.held {
                // A renewal took effect although its answer was lost.
                Some(held) => {
                    held.revision = revision;
                    held.renewals = record.renewals;
                }
                None => self.observe(now, Some((revision, record))),
            },
            record => {
                self.held = None;
                self.observe(now, record);
            }
        }
    }

    /// Records the lease as reported by the host that holds it.
    pub fn heard(&mut self, now: TimeMs, holder: &Name, revision: u64, renewed_age_ms: u64) {
        if self.held.as_ref().is_some_and(|held| held.revision > revision) {
            return;
        }
        let known = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        if known.is_some_and(|(known, _)| *known > revision) {
            return;
        }
        if known.is_some_and(|(known, record)| *known == revision && self.is_own(record)) {
            // Other hosts repeat what this machine's earlier process told them.
            return;
        }
        self.held = None;
        let era = StoreVersion::from_number(revision).era;
        // A renewal that isn't known here is another machine's, whatever its name.
        let is_foreign = *holder == self.own_host;
        let record = LeaseRecord {
            holder: if is_foreign { Name::from("") } else { holder.clone() },
            machine: None,
            incarnation: 0,
            renewals: 0,
            is_settled: true,
            era,
        };
        self.observe(now - renewed_age_ms, Some((revision, record)));
    }

    /// Records that a write took effect as `revision`.
    pub fn written(&mut self, now: TimeMs, revision: u64) {
        let began_at = self.writing_since.take().unwrap_or(now);
        if let Some(held) = &mut self.held {
            held.revision = revision;
            held.renewed_at = began_at;
            held.renewals = held.renewals.wrapping_add(1);
            return;
        }
        // A store that was restored from a copy may have lost an earlier lease.
        if self.era == StoreVersion::FIRST_ERA && self.seen_record().is_none() {
            self.fleet_start = FleetStart::ThisHostIsFirst;
        }
        let renewals = self.seen_record().map_or(0, |record| record.renewals).wrapping_add(1);
        self.orders_safe_from = self.orders_safe_from.max(self.orders_safe_after_seen());
        self.held = Some(Held { token: revision, revision, renewed_at: began_at, renewals });
    }

    /// Records that a write found another record, or that its outcome is unknown.
    ///
    /// The record may have been written by this incarnation in an attempt whose answer was lost, so
    /// it is read before the next write. A lease that is held remains valid for its time: no other
    /// host takes over before it expires.
    pub fn not_written(&mut self) {
        self.writing_since = None;
        self.is_record_uncertain = true;
    }

    /// Returns until when an order of another holder may still arrive.
    fn orders_safe_after_seen(&self) -> TimeMs {
        let Some(Seen { record, renewed_at }) = &self.seen else { return TimeMs::default() };
        let is_safe_now = match record {
            // The copy from which the store was restored may lack the lease.
            None => self.era == StoreVersion::FIRST_ERA || self.holds_across_eras,
            Some((_, record)) if record.era < self.era => self.holds_across_eras,
            Some((_, record)) => self.is_own(record) && record.is_settled,
        };
        if is_safe_now {
            return TimeMs::default();
        }
        *renewed_at + self.valid_ms() + self.lease_ms + CLOCK_MARGIN_MS
    }

    fn observe(&mut self, renewed_at: TimeMs, record: Option<(u64, LeaseRecord)>) {
        // A record that is observed again at the same revision was not renewed in between.
        let same = |seen: &Seen| match (&seen.record, &record) {
            (Some((known, _)), Some((revision, _))) => known == revision,
            _ => false,
        };
        let renewed_at = match &self.seen {
            Some(seen) if same(seen) => seen.renewed_at.min(renewed_at),
            _ => renewed_at,
        };
        self.seen = Some(Seen { record, renewed_at });
    }

    /// Returns whether a process on this host's machine wrote a record.
    fn is_own(&self, record: &LeaseRecord) -> bool {
        let is_same_machine = match (record.machine, self.own_machine) {
            (Some(machine), Some(own_machine)) => machine == own_machine,
            _ => true,
        };
        record.holder == self.own_host && is_same_machine
    }

    fn seen_record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref()?.record.as_ref().map(|(_, record)| record)
    }

    fn read(&self, now: TimeMs) -> LeaseStep {
        let is_due = self.read_at.is_none_or(|at| now.since_ms(at) >= READ_PAUSE_MS);
        if is_due { LeaseStep::Read } else { LeaseStep::Idle }
    }

    fn write(&self, now: TimeMs, expect: LeaseExpect, renewals: u64) -> LeaseStep {
        // The first write is settled only if no other host can have given orders.
        let is_settled = match &self.held {
            Some(_) => now >= self.orders_safe_from,
            None => now >= self.orders_safe_from.max(self.orders_safe_after_seen()),
        };
        let record = LeaseRecord {
            holder: self.own_host.clone(),
            machine: self.own_machine,
            incarnation: self.incarnation,
            renewals,
            is_settled,
            era: self.era,
        };
        LeaseStep::Write { expect, record }
    }

    fn valid_ms(&self) -> u64 {
        (self.lease_ms as f64 * VALID_PART) as u64
    }

    fn order_window_ms(&self) -> u64 {
        (self.lease_ms as f64 * ORDER_PART) as u64
    }
}
