//! The versions of each service as all entries record them in the platform's store.
//!
//! A version has a record before the first event of any of its streams is passed on, until
//! no such stream can be taken up any more. A service with a single record has therefore
//! had no other version since the oldest stream began, whenever this entry has started and
//! whatever time its host has. See docs/design/stream-versions.md.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::RECENT;
use crate::rendezvous::hash_name;

/// Time without a known server after which a version is marked as ended.
pub const END_DELAY: Duration = Duration::from_secs(15);

/// Time for which an ended version keeps its record. The margin over [`RECENT`] allows for
/// entries that learn late that its servers have left.
pub const RETENTION: Duration = RECENT.saturating_add(END_DELAY);

/// A software version of a service. Names may be longer than a key of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionKey {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the version's name.
    pub version: u64,
}

impl VersionKey {
    /// The key of a version of `service`.
    #[must_use]
    pub fn new(service: &str, version: &str) -> Self {
        Self {
            service: hash_name(service),
            version: hash_name(version),
        }
    }
}

impl Display for VersionKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.service, self.version)
    }
}

impl FromStr for VersionKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let hash = |text: &str| u64::from_str_radix(text, 16).ok();
        let parts = text.split_once('-');
        let hashes = parts.and_then(|(service, version)| Some((hash(service)?, hash(version)?)));
        let (service, version) =
            hashes.ok_or_else(|| format!("invalid key, expected SERVICE-VERSION: {text:?}"))?;
        let key = Self { service, version };
        // Another spelling would stand for the same version in another record.
        match key.to_string() == text {
            true => Ok(key),
            false => Err(format!("invalid key, expected {key}: {text:?}")),
        }
    }
}

/// Whether a version has servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// It has servers.
    Active,
    /// It has none, and its streams may still be taken up.
    Ended,
}

/// The record of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Whether it has servers.
    pub state: VersionState,
    /// Name of the service, for operators.
    #[serde(default)]
    pub service: String,
    /// Name of the version, for operators.
    #[serde(default)]
    pub version: String,
}

impl VersionRecord {
    /// The record of a version with unknown names.
    #[must_use]
    pub fn unnamed(state: VersionState) -> Self {
        Self {
            state,
            service: String::new(),
            version: String::new(),
        }
    }
}

/// A version as an entry knows it from the server table.
#[derive(Debug, Clone, Copy)]
pub struct KnownVersion<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the version.
    pub version: &'a str,
    /// Whether any server of it is known now.
    pub listed: bool,
}

impl KnownVersion<'_> {
    fn key(&self) -> VersionKey {
        VersionKey::new(self.service, self.version)
    }

    fn record(&self, state: VersionState) -> VersionRecord {
        VersionRecord {
            state,
            service: self.service.to_owned(),
            version: self.version.to_owned(),
        }
    }
}

/// The writes that the store lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DueWrites {
    /// Versions with servers that are not recorded, whose streams wait, and records that the
    /// store has lost.
    pub missing: Vec<(VersionKey, VersionRecord)>,
    /// The next version that has ended, or whose record is not needed any more.
    pub ended: Option<(VersionKey, Option<VersionRecord>)>,
}

/// The recorded versions, as this entry has read them.
#[derive(Debug, Default)]
pub struct RecordedVersions {
    records: BTreeMap<VersionKey, Known>,
}

/// A record that was read.
#[derive(Debug)]
struct Known {
    record: VersionRecord,
    /// When its state was first seen.
    seen_at: Instant,
    /// Since when no server of the version is known.
    unlisted_at: Option<Instant>,
    /// Whether the store has it, as far as this entry knows.
    stored: bool,
}

impl RecordedVersions {
    /// Applies a record that was read or written; `None` for a deleted one.
    pub fn apply(&mut self, now: Instant, key: VersionKey, record: Option<VersionRecord>) {
        let Some(record) = record else {
            self.records.remove(&key);
            return;
        };
        match self.records.get_mut(&key) {
            Some(known) => {
                if known.record.state != record.state {
                    known.seen_at = now;
                }
                known.record = record;
                known.stored = true;
            }
            None => {
                let known = Known {
                    record,
                    seen_at: now,
                    unlisted_at: None,
                    stored: true,
                };
                self.records.insert(key, known);
            }
        }
    }

    /// Removes the records that a snapshot of the table lacks.
    pub fn retain(&mut self, contained: impl Fn(&VersionKey) -> bool) {
        self.records.retain(|key, _| contained(key));
    }

    /// Marks the records that a restored table lacks, so that they are written again; returns
    /// their number. They stay in force: their streams may still be taken up.
    pub fn mark_lost(&mut self, contained: impl Fn(&VersionKey) -> bool) -> usize {
        let lost = self.records.iter_mut().filter(|(key, _)| !contained(key));
        lost.map(|(_, known)| known.stored = false).count()
    }

    /// Whether the store has a version recorded as having servers.
    #[must_use]
    pub fn is_active(&self, key: VersionKey) -> bool {
        let known = self.records.get(&key);
        known.is_some_and(|known| known.stored && known.record.state == VersionState::Active)
    }

    /// Hashes of the recorded versions of a service, with those that have ended.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<u64> {
        let service = hash_name(service);
        let keys = self.records.keys().filter(|key| key.service == service);
        keys.map(|key| key.version).collect()
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

    /// The writes that the store lacks for the versions that have or recently had servers.
    /// An entry that is not `in_touch` with the store may not know of a version's servers,
    /// so it ends none.
    pub fn due_writes(
        &mut self,
        now: Instant,
        versions: &[KnownVersion<'_>],
        in_touch: bool,
    ) -> DueWrites {
        let listed = versions.iter().filter(|v| v.listed);
        let unrecorded = listed.filter(|v| !self.is_active(v.key()));
        let active = unrecorded.map(|v| (v.key(), v.record(VersionState::Active)));
        let mut due = DueWrites {
            missing: active.collect(),
            ended: None,
        };
        let is_listed = |key: VersionKey| versions.iter().any(|v| v.listed && v.key() == key);
        let lost = self.records.iter().filter(|(_, known)| !known.stored);
        let lost = lost.filter(|(key, _)| !is_listed(**key));
        due.missing
            .extend(lost.map(|(key, known)| (*key, known.record.clone())));
        // A restored store may lack the records of versions that have just ended.
        let missing = versions.iter().filter(|v| !v.listed);
        let missing = missing.filter(|v| !self.records.contains_key(&v.key()));
        due.ended = missing
            .map(|v| (v.key(), Some(v.record(VersionState::Ended))))
            .next();
        for (key, known) in &mut self.records {
            let since = match is_listed(*key) || !in_touch {
                true => None,
                false => Some(known.unlisted_at.unwrap_or(now)),
            };
            known.unlisted_at = since;
            let change = since.filter(|_| known.stored);
            let change = change.and_then(|since| known.due_change(now, since));
            if let Some(change) = change {
                due.ended.get_or_insert((*key, change));
            }
        }
        due.ended = due.ended.filter(|_| in_touch);
        due
    }
}

impl Known {
    /// The record that replaces this one of a version without servers since `since`, if it
    /// is time; `None` if the record is to be deleted.
    fn due_change(&self, now: Instant, since: Instant) -> Option<Option<VersionRecord>> {
        let elapsed = now.saturating_duration_since(since.max(self.seen_at));
        match self.record.state {
            VersionState::Active if elapsed >= END_DELAY => Some(Some(VersionRecord {
                state: VersionState::Ended,
                ..self.record.clone()
            })),
            VersionState::Ended if elapsed >= RETENTION => Some(None),
            VersionState::Active | VersionState::Ended => None,
        }
    }
}
