//! Requests under which backend servers crash.
//!
//! Load pattern: a request makes each server that begins it crash, and its
//! caller sends it again and again, under a new identity and to any entry. Each
//! try costs a server with all its other calls, and no entry sees enough of them
//! to know the request by itself. Entries tell each other, by way of the store,
//! which servers have crashed while they ran it; at [`CRASHES`] it is refused.
//!
//! A server that crashes has dozens of calls, all but one of them innocent. They
//! are told apart by what else they did: an innocent one is served sooner or
//! later, which clears it, and few are sent three times to servers that crash. See
//! docs/DECISIONS/0607-crashing-requests.md.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Lives of servers that crash under a request before it is refused. One or two
/// happen to calls that are only near: a caller that comes back once may meet
/// a second server that crashes.
pub const CRASH_LIMIT: usize = 3;

/// How long a crash is held against a request: longer than callers go on
/// repeating what fails, and short enough for a server that was mended.
pub const CRASH_TTL: Duration = Duration::from_secs(30 * 60);

/// Crashes that are known at most, some 100 bytes each. Beyond it those of the
/// requests that were suspected longest ago go.
pub const MAX_CRASHES: usize = 1 << 14;

/// Requests that are remembered as served, so that one that is sent all the
/// time is not suspected when a whole rack of servers crashes under its copies.
const SERVED: usize = 1 << 12;

/// Names a request by what its caller sends, whichever entry gets it and
/// however often. It cannot be chosen, so that no caller has the requests of
/// another one taken for its own.
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

/// A life of a server that crashed while it ran a request. Its text, as in
/// `FINGERPRINT-LIFE`, is its key in the store: whoever saw it writes the same record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The life of the server, by number.
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
        let bad = || format!("no crash of a server: {text:?}");
        let (fingerprint, life) = text.split_once('-').ok_or_else(bad)?;
        let fingerprint = u128::from_str_radix(fingerprint, 16).map_err(|_| bad())?;
        Ok(Self {
            fingerprint: Fingerprint(fingerprint.to_be_bytes()),
            incarnation: u64::from_str_radix(life, 16).map_err(|_| bad())?,
        })
    }
}

/// What the entries know of requests under which servers have crashed.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    requests: HashMap<Fingerprint, Vec<Seen>>,
    /// Crashes in all of them.
    count: usize,
    served: Served,
}

/// A crash as it is held against a request.
#[derive(Debug, Clone, Copy)]
struct Seen {
    life: u64,
    /// Until when.
    until: Instant,
}

impl CrashSuspects {
    /// Holds a crash against its request that was seen `age` ago; returns whether
    /// it was not known.
    pub fn add_crash(&mut self, now: Instant, crash: Crash, age: Duration) -> bool {
        let left = CRASH_TTL.saturating_sub(age);
        let seen = self.requests.entry(crash.fingerprint).or_default();
        if left.is_zero() || seen.iter().any(|s| s.life == crash.incarnation) {
            if seen.is_empty() {
                self.requests.remove(&crash.fingerprint);
            }
            return false;
        }
        seen.push(Seen {
            life: crash.incarnation,
            until: now + left,
        });
        self.count += 1;
        if self.count > MAX_CRASHES {
            self.make_room(crash.fingerprint);
        }
        true
    }

    /// Holds it against each of the requests at a server that its life has
    /// crashed, but those that were served lately. Returns the crashes that were not
    /// known.
    pub fn server_crashed(
        &mut self,
        now: Instant,
        life: u64,
        fingerprints: &[Fingerprint],
    ) -> Vec<Crash> {
        let crashes = fingerprints.iter().map(|fingerprint| Crash {
            fingerprint: *fingerprint,
            incarnation: life,
        });
        let crashes: Vec<Crash> = crashes
            .filter(|e| !self.served.has(e.fingerprint))
            .collect();
        let hold = |e: &Crash| self.add_crash(now, *e, Duration::ZERO);
        crashes.into_iter().filter(hold).collect()
    }

    /// Notes that a server ran a request whole, and returns the crashes that are
    /// no longer held against it.
    pub fn request_served(&mut self, fingerprint: Fingerprint) -> Vec<Crash> {
        self.served.add(fingerprint);
        let seen = self.requests.remove(&fingerprint).unwrap_or_default();
        self.count -= seen.len();
        let crash = |s: Seen| Crash {
            fingerprint,
            incarnation: s.life,
        };
        seen.into_iter().map(crash).collect()
    }

    /// Stops holding a crash against its request.
    pub fn remove_crash(&mut self, crash: Crash) {
        let Some(seen) = self.requests.get_mut(&crash.fingerprint) else {
            return;
        };
        let before = seen.len();
        seen.retain(|s| s.life != crash.incarnation);
        self.count -= before - seen.len();
        if seen.is_empty() {
            self.requests.remove(&crash.fingerprint);
        }
    }

    /// How long ago a crash was seen; none when it is not held.
    #[must_use]
    pub fn crash_age(&self, now: Instant, crash: Crash) -> Option<Duration> {
        let seen = self.requests.get(&crash.fingerprint)?;
        let seen = seen.iter().find(|s| s.life == crash.incarnation)?;
        Some(CRASH_TTL.saturating_sub(seen.until.saturating_duration_since(now)))
    }

    /// For how long a request is to be refused; none if it may be sent.
    #[must_use]
    pub fn refusal_left(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let seen = self.requests.get(&fingerprint)?;
        let mut left: Vec<Instant> = seen.iter().map(|s| s.until).collect();
        left.sort_by(|a, b| b.cmp(a));
        let until = left.get(CRASH_LIMIT - 1)?;
        until.checked_duration_since(now).filter(|l| !l.is_zero())
    }

    /// Lets go of the crashes that were held long enough; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<Crash> {
        let mut expired = Vec::new();
        self.requests.retain(|fingerprint, seen| {
            seen.retain(|s| {
                let keep = now < s.until;
                if !keep {
                    expired.push(Crash {
                        fingerprint: *fingerprint,
                        incarnation: s.life,
                    });
                }
                keep
            });
            !seen.is_empty()
        });
        self.count -= expired.len();
        expired
    }

    /// Crashes that are known.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.count
    }

    /// Whether nothing is held against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the request that was suspected longest ago, but `kept`; those
    /// that are refused go last.
    fn make_room(&mut self, kept: Fingerprint) {
        let newest = |seen: &[Seen]| seen.iter().map(|s| s.until).max();
        let others = self
            .requests
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != kept);
        let oldest = others.min_by_key(|(_, seen)| (seen.len() >= CRASH_LIMIT, newest(seen)));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            let seen = self.requests.remove(&fingerprint).unwrap_or_default();
            self.count -= seen.len();
        }
    }
}

/// The requests that were served last.
#[derive(Debug, Default)]
struct Served {
    order: VecDeque<Fingerprint>,
    fingerprints: HashSet<Fingerprint>,
}

impl Served {
    fn has(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.contains(&fingerprint)
    }

    fn add(&mut self, fingerprint: Fingerprint) {
        if !self.fingerprints.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > SERVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.fingerprints.remove(&oldest);
        }
    }
}
