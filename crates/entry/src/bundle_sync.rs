//! Exchanges the bundle between this entry and the sidecars.
//!
//! Every call and every reply carries the bundle sequence of its sender. The
//! side with the older bundle gets the newer one from the other, so a bundle
//! that any daemon holds is in force everywhere within seconds, even while the
//! log is unavailable. See
//! docs/DECISIONS/0301-bundle-acceptance.md.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use base::clock::Clock;
use base::ids::BundleSequence;
use base::reason::Refusal;
use bundle::{Bundle, IndexedBundle};
use follow::{ApplyTransfer, BundleState, Follower};
use policy::placement::ServerIndex;
use spdlog::debug;
use wire::CallHeader;

use crate::error::RequestError;
use crate::state::{Server, State};

/// How long a new request waits for a newer bundle that a sidecar has reported.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between two transfers with one sidecar, which bounds the cost of
/// a sidecar that keeps rejecting the bundle.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(500);

/// How often an entry without a bundle asks sidecars while the log is
/// unavailable.
const FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// Number of sidecars that an entry without a bundle asks at a time.
const FETCH_FAN_OUT: usize = 5;

/// The bundle in force and its synchronization with the sidecars.
pub struct BundleSync {
    /// The bundle in force.
    pub held: Rc<BundleState>,
    /// The follower that updates the bundle; `None` if it came from a file.
    follower: Option<Addr<Follower>>,
    /// The highest sequence that any sidecar has reported.
    latest_seen: Cell<BundleSequence>,
    /// Start time of the last transfer with each sidecar.
    last_transfers: RefCell<HashMap<ServerIndex, Instant>>,
}

impl BundleSync {
    /// Uses one bundle that never changes.
    #[must_use]
    pub fn fixed(bundle: Bundle) -> Self {
        Self::new(BundleState::fixed(bundle), None)
    }

    /// Follows the bundles in the platform's log.
    #[must_use]
    pub fn follow(settings: follow::Settings, clock: Rc<dyn Clock>) -> Self {
        let held = BundleState::new(settings.trust.clone());
        let follower = Follower::new(settings, Rc::clone(&held), clock);
        Self::new(held, Some(follower.start()))
    }

    fn new(held: Rc<BundleState>, follower: Option<Addr<Follower>>) -> Self {
        Self {
            held,
            follower,
            latest_seen: Cell::default(),
            last_transfers: RefCell::default(),
        }
    }

    /// Compares the sequence that a sidecar reported with the own one, and starts
    /// a transfer to the side that is behind.
    pub fn compare_sequence(&self, now: Instant, server: &Rc<Server>, reported: BundleSequence) {
        let Some(follower) = &self.follower else {
            return;
        };
        let behind = self.held.is_behind(reported);
        if !behind && reported >= self.held.sequence() {
            return;
        }
        self.latest_seen.set(self.latest_seen.get().max(reported));
        if !self.try_begin_transfer(now, server.index) {
            return;
        }

        let (held, server, follower) = (Rc::clone(&self.held), Rc::clone(server), follower.clone());
        actix_rt::spawn(async move {
            match behind {
                true => fetch(&held, &server, &follower).await,
                false => offer(&held, &server, reported).await,
            }
        });
    }

    /// Returns whether a transfer with a sidecar may begin now, and if so records
    /// its start.
    fn try_begin_transfer(&self, now: Instant, index: ServerIndex) -> bool {
        let mut last_transfers = self.last_transfers.borrow_mut();
        let allowed = last_transfers
            .get(&index)
            .is_none_or(|at| now.duration_since(*at) >= TRANSFER_INTERVAL);
        if allowed {
            last_transfers.insert(index, now);
        }
        allowed
    }

    /// The bundle that applies to a new request.
    ///
    /// Once a sidecar has reported a newer bundle, requests wait for it, because
    /// the old one could admit what the new one forbids. The wait is bounded,
    /// since the sidecar may have become unreachable.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller when no bundle is in force.
    pub async fn current_bundle(&self) -> Result<Rc<IndexedBundle>, RequestError> {
        let latest_seen = self.latest_seen.get();
        if self.held.is_behind(latest_seen) {
            let reached =
                tokio::time::timeout(CATCH_UP_TIMEOUT, self.held.wait_for_version(latest_seen))
                    .await;
            if reached.is_err() {
                self.latest_seen.set(BundleSequence(0));
            }
        }
        self.held.bundle().ok_or_else(|| {
            RequestError::not_run(Refusal::NoBundle, "no bundle has been accepted yet")
                .with_retry_after(Duration::from_secs(1))
        })
    }
}

/// Asks sidecars for a bundle until one is in force. An entry that starts during
/// an outage of the log has no other source. The newest valid bundle wins, since
/// an older one never replaces a newer one.
pub async fn fetch_initial_bundle(state: Rc<State>) {
    let Some(follower) = state.bundle_sync.follower.clone() else {
        return;
    };
    let held = Rc::clone(&state.bundle_sync.held);
    while held.active_version().is_none() {
        tokio::time::sleep(FETCH_INTERVAL).await;
        if held.log_reachable() {
            continue;
        }
        let mut servers = state.servers();
        let start = rand::random_range(0..servers.len().max(1));
        servers.rotate_left(start);
        let fetches = servers.iter().take(FETCH_FAN_OUT);
        let fetches = fetches.map(|server| fetch(&held, server, &follower));
        futures_util::future::join_all(fetches).await;
    }
}

/// Fetches a newer bundle from a sidecar.
async fn fetch(held: &BundleState, server: &Server, follower: &Addr<Follower>) {
    let sequence = held.sequence();
    match server.peer.fetch_bundle(CallHeader { sequence }).await {
        Ok(reply) => {
            if let Some(bytes) = reply.body {
                // The follower counts and logs a bundle that it rejects.
                let _ = follower.send(ApplyTransfer(bytes)).await;
            }
        }
        Err(e) => debug!("bundle fetch failed", kv: { error = e.to_string().as_str() }),
    }
}

/// Sends a sidecar at sequence `reported` the newer bundle.
async fn offer(held: &BundleState, server: &Server, reported: BundleSequence) {
    let sequence = held.sequence();
    let Some(bytes) = held.transfer_since(reported) else {
        return;
    };
    if let Err(e) = server
        .peer
        .offer_bundle(CallHeader { sequence }, bytes)
        .await
    {
        debug!("bundle offer failed", kv: { error = e.to_string().as_str() });
    }
}
