use crate::{Name, TimeMs};

/// The part of the lease time for which a renewal holds.
const VALID_PART: f64 = 0.8;
/// The part of the lease time for which orders may be sent after a renewal.
///
/// The rest of the time for which it holds is for their way.
const ORDER_PART: f64 = 0.55;
/// Renewals in the time for which one holds.
const RENEWALS: u64 = 3;
/// What is added to every wait for differences between two hosts' clocks.
const MARGIN_MS: u64 = 150;
/// How much later each next host in rank tries to take the lease.
const RANK_MS: u64 = 400;
/// Renewals up to which a fleet is new; the next one comes after more than half a second.
const NEW_RENEWALS_MAX: u64 = 2;
/// The pause before the store is asked again.
const READ_PAUSE_MS: u64 = 250;

/// The lease on giving orders, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The host that holds it.
    pub holder: Name,
    /// The life of the holder's process.
    pub incarnation: u64,
    /// Counts renewals, so that each write differs from the one before.
    pub renewals: u64,
    /// Whether the holder may already give orders.
    ///
    /// A holder that has just taken over waits until no order of the one
    /// before can arrive any more. If its process dies meanwhile, the next
    /// life of the same host must wait, too.
    pub is_settled: bool,
}

/// What the store is to be asked next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing now.
    Idle,
    /// Read the record.
    Read,
    /// Write this record.
    Write {
        /// What must be stored for the write to take effect.
        expect: LeaseExpect,
        /// The record.
        record: LeaseRecord,
    },
}

/// What a write of the lease expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseExpect {
    /// No record.
    Absent,
    /// The record at this revision.
    Revision(u64),
}

/// Decides which host gives orders to engines, and when it may.
///
/// Engines don't all check fencing tokens, and orders of two hosts within
/// `lease_ms` could contradict each other. So a holder stops by itself when its
/// last renewal is too old, counted on a clock that runs while the host is
/// suspended, and early enough that its last order arrives or is withdrawn
/// while the renewal still holds. The next one waits `lease_ms` longer than
/// that before its first order. Tokens are the store's revisions, which only
/// grow. A host that restarts may go on at once, since it is the same holder.
#[derive(Debug, Clone)]
pub struct OrderLease {
    me: Name,
    incarnation: u64,
    lease_ms: u64,
    seen: Option<Seen>,
    held: Option<Held>,
    /// Before this moment an order of another holder may still arrive.
    quiet_from: TimeMs,
    read_at: Option<TimeMs>,
    /// When the write began whose answer is awaited.
    writing_since: Option<TimeMs>,
    /// Whether the record may be another one than was last seen.
    is_unsure: bool,
    /// Whether the first read found that nobody has held it for longer than a moment.
    was_new: bool,
}

/// The record as it was last seen.
#[derive(Debug, Clone)]
struct Seen {
    /// The revision and the record, or `None` if there was none.
    record: Option<(u64, LeaseRecord)>,
    /// The last moment at which its holder may have renewed it.
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
    /// Returns the state of a host that knows nothing of the lease.
    pub fn new(me: Name, incarnation: u64, lease_ms: u64) -> OrderLease {
        OrderLease {
            me,
            incarnation,
            lease_ms,
            seen: None,
            held: None,
            quiet_from: TimeMs::default(),
            read_at: None,
            writing_since: None,
            is_unsure: false,
            was_new: false,
        }
    }

    /// Returns the token for an order that is sent right now, if one may be sent.
    pub fn token(&self, now: TimeMs) -> Option<u64> {
        let held = self.held.as_ref()?;
        let age_ms = now.since_ms(held.renewed_at);
        let is_valid = age_ms < self.order_ms() && now >= self.quiet_from;
        is_valid.then_some(held.token)
    }

    /// Returns how long an order may be on its way to an engine before it must be withdrawn.
    pub fn order_way_ms(&self) -> u64 {
        self.valid_ms() - self.order_ms()
    }

    /// Returns the token, the revision and the age of the last renewal, if this host holds the lease.
    pub fn held(&self, now: TimeMs) -> Option<(u64, u64, u64)> {
        let held = self.held.as_ref()?;
        let age_ms = now.since_ms(held.renewed_at);
        (age_ms < self.valid_ms()).then_some((held.token, held.revision, age_ms))
    }

    /// Returns whether the fleet had only just begun when this host first looked.
    ///
    /// The record outlasts every host, so that it tells a new fleet from one
    /// that was restarted as a whole.
    pub fn began_with_fleet(&self) -> bool {
        self.was_new
    }

    /// Returns what to ask the store; `rank` is this host's place among those that could take over.
    pub fn next(&self, now: TimeMs, rank: u64) -> LeaseStep {
        if self.writing_since.is_some() {
            return LeaseStep::Idle;
        }
        if self.is_unsure {
            return self.read(now);
        }
        if let Some(held) = &self.held {
            if now.since_ms(held.renewed_at) < self.valid_ms() / RENEWALS {
                return LeaseStep::Idle;
            }
            return self.write(now, LeaseExpect::Revision(held.revision), held.renewals + 1);
        }
        let Some(seen) = &self.seen else { return self.read(now) };
        let Some((revision, record)) = &seen.record else {
            return self.write(now, LeaseExpect::Absent, 1);
        };
        let is_mine = record.holder == self.me;
        let taken_from = seen.renewed_at + self.valid_ms() + MARGIN_MS + rank * RANK_MS;
        if is_mine || now >= taken_from {
            return self.write(now, LeaseExpect::Revision(*revision), record.renewals + 1);
        }
        LeaseStep::Idle
    }

    /// Takes in that the store is being asked.
    pub fn asked(&mut self, now: TimeMs, step: &LeaseStep) {
        match step {
            LeaseStep::Idle => {}
            LeaseStep::Read => self.read_at = Some(now),
            LeaseStep::Write { .. } => self.writing_since = Some(now),
        }
    }

    /// Takes in what a read found.
    pub fn read_found(&mut self, now: TimeMs, record: Option<(u64, LeaseRecord)>) {
        self.is_unsure = false;
        if self.seen.is_none() && self.held.is_none() {
            let renewals = record.as_ref().map_or(0, |(_, record)| record.renewals);
            self.was_new = renewals <= NEW_RENEWALS_MAX;
        }
        let is_own_life = |record: &LeaseRecord| {
            record.holder == self.me && record.incarnation == self.incarnation
        };
        match record {
            Some((revision, record)) if is_own_life(&record) => match &mut self.held {
                // A renewal took effect although its answer was lost.
                Some(held) => {
                    held.revision = revision;
                    held.renewals = record.renewals;
                }
                None => self.see(now, Some((revision, record))),
            },
            record => {
                self.held = None;
                self.see(now, record);
            }
        }
    }

    /// Takes in the lease as another host reports that it holds it.
    pub fn heard(&mut self, now: TimeMs, holder: &Name, revision: u64, renewed_age_ms: u64) {
        if self.held.as_ref().is_some_and(|held| held.revision > revision) {
            return;
        }
        let known = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        if known.is_some_and(|(known, _)| *known > revision) {
            return;
        }
        self.held = None;
        let record =
            LeaseRecord { holder: holder.clone(), incarnation: 0, renewals: 0, is_settled: true };
        self.see(now - renewed_age_ms, Some((revision, record)));
    }

    /// Takes in that a write took effect as `revision`.
    pub fn written(&mut self, now: TimeMs, revision: u64) {
        let began_at = self.writing_since.take().unwrap_or(now);
        if let Some(held) = &mut self.held {
            held.revision = revision;
            held.renewed_at = began_at;
            held.renewals += 1;
            return;
        }
        let renewals = self.seen_record().map_or(0, |record| record.renewals) + 1;
        self.quiet_from = self.quiet_from.max(self.quiet_after_seen());
        self.held = Some(Held { token: revision, revision, renewed_at: began_at, renewals });
    }

    /// Takes in that a write found another record, or that its outcome isn't known.
    ///
    /// The record may be this life's own, written by an attempt whose answer
    /// was lost, so it is read before the next write. What is held stays valid
    /// for its time: nobody takes over before that is up.
    pub fn not_written(&mut self) {
        self.writing_since = None;
        self.is_unsure = true;
    }

    /// Returns when the last order of another holder may still arrive.
    fn quiet_after_seen(&self) -> TimeMs {
        match &self.seen {
            Some(Seen { record: Some((_, record)), renewed_at }) => {
                if record.holder == self.me && record.is_settled {
                    return TimeMs::default();
                }
                *renewed_at + self.valid_ms() + self.lease_ms + MARGIN_MS
            }
            _ => TimeMs::default(),
        }
    }

    fn see(&mut self, renewed_at: TimeMs, record: Option<(u64, LeaseRecord)>) {
        // The same revision seen again wasn't renewed in between.
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

    fn seen_record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref()?.record.as_ref().map(|(_, record)| record)
    }

    fn read(&self, now: TimeMs) -> LeaseStep {
        let is_due = self.read_at.is_none_or(|at| now.since_ms(at) >= READ_PAUSE_MS);
        if is_due { LeaseStep::Read } else { LeaseStep::Idle }
    }

    fn write(&self, now: TimeMs, expect: LeaseExpect, renewals: u64) -> LeaseStep {
        // A first write can be settled only if nobody else can have given orders.
        let is_settled = match &self.held {
            Some(_) => now >= self.quiet_from,
            None => now >= self.quiet_from.max(self.quiet_after_seen()),
        };
        let record = LeaseRecord {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            renewals,
            is_settled,
        };
        LeaseStep::Write { expect, record }
    }

    fn valid_ms(&self) -> u64 {
        (self.lease_ms as f64 * VALID_PART) as u64
    }

    fn order_ms(&self) -> u64 {
        (self.lease_ms as f64 * ORDER_PART) as u64
    }
}
