//! What entries tell each other about their own calls, one datagram at a time.
//!
//! A datagram replaces all that its sender said before, so that one that is
//! lost costs nothing but time.

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// First byte of each datagram; another one is not read.
const VERSION: u8 = 5;

/// Largest datagram, in bytes; it must fit one packet.
pub const LARGEST: usize = 1400;

/// One entry's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Saying {
    /// The life of the entry.
    pub life: u64,
    /// Grows with each datagram of that life.
    pub seq: u32,
    /// How often the entry speaks, in milliseconds.
    pub every_ms: u32,
    /// Its host's time of day, in milliseconds from the Unix epoch.
    pub wall_ms: u64,
    /// The availability zone that it stands in, by number.
    pub zone: u32,
    /// What its link carries, in million bits a second.
    pub link_mbps: u32,
    /// What it has for each service.
    pub services: Vec<Service>,
    /// Servers by short number, with the entry's open calls at each and those
    /// of them that wait for their first event.
    pub calls: Vec<(u16, u16, u16)>,
    /// Crashes of servers under calls that the store has not taken yet.
    pub crashes: Vec<Crash>,
}

/// A server that has crashed under a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The call's fingerprint.
    pub fingerprint: [u8; 16],
    /// The server's life, by number.
    pub life: u64,
    /// How long ago it was seen, in milliseconds.
    pub age_ms: u32,
}

/// One entry's calls for one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service, by number.
    pub number: u32,
    /// Prompt tokens a second of calls that read.
    pub reading: f32,
    /// Calls in progress that write.
    pub writing: f32,
    /// Seconds that an engine takes to read a token.
    pub pace: f32,
    /// The pause that streams meet beside reading, in seconds.
    pub pause: f32,
}

/// Why a datagram was not read or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is of another version.
    #[snafu(display("step=read_gossip: version {found:?}, expected {VERSION}"))]
    Version {
        /// The first byte, if there was one.
        found: Option<u8>,
    },
    /// Its bytes make no sense.
    #[snafu(display("step=read_gossip: {source}"))]
    Bytes {
        /// What is wrong with them.
        source: postcard::Error,
    },
}

/// Writes a datagram. What does not fit one packet is left out from the end,
/// so that the busiest servers should stand first.
#[must_use]
pub fn encode(mut saying: Saying) -> Vec<u8> {
    loop {
        let bytes = postcard::to_allocvec(&(VERSION, &saying)).unwrap_or_default();
        if bytes.len() <= LARGEST || saying.calls.is_empty() {
            return bytes;
        }
        let kept = saying.calls.len() * 3 / 4;
        saying.calls.truncate(kept);
    }
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns why it is not one of these.
pub fn decode(bytes: &[u8]) -> Result<Saying, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).context(BytesSnafu),
        first => VersionSnafu {
            found: first.map(|(v, _)| *v),
        }
        .fail(),
    }
}
