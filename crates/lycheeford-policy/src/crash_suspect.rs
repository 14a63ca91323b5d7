use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// The number of targets that a request may crash before it is refused.
pub const MAX_TARGET_CRASHES: u32 = 2;

/// The number of fingerprints that are remembered; the oldest are removed first.
pub const MAX_CRASH_SUSPECTS: usize = 1_024;

/// How many of the most recently updated suspects are in each excerpt.
const EXCERPT_NEWEST_MAX: usize = 8;
/// How many other suspects are in each excerpt.
const EXCERPT_OTHERS_MAX: usize = 24;

/// Whether a request may run, by the crashes of targets that it caused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No target crashed while running the request.
    Clear,
    /// A target crashed while running the request: the request runs in isolation, one attempt at a
    /// time, without a retry or a hedge.
    RunAlone,
    /// Too many targets crashed while running the request: the request is refused.
    Refuse,
}

/// A request's fingerprint and the targets that crashed while running it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The fingerprint of customer, route and body.
    pub fingerprint: u64,
    /// The lives (process incarnations) of targets that crashed while running the request, sorted.
    pub crashes: Vec<Name>,
    /// Position of the last crash in the order of all crashes recorded by this daemon; a greater
    /// number is more recent.
    pub crash_number: u64,
}

impl CrashSuspect {
    fn is_refused(&self) -> bool {
        self.crashes.len() >= MAX_TARGET_CRASHES as usize
    }

    /// Returns a digest of the suspect; for a refused request, it doesn't depend on which targets
    /// crashed.
    fn digest(&self) -> u64 {
        let seed = self.fingerprint;
        if self.is_refused() {
            return xxh3_64_with_seed(&[], seed);
        }
        let hashes = self.crashes.iter().map(|life| xxh3_64_with_seed(life.as_bytes(), seed));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}

/// The requests that are known to have crashed their targets, by this daemon and its peers.
///
/// A crash is identified by the target and its life that crashed, so that a report that arrives
/// twice, or from two peers, counts once.
///
/// ```
/// use lycheeford_policy::{CrashSuspects, CrashVerdict};
///
/// let mut suspects = CrashSuspects::default();
/// suspects.record_crash(17, &"engine-1@4".into());
/// assert_eq!(suspects.verdict(17), CrashVerdict::RunAlone);
/// suspects.record_crash(17, &"engine-2@1".into());
/// assert_eq!(suspects.verdict(17), CrashVerdict::Refuse);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// Sorted by fingerprint.
    suspects: Vec<CrashSuspect>,
    /// The fingerprints of the suspects that run on this host, sorted.
    running: Vec<u64>,
    last_crash_number: u64,
}

impl CrashSuspects {
    /// Records that a life of a target crashed while running a request.
    pub fn record_crash(&mut self, fingerprint: u64, target_life: &Name) {
        let index = match self.position(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let suspect = CrashSuspect { fingerprint, crashes: Vec::new(), crash_number: 0 };
                self.suspects.insert(index, suspect);
                index
            }
        };
        let suspect = &mut self.suspects[index];
        let Err(place) = suspect.crashes.binary_search(target_life) else { return };
        if suspect.crashes.len() < MAX_TARGET_CRASHES as usize {
            self.last_crash_number += 1;
            suspect.crash_number = self.last_crash_number;
            suspect.crashes.insert(place, target_life.clone());
        }
        self.drop_oldest();
    }

    /// Merges the suspects that a peer reports.
    pub fn merge(&mut self, reports: &[CrashSuspect]) {
        for report in reports {
            for target_life in &report.crashes {
                self.record_crash(report.fingerprint, target_life);
            }
        }
    }

    /// Returns all suspects, sorted by fingerprint.
    pub fn reports(&self) -> &[CrashSuspect] {
        &self.suspects
    }

    /// Returns a digest of all suspects.
    ///
    /// Daemons that refuse the same requests and have the same crashes of all other suspects have
    /// the same digest, and need not exchange their suspects.
    pub fn digest(&self) -> u64 {
        self.suspects.iter().fold(0, |digest, suspect| digest ^ suspect.digest())
    }

    /// Returns a subset of the suspects that is small enough for a datagram.
    ///
    /// The most recently updated suspects are in every excerpt. The others rotate, so that a few
    /// consecutive values of `turn` cover all of them.
    pub fn excerpt(&self, turn: usize) -> Vec<&CrashSuspect> {
        let mut newest_first: Vec<&CrashSuspect> = self.suspects.iter().collect();
        newest_first.sort_unstable_by_key(|suspect| Reverse(suspect.crash_number));
        let others = newest_first.split_off(newest_first.len().min(EXCERPT_NEWEST_MAX));
        let turns = others.len().div_ceil(EXCERPT_OTHERS_MAX).max(1);
        newest_first
            .extend(others.chunks(EXCERPT_OTHERS_MAX).nth(turn % turns).unwrap_or_default());
        newest_first
    }

    /// Returns whether a request may run.
    pub fn verdict(&self, fingerprint: u64) -> CrashVerdict {
        let Ok(index) = self.position(fingerprint) else { return CrashVerdict::Clear };
        if self.suspects[index].is_refused() {
            CrashVerdict::Refuse
        } else {
            CrashVerdict::RunAlone
        }
    }

    /// Marks a suspect as running on this host; returns false if the same request already runs
    /// here.
    pub fn start_exclusive_run(&mut self, fingerprint: u64) -> bool {
        match self.running.binary_search(&fingerprint) {
            Ok(_) => false,
            Err(index) => {
                self.running.insert(index, fingerprint);
                true
            }
        }
    }

    /// Marks a suspect as no longer running on this host.
    pub fn end_exclusive_run(&mut self, fingerprint: u64) {
        if let Ok(index) = self.running.binary_search(&fingerprint) {
            self.running.remove(index);
        }
    }

    fn drop_oldest(&mut self) {
        if self.suspects.len() <= MAX_CRASH_SUSPECTS {
            return;
        }
        let oldest =
            self.suspects.iter().enumerate().min_by_key(|(_, suspect)| suspect.crash_number);
        if let Some((index, _)) = oldest {
            self.suspects.remove(index);
        }
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }
}
