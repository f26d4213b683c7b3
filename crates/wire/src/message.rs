//! The types of the sidecar protocol.
//!
//! A field `ticket` holds the id of the request.

use base::ids::{BundleSequence, Incarnation, RequestId, Tier};
use base::reason::Refusal;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The state of the sender that every call carries.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CallHeader {
    /// Sequence number of the bundle that the sender has applied.
    pub sequence: BundleSequence,
}

/// A response together with the state of its sender.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply<T> {
    /// Sequence number of the bundle that the sender has applied.
    pub sequence: BundleSequence,
    /// Incarnation of the sender; a change means that its state is lost.
    pub incarnation: Incarnation,
    /// Load of the sender, included here to avoid a separate message.
    pub load: ServerLoad,
    /// The response.
    pub body: T,
}

/// Load of a backend server, as observed by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Recent time between two tokens of a response, in microseconds.
    pub token_us: u32,
    /// Recent time from start to first token, in microseconds.
    #[serde(rename = "first_us")]
    pub ttft_us: u32,
    /// Estimated queueing time of a request that arrives now, in microseconds;
    /// 0 when a slot is free or there are no observations yet.
    pub wait_us: u32,
    /// Whether the sidecar has stopped accepting new requests.
    pub draining: bool,
}

/// A request for a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Id of the request.
    pub ticket: RequestId,
    /// Name of the request's class.
    pub class: String,
    /// Name of the request's workspace, for fair sharing.
    pub workspace: String,
    /// Weight of the workspace in fair sharing; 0 counts as 1.
    pub weight: u32,
    /// Priority tier of the request.
    pub tier: Tier,
    /// Time left until the deadline of the first chunk, in microseconds.
    #[serde(rename = "first_left_us")]
    pub ttft_budget_us: u64,
    /// Time left until the deadline of the complete response, in microseconds.
    #[serde(rename = "whole_left_us")]
    pub total_budget_us: u64,
    /// Length of the prompt, in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Maximum length of the response, in tokens.
    pub max_tokens: u32,
    /// Hash of the prompt's prefix, for routing by cache affinity.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// How often the request was preempted so far. A request that was preempted
    /// once is not preempted again.
    #[serde(rename = "preempted")]
    pub preemptions: u32,
    /// Maximum time for which the long poll may block, in milliseconds.
    pub wait_ms: u32,
}

/// The outcome of a [`ReserveRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveOutcome {
    /// A slot is reserved for the request.
    Ready {
        /// How long the slot stays reserved, in milliseconds.
        #[serde(rename = "hold_ms")]
        lease_ms: u32,
        /// Expected time from start to first chunk, in microseconds; 0 when
        /// there are no observations yet.
        #[serde(rename = "first_us")]
        ttft_us: u32,
        /// Expected time between two tokens, in microseconds; 0 when there are
        /// no observations yet.
        token_us: u32,
        /// Estimated number of prompt tokens in the backend server's KV cache.
        #[serde(rename = "cached")]
        cached_tokens: u32,
    },
    /// The request is queued.
    Waiting {
        /// Estimated time until a slot becomes free, in microseconds.
        estimate_us: u64,
    },
    /// The request is not queued and will not run here.
    Refused {
        /// The reason of the refusal.
        reason: Refusal,
        /// Time after which a retry here may succeed, in milliseconds; 0 when
        /// it never will.
        retry_after_ms: u32,
    },
    /// The request has already started here.
    AlreadyStarted,
}

/// Starts a request that holds a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// Id of the request.
    pub ticket: RequestId,
    /// Incarnation of the sidecar that reserved the slot.
    pub incarnation: Incarnation,
    /// The request to the backend server.
    pub work: BackendRequest,
}

/// A request to a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum BackendRequest {
    /// A completion by a model engine.
    Completion {
        /// The caller's JSON body, for chat completions or completions.
        body: Bytes,
        /// Whether the body is for chat completions.
        chat: bool,
    },
    /// A call of a plain HTTP service.
    Call {
        /// The HTTP method.
        method: String,
        /// The path relative to the service, with the query string.
        path: String,
        /// The content type; empty when there is none.
        content_type: String,
        /// The request body.
        body: Bytes,
    },
}

/// The outcome of a [`StartRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The request is running. Also returned for a repeated start.
    Running,
    /// The reservation has expired; the request was not executed.
    #[serde(rename = "Lapsed")]
    ReservationExpired,
    /// The start names an earlier incarnation; the request was not executed in
    /// the current one.
    OtherIncarnation,
    /// The request was cancelled before; it was not executed.
    Cancelled,
    /// The request was not executed, for the given reason.
    Refused(Refusal),
}

/// A request for chunks of a response.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PullRequest {
    /// Id of the request.
    pub ticket: RequestId,
    /// Number of the first chunk to return.
    pub from: u32,
    /// Maximum time for which the long poll may block, in milliseconds.
    pub wait_ms: u32,
}

/// The outcome of a [`PullRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullOutcome {
    /// Consecutive chunks, possibly none yet.
    #[serde(rename = "Pieces")]
    Chunks {
        /// Number of the first chunk.
        first: u32,
        /// The chunks.
        #[serde(rename = "pieces")]
        chunks: Vec<Chunk>,
        /// Set when the response ends after these chunks.
        end: Option<ResponseEnd>,
    },
    /// This incarnation of the sidecar does not know the request.
    Unknown,
}

/// One chunk of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// The text, or the bytes of a plain service's response body.
    pub data: Bytes,
}

/// How a response ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseEnd {
    /// The response is complete.
    #[serde(rename = "Whole")]
    Complete {
        /// Total number of chunks.
        #[serde(rename = "count")]
        chunk_count: u32,
        /// HTTP status of a plain service's response; 200 for an engine's.
        status: u16,
        /// The finish reason given by the engine, or the content type of a
        /// plain service's response.
        #[serde(rename = "finish")]
        finish_reason: String,
        /// Number of prompt tokens that the engine found in its KV cache.
        #[serde(rename = "cached")]
        cached_tokens: u32,
    },
    /// The response was cut off.
    #[serde(rename = "Broken")]
    Interrupted {
        /// The cause.
        reason: Refusal,
        /// Whether the backend server may have executed the request.
        ran: base::reason::Executed,
    },
}

/// The state in which a cancellation found the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The request never started and will not start in this incarnation.
    NeverStarted,
    /// The request had started and is being stopped.
    Started,
    /// The request had already ended.
    Ended,
}
