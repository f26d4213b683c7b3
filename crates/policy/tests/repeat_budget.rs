//! Limits on repeats by an entry's own calls and its part of the slack.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::repeat_budget::{RepeatBudget, RepeatLimit};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(10);

fn budget() -> RepeatBudget {
    let limit = RepeatLimit {
        ratio: 0.2,
        window: WINDOW,
        slack: 0.0,
    };
    RepeatBudget::new(Instant::now(), limit)
}

/// Guards against entries with less than one call per second having no repeats at
/// all, while all of them together may make hundreds. For any number of entries,
/// the sum of repeats stays within ratio and slack, and uses a part of the slack.
#[rstest]
#[case::few(4, 60.0)]
#[case::hundreds(467, 1000.0)]
#[case::thousands(2000, 1000.0)]
fn slack_is_shared(#[case] entries: usize, #[case] slack: f64) {
    let (start, service) = (Instant::now(), Rc::from("app"));
    let now = start + WINDOW * 2;
    let limit = RepeatLimit {
        ratio: 0.2,
        window: WINDOW,
        slack,
    };
    let mut repeats = 0;
    for _ in 0..entries {
        let mut budget = RepeatBudget::new(start, limit);
        budget.set_entries(entries);
        for _ in 0..4 {
            budget.record_call(now, &service);
        }
        while budget.take_repeat(now, &service) {
            repeats += 1;
        }
    }
    let allowed = entries as f64 * 4.0 * 0.2 + slack;
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
    assert!(
        f64::from(repeats) >= allowed * 0.3,
        "{repeats} of {allowed}"
    );
}

/// Guards against an entry taking all of the slack before the number of entries is
/// known.
#[test]
fn no_slack_before_entries_are_counted() {
    let (start, service) = (Instant::now(), Rc::from("app"));
    let now = start + WINDOW * 2;
    let limit = RepeatLimit {
        ratio: 0.2,
        window: WINDOW,
        slack: 100.0,
    };
    let mut budget = RepeatBudget::new(start, limit);
    budget.record_call(now, &service);
    assert!(!budget.take_repeat(now, &service));
}

/// The credit of 15 calls, two thirds of the ratio, allows two repeats and no third one.
#[test]
fn repeats_stop_at_the_ratio() {
    let (mut budget, now, service) = (budget(), Instant::now(), Rc::from("app"));
    for _ in 0..15 {
        budget.record_call(now, &service);
    }
    assert!(budget.take_repeat(now, &service));
    assert!(budget.take_repeat(now, &service));
    assert!(!budget.take_repeat(now, &service));
}

#[test]
fn services_have_separate_budgets() {
    let (mut budget, now) = (budget(), Instant::now());
    let (busy, idle) = (Rc::from("busy"), Rc::from("idle"));
    for _ in 0..100 {
        budget.record_call(now, &busy);
    }
    assert!(!budget.take_repeat(now, &idle));
}

#[test]
fn calls_outside_the_window_do_not_count() {
    let (mut budget, now, service) = (budget(), Instant::now(), Rc::from("app"));
    for _ in 0..100 {
        budget.record_call(now, &service);
    }
    assert!(!budget.take_repeat(now + WINDOW, &service));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// At each repeat, the window before it has no more repeats than the ratio of
    /// the calls in it allows. Since repeats are counted by time slices, those in
    /// the oldest tenth of the window are not checked.
    #[test]
    fn no_window_above_the_ratio(steps in proptest::collection::vec((0u64..400, any::<bool>()), 1..400)) {
        let (mut budget, service) = (budget(), Rc::from("app"));
        let (mut now, mut calls, mut repeats) = (Instant::now(), Vec::new(), Vec::new());
        for (ms, repeat) in steps {
            now += Duration::from_millis(ms);
            if !repeat {
                budget.record_call(now, &service);
                calls.push(now);
            } else if budget.take_repeat(now, &service) {
                repeats.push(now);
                let within = |times: &[Instant], span: Duration| {
                    times.iter().filter(|at| now < **at + span).count() as f64
                };
                let repeated = within(&repeats, WINDOW * 9 / 10);
                prop_assert!(repeated <= 0.2 * within(&calls, WINDOW));
            }
        }
    }
}
