//! Counts the requests of each workspace per time window and decides when a window is
//! reported.
//!
//! Load pattern: two dozen entries count the requests that begin at them, and may be
//! killed, restarted, cut off or suspended at any moment. Each entry sends its counts
//! so far to the candidates for the duty several times a second. The counts of one
//! incarnation only grow, so duplicate and late messages change nothing. A window is
//! reported once every known incarnation has closed it, or when waiting longer would
//! make the report late. The counts to report are first written to the store, and a
//! successor reports exactly these. See docs/DECISIONS/0701-duties.md.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time between the end of a window and its closing. It exceeds the clock differences
/// between hosts, and a request that is counted late still finds the window open.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(150);

/// Time without a message after which an incarnation may have ended. Its host may also
/// be cut off, with counts that no other host has.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of the time until the report deadline for which silent incarnations are
/// awaited. The rest is left for a successor to take over and report.
const MAX_WAIT_SHARE: f64 = 0.45;

/// Time for which a new holder gathers counts before it reports: entries must first
/// learn of the holder and send it their counts.
const GATHER_TIME: Duration = Duration::from_millis(800);

/// The number of an entry's incarnation.
pub type IncarnationId = u64;

/// Number of requests by workspace.
pub type WorkspaceCounts = BTreeMap<String, u64>;

/// The layout of the reported time windows.
#[derive(Debug, Clone, Copy)]
pub struct UsageWindows {
    /// Length of each window; the first one began at the Unix epoch.
    pub length: Duration,
    /// Time after the end of a window by which its report is due.
    pub deadline: Duration,
}

impl UsageWindows {
    /// The window that contains `time`, counted from the Unix epoch.
    #[must_use]
    pub fn containing(&self, time: Duration) -> u64 {
        (time.as_nanos() / self.length.as_nanos().max(1)) as u64
    }

    /// The end of a window, as time since the Unix epoch.
    #[must_use]
    pub fn end(&self, window: u64) -> Duration {
        const SECOND: u128 = 1_000_000_000;
        let nanos = self.length.as_nanos() * (u128::from(window) + 1);
        Duration::new((nanos / SECOND) as u64, (nanos % SECOND) as u32)
    }

    /// The first window that is still open at `time`.
    #[must_use]
    pub fn first_open(&self, time: Duration) -> u64 {
        self.containing(time.saturating_sub(CLOCK_TOLERANCE))
    }
}

/// The counts of one incarnation in one window so far, as sent to other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCounts {
    /// The incarnation that counted.
    pub incarnation: IncarnationId,
    /// This incarnation has closed all windows before this one.
    pub closed_before: u64,
    /// The window that the counts belong to.
    pub window: u64,
    /// Total requests of the window, including counts that are sent in other messages.
    pub total: u64,
    /// The counts, or a part of them.
    pub counts: WorkspaceCounts,
}

/// The usage data that the store keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageState {
    /// The first window that is not finalized.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Finalized windows with the counts to report, until the platform has accepted
    /// them.
    #[serde(rename = "fixed")]
    pub finalized: BTreeMap<u64, WorkspaceCounts>,
    /// Later windows, with the counts known when this record was written.
    pub open: BTreeMap<u64, WindowUsage>,
}

impl UsageState {
    /// The state of a duty that has had no holder before. It starts with `window`,
    /// although nobody may have counted the beginning of that window.
    #[must_use]
    pub fn starting_at(window: u64) -> Self {
        Self {
            next_window: window,
            ..Self::default()
        }
    }

    /// Advances state read from the store to what this entry knows: all windows before
    /// `next` were finalized, those in `local` by this entry. A store that was restored
    /// from an old copy shows them as open, but they may already have been reported and
    /// would be finalized again with other counts. Returns the windows whose counts are
    /// lost.
    pub fn catch_up(&mut self, next: u64, local: &Self) -> Vec<u64> {
        let mut lost = Vec::new();
        for window in self.next_window..next {
            self.open.remove(&window);
            match local.finalized.get(&window) {
                Some(counts) => drop(self.finalized.insert(window, counts.clone())),
                None => lost.push(window),
            }
        }
        self.next_window = self.next_window.max(next);
        lost
    }
}

/// The counts of several incarnations in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WindowUsage {
    /// Sum of their counts.
    pub counts: WorkspaceCounts,
    /// The incarnations with the total of each.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<IncarnationId, u64>,
}

/// The counts of all incarnations, as known to one of them.
#[derive(Debug)]
pub struct UsageCounter {
    incarnation: IncarnationId,
    windows: UsageWindows,
    incarnations: HashMap<IncarnationId, IncarnationUsage>,
}

/// The counts of one incarnation.
#[derive(Debug)]
struct IncarnationUsage {
    last_heard: Instant,
    closed_before: u64,
    windows: BTreeMap<u64, Tally>,
}

#[derive(Debug, Default)]
struct Tally {
    counts: WorkspaceCounts,
    /// The total once all counts have been received.
    total: u64,
}

impl UsageCounter {
    /// Creates the counter of an incarnation that has counted nothing.
    #[must_use]
    pub fn new(incarnation: IncarnationId, windows: UsageWindows) -> Self {
        Self {
            incarnation,
            windows,
            incarnations: HashMap::new(),
        }
    }

    /// The incarnation that this counter belongs to.
    #[must_use]
    pub fn own_incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Known requests of an incarnation, over all windows still held.
    #[must_use]
    pub fn requests_of(&self, incarnation: IncarnationId) -> u64 {
        let windows = self
            .incarnations
            .get(&incarnation)
            .into_iter()
            .flat_map(|usage| usage.windows.values());
        windows.flat_map(|tally| tally.counts.values()).sum()
    }

    /// The layout of the time windows.
    #[must_use]
    pub fn windows(&self) -> UsageWindows {
        self.windows
    }

    /// Counts a request of a workspace that began at `time`.
    pub fn count_request(&mut self, now: Instant, time: Duration, workspace: &str) {
        let window = self.windows.containing(time);
        let usage = self.incarnation_mut(now, self.incarnation);
        // A window that was announced as closed gets no more counts.
        let window = window.max(usage.closed_before);
        let tally = usage.windows.entry(window).or_default();
        tally.total += 1;
        match tally.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                tally.counts.insert(workspace.to_owned(), 1);
            }
        }
    }

    /// The counts of this incarnation in the windows from `from` on. Windows without
    /// requests are included, since receivers must learn that they are closed.
    pub fn own_counts(&mut self, now: Instant, time: Duration, from: u64) -> Vec<WindowCounts> {
        let (incarnation, closed_before, current) = (
            self.incarnation,
            self.windows.first_open(time),
            self.windows.containing(time),
        );
        let from = from.max(current.saturating_sub(self.reportable_windows()));
        let usage = self.incarnation_mut(now, incarnation);
        usage.last_heard = now;
        usage.closed_before = usage.closed_before.max(closed_before);
        let closed_before = usage.closed_before;
        let report = |window: u64| {
            let tally = usage.windows.get(&window);
            WindowCounts {
                incarnation,
                closed_before,
                window,
                total: tally.map_or(0, |t| t.total),
                counts: tally.map(|t| t.counts.clone()).unwrap_or_default(),
            }
        };
        (from..=current).map(report).collect()
    }

    /// The number of windows before the current one whose counts may still be reported.
    fn reportable_windows(&self) -> u64 {
        self.windows.containing(self.windows.deadline) + 1
    }

    /// Records the counts of another incarnation.
    pub fn observe(&mut self, now: Instant, report: WindowCounts) {
        if report.incarnation == self.incarnation {
            return;
        }
        let usage = self.incarnation_mut(now, report.incarnation);
        usage.last_heard = now;
        usage.closed_before = usage.closed_before.max(report.closed_before);
        let tally = usage.windows.entry(report.window).or_default();
        tally.total = tally.total.max(report.total);
        for (workspace, count) in report.counts {
            let known = tally.counts.entry(workspace).or_default();
            *known = (*known).max(count);
        }
    }

    fn incarnation_mut(
        &mut self,
        now: Instant,
        incarnation: IncarnationId,
    ) -> &mut IncarnationUsage {
        self.incarnations
            .entry(incarnation)
            .or_insert(IncarnationUsage {
                last_heard: now,
                closed_before: 0,
                windows: BTreeMap::new(),
            })
    }

    /// Whether every known incarnation has closed the window and all its counts have
    /// arrived. This waits for a silent incarnation, whose host may become reachable
    /// again; [`UsageCounter::finalize`] limits the wait.
    #[must_use]
    pub fn is_complete(&self, window: u64) -> bool {
        let has_all_counts = |usage: &IncarnationUsage| {
            let tally = usage.windows.get(&window);
            let received = tally.is_none_or(|t| t.counts.values().sum::<u64>() >= t.total);
            usage.closed_before > window && received
        };
        self.incarnations.values().all(has_all_counts)
    }

    /// The number of incarnations that are silent or have not announced that they
    /// closed `window`; used for logs.
    #[must_use]
    pub fn pending_incarnations(&self, now: Instant, window: u64) -> usize {
        let is_pending = |usage: &&IncarnationUsage| {
            usage.closed_before <= window || now > usage.last_heard + SILENCE_TIMEOUT
        };
        self.incarnations.values().filter(is_pending).count()
    }

    /// The counts of a window: those known here, and those in the store from
    /// incarnations that ended before this one received their counts. For the latter
    /// only the totals per incarnation are known, so the stored counts are scaled to
    /// the unknown share.
    #[must_use]
    pub fn sum(&self, window: u64, state: &UsageState) -> WindowUsage {
        let mut sum = WindowUsage::default();
        for (incarnation, usage) in &self.incarnations {
            let Some(tally) = usage.windows.get(&window) else {
                continue;
            };
            sum.incarnations
                .insert(*incarnation, tally.counts.values().sum());
            for (workspace, count) in &tally.counts {
                *sum.counts.entry(workspace.clone()).or_default() += count;
            }
        }
        let Some(stored) = state.open.get(&window) else {
            return sum;
        };
        let known = |incarnation| sum.incarnations.get(incarnation).copied().unwrap_or(0);
        let unknown = stored
            .incarnations
            .iter()
            .map(|(incarnation, count)| count.saturating_sub(known(incarnation)));
        let unknown: u64 = unknown.sum();
        let stored_total: u64 = stored.incarnations.values().sum::<u64>().max(1);
        for (workspace, count) in &stored.counts {
            let share = (count * unknown + stored_total / 2) / stored_total;
            if share > 0 {
                *sum.counts.entry(workspace.clone()).or_default() += share;
            }
        }
        for (incarnation, total) in &stored.incarnations {
            let known = sum.incarnations.entry(*incarnation).or_default();
            *known = (*known).max(*total);
        }
        sum
    }

    /// Finalizes all windows that can be reported at `time`, and returns those whose
    /// report deadline has passed. The duty has been held for `held_for`; `gathered`
    /// says whether all present entries have sent their counts since.
    pub fn finalize(
        &self,
        time: Duration,
        held_for: Duration,
        gathered: bool,
        state: &mut UsageState,
    ) -> Vec<u64> {
        let mut missed = Vec::new();
        let closed_before = self.windows.first_open(time);
        let gathered = held_for >= GATHER_TIME && gathered;
        while state.next_window < closed_before {
            let window = state.next_window;
            let since_end = time.saturating_sub(self.windows.end(window));
            let wait_over = since_end >= self.windows.deadline.mul_f64(MAX_WAIT_SHARE)
                && held_for >= GATHER_TIME;
            let complete = gathered && self.is_complete(window);
            if !(wait_over || complete) {
                break;
            }
            if since_end > self.windows.deadline {
                missed.push(window);
            } else {
                let sum = self.sum(window, state);
                state.finalized.insert(window, sum.counts);
            }
            state.open.remove(&window);
            state.next_window += 1;
        }
        missed
    }

    /// The state to write to the store, with all that is known now of the open windows.
    #[must_use]
    pub fn snapshot(&self, time: Duration, state: &UsageState) -> UsageState {
        let windows = state.next_window..=self.windows.containing(time);
        let open = windows.map(|w| (w, self.sum(w, state)));
        UsageState {
            open: open.filter(|(_, sum)| !sum.counts.is_empty()).collect(),
            ..state.clone()
        }
    }

    /// Drops windows before `window`, and silent incarnations that have no counts in
    /// later ones.
    pub fn expire(&mut self, now: Instant, window: u64) {
        for usage in self.incarnations.values_mut() {
            usage.windows.retain(|w, _| *w >= window);
        }
        let own = self.incarnation;
        self.incarnations.retain(|incarnation, usage| {
            *incarnation == own
                || now <= usage.last_heard + SILENCE_TIMEOUT
                || !usage.windows.is_empty()
        });
    }
}
