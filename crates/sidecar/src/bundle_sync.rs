//! Keeps the sidecar's bundle up to date and passes it on to entries.

use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use base::clock::Clock;
use base::ids::BundleSequence;
use base::reason::Refusal;
use bytes::Bytes;
use follow::{ApplyTransfer, BundleState, Follower};

/// Upper bound on how long a call waits for the bundle sequence of its sender.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// The bundle in force and its updates.
pub struct BundleSync {
    /// The bundle in force.
    pub active: Rc<BundleState>,
    /// The actor that updates the bundle; `None` without a log.
    follower: Option<Addr<Follower>>,
}

/// Whether the sidecar may process a call, given its sender's bundle sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// It may: its bundle is at least as new as the sender's, or it did not
    /// receive the newer one in time.
    Proceed,
    /// Its bundle is older. The sender sees that from the sequence in the reply
    /// and then offers its own bundle.
    Behind,
    /// It has no bundle at all.
    Refuse(Refusal),
}

impl BundleSync {
    /// Starts to follow the log, if there are settings for it.
    #[must_use]
    pub fn new(settings: Option<&follow::Settings>, clock: Rc<dyn Clock>) -> Self {
        let trust = settings.map(|s| s.trust.clone()).unwrap_or_default();
        let active = BundleState::new(trust);
        let start =
            |s: &follow::Settings| Follower::new(s.clone(), Rc::clone(&active), clock).start();
        let follower = settings.map(start);
        Self { active, follower }
    }

    /// Whether a bundle is in force, or none is required.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.follower.is_none() || self.active.active_version().is_some()
    }

    /// Waits for at most `max_wait` until the bundle has reached the sender's
    /// `sequence`.
    ///
    /// A sidecar must not process a call with an older bundle than the sender's.
    /// The first call may not wait; its reply only shows the sender that the
    /// sidecar is behind. The wait of the next call is bounded, because the
    /// sender may be unable to transfer its bundle.
    pub async fn sync_to(&self, sequence: BundleSequence, max_wait: Duration) -> SyncOutcome {
        if self.follower.is_none() {
            return SyncOutcome::Proceed;
        }
        if self.active.is_behind(sequence) {
            if max_wait.is_zero() {
                return SyncOutcome::Behind;
            }
            let wait = max_wait.min(CATCH_UP_TIMEOUT);
            let _ = tokio::time::timeout(wait, self.active.wait_for_version(sequence)).await;
        }
        match self.active.active_version() {
            Some(_) => SyncOutcome::Proceed,
            None => SyncOutcome::Refuse(Refusal::NoBundle),
        }
    }

    /// Applies a bundle transfer from an entry; returns whether it was accepted.
    pub async fn accept_transfer(&self, transfer: Bytes) -> bool {
        let Some(follower) = &self.follower else {
            return false;
        };
        matches!(follower.send(ApplyTransfer(transfer)).await, Ok(Ok(_)))
    }
}
