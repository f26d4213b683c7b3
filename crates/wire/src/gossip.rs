//! Gossip between entries about their calls in progress, over UDP.
//!
//! Each datagram replaces all earlier ones of its sender, so that a lost
//! datagram only delays the information.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// First byte of each datagram. Datagrams of another version are rejected.
const VERSION: u8 = 8;

/// Maximum size of a datagram, in bytes, such that it fits one IP packet.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Maximum number of records in one [`OriginMessage`], such that it fits one datagram.
pub const MAX_ORIGINS: usize = 48;

/// A datagram from one entry to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The load of the sender or of several entries.
    #[serde(rename = "Saying")]
    Load(EntryLoad),
    /// The entries that the sender knows.
    #[serde(rename = "Answer")]
    Membership(Membership),
    /// Which software versions began streams.
    Origins(OriginMessage),
}

/// A message about the software versions that began streams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Streams that the recipient is to remember; at most [`MAX_ORIGINS`].
    Records(Vec<StreamOrigin>),
    /// Requests the records that the sender lacks because it has started.
    Missing,
    /// Asks for the version that began a stream.
    Query {
        /// Number of the query, to match its reply.
        query: u32,
        /// Key of the stream.
        stream: u64,
        /// Number of the service.
        service_number: u32,
    },
    /// The reply to a query.
    Reply {
        /// Number of the query.
        query: u32,
        /// What the sender knows of the stream.
        origin: KnownOrigin,
    },
    /// Streams that the recipient is to write to the store; at most [`MAX_ORIGINS`].
    Unstored(Vec<StreamOrigin>),
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Number of the service.
    pub service_number: u32,
    /// Number of the software version of its server.
    pub version: u32,
}

/// A stream and where it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Key of the stream.
    pub stream: u64,
    /// Where it began.
    pub origin: Origin,
    /// Time for which the caller may take the stream up, in milliseconds.
    pub ttl_ms: u32,
}

/// What an entry knows of a stream's origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// Where it began.
    Began(Origin),
    /// Nothing; the service has or recently had several versions.
    SeveralVersions,
    /// Nothing.
    Unknown,
    /// Nothing; the sender has not read the recorded versions since it started.
    Unsettled,
}

/// The load of one entry, or the aggregate over several entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// Incarnation of the entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number; grows with each datagram of the incarnation.
    pub seq: u32,
    /// Interval between the datagrams of the entry, in milliseconds.
    #[serde(rename = "every_ms")]
    pub interval_ms: u32,
    /// Wall-clock time of the entry's host, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Number of its availability zone.
    pub zone: u32,
    /// Bandwidth of its network link, in Mbit/s.
    pub link_mbps: u32,
    /// Time since its replicas of the store's tables were last known to be up to
    /// date, in milliseconds; `None` while it has no replicas.
    #[serde(rename = "age_ms")]
    pub staleness_ms: Option<u32>,
    /// Which reply the sender requests.
    #[serde(rename = "asks")]
    pub wanted_reply: WantedReply,
    /// The entries that the load covers.
    pub scope: LoadScope,
    /// Number of entries that the load covers.
    pub entries: u32,
    /// Load of each service.
    pub services: Vec<ServiceLoad>,
    /// For each server: its short number, the open calls to it, and how many of
    /// these wait for their first event.
    pub calls: Vec<(u16, u16, u16)>,
    /// Server crashes that the store has not recorded yet.
    pub crashes: Vec<CrashReport>,
    /// Parts of prompts that are known to be sound and that the store has not recorded
    /// yet, each with the time since it was known to be, in milliseconds.
    pub sound_parts: Vec<(u64, u32)>,
    /// For each server with a known pace: its short number and the typical time
    /// between two events of a stream there, in tens of microseconds. The newest
    /// come first, at most 64.
    pub paces: Vec<(u16, u16)>,
    /// Rates of workspaces' calls to services that reject calls: for each
    /// service and tier, the heaviest 8 workspaces and the rest summed.
    pub workspaces: Vec<WorkspaceRate>,
}

/// A rate of calls to one service and of one tier.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRate {
    /// Number of the service.
    #[serde(rename = "number")]
    pub service_number: u32,
    /// Tier of the calls; 0 is the highest.
    pub tier: u8,
    /// The calls that are counted.
    pub of: RateOf,
    /// Calls per second.
    pub rate: f32,
}

/// Which calls a [`WorkspaceRate`] counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateOf {
    /// Those of the workspace with this short hash of its name.
    Workspace(u32),
    /// Those of this many other workspaces together.
    Others(u32),
    /// Those that were sent to servers.
    Sent,
    /// Those that all tried servers have rejected; present only while the service
    /// rejects calls.
    Rejected,
}

/// The reply that an entry requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WantedReply {
    /// No reply.
    Nothing,
    /// The known entries.
    Entries,
    /// The known entries and the aggregate of their loads.
    #[serde(rename = "Sums")]
    Totals,
}

/// The set of entries that a load covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadScope {
    /// The sender only.
    Own,
    /// The entries of the sender's availability zone.
    Zone,
    /// All entries.
    All,
}

/// The entries that the sender knows, in reply to one of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Number of known entries, including the sender and the recipient.
    #[serde(rename = "all")]
    pub entry_count: u32,
    /// Number of known entries in the recipient's zone.
    #[serde(rename = "near")]
    pub zone_count: u32,
    /// Position of the recipient among the known entries, ordered by zone and
    /// address; starts at 0.
    #[serde(rename = "place")]
    pub position: u32,
    /// All or some of the known entries.
    #[serde(rename = "seats")]
    pub members: Vec<Member>,
    /// The aggregate of the loads of all entries, if requested.
    #[serde(rename = "sums")]
    pub totals: Option<EntryLoad>,
}

/// A known entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address on which it receives gossip.
    pub addr: SocketAddr,
    /// Number of its availability zone.
    pub zone: u32,
    /// Bandwidth of its network link, in Mbit/s.
    pub link_mbps: u32,
    /// Time until it is considered gone if it sends nothing, in milliseconds.
    #[serde(rename = "left_ms")]
    pub ttl_ms: u32,
    /// Time since its replicas of the store's tables were last known to be up to
    /// date, in milliseconds; `None` while it has no replicas.
    #[serde(rename = "age_ms")]
    pub staleness_ms: Option<u32>,
}

/// A crash of a server while it ran a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the call.
    pub fingerprint: [u8; 16],
    /// Number of the server's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since the crash was detected, in milliseconds.
    pub age_ms: u32,
    /// Time from sending the call to the crash, in milliseconds.
    pub run_ms: u32,
    /// Whether the answer to the call had just begun.
    pub just_began: bool,
    /// The parts of the call's prompt that other calls may share.
    pub shared_parts: Vec<u64>,
}

/// The load of one service, of one entry or aggregated over several.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Number of the service.
    #[serde(rename = "number")]
    pub service_number: u32,
    /// Prompt tokens per second of calls dominated by prefill.
    #[serde(rename = "reading")]
    pub prefill_rate: f32,
    /// Number of calls in progress dominated by decoding.
    #[serde(rename = "writing")]
    pub decoding_calls: f32,
    /// Prefill time per token, in seconds, as the mean over the entries that
    /// have an estimate; 0 when none has.
    #[serde(rename = "pace")]
    pub prefill_pace: f32,
    /// Number of entries that have an estimate of the prefill time.
    #[serde(rename = "paced")]
    pub pace_sources: u32,
    /// Longest pause of streams while the engine prefills other prompts, in
    /// seconds; 0 when unknown.
    pub pause: f32,
}

/// Why a datagram could not be decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The datagram is of another version.
    #[snafu(display("step=read_gossip: version {found:?}, expected {VERSION}"))]
    Version {
        /// The version byte; `None` when the datagram is empty.
        found: Option<u8>,
    },
    /// The datagram is malformed.
    #[snafu(display("step=read_gossip: {source}"))]
    Bytes {
        /// The decoding error.
        source: postcard::Error,
    },
}

/// Encodes a datagram. If it does not fit one packet, servers and entries are
/// dropped from the end of their lists, so callers must put the busiest servers
/// and the most important entries first.
#[must_use]
pub fn encode(mut message: Message) -> Vec<u8> {
    loop {
        let bytes = postcard::to_allocvec(&(VERSION, &message)).unwrap_or_default();
        if bytes.len() <= MAX_DATAGRAM_BYTES || !shorten(&mut message) {
            return bytes;
        }
    }
}

/// Shortens the lists of a message, the least important first; returns whether
/// there was anything to drop.
fn shorten(message: &mut Message) -> bool {
    let load = match message {
        Message::Load(load) => load,
        Message::Membership(reply) => match &mut reply.totals {
            Some(totals) if has_lists(totals) => totals,
            _ => {
                let kept = reply.members.len() * 3 / 4;
                let dropped = !reply.members.is_empty();
                reply.members.truncate(kept);
                return dropped;
            }
        },
        Message::Origins(_) => return false,
    };
    let dropped = has_lists(load);
    let (calls, paces) = (load.calls.len(), load.paces.len());
    // The shorter of the two lists says more about each server in it.
    match (calls, paces) {
        (0, 0) if load.workspaces.is_empty() => {
            load.crashes.truncate(load.crashes.len() * 3 / 4);
        }
        (0, 0) => load.workspaces.clear(),
        _ if calls >= paces => load.calls.truncate(calls * 3 / 4),
        _ => load.paces.truncate(paces * 3 / 4),
    }
    dropped
}

/// Whether a load has a list that can be shortened.
fn has_lists(load: &EntryLoad) -> bool {
    let lists = [
        load.calls.is_empty(),
        load.paces.is_empty(),
        load.workspaces.is_empty(),
        load.crashes.is_empty(),
    ];
    !lists.iter().all(|empty| *empty)
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
