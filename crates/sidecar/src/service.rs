//! The inner protocol's calls, answered from the state.

use std::rc::Rc;
use std::time::Duration;

use base::ids::Ticket;
use tarpc::context::Context;
use wire::{Cancelled, Pull, Pulled, Reply, Reserve, Reserved, Sidecar, Stamp, Start, Started};

use crate::spread::Level;
use crate::state::{HOLD_LIMIT, State};

/// When an entry may ask again a sidecar that has no bundle, in milliseconds.
const NO_BUNDLE_MS: u32 = 1000;

/// Answers the calls of all connections.
#[derive(Clone)]
pub struct Service {
    state: Rc<State>,
}

impl Service {
    /// Makes a service over `state`.
    #[must_use]
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Sidecar for Service {
    async fn reserve(self, _: Context, stamp: Stamp, ask: Reserve) -> Reply<Reserved> {
        let level = self.state.spread.level(stamp.sequence, hold(ask.wait_ms));
        match level.await {
            Level::Decide => {}
            Level::Behind => return self.state.reply(Reserved::Waiting { estimate_us: 0 }),
            Level::Refuse(reason) => {
                return self.state.reply(Reserved::Refused {
                    reason,
                    retry_after_ms: NO_BUNDLE_MS,
                });
            }
        }

        let (entry, mut stands) = self.state.reserve(&ask);
        if let (Some(entry), Reserved::Waiting { .. }) = (entry, stands) {
            let changed = entry.changed.notified();
            let _ = tokio::time::timeout(hold(ask.wait_ms), changed).await;
            stands = self.state.stands(&entry, ask.prompt);
        }
        if let Reserved::Ready { cached, .. } = &mut stands {
            *cached = self
                .state
                .caches
                .borrow()
                .cached_tokens(ask.prefix)
                .min(ask.prompt);
        }
        self.state.reply(stands)
    }

    async fn start(self, _: Context, _stamp: Stamp, order: Start) -> Reply<Started> {
        let started = self.state.start(order);
        self.state.reply(started)
    }

    async fn pull(self, _: Context, _stamp: Stamp, ask: Pull) -> Reply<Pulled> {
        let Some(entry) = self.state.find(ask.ticket) else {
            return self.state.reply(Pulled::Unknown);
        };
        self.state.renew(&entry, ask.wait_ms);
        let mut pulled = self.state.pull(&entry, ask.from);
        if matches!(&pulled, Pulled::Pieces { pieces, end: None, .. } if pieces.is_empty()) {
            let changed = entry.changed.notified();
            let _ = tokio::time::timeout(hold(ask.wait_ms), changed).await;
            pulled = self.state.pull(&entry, ask.from);
        }
        self.state.reply(pulled)
    }

    async fn cancel(self, _: Context, _stamp: Stamp, ticket: Ticket) -> Reply<Cancelled> {
        let cancelled = self.state.cancel(ticket);
        self.state.reply(cancelled)
    }

    async fn fetch_bundle(self, _: Context, stamp: Stamp) -> Reply<Option<bytes::Bytes>> {
        let transfer = self.state.spread.held.transfer(stamp.sequence);
        self.state.reply(transfer)
    }

    async fn offer_bundle(self, _: Context, _: Stamp, transfer: bytes::Bytes) -> Reply<bool> {
        let taken = self.state.spread.take(transfer).await;
        self.state.reply(taken)
    }
}

fn hold(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(HOLD_LIMIT)
}
