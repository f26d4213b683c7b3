//! Implements the RPC interface between entries and the sidecar.

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

/// Retry delay, in milliseconds, for calls that are refused because the sidecar
/// has no bundle.
const NO_BUNDLE_RETRY_MS: u32 = 1000;

/// Serves the calls of all connections.
#[derive(Clone)]
pub struct Service {
    state: Rc<State>,
}

impl Service {
    /// Creates a service on `state`.
    #[must_use]
    pub fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Sidecar for Service {
    async fn reserve(
        self,
        _: Context,
        header: CallHeader,
        request: ReserveRequest,
    ) -> Reply<ReserveOutcome> {
        let sync = self
            .state
            .bundle_sync
            .sync_to(header.sequence, bounded_wait(request.wait_ms));
        match sync.await {
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

        let (tracked, mut status) = self.state.reserve(&request);
        if let (Some(tracked), ReserveOutcome::Waiting { .. }) = (tracked, status) {
            let changed = tracked.changed.notified();
            let _ = tokio::time::timeout(bounded_wait(request.wait_ms), changed).await;
            status = self
                .state
                .reservation_status(&tracked, request.prompt_tokens);
        }
        if let ReserveOutcome::Ready { cached_tokens, .. } = &mut status {
            *cached_tokens = self
                .state
                .prefix_cache
                .borrow()
                .cached_tokens(request.prefix_hash)
                .min(request.prompt_tokens);
        }
        self.state.reply(status)
    }

    async fn start(
        self,
        _: Context,
        _header: CallHeader,
        request: StartRequest,
    ) -> Reply<StartOutcome> {
        let outcome = self.state.start(request);
        self.state.reply(outcome)
    }

    async fn pull(
        self,
        _: Context,
        _header: CallHeader,
        request: PullRequest,
    ) -> Reply<PullOutcome> {
        let Some(tracked) = self.state.find(request.ticket) else {
            return self.state.reply(PullOutcome::Unknown);
        };
        self.state.renew_lease(&tracked, request.wait_ms);
        let mut outcome = self.state.pull(&tracked, request.from);
        if matches!(&outcome, PullOutcome::Chunks { chunks, end: None, .. } if chunks.is_empty()) {
            let changed = tracked.changed.notified();
            let _ = tokio::time::timeout(bounded_wait(request.wait_ms), changed).await;
            outcome = self.state.pull(&tracked, request.from);
        }
        self.state.reply(outcome)
    }

    async fn cancel(
        self,
        _: Context,
        _header: CallHeader,
        ticket: RequestId,
    ) -> Reply<CancelOutcome> {
        let outcome = self.state.cancel(ticket);
        self.state.reply(outcome)
    }

    async fn fetch_bundle(self, _: Context, header: CallHeader) -> Reply<Option<bytes::Bytes>> {
        let transfer = self
            .state
            .bundle_sync
            .active
            .transfer_since(header.sequence);
        self.state.reply(transfer)
    }

    async fn offer_bundle(self, _: Context, _: CallHeader, transfer: bytes::Bytes) -> Reply<bool> {
        let accepted = self.state.bundle_sync.accept_transfer(transfer).await;
        self.state.reply(accepted)
    }
}

fn bounded_wait(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(MAX_CALL_WAIT)
}
