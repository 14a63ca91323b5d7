use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// The targets that one request may crash before it is refused.
pub const MAX_TARGET_CRASHES: u32 = 2;

/// The fingerprints that are remembered; the oldest go first.
pub const MAX_CRASH_SUSPECTS: usize = 1_024;

/// The suspects of an excerpt that were noted last.
const NEWEST_TOLD: usize = 8;
/// The other suspects of an excerpt.
const OTHERS_TOLD: usize = 24;

/// Whether a request may run, by what it did to targets before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target died under it.
    Clear,
    /// A target died under it: it runs alone, one attempt at a time, without a retry or a hedge.
    RunAlone,
    /// Too many targets died under it: it is refused.
    Refuse,
}

/// A request's fingerprint and the targets that died under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The fingerprint of customer, route and body.
    pub fingerprint: u64,
    /// The lives of targets that died while it ran, sorted.
    pub crashes: Vec<Name>,
    /// Orders the suspects by their last crash, counted by the daemon that remembers them.
    pub noted: u64,
}

impl CrashSuspect {
    fn is_refused(&self) -> bool {
        self.crashes.len() >= MAX_TARGET_CRASHES as usize
    }

    /// Which targets died doesn't count any more for a request that is refused.
    fn digest(&self) -> u64 {
        let seed = self.fingerprint;
        if self.is_refused() {
            return xxh3_64_with_seed(&[], seed);
        }
        let hashes = self.crashes.iter().map(|life| xxh3_64_with_seed(life.as_bytes(), seed));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}

/// What a daemon and its peers know of requests that crash their targets.
///
/// A crash is named after the target and the life that it ended, so that a
/// report that arrives twice, or from two peers, counts once.
///
/// ```
/// use lycheeford_policy::{CrashSuspects, CrashVerdict};
///
/// let mut suspects = CrashSuspects::default();
/// suspects.crashed(17, &"engine-1@4".into());
/// assert_eq!(suspects.verdict(17), CrashVerdict::RunAlone);
/// suspects.crashed(17, &"engine-2@1".into());
/// assert_eq!(suspects.verdict(17), CrashVerdict::Refuse);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// Sorted by fingerprint.
    suspects: Vec<CrashSuspect>,
    /// The suspects that run here, sorted.
    running: Vec<u64>,
    last_noted: u64,
}

impl CrashSuspects {
    /// Counts the death of a target's life under a request.
    pub fn crashed(&mut self, fingerprint: u64, target_life: &Name) {
        let index = match self.position(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let suspect = CrashSuspect { fingerprint, crashes: Vec::new(), noted: 0 };
                self.suspects.insert(index, suspect);
                index
            }
        };
        let suspect = &mut self.suspects[index];
        let Err(place) = suspect.crashes.binary_search(target_life) else { return };
        if suspect.crashes.len() < MAX_TARGET_CRASHES as usize {
            self.last_noted += 1;
            suspect.noted = self.last_noted;
            suspect.crashes.insert(place, target_life.clone());
        }
        self.drop_oldest();
    }

    /// Takes in what a peer knows.
    pub fn merge(&mut self, reports: &[CrashSuspect]) {
        for report in reports {
            for target_life in &report.crashes {
                self.crashed(report.fingerprint, target_life);
            }
        }
    }

    /// Returns what peers should know, sorted by fingerprint.
    pub fn reports(&self) -> &[CrashSuspect] {
        &self.suspects
    }

    /// Returns a digest of what is known.
    ///
    /// Sets that refuse the same requests and know the same crashes of the
    /// others have the same digest, and needn't tell each other anything.
    pub fn digest(&self) -> u64 {
        self.suspects.iter().fold(0, |digest, suspect| digest ^ suspect.digest())
    }

    /// Returns a part of what peers should know, small enough for a datagram.
    ///
    /// The suspects that were noted last are in each part. The others take
    /// turns, so that all of them are told after a few of consecutive `turn`s.
    pub fn excerpt(&self, turn: usize) -> Vec<&CrashSuspect> {
        let mut by_age: Vec<&CrashSuspect> = self.suspects.iter().collect();
        by_age.sort_unstable_by_key(|suspect| Reverse(suspect.noted));
        let others = by_age.split_off(by_age.len().min(NEWEST_TOLD));
        let turns = others.len().div_ceil(OTHERS_TOLD).max(1);
        by_age.extend(others.chunks(OTHERS_TOLD).nth(turn % turns).unwrap_or_default());
        by_age
    }

    /// Says whether a request may run.
    pub fn verdict(&self, fingerprint: u64) -> CrashVerdict {
        let Ok(index) = self.position(fingerprint) else { return CrashVerdict::Clear };
        if self.suspects[index].is_refused() {
            CrashVerdict::Refuse
        } else {
            CrashVerdict::RunAlone
        }
    }

    /// Starts a suspect, unless the same request runs here already.
    pub fn start_alone(&mut self, fingerprint: u64) -> bool {
        match self.running.binary_search(&fingerprint) {
            Ok(_) => false,
            Err(index) => {
                self.running.insert(index, fingerprint);
                true
            }
        }
    }

    /// Ends a suspect's run.
    pub fn end_alone(&mut self, fingerprint: u64) {
        if let Ok(index) = self.running.binary_search(&fingerprint) {
            self.running.remove(index);
        }
    }

    fn drop_oldest(&mut self) {
        if self.suspects.len() <= MAX_CRASH_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().enumerate().min_by_key(|(_, suspect)| suspect.noted);
        if let Some((index, _)) = oldest {
            self.suspects.remove(index);
        }
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }
}
