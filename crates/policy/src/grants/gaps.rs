//! The gap that streams at one engine see, as a function of the prefill that
//! is admitted beside them.
//!
//! Load pattern: an engine prefills up to 2,048 tokens in a step of 50 ms, and
//! an event of a stream takes five steps. A prompt of 9,000 tokens therefore
//! makes one event of every stream beside it late, one of 6,000 tokens does
//! not. Another engine prefills in small chunks, and its gaps stay short
//! however long the prompts are. The relation is learned for each engine from
//! its finished streams: the longest gap of each, and the most prefill that
//! was admitted within one gap during its life.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::estimate::DEFAULT_PREFILL_SECS;

/// Upper bounds of the bins by load, in tokens; chunks of prefill have 256 to
/// 2,048 tokens.
const BIN_BOUNDS: [u32; 12] = [
    512, 1_024, 2_048, 3_072, 4_096, 5_120, 6_144, 8_192, 10_240, 13_312, 17_408, 25_600,
];

/// Number of streams kept in each bin.
const BIN_SAMPLES: usize = 32;

/// Streams that make up a point of the curve; bins with fewer are joined. With
/// fewer streams, single outliers decide.
const POINT_SAMPLES: usize = 12;

/// Quantile of the streams' longest gaps that is expected, such that at most
/// one stream in twenty is late.
const QUANTILE: f64 = 0.95;

/// Factor on the prefill time per token in the prior: decode steps lengthen
/// prefill, and the first estimates of the time were too low by a third.
const PACE_MARGIN: f64 = 1.5;

/// Part of a stream's maximum gap that decode steps and the network take,
/// until gaps without prefill were measured.
const BASE_SHARE: f64 = 0.45;

/// Number of recent calls whose time between events counts. A slowed engine
/// shows in the median once half of them ran on it.
const EVENT_SAMPLES: usize = 12;

/// Number of calls from which the typical time between events is known.
const EVENT_SAMPLES_MIN: usize = 3;

/// Part of a stream's maximum gap that prefill may always take where streams
/// are late without any prefill: to hold prompts back would not help them.
const MIN_SHARE: f64 = 0.2;

/// Loads up to which a point shows the gaps without long prompts, in tokens:
/// those of the streams' own prompts.
const BASE_LOAD: f64 = 2_048.0;

/// Beyond the highest measured load, the gap is expected to grow by this
/// multiple of its growth up to it: one step too far makes every running
/// stream late. Engines whose gaps stay short are still found in a few steps.
const GROWTH_MARGIN: f64 = 1.5;

/// Upper bound of that growth, as a multiple of the prior's. The gap at small
/// loads says little about growth.
const GROWTH_MAX: f64 = 3.0;

/// Age after which a stream no longer counts. Loads that were found to be too
/// high are not admitted any more and so not measured either; after this time
/// they are tried again.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The same for the latest streams without long prompts beside them, of which
/// this many count for longer: an engine that is too slow for streams is tried
/// again by single ones and not by all.
const BASE_MAX_AGE: Duration = Duration::from_secs(300);
const BASE_KEPT: usize = 8;

/// Time after the last stream at which an engine that is too slow is tried
/// again.
const RETRY_DELAY: Duration = Duration::from_secs(15);

/// How long admitted prefill is remembered; the gaps that streams allow are
/// shorter.
const READ_HISTORY: Duration = Duration::from_secs(2);

/// Streams that may be late for prompts that are too long to be prefilled
/// beside streams, as a part of the streams that were in time. Without it such
/// prompts would never be served where streams always run.
const EXCEPTION_SHARE: f64 = 1.0 / 40.0;

/// Upper bound of the streams that may be late at once for that reason.
const EXCEPTION_MAX: f64 = 16.0;

/// Learned gaps of streams at one engine.
#[derive(Debug, Default)]
pub(super) struct GapModel {
    /// Recently finished streams by load.
    bins: [VecDeque<GapSample>; BIN_BOUNDS.len() + 1],
    /// The gap as a function of the load, by increasing load.
    curve: Vec<CurvePoint>,
    /// Recently admitted prefill, in tokens.
    reads: VecDeque<(Instant, u32)>,
    /// Streams that may be late for prompts that are too long.
    exceptions: f64,
    /// When the last stream was admitted or ended.
    last_stream: Option<Instant>,
    /// Time between the events of recently finished calls.
    events: VecDeque<(Instant, Duration)>,
}

/// A finished stream.
#[derive(Debug, Clone, Copy)]
struct GapSample {
    at: Instant,
    /// Most prefill admitted within one gap, in tokens.
    load: u32,
    /// Longest gap between two events, in seconds.
    gap: f64,
}

/// The expected gap at one load.
#[derive(Debug, Clone, Copy)]
struct CurvePoint {
    load: f64,
    /// Quantile of the measured gaps, in seconds.
    gap: f64,
    /// Number of streams measured.
    streams: usize,
}

impl GapModel {
    /// Records an admitted prompt with `tokens` to prefill.
    pub(super) fn record_read(&mut self, now: Instant, tokens: u32) {
        if tokens > 0 {
            self.reads.push_back((now, tokens));
        }
    }

    /// Prefill admitted within the last `gap`, in tokens.
    pub(super) fn load(&self, now: Instant, gap: Duration) -> u32 {
        let recent = self
            .reads
            .iter()
            .rev()
            .take_while(|(at, _)| now < *at + gap);
        recent.fold(0, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Records a finished stream: the most prefill admitted within one
    /// `max_gap` during its life, and its longest gap.
    pub(super) fn record_stream(
        &mut self,
        now: Instant,
        load: u32,
        gap: Duration,
        max_gap: Duration,
    ) {
        if gap <= max_gap {
            self.exceptions = (self.exceptions + EXCEPTION_SHARE).min(EXCEPTION_MAX);
        }
        self.last_stream = Some(now);
        let bin = &mut self.bins[BIN_BOUNDS.partition_point(|bound| *bound < load)];
        if bin.len() == BIN_SAMPLES {
            bin.pop_front();
        }
        bin.push_back(GapSample {
            at: now,
            load,
            gap: gap.as_secs_f64(),
        });
        self.fit();
    }

    /// Drops samples and prefill that are too old.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.reads.front()
            && now >= *at + READ_HISTORY
        {
            self.reads.pop_front();
        }
        let mut expired = false;
        for (bin, bound) in self
            .bins
            .iter_mut()
            .zip(BIN_BOUNDS.iter().chain([&u32::MAX]))
        {
            let is_base = f64::from(*bound) <= BASE_LOAD;
            while let Some(sample) = bin.front()
                && now
                    >= sample.at
                        + match is_base && bin.len() <= BASE_KEPT {
                            true => BASE_MAX_AGE,
                            false => MAX_AGE,
                        }
            {
                bin.pop_front();
                expired = true;
            }
        }
        if expired {
            self.fit();
        }
    }

    /// Whether `load` tokens of prefill, at `pace` seconds each, keep the
    /// expected gap of streams within `max_gap`.
    pub(super) fn allows(&self, load: u32, pace: f64, max_gap: Duration) -> bool {
        if self.expected(load, pace, max_gap) <= max_gap {
            return true;
        }
        let limit = max_gap.as_secs_f64();
        self.late_without_prefill(pace, limit) && f64::from(load) * pace <= limit * MIN_SHARE
    }

    /// The expected gap of a stream that allows `max_gap` beside `load` tokens
    /// of prefill at `pace` seconds each.
    ///
    /// Between two points the square root of the distance counts: the gap
    /// rises with each chunk until all steps of an event hold one, and stays.
    pub(super) fn expected(&self, load: u32, pace: f64, max_gap: Duration) -> Duration {
        let pace = pace.max(DEFAULT_PREFILL_SECS) * PACE_MARGIN;
        let limit = max_gap.as_secs_f64();
        let load = f64::from(load);
        let above = self.curve.partition_point(|point| point.load < load);
        let gap_at = |point: &CurvePoint| self.blended(point, pace, limit);
        let gap = match (above.checked_sub(1), self.curve.get(above)) {
            (None, None) => limit * BASE_SHARE + load * pace,
            (None, Some(first)) => {
                // Nothing is known about lower loads; the prior is kinder.
                let gap = gap_at(first);
                let base = gap.min(limit * BASE_SHARE);
                let is_base = first.load <= BASE_LOAD;
                let part = if is_base { 1.0 } else { load / first.load };
                base + (gap - base) * part.sqrt()
            }
            (Some(below), Some(next)) => {
                let last = &self.curve[below];
                let part = (load - last.load) / (next.load - last.load);
                gap_at(last) + (gap_at(next) - gap_at(last)).max(0.0) * part.sqrt()
            }
            (Some(last), None) => {
                let last = &self.curve[last];
                let gap = gap_at(last);
                let growth = gap / last.load.max(1.0) * GROWTH_MARGIN;
                let growth = growth.clamp(pace, pace * GROWTH_MAX);
                gap + (load - last.load) * growth
            }
        };
        Duration::try_from_secs_f64(gap).unwrap_or(Duration::MAX)
    }

    /// Records the time between the events of a finished call.
    pub(super) fn record_event_time(&mut self, now: Instant, event: Duration) {
        if self.events.len() == EVENT_SAMPLES {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }

    /// The typical time between two events: the median over recent calls.
    pub(super) fn event_time(&self, now: Instant) -> Option<Duration> {
        let recent = self.events.iter().filter(|(at, _)| now < *at + MAX_AGE);
        let mut times: Vec<Duration> = recent.map(|(_, event)| *event).collect();
        if times.len() < EVENT_SAMPLES_MIN {
            return None;
        }
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        Some(*median)
    }

    /// Notes that a stream is admitted.
    pub(super) fn record_start(&mut self, now: Instant) {
        self.last_stream = Some(now);
    }

    /// Whether the engine is tried with a single stream, however slow it was.
    pub(super) fn may_retry(&self, now: Instant) -> bool {
        self.last_stream.is_none_or(|at| now >= at + RETRY_DELAY)
    }

    /// Notes that `streams` running streams may be late for a prompt that is
    /// too long.
    pub(super) fn use_exception(&mut self, streams: usize) {
        self.exceptions = (self.exceptions - streams as f64).max(0.0);
    }

    /// Whether `streams` running streams may be late for a prompt that is too
    /// long.
    pub(super) fn has_exception(&self, streams: usize) -> bool {
        self.exceptions >= streams as f64
    }

    /// Whether streams are late here even without prefill.
    fn late_without_prefill(&self, pace: f64, limit: f64) -> bool {
        let first = self.curve.first();
        first.is_some_and(|p| p.load <= BASE_LOAD && self.blended(p, pace, limit) > limit)
    }

    /// The gap at a point; the prior counts as much as streams are missing.
    fn blended(&self, point: &CurvePoint, pace: f64, limit: f64) -> f64 {
        let prior = limit * BASE_SHARE + point.load * pace;
        let measured = (point.streams as f64 / POINT_SAMPLES as f64).min(1.0);
        point.gap * measured + prior * (1.0 - measured)
    }

    /// Fits the curve to the samples: bins are joined until they have enough
    /// streams and the gap does not fall with the load.
    fn fit(&mut self) {
        let mut blocks: Vec<Vec<GapSample>> = Vec::new();
        let mut open: Vec<GapSample> = Vec::new();
        for bin in &self.bins {
            open.extend(bin);
            if open.len() >= POINT_SAMPLES {
                blocks.push(std::mem::take(&mut open));
            }
        }
        if !open.is_empty() {
            blocks.push(open);
        }
        let mut curve: Vec<(CurvePoint, Vec<GapSample>)> = Vec::new();
        for mut block in blocks {
            let mut point = summarize(&block);
            while let Some((last, _)) = curve.last()
                && last.gap > point.gap
                && let Some((_, samples)) = curve.pop()
            {
                block.extend(samples);
                point = summarize(&block);
            }
            curve.push((point, block));
        }
        self.curve = curve.into_iter().map(|(point, _)| point).collect();
    }
}

/// The point of the curve for some streams; there is at least one.
fn summarize(samples: &[GapSample]) -> CurvePoint {
    let streams = samples.len();
    let mut gaps: Vec<f64> = samples.iter().map(|s| s.gap).collect();
    let rank = ((streams as f64 * QUANTILE) as usize).min(streams - 1);
    let (_, gap, _) = gaps.select_nth_unstable_by(rank, f64::total_cmp);
    let load: f64 = samples.iter().map(|s| f64::from(s.load)).sum();
    CurvePoint {
        load: load / streams as f64,
        gap: *gap,
        streams,
    }
}
