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

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

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

/// The crashes that entries attribute to requests.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    requests: HashMap<Fingerprint, Vec<CountedCrash>>,
    /// The number of crashes of all requests.
    crash_count: usize,
    served: RecentlyServed,
}

/// A crash that counts against a request.
#[derive(Debug, Clone, Copy)]
struct CountedCrash {
    incarnation: u64,
    expires_at: Instant,
}

impl CrashSuspects {
    /// Counts a crash that was seen `age` ago against its request; returns whether
    /// it is new.
    pub fn add_crash(&mut self, now: Instant, crash: Crash, age: Duration) -> bool {
        let left = CRASH_TTL.saturating_sub(age);
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
        });
        self.crash_count += 1;
        if self.crash_count > MAX_CRASHES {
            self.evict_oldest(crash.fingerprint);
        }
        true
    }

    /// Counts the crash of a server against each request that it was running,
    /// except those that were served recently. Returns the crashes that are new.
    pub fn server_crashed(
        &mut self,
        now: Instant,
        incarnation: u64,
        fingerprints: &[Fingerprint],
    ) -> Vec<Crash> {
        let crashes = fingerprints.iter().map(|fingerprint| Crash {
            fingerprint: *fingerprint,
            incarnation,
        });
        let crashes: Vec<Crash> = crashes
            .filter(|c| !self.served.contains(c.fingerprint))
            .collect();
        let is_new = |c: &Crash| self.add_crash(now, *c, Duration::ZERO);
        crashes.into_iter().filter(is_new).collect()
    }

    /// Records that a server completed a request, and returns the crashes that
    /// no longer count against it.
    pub fn request_served(&mut self, fingerprint: Fingerprint) -> Vec<Crash> {
        self.served.add(fingerprint);
        let crashes = self.requests.remove(&fingerprint).unwrap_or_default();
        self.crash_count -= crashes.len();
        let crash = |c: CountedCrash| Crash {
            fingerprint,
            incarnation: c.incarnation,
        };
        crashes.into_iter().map(crash).collect()
    }

    /// Removes a crash from its request.
    pub fn remove_crash(&mut self, crash: Crash) {
        let Some(crashes) = self.requests.get_mut(&crash.fingerprint) else {
            return;
        };
        let before = crashes.len();
        crashes.retain(|c| c.incarnation != crash.incarnation);
        self.crash_count -= before - crashes.len();
        if crashes.is_empty() {
            self.requests.remove(&crash.fingerprint);
        }
    }

    /// How long ago a crash was seen, if it still counts.
    #[must_use]
    pub fn crash_age(&self, now: Instant, crash: Crash) -> Option<Duration> {
        let crashes = self.requests.get(&crash.fingerprint)?;
        let counted = crashes
            .iter()
            .find(|c| c.incarnation == crash.incarnation)?;
        Some(CRASH_TTL.saturating_sub(counted.expires_at.saturating_duration_since(now)))
    }

    /// For how long a request must be refused, or none if it may be sent.
    #[must_use]
    pub fn refusal_left(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let crashes = self.requests.get(&fingerprint)?;
        let mut expiries: Vec<Instant> = crashes.iter().map(|c| c.expires_at).collect();
        expiries.sort_by(|a, b| b.cmp(a));
        let until = expiries.get(CRASH_LIMIT - 1)?;
        until.checked_duration_since(now).filter(|l| !l.is_zero())
    }

    /// Removes the crashes that have expired; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Crash> {
        let mut expired = Vec::new();
        self.requests.retain(|fingerprint, crashes| {
            crashes.retain(|c| {
                let keep = now < c.expires_at;
                if !keep {
                    expired.push(Crash {
                        fingerprint: *fingerprint,
                        incarnation: c.incarnation,
                    });
                }
                keep
            });
            !crashes.is_empty()
        });
        self.crash_count -= expired.len();
        expired
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
        let others = self
            .requests
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != kept);
        let oldest =
            others.min_by_key(|(_, crashes)| (crashes.len() >= CRASH_LIMIT, newest(crashes)));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            let crashes = self.requests.remove(&fingerprint).unwrap_or_default();
            self.crash_count -= crashes.len();
        }
    }
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
