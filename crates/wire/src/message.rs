//! What the calls of the inner protocol carry.

use base::ids::{BundleSequence, Incarnation, RequestId, Tier};
use base::reason::Refusal;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What every call tells about its sender.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CallHeader {
    /// The bundle that the sender goes by.
    pub sequence: BundleSequence,
}

/// What every answer tells about its sender, beside the answer itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Reply<T> {
    /// The bundle that the sender goes by.
    pub sequence: BundleSequence,
    /// The sender's life; a change means that its state is gone.
    pub incarnation: Incarnation,
    /// The sender's load, so that no message of its own has to carry it.
    pub load: ServerLoad,
    /// The answer.
    pub body: T,
}

/// How busy a backend server is, as its sidecar sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Recent time between two tokens of one answer, in microseconds.
    pub token_us: u32,
    /// Recent time from a start to the first token, in microseconds.
    #[serde(rename = "first_us")]
    pub ttft_us: u32,
    /// Estimated wait of a request that came now, in microseconds; 0 when a
    /// slot is free or nothing was observed yet.
    pub wait_us: u32,
    /// Whether the sidecar takes no new requests any more.
    pub draining: bool,
}

/// Asks for a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The request.
    pub ticket: RequestId,
    /// Its class, by name.
    pub class: String,
    /// Its workspace, by name, for the fair share.
    pub workspace: String,
    /// The workspace's weight in the fair share; 0 counts as 1.
    pub weight: u32,
    /// Its tier.
    pub tier: Tier,
    /// Time left until the first piece is due, in microseconds.
    pub first_left_us: u64,
    /// Time left until the whole answer is due, in microseconds.
    pub whole_left_us: u64,
    /// Size of the prompt, in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Hash of the prompt's prefix, for cache affinity.
    #[serde(rename = "prefix")]
    pub prefix_hash: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How often the request was preempted before; one that was is not
    /// preempted again.
    #[serde(rename = "preempted")]
    pub preemptions: u32,
    /// Longest time that the call may be held, in milliseconds.
    pub wait_ms: u32,
}

/// What became of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveOutcome {
    /// A slot is held for the ticket.
    Ready {
        /// How long the slot is held, in milliseconds.
        hold_ms: u32,
        /// Expected time from a start to the first piece, in microseconds;
        /// 0 when nothing was observed yet.
        #[serde(rename = "first_us")]
        ttft_us: u32,
        /// Expected time between two tokens, in microseconds; 0 when nothing
        /// was observed yet.
        token_us: u32,
        /// Tokens of the prompt that the backend server's cache is believed
        /// to hold.
        #[serde(rename = "cached")]
        cached_tokens: u32,
    },
    /// The ticket is queued.
    Waiting {
        /// Estimated time until a slot is free, in microseconds.
        estimate_us: u64,
    },
    /// The ticket is not queued and will not run here.
    Refused {
        /// Why.
        reason: Refusal,
        /// When asking here again may help, in milliseconds; 0 when it never
        /// will.
        retry_after_ms: u32,
    },
    /// The ticket already started here.
    AlreadyStarted,
}

/// Starts a ticket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartRequest {
    /// The request.
    pub ticket: RequestId,
    /// The life of the sidecar that held the slot.
    pub incarnation: Incarnation,
    /// What to run.
    pub work: BackendRequest,
}

/// What a backend server is asked to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum BackendRequest {
    /// A completion by a model engine: the caller's body as JSON bytes.
    Completion {
        /// The body, in the shape of chat completions or completions.
        body: Bytes,
        /// Whether the body has the shape of chat completions.
        chat: bool,
    },
    /// A call of a plain service.
    Call {
        /// The HTTP method.
        method: String,
        /// The path below the service, with its query.
        path: String,
        /// The content type, empty when there is none.
        content_type: String,
        /// The body.
        body: Bytes,
    },
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOutcome {
    /// The ticket runs; also the answer to a repeated start.
    Running,
    /// The slot is no longer held; the ticket did not run.
    #[serde(rename = "Lapsed")]
    ReservationExpired,
    /// The start was meant for an earlier life; the ticket did not run here
    /// in this life.
    #[serde(rename = "OtherIncarnation")]
    StaleIncarnation,
    /// The ticket was cancelled before; it did not run.
    Cancelled,
    /// The ticket did not run, for the given reason.
    Refused(Refusal),
}

/// Asks for pieces of an answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PullRequest {
    /// The request.
    pub ticket: RequestId,
    /// The number of the first piece wanted.
    pub from: u32,
    /// Longest time that the call may be held, in milliseconds.
    pub wait_ms: u32,
}

/// Pieces of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullOutcome {
    /// Consecutive pieces, possibly none yet.
    #[serde(rename = "Pieces")]
    Chunks {
        /// The number of the first piece.
        first: u32,
        /// The pieces.
        #[serde(rename = "pieces")]
        chunks: Vec<Chunk>,
        /// Set when the answer is complete or broken after these pieces.
        end: Option<ResponseEnd>,
    },
    /// The ticket is not known here in this life.
    Unknown,
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Tokens in the piece.
    pub tokens: u32,
    /// The text, or the bytes of a plain service's answer.
    pub data: Bytes,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseEnd {
    /// The answer is whole.
    #[serde(rename = "Whole")]
    Complete {
        /// How many pieces it has in all.
        #[serde(rename = "count")]
        chunk_count: u32,
        /// HTTP status of a plain service's answer; 200 for an engine's.
        status: u16,
        /// Why the answer ended, in the engine's word, or the content type
        /// of a plain service's answer.
        #[serde(rename = "finish")]
        finish_reason: String,
        /// Tokens of the prompt that the engine found in its cache.
        #[serde(rename = "cached")]
        cached_tokens: u32,
    },
    /// The answer broke off.
    #[serde(rename = "Broken")]
    Interrupted {
        /// Why.
        reason: Refusal,
        /// Whether the backend server may have run the request.
        ran: base::reason::Executed,
    },
}

/// What a cancel found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The ticket never started and never will in this life.
    NeverStarted,
    /// The ticket had started; it is being stopped.
    Started,
    /// The ticket had ended.
    Ended,
}
