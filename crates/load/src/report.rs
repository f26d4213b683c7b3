//! The report on a run, judged by what the stand-ins saw.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use standin::Ledger;

use crate::arrivals::{Flow, Mix};
use crate::caller::{Ending, Outcome};

/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// What a run came to.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// The fleet's name.
    pub fleet: String,
    /// How long requests arrived.
    pub seconds: f64,
    /// The classes by name.
    pub classes: BTreeMap<String, ClassReport>,
    /// Tokens a second of answers that were whole and in target.
    pub goodput: f64,
    /// Tokens that the engines made.
    pub tokens_made: u64,
    /// Tokens made that no caller got as part of a whole answer.
    pub tokens_wasted: u64,
    /// Wasted tokens as a share of those made.
    pub wasted_share: f64,
    /// Non-repeatable requests that ran twice.
    pub doubled: u64,
    /// Requests that ended neither whole nor with a refusal.
    pub lost: u64,
    /// Answers with a piece not their own or out of order.
    pub mixed: u64,
    /// Requests told not to have run that ran.
    pub false_not_run: u64,
}

/// What a run came to for one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// The tier.
    pub tier: u8,
    /// Requests sent.
    pub offered: u64,
    /// Requests that were not refused.
    pub accepted: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Requests with a whole answer within the targets.
    pub in_target: u64,
    /// Share of the requests sent that were answered within the targets.
    pub attainment: f64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds.
    pub ttft_ms: Quantiles,
    /// Mean time between tokens of one answer, in milliseconds.
    pub gap_ms: Quantiles,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Report {
    /// Judges the outcomes by what the stand-ins saw.
    #[must_use]
    pub fn judge(mix: &Mix, outcomes: &[Outcome], ledger: &Ledger) -> Self {
        let mut report = Self {
            seed: mix.seed,
            fleet: mix.fleet.clone(),
            seconds: mix.seconds,
            ..Self::default()
        };
        let sent = mix.arrivals().len();
        report.lost += (sent - outcomes.len().min(sent)) as u64;

        let mut useful = 0;
        let mut whole_tokens = 0;
        for (name, flow) in &mix.classes {
            let of_class: Vec<_> = outcomes
                .iter()
                .filter(|o| &o.arrival.class == name)
                .collect();
            report
                .classes
                .insert(name.clone(), class_report(flow, &of_class));
            for outcome in of_class {
                report.count(outcome, ledger);
                let whole = outcome.ending == Ending::Whole;
                whole_tokens += if whole { u64::from(outcome.tokens) } else { 0 };
                useful += if in_target(flow, outcome) {
                    u64::from(outcome.tokens)
                } else {
                    0
                };
            }
        }

        report.tokens_made = ledger.all().values().map(|s| u64::from(s.tokens)).sum();
        report.tokens_wasted = report.tokens_made.saturating_sub(whole_tokens);
        report.wasted_share = share(report.tokens_wasted, report.tokens_made);
        report.goodput = useful as f64 / mix.seconds;
        report
    }

    /// Whether nothing was doubled, lost, mixed or falsely called not run.
    #[must_use]
    pub fn sound(&self) -> bool {
        self.doubled + self.lost + self.mixed + self.false_not_run == 0
    }

    fn count(&mut self, outcome: &Outcome, ledger: &Ledger) {
        let seen = ledger.seen(&outcome.arrival.mark);
        self.mixed += u64::from(outcome.mixed);
        match &outcome.ending {
            Ending::Lost => self.lost += 1,
            Ending::Refused { ran, .. } if ran == "no" => {
                self.false_not_run += u64::from(seen.runs > 0);
            }
            // A whole answer has as many tokens as the stand-in was told.
            Ending::Whole => self.lost += u64::from(outcome.tokens != outcome.arrival.answer),
            Ending::Refused { .. } => {}
        }
    }
}

fn class_report(flow: &Flow, outcomes: &[&Outcome]) -> ClassReport {
    let mut report = ClassReport {
        tier: flow.tier,
        ..ClassReport::default()
    };
    let (mut first, mut gap) = (Times::new(), Times::new());
    for outcome in outcomes {
        report.offered += 1;
        match &outcome.ending {
            Ending::Refused { reason, .. } => {
                *report.refused.entry(reason.clone()).or_default() += 1;
            }
            Ending::Whole => {
                report.accepted += 1;
                report.whole += 1;
            }
            Ending::Lost => report.accepted += 1,
        }
        report.in_target += u64::from(in_target(flow, outcome));
        if let Some(ttft) = outcome.first {
            first.add(ttft);
            gap.add(mean_gap(outcome));
        }
    }
    report.attainment = share(report.in_target, report.offered);
    report.ttft_ms = first.quantiles();
    report.gap_ms = gap.quantiles();
    report
}

/// Whether the answer was whole and met each target.
fn in_target(flow: &Flow, outcome: &Outcome) -> bool {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    outcome.ending == Ending::Whole
        && outcome.first.is_some_and(|f| ms(f) <= flow.first_ms)
        && ms(mean_gap(outcome)) <= flow.gap_ms
        && ms(outcome.total) <= flow.whole_ms
}

/// Mean time between two tokens of an answer.
fn mean_gap(outcome: &Outcome) -> Duration {
    let gaps = outcome.tokens.saturating_sub(1).max(1);
    outcome
        .total
        .saturating_sub(outcome.first.unwrap_or_default())
        / gaps
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Times in microseconds, with three significant digits.
struct Times(Option<Histogram<u64>>);

impl Times {
    fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST_US, 3).ok())
    }

    fn add(&mut self, time: Duration) {
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

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "fleet={} seed={} seconds={}",
            self.fleet, self.seed, self.seconds
        )?;
        writeln!(
            f,
            "{:<12} {:>4} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>9}  refused",
            "class",
            "tier",
            "offered",
            "whole",
            "target",
            "attained",
            "ttft p50",
            "ttft p99",
            "gap p95"
        )?;
        for (name, class) in &self.classes {
            let refused: Vec<_> = class
                .refused
                .iter()
                .map(|(r, n)| format!("{r}={n}"))
                .collect();
            writeln!(
                f,
                "{name:<12} {:>4} {:>8} {:>8} {:>8} {:>10.4} {:>10.1} {:>10.1} {:>9.2}  {}",
                class.tier,
                class.offered,
                class.whole,
                class.in_target,
                class.attainment,
                class.ttft_ms.p50,
                class.ttft_ms.p99,
                class.gap_ms.p95,
                refused.join(" ")
            )?;
        }
        writeln!(
            f,
            "goodput={:.0} tokens/s made={} wasted={} wasted_share={:.4}",
            self.goodput, self.tokens_made, self.tokens_wasted, self.wasted_share
        )?;
        write!(
            f,
            "doubled={} lost={} mixed={} false_not_run={}",
            self.doubled, self.lost, self.mixed, self.false_not_run
        )
    }
}
