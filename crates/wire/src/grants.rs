//! What an entry asks the sidecar beside an engine, and its answers, one
//! datagram each. A datagram that is lost is asked again; asked twice, a call
//! is answered the same way.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gossip::Error;

/// First byte of each datagram; another one is not read.
const VERSION: u8 = 3;

/// Largest datagram, in bytes; it must fit one packet.
pub const LARGEST: usize = 1400;

/// Most prompt parts that are told; a prompt has about three.
pub const PARTS: usize = 64;

/// What an entry says about one of its calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The life of the entry.
    pub life: u64,
    /// The call's number in that life.
    pub number: u32,
    /// What it says.
    pub what: What,
}

/// What an entry may say or ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// It wants to be sent.
    Want(Want),
    /// It asks nothing but how much of its prompt the engine holds.
    Look(Look),
    /// It was let in, and fetches what another engine holds of the first so
    /// many tokens of its prompt.
    Fetches(u32),
    /// It has its first event.
    Begun,
    /// The engine has refused it as meant for another life.
    Gone {
        /// The life that was meant.
        server: String,
        /// Unix millisecond at which that life began, if it says.
        born: Option<u64>,
    },
    /// It has ended, or will not be sent.
    Ended {
        /// The longest pause between two of its events, in milliseconds.
        pause_ms: u32,
    },
    /// Nothing about a call: the sender asks how busy the engine is.
    Busy,
}

/// A call that wants to be sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// The caller's identity of the call, for logs.
    pub name: String,
    /// The server that is meant.
    pub server: String,
    /// Unix millisecond at which its life began, if it says.
    pub born: Option<u64>,
    /// The prompt's parts with their tokens.
    pub parts: Vec<(u64, u32)>,
    /// How long the first event may take, in milliseconds.
    pub allowed_ms: u32,
    /// How long the caller waits, in milliseconds.
    pub left_ms: u32,
    /// The longest pause that the stream bears, in milliseconds, if its time
    /// goes into writing.
    pub gap_ms: Option<u32>,
    /// Calls that the engine runs at once.
    pub slots: u32,
    /// Its rank inside the engine; 0 is the most urgent.
    pub rank: u8,
    /// Whether the engine is the home of the prompt's shared parts.
    pub home: bool,
    /// Whether the call must be let in.
    pub must: bool,
    /// Tokens from the prompt's start that another engine is known to hold.
    pub source: u32,
    /// Nanoseconds for copying a token between engines, as declared.
    pub copy_ns: Option<u32>,
}

/// A question about a prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Look {
    /// The server that is meant.
    pub server: String,
    /// The prompt's parts with their tokens.
    pub parts: Vec<(u64, u32)>,
}

/// What a sidecar answers about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The call's number.
    pub number: u32,
    /// What is decided.
    pub verdict: Verdict,
    /// Tokens from the prompt's start that the engine holds.
    pub held: u32,
    /// Whether the engine should rather fetch a prompt than read it.
    pub fetch: bool,
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
    Gone,
    /// Nothing was to be decided.
    Told,
    /// Calls take so many thousandths of the engine's time, slots or memory.
    Busy(u32),
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
