//! Computes the report on a run from what callers and stand-ins observed. The
//! router's own counters are not used, since the report checks the router.

use std::time::Duration;

use hdrhistogram::Histogram;
use standin::Ledger;

use crate::arrivals::{ClassWorkload, RequestKind, Workload};
use crate::caller::{Ending, ErrorReply, Outcome};
use crate::report::{ClassReport, Quantiles, Report};

/// Largest recorded time, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Computes the report on `sent` requests. A request without an outcome
/// counts as lost.
#[must_use]
pub fn evaluate(workload: &Workload, sent: usize, outcomes: &[Outcome], ledger: &Ledger) -> Report {
    let mut report = Report {
        seed: workload.seed,
        fleet: workload.fleet.clone(),
        seconds: workload.seconds,
        ..Report::default()
    };
    report.lost = sent.saturating_sub(outcomes.len()) as u64;

    let (mut target_tokens, mut complete_tokens) = (0, 0);
    for (name, class) in &workload.classes {
        let class_outcomes: Vec<_> = outcomes
            .iter()
            .filter(|o| &o.arrival.class == name)
            .collect();
        let summary = class_report(class, &class_outcomes);
        report.classes.insert(name.clone(), summary);

        for outcome in class_outcomes {
            count_violations(&mut report, outcome, ledger);
            let tokens = u64::from(outcome.tokens);
            complete_tokens += if is_complete(outcome) { tokens } else { 0 };
            target_tokens += if met_targets(class, outcome) {
                tokens
            } else {
                0
            };
        }
    }

    report.tokens_made = ledger
        .all_counts()
        .values()
        .map(|s| u64::from(s.output_tokens))
        .sum();
    report.tokens_wasted = report.tokens_made.saturating_sub(complete_tokens);
    report.wasted_share = ratio(report.tokens_wasted, report.tokens_made);
    report.goodput = target_tokens as f64 / workload.seconds;
    report
}

/// Counts violations of the router's guarantees: lost, duplicated and
/// corrupted requests, and false statements that a request did not run.
fn count_violations(report: &mut Report, outcome: &Outcome, ledger: &Ledger) {
    let seen = ledger.counts(&outcome.arrival.mark);
    let denies_run = |reply: &ErrorReply| reply.ran == "no";
    report.corrupted += u64::from(outcome.corrupted);
    report.duplicated += u64::from(!outcome.arrival.repeatable && seen.runs > 1);
    match &outcome.ending {
        Ending::Lost(_) => report.lost += 1,
        Ending::Completed => report.lost += u64::from(!is_complete(outcome)),
        Ending::Refused(reply) | Ending::StreamFailed(reply) => {
            report.false_not_run += u64::from(denies_run(reply) && seen.runs > 0);
        }
        Ending::Abandoned => {}
    }
}

/// Whether the answer ended as complete and has as many tokens as the stand-in
/// was told to generate.
#[must_use]
pub fn is_complete(outcome: &Outcome) -> bool {
    let all_tokens = match outcome.arrival.kind {
        RequestKind::Completion => outcome.tokens == outcome.arrival.answer_tokens,
        RequestKind::Call { .. } => true,
    };
    outcome.ending == Ending::Completed && all_tokens
}

fn class_report(class: &ClassWorkload, outcomes: &[&Outcome]) -> ClassReport {
    let mut report = ClassReport {
        tier: class.tier,
        ..ClassReport::default()
    };
    let (mut first, mut gap) = (LatencyHistogram::new(), LatencyHistogram::new());
    for outcome in outcomes {
        report.offered += 1;
        match &outcome.ending {
            Ending::Refused(reply) => {
                *report.refused.entry(reply.reason.clone()).or_default() += 1;
            }
            Ending::Completed | Ending::StreamFailed(_) | Ending::Abandoned | Ending::Lost(_) => {
                report.accepted += 1;
            }
        }
        report.whole += u64::from(is_complete(outcome));
        report.in_target += u64::from(met_targets(class, outcome));
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

/// Whether the answer was complete and met all latency targets. Only a streamed
/// completion has targets for the first token and the time between tokens.
#[must_use]
pub fn met_targets(class: &ClassWorkload, outcome: &Outcome) -> bool {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    let streamed = outcome.arrival.stream && outcome.arrival.kind == RequestKind::Completion;
    let in_time = !streamed
        || outcome.ttft.is_some_and(|f| ms(f) <= class.first_ms)
            && ms(mean_gap(outcome)) <= class.gap_ms;
    is_complete(outcome) && in_time && ms(outcome.total) <= class.whole_ms
}

/// Mean time between tokens of an answer.
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

/// Times in microseconds, with a precision of three significant digits.
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
