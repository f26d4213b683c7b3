//! The protocol in which an entry asks the sidecar of an engine to admit calls.
//!
//! Requests and responses are one UDP datagram each. A request without a
//! response is sent again, and a repeated request gets the same response.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gossip::Error;

/// First byte of each datagram. Datagrams of another version are rejected.
const VERSION: u8 = 4;

/// Maximum size of a datagram, in bytes, such that it fits one IP packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Maximum number of prompt parts in a request; a prompt has about three.
pub const MAX_PROMPT_PARTS: usize = 64;

/// A datagram from an entry about one of its calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Incarnation of the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the call, unique in that incarnation.
    #[serde(rename = "number")]
    pub call_number: u32,
    /// What is requested or reported.
    #[serde(rename = "what")]
    pub kind: RequestKind,
}

/// What an entry requests or reports about a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The call asks for admission.
    #[serde(rename = "Want")]
    Admission(AdmissionRequest),
    /// Asks only how much of the prompt the engine holds in its KV cache.
    #[serde(rename = "Look")]
    Lookup(PrefixLookup),
    /// The call was admitted and fetches the KV cache of this many tokens, from
    /// the start of its prompt, from another engine.
    #[serde(rename = "Fetches")]
    Fetching(u32),
    /// The call received its first event.
    #[serde(rename = "Begun")]
    FirstEvent,
    /// The engine refused the call because it names another incarnation.
    #[serde(rename = "Gone")]
    ServerGone {
        /// The incarnation that the call names.
        server: String,
        /// Start of that incarnation in Unix milliseconds, if known.
        #[serde(rename = "born")]
        started_ms: Option<u64>,
    },
    /// The call has ended or will not be sent.
    Ended {
        /// Longest pause between two events of the call, in milliseconds.
        pause_ms: u32,
        /// Typical time between two events of the call, in microseconds; 0 if
        /// it had fewer than two.
        event_us: u32,
    },
    /// Asks for the utilization of the engine; unrelated to a call.
    #[serde(rename = "Busy")]
    Utilization,
    /// The engine did not take the admitted call: it rejected it, or could not be
    /// reached.
    Rejected,
}

/// A request to admit a call to the engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The request id given by the caller, for logs.
    #[serde(rename = "name")]
    pub request_id: String,
    /// Id of the server incarnation that the call is for.
    pub server: String,
    /// Start of that incarnation in Unix milliseconds, if known.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// The parts of the prompt in order, each as its id and number of tokens.
    #[serde(rename = "parts")]
    pub prompt_parts: Vec<(u64, u32)>,
    /// Maximum time to the first event, in milliseconds.
    #[serde(rename = "allowed_ms")]
    pub first_event_ms: u32,
    /// Time after which the caller gives up, in milliseconds.
    #[serde(rename = "left_ms")]
    pub timeout_ms: u32,
    /// Longest acceptable pause in the stream, in milliseconds. Set when the
    /// call is dominated by decoding.
    #[serde(rename = "gap_ms")]
    pub max_gap_ms: Option<u32>,
    /// Number of calls that the engine runs concurrently.
    pub slots: u32,
    /// Priority of the call inside the engine; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Whether the engine is the preferred one (home) for the shared parts of
    /// the prompt.
    #[serde(rename = "home")]
    pub is_home: bool,
    /// Whether the call must be admitted, since its entry found no better engine.
    #[serde(rename = "must")]
    pub forced: bool,
    /// Number of tokens from the prompt's start that another engine is known to
    /// hold in its KV cache.
    #[serde(rename = "source")]
    pub remote_tokens: u32,
    /// Declared time to copy the KV cache of one token between engines, in
    /// nanoseconds.
    pub copy_ns: Option<u32>,
    /// Hash of the name of the call's workspace, if callers need keys.
    pub workspace: Option<u64>,
    /// Expected number of output tokens; 0 if unknown.
    pub output_tokens: u32,
}

/// A question how much of a prompt the engine holds in its KV cache.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrefixLookup {
    /// Id of the server incarnation that the question is for.
    pub server: String,
    /// The parts of the prompt in order, each as its id and number of tokens.
    #[serde(rename = "parts")]
    pub prompt_parts: Vec<(u64, u32)>,
}

/// The response of a sidecar to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Number of the call in the request.
    #[serde(rename = "number")]
    pub call_number: u32,
    /// The decision on the call.
    pub verdict: Verdict,
    /// Number of tokens from the prompt's start in the engine's KV cache.
    #[serde(rename = "held")]
    pub cached_tokens: u32,
    /// Whether fetching a prompt's KV cache from another engine is preferable to
    /// prefilling the prompt.
    #[serde(rename = "fetch")]
    pub prefer_fetch: bool,
    /// Typical time between two events of a stream at the engine, in
    /// microseconds; 0 if unknown.
    pub event_us: u32,
    /// KV cache tokens of the engine that no call holds or will need; 0 if
    /// unknown.
    pub free_tokens: u32,
}

/// The decision of a sidecar on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The call may be sent.
    Granted,
    /// The call is queued for admission; the value is the expected time to its
    /// first event, in milliseconds.
    Queued(u32),
    /// The call is not admitted; the value is the expected time to its first
    /// event, in milliseconds.
    Refused(u32),
    /// The incarnation of the engine that the call names has ended.
    #[serde(rename = "Gone")]
    ServerGone,
    /// The report was received; it needed no decision.
    #[serde(rename = "Told")]
    Acknowledged,
    /// Utilization of the engine's time, slots or memory, in thousandths.
    #[serde(rename = "Busy")]
    Utilization(u32),
    /// The engine is shutting down and accepts no new calls.
    Leaving,
    /// The engine takes no calls now; the value is the time until it is tried
    /// again, in milliseconds.
    Closed(u32),
}

/// Encodes a datagram.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, message)).unwrap_or_default()
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error when the version differs or the datagram is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|source| Error::Bytes { source })
        }
        first => Err(Error::Version {
            found: first.map(|(v, _)| *v),
        }),
    }
}
