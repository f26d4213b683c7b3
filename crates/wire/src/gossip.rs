//! What entries tell each other about their own calls, one datagram at a time.
//!
//! A datagram replaces all that its sender said before, so that one that is
//! lost costs nothing but time.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// First byte of each datagram; another one is not read.
const VERSION: u8 = 6;

/// Largest datagram, in bytes; it must fit one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// What one entry tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has in progress, or several entries have.
    #[serde(rename = "Saying")]
    Load(EntryLoad),
    /// What the sender knows of other entries.
    #[serde(rename = "Answer")]
    Membership(Membership),
}

/// Calls of one entry, or of several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// The life of the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows with each datagram of that life.
    pub seq: u32,
    /// How often the entry speaks, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u32,
    /// Its host's time of day, in milliseconds from the Unix epoch.
    pub wall_ms: u64,
    /// The availability zone that it stands in, by number.
    pub zone: u32,
    /// What its link carries, in million bits a second.
    pub link_mbps: u32,
    /// How long its copies of the store's tables have not been known to be
    /// complete, in milliseconds; none while it has none.
    #[serde(rename = "age_ms")]
    pub staleness_ms: Option<u32>,
    /// What it wants to be answered.
    #[serde(rename = "asks")]
    pub wanted_reply: WantedReply,
    /// Whose calls these are.
    pub scope: LoadScope,
    /// How many entries these are.
    pub entries: u32,
    /// What there is for each service.
    pub services: Vec<ServiceLoad>,
    /// Servers by short number, with the open calls at each and those of them
    /// that wait for their first event.
    pub calls: Vec<(u16, u16, u16)>,
    /// Crashes of servers under calls that the store has not taken yet.
    pub crashes: Vec<CrashReport>,
}

/// What an entry wants to be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WantedReply {
    /// Nothing.
    Nothing,
    /// Which entries there are.
    Entries,
    /// That, and what all of them have in progress.
    #[serde(rename = "Sums")]
    Totals,
}

/// Whose calls a saying tells of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadScope {
    /// The sender's.
    Own,
    /// Those of its availability zone.
    Zone,
    /// Those of all entries.
    All,
}

/// What an entry knows of others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// How many entries it knows of, with itself and the one that asks.
    #[serde(rename = "all")]
    pub entry_count: u32,
    /// Those of them in the zone of the one that asks.
    #[serde(rename = "near")]
    pub zone_count: u32,
    /// Those that stand before the one that asks, in the order by zone and
    /// address.
    #[serde(rename = "place")]
    pub position: u32,
    /// Some of them, or all.
    #[serde(rename = "seats")]
    pub members: Vec<Member>,
    /// What all of them have in progress.
    #[serde(rename = "sums")]
    pub totals: Option<EntryLoad>,
}

/// An entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it hears others.
    pub addr: SocketAddr,
    /// The availability zone that it stands in, by number.
    pub zone: u32,
    /// What its link carries, in million bits a second.
    pub link_mbps: u32,
    /// How much longer it counts as there, in milliseconds.
    #[serde(rename = "left_ms")]
    pub ttl_ms: u32,
    /// How long its copies of the store's tables have not been known to be
    /// complete, in milliseconds; none while it has none.
    #[serde(rename = "age_ms")]
    pub staleness_ms: Option<u32>,
}

/// A server that has crashed under a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The call's fingerprint.
    pub fingerprint: [u8; 16],
    /// The server's life, by number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long ago it was seen, in milliseconds.
    pub age_ms: u32,
}

/// Calls of one entry, or of several, for one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service, by number.
    #[serde(rename = "number")]
    pub service_number: u32,
    /// Prompt tokens a second of calls that read.
    #[serde(rename = "reading")]
    pub prefill_rate: f32,
    /// Calls in progress that write.
    #[serde(rename = "writing")]
    pub decoding_calls: f32,
    /// Seconds that an engine takes to read a token, on the mean of those who
    /// know.
    #[serde(rename = "pace")]
    pub prefill_pace: f32,
    /// How many entries know it.
    #[serde(rename = "paced")]
    pub pace_sources: u32,
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
/// so that the busiest servers and the entries that matter most should stand
/// first.
#[must_use]
pub fn encode(mut message: Message) -> Vec<u8> {
    loop {
        let bytes = postcard::to_allocvec(&(VERSION, &message)).unwrap_or_default();
        if bytes.len() <= MAX_DATAGRAM_BYTES || !shorten(&mut message) {
            return bytes;
        }
    }
}

/// Leaves something out; returns whether there was anything.
fn shorten(message: &mut Message) -> bool {
    let calls = match message {
        Message::Load(saying) => &mut saying.calls,
        Message::Membership(answer) => match &mut answer.totals {
            Some(sums) if !sums.calls.is_empty() => &mut sums.calls,
            _ => {
                let kept = answer.members.len() * 3 / 4;
                let some = !answer.members.is_empty();
                answer.members.truncate(kept);
                return some;
            }
        },
    };
    let some = !calls.is_empty();
    calls.truncate(calls.len() * 3 / 4);
    some
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
