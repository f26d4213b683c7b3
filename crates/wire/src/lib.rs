//! The inner protocols: between an entry and a sidecar, and between entries.
//!
//! Four idempotent calls by ticket, entry as client and sidecar as server;
//! see docs/DECISIONS/0002-late-binding.md for why. The order of a request:
//! `reserve` until `Ready`, `start`, `pull` until the last piece; `cancel` at
//! any time.
//!
//! - [`message`]: what the calls carry.
//! - [`peer`]: a connection that finds out when it has gone silent.
//! - [`serve`]: answering the calls.
//! - [`duties`]: what entries tell those who hold a duty, and what these say.
//! - [`gossip`]: what entries tell each other about their own calls.
//! - [`tables`]: what an entry asks a neighbour that reads the store.

pub mod duties;
pub mod gossip;
pub mod grants;
pub mod message;
pub mod peer;
pub mod serve;
pub mod tables;

pub use message::*;
pub use peer::{Peer, Timeouts};

/// The calls that a sidecar answers. Each carries a [`Stamp`], so that
/// whoever is behind on the bundle finds out before it decides.
#[tarpc::service]
pub trait Sidecar {
    /// Asks for a slot for a ticket, without the prompt. A long poll, bounded
    /// by `wait_ms`; asking again with the same ticket goes on waiting.
    async fn reserve(stamp: CallHeader, ask: ReserveRequest) -> Reply<ReserveOutcome>;

    /// Starts a ticket that holds a slot in this incarnation.
    async fn start(stamp: CallHeader, order: StartRequest) -> Reply<StartOutcome>;

    /// Asks for the answer's pieces from a number on. A bounded long poll;
    /// asking from N acknowledges all pieces before N.
    async fn pull(stamp: CallHeader, ask: PullRequest) -> Reply<PullOutcome>;

    /// Ends a ticket, whatever its state, and tells whether it ever started.
    async fn cancel(stamp: CallHeader, ticket: base::ids::RequestId) -> Reply<CancelOutcome>;

    /// Fetches what leads from the bundle in the stamp to the newest one that
    /// the other side holds; the `follow` package reads it. `None` when there
    /// is nothing newer.
    async fn fetch_bundle(stamp: CallHeader) -> Reply<Option<bytes::Bytes>>;

    /// Hands over what leads to the bundle in the stamp, to a sidecar that
    /// told of an earlier one. Answers whether it was taken.
    async fn offer_bundle(stamp: CallHeader, transfer: bytes::Bytes) -> Reply<bool>;
}
