//! What the outcomes of a run come to, judged by what the stand-ins saw and
//! by what the callers saw, never by what the router believes.

use std::time::Duration;

use hdrhistogram::Histogram;
use standin::Ledger;

use crate::arrivals::{ClassWorkload, RequestKind, Workload};
use crate::caller::{Ending, ErrorReply, Outcome};
use crate::report::{ClassReport, Quantiles, Report};

/// Longest time that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Judges the outcomes of `sent` requests. A request without an outcome is
/// lost.
#[must_use]
pub fn evaluate(workload: &Workload, sent: usize, outcomes: &[Outcome], ledger: &Ledger) -> Report {
    let mut report = Report {
        seed: workload.seed,
        fleet: workload.fleet.clone(),
        seconds: workload.seconds,
        ..Report::default()
    };
    report.lost = sent.saturating_sub(outcomes.len()) as u64;

    let (mut useful, mut whole_tokens) = (0, 0);
    for (name, class_workload) in &workload.classes {
        let of_class: Vec<_> = outcomes
            .iter()
            .filter(|o| &o.arrival.class == name)
            .collect();
        let class = class_report(class_workload, &of_class);
        report.classes.insert(name.clone(), class);

        for outcome in of_class {
            count_violations(&mut report, outcome, ledger);
            let tokens = u64::from(outcome.tokens);
            whole_tokens += if is_complete(outcome) { tokens } else { 0 };
            useful += if met_targets(class_workload, outcome) {
                tokens
            } else {
                0
            };
        }
    }

    report.tokens_made = ledger.all().values().map(|s| u64::from(s.tokens)).sum();
    report.tokens_wasted = report.tokens_made.saturating_sub(whole_tokens);
    report.wasted_share = ratio(report.tokens_wasted, report.tokens_made);
    report.goodput = useful as f64 / workload.seconds;
    report
}

/// Counts what must never happen.
fn count_violations(report: &mut Report, outcome: &Outcome, ledger: &Ledger) {
    let seen = ledger.seen(&outcome.arrival.mark);
    let told_no = |told: &ErrorReply| told.ran == "no";
    report.corrupted += u64::from(outcome.corrupted);
    report.duplicated += u64::from(!outcome.arrival.repeatable && seen.runs > 1);
    match &outcome.ending {
        Ending::Lost(_) => report.lost += 1,
        Ending::Completed => report.lost += u64::from(!is_complete(outcome)),
        Ending::Refused(told) | Ending::StreamFailed(told) => {
            report.false_not_run += u64::from(told_no(told) && seen.runs > 0);
        }
        Ending::Abandoned => {}
    }
}

/// Whether the answer was said to be whole and has as many tokens as the
/// stand-in was told to make.
#[must_use]
pub fn is_complete(outcome: &Outcome) -> bool {
    let enough = match outcome.arrival.kind {
        RequestKind::Completion => outcome.tokens == outcome.arrival.answer_tokens,
        RequestKind::Call { .. } => true,
    };
    outcome.ending == Ending::Completed && enough
}

fn class_report(class_workload: &ClassWorkload, outcomes: &[&Outcome]) -> ClassReport {
    let mut report = ClassReport {
        tier: class_workload.tier,
        ..ClassReport::default()
    };
    let (mut first, mut gap) = (LatencyHistogram::new(), LatencyHistogram::new());
    for outcome in outcomes {
        report.offered += 1;
        match &outcome.ending {
            Ending::Refused(told) => {
                *report.refused.entry(told.reason.clone()).or_default() += 1;
            }
            Ending::Completed | Ending::StreamFailed(_) | Ending::Abandoned | Ending::Lost(_) => {
                report.accepted += 1;
            }
        }
        report.whole += u64::from(is_complete(outcome));
        report.in_target += u64::from(met_targets(class_workload, outcome));
        if let Some(ttft) = outcome.ttft {
            first.record(ttft);
            gap.record(mean_gap(outcome));
        }
    }
    report.attainment = ratio(report.in_target, report.offered);
    report.ttft_ms = first.quantiles();
    report.gap_ms = gap.quantiles();
    report
}

/// Whether the answer was whole and met each target. A caller that takes its
/// answer whole sees no first token and no gaps.
#[must_use]
pub fn met_targets(class_workload: &ClassWorkload, outcome: &Outcome) -> bool {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    let streamed = outcome.arrival.stream && outcome.arrival.kind == RequestKind::Completion;
    let in_time = !streamed
        || outcome
            .ttft
            .is_some_and(|f| ms(f) <= class_workload.first_ms)
            && ms(mean_gap(outcome)) <= class_workload.gap_ms;
    is_complete(outcome) && in_time && ms(outcome.total) <= class_workload.whole_ms
}

/// Mean time between two tokens of an answer.
fn mean_gap(outcome: &Outcome) -> Duration {
    let gaps = outcome.tokens.saturating_sub(1).max(1);
    let first = outcome.ttft.unwrap_or_default();
    outcome.total.saturating_sub(first) / gaps
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Times in microseconds, with three significant digits.
struct LatencyHistogram(Option<Histogram<u64>>);

impl LatencyHistogram {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).ok())
    }

    fn record(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(us);
        }
    }

    fn quantiles(&self) -> Quantiles {
        let at = |q| {
            self.0
                .as_ref()
                .map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1000.0)
        };
        Quantiles {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}
