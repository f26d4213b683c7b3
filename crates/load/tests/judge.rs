//! The judge itself: each thing that must never happen is fed to it once and
//! has to be counted, and what is allowed must not be.

use std::collections::BTreeMap;
use std::time::Duration;

use load::arrivals::{Burst, Flow, Kind, Sender};
use load::caller::Told;
use load::{Arrival, Ending, Mix, Outcome, Report, judge};
use rstest::rstest;
use standin::Ledger;
use standin::ledger::RequestCounters;

const TOKENS: u32 = 10;

fn mix() -> Mix {
    let flow = Flow {
        tier: 1,
        rate: 20.0,
        kind: Kind::Completion,
        prompt: 50.0,
        shared: 0,
        prefixes: 1,
        answer: 10.0,
        spread: 0.5,
        workspaces: vec![Sender {
            token: "t".to_owned(),
            weight: 1.0,
        }],
        whole: 0.0,
        leaving: 0.0,
        once: 0.0,
        keyed: 0.0,
        first_ms: 100.0,
        gap_ms: 20.0,
        whole_ms: 1000.0,
    };
    Mix {
        fleet: "test".to_owned(),
        seed: 1,
        seconds: 3.0,
        classes: BTreeMap::from([("a".to_owned(), flow)]),
        burst: None,
    }
}

fn arrival() -> Arrival {
    Arrival {
        at: Duration::ZERO,
        class: "a".to_owned(),
        kind: Kind::Completion,
        token: "t".to_owned(),
        mark: "m".to_owned(),
        prompt: 1,
        shared: 0,
        prefix: 0,
        answer: TOKENS,
        stream: true,
        leaves: None,
        repeatable: false,
        keyed: false,
    }
}

fn outcome(ending: Ending) -> Outcome {
    Outcome {
        arrival: arrival(),
        first: Some(Duration::from_millis(50)),
        total: Duration::from_millis(150),
        tokens: TOKENS,
        mixed: false,
        ending,
    }
}

fn told(ran: &str) -> Told {
    Told {
        reason: "shed".to_owned(),
        ran: ran.to_owned(),
    }
}

/// Judges one outcome of a request that the stand-ins saw run `runs` times.
fn judged(outcome: Outcome, runs: u32) -> Report {
    let ledger = Ledger::default();
    let account = ledger.counters("m");
    RequestCounters::add(&account.runs, runs);
    RequestCounters::add(&account.output_tokens, runs * TOKENS);
    judge::judge(&mix(), 1, &[outcome], &ledger)
}

fn faults(report: &Report) -> [u64; 4] {
    [
        report.doubled,
        report.lost,
        report.mixed,
        report.false_not_run,
    ]
}

#[rstest]
#[case::whole(Ending::Whole, 1, [0, 0, 0, 0])]
#[case::refused(Ending::Refused(told("no")), 0, [0, 0, 0, 0])]
#[case::broken_honestly(Ending::Broken(told("partial")), 1, [0, 0, 0, 0])]
#[case::unknown_and_ran(Ending::Refused(told("unknown")), 1, [0, 0, 0, 0])]
#[case::caller_left(Ending::Left, 1, [0, 0, 0, 0])]
#[case::doubled(Ending::Whole, 2, [1, 0, 0, 0])]
#[case::lost(Ending::Lost("reset".to_owned()), 1, [0, 1, 0, 0])]
#[case::refused_but_ran(Ending::Refused(told("no")), 1, [0, 0, 0, 1])]
#[case::broken_but_ran(Ending::Broken(told("no")), 1, [0, 0, 0, 1])]
fn judge_counts(#[case] ending: Ending, #[case] runs: u32, #[case] expected: [u64; 4]) {
    let report = judged(outcome(ending), runs);
    assert_eq!(faults(&report), expected);
    assert_eq!(report.sound(), expected == [0; 4]);
}

#[test]
fn judge_mixed_piece() {
    let mut outcome = outcome(Ending::Whole);
    outcome.mixed = true;
    assert_eq!(faults(&judged(outcome, 1)), [0, 0, 1, 0]);
}

#[test]
fn judge_short_answer_called_whole() {
    let mut outcome = outcome(Ending::Whole);
    outcome.tokens = TOKENS - 1;
    let report = judged(outcome, 1);
    assert_eq!(faults(&report), [0, 1, 0, 0]);
    assert_eq!(report.classes["a"].in_target, 0);
}

#[test]
fn judge_call_without_outcome() {
    let report = judge::judge(&mix(), 3, &[], &Ledger::default());
    assert_eq!(report.lost, 3);
}

#[test]
fn judge_repeatable_run_twice_is_waste_only() {
    let mut outcome = outcome(Ending::Whole);
    outcome.arrival.repeatable = true;
    let report = judged(outcome, 2);
    assert_eq!(faults(&report), [0; 4]);
    assert_eq!(report.tokens_wasted, u64::from(TOKENS));
    assert!((report.wasted_share - 0.5).abs() < 1e-9);
}

#[rstest]
#[case::in_time(50, 150, true)]
#[case::late_first(101, 150, false)]
#[case::slow_tokens(50, 250, false)]
#[case::late_whole(50, 1001, false)]
fn in_target_limits(#[case] first: u64, #[case] total: u64, #[case] expected: bool) {
    let mut outcome = outcome(Ending::Whole);
    outcome.first = Some(Duration::from_millis(first));
    outcome.total = Duration::from_millis(total);
    let mix = mix();
    assert_eq!(judge::in_target(&mix.classes["a"], &outcome), expected);
}

/// The share counts refusals against the router: they were offered.
#[test]
fn judge_attainment_over_offered() {
    let outcomes = [
        outcome(Ending::Whole),
        outcome(Ending::Refused(told("no"))),
        outcome(Ending::Broken(told("partial"))),
        outcome(Ending::Left),
    ];
    let report = judge::judge(&mix(), 4, &outcomes, &Ledger::default());
    let class = &report.classes["a"];
    assert_eq!((class.offered, class.accepted, class.in_target), (4, 3, 1));
    assert!((class.attainment - 0.25).abs() < 1e-9);
    assert_eq!(class.refused["shed"], 1);
}

/// Arms of a comparison must face the same requests, and a burst must leave
/// the usual ones as they are.
#[test]
fn arrivals_burst_only_adds() {
    let usual = mix();
    let mut burst = usual.clone();
    burst.burst = Some(Burst {
        class: "a".to_owned(),
        times: 5.0,
        from: 1.0,
        until: 2.0,
    });

    let plain: Vec<_> = usual.arrivals();
    let more = burst.arrivals();
    let kept: Vec<_> = more.iter().filter(|a| a.mark.contains("-u")).collect();
    let same = plain
        .iter()
        .zip(&kept)
        .all(|(a, b)| (a.at, &a.mark, a.prompt, a.answer) == (b.at, &b.mark, b.prompt, b.answer));
    assert!(same && plain.len() == kept.len() && more.len() > plain.len());
    let added = more.iter().filter(|a| a.mark.contains("-b"));
    for arrival in added {
        assert!((1.0..2.0).contains(&arrival.at.as_secs_f64()));
    }
}
