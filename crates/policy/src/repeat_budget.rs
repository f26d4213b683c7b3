//! How many calls may be sent to a second server.
//!
//! The budget is one for all entries together, and they do not talk about it.
//! Each keeps its own repeats within the allowed share of its own first
//! sends, so that the sum keeps to the share as well, however many entries
//! there are. Where each sees less than one call a second, that share alone
//! rounds to no repeat at all: of what all entries together may repeat beyond
//! the share, each has an equal part.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Slices of the window; the count of a window is off by one slice at most.
const SLICES: u32 = 10;

/// What repeats may add to a service's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatLimit {
    /// Repeats for each first send.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Duration,
    /// Repeats that all entries together may make beyond that in the span.
    pub slack: f64,
}

/// The part of the slack that is used. Entries that start again count anew, and
/// counts are off by a slice.
const SLACK_SHARE: f64 = 0.4;

/// Counts sends and repeats by service.
#[derive(Debug)]
pub struct RepeatBudget {
    share: RepeatLimit,
    /// Entries among which the slack is shared; 0 while that is not known.
    entries: usize,
    services: HashMap<Rc<str>, VecDeque<Slice>>,
}

/// What happened in one slice of the window.
#[derive(Debug, Clone, Copy)]
struct Slice {
    since: Instant,
    first: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Makes a budget in which nothing was sent yet.
    #[must_use]
    pub fn new(share: RepeatLimit) -> Self {
        Self {
            share,
            entries: 0,
            services: HashMap::new(),
        }
    }

    /// Notes among how many entries the slack is shared.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Notes the first send of a call.
    pub fn record_call(&mut self, now: Instant, service: &Rc<str>) {
        self.slice(now, service).first += 1;
    }

    /// Takes one repeat, if the share has one left.
    pub fn take_repeat(&mut self, now: Instant, service: &Rc<str>) -> bool {
        let ratio = self.share.ratio;
        let slack = match self.entries {
            0 => 0.0,
            entries => self.share.slack * SLACK_SHARE / entries as f64,
        };
        self.slice(now, service);
        let Some(slices) = self.services.get(service) else {
            return false;
        };
        let first: u32 = slices.iter().map(|s| s.first).sum();
        let repeats: u32 = slices.iter().map(|s| s.repeats).sum();
        if f64::from(repeats + 1) > f64::from(first) * ratio + slack {
            return false;
        }
        self.slice(now, service).repeats += 1;
        true
    }

    /// The slice that `now` falls into; drops those out of the window.
    fn slice(&mut self, now: Instant, service: &Rc<str>) -> &mut Slice {
        let RepeatLimit { window, .. } = self.share;
        if !self.services.contains_key(service) {
            self.services.insert(Rc::clone(service), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("inserted above");
        while slices.front().is_some_and(|s| now >= s.since + window) {
            slices.pop_front();
        }
        let fresh = |s: &Slice| now < s.since + window / SLICES;
        if !slices.back().is_some_and(fresh) {
            slices.push_back(Slice {
                since: now,
                first: 0,
                repeats: 0,
            });
        }
        slices.back_mut().expect("pushed above")
    }
}
