use crate::{Name, TimeMs};

/// How often [`Health::tick`] is meant to be called.
pub const HEALTH_TICK_MS: u64 = 100;

/// A gap between ticks from which the own process counts as paused or starved.
pub const CLOCK_JUMP_MS: u64 = 500;

/// How long after the last good probe, with a later one failed, a peer is suspect.
pub const SUSPECT_AFTER_MS: u64 = 1_000;

/// How long after the last good probe, with later ones failed, a peer is down.
pub const DOWN_AFTER_MS: u64 = 2_500;

/// The failed probes in a row without which nobody is down.
pub const MIN_FAILED_PROBES: u32 = 3;

/// What is held of a target's or peer's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers.
    Up,
    /// It missed probes; new work goes elsewhere if it can.
    Suspect,
    /// It missed probes for long; it gets no new work.
    Down,
}

/// How a probe on a fresh connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It was answered.
    Answered,
    /// It was refused, reset or not answered in time.
    Failed,
}

/// A verdict that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerdictChange {
    /// The target or peer.
    pub host: Name,
    /// The new verdict.
    pub verdict: Verdict,
}

/// Verdicts on targets and peers from the results of probes.
///
/// A daemon that was paused sees only failures when it wakes: its probes timed
/// out while nobody read the answers. So a gap between ticks discards every
/// verdict in the making, and a probe that was sent before the gap counts only
/// if it was answered. A verdict saves time; no safety rests on it.
#[derive(Debug, Clone)]
pub struct Health {
    ticked_at: TimeMs,
    /// Sorted by host.
    records: Vec<Record>,
}

#[derive(Debug, Clone)]
struct Record {
    host: Name,
    verdict: Verdict,
    /// The last good probe, or when counting began anew.
    good_at: TimeMs,
    failed_probes: u32,
}

impl Health {
    /// Returns a state without any host.
    pub fn new(now: TimeMs) -> Health {
        Health { ticked_at: now, records: Vec::new() }
    }

    /// Takes over the hosts to watch; a new one starts as up.
    pub fn set_hosts(&mut self, now: TimeMs, hosts: &[Name]) {
        self.records.retain(|record| hosts.contains(&record.host));
        for host in hosts {
            if let Err(index) = self.position(host) {
                let record = Record {
                    host: host.clone(),
                    verdict: Verdict::Up,
                    good_at: now,
                    failed_probes: 0,
                };
                self.records.insert(index, record);
            }
        }
    }

    /// Takes in the result of a probe that was sent at `sent_at`.
    pub fn probed(
        &mut self,
        now: TimeMs,
        host: &Name,
        sent_at: TimeMs,
        result: ProbeResult,
    ) -> Option<VerdictChange> {
        self.notice_jump(now);
        let index = self.position(host).ok()?;
        let record = &mut self.records[index];
        match result {
            ProbeResult::Answered => {
                record.good_at = record.good_at.max(sent_at);
                record.failed_probes = 0;
                record.change(Verdict::Up)
            }
            ProbeResult::Failed if sent_at >= record.good_at => {
                record.failed_probes += 1;
                None
            }
            ProbeResult::Failed => None,
        }
    }

    /// Draws the verdicts that are due and returns the ones that changed.
    pub fn tick(&mut self, now: TimeMs) -> Vec<VerdictChange> {
        if self.notice_jump(now) {
            return Vec::new();
        }
        self.records.iter_mut().filter_map(|record| record.judge(now)).collect()
    }

    /// Returns the verdict on `host`; an unknown one is down.
    pub fn verdict(&self, host: &str) -> Verdict {
        self.position(host).map_or(Verdict::Down, |index| self.records[index].verdict)
    }

    /// Tells whether the process was paused before `now`, and starts counting anew if so.
    fn notice_jump(&mut self, now: TimeMs) -> bool {
        let jumped = now.since_ms(self.ticked_at) > CLOCK_JUMP_MS;
        self.ticked_at = self.ticked_at.max(now);
        if jumped {
            for record in &mut self.records {
                record.good_at = now;
                record.failed_probes = 0;
            }
        }
        jumped
    }

    fn position(&self, host: &str) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.host.as_str().cmp(host))
    }
}

impl Record {
    fn judge(&mut self, now: TimeMs) -> Option<VerdictChange> {
        let silent_ms = now.since_ms(self.good_at);
        if self.failed_probes >= MIN_FAILED_PROBES && silent_ms >= DOWN_AFTER_MS {
            return self.change(Verdict::Down);
        }
        if self.failed_probes > 0 && silent_ms >= SUSPECT_AFTER_MS && self.verdict == Verdict::Up {
            return self.change(Verdict::Suspect);
        }
        None
    }

    fn change(&mut self, verdict: Verdict) -> Option<VerdictChange> {
        if self.verdict == verdict {
            return None;
        }
        self.verdict = verdict;
        Some(VerdictChange { host: self.host.clone(), verdict })
    }
}
