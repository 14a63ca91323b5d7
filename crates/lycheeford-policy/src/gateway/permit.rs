use std::net::SocketAddr;

/// Rank of a request for a permit of a limited target; the lowest value is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PermitRank {
    /// No other target can serve the request now.
    Needed {
        /// Priority of the request; 0 is served first.
        priority: u8,
    },
    /// Another target can serve the request as well.
    Spare,
}

/// A request for a permit, sent by a host before it sends a request to a limited target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitAsk {
    /// Address to which the answer is sent.
    pub asker: SocketAddr,
    /// Number of the permit request, unique among those of the host.
    pub number: u64,
    /// Rank of the request that needs the permit.
    pub rank: PermitRank,
    /// How long the request may wait. A request with rank `Spare` does not wait.
    pub patience_ms: u64,
}

/// Answer to a permit request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitAnswer {
    /// The request may be sent now, once.
    Granted {
        /// The limit in force, in requests per second.
        per_s: f64,
    },
    /// The target is no longer limited.
    Unlimited,
    /// The request must not be sent.
    Denied {
        /// The limit in force, in requests per second.
        per_s: f64,
        /// How long to wait before asking again.
        wait_ms: u64,
    },
}
