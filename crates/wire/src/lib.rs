//! The internal protocols: between an entry and a sidecar, and between entries.
//!
//! The sidecar protocol has four calls about a request, with the entry as the
//! client and the sidecar as the server. All are idempotent by request id; see
//! docs/DECISIONS/0002-late-binding.md for the reasons. A request takes these
//! steps: `reserve` until the outcome is `Ready`, `start`, and `pull` until the
//! last chunk; `cancel` is possible at any time.
//!
//! - [`message`]: the types of the sidecar protocol.
//! - [`peer`]: the client of a sidecar, which detects unresponsive connections.
//! - [`serve`]: serving the sidecar protocol.
//! - [`grants`]: datagrams that ask a sidecar to admit calls to its engine.
//! - [`duties`]: datagrams between entries and the holder of the duties.
//! - [`gossip`]: datagrams with which entries exchange their load and members.
//! - [`tables`]: fetching changes of the store's tables from a neighbour.

pub mod duties;
pub mod gossip;
pub mod grants;
pub mod message;
pub mod peer;
pub mod serve;
pub mod tables;

pub use message::*;
pub use peer::{Peer, Timeouts};

/// The calls that a sidecar serves. Each carries a [`CallHeader`], so that a
/// side with an outdated bundle detects that before it makes a decision.
#[tarpc::service]
pub trait Sidecar {
    /// Reserves a slot for a request, without its prompt. This is a long poll,
    /// bounded by `wait_ms`; a repeated call keeps the place in the queue.
    async fn reserve(header: CallHeader, request: ReserveRequest) -> Reply<ReserveOutcome>;

    /// Starts a request that holds a slot in this incarnation of the sidecar.
    async fn start(header: CallHeader, request: StartRequest) -> Reply<StartOutcome>;

    /// Fetches chunks of the response from a number on. This is a bounded long
    /// poll; a call with `from` = N acknowledges all chunks before N.
    async fn pull(header: CallHeader, request: PullRequest) -> Reply<PullOutcome>;

    /// Cancels a request in any state and returns whether it ever started.
    async fn cancel(header: CallHeader, id: base::ids::RequestId) -> Reply<CancelOutcome>;

    /// Fetches the records that lead from the bundle in the header to the
    /// newest one of the sidecar; the `follow` package decodes them. `None`
    /// when the sidecar has no newer bundle.
    async fn fetch_bundle(header: CallHeader) -> Reply<Option<bytes::Bytes>>;

    /// Sends the records that lead to the bundle in the header, to a sidecar
    /// that reported an earlier one. Returns whether it accepted them.
    async fn offer_bundle(header: CallHeader, transfer: bytes::Bytes) -> Reply<bool>;
}
