//! Datagrams between entries and the holder of a duty, over UDP.
//!
//! A duty is a task that one entry at a time performs under a lease. Entries
//! send their usage counts to the candidates for the duty, and its holder
//! announces itself to all entries. The counts of one incarnation only grow,
//! and a holder's announcement carries its position in the log, so that a lost,
//! late or repeated datagram only delays the information.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// First byte of each datagram. Datagrams of another version are rejected.
const VERSION: u8 = 2;

/// Maximum size of a datagram, in bytes, such that it fits one IP packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Usage counts of an entry.
    Counts(UsageCounts),
    /// An announcement that the sender holds the duty.
    #[serde(rename = "Held")]
    Holder(HolderNotice),
}

/// The usage counts of one incarnation of an entry in one time window so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Incarnation of the entry that counted.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// All windows before this one are closed at the entry.
    #[serde(rename = "closed")]
    pub closed_before: u64,
    /// The sender knows that all windows before this one are finalized.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// The window of the counts.
    pub window: u64,
    /// Total of the window's counts, including those in other datagrams.
    pub total: u64,
    /// Names of workspaces with their numbers of requests.
    pub counts: Vec<(String, u64)>,
}

/// An announcement by the holder of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNotice {
    /// Fencing token of the holder's lease.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// End of the duty's log after the holder's last record.
    #[serde(rename = "end")]
    pub log_end: u64,
    /// The first window for which counts are still needed.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Whether the sender has just released the duty.
    pub released: bool,
}

/// Why a datagram could not be decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The datagram is of another version.
    #[snafu(display("step=read_duties: version {found:?}, expected {VERSION}"))]
    Version {
        /// The version byte; `None` when the datagram is empty.
        found: Option<u8>,
    },
    /// The datagram is malformed.
    #[snafu(display("step=read_duties: {source}"))]
    Bytes {
        /// The decoding error.
        source: postcard::Error,
    },
}

/// Encodes a message. Counts that do not fit one packet are split into several
/// datagrams.
#[must_use]
pub fn encode(message: &Message) -> Vec<Vec<u8>> {
    let bytes = postcard::to_allocvec(&(VERSION, message)).unwrap_or_default();
    match message {
        Message::Counts(usage) if bytes.len() > MAX_DATAGRAM_BYTES && usage.counts.len() > 1 => {
            let (first, second) = usage.counts.split_at(usage.counts.len() / 2);
            let half = |counts: &[(String, u64)]| {
                encode(&Message::Counts(UsageCounts {
                    counts: counts.to_vec(),
                    ..usage.clone()
                }))
            };
            [half(first), half(second)].concat()
        }
        _ => vec![bytes],
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error when the version differs or the datagram is malformed.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).context(BytesSnafu),
        first => VersionSnafu {
            found: first.map(|(v, _)| *v),
        }
        .fail(),
    }
}
