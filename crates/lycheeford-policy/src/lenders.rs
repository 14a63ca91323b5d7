use crate::Name;
use crate::token_bucket::WHOLE_SHARE_PPM;

/// The most peers that are asked for one reservation at once.
pub const MAX_LENDERS_ASKED: usize = 3;

/// How often a holder weighs giving a part of its share away.
pub const REBALANCE_INTERVAL_MS: u64 = 10_000;

/// The least share that is worth a write to the platform's service.
pub const MIN_GIVE_PPM: u32 = 20_000;

/// What a peer last said that it could lend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSpare {
    /// The peer.
    pub host: Name,
    /// The tokens.
    pub spare_tokens: u64,
}

/// What the peers last said that they could lend, for every customer.
///
/// A report counts for customers that are declared only later, too: a daemon
/// that starts hears its peers before it knows whose requests it serves.
///
/// ```
/// use lycheeford_policy::{Lenders, PeerSpare};
///
/// let mut lenders = Lenders::default();
/// lenders.reported(&"a".into(), vec![("pilots".into(), 100)]);
/// lenders.reported(&"b".into(), vec![("pilots".into(), 450)]);
/// lenders.refused(&"b".into(), "pilots", 20);
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
    /// The tokens for each customer, sorted by customer; for others there are none.
    spare: Vec<(Name, u64)>,
}

impl Lenders {
    /// Takes in what `host` could lend for each customer; for others it has nothing.
    pub fn reported(&mut self, host: &Name, mut spare: Vec<(Name, u64)>) {
        spare.sort_unstable();
        match self.position(host) {
            Ok(index) => self.lenders[index].spare = spare,
            Err(index) => self.lenders.insert(index, Lender { host: host.clone(), spare }),
        }
    }

    /// Takes in what `host` had for one customer when it refused to lend more.
    pub fn refused(&mut self, host: &Name, customer: &str, spare_tokens: u64) {
        let Ok(index) = self.position(host) else { return };
        let lender = &mut self.lenders[index];
        match lender.position(customer) {
            Ok(index) => lender.spare[index].1 = spare_tokens,
            Err(index) => lender.spare.insert(index, (Name::from(customer), spare_tokens)),
        }
    }

    /// Forgets a host that doesn't answer, until it reports again.
    ///
    /// Its last report would put it before those that answer, and each question
    /// to it costs a request its whole wait.
    pub fn missed(&mut self, host: &Name) {
        if let Ok(index) = self.position(host) {
            self.lenders.remove(index);
        }
    }

    /// Forgets all hosts but those that are listed.
    pub fn list(&mut self, hosts: &[Name]) {
        let mut hosts = hosts.to_vec();
        hosts.sort_unstable();
        self.lenders.retain(|lender| hosts.binary_search(&lender.host).is_ok());
    }

    /// Returns each peer with what it could lend for `customer`, sorted by host.
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

/// Returns whom to ask for how much, so that `missing_tokens` come together.
///
/// Peers with the most known spare go first, so that few are asked. A peer
/// whose last word was "nothing" is asked as well when the others don't
/// suffice, since its bucket has refilled meanwhile.
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

/// What one holder served and lent since it last weighed its share.
#[derive(Debug, Clone, Default)]
pub struct ShareDemand {
    own_tokens: u64,
    /// Sorted by host.
    lent: Vec<PeerSpare>,
}

impl ShareDemand {
    /// Counts tokens that were reserved here for an own request.
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

    /// Returns to whom to give how much of `share_ppm`, and starts counting anew.
    ///
    /// Half of what the greatest borrower took moves to it, and never more
    /// than the part that this host's own requests left unused. Half, once in
    /// [`REBALANCE_INTERVAL_MS`], so that two holders don't toss a share to
    /// and fro.
    pub fn rebalance(&mut self, share_ppm: u32) -> Option<(Name, u32)> {
        let demand = std::mem::take(self);
        let total =
            demand.own_tokens + demand.lent.iter().map(|peer| peer.spare_tokens).sum::<u64>();
        let borrower = demand.lent.iter().max_by_key(|peer| peer.spare_tokens)?;
        let part_ppm = part_of(share_ppm, borrower.spare_tokens, total) / 2;
        let given_ppm = part_ppm.min(WHOLE_SHARE_PPM);
        (given_ppm >= MIN_GIVE_PPM).then(|| (borrower.host.clone(), given_ppm))
    }
}

fn part_of(share_ppm: u32, tokens: u64, total_tokens: u64) -> u32 {
    (u128::from(share_ppm) * u128::from(tokens) / u128::from(total_tokens.max(1))) as u32
}
