//! Budget of calls that are repeated at a second server.
//!
//! The budget holds for all entries together, without coordination. Each entry
//! limits its repeats to the allowed ratio of its own calls, so that the sum
//! keeps to the ratio for any number of entries. When an entry sees less than one
//! call per second, this ratio alone rounds down to no repeats. A fixed number of
//! additional repeats is therefore allowed, of which each entry has an equal part.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time slices of the sliding window. The counts of a window are off by at most
/// one slice.
const SLICES: u32 = 10;

/// Limit on the repeats of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimit {
    /// Allowed repeats per call.
    pub ratio: f64,
    /// The time window over which calls and repeats are counted.
    pub window: Duration,
    /// Additional repeats per window that all entries together may make.
    pub slack: f64,
}

/// The fraction of the slack that entries use. The rest covers counts that are off by one
/// slice.
const USED_SLACK: f64 = 0.4;

/// Counts the calls and repeats of each service.
#[derive(Debug)]
pub struct RepeatBudget {
    limit: RepeatLimit,
    /// When the entry may use its part of the slack: a window after its start, since it
    /// does not know what it used before.
    slack_from: Instant,
    /// Number of entries that share the slack; 0 while unknown.
    entries: usize,
    services: HashMap<Rc<str>, VecDeque<Slice>>,
}

/// What the budget of one service is computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Number of entries that share the slack; 0 while unknown.
    pub entries: usize,
    /// Calls in the window.
    pub calls: u32,
    /// Repeats in the window.
    pub repeats: u32,
}

/// The counts of one time slice.
#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Instant,
    calls: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Creates the budget of an entry that starts now.
    #[must_use]
    pub fn new(now: Instant, limit: RepeatLimit) -> Self {
        Self {
            limit,
            slack_from: now + limit.window,
            entries: 0,
            services: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Counts a call, when it is first sent.
    pub fn record_call(&mut self, now: Instant, service: &Rc<str>) {
        self.current_slice(now, service).calls += 1;
    }

    /// Counts one repeat if the limit allows it; returns whether it does.
    pub fn take_repeat(&mut self, now: Instant, service: &Rc<str>) -> bool {
        let ratio = self.limit.ratio;
        let slack = match self.entries {
            0 => 0.0,
            _ if now < self.slack_from => 0.0,
            entries => self.limit.slack * USED_SLACK / entries as f64,
        };
        let usage = self.usage(now, service);
        if f64::from(usage.repeats + 1) > f64::from(usage.calls) * ratio + slack {
            return false;
        }
        self.current_slice(now, service).repeats += 1;
        true
    }

    /// The counts from which the budget of a service is computed, for logs.
    pub fn usage(&mut self, now: Instant, service: &Rc<str>) -> BudgetUsage {
        self.current_slice(now, service);
        let slices = self.services.get(service).into_iter().flatten();
        slices.fold(
            BudgetUsage {
                entries: self.entries,
                calls: 0,
                repeats: 0,
            },
            |usage, slice| BudgetUsage {
                calls: usage.calls + slice.calls,
                repeats: usage.repeats + slice.repeats,
                ..usage
            },
        )
    }

    /// The slice that contains `now`. Drops slices that are outside the window.
    fn current_slice(&mut self, now: Instant, service: &Rc<str>) -> &mut Slice {
        let RepeatLimit { window, .. } = self.limit;
        if !self.services.contains_key(service) {
            self.services.insert(Rc::clone(service), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("inserted above");
        while slices.front().is_some_and(|s| now >= s.start + window) {
            slices.pop_front();
        }
        let is_current = |s: &Slice| now < s.start + window / SLICES;
        if !slices.back().is_some_and(is_current) {
            slices.push_back(Slice {
                start: now,
                calls: 0,
                repeats: 0,
            });
        }
        slices.back_mut().expect("pushed above")
    }
}
