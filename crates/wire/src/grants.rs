//! What an entry asks the sidecar beside an engine, and its answers, one
//! datagram each. A datagram that is lost is asked again; asked twice, a call
//! is answered the same way.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gossip::Error;

/// First byte of each datagram; another one is not read.
const VERSION: u8 = 3;

/// Largest datagram, in bytes; it must fit one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Most prompt parts that are told; a prompt has about three.
pub const MAX_PROMPT_PARTS: usize = 64;

/// What an entry says about one of its calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The life of the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The call's number in that life.
    #[serde(rename = "number")]
    pub call_number: u32,
    /// What it says.
    #[serde(rename = "what")]
    pub kind: RequestKind,
}

/// What an entry may say or ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RequestKind {
    /// It wants to be sent.
    #[serde(rename = "Want")]
    Admission(AdmissionRequest),
    /// It asks nothing but how much of its prompt the engine holds.
    #[serde(rename = "Look")]
    Lookup(PrefixLookup),
    /// It was let in, and fetches what another engine holds of the first so
    /// many tokens of its prompt.
    #[serde(rename = "Fetches")]
    Fetching(u32),
    /// It has its first event.
    #[serde(rename = "Begun")]
    FirstEvent,
    /// The engine has refused it as meant for another life.
    #[serde(rename = "Gone")]
    ServerGone {
        /// The life that was meant.
        server: String,
        /// Unix millisecond at which that life began, if it says.
        #[serde(rename = "born")]
        started_ms: Option<u64>,
    },
    /// It has ended, or will not be sent.
    Ended {
        /// The longest pause between two of its events, in milliseconds.
        pause_ms: u32,
    },
    /// Nothing about a call: the sender asks how busy the engine is.
    #[serde(rename = "Busy")]
    Utilization,
}

/// A call that wants to be sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The caller's identity of the call, for logs.
    #[serde(rename = "name")]
    pub request_id: String,
    /// The server that is meant.
    pub server: String,
    /// Unix millisecond at which its life began, if it says.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// The prompt's parts with their tokens.
    #[serde(rename = "parts")]
    pub prompt_parts: Vec<(u64, u32)>,
    /// How long the first event may take, in milliseconds.
    #[serde(rename = "allowed_ms")]
    pub first_event_ms: u32,
    /// How long the caller waits, in milliseconds.
    #[serde(rename = "left_ms")]
    pub timeout_ms: u32,
    /// The longest pause that the stream bears, in milliseconds, if its time
    /// goes into writing.
    #[serde(rename = "gap_ms")]
    pub max_gap_ms: Option<u32>,
    /// Calls that the engine runs at once.
    pub slots: u32,
    /// Its rank inside the engine; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Whether the engine is the home of the prompt's shared parts.
    #[serde(rename = "home")]
    pub is_home: bool,
    /// Whether the call must be let in.
    #[serde(rename = "must")]
    pub forced: bool,
    /// Tokens from the prompt's start that another engine is known to hold.
    #[serde(rename = "source")]
    pub remote_tokens: u32,
    /// Nanoseconds for copying a token between engines, as declared.
    pub copy_ns: Option<u32>,
}

/// A question about a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PrefixLookup {
    /// The server that is meant.
    pub server: String,
    /// The prompt's parts with their tokens.
    #[serde(rename = "parts")]
    pub prompt_parts: Vec<(u64, u32)>,
}

/// What a sidecar answers about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// The call's number.
    #[serde(rename = "number")]
    pub call_number: u32,
    /// What is decided.
    pub verdict: Verdict,
    /// Tokens from the prompt's start that the engine holds.
    #[serde(rename = "held")]
    pub cached_tokens: u32,
    /// Whether the engine should rather fetch a prompt than read it.
    #[serde(rename = "fetch")]
    pub prefer_fetch: bool,
}

/// What is decided about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may be sent.
    Granted,
    /// It will be let in; the first event is expected after so many
    /// milliseconds.
    Queued(u32),
    /// Its first event would take so many milliseconds.
    Refused(u32),
    /// The engine's life that is meant has ended.
    #[serde(rename = "Gone")]
    ServerGone,
    /// Nothing was to be decided.
    #[serde(rename = "Told")]
    Acknowledged,
    /// Calls take so many thousandths of the engine's time, slots or memory.
    #[serde(rename = "Busy")]
    Utilization(u32),
    /// The engine is about to end and takes no new calls.
    Leaving,
}

/// Writes a datagram.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(&(VERSION, message)).unwrap_or_default()
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns why it is not one of these.
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
