use std::net::SocketAddr;

use super::hearing::Hearing;
use super::shared_bucket::LONG_CUT_MS;
use super::short_key::ShortKey;
use crate::{Name, TimeMs};

/// How long a host that was heard counts as alive at least.
pub const PEER_ALIVE_MS: u64 = 1_500;
/// The pause between two reports of a host, while there are few.
const REPORT_MS: u64 = 250;
/// The time between reports for each other host, so that many hosts don't cost
/// each of them more.
const REPORT_MS_PER_PEER: u64 = 14;
/// The pauses after which a host may have spent what wasn't heard.
const HEARD_PAUSES: f64 = 1.6;
/// The pauses after which a silent host isn't alive.
const ALIVE_PAUSES: u64 = 4;
/// How long a silent host still counts among those that may spend a rate.
pub const PEER_MAY_LIVE_MS: u64 = 12_000;

/// What one host tells another several times a second.
///
/// Each report replaces the one before, so that a lost one costs only time.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReport {
    /// The sender.
    pub host: Name,
    /// The life of the sender's process.
    pub incarnation: u64,
    /// The sender's clock when it sent the report.
    pub sent_at: TimeMs,
    /// The receiver's clock in the last report that the sender had of it.
    pub echo: Option<TimeMs>,
    /// Where the sender takes reports.
    pub peer_address: SocketAddr,
    /// Where the sender takes callers.
    pub caller_address: SocketAddr,
    /// The sender's failure domain.
    pub failure_domain: Name,
    /// Whether it takes callers.
    pub state: PeerState,
    /// The revision of the declaration that it serves by.
    pub revision: u64,
    /// How long ago it asked for the confirmation that this is the newest.
    pub confirmed_age_ms: Option<u64>,
    /// What it runs at each target.
    pub running: Vec<RunningAt>,
    /// What each customer spent through it since it started.
    pub spent: Vec<(ShortKey, f64)>,
    /// What is left for each customer as far as it knows.
    pub levels: Vec<(ShortKey, f64)>,
    /// What it has heard that each customer spent through the receiver.
    pub heard: Vec<(ShortKey, f64)>,
    /// How often each model or adapter was asked for since it started.
    pub asked: Vec<(ShortKey, u64)>,
    /// What its waiting requests need that no target holds.
    pub wanted: Vec<WantedName>,
    /// The requests that crashed targets, with the targets' lives.
    pub suspects: Vec<(u64, Vec<Name>)>,
    /// The lease on giving orders, if it holds it.
    pub lease: Option<ReportedLease>,
    /// Models and adapters that came or went, told by the holder of the lease.
    pub placements: Vec<ReportedPlacement>,
    /// How long requests for a model will still wait, told by the holder of the lease.
    pub waits: Vec<(ShortKey, u64)>,
    /// Up to which version of the placements the sender knows them, and of which token.
    pub placements_known: (u64, u64),
}

/// Whether a host takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It doesn't know enough yet.
    Starting,
    /// It does.
    Ready,
    /// It finishes what it has and goes.
    Draining,
}

/// What a host runs at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningAt {
    /// The target.
    pub target: ShortKey,
    /// The model.
    pub model: ShortKey,
    /// How many requests.
    pub running: u32,
    /// The tokens that they read and write at most.
    pub tokens: u64,
}

/// A model or adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedName {
    /// The service whose engines should hold it.
    pub service: Name,
    /// The model.
    pub model: Name,
    /// The adapter on it.
    pub adapter: Option<Name>,
    /// How many requests wait.
    pub waiting: u32,
    /// How long the first of them has waited.
    pub oldest_ms: u64,
    /// The best rank among them.
    pub priority: u8,
}

/// The lease on giving orders as its holder reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLease {
    /// The fencing token of its orders.
    pub token: u64,
    /// The store's revision of the lease.
    pub revision: u64,
    /// How long ago the last renewal began.
    pub renewed_age_ms: u64,
}

/// A model or adapter that came or went at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedPlacement {
    /// The target.
    pub target: ShortKey,
    /// The model, or the adapter with its model.
    pub name: ShortKey,
    /// Orders the changes of one holder.
    pub version: u64,
    /// Whether requests for it can run there.
    pub is_ready: bool,
}

/// Another host as its reports show it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The last report.
    pub report: PeerReport,
    /// When it came.
    pub heard_at: TimeMs,
}

/// The other hosts, by their reports.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Sorted by name.
    peers: Vec<Peer>,
}

/// What a report changed since the one before.
#[derive(Debug, Default, PartialEq)]
pub struct PeerNews {
    /// What each customer spent meanwhile.
    pub spent: Vec<(ShortKey, f64)>,
    /// How often each model or adapter was asked for meanwhile.
    pub asked: Vec<(ShortKey, u64)>,
    /// Whether the host wasn't alive before.
    pub is_new: bool,
}

impl PeerTable {
    /// Takes in a report; one that is older than the last is dropped.
    pub fn heard(&mut self, now: TimeMs, report: PeerReport) -> Option<PeerNews> {
        // A bucket counts a shorter cut as lost reports; both must draw the same line.
        let (alive_ms, silence_ms) = (self.alive_ms(), self.heard_ms() + LONG_CUT_MS);
        match self.position(&report.host) {
            Err(index) => {
                self.peers.insert(index, Peer { report, heard_at: now });
                Some(PeerNews { is_new: true, ..PeerNews::default() })
            }
            Ok(index) => {
                let peer = &mut self.peers[index];
                let known = (peer.report.incarnation, peer.report.sent_at);
                if (report.incarnation, report.sent_at) <= known {
                    return None;
                }
                let is_new = now.since_ms(peer.heard_at) >= alive_ms;
                let was_silent = now.since_ms(peer.heard_at) >= silence_ms;
                let news = if report.incarnation == known.0 && was_silent {
                    // What it spent meanwhile was its part, which this host left to it.
                    let asked = deltas(&peer.report.asked, &report.asked, u64::saturating_sub);
                    PeerNews { asked, is_new, ..PeerNews::default() }
                } else if report.incarnation == known.0 {
                    let spent = deltas(&peer.report.spent, &report.spent, |new, old| new - old);
                    let asked = deltas(&peer.report.asked, &report.asked, u64::saturating_sub);
                    PeerNews { spent, asked, is_new }
                } else {
                    PeerNews { is_new: true, ..PeerNews::default() }
                };
                *peer = Peer { report, heard_at: now };
                Some(news)
            }
        }
    }

    /// Returns the host called `name`.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.position(name).ok().map(|index| &self.peers[index])
    }

    /// Returns every host that was heard and not forgotten, sorted by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the hosts that were heard lately.
    pub fn alive(&self, now: TimeMs) -> impl Iterator<Item = &Peer> {
        let alive_ms = self.alive_ms();
        self.peers.iter().filter(move |peer| now.since_ms(peer.heard_at) < alive_ms)
    }

    /// Returns whether the host called `name` was heard lately.
    pub fn is_alive(&self, now: TimeMs, name: &str) -> bool {
        self.peer(name).is_some_and(|peer| now.since_ms(peer.heard_at) < self.alive_ms())
    }

    /// Returns the pause between two reports to the same host.
    pub fn report_ms(&self) -> u64 {
        REPORT_MS.max(REPORT_MS_PER_PEER * self.peers.len() as u64)
    }

    fn alive_ms(&self) -> u64 {
        PEER_ALIVE_MS.max(ALIVE_PAUSES * self.report_ms())
    }

    /// Returns how long a silence stands for no more than a late report.
    fn heard_ms(&self) -> u64 {
        (self.report_ms() as f64 * HEARD_PAUSES) as u64
    }

    /// Returns how well this host hears the spending of all that may live, itself included.
    ///
    /// `listed` is how many hosts the store lists that were never heard.
    pub fn hearing(&self, now: TimeMs, listed: usize) -> Hearing {
        let heard_within = |limit_ms: u64| {
            self.peers.iter().filter(|peer| now.since_ms(peer.heard_at) < limit_ms).count()
        };
        let (heard, hosts) =
            (1 + heard_within(self.heard_ms()), 1 + heard_within(PEER_MAY_LIVE_MS));
        Hearing {
            part: heard as f64 / hosts as f64,
            hosts: hosts.max(1 + listed),
            pause_ms: self.report_ms(),
        }
    }

    /// Forgets a host that is known to be gone.
    pub fn forget(&mut self, name: &str) {
        if let Ok(index) = self.position(name) {
            self.peers.remove(index);
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.report.host.as_str().cmp(name))
    }
}

/// Returns the entries of `new` that differ from `old`, less what they were.
fn deltas<T: Copy + Default + PartialEq>(
    old: &[(ShortKey, T)],
    new: &[(ShortKey, T)],
    less: impl Fn(T, T) -> T,
) -> Vec<(ShortKey, T)> {
    // What an older report doesn't name was nothing then.
    let known = |key: ShortKey| {
        old.iter().find(|(other, _)| *other == key).map(|(_, value)| *value).unwrap_or_default()
    };
    new.iter()
        .map(|&(key, value)| (key, less(value, known(key))))
        .filter(|(_, value)| *value != T::default())
        .collect()
}
