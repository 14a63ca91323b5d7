use crate::Name;
use crate::token_bucket::WHOLE_SHARE_PPM;

/// The largest number of peers that are asked concurrently for one reservation.
pub const MAX_LENDERS_ASKED: usize = 3;

/// The interval at which a holder considers giving away a part of its share.
pub const REBALANCE_INTERVAL_MS: u64 = 10_000;

/// The smallest share for which a transfer is worth a write to the platform's service.
pub const MIN_TRANSFER_PPM: u32 = 20_000;

/// The number of tokens that a peer can lend by its last report, or is asked to lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSpare {
    /// The host of the peer.
    pub host: Name,
    /// The number of tokens.
    pub spare_tokens: u64,
}

/// The tokens that each peer can lend for each customer, by its last report.
///
/// A report also counts for customers that are configured only later: a daemon that starts receives
/// reports before it knows for which customers it serves requests.
///
/// ```
/// use lycheeford_policy::{Lenders, PeerSpare};
///
/// let mut lenders = Lenders::default();
/// lenders.record_spare(&"a".into(), vec![("pilots".into(), 100)]);
/// lenders.record_spare(&"b".into(), vec![("pilots".into(), 450)]);
/// lenders.record_refusal(&"b".into(), "pilots", 20);
/// let spare = |host: &str, spare_tokens| PeerSpare { host: host.into(), spare_tokens };
/// assert_eq!(lenders.of("pilots"), [spare("a", 100), spare("b", 20)]);
/// assert_eq!(lenders.of("crews"), [spare("a", 0), spare("b", 0)]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Lenders {
    /// Sorted by host.
    lenders: Vec<Lender>,
}

#[derive(Debug, Clone)]
struct Lender {
    host: Name,
    /// The spare tokens for each customer, sorted by customer; a customer that is not listed has
    /// none.
    spare: Vec<(Name, u64)>,
}

impl Lenders {
    /// Records the tokens that `host` can lend for each customer; a customer that is not listed has
    /// none.
    pub fn record_spare(&mut self, host: &Name, mut spare: Vec<(Name, u64)>) {
        spare.sort_unstable();
        match self.position(host) {
            Ok(index) => self.lenders[index].spare = spare,
            Err(index) => self.lenders.insert(index, Lender { host: host.clone(), spare }),
        }
    }

    /// Records the tokens that `host` still had for one customer when it refused to lend more.
    pub fn record_refusal(&mut self, host: &Name, customer: &str, spare_tokens: u64) {
        let Ok(index) = self.position(host) else { return };
        let lender = &mut self.lenders[index];
        match lender.position(customer) {
            Ok(index) => lender.spare[index].1 = spare_tokens,
            Err(index) => lender.spare.insert(index, (Name::from(customer), spare_tokens)),
        }
    }

    /// Removes a host that does not answer, until it reports again.
    ///
    /// By its last report it would be asked before the hosts that answer, and each loan request to
    /// it would use up the whole waiting time of a request.
    pub fn remove_unresponsive(&mut self, host: &Name) {
        if let Ok(index) = self.position(host) {
            self.lenders.remove(index);
        }
    }

    /// Removes all hosts that are not in `hosts`.
    pub fn retain_hosts(&mut self, hosts: &[Name]) {
        let mut hosts = hosts.to_vec();
        hosts.sort_unstable();
        self.lenders.retain(|lender| hosts.binary_search(&lender.host).is_ok());
    }

    /// Returns each peer with the tokens that it can lend for `customer`, sorted by host.
    pub fn of(&self, customer: &str) -> Vec<PeerSpare> {
        let peer = |lender: &Lender| PeerSpare {
            host: lender.host.clone(),
            spare_tokens: lender.position(customer).map_or(0, |index| lender.spare[index].1),
        };
        self.lenders.iter().map(peer).collect()
    }

    fn position(&self, host: &Name) -> Result<usize, usize> {
        self.lenders.binary_search_by(|lender| lender.host.cmp(host))
    }
}

impl Lender {
    fn position(&self, customer: &str) -> Result<usize, usize> {
        self.spare.binary_search_by(|(name, _)| name.as_str().cmp(customer))
    }
}

/// Returns which peers to ask for how many tokens, to borrow `missing_tokens` in total.
///
/// Peers with the most known spare tokens come first, so that few peers are asked. If they do not
/// suffice, a peer that last reported no spare tokens is asked as well, since its bucket may have
/// refilled since.
///
/// ```
/// use lycheeford_policy::{PeerSpare, choose_lenders};
///
/// let spare = |host: &str, spare_tokens| PeerSpare { host: host.into(), spare_tokens };
/// let asked = choose_lenders(500, &[spare("a", 100), spare("b", 450)]);
/// assert_eq!(asked, [spare("b", 450), spare("a", 50)]);
/// ```
pub fn choose_lenders(missing_tokens: u64, peers: &[PeerSpare]) -> Vec<PeerSpare> {
    let mut ranked: Vec<&PeerSpare> = peers.iter().collect();
    ranked.sort_by(|left, right| {
        right.spare_tokens.cmp(&left.spare_tokens).then_with(|| left.host.cmp(&right.host))
    });
    ranked.truncate(MAX_LENDERS_ASKED);
    let mut rest_tokens = missing_tokens;
    let mut asked = Vec::new();
    for (index, peer) in ranked.iter().enumerate() {
        let is_last = index + 1 == ranked.len();
        let part_tokens = if is_last { rest_tokens } else { rest_tokens.min(peer.spare_tokens) };
        if part_tokens > 0 {
            asked.push(PeerSpare { host: peer.host.clone(), spare_tokens: part_tokens });
            rest_tokens -= part_tokens;
        }
    }
    asked
}

/// The tokens that a holder used and lent since it last considered its share.
#[derive(Debug, Clone, Default)]
pub struct ShareDemand {
    own_tokens: u64,
    /// Sorted by host.
    lent: Vec<PeerSpare>,
}

impl ShareDemand {
    /// Counts tokens that were reserved for a request of this host.
    pub fn served(&mut self, tokens: u64) {
        self.own_tokens += tokens;
    }

    /// Counts tokens that were lent to `host`.
    pub fn lent(&mut self, host: &Name, tokens: u64) {
        match self.lent.binary_search_by(|peer| peer.host.cmp(host)) {
            Ok(index) => self.lent[index].spare_tokens += tokens,
            Err(index) => {
                self.lent.insert(index, PeerSpare { host: host.clone(), spare_tokens: tokens });
            }
        }
    }

    /// Returns which host should get how much of `share_ppm`, if any, and resets the counts.
    ///
    /// Half of the part that the largest borrower took is transferred to it, and never more than
    /// the part that the requests of this host left unused. Only half is transferred, once per
    /// [`REBALANCE_INTERVAL_MS`], so that two holders do not pass a share back and forth.
    pub fn rebalance(&mut self, share_ppm: u32) -> Option<(Name, u32)> {
        let demand = std::mem::take(self);
        let total =
            demand.own_tokens + demand.lent.iter().map(|peer| peer.spare_tokens).sum::<u64>();
        let borrower = demand.lent.iter().max_by_key(|peer| peer.spare_tokens)?;
        let part_ppm = proportional_ppm(share_ppm, borrower.spare_tokens, total) / 2;
        let given_ppm = part_ppm.min(WHOLE_SHARE_PPM);
        (given_ppm >= MIN_TRANSFER_PPM).then(|| (borrower.host.clone(), given_ppm))
    }
}

fn proportional_ppm(share_ppm: u32, tokens: u64, total_tokens: u64) -> u32 {
    (u128::from(share_ppm) * u128::from(tokens) / u128::from(total_tokens.max(1))) as u32
}
