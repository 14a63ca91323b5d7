//! Compares what all hosts together could deliver with an ideal bucket.

use crate::fleet::{Daemon, Fleet, HOSTS, LIMITS, Message, host_index};

impl Fleet {
    /// Checks that all hosts together could deliver at once, now or later, no more than an ideal
    /// bucket would hold.
    pub fn check(&self) {
        for host in 0..HOSTS {
            let now = self.now(host);
            // On a clone, since the check refills the bucket.
            if let Some(mut daemon) = self.daemons[host].clone() {
                assert!(daemon.share.is_within_share(now), "host {host} holds more than its share");
            }
        }
        for after_ms in [0, 60_000] {
            let refilled = (self.now_ms + after_ms - self.ideal_at_ms) * LIMITS.rate_tokens_per_s;
            let ideal = (self.ideal_millitokens + refilled).min(LIMITS.burst_tokens * 1_000);
            let deliverable = self.deliverable_tokens(after_ms, self.daemons.clone());
            let settled = self.deliverable_tokens(after_ms, self.settled_daemons());
            let deliverable = deliverable.max(settled);
            assert!(
                deliverable * 1_000 <= ideal,
                "could deliver {deliverable} tokens after {after_ms} ms, more than rate x time + burst",
            );
        }
    }

    /// Returns the hosts as they would be after each asked the others for its overdue and inherited
    /// loans, while the loans in flight have not arrived.
    fn settled_daemons(&self) -> Vec<Option<Daemon>> {
        let mut daemons = self.daemons.clone();
        for host in 0..HOSTS {
            let now = self.now(host);
            let Some(mut daemon) = daemons[host].take() else { continue };
            for loan in daemon.share.overdue_loans(now, 0) {
                if let Some(borrower) = &mut daemons[host_index(&loan.id.borrower.host)] {
                    daemon.share.settle(now, &borrower.share.report_loan(&loan));
                }
            }
            for (asked, former) in daemon.share.inherited_queries() {
                let is_over = match &mut daemons[host_index(&asked)] {
                    Some(asked) => asked.share.disclaim_loans(&former),
                    None => asked == daemon.me.host && daemon.share.disclaim_loans(&former),
                };
                if is_over {
                    daemon.share.clear_inherited(now, &asked, &former);
                }
            }
            daemons[host] = Some(daemon);
        }
        daemons
    }

    /// Returns the tokens that could be delivered at once, `after_ms` from now, from all hosts and
    /// from loans in flight.
    fn deliverable_tokens(&self, after_ms: u64, mut daemons: Vec<Option<Daemon>>) -> u64 {
        for message in &self.network {
            if let Message::Grant { loan } = message
                && let Some(daemon) = &mut daemons[host_index(&loan.id.borrower.host)]
            {
                daemon.share.accept_loan(loan);
            }
        }
        let mut sum_tokens = 0;
        for (host, daemon) in daemons.iter_mut().enumerate() {
            let Some(daemon) = daemon else { continue };
            let now = self.now(host) + after_ms;
            let (rest, _) = daemon.share.reserve_available(now, u64::from(u32::MAX));
            for id in daemon.reservations.iter().chain([&rest]) {
                let left = daemon.share.consume(now, *id, u64::MAX).unwrap_err().left_tokens;
                daemon.share.consume(now, *id, left).unwrap();
                sum_tokens += left;
            }
        }
        sum_tokens
    }
}
