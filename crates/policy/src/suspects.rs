//! Requests under which backend servers end.
//!
//! Load pattern: a request makes each server that begins it crash, and its
//! caller sends it again and again, under a new identity and to any entry. Each
//! try costs a server with all its other calls, and no entry sees enough of them
//! to know the request by itself. Entries tell each other, by way of the store,
//! which servers have ended while they ran it; at [`ENDS`] it is refused.
//!
//! A server that ends has dozens of calls, all but one of them innocent. They
//! are told apart by what else they did: an innocent one is served sooner or
//! later, which clears it, and few are sent three times to servers that end. See
//! docs/DECISIONS/0607-crashing-requests.md.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Lives of servers that end under a request before it is refused. One or two
/// happen to calls that are only near: a caller that comes back once may meet
/// a second server that ends.
pub const ENDS: usize = 3;

/// How long an end is held against a request: longer than callers go on
/// repeating what fails, and short enough for a server that was mended.
pub const HELD: Duration = Duration::from_secs(30 * 60);

/// Ends that are known at most, some 100 bytes each. Beyond it those of the
/// requests that were suspected longest ago go.
pub const MOST: usize = 1 << 14;

/// Requests that are remembered as served, so that one that is sent all the
/// time is not suspected when a whole rack of servers ends under its copies.
const SERVED: usize = 1 << 12;

/// Names a request by what its caller sends, whichever entry gets it and
/// however often. It cannot be chosen, so that no caller has the requests of
/// another one taken for its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Print(pub [u8; 16]);

impl Print {
    /// The print of a request with these parts: its method, host, path,
    /// workspace and body.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut print = [0; 16];
        print.copy_from_slice(&hash.finalize()[..16]);
        Self(print)
    }
}

impl Display for Print {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// A life of a server that ended while it ran a request. Its text, as in
/// `PRINT-LIFE`, is its key in the store: whoever saw it writes the same record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub print: Print,
    /// The life of the server, by number.
    pub life: u64,
}

impl Display for End {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.print, self.life)
    }
}

impl FromStr for End {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let bad = || format!("no end of a server: {text:?}");
        let (print, life) = text.split_once('-').ok_or_else(bad)?;
        let print = u128::from_str_radix(print, 16).map_err(|_| bad())?;
        Ok(Self {
            print: Print(print.to_be_bytes()),
            life: u64::from_str_radix(life, 16).map_err(|_| bad())?,
        })
    }
}

/// What the entries know of requests under which servers have ended.
#[derive(Debug, Default)]
pub struct Suspects {
    requests: HashMap<Print, Vec<Seen>>,
    /// Ends in all of them.
    count: usize,
    served: Served,
}

/// An end as it is held against a request.
#[derive(Debug, Clone, Copy)]
struct Seen {
    life: u64,
    /// Until when.
    until: Instant,
}

impl Suspects {
    /// Holds an end against its request that was seen `age` ago; returns whether
    /// it was not known.
    pub fn hold(&mut self, now: Instant, end: End, age: Duration) -> bool {
        let left = HELD.saturating_sub(age);
        let seen = self.requests.entry(end.print).or_default();
        if left.is_zero() || seen.iter().any(|s| s.life == end.life) {
            if seen.is_empty() {
                self.requests.remove(&end.print);
            }
            return false;
        }
        seen.push(Seen {
            life: end.life,
            until: now + left,
        });
        self.count += 1;
        if self.count > MOST {
            self.make_room(end.print);
        }
        true
    }

    /// Holds it against each of the requests at a server that its life has
    /// ended, but those that were served lately. Returns the ends that were not
    /// known.
    pub fn ended(&mut self, now: Instant, life: u64, prints: &[Print]) -> Vec<End> {
        let ends = prints.iter().map(|print| End {
            print: *print,
            life,
        });
        let ends: Vec<End> = ends.filter(|e| !self.served.has(e.print)).collect();
        let hold = |e: &End| self.hold(now, *e, Duration::ZERO);
        ends.into_iter().filter(hold).collect()
    }

    /// Notes that a server ran a request whole, and returns the ends that are
    /// no longer held against it.
    pub fn served(&mut self, print: Print) -> Vec<End> {
        self.served.add(print);
        let seen = self.requests.remove(&print).unwrap_or_default();
        self.count -= seen.len();
        let end = |s: Seen| End {
            print,
            life: s.life,
        };
        seen.into_iter().map(end).collect()
    }

    /// Stops holding an end against its request.
    pub fn clear(&mut self, end: End) {
        let Some(seen) = self.requests.get_mut(&end.print) else {
            return;
        };
        let before = seen.len();
        seen.retain(|s| s.life != end.life);
        self.count -= before - seen.len();
        if seen.is_empty() {
            self.requests.remove(&end.print);
        }
    }

    /// How long ago an end was seen; none when it is not held.
    #[must_use]
    pub fn age(&self, now: Instant, end: End) -> Option<Duration> {
        let seen = self.requests.get(&end.print)?;
        let seen = seen.iter().find(|s| s.life == end.life)?;
        Some(HELD.saturating_sub(seen.until.saturating_duration_since(now)))
    }

    /// For how long a request is to be refused; none if it may be sent.
    #[must_use]
    pub fn refused(&self, now: Instant, print: Print) -> Option<Duration> {
        let seen = self.requests.get(&print)?;
        let mut left: Vec<Instant> = seen.iter().map(|s| s.until).collect();
        left.sort_by(|a, b| b.cmp(a));
        let until = left.get(ENDS - 1)?;
        until.checked_duration_since(now).filter(|l| !l.is_zero())
    }

    /// Lets go of the ends that were held long enough; returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<End> {
        let mut expired = Vec::new();
        self.requests.retain(|print, seen| {
            seen.retain(|s| {
                let keep = now < s.until;
                if !keep {
                    expired.push(End {
                        print: *print,
                        life: s.life,
                    });
                }
                keep
            });
            !seen.is_empty()
        });
        self.count -= expired.len();
        expired
    }

    /// Ends that are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether nothing is held against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the request that was suspected longest ago, but `kept`; those
    /// that are refused go last.
    fn make_room(&mut self, kept: Print) {
        let newest = |seen: &[Seen]| seen.iter().map(|s| s.until).max();
        let others = self.requests.iter().filter(|(print, _)| **print != kept);
        let oldest = others.min_by_key(|(_, seen)| (seen.len() >= ENDS, newest(seen)));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            let seen = self.requests.remove(&print).unwrap_or_default();
            self.count -= seen.len();
        }
    }
}

/// The requests that were served last.
#[derive(Debug, Default)]
struct Served {
    order: VecDeque<Print>,
    prints: HashSet<Print>,
}

impl Served {
    fn has(&self, print: Print) -> bool {
        self.prints.contains(&print)
    }

    fn add(&mut self, print: Print) {
        if !self.prints.insert(print) {
            return;
        }
        self.order.push_back(print);
        if self.order.len() > SERVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.prints.remove(&oldest);
        }
    }
}
