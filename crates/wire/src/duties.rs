//! What entries tell the candidates for a duty, and what its holder tells all
//! entries, one datagram at a time.
//!
//! Counts of one life only grow and a holder's words name their place in the
//! log, so that a datagram that is lost, late or repeated costs nothing but
//! time.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// First byte of each datagram; another one is not read.
const VERSION: u8 = 1;

/// Largest datagram, in bytes; it must fit one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What an entry has counted.
    Counts(UsageCounts),
    /// That the sender holds the duty.
    #[serde(rename = "Held")]
    Holder(HolderNotice),
}

/// What one life has counted in one window so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Who counted.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// All windows before this one are closed there.
    #[serde(rename = "closed")]
    pub closed_before: u64,
    /// The window that was counted.
    pub window: u64,
    /// All its counts together, also those in other datagrams.
    pub total: u64,
    /// Workspaces with their requests.
    pub counts: Vec<(String, u64)>,
}

/// The holder of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNotice {
    /// Its fencing token.
    #[serde(rename = "token")]
    pub fencing_token: u64,
    /// Where the duty's log ends after its last record.
    #[serde(rename = "end")]
    pub log_end: u64,
    /// The first window whose counts are still wanted.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Whether it has just given the duty up.
    pub released: bool,
}

/// Why a datagram was not read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is of another version.
    #[snafu(display("step=read_duties: version {found:?}, expected {VERSION}"))]
    Version {
        /// The first byte, if there was one.
        found: Option<u8>,
    },
    /// Its bytes make no sense.
    #[snafu(display("step=read_duties: {source}"))]
    Bytes {
        /// What is wrong with them.
        source: postcard::Error,
    },
}

/// Writes a message. Counts that do not fit one packet go into several.
#[must_use]
pub fn encode(message: &Message) -> Vec<Vec<u8>> {
    let bytes = postcard::to_allocvec(&(VERSION, message)).unwrap_or_default();
    match message {
        Message::Counts(all) if bytes.len() > MAX_DATAGRAM_BYTES && all.counts.len() > 1 => {
            let (first, second) = all.counts.split_at(all.counts.len() / 2);
            let half = |counts: &[(String, u64)]| {
                encode(&Message::Counts(UsageCounts {
                    counts: counts.to_vec(),
                    ..all.clone()
                }))
            };
            [half(first), half(second)].concat()
        }
        _ => vec![bytes],
    }
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns why it is not one of these.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).context(BytesSnafu),
        first => VersionSnafu {
            found: first.map(|(v, _)| *v),
        }
        .fail(),
    }
}
