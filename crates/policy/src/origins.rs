//! Which software version began a stream that a caller takes up at another entry.
//!
//! What two versions write does not fit together, and servers do not check it. The entry at
//! which a stream begins therefore tells the version to a few other entries, its homes,
//! which rendezvous hashing selects by the stream's request ID. Any entry can ask them. It
//! does so only while the service runs several versions; otherwise the answer is clear. See
//! docs/design/stream-versions.md.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::rendezvous::{hash_name, score};
use crate::versions::RECENT;

/// Entries that are told of a stream, besides the one that began it.
const HOMES: usize = 3;

/// Entries that are asked. One more than homes, since entries may know different ones.
const ASKED: usize = HOMES + 1;

/// Records that an entry keeps at most. It drops those that expire first.
const MAX_RECORDS: usize = 65_536;

/// The key of a stream, computed from the request ID of the attempt that began it.
#[must_use]
pub fn stream_key(request_id: &str) -> u64 {
    hash_name(request_id)
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Number of the service.
    pub service: u32,
    /// Number of the software version of its server.
    pub version: u32,
}

/// A stream and where it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub stream: u64,
    /// Where it began.
    pub origin: Origin,
    /// Time for which its caller may still take it up.
    pub ttl: Duration,
}

/// What an asked entry knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginAnswer {
    /// Where it began.
    Began(Origin),
    /// Nothing, and it has recently seen several versions of the service.
    SeveralVersions,
    /// Nothing.
    Unknown,
    /// Nothing, and it has not read the recorded versions since it started.
    Unsettled,
}

/// The versions of a service as an entry itself knows them, from the server table and from
/// the store's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownVersions {
    /// No server of it is known.
    None,
    /// Only this one has been seen recently.
    One(Rc<str>),
    /// Several have been seen recently.
    Several,
}

impl KnownVersions {
    /// Summarizes the versions that have been seen recently, and the hashes of those that
    /// are recorded. A recorded version without known servers has no name.
    #[must_use]
    pub fn of(seen: &[Rc<str>], recorded: &[u64]) -> Self {
        let hashes = seen.iter().map(|version| hash_name(version));
        let all: BTreeSet<u64> = hashes.chain(recorded.iter().copied()).collect();
        match (seen, all.len()) {
            (_, 2..) => Self::Several,
            ([one], _) => Self::One(Rc::clone(one)),
            _ => Self::None,
        }
    }
}

/// What an entry knows of the entries that it has asked for a stream, and of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryScope {
    /// Number of entries that were asked.
    pub asked: usize,
    /// Whether this entry has found the others, or there are none.
    pub entries_known: bool,
    /// Whether this entry has read the recorded versions since it started.
    pub settled: bool,
}

impl QueryScope {
    /// Whether the answers show that no entry knows of another version. If an entry that may
    /// know more has not answered, only the store can show it. An entry that has been cut off,
    /// or stood still, has dropped the others: then no answer is missing, and none was given.
    #[must_use]
    pub fn is_conclusive(&self, answers: &[OriginAnswer]) -> bool {
        let all = answers.len() >= self.asked;
        let unknown = answers.iter().all(|a| *a == OriginAnswer::Unknown);
        self.settled && self.entries_known && self.asked > 0 && all && unknown
    }
}

/// The version of a stream without a record, if it is clear: if `known` is the only version
/// that the service can have had since the stream began. `answers` are those of the entries
/// that were asked. `proven` says whether `known` covers that time: the recorded versions
/// were read after the call had arrived, or the answers are conclusive.
#[must_use]
pub fn infer_version(
    known: &KnownVersions,
    answers: &[OriginAnswer],
    proven: bool,
) -> Option<Rc<str>> {
    let KnownVersions::One(version) = known else {
        return None;
    };
    let several = answers.contains(&OriginAnswer::SeveralVersions);
    (proven && !several).then(|| Rc::clone(version))
}

/// The entries that may be told of streams.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// Each with the hash of its address.
    entries: Vec<(SocketAddr, u64)>,
}

impl Members {
    /// Those at the given addresses.
    #[must_use]
    pub fn new(addrs: &[SocketAddr]) -> Self {
        let entries = addrs.iter().map(|a| (*a, hash_name(&a.to_string())));
        Self {
            entries: entries.collect(),
        }
    }

    /// The entries that are told of a stream.
    #[must_use]
    pub fn homes(&self, stream: u64) -> Vec<SocketAddr> {
        self.highest_ranked(stream, HOMES)
    }

    /// The entries that are asked for a stream.
    #[must_use]
    pub fn asked(&self, stream: u64) -> Vec<SocketAddr> {
        self.highest_ranked(stream, ASKED)
    }

    fn highest_ranked(&self, stream: u64, count: usize) -> Vec<SocketAddr> {
        let scored = self.entries.iter();
        let mut ranked: Vec<(u64, SocketAddr)> = scored
            .map(|(addr, hash)| (score(stream, *hash), *addr))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, addr)| addr).collect()
    }
}

/// Where the streams began that this entry began or was told of.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: HashMap<u64, Record>,
    /// The records by the time at which they expire.
    expiry: BTreeSet<(Instant, u64)>,
    /// Own streams of each service that the homes have not been told of, in the order of
    /// their start.
    untold: HashMap<Rc<str>, VecDeque<u64>>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    origin: Origin,
    expires_at: Instant,
}

impl OriginTable {
    /// Records a stream of `service` that begins at this entry.
    pub fn began(&mut self, now: Instant, service: &Rc<str>, record: OriginRecord) {
        self.insert(now, record);
        let untold = self.untold.entry(Rc::clone(service)).or_default();
        untold.push_back(record.stream);
    }

    /// Records a stream that began at another entry.
    pub fn insert(&mut self, now: Instant, record: OriginRecord) {
        self.expire(now);
        let expires_at = now + record.ttl.min(RECENT);
        let inserted = Record {
            origin: record.origin,
            expires_at,
        };
        if let Some(replaced) = self.records.insert(record.stream, inserted) {
            self.expiry.remove(&(replaced.expires_at, record.stream));
        }
        self.expiry.insert((expires_at, record.stream));
        while self.records.len() > MAX_RECORDS {
            let Some((_, stream)) = self.expiry.pop_first() else {
                break;
            };
            self.records.remove(&stream);
        }
    }

    /// Records streams of which nothing is known here; returns their number.
    pub fn insert_missing(
        &mut self,
        now: Instant,
        records: impl Iterator<Item = OriginRecord>,
    ) -> usize {
        let mut inserted = 0;
        for record in records {
            if self.origin(now, record.stream).is_none() {
                self.insert(now, record);
                inserted += 1;
            }
        }
        inserted
    }

    /// Where a stream began, if known.
    #[must_use]
    pub fn origin(&self, now: Instant, stream: u64) -> Option<Origin> {
        let record = self.records.get(&stream)?;
        (now < record.expires_at).then_some(record.origin)
    }

    /// Takes the own streams that the homes are to be told of: those of services for which
    /// `several` versions are known. The others wait until there are several.
    pub fn take_untold(
        &mut self,
        now: Instant,
        several: impl Fn(&str) -> bool,
    ) -> Vec<OriginRecord> {
        self.expire(now);
        let (records, mut told) = (&self.records, Vec::new());
        self.untold.retain(|service, streams| {
            if !several(service) {
                return true;
            }
            let known = streams.iter().filter_map(|stream| {
                let record = records.get(stream)?;
                Some(record.with_key(now, *stream))
            });
            told.extend(known);
            false
        });
        told
    }

    /// The records for which the entry at `home` is a home among `members`. An entry that
    /// has started asks for them.
    #[must_use]
    pub fn records_for(
        &self,
        now: Instant,
        home: SocketAddr,
        members: &Members,
    ) -> Vec<OriginRecord> {
        let valid = self.records.iter().filter(|(_, r)| now < r.expires_at);
        let valid = valid.filter(|(stream, _)| members.homes(**stream).contains(&home));
        valid
            .map(|(stream, record)| record.with_key(now, *stream))
            .collect()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires_at, stream)) = self.expiry.first().copied() {
            if now < expires_at {
                break;
            }
            self.expiry.pop_first();
            self.records.remove(&stream);
        }
        // Streams expire in about the order of their start.
        let records = &self.records;
        let expired = |stream: &u64| !records.contains_key(stream);
        self.untold.retain(|_, streams| {
            while streams.front().is_some_and(expired) {
                streams.pop_front();
            }
            !streams.is_empty()
        });
    }
}

impl Record {
    fn with_key(self, now: Instant, stream: u64) -> OriginRecord {
        OriginRecord {
            stream,
            origin: self.origin,
            ttl: self.expires_at.saturating_duration_since(now),
        }
    }
}
