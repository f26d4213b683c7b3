//! What each workspace has used in each window of time, and when that is
//! reported.
//!
//! Load pattern: two dozen entries count the requests that begin through them,
//! and are killed, restarted, cut off or suspended at any moment. Each tells
//! the candidates for the duty its counts so far several times a second;
//! counts of one life only grow, so that what is told twice or late changes
//! nothing. A window is reported once all lives that are heard have closed it,
//! or when waiting longer would make the report late. What is reported is
//! written to the store first, and whoever follows reports exactly that. See
//! docs/DECISIONS/0701-duties.md.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How long after its end a window is closed: clocks of hosts are apart by
/// less, and a request that was counted late still finds it open.
const CLOSE: Duration = Duration::from_millis(150);

/// A life that was not heard for so long may have ended. Its host may as well
/// be cut off, with counts that nobody else has.
const SILENT: Duration = Duration::from_secs(2);

/// Part of the time until a report is due for which silent lives are waited
/// for. The rest is for a successor to take over and report.
const WAIT_SHARE: f64 = 0.45;

/// How long a new holder gathers counts before it reports: entries learn of it
/// and tell it theirs.
const GATHER: Duration = Duration::from_millis(800);

/// The number of a life.
pub type IncarnationId = u64;

/// Requests by workspace.
pub type WorkspaceCounts = BTreeMap<String, u64>;

/// The windows of time that are reported.
#[derive(Debug, Clone, Copy)]
pub struct UsageWindows {
    /// How long each is; the first began with the Unix epoch.
    pub length: Duration,
    /// How long after its end the report is due.
    pub deadline: Duration,
}

impl UsageWindows {
    /// The window that `time` falls into, counted from the Unix epoch.
    #[must_use]
    pub fn containing(&self, time: Duration) -> u64 {
        (time.as_nanos() / self.length.as_nanos().max(1)) as u64
    }

    /// When a window ends, from the Unix epoch.
    #[must_use]
    pub fn end(&self, window: u64) -> Duration {
        const SECOND: u128 = 1_000_000_000;
        let nanos = self.length.as_nanos() * (u128::from(window) + 1);
        Duration::new((nanos / SECOND) as u64, (nanos % SECOND) as u32)
    }

    /// The first window that is not closed at `time`.
    #[must_use]
    pub fn first_open(&self, time: Duration) -> u64 {
        self.containing(time.saturating_sub(CLOSE))
    }
}

/// What one life has counted in one window so far, as it tells the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCounts {
    /// Who counted.
    pub incarnation: IncarnationId,
    /// All windows before this one are closed there.
    pub closed_before: u64,
    /// The window that was counted.
    pub window: u64,
    /// All its counts together, also those that are told separately.
    pub total: u64,
    /// The counts, or a part of them.
    pub counts: WorkspaceCounts,
}

/// What the store keeps of the usage.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageState {
    /// The first window whose counts are not fixed.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Windows with the counts that are reported, until the platform has
    /// accepted them.
    #[serde(rename = "fixed")]
    pub finalized: BTreeMap<u64, WorkspaceCounts>,
    /// Later windows, with what was known when this was written.
    pub open: BTreeMap<u64, WindowUsage>,
}

impl UsageState {
    /// The account of a duty that nobody has held before: it begins with
    /// `window`, whose start nobody may have seen.
    #[must_use]
    pub fn starting_at(window: u64) -> Self {
        Self {
            next_window: window,
            ..Self::default()
        }
    }

    /// Brings an account that was read level with what is known: all windows
    /// before `next` were fixed, `own` of them by this entry. A store that came
    /// back from an old copy shows them as open, but they may have been
    /// reported, and would be fixed again with other counts. Returns those whose
    /// counts nobody has any more.
    pub fn catch_up(&mut self, next: u64, own: &Self) -> Vec<u64> {
        let mut lost = Vec::new();
        for window in self.next_window..next {
            self.open.remove(&window);
            match own.finalized.get(&window) {
                Some(counts) => drop(self.finalized.insert(window, counts.clone())),
                None => lost.push(window),
            }
        }
        self.next_window = self.next_window.max(next);
        lost
    }
}

/// What several lives have counted in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WindowUsage {
    /// Their counts together.
    pub counts: WorkspaceCounts,
    /// The lives, with what each has counted in all.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<IncarnationId, u64>,
}

/// What all lives have counted, as one of them knows.
#[derive(Debug)]
pub struct UsageCounter {
    own: IncarnationId,
    windows: UsageWindows,
    lives: HashMap<IncarnationId, Page>,
}

/// What one life has counted.
#[derive(Debug)]
struct Page {
    heard: Instant,
    closed: u64,
    windows: BTreeMap<u64, Tally>,
}

#[derive(Debug, Default)]
struct Tally {
    counts: WorkspaceCounts,
    /// What the counts come to when all of them are known.
    total: u64,
}

impl UsageCounter {
    /// Makes the books of a life that has counted nothing.
    #[must_use]
    pub fn new(own: IncarnationId, windows: UsageWindows) -> Self {
        Self {
            own,
            windows,
            lives: HashMap::new(),
        }
    }

    /// The life that these books belong to.
    #[must_use]
    pub fn own_incarnation(&self) -> IncarnationId {
        self.own
    }

    /// Requests that are known of a life, of windows that are not forgotten.
    #[must_use]
    pub fn requests_of(&self, life: IncarnationId) -> u64 {
        let windows = self
            .lives
            .get(&life)
            .into_iter()
            .flat_map(|p| p.windows.values());
        windows.flat_map(|tally| tally.counts.values()).sum()
    }

    /// The windows of time.
    #[must_use]
    pub fn windows(&self) -> UsageWindows {
        self.windows
    }

    /// Counts a request of a workspace that began at `time`.
    pub fn count_request(&mut self, now: Instant, time: Duration, workspace: &str) {
        let window = self.windows.containing(time);
        let page = self.page(now, self.own);
        // A window that was told to be closed gets no more counts.
        let window = window.max(page.closed);
        let tally = page.windows.entry(window).or_default();
        tally.total += 1;
        match tally.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                tally.counts.insert(workspace.to_owned(), 1);
            }
        }
    }

    /// What this life has counted in windows from `from` on. Windows of which
    /// it has nothing are told as well, since that they are closed counts.
    pub fn own_counts(&mut self, now: Instant, time: Duration, from: u64) -> Vec<WindowCounts> {
        let (own, closed, at) = (
            self.own,
            self.windows.first_open(time),
            self.windows.containing(time),
        );
        let from = from.max(at.saturating_sub(self.wanted()));
        let page = self.page(now, own);
        page.heard = now;
        page.closed = page.closed.max(closed);
        let closed = page.closed;
        let told = |window: u64| {
            let tally = page.windows.get(&window);
            WindowCounts {
                incarnation: own,
                closed_before: closed,
                window,
                total: tally.map_or(0, |t| t.total),
                counts: tally.map(|t| t.counts.clone()).unwrap_or_default(),
            }
        };
        (from..=at).map(told).collect()
    }

    /// Windows before the present one of which anybody still wants counts.
    fn wanted(&self) -> u64 {
        self.windows.containing(self.windows.deadline) + 1
    }

    /// Takes what another life has counted.
    pub fn observe(&mut self, now: Instant, told: WindowCounts) {
        if told.incarnation == self.own {
            return;
        }
        let page = self.page(now, told.incarnation);
        page.heard = now;
        page.closed = page.closed.max(told.closed_before);
        let tally = page.windows.entry(told.window).or_default();
        tally.total = tally.total.max(told.total);
        for (workspace, count) in told.counts {
            let known = tally.counts.entry(workspace).or_default();
            *known = (*known).max(count);
        }
    }

    fn page(&mut self, now: Instant, life: IncarnationId) -> &mut Page {
        self.lives.entry(life).or_insert(Page {
            heard: now,
            closed: 0,
            windows: BTreeMap::new(),
        })
    }

    /// Whether all that is known to have been counted in a window is here.
    /// A life that has gone silent counts as ended only once its host has had
    /// time to be heard again, which [`Books::fix`] bounds.
    #[must_use]
    pub fn complete(&self, window: u64) -> bool {
        let whole = |page: &Page| {
            let tally = page.windows.get(&window);
            let known = tally.is_none_or(|t| t.counts.values().sum::<u64>() >= t.total);
            page.closed > window && known
        };
        self.lives.values().all(whole)
    }

    /// Lives that were not heard lately, or not yet told that they closed
    /// `window`, for logs.
    #[must_use]
    pub fn pending_incarnations(&self, now: Instant, window: u64) -> usize {
        let silent = |page: &&Page| page.closed <= window || now > page.heard + SILENT;
        self.lives.values().filter(silent).count()
    }

    /// The counts of a window: what this life knows, and what the store keeps
    /// of lives that ended before they told it. Of these only the total is
    /// known; they count with their share of what was kept.
    #[must_use]
    pub fn sum(&self, window: u64, account: &UsageState) -> WindowUsage {
        let mut sum = WindowUsage::default();
        for (life, page) in &self.lives {
            let Some(tally) = page.windows.get(&window) else {
                continue;
            };
            sum.incarnations.insert(*life, tally.counts.values().sum());
            for (workspace, count) in &tally.counts {
                *sum.counts.entry(workspace.clone()).or_default() += count;
            }
        }
        let Some(kept) = account.open.get(&window) else {
            return sum;
        };
        let known = |life| sum.incarnations.get(life).copied().unwrap_or(0);
        let unknown = kept
            .incarnations
            .iter()
            .map(|(l, n)| n.saturating_sub(known(l)));
        let unknown: u64 = unknown.sum();
        let all: u64 = kept.incarnations.values().sum::<u64>().max(1);
        for (workspace, count) in &kept.counts {
            let part = (count * unknown + all / 2) / all;
            if part > 0 {
                *sum.counts.entry(workspace.clone()).or_default() += part;
            }
        }
        for (life, total) in &kept.incarnations {
            let known = sum.incarnations.entry(*life).or_default();
            *known = (*known).max(*total);
        }
        sum
    }

    /// Fixes the counts of all windows that can be reported at `time`, and
    /// returns those that nobody can report in time any more. The duty has
    /// been held for `held`; `gathered` says whether all entries that are there
    /// have told their counts since.
    pub fn finalize(
        &self,
        time: Duration,
        held: Duration,
        gathered: bool,
        account: &mut UsageState,
    ) -> Vec<u64> {
        let mut missed = Vec::new();
        let closed = self.windows.first_open(time);
        let gathered = held >= GATHER && gathered;
        while account.next_window < closed {
            let window = account.next_window;
            let late = time.saturating_sub(self.windows.end(window));
            let waited = late >= self.windows.deadline.mul_f64(WAIT_SHARE) && held >= GATHER;
            let whole = gathered && self.complete(window);
            if !(waited || whole) {
                break;
            }
            if late > self.windows.deadline {
                missed.push(window);
            } else {
                let sum = self.sum(window, account);
                account.finalized.insert(window, sum.counts);
            }
            account.open.remove(&window);
            account.next_window += 1;
        }
        missed
    }

    /// The account as the store should keep it: with all that is known now of
    /// windows that are still open.
    #[must_use]
    pub fn snapshot(&self, time: Duration, account: &UsageState) -> UsageState {
        let windows = account.next_window..=self.windows.containing(time);
        let open = windows.map(|w| (w, self.sum(w, account)));
        UsageState {
            open: open.filter(|(_, sum)| !sum.counts.is_empty()).collect(),
            ..account.clone()
        }
    }

    /// Forgets windows before `window`, and lives that are silent and have
    /// nothing in later ones.
    pub fn expire(&mut self, now: Instant, window: u64) {
        for page in self.lives.values_mut() {
            page.windows.retain(|w, _| *w >= window);
        }
        let own = self.own;
        self.lives.retain(|life, page| {
            *life == own || now <= page.heard + SILENT || !page.windows.is_empty()
        });
    }
}
