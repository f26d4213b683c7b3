//! Runs of several policies on the same seeded requests.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use load::{Report, RunResult, Workload, evaluation};
use serde::{Deserialize, Serialize};

use crate::Options;
use crate::arm::Arm;
use crate::oracle::{Oracle, oracle};

/// Length of the windows over which the answers of each lower-tier class are
/// counted, in seconds.
const WINDOW_S: f64 = 10.0;

/// The runs of all arms.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Comparison {
    /// The arms in their order of execution.
    pub arms: Vec<ArmRuns>,
    /// The oracle's goodput in tokens per second, by seed.
    pub oracle: BTreeMap<u64, f64>,
}

/// The runs of one arm.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ArmRuns {
    /// The arm.
    pub arm: Arm,
    /// The runs by seed.
    pub runs: BTreeMap<u64, ArmRun>,
}

/// One run of an arm.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ArmRun {
    /// The report.
    pub report: Report,
    /// The smallest number of complete answers of any lower-tier class in any
    /// window of ten seconds; `None` if the run is shorter.
    pub least_served: Option<u64>,
}

/// Medians over the seeds of one arm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Medians {
    /// Share of top-tier requests that met their targets.
    pub top: f64,
    /// Number of top-tier requests that missed a target.
    pub misses: f64,
    /// Share of lower-tier requests that met their targets.
    pub lower: f64,
    /// Tokens per second of answers that met their targets.
    pub goodput: f64,
    /// Goodput as a share of the oracle's.
    pub oracle_share: f64,
    /// Share of the generated tokens that were wasted.
    pub wasted: f64,
    /// The largest number of guarantee violations in one run: duplicated,
    /// lost and corrupted requests, and false statements of not having run.
    pub violations: u64,
    /// The smallest number of complete answers of any lower-tier class in any
    /// window, over all runs.
    pub least_served: Option<u64>,
}

/// Runs all arms one after the other for each seed.
#[must_use]
pub fn compare(options: &Options, arms: &[Arm], seeds: &[u64]) -> Comparison {
    let mut comparison = Comparison::default();
    for arm in arms {
        let (arm, runs) = (*arm, BTreeMap::new());
        comparison.arms.push(ArmRuns { arm, runs });
    }

    for seed in seeds {
        let mut options = options.clone();
        options.seed = *seed;
        let workload = options.workload();
        let bound = oracle(&options, &workload);
        comparison.oracle.insert(*seed, bound.goodput);
        eprintln!(
            "seed={seed} oracle: {:.0} tokens/s in target, of {:.0} offered, at a capacity of {:.0}",
            bound.goodput, bound.offered, bound.capacity
        );

        for arm in &mut comparison.arms {
            options.arm = arm.arm;
            let run = crate::run(&options);
            let run = ArmRun::new(&workload, run);
            eprintln!("arm={} {}", arm.arm, run.report);
            arm.runs.insert(*seed, run);
        }
    }
    comparison
}

impl ArmRun {
    fn new(workload: &Workload, run: RunResult) -> Self {
        Self {
            least_served: least_served(workload, &run),
            report: run.report,
        }
    }

    /// Numbers of top-tier requests offered and within their targets.
    fn top_tier(&self) -> (u64, u64) {
        sum_tiers(self, |tier| tier == 0)
    }
}

/// Numbers of requests offered and within their targets, over the tiers that
/// `chosen` accepts.
fn sum_tiers(run: &ArmRun, chosen: impl Fn(u8) -> bool) -> (u64, u64) {
    let classes = run.report.classes.values().filter(|c| chosen(c.tier));
    classes.fold((0, 0), |(offered, met), c| {
        (offered + c.offered, met + c.in_target)
    })
}

impl ArmRuns {
    /// The medians over the arm's runs; `oracle` is the oracle's goodput by
    /// seed.
    #[must_use]
    pub fn medians(&self, oracle: &BTreeMap<u64, f64>) -> Medians {
        let runs = || self.runs.values();
        let share = |(offered, met): (u64, u64)| met as f64 / offered.max(1) as f64;
        let of_oracle = |(seed, run): (&u64, &ArmRun)| {
            run.report.goodput / oracle.get(seed).copied().unwrap_or(f64::INFINITY)
        };
        let faults = |r: &Report| r.duplicated + r.lost + r.corrupted + r.false_not_run;
        Medians {
            top: median(runs().map(|r| share(r.top_tier()))),
            misses: median(runs().map(|r| (r.top_tier().0 - r.top_tier().1) as f64)),
            lower: median(runs().map(|r| share(sum_tiers(r, |tier| tier > 0)))),
            goodput: median(runs().map(|r| r.report.goodput)),
            oracle_share: median(self.runs.iter().map(of_oracle)),
            wasted: median(runs().map(|r| r.report.wasted_share)),
            violations: runs().map(|r| faults(&r.report)).max().unwrap_or(0),
            least_served: runs().filter_map(|r| r.least_served).min(),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        n if n % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

/// The smallest number of complete answers of any lower-tier class in any
/// window. Windows start at every full second.
fn least_served(workload: &Workload, run: &RunResult) -> Option<u64> {
    let mut least = None;
    for (name, _) in workload.classes.iter().filter(|(_, flow)| flow.tier > 0) {
        let of_class = run.outcomes.iter().filter(|o| &o.arrival.class == name);
        let ends: Vec<f64> = of_class
            .filter(|o| evaluation::is_complete(o))
            .map(|o| (o.arrival.at + o.total).as_secs_f64())
            .collect();

        let mut from = 0.0;
        while from + WINDOW_S <= workload.seconds {
            let inside = |end: &&f64| (from..from + WINDOW_S).contains(*end);
            let count = ends.iter().filter(inside).count() as u64;
            least = Some(least.map_or(count, |l: u64| l.min(count)));
            from += 1.0;
        }
    }
    least
}

impl Display for Comparison {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let bound = median(self.oracle.values().copied());
        writeln!(f, "oracle goodput={bound:.0} tokens/s (median)")?;
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>7} {:>12}",
            "arm",
            "top",
            "misses",
            "lower",
            "goodput",
            "of oracle",
            "wasted",
            "faults",
            "least served"
        )?;
        for arm in &self.arms {
            let m = arm.medians(&self.oracle);
            let least = m.least_served.map_or("-".to_owned(), |n| n.to_string());
            writeln!(
                f,
                "{:<16} {:>8.4} {:>8.0} {:>8.4} {:>9.0} {:>9.3} {:>8.4} {:>7} {:>12}",
                arm.arm.to_string(),
                m.top,
                m.misses,
                m.lower,
                m.goodput,
                m.oracle_share,
                m.wasted,
                m.violations,
                least
            )?;
        }
        Ok(())
    }
}

impl Display for Oracle {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "oracle goodput={:.0} offered={:.0} capacity={:.0} tokens/s",
            self.goodput, self.offered, self.capacity
        )
    }
}
