//! Spreading the bundle between this entry and the sidecars.
//!
//! Every call tells its sender's version, both ways. Whoever is behind gets
//! the newer one from the other, so a version that any daemon holds is in
//! force everywhere within seconds, also while the log is down. See
//! docs/DECISIONS/0301-bundle-acceptance.md.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use base::clock::Clock;
use base::ids::BundleSequence;
use base::reason::Refusal;
use bundle::{Bundle, Lookup};
use follow::{Follower, Held, Take};
use policy::placement::ServerIndex;
use spdlog::debug;
use wire::CallHeader;

use crate::error::RequestError;
use crate::state::{Server, State};

/// How long a new request waits for a version that is known to be there.
const CATCH_UP: Duration = Duration::from_millis(500);

/// Least time between two transfers with one sidecar, so that one that
/// refuses what it is sent costs little.
const PAUSE: Duration = Duration::from_millis(500);

/// How often a fresh entry asks the sidecars while the log is down.
const ASK: Duration = Duration::from_millis(250);

/// How many sidecars a fresh entry asks at a time.
const PEERS: usize = 5;

/// The bundle in force and how it is kept level with the sidecars'.
pub struct BundleSync {
    /// The bundle in force.
    pub held: Rc<Held>,
    /// Who may change it; none when the bundle came from a file.
    follower: Option<Addr<Follower>>,
    /// The latest version that any sidecar told of.
    latest_seen: Cell<BundleSequence>,
    /// When the last transfer with a sidecar began.
    last_transfers: RefCell<HashMap<ServerIndex, Instant>>,
}

impl BundleSync {
    /// Goes by one bundle for ever.
    #[must_use]
    pub fn fixed(bundle: Bundle) -> Self {
        Self::new(Held::fixed(bundle), None)
    }

    /// Follows the log.
    #[must_use]
    pub fn follow(settings: follow::Settings, clock: Rc<dyn Clock>) -> Self {
        let held = Held::new(settings.trust.clone());
        let follower = Follower::new(settings, Rc::clone(&held), clock);
        Self::new(held, Some(follower.start()))
    }

    fn new(held: Rc<Held>, follower: Option<Addr<Follower>>) -> Self {
        Self {
            held,
            follower,
            latest_seen: Cell::default(),
            last_transfers: RefCell::default(),
        }
    }

    /// Takes in the version that a sidecar told of, and starts a transfer in
    /// whichever direction one is behind.
    pub fn compare_sequence(&self, now: Instant, server: &Rc<Server>, told: BundleSequence) {
        let Some(follower) = &self.follower else {
            return;
        };
        let behind = self.held.behind(told);
        if !behind && told >= self.held.sequence() {
            return;
        }
        self.latest_seen.set(self.latest_seen.get().max(told));
        if !self.try_begin_transfer(now, server.index) {
            return;
        }

        let (held, server, follower) = (Rc::clone(&self.held), Rc::clone(server), follower.clone());
        actix_rt::spawn(async move {
            match behind {
                true => fetch(&held, &server, &follower).await,
                false => offer(&held, &server, told).await,
            }
        });
    }

    /// Whether a transfer with a sidecar may begin now.
    fn try_begin_transfer(&self, now: Instant, index: ServerIndex) -> bool {
        let mut last = self.last_transfers.borrow_mut();
        let free = last
            .get(&index)
            .is_none_or(|at| now.duration_since(*at) >= PAUSE);
        if free {
            last.insert(index, now);
        }
        free
    }

    /// The bundle that a new request goes by.
    ///
    /// Once a sidecar told of a later version, requests wait for it: decided
    /// by the old one, they could pass what the new one forbids. The wait is
    /// bounded, since the sidecar may be gone by now.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with when no bundle is in force.
    pub async fn current_bundle(&self) -> Result<Rc<Lookup>, RequestError> {
        let ahead = self.latest_seen.get();
        if self.held.behind(ahead) {
            let reached = tokio::time::timeout(CATCH_UP, self.held.reached(ahead)).await;
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

/// Asks sidecars for a bundle until one is in force: a fresh entry during an
/// outage of the log has nobody else to ask. The latest one that holds wins,
/// since an older one never replaces a later one.
pub async fn fetch_initial_bundle(state: Rc<State>) {
    let Some(follower) = state.bundle_sync.follower.clone() else {
        return;
    };
    let held = Rc::clone(&state.bundle_sync.held);
    while held.in_force().is_none() {
        tokio::time::sleep(ASK).await;
        if held.reachable() {
            continue;
        }
        let mut servers = state.servers();
        let start = rand::random_range(0..servers.len().max(1));
        servers.rotate_left(start);
        let asked = servers.iter().take(PEERS);
        let asked = asked.map(|server| fetch(&held, server, &follower));
        futures_util::future::join_all(asked).await;
    }
}

/// Gets a later version from a sidecar.
async fn fetch(held: &Held, server: &Server, follower: &Addr<Follower>) {
    let sequence = held.sequence();
    match server.peer.fetch_bundle(CallHeader { sequence }).await {
        Ok(reply) => {
            if let Some(bytes) = reply.body {
                // The follower counts and logs what it refuses.
                let _ = follower.send(Take(bytes)).await;
            }
        }
        Err(e) => debug!("fetch failed", kv: { error = e.to_string().as_str() }),
    }
}

/// Gives a sidecar at version `told` what it lacks.
async fn offer(held: &Held, server: &Server, told: BundleSequence) {
    let sequence = held.sequence();
    let Some(bytes) = held.transfer(told) else {
        return;
    };
    if let Err(e) = server
        .peer
        .offer_bundle(CallHeader { sequence }, bytes)
        .await
    {
        debug!("offer failed", kv: { error = e.to_string().as_str() });
    }
}
