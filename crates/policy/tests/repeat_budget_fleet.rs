//! The repeats of all entries together, over restarts and callers that change entries.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::repeat_budget::{RepeatBudget, RepeatLimit};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

const LIMIT: RepeatLimit = RepeatLimit {
    ratio: 0.2,
    window: WINDOW,
    slack: 100.0,
};

/// Time between two calls to the fleet.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// Entries that repeat whenever their budgets allow it.
struct Fleet {
    limit: RepeatLimit,
    now: Instant,
    service: Rc<str>,
    budgets: Vec<RepeatBudget>,
    calls: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl Fleet {
    /// A fleet that has been running for longer than a window.
    fn new(entries: usize, limit: RepeatLimit) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            limit,
            now,
            service: Rc::from("llm"),
            budgets: (0..entries)
                .map(|_| RepeatBudget::new(now, limit))
                .collect(),
            calls: Vec::new(),
            repeats: Vec::new(),
        };
        fleet.set_entries(entries);
        fleet.now += WINDOW * 2;
        fleet
    }

    fn set_entries(&mut self, entries: usize) {
        for budget in &mut self.budgets {
            budget.set_entries(entries);
        }
    }

    /// Restarts an entry, which knows no other one at first.
    fn restart(&mut self, entry: usize) {
        self.budgets[entry] = RepeatBudget::new(self.now, self.limit);
        self.budgets[entry].set_entries(1);
    }

    /// Spreads calls over the given entries at a steady rate.
    fn call(&mut self, entries: std::ops::Range<usize>, span: Duration) {
        let end = self.now + span;
        let mut entry = entries.clone().cycle();
        while self.now < end {
            self.now += CALL_INTERVAL;
            let entry = entry.next().expect("at least one entry");
            self.budgets[entry].record_call(self.now, &self.service);
            self.calls.push(self.now);
        }
    }

    /// Repeats calls until the budget of an entry is exhausted.
    fn repeat_all(&mut self, entry: usize) {
        while self.budgets[entry].take_repeat(self.now, &self.service) {
            self.repeats.push(self.now);
        }
    }

    fn repeat_all_everywhere(&mut self) {
        for entry in 0..self.budgets.len() {
            self.repeat_all(entry);
        }
    }

    /// Checks each window that begins with a repeat. The calls are those of the window,
    /// of the one before it or of the one half a window before it.
    fn assert_within_limit(&self) {
        let between = |times: &[Instant], from: Instant, to: Instant| {
            times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
        };
        for &from in &self.repeats {
            let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
            let calls = shifts.map(|s| between(&self.calls, from - s, from - s + WINDOW));
            let calls = calls.into_iter().max().unwrap_or(0);
            let allowed = calls as f64 * self.limit.ratio + self.limit.slack;
            let repeats = between(&self.repeats, from, from + WINDOW);
            assert!(
                repeats as f64 <= allowed,
                "{repeats} repeats of {calls} calls, allowed {allowed}"
            );
        }
    }
}

/// Guards against entries that all restart and repeat as much again as before.
#[test]
fn repeats_after_restart_of_all() {
    let mut fleet = Fleet::new(30, LIMIT);
    fleet.call(0..30, WINDOW);
    fleet.repeat_all_everywhere();
    for entry in 0..30 {
        fleet.restart(entry);
    }
    fleet.call(0..30, Duration::from_secs(1));
    fleet.repeat_all_everywhere();
    fleet.set_entries(30);
    for _ in 0..8 {
        fleet.call(0..30, Duration::from_secs(1));
        fleet.repeat_all_everywhere();
    }
    fleet.assert_within_limit();
}

/// Guards against each of many starting entries taking the slack of all, as it knows no
/// other entry yet.
#[test]
fn slack_taken_before_other_entries_are_known() {
    let mut fleet = Fleet::new(30, LIMIT);
    for entry in 0..30 {
        fleet.restart(entry);
    }
    fleet.call(0..30, Duration::from_millis(500));
    fleet.repeat_all_everywhere();
    fleet.assert_within_limit();
}

/// Guards against entries that restart again and again and take a new part of the slack
/// each time.
#[test]
fn slack_taken_after_each_restart() {
    let mut fleet = Fleet::new(4, LIMIT);
    for _ in 0..9 {
        for entry in 0..4 {
            fleet.restart(entry);
        }
        fleet.set_entries(4);
        fleet.call(0..4, CALL_INTERVAL * 4);
        fleet.repeat_all_everywhere();
        fleet.now += Duration::from_secs(1);
    }
    fleet.assert_within_limit();
}

/// Guards against calls counting at two entries within one window, when callers move from
/// one to the other.
#[test]
fn repeats_of_callers_that_change_entries() {
    let mut fleet = Fleet::new(2, LIMIT);
    fleet.call(0..1, WINDOW);
    fleet.repeat_all(0);
    fleet.call(1..2, WINDOW - CALL_INTERVAL * 2);
    fleet.repeat_all(1);
    fleet.assert_within_limit();
}

/// Guards against repeats at the end of a time slice being forgotten with its start.
#[test]
fn repeats_forgotten_with_their_slice() {
    let mut fleet = Fleet::new(1, LIMIT);
    fleet.call(0..1, WINDOW - CALL_INTERVAL * 20);
    fleet.repeat_all(0);
    fleet.call(0..1, WINDOW - CALL_INTERVAL * 20);
    fleet.repeat_all(0);
    fleet.assert_within_limit();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against any order of calls at any entries, restarts and repeats that exceeds
    /// the limit, at a steady total rate of calls.
    #[test]
    fn repeats_of_all_entries_stay_within_limit(
        steps in proptest::collection::vec((0usize..6, 0usize..6, 0u32..20), 300..800),
    ) {
        let mut fleet = Fleet::new(6, RepeatLimit { slack: 30.0, ..LIMIT });
        for (entry, other, event) in steps {
            fleet.call(entry..entry + 1, CALL_INTERVAL * 8);
            match event {
                0 => fleet.restart(other),
                1 => fleet.set_entries(6),
                2..6 => fleet.repeat_all(other),
                _ => {}
            }
        }
        fleet.assert_within_limit();
    }
}
