//! Which engines read long prompts and which write long answers.
//!
//! Load pattern: one kind of call brings prompts of thousands of tokens in
//! bursts, another streams hundreds of tokens to a reader who notices each
//! pause. An engine that reads a chunk of a prompt in every step makes the
//! tokens of all its streams wait, so that seven steps in a row stretch one
//! event past what its reader bears, though the engine is half idle. Kept on
//! engines of their own, the streams never meet such a chunk. Kept apart are
//! only those that do not bear the pauses which reading makes here; the others
//! lose nothing by it, and would fill the engines of those who do. The split
//! follows the load, so that neither side waits while the other has room, and
//! there is none while only one kind comes. See
//! docs/DECISIONS/0601-on-the-platform.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::estimate::READ_GUESS;
use crate::estimate::fit::Fit;
use crate::pauses::PauseEstimate;

/// Answer tokens for each prompt token from which a route's calls spend their
/// time on writing. Reading a prompt token takes about a hundredth of the
/// time of writing one, so at a tenth writing takes ten times as long as
/// reading, and the pauses between tokens are what callers notice.
const DECODE_RATIO: f64 = 0.1;

/// Part of the pause that a stream bears which reading beside it may take;
/// the rest is the steps' own time and what the network adds.
const ISOLATE_SHARE: f64 = 0.8;

/// The same for a route whose streams were kept apart. Between the two shares
/// nothing moves: each move sends prompts to engines that have not read their
/// shared parts.
const REJOIN_SHARE: f64 = 0.6;

/// Before any pause beside reading was seen, a route is kept apart that bears
/// less than this part of what another route of its service bears: operators
/// who let one pause for long and another not say which of them is read live.
const PRIOR_SHARE: f64 = 0.5;

/// Part of an engine's slots that streams should take on average; the rest
/// takes up bursts.
const SLOT_TARGET: f64 = 0.6;

/// Streams that one engine should write on average, however many slots it
/// has: each further one slows all the others down.
const MAX_STREAMS: f64 = 24.0;

/// Part of an engine's time that reading prompts should take on average; the
/// rest takes up bursts and writes the readers' own answers.
const PREFILL_TARGET: f64 = 0.5;

/// The fastest reading that is believed, in seconds for a token. Prompts that
/// are all cached would make any engine look endlessly fast.
const PREFILL_PACE_MIN: f64 = 2e-6;

/// The cut stays where it is while it is off by no more than this part of the
/// engines, and twice that before engines go back to prompts. Each move sends
/// prompts to engines that have not read their shared parts, and entries that
/// move at different moments mix streams and prompts in between.
const SPLIT_SLACK: f64 = 0.04;

/// One engine in so many is left to calls that read, whatever the load.
const PREFILL_RESERVE: usize = 4;

/// How fast the measure of load follows it: a burst lasts some seconds.
const SMOOTHING_TIME: Duration = Duration::from_millis(2500);

/// How much one call tells about the shape of its route's calls.
const PROFILE_WEIGHT: f64 = 0.05;

/// What a call's time goes into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Reading a long prompt.
    Prefill,
    /// Writing a long answer.
    Decode,
}

/// What is known of a call when it comes.
#[derive(Debug, Clone, Copy)]
pub struct IncomingCall<'a> {
    /// Its route.
    pub route: &'a str,
    /// Tokens that the engine has to read, without the parts that its cache
    /// should hold.
    pub prompt_tokens: u32,
    /// Most tokens of its answer.
    pub max_answer: u32,
    /// The longest pause between two events that its route bears; none if it
    /// bears any.
    pub max_gap: Option<Duration>,
}

/// How the calls of a service load its engines, as one entry sees it.
#[derive(Debug, Default)]
pub struct PhasePools {
    routes: HashMap<String, RouteProfile>,
    services: HashMap<Rc<str>, LoadAverages>,
}

/// What the calls of a route are like on average.
#[derive(Debug, Clone, Copy)]
struct RouteProfile {
    /// Tokens of the prompt.
    prompt: f64,
    /// Tokens of the answer.
    answer: f64,
    /// Whether its streams are kept apart from reading.
    isolated: bool,
}

/// What comes for a service.
#[derive(Debug)]
struct LoadAverages {
    /// When the averages were brought up to date.
    updated: Instant,
    /// Prompt tokens a second of calls that read.
    prefill_rate: f64,
    /// Calls in progress that write, now and on average.
    open_streams: u32,
    decode_calls: f64,
    /// Time to the first event by what had to be read.
    ttft_fit: Fit,
    /// Pauses of streams at engines that read.
    pauses: PauseEstimate,
    /// The longest pause that any of its routes bears.
    longest_gap: Duration,
    /// What other entries say of their own calls.
    remote: ServiceDemand,
    /// Engines that were left to calls that write.
    decode_engines: usize,
}

/// What one entry, or several together, have for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prompt tokens a second of calls that read.
    pub prefill_rate: f64,
    /// Calls in progress that write.
    pub decode_calls: f64,
    /// Seconds that an engine takes to read a token, on the mean of those who
    /// know; 0 when nobody does.
    pub prefill_pace: f64,
    /// How many entries know the pace.
    pub pace_entries: u32,
    /// The pause that streams meet beside reading, in seconds, the longest
    /// that is told; 0 when nobody knows.
    pub stream_pause: f64,
}

impl ServiceDemand {
    /// What two have together.
    #[must_use]
    pub fn combined(&self, other: &Self) -> Self {
        let pace_entries = self.pace_entries + other.pace_entries;
        let known = |demand: &Self| demand.prefill_pace * f64::from(demand.pace_entries);
        Self {
            prefill_rate: self.prefill_rate + other.prefill_rate,
            decode_calls: self.decode_calls + other.decode_calls,
            prefill_pace: (known(self) + known(other)) / f64::from(pace_entries.max(1)),
            pace_entries,
            stream_pause: self.stream_pause.max(other.stream_pause),
        }
    }

    /// What is left of several without one of them.
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
    /// This entry's own calls.
    fn local_demand(&self, now: Instant) -> ServiceDemand {
        let slope = self.ttft_fit.slope() * 1e-6;
        ServiceDemand {
            prefill_rate: self.prefill_rate,
            decode_calls: self.decode_calls.max(f64::from(self.open_streams)),
            // More load makes it longer, and more engines are left to read.
            prefill_pace: match slope > 0.0 {
                true => slope.max(PREFILL_PACE_MIN),
                false => 0.0,
            },
            pace_entries: u32::from(slope > 0.0),
            stream_pause: self.pauses.expected(now).unwrap_or(0.0),
        }
    }

    /// Whether streams that bear pauses of `gap` need engines that read
    /// nothing beside them; `apart` says whether they have them.
    fn needs_isolation(&self, now: Instant, gap: Duration, isolated: bool) -> bool {
        let pause = self
            .local_demand(now)
            .stream_pause
            .max(self.remote.stream_pause);
        let split = if isolated {
            REJOIN_SHARE
        } else {
            ISOLATE_SHARE
        };
        match pause > 0.0 {
            true => pause > gap.as_secs_f64() * split,
            false => gap < self.longest_gap.mul_f64(PRIOR_SHARE),
        }
    }
}

impl PhasePools {
    /// Notes a call and says what its time goes into.
    pub fn classify(&mut self, now: Instant, service: &Rc<str>, call: IncomingCall<'_>) -> Phase {
        let profile = self.update_profile(&call);
        let is_decode = profile.answer >= profile.prompt * DECODE_RATIO;
        let averages = self.averages(now, service);
        let gap = call.max_gap.unwrap_or(Duration::MAX);
        averages.longest_gap = averages.longest_gap.max(call.max_gap.unwrap_or_default());
        let isolated = is_decode && averages.needs_isolation(now, gap, profile.isolated);
        let work = match isolated {
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
        work
    }

    /// Notes the longest pause of a stream that ended at an engine which
    /// reads.
    pub fn record_pause(&mut self, now: Instant, service: &Rc<str>, pause: Duration) {
        self.averages(now, service).pauses.record(now, pause);
    }

    /// Notes that the first event of a call came `took` after it was sent, for
    /// which the engine had to read `prompt` tokens.
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

    /// Notes that a call which writes has ended.
    pub fn call_ended(&mut self, now: Instant, service: &Rc<str>) {
        let averages = self.averages(now, service);
        averages.open_streams = averages.open_streams.saturating_sub(1);
    }

    /// What this entry has for each service.
    pub fn local_demand(&mut self, now: Instant) -> Vec<(Rc<str>, ServiceDemand)> {
        let services: Vec<Rc<str>> = self.services.keys().cloned().collect();
        let demand = |s: Rc<str>| {
            let demand = self.averages(now, &s).local_demand(now);
            (s, demand)
        };
        services.into_iter().map(demand).collect()
    }

    /// Takes over what all other entries together have for a service.
    pub fn set_remote(&mut self, now: Instant, service: &Rc<str>, demand: ServiceDemand) {
        self.averages(now, service).remote = demand;
    }

    /// How many of `engines` with so many `slots` each should be left to
    /// calls that write; none when there is nothing to keep apart.
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
        // All entries weigh alike, or each would cut by its own few samples
        // and streams of one would meet prompts of another.
        let pace_entries = own.pace_entries + remote.pace_entries;
        let sum = own.prefill_pace * f64::from(own.pace_entries)
            + remote.prefill_pace * f64::from(remote.pace_entries);
        let pace = match pace_entries {
            0 => READ_GUESS,
            _ => sum / f64::from(pace_entries),
        };
        let prefill_need = (own.prefill_rate + remote.prefill_rate) * pace / PREFILL_TARGET;
        if engines < 2 || decode_need <= 0.0 || prefill_need <= 0.0 {
            self.averages(now, service).decode_engines = 0;
            return 0;
        }
        // What is left over when both have what they need is shared in the
        // same proportion. When there is not enough for both, streams go
        // first: a prompt that waits is late at the worst, a stream among too
        // many makes all of them late.
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

    /// What the calls of a route are like, with one more.
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

    /// The demand for a service, with its averages brought up to `now`.
    fn averages(&mut self, now: Instant, service: &Rc<str>) -> &mut LoadAverages {
        if !self.services.contains_key(service) {
            let empty = LoadAverages {
                updated: now,
                prefill_rate: 0.0,
                open_streams: 0,
                decode_calls: 0.0,
                ttft_fit: Fit::default(),
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
