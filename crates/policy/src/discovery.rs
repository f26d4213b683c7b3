//! How an entry that starts finds the others.
//!
//! Load pattern: hundreds of entries start in the same moment, half of them
//! once more in the middle of the day. If each announced itself in the store
//! and read there who else is there, a start would cost the store several
//! calls of each. An entry asks the few hosts that its settings name, which
//! answer with whom to ask next; only where none answers, and for the first
//! entries of a zone, is the store's directory used. See
//! docs/DECISIONS/0801-relays.md.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an entry that starts waits to be told of others before it reads the
/// store's tables by itself.
const START_WAIT: Duration = Duration::from_millis(250);

/// The same where all hosts start for the first time. They do so within a few
/// tenths of a second, and no caller waits.
const FIRST_START_WAIT: Duration = Duration::from_millis(600);

/// How long it waits before it uses the directory, in which each start costs
/// several calls.
const DIRECTORY_DELAY: Duration = Duration::from_secs(2);

/// The pause between two questions while nobody has answered yet, one host at a
/// time: hundreds of entries ask the same few.
const ASK_INITIAL: Duration = Duration::from_millis(100);

/// The same once that has failed for [`SETTLE`].
const ASK_ISOLATED: Duration = Duration::from_millis(500);

/// The same once others are known, at first and at the most; it doubles. Those
/// who started in the same moment, and those who were cut off from each other,
/// find each other so.
const ASK_BACKOFF_MIN: Duration = Duration::from_millis(250);
const ASK_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// An entry that is answered by its zone's relays asks nobody else for so long
/// after the last answer.
const RELAY_SILENCE: Duration = Duration::from_secs(10);

/// After so long without any answer it takes itself to be alone.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(25);

/// How often the directory is read while nobody answers, and by the first
/// entries of a zone, which may be unknown to the hosts that are asked.
const READ_ISOLATED: Duration = Duration::from_secs(15);
const READ_RELAY: Duration = Duration::from_secs(30);

/// The pause after the directory could not be reached.
const RETRY_MIN: Duration = Duration::from_millis(400);

/// The longest pause after it could not be reached.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// How long to wait until there is something to do, at the most.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What an entry does next to find others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryStep {
    /// Asks the entry there whom it knows.
    Ask(SocketAddr),
    /// Writes its own address into the directory.
    Announce,
    /// Reads the directory.
    ReadDirectory,
    /// Waits.
    Wait(Duration),
}

/// Finds the other entries.
#[derive(Debug)]
pub struct PeerDiscovery {
    /// Hosts that the settings name.
    seeds: Vec<SocketAddr>,
    /// How long the entry waits to be told of others.
    wait_limit: Duration,
    /// Entries that the directory names.
    listed: Vec<SocketAddr>,
    started: Instant,
    /// When another entry last answered.
    last_answer: Option<Instant>,
    /// When another entry was last asked, how often one was, and how often since
    /// the first answer.
    last_asked: Option<Instant>,
    asked_count: usize,
    repeat_count: u32,
    announced: bool,
    /// Whether one that has answered, or that was named, has been up for longer.
    running: bool,
    /// When the directory is to be read again.
    next_read: Instant,
    /// When it may be written to again.
    retry_at: Instant,
    failures: u32,
}

impl PeerDiscovery {
    /// Makes the finder of an entry that starts now; `first` says whether all
    /// entries start for the first time.
    #[must_use]
    pub fn new(now: Instant, seeds: Vec<SocketAddr>, first_start: bool) -> Self {
        Self {
            next_read: now,
            // Without anybody to ask there is nothing to wait for.
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

    /// Whether the entry may go by what it knows: it has waited long enough to
    /// be told of others, or there is nobody to ask.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.running || now >= self.started + self.wait_limit
    }

    /// Notes that others have been up for longer, and know who there is.
    pub fn found_running(&mut self) {
        self.running = true;
    }

    /// How long ago the entry has started.
    #[must_use]
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// What to do next; `first` says whether the entry is one of the first of
    /// its zone, `relayed` whether these tell the others who there is.
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

    /// Notes that another entry has answered.
    pub fn peer_answered(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Notes whether the directory has taken the address.
    pub fn announce_finished(&mut self, now: Instant, done: bool) {
        self.announced = done;
        self.directory_result(now, done);
    }

    /// Notes that the directory may have lost the address.
    pub fn announcement_lost(&mut self) {
        self.announced = false;
    }

    /// Notes what the directory names; none when it did not answer.
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

    /// Whether nobody has answered for long.
    fn is_isolated(&self, now: Instant) -> bool {
        self.last_answer
            .is_none_or(|at| now >= at + ISOLATION_TIMEOUT)
    }

    /// Whom to ask now, if anybody; `told` says whether relays tell this entry
    /// who there is.
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
