use crate::{Name, TimeMs};

/// The interval at which [`Health::tick`] has to be called.
pub const HEALTH_TICK_MS: u64 = 100;

/// The gap between ticks from which this process counts as having been paused or starved of CPU.
pub const CLOCK_JUMP_MS: u64 = 500;

/// How long after the last successful probe a peer becomes suspect, if a later probe failed.
pub const SUSPECT_AFTER_MS: u64 = 1_000;

/// How long after the last successful probe a peer counts as down, if [`MIN_FAILED_PROBES`] later
/// probes failed.
pub const DOWN_AFTER_MS: u64 = 2_500;

/// The least number of consecutive failed probes before a peer counts as down.
pub const MIN_FAILED_PROBES: u32 = 3;

/// The health of a target or peer, judged from probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers probes.
    Up,
    /// It missed probes; new work goes to other hosts if possible.
    Suspect,
    /// It missed probes for [`DOWN_AFTER_MS`]; it gets no new work.
    Down,
}

/// How a probe on a fresh connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The probe was answered.
    Answered,
    /// The probe was refused, reset or not answered in time.
    Failed,
}

/// A change of verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerdictChange {
    /// The target or peer that the verdict is about.
    pub host: Name,
    /// The verdict that holds from now on.
    pub verdict: Verdict,
}

/// Derives verdicts on targets and peers from the results of probes.
///
/// A daemon that was paused sees only failures when it resumes: its probes timed out while it did
/// not read the answers. So a gap between ticks discards all accumulated failures, and a probe that
/// was sent before the gap counts only if it was answered. Verdicts are an optimization; no safety
/// property depends on them.
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
    /// The time of the last successful probe, or of the last reset of the failure count.
    last_success_at: TimeMs,
    failed_probes: u32,
}

impl Health {
    /// Returns a state without any watched target or peer.
    pub fn new(now: TimeMs) -> Health {
        Health { ticked_at: now, records: Vec::new() }
    }

    /// Sets the targets and peers to watch; a new one starts as up.
    pub fn set_hosts(&mut self, now: TimeMs, hosts: &[Name]) {
        self.records.retain(|record| hosts.contains(&record.host));
        for host in hosts {
            if let Err(index) = self.position(host) {
                let record = Record {
                    host: host.clone(),
                    verdict: Verdict::Up,
                    last_success_at: now,
                    failed_probes: 0,
                };
                self.records.insert(index, record);
            }
        }
    }

    /// Records the result of a probe that was sent at `sent_at`.
    pub fn record_probe(
        &mut self,
        now: TimeMs,
        host: &Name,
        sent_at: TimeMs,
        result: ProbeResult,
    ) -> Option<VerdictChange> {
        self.reset_after_clock_jump(now);
        let index = self.position(host).ok()?;
        let record = &mut self.records[index];
        match result {
            ProbeResult::Answered => {
                record.last_success_at = record.last_success_at.max(sent_at);
                record.failed_probes = 0;
                record.change(Verdict::Up)
            }
            ProbeResult::Failed if sent_at >= record.last_success_at => {
                record.failed_probes += 1;
                None
            }
            ProbeResult::Failed => None,
        }
    }

    /// Updates the verdicts that are due and returns the changes.
    pub fn tick(&mut self, now: TimeMs) -> Vec<VerdictChange> {
        if self.reset_after_clock_jump(now) {
            return Vec::new();
        }
        self.records.iter_mut().filter_map(|record| record.update_verdict(now)).collect()
    }

    /// Returns the verdict on `host`; an unknown host counts as down.
    pub fn verdict(&self, host: &str) -> Verdict {
        self.position(host).map_or(Verdict::Down, |index| self.records[index].verdict)
    }

    /// Returns whether the process was paused before `now`, and resets the failure counts if so.
    fn reset_after_clock_jump(&mut self, now: TimeMs) -> bool {
        let jumped = now.since_ms(self.ticked_at) > CLOCK_JUMP_MS;
        self.ticked_at = self.ticked_at.max(now);
        if jumped {
            for record in &mut self.records {
                record.last_success_at = now;
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
    fn update_verdict(&mut self, now: TimeMs) -> Option<VerdictChange> {
        let since_success_ms = now.since_ms(self.last_success_at);
        if self.failed_probes >= MIN_FAILED_PROBES && since_success_ms >= DOWN_AFTER_MS {
            return self.change(Verdict::Down);
        }
        if self.failed_probes > 0
            && since_success_ms >= SUSPECT_AFTER_MS
            && self.verdict == Verdict::Up
        {
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
