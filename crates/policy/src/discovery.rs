//! How a starting entry finds the other entries.
//!
//! Load pattern: hundreds of entries start at the same moment, half of them
//! again in the middle of the day. If each one registered in the store and
//! read the list of entries there, every start would cost the store several
//! calls. An entry therefore asks the few seed hosts in its settings, which
//! answer with further hosts to ask. The store's directory is only used when
//! no host answers, and by the relays of a zone, which are its first entries.
//! See docs/DECISIONS/0801-relays.md.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a starting entry waits for the other entries' tables before it
/// reads the tables in the store itself.
const START_WAIT: Duration = Duration::from_millis(250);

/// The same when all hosts start for the first time, which they do within a
/// few tenths of a second; no caller is waiting yet.
const FIRST_START_WAIT: Duration = Duration::from_millis(600);

/// Delay before the directory is used, since each start costs it several
/// calls.
const DIRECTORY_DELAY: Duration = Duration::from_secs(2);

/// Interval between requests to single hosts until one answers; hundreds of
/// entries ask the same few hosts.
const ASK_INITIAL: Duration = Duration::from_millis(100);

/// The interval after [`DIRECTORY_DELAY`] without an answer.
const ASK_ISOLATED: Duration = Duration::from_millis(500);

/// Bounds of the exponential backoff once other entries are known. These
/// requests connect entries that started at the same moment and entries that a
/// network partition had separated.
const ASK_BACKOFF_MIN: Duration = Duration::from_millis(250);
const ASK_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// An entry that is answered by its zone's relays asks other hosts only after
/// this time without an answer.
const RELAY_SILENCE: Duration = Duration::from_secs(10);

/// An entry without any answer for this long considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(25);

/// Interval of directory reads by isolated entries and by relays, which may be
/// unknown to the hosts that are asked.
const READ_ISOLATED: Duration = Duration::from_secs(15);
const READ_RELAY: Duration = Duration::from_secs(30);

/// Initial delay after the directory was unreachable.
const RETRY_MIN: Duration = Duration::from_millis(400);

/// Maximum delay after the directory was unreachable.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Longest wait before the next step is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The next step of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryStep {
    /// Asks the entry at this address for the entries that it knows.
    Ask(SocketAddr),
    /// Writes the entry's own address to the directory.
    Announce,
    /// Reads the directory.
    ReadDirectory,
    /// Waits before asking again for the next step.
    Wait(Duration),
}

/// State of an entry's search for the other entries.
#[derive(Debug)]
pub struct PeerDiscovery {
    /// Seed hosts from the settings.
    seeds: Vec<SocketAddr>,
    /// How long the entry waits for the others' tables.
    wait_limit: Duration,
    /// Entries listed in the directory.
    listed: Vec<SocketAddr>,
    started: Instant,
    last_answer: Option<Instant>,
    /// When another entry was last asked, the number of requests, and the
    /// number of requests since the first answer.
    last_asked: Option<Instant>,
    asked_count: usize,
    repeat_count: u32,
    announced: bool,
    /// Whether an entry was found that has been running for longer.
    running: bool,
    /// When the directory is read next.
    next_read: Instant,
    /// Earliest time of the next write to the directory.
    retry_at: Instant,
    failures: u32,
}

impl PeerDiscovery {
    /// Starts discovery now; `first_start` says whether all entries start for
    /// the first time.
    #[must_use]
    pub fn new(now: Instant, seeds: Vec<SocketAddr>, first_start: bool) -> Self {
        Self {
            next_read: now,
            // Without seed hosts there is nothing to wait for.
            wait_limit: match (seeds.is_empty(), first_start) {
                (true, _) => Duration::ZERO,
                (false, true) => FIRST_START_WAIT,
                (false, false) => START_WAIT,
            },
            seeds,
            listed: Vec::new(),
            started: now,
            last_answer: None,
            last_asked: None,
            asked_count: 0,
            repeat_count: 0,
            announced: false,
            running: false,
            retry_at: now,
            failures: 0,
        }
    }

    /// Whether the entry may act on what it knows: it has found a running
    /// entry, has waited long enough, or has nobody to ask.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.running || now >= self.started + self.wait_limit
    }

    /// Notes that an entry was found that has been running for longer and
    /// knows the others.
    pub fn found_running(&mut self) {
        self.running = true;
    }

    /// Whether the number of entries is known: another entry has answered, or there is
    /// none that could.
    #[must_use]
    pub fn entries_known(&self, now: Instant) -> bool {
        let isolated = self.elapsed(now) >= ISOLATION_TIMEOUT;
        self.seeds.is_empty() || self.last_answer.is_some() || isolated
    }

    /// Time since the start of discovery.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// The next step. `is_relay` says whether this entry is one of its zone's
    /// relays, `has_relays` whether relays inform the zone's other entries.
    pub fn next_step(&mut self, now: Instant, is_relay: bool, has_relays: bool) -> DiscoveryStep {
        if let Some(addr) = self.next_peer(now, has_relays && !is_relay) {
            return DiscoveryStep::Ask(addr);
        }
        let isolated = self.is_isolated(now);
        let waited = self.seeds.is_empty() || self.elapsed(now) >= DIRECTORY_DELAY;
        let use_directory = waited && (isolated || is_relay);
        if use_directory && !self.announced && now >= self.retry_at {
            return DiscoveryStep::Announce;
        }
        if use_directory && now >= self.next_read {
            return DiscoveryStep::ReadDirectory;
        }
        DiscoveryStep::Wait(POLL_INTERVAL)
    }

    /// Notes an answer of another entry.
    pub fn peer_answered(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Notes whether the directory has stored the address.
    pub fn announce_finished(&mut self, now: Instant, done: bool) {
        self.announced = done;
        self.directory_result(now, done);
    }

    /// Notes that the directory may have lost the address.
    pub fn announcement_lost(&mut self) {
        self.announced = false;
    }

    /// Takes the entries listed in the directory; none if it did not answer.
    pub fn directory_read(&mut self, now: Instant, found: Option<Vec<SocketAddr>>) {
        self.directory_result(now, found.is_some());
        let Some(found) = found else {
            self.next_read = self.retry_at;
            return;
        };
        self.listed = found;
        self.next_read = match self.is_isolated(now) {
            true => now + READ_ISOLATED,
            false => now + READ_RELAY,
        };
    }

    fn directory_result(&mut self, now: Instant, done: bool) {
        self.failures = if done { 0 } else { self.failures + 1 };
        let factor = 2u32.pow(self.failures.saturating_sub(1).min(8));
        let pause = RETRY_MIN.saturating_mul(factor);
        self.retry_at = if done {
            now
        } else {
            now + pause.min(RETRY_MAX)
        };
    }

    /// Whether no entry has answered for [`ISOLATION_TIMEOUT`].
    fn is_isolated(&self, now: Instant) -> bool {
        self.last_answer
            .is_none_or(|at| now >= at + ISOLATION_TIMEOUT)
    }

    /// The next entry to ask, if it is time; `relayed` says whether relays
    /// inform this entry.
    fn next_peer(&mut self, now: Instant, relayed: bool) -> Option<SocketAddr> {
        let count = self.seeds.len() + self.listed.len();
        let quiet = self.last_answer.is_none_or(|at| now >= at + RELAY_SILENCE);
        let interval = match self.is_isolated(now) {
            true if self.elapsed(now) < DIRECTORY_DELAY => ASK_INITIAL,
            true => ASK_ISOLATED,
            false if relayed && quiet => ASK_ISOLATED,
            false if relayed => return None,
            false => (ASK_BACKOFF_MIN * 2u32.pow(self.repeat_count.min(8))).min(ASK_BACKOFF_MAX),
        };
        if count == 0 || self.last_asked.is_some_and(|at| now < at + interval) {
            return None;
        }
        self.repeat_count += u32::from(self.last_answer.is_some());
        self.last_asked = Some(now);
        let number = self.asked_count % count;
        self.asked_count += 1;
        let seed = self.seeds.get(number).copied();
        seed.or_else(|| self.listed.get(number - self.seeds.len()).copied())
    }
}
