//! The inner protocol's calls, answered from the state.

use std::rc::Rc;
use std::time::Duration;

use base::ids::RequestId;
use tarpc::context::Context;
use wire::{
    CallHeader, CancelOutcome, PullOutcome, PullRequest, Reply, ReserveOutcome, ReserveRequest,
    Sidecar, StartOutcome, StartRequest,
};

use crate::bundle_sync::SyncOutcome;
use crate::state::{MAX_CALL_WAIT, State};

/// When an entry may ask again a sidecar that has no bundle, in milliseconds.
const NO_BUNDLE_RETRY_MS: u32 = 1000;

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
    async fn reserve(
        self,
        _: Context,
        stamp: CallHeader,
        ask: ReserveRequest,
    ) -> Reply<ReserveOutcome> {
        let level = self
            .state
            .bundle_sync
            .sync_to(stamp.sequence, hold(ask.wait_ms));
        match level.await {
            SyncOutcome::Proceed => {}
            SyncOutcome::Behind => {
                return self.state.reply(ReserveOutcome::Waiting { estimate_us: 0 });
            }
            SyncOutcome::Refuse(reason) => {
                return self.state.reply(ReserveOutcome::Refused {
                    reason,
                    retry_after_ms: NO_BUNDLE_RETRY_MS,
                });
            }
        }

        let (entry, mut stands) = self.state.reserve(&ask);
        if let (Some(entry), ReserveOutcome::Waiting { .. }) = (entry, stands) {
            let changed = entry.changed.notified();
            let _ = tokio::time::timeout(hold(ask.wait_ms), changed).await;
            stands = self.state.reservation_status(&entry, ask.prompt_tokens);
        }
        if let ReserveOutcome::Ready { cached_tokens, .. } = &mut stands {
            *cached_tokens = self
                .state
                .prefix_cache
                .borrow()
                .cached_tokens(ask.prefix_hash)
                .min(ask.prompt_tokens);
        }
        self.state.reply(stands)
    }

    async fn start(
        self,
        _: Context,
        _stamp: CallHeader,
        order: StartRequest,
    ) -> Reply<StartOutcome> {
        let started = self.state.start(order);
        self.state.reply(started)
    }

    async fn pull(self, _: Context, _stamp: CallHeader, ask: PullRequest) -> Reply<PullOutcome> {
        let Some(entry) = self.state.find(ask.ticket) else {
            return self.state.reply(PullOutcome::Unknown);
        };
        self.state.renew_lease(&entry, ask.wait_ms);
        let mut pulled = self.state.pull(&entry, ask.from);
        if matches!(&pulled, PullOutcome::Chunks { chunks, end: None, .. } if chunks.is_empty()) {
            let changed = entry.changed.notified();
            let _ = tokio::time::timeout(hold(ask.wait_ms), changed).await;
            pulled = self.state.pull(&entry, ask.from);
        }
        self.state.reply(pulled)
    }

    async fn cancel(
        self,
        _: Context,
        _stamp: CallHeader,
        ticket: RequestId,
    ) -> Reply<CancelOutcome> {
        let cancelled = self.state.cancel(ticket);
        self.state.reply(cancelled)
    }

    async fn fetch_bundle(self, _: Context, stamp: CallHeader) -> Reply<Option<bytes::Bytes>> {
        let transfer = self.state.bundle_sync.active.transfer(stamp.sequence);
        self.state.reply(transfer)
    }

    async fn offer_bundle(self, _: Context, _: CallHeader, transfer: bytes::Bytes) -> Reply<bool> {
        let taken = self.state.bundle_sync.accept_transfer(transfer).await;
        self.state.reply(taken)
    }
}

fn hold(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(MAX_CALL_WAIT)
}
