//! The evaluation of outcomes: each kind of violation must be counted, and
//! permitted outcomes must not be.

use std::collections::BTreeMap;
use std::time::Duration;

use load::arrivals::{Burst, ClassWorkload, RequestKind, WeightedWorkspace};
use load::caller::ErrorReply;
use load::{Arrival, Ending, Outcome, Report, Workload, evaluation};
use rstest::rstest;
use standin::Ledger;
use standin::ledger::RequestCounters;

const TOKENS: u32 = 10;

fn workload() -> Workload {
    let flow = ClassWorkload {
        tier: 1,
        rate: 20.0,
        kind: RequestKind::Completion,
        prompt_tokens: 50.0,
        prefix_tokens: 0,
        prefix_count: 1,
        answer_tokens: 10.0,
        sigma: 0.5,
        workspaces: vec![WeightedWorkspace {
            token: "t".to_owned(),
            weight: 1.0,
        }],
        nonstreaming_share: 0.0,
        abandon_share: 0.0,
        nonrepeatable_share: 0.0,
        keyed_share: 0.0,
        first_ms: 100.0,
        gap_ms: 20.0,
        whole_ms: 1000.0,
    };
    Workload {
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
        kind: RequestKind::Completion,
        token: "t".to_owned(),
        mark: "m".to_owned(),
        prompt_tokens: 1,
        prefix_tokens: 0,
        prefix_index: 0,
        answer_tokens: TOKENS,
        stream: true,
        abandon_after: None,
        repeatable: false,
        keyed: false,
    }
}

fn outcome(ending: Ending) -> Outcome {
    Outcome {
        arrival: arrival(),
        ttft: Some(Duration::from_millis(50)),
        total: Duration::from_millis(150),
        tokens: TOKENS,
        corrupted: false,
        ending,
    }
}

fn error_reply(ran: &str) -> ErrorReply {
    ErrorReply {
        reason: "shed".to_owned(),
        ran: ran.to_owned(),
    }
}

/// Evaluates one outcome of a request that ran `runs` times according to the
/// stand-ins.
fn evaluated(outcome: Outcome, runs: u32) -> Report {
    let ledger = Ledger::default();
    let account = ledger.counters("m");
    RequestCounters::add(&account.runs, runs);
    RequestCounters::add(&account.output_tokens, runs * TOKENS);
    evaluation::evaluate(&workload(), 1, &[outcome], &ledger)
}

fn violations(report: &Report) -> [u64; 4] {
    [
        report.duplicated,
        report.lost,
        report.corrupted,
        report.false_not_run,
    ]
}

#[rstest]
#[case::complete(Ending::Completed, 1, [0, 0, 0, 0])]
#[case::refused(Ending::Refused(error_reply("no")), 0, [0, 0, 0, 0])]
#[case::failed_as_partial(Ending::StreamFailed(error_reply("partial")), 1, [0, 0, 0, 0])]
#[case::ran_unknown(Ending::Refused(error_reply("unknown")), 1, [0, 0, 0, 0])]
#[case::caller_disconnected(Ending::Abandoned, 1, [0, 0, 0, 0])]
#[case::duplicated(Ending::Completed, 2, [1, 0, 0, 0])]
#[case::lost(Ending::Lost("reset".to_owned()), 1, [0, 1, 0, 0])]
#[case::refused_as_not_run_but_ran(Ending::Refused(error_reply("no")), 1, [0, 0, 0, 1])]
#[case::failed_as_not_run_but_ran(Ending::StreamFailed(error_reply("no")), 1, [0, 0, 0, 1])]
fn evaluate_counts_violations(
    #[case] ending: Ending,
    #[case] runs: u32,
    #[case] expected: [u64; 4],
) {
    let report = evaluated(outcome(ending), runs);
    assert_eq!(violations(&report), expected);
    assert_eq!(report.is_correct(), expected == [0; 4]);
}

#[test]
fn evaluate_corrupted_token() {
    let mut outcome = outcome(Ending::Completed);
    outcome.corrupted = true;
    assert_eq!(violations(&evaluated(outcome, 1)), [0, 0, 1, 0]);
}

#[test]
fn evaluate_short_answer_ended_as_complete() {
    let mut outcome = outcome(Ending::Completed);
    outcome.tokens = TOKENS - 1;
    let report = evaluated(outcome, 1);
    assert_eq!(violations(&report), [0, 1, 0, 0]);
    assert_eq!(report.classes["a"].in_target, 0);
}

#[test]
fn evaluate_request_without_outcome() {
    let report = evaluation::evaluate(&workload(), 3, &[], &Ledger::default());
    assert_eq!(report.lost, 3);
}

#[test]
fn evaluate_repeatable_request_run_twice() {
    let mut outcome = outcome(Ending::Completed);
    outcome.arrival.repeatable = true;
    let report = evaluated(outcome, 2);
    assert_eq!(violations(&report), [0; 4]);
    assert_eq!(report.tokens_wasted, u64::from(TOKENS));
    assert!((report.wasted_share - 0.5).abs() < 1e-9);
}

#[rstest]
#[case::in_time(50, 150, true)]
#[case::late_first_token(101, 150, false)]
#[case::slow_tokens(50, 250, false)]
#[case::late_end(50, 1001, false)]
fn met_targets_at_limits(#[case] first: u64, #[case] total: u64, #[case] expected: bool) {
    let mut outcome = outcome(Ending::Completed);
    outcome.ttft = Some(Duration::from_millis(first));
    outcome.total = Duration::from_millis(total);
    let workload = workload();
    assert_eq!(
        evaluation::met_targets(&workload.classes["a"], &outcome),
        expected
    );
}

/// Attainment is the share of all offered requests, including refused ones.
#[test]
fn evaluate_attainment_over_offered() {
    let outcomes = [
        outcome(Ending::Completed),
        outcome(Ending::Refused(error_reply("no"))),
        outcome(Ending::StreamFailed(error_reply("partial"))),
        outcome(Ending::Abandoned),
    ];
    let report = evaluation::evaluate(&workload(), 4, &outcomes, &Ledger::default());
    let class = &report.classes["a"];
    assert_eq!((class.offered, class.accepted, class.in_target), (4, 3, 1));
    assert!((class.attainment - 0.25).abs() < 1e-9);
    assert_eq!(class.refused["shed"], 1);
}

/// A burst adds requests without changing the usual ones, so that runs with and
/// without a burst can be compared.
#[test]
fn burst_only_adds_arrivals() {
    let usual = workload();
    let mut burst = usual.clone();
    burst.burst = Some(Burst {
        class: "a".to_owned(),
        factor: 5.0,
        from: 1.0,
        until: 2.0,
    });

    let plain: Vec<_> = usual.arrivals();
    let more = burst.arrivals();
    let kept: Vec<_> = more.iter().filter(|a| a.mark.contains("-u")).collect();
    let same = plain.iter().zip(&kept).all(|(a, b)| {
        (a.at, &a.mark, a.prompt_tokens, a.answer_tokens)
            == (b.at, &b.mark, b.prompt_tokens, b.answer_tokens)
    });
    assert!(same && plain.len() == kept.len() && more.len() > plain.len());
    let added = more.iter().filter(|a| a.mark.contains("-b"));
    for arrival in added {
        assert!((1.0..2.0).contains(&arrival.at.as_secs_f64()));
    }
}
