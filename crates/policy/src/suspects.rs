//! Detects requests that crash the servers that run them.
//!
//! Load pattern: a request crashes every server that starts it, and its caller
//! sends it again and again, under a new identity and to any entry. Each attempt
//! costs a server with all its other calls, and no single entry sees enough
//! attempts to recognize the request. Entries therefore share, through the
//! store, which servers crashed while they ran which request. After
//! [`CRASH_LIMIT`] crashes the request is refused.
//!
//! A server that crashes runs dozens of calls, all but one of them innocent. An
//! innocent request is sooner or later served, which clears it, and is rarely
//! sent to as many as three servers that crash. See
//! docs/DECISIONS/0607-crashing-requests.md.
//!
//! - `parts`: finds the part of a prompt under which servers crash.
//! - `records`: the records that entries share.

mod parts;
mod records;

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use parts::TrialTurn;
use parts::{PartSuspects, TimeMs};
pub use records::{CrashRecord, RecordKey};

/// Server crashes after which a request is refused. One or two also happen to
/// innocent requests: a caller that retries once may meet a second server that
/// crashes.
pub const CRASH_LIMIT: usize = 3;

/// How long a crash counts against a request: longer than callers keep
/// repeating a failing request, and short enough that it is accepted again once
/// the servers are fixed.
pub const CRASH_TTL: Duration = Duration::from_secs(30 * 60);

/// The most crashes that are kept, about 100 bytes each. Beyond this limit, the
/// requests whose last crash is the oldest are dropped.
pub const MAX_CRASHES: usize = 1 << 14;

/// How many recently served requests are remembered, so that a request that is
/// sent all the time is not suspected when a whole rack of servers crashes while
/// running copies of it.
const SERVED_CAPACITY: usize = 1 << 12;

/// Identifies a request by its content, independent of the entry and of the
/// number of attempts. It is a cryptographic hash, so that a caller cannot make
/// the requests of another caller match its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// The fingerprint of a request with these parts: its method, host, path,
    /// workspace and body.
    #[must_use]
    pub fn from_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.finalize()[..16]);
        Self(fingerprint)
    }
}

impl Display for Fingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// An incarnation of a server that crashed while it ran a request. Its text form
/// `FINGERPRINT-INCARNATION` is its key in the store, so that all entries that saw
/// the crash write the same record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Hash that identifies the incarnation of the server.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Display for Crash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.fingerprint, self.incarnation)
    }
}

impl FromStr for Crash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("invalid crash key, expected FINGERPRINT-INCARNATION: {text:?}");
        let (fingerprint, incarnation) = text.split_once('-').ok_or_else(bad)?;
        let fingerprint = u128::from_str_radix(fingerprint, 16).map_err(|_| bad())?;
        Ok(Self {
            fingerprint: Fingerprint(fingerprint.to_be_bytes()),
            incarnation: u64::from_str_radix(incarnation, 16).map_err(|_| bad())?,
        })
    }
}

/// A crash with what is known of the call that the server was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The call and the server.
    pub crash: Crash,
    /// Time since the crash was seen.
    pub age: Duration,
    /// Time from sending the call to the crash.
    pub run: Duration,
    /// Whether its answer had just begun. A server that crashes because of a call does so
    /// at this moment.
    pub just_began: bool,
    /// The parts of its prompt that other requests may share; none if the server had
    /// been writing the answer for some time.
    pub shared_parts: Vec<u64>,
}

impl CrashReport {
    /// A report on a call whose prompt has no known parts.
    #[must_use]
    pub fn without_parts(crash: Crash, age: Duration) -> Self {
        Self {
            crash,
            age,
            run: Duration::ZERO,
            just_began: false,
            shared_parts: Vec::new(),
        }
    }
}

/// The crashes that entries attribute to requests.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    requests: HashMap<Fingerprint, Vec<CountedCrash>>,
    parts: PartSuspects,
    /// The time from which [`TimeMs`] counts.
    epoch: Option<Instant>,
    /// The number of crashes of all requests.
    crash_count: usize,
    served: RecentlyServed,
}

/// A crash that counts against a request.
#[derive(Debug, Clone)]
struct CountedCrash {
    incarnation: u64,
    expires_at: Instant,
    run: Duration,
    just_began: bool,
    shared_parts: Vec<u64>,
}

impl CrashSuspects {
    /// Counts a crash against its request and the parts of its prompt; returns whether
    /// it is new.
    pub fn add_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        let crash = report.crash;
        let left = CRASH_TTL.saturating_sub(report.age);
        let crashes = self.requests.entry(crash.fingerprint).or_default();
        if left.is_zero() || crashes.iter().any(|c| c.incarnation == crash.incarnation) {
            if crashes.is_empty() {
                self.requests.remove(&crash.fingerprint);
            }
            return false;
        }
        crashes.push(CountedCrash {
            incarnation: crash.incarnation,
            expires_at: now + left,
            run: report.run,
            just_began: report.just_began,
            shared_parts: report.shared_parts.clone(),
        });
        self.crash_count += 1;
        let crashed_ms = self.time_ms(now) - to_ms(report.age);
        self.parts.add(crashed_ms, report);
        if self.crash_count > MAX_CRASHES {
            self.evict_oldest(crash.fingerprint);
        }
        true
    }

    /// Counts the crash of a server against each call that it was running, except those
    /// whose requests were served recently. Returns the reports that are new.
    pub fn server_crashed(&mut self, now: Instant, calls: Vec<CrashReport>) -> Vec<CrashReport> {
        let suspected = |c: &CrashReport| !self.served.contains(c.crash.fingerprint);
        let calls: Vec<CrashReport> = calls.into_iter().filter(suspected).collect();
        let is_new = |c: &CrashReport| self.add_crash(now, c);
        calls.into_iter().filter(is_new).collect()
    }

    /// Records that a server completed a request, and returns the crashes that
    /// no longer count against it.
    pub fn request_served(&mut self, fingerprint: Fingerprint) -> Vec<Crash> {
        self.served.add(fingerprint);
        self.remove_request(fingerprint)
    }

    /// Records that a server goes on with its answer to a prompt with these parts, which
    /// are therefore sound.
    pub fn record_sound_parts(&mut self, now: Instant, parts: &[u64]) {
        let now_ms = self.time_ms(now);
        self.parts.record_sound(now_ms, parts);
    }

    /// Records that another entry knew a part to be sound `age` ago; returns whether that
    /// is new.
    pub fn add_sound_part(&mut self, now: Instant, part: u64, age: Duration) -> bool {
        let sound_ms = self.time_ms(now) - to_ms(age);
        self.parts.add_sound(part, sound_ms)
    }

    /// The time since all entries knew a part to be sound.
    #[must_use]
    pub fn sound_age(&self, now: Instant, part: u64) -> Option<Duration> {
        let sound_ms = self.parts.shared_sound(part)?;
        let age_ms = self.time_ms_at(now) - sound_ms;
        Some(Duration::from_millis(u64::try_from(age_ms).unwrap_or(0)))
    }

    /// Whether there are parts that other entries may suspect and that this one knows to
    /// be sound.
    #[must_use]
    pub fn has_contested_parts(&self) -> bool {
        self.parts.has_contested()
    }

    /// Takes the parts that other entries may suspect, with the time since this entry
    /// knew each to be sound. The caller tells the others.
    pub fn take_contested_parts(&mut self, now: Instant) -> Vec<(u64, Duration)> {
        let now_ms = self.time_ms(now);
        let age = |ms: TimeMs| Duration::from_millis(u64::try_from(ms).unwrap_or(0));
        let parts = self.parts.take_contested().into_iter();
        parts.map(|(p, at)| (p, age(now_ms - at))).collect()
    }

    /// Whether several servers have crashed under calls with one of these parts, none of
    /// which is known to be sound since.
    #[must_use]
    pub fn is_repeated(&self, shared_parts: &[u64]) -> bool {
        self.parts.is_repeated(shared_parts)
    }

    /// The parts with which requests are refused.
    pub fn accused_parts(&self) -> impl Iterator<Item = u64> {
        self.parts.accused()
    }

    /// Removes a crash from its request.
    pub fn remove_crash(&mut self, crash: Crash) {
        let Some(crashes) = self.requests.get_mut(&crash.fingerprint) else {
            return;
        };
        let position = crashes
            .iter()
            .position(|c| c.incarnation == crash.incarnation);
        let Some(removed) = position.map(|n| crashes.swap_remove(n)) else {
            return;
        };
        self.crash_count -= 1;
        if crashes.is_empty() {
            self.requests.remove(&crash.fingerprint);
        }
        self.parts.remove(crash, &removed.shared_parts);
    }

    /// What is known of a crash, if it still counts.
    #[must_use]
    pub fn report(&self, now: Instant, crash: Crash) -> Option<CrashReport> {
        let crashes = self.requests.get(&crash.fingerprint)?;
        let counted = crashes
            .iter()
            .find(|c| c.incarnation == crash.incarnation)?;
        let left = counted.expires_at.saturating_duration_since(now);
        Some(CrashReport {
            crash,
            age: CRASH_TTL.saturating_sub(left),
            run: counted.run,
            just_began: counted.just_began,
            shared_parts: counted.shared_parts.clone(),
        })
    }

    /// For how long a request must be refused, or none if it may be sent. A crash does not
    /// count if it was caused by a part that the request does not have.
    #[must_use]
    pub fn refusal_left(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        shared_parts: &[u64],
    ) -> Option<Duration> {
        if self.parts.refuses(shared_parts) {
            return Some(CRASH_TTL);
        }
        let crashes = self.requests.get(&fingerprint)?;
        if crashes.len() < CRASH_LIMIT {
            return None;
        }
        let explained = self.parts.explained_without(shared_parts);
        let counted = crashes
            .iter()
            .filter(|c| !explained.contains(&c.incarnation));
        let mut expiries: Vec<Instant> = counted.map(|c| c.expires_at).collect();
        expiries.sort_by(|a, b| b.cmp(a));
        let until = expiries.get(CRASH_LIMIT - 1)?;
        until.checked_duration_since(now).filter(|l| !l.is_zero())
    }

    /// Whether requests whose prompts have these parts are refused.
    #[must_use]
    pub fn refuses_parts(&self, shared_parts: &[u64]) -> bool {
        self.parts.refuses(shared_parts)
    }

    /// Whether a request that is refused for a part of its prompt may be sent as a trial.
    #[must_use]
    pub fn may_try(&self, now: Instant, shared_parts: &[u64], turn: TrialTurn) -> bool {
        self.parts.may_try(self.time_ms_at(now), shared_parts, turn)
    }

    /// Takes the trial of [`may_try`](Self::may_try); returns whether there was one.
    pub fn take_trial(&mut self, now: Instant, shared_parts: &[u64], turn: TrialTurn) -> bool {
        let now_ms = self.time_ms(now);
        self.parts.take_trial(now_ms, shared_parts, turn)
    }

    /// Removes the crashes that have expired; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Crash> {
        let mut expired = Vec::new();
        for (fingerprint, crashes) in &self.requests {
            let over = crashes.iter().filter(|c| now >= c.expires_at);
            expired.extend(over.map(|c| Crash {
                fingerprint: *fingerprint,
                incarnation: c.incarnation,
            }));
        }
        for crash in &expired {
            self.remove_crash(*crash);
        }
        expired
    }

    /// Removes the parts that have not been known to be sound for [`CRASH_TTL`]; returns
    /// those that all entries knew.
    pub fn expire_sound_parts(&mut self, now: Instant) -> Vec<u64> {
        let before_ms = self.time_ms(now) - to_ms(CRASH_TTL);
        self.parts.expire_sound(before_ms)
    }

    /// The number of crashes that are kept.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crash_count
    }

    /// Whether no crash counts against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crash_count == 0
    }

    /// Drops the request whose last crash is the oldest, except `kept`. Refused
    /// requests are dropped last.
    fn evict_oldest(&mut self, kept: Fingerprint) {
        let newest = |crashes: &[CountedCrash]| crashes.iter().map(|c| c.expires_at).max();
        let refused = |crashes: &[CountedCrash]| {
            let mut parts = crashes.iter().flat_map(|c| &c.shared_parts);
            crashes.len() >= CRASH_LIMIT || parts.any(|part| self.parts.is_accused(*part))
        };
        let others = self
            .requests
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != kept);
        let oldest = others.min_by_key(|(_, crashes)| (refused(crashes), newest(crashes)));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.remove_request(fingerprint);
        }
    }

    /// Removes all crashes of a request; returns them.
    fn remove_request(&mut self, fingerprint: Fingerprint) -> Vec<Crash> {
        let crashes = self.requests.remove(&fingerprint).unwrap_or_default();
        self.crash_count -= crashes.len();
        let mut removed = Vec::new();
        for counted in crashes {
            let crash = Crash {
                fingerprint,
                incarnation: counted.incarnation,
            };
            self.parts.remove(crash, &counted.shared_parts);
            removed.push(crash);
        }
        removed
    }

    fn time_ms(&mut self, now: Instant) -> TimeMs {
        self.epoch.get_or_insert(now);
        self.time_ms_at(now)
    }

    /// The time `now`; 0 before the first event.
    fn time_ms_at(&self, now: Instant) -> TimeMs {
        let epoch = self.epoch.unwrap_or(now);
        to_ms(now.saturating_duration_since(epoch))
    }
}

fn to_ms(span: Duration) -> TimeMs {
    TimeMs::try_from(span.as_millis()).unwrap_or(TimeMs::MAX / 4)
}

/// The requests that were served most recently.
#[derive(Debug, Default)]
struct RecentlyServed {
    order: VecDeque<Fingerprint>,
    fingerprints: HashSet<Fingerprint>,
}

impl RecentlyServed {
    fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    fn add(&mut self, fingerprint: Fingerprint) {
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > SERVED_CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.fingerprints.remove(&oldest);
        }
    }
}
