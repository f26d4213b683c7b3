//! Who may give orders to a backend server, by claims in the platform's log.
//! See docs/DECISIONS/0403-orders-and-fencing.md.

use std::time::{Duration, Instant};

use base::ids::Offset;

/// One claim of a lease, as a record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseClaim<'a> {
    /// The record's place.
    pub offset: Offset,
    /// When it was appended, by the log's own clock, in milliseconds.
    pub time_ms: u64,
    /// Who claims.
    pub holder: &'a str,
    /// For how long, in milliseconds.
    pub ttl_ms: u64,
}

/// The claim in force after all of `claims`, in the log's order. A claim
/// counts when it renews its holder's own lease or comes after the one in
/// force has lapsed, by the log's clock alone: every reader decides the same.
#[must_use]
pub fn current_claim<'a>(
    claims: impl IntoIterator<Item = LeaseClaim<'a>>,
) -> Option<LeaseClaim<'a>> {
    claims.into_iter().fold(None, |held, claim| match held {
        Some(held) if held.holder != claim.holder && held.expires_ms() > claim.time_ms => {
            Some(held)
        }
        _ => Some(claim),
    })
}

impl LeaseClaim<'_> {
    /// When it lapses, by the log's own clock.
    #[must_use]
    pub fn expires_ms(&self) -> u64 {
        self.time_ms.saturating_add(self.ttl_ms)
    }
}

/// A lease as its holder believes in it, on its own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The number that goes with each order: the claim's offset.
    pub fencing_token: Offset,
    /// When it lapses.
    expires_at: Instant,
    /// When it should be renewed.
    renew_at: Instant,
}

impl Lease {
    /// A lease whose claim was sent at `sent`. The log stamped it later than
    /// that, so that counting from here lapses before anyone else may claim,
    /// however long the reply took.
    #[must_use]
    pub fn new(fence: Offset, sent: Instant, ttl: Duration) -> Self {
        // The two clocks may run apart by a little.
        let sure = ttl - ttl / 10;
        Self {
            fencing_token: fence,
            expires_at: sent + sure,
            renew_at: sent + ttl / 2,
        }
    }

    /// The number for an order given at `now`; none once the lease lapsed.
    ///
    /// A holder that was paused still believes in its lease and would order
    /// what its successor has undone. It must ask here after each wait and
    /// right before each order.
    #[must_use]
    pub fn fencing_token(&self, now: Instant) -> Option<Offset> {
        (now < self.expires_at).then_some(self.fencing_token)
    }

    /// Whether to renew it.
    #[must_use]
    pub fn needs_renewal(&self, now: Instant) -> bool {
        now >= self.renew_at
    }
}
