//! The bundle that the sidecar goes by, and handing it on.

use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use base::clock::Clock;
use base::ids::BundleSequence;
use base::reason::Refusal;
use bytes::Bytes;
use follow::{Follower, Held, Take};

/// How long a call waits for the version that its sender goes by.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// The bundle in force and who changes it.
pub struct BundleSync {
    /// The bundle in force.
    pub active: Rc<Held>,
    /// Who may change it; none without a log.
    follower: Option<Addr<Follower>>,
}

/// Whether the sidecar may decide on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// It knows what the sender knows, or waited in vain for it.
    Proceed,
    /// It is behind; its answer tells the sender so, who then hands the
    /// version over.
    Behind,
    /// It has nothing to decide by.
    Refuse(Refusal),
}

impl BundleSync {
    /// Follows the log, if the settings name one.
    #[must_use]
    pub fn new(settings: Option<&follow::Settings>, clock: Rc<dyn Clock>) -> Self {
        let trust = settings.map(|s| s.trust.clone()).unwrap_or_default();
        let active = Held::new(trust);
        let start =
            |s: &follow::Settings| Follower::new(s.clone(), Rc::clone(&active), clock).start();
        let follower = settings.map(start);
        Self { active, follower }
    }

    /// Whether there is a bundle to go by, or none is needed.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.follower.is_none() || self.active.in_force().is_some()
    }

    /// Levels with a sender that goes by version `told`, within `hold`.
    ///
    /// A sidecar that is behind must not decide by what it has: the answer to
    /// the first call, which may not be held, only tells the sender. The wait
    /// of the next one is bounded, because the sender may not be able to hand
    /// the version over.
    pub async fn sync_to(&self, told: BundleSequence, hold: Duration) -> SyncOutcome {
        if self.follower.is_none() {
            return SyncOutcome::Proceed;
        }
        if self.active.behind(told) {
            if hold.is_zero() {
                return SyncOutcome::Behind;
            }
            let wait = hold.min(CATCH_UP_TIMEOUT);
            let _ = tokio::time::timeout(wait, self.active.reached(told)).await;
        }
        match self.active.in_force() {
            Some(_) => SyncOutcome::Proceed,
            None => SyncOutcome::Refuse(Refusal::NoBundle),
        }
    }

    /// Takes over what an entry offers.
    pub async fn accept_transfer(&self, transfer: Bytes) -> bool {
        let Some(follower) = &self.follower else {
            return false;
        };
        matches!(follower.send(Take(transfer)).await, Ok(Ok(_)))
    }
}
