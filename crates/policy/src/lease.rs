//! Leases on the right to give orders to a backend server, claimed by records
//! in the platform's log. See docs/DECISIONS/0403-orders-and-fencing.md.

use std::time::{Duration, Instant};

use base::ids::Offset;

/// A claim of a lease, as a record in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseClaim<'a> {
    /// The record's offset.
    pub offset: Offset,
    /// When the log appended it, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// The claiming holder.
    pub holder: &'a str,
    /// Duration of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// The claim that holds the lease after all of `claims`, in log order. A claim
/// takes effect when it renews its holder's own lease or comes after the
/// current one has expired. Only the log's clock counts, so every reader
/// reaches the same result.
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
    /// When it expires, by the log's clock, in milliseconds.
    #[must_use]
    pub fn expires_ms(&self) -> u64 {
        self.time_ms.saturating_add(self.ttl_ms)
    }
}

/// A lease as known to its holder, on the holder's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token sent with each order: the claim's offset.
    pub fencing_token: Offset,
    /// When it expires.
    expires_at: Instant,
    /// When it should be renewed.
    renew_at: Instant,
}

impl Lease {
    /// Makes a lease whose claim was sent at `sent`. The log stamps the claim
    /// later than that, so a lease counted from `sent` expires before anyone
    /// else may claim it, however long the reply took.
    #[must_use]
    pub fn new(fencing_token: Offset, sent: Instant, ttl: Duration) -> Self {
        // Margin for clock drift between the holder and the log.
        let safe_ttl = ttl - ttl / 10;
        Self {
            fencing_token,
            expires_at: sent + safe_ttl,
            renew_at: sent + ttl / 2,
        }
    }

    /// The fencing token for an order given at `now`; `None` once the lease
    /// has expired.
    ///
    /// A holder that was paused still believes that it holds the lease and
    /// could undo its successor's orders. It must call this after every wait
    /// and directly before every order.
    #[must_use]
    pub fn fencing_token(&self, now: Instant) -> Option<Offset> {
        (now < self.expires_at).then_some(self.fencing_token)
    }

    /// Whether the lease is due for renewal.
    #[must_use]
    pub fn needs_renewal(&self, now: Instant) -> bool {
        now >= self.renew_at
    }
}
