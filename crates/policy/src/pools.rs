//! Splits a service's engines between prefill and decode.
//!
//! Load pattern: one kind of call brings prompts of thousands of tokens in
//! bursts, another streams hundreds of tokens to a reader who notices each
//! pause. An engine that prefills a chunk of a prompt in every step delays the
//! tokens of all its streams: seven such steps in a row make one event late,
//! even if the engine is half idle. On engines of their own, streams never
//! meet such chunks. Only streams whose maximum gap is shorter than the pauses
//! that prefill causes are separated; the others would gain nothing and would
//! fill the engines of those that need it. The split follows the load, so that
//! neither side waits while the other has room, and there is no split while
//! only one kind of call arrives. See docs/DECISIONS/0601-on-the-platform.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::estimate::DEFAULT_PREFILL_SECS;
use crate::estimate::averages::LinearFit;
use crate::pauses::PauseEstimate;

/// Ratio of output to prompt tokens from which a route's calls count as
/// decode. Prefill of a token takes about a hundredth of the time of its
/// decode, so that at this ratio decode takes ten times as long as prefill,
/// and callers notice the pauses between tokens.
const DECODE_RATIO: f64 = 0.1;

/// Share of a stream's maximum gap that pauses from prefill may take; the rest
/// is left for decode steps and the network.
const ISOLATE_SHARE: f64 = 0.8;

/// The same for a route whose streams are already separated. Between the two
/// shares nothing changes (hysteresis), because each move sends prompts to
/// engines that do not cache their shared parts.
const REJOIN_SHARE: f64 = 0.6;

/// Until a pause was measured, a route is separated if its maximum gap is
/// shorter than this part of the longest one of its service: operators who
/// allow different gaps do not say which streams are read live.
const PRIOR_SHARE: f64 = 0.5;

/// Target share of an engine's slots in use by streams; the rest absorbs
/// bursts.
const SLOT_TARGET: f64 = 0.6;

/// Target number of streams per engine, however many slots it has: each
/// further stream slows down all the others.
const MAX_STREAMS: f64 = 24.0;

/// Target share of an engine's time spent on prefill; the rest absorbs bursts
/// and decodes these calls' own answers.
const PREFILL_TARGET: f64 = 0.5;

/// Fastest accepted prefill in seconds per token. Fully cached prompts would
/// otherwise make an engine look infinitely fast.
const PREFILL_PACE_MIN: f64 = 2e-6;

/// The split stays unchanged until it is off by more than this part of the
/// engines, and by twice as much before engines are returned to prefill. Each
/// move sends prompts to engines that do not cache their shared parts, and
/// entries that move at different times mix streams and prompts in between.
const SPLIT_SLACK: f64 = 0.04;

/// One engine in this many stays reserved for prefill under any load.
const PREFILL_RESERVE: usize = 4;

/// Time constant of the load averages; bursts last some seconds.
const SMOOTHING_TIME: Duration = Duration::from_millis(2500);

/// Weight of one call in the moving averages of its route.
const PROFILE_WEIGHT: f64 = 0.05;

/// The phase whose engines a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Calls dominated by prefill, and streams that allow its pauses.
    Prefill,
    /// Streams that need engines without long prefill.
    Decode,
}

/// A call on arrival.
#[derive(Debug, Clone, Copy)]
pub struct IncomingCall<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Prompt tokens to prefill, without the parts that the engine should have
    /// cached.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_answer: u32,
    /// Longest gap between events that the route allows; none if unlimited.
    pub max_gap: Option<Duration>,
}

/// Load of each service's engines, as seen by one entry.
#[derive(Debug, Default)]
pub struct PhasePools {
    routes: HashMap<String, RouteProfile>,
    services: HashMap<Rc<str>, LoadAverages>,
}

/// Moving averages over the calls of a route.
#[derive(Debug, Clone, Copy)]
struct RouteProfile {
    /// Prompt tokens per call.
    prompt: f64,
    /// Output tokens per call.
    answer: f64,
    /// Whether its streams are separated from prefill.
    isolated: bool,
}

/// Load averages of a service.
#[derive(Debug)]
struct LoadAverages {
    /// When the averages were last updated.
    updated: Instant,
    /// Prompt tokens per second of prefill calls.
    prefill_rate: f64,
    /// Decode calls in progress: current number and moving average.
    open_streams: u32,
    decode_calls: f64,
    /// Time to first event as a function of the tokens to prefill.
    ttft_fit: LinearFit,
    /// Pauses of streams on engines that also prefill.
    pauses: PauseEstimate,
    /// Longest maximum gap of all routes of the service.
    longest_gap: Duration,
    /// Sum of the other entries' demand.
    remote: ServiceDemand,
    /// Engines currently assigned to decode.
    decode_engines: usize,
}

/// Demand for a service from one entry or the sum of several.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prompt tokens per second of prefill calls.
    pub prefill_rate: f64,
    /// Decode calls in progress.
    pub decode_calls: f64,
    /// Mean prefill time in seconds per token over the entries that know it; 0
    /// if none does.
    pub prefill_pace: f64,
    /// Number of entries that know the pace.
    pub pace_entries: u32,
    /// Longest reported pause of streams beside prefill, in seconds; 0 if
    /// unknown.
    pub stream_pause: f64,
}

impl ServiceDemand {
    /// The sum of two demands.
    #[must_use]
    pub fn combined(&self, other: &Self) -> Self {
        let pace_entries = self.pace_entries.saturating_add(other.pace_entries);
        let known = |demand: &Self| demand.prefill_pace * f64::from(demand.pace_entries);
        Self {
            prefill_rate: self.prefill_rate + other.prefill_rate,
            decode_calls: self.decode_calls + other.decode_calls,
            prefill_pace: (known(self) + known(other)) / f64::from(pace_entries.max(1)),
            pace_entries,
            stream_pause: self.stream_pause.max(other.stream_pause),
        }
    }

    /// The sum without the entry `one`.
    #[must_use]
    pub fn without(&self, one: &Self) -> Self {
        Self {
            prefill_rate: (self.prefill_rate - one.prefill_rate).max(0.0),
            decode_calls: (self.decode_calls - one.decode_calls).max(0.0),
            prefill_pace: self.prefill_pace,
            pace_entries: self.pace_entries.saturating_sub(one.pace_entries),
            stream_pause: self.stream_pause,
        }
    }
}

impl LoadAverages {
    /// Demand of this entry's own calls.
    fn local_demand(&self, now: Instant) -> ServiceDemand {
        let slope = self.ttft_fit.slope() * 1e-6;
        ServiceDemand {
            prefill_rate: self.prefill_rate,
            decode_calls: self.decode_calls.max(f64::from(self.open_streams)),
            // The slope grows with the load, which then assigns more engines
            // to prefill.
            prefill_pace: match slope > 0.0 {
                true => slope.max(PREFILL_PACE_MIN),
                false => 0.0,
            },
            pace_entries: u32::from(slope > 0.0),
            stream_pause: self.pauses.expected(now).unwrap_or(0.0),
        }
    }

    /// Whether streams with a maximum gap of `gap` need engines without
    /// prefill; `isolated` says whether they have them now.
    fn needs_isolation(&self, now: Instant, gap: Duration, isolated: bool) -> bool {
        let pause = self
            .local_demand(now)
            .stream_pause
            .max(self.remote.stream_pause);
        let share = if isolated {
            REJOIN_SHARE
        } else {
            ISOLATE_SHARE
        };
        match pause > 0.0 {
            true => pause > gap.as_secs_f64() * share,
            false => gap < self.longest_gap.mul_f64(PRIOR_SHARE),
        }
    }
}

impl PhasePools {
    /// Records a call and returns the phase whose engines it uses.
    pub fn classify(&mut self, now: Instant, service: &Rc<str>, call: IncomingCall<'_>) -> Phase {
        let profile = self.update_profile(&call);
        let is_decode = profile.answer >= profile.prompt * DECODE_RATIO;
        let averages = self.averages(now, service);
        let gap = call.max_gap.unwrap_or(Duration::MAX);
        averages.longest_gap = averages.longest_gap.max(call.max_gap.unwrap_or_default());
        let isolated = is_decode && averages.needs_isolation(now, gap, profile.isolated);
        let phase = match isolated {
            true => {
                averages.open_streams += 1;
                Phase::Decode
            }
            false => {
                averages.prefill_rate +=
                    f64::from(call.prompt_tokens) / SMOOTHING_TIME.as_secs_f64();
                Phase::Prefill
            }
        };
        if let Some(profile) = self.routes.get_mut(call.route) {
            profile.isolated = isolated;
        }
        phase
    }

    /// Records the longest pause of a stream that ended on an engine that also
    /// prefills.
    pub fn record_pause(&mut self, now: Instant, service: &Rc<str>, pause: Duration) {
        self.averages(now, service).pauses.record(now, pause);
    }

    /// Records that the first event of a call arrived `took` after it was
    /// sent, with `prompt` tokens to prefill.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        prompt: u32,
        took: Duration,
    ) {
        let micros = took.as_secs_f64() * 1e6;
        self.averages(now, service).ttft_fit.add(prompt, micros);
    }

    /// Notes that a decode call has ended.
    pub fn call_ended(&mut self, now: Instant, service: &Rc<str>) {
        let averages = self.averages(now, service);
        averages.open_streams = averages.open_streams.saturating_sub(1);
    }

    /// This entry's own demand by service.
    pub fn local_demand(&mut self, now: Instant) -> Vec<(Rc<str>, ServiceDemand)> {
        let services: Vec<Rc<str>> = self.services.keys().cloned().collect();
        let demand = |s: Rc<str>| {
            let demand = self.averages(now, &s).local_demand(now);
            (s, demand)
        };
        services.into_iter().map(demand).collect()
    }

    /// Sets the sum of the other entries' demand for a service.
    pub fn set_remote(&mut self, now: Instant, service: &Rc<str>, demand: ServiceDemand) {
        self.averages(now, service).remote = demand;
    }

    /// How many of `engines` with `slots` slots each should be assigned to
    /// decode; 0 if the phases need no separation.
    pub fn decode_engines(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        engines: usize,
        slots: u32,
    ) -> usize {
        let averages = self.averages(now, service);
        let (own, remote) = (averages.local_demand(now), averages.remote);
        let decode_need = own.decode_calls + remote.decode_calls;
        let decode_need = decode_need / (f64::from(slots.max(1)) * SLOT_TARGET).min(MAX_STREAMS);
        // The mean over all entries: with its own few samples, each entry
        // would split differently and mix one entry's streams with another's
        // prompts.
        let pace_entries = own.pace_entries.saturating_add(remote.pace_entries);
        let sum = own.prefill_pace * f64::from(own.pace_entries)
            + remote.prefill_pace * f64::from(remote.pace_entries);
        let pace = match pace_entries {
            0 => DEFAULT_PREFILL_SECS,
            _ => sum / f64::from(pace_entries),
        };
        let prefill_need = (own.prefill_rate + remote.prefill_rate) * pace / PREFILL_TARGET;
        if engines < 2 || decode_need <= 0.0 || prefill_need <= 0.0 {
            self.averages(now, service).decode_engines = 0;
            return 0;
        }
        // Capacity beyond both needs is split in the same proportion. If it
        // does not cover both, decode goes first: a waiting prompt is only
        // late itself, while too many streams on an engine are all late.
        let split = engines as f64 * decode_need / (decode_need + prefill_need);
        let wanted = split.max(decode_need);
        let prefill_min = (engines / PREFILL_RESERVE).max(1);
        let decode_max = engines - prefill_min;
        let assigned = &mut self.averages(now, service).decode_engines;
        let deviation = wanted - *assigned as f64;
        let slack = SPLIT_SLACK * engines as f64;
        if *assigned == 0 || deviation > slack.max(0.5) || -deviation > 2.0 * slack.max(0.5) {
            *assigned = wanted.round() as usize;
        }
        *assigned = (*assigned).clamp(1, decode_max);
        *assigned
    }

    /// Updates the averages of the call's route and returns them.
    fn update_profile(&mut self, call: &IncomingCall<'_>) -> RouteProfile {
        let (prompt, answer) = (f64::from(call.prompt_tokens), f64::from(call.max_answer));
        if let Some(profile) = self.routes.get_mut(call.route) {
            profile.prompt += (prompt - profile.prompt) * PROFILE_WEIGHT;
            profile.answer += (answer - profile.answer) * PROFILE_WEIGHT;
            return *profile;
        }
        let profile = RouteProfile {
            prompt,
            answer,
            isolated: false,
        };
        self.routes.insert(call.route.to_owned(), profile);
        profile
    }

    /// The averages of a service, updated to `now`.
    fn averages(&mut self, now: Instant, service: &Rc<str>) -> &mut LoadAverages {
        if !self.services.contains_key(service) {
            let empty = LoadAverages {
                updated: now,
                prefill_rate: 0.0,
                open_streams: 0,
                decode_calls: 0.0,
                ttft_fit: LinearFit::default(),
                pauses: PauseEstimate::default(),
                longest_gap: Duration::ZERO,
                remote: ServiceDemand::default(),
                decode_engines: 0,
            };
            self.services.insert(Rc::clone(service), empty);
        }
        let averages = self.services.get_mut(service).expect("inserted above");
        let elapsed = now
            .saturating_duration_since(averages.updated)
            .as_secs_f64();
        let decay = (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp();
        averages.updated = now;
        averages.prefill_rate *= decay;
        averages.decode_calls =
            averages.decode_calls * decay + f64::from(averages.open_streams) * (1.0 - decay);
        averages
    }
}
