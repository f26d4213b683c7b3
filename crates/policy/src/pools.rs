//! Which engines read long prompts and which write long answers.
//!
//! Load pattern: one kind of call brings prompts of thousands of tokens in
//! bursts, another streams hundreds of tokens to a reader who notices each
//! pause. An engine that reads a chunk of a prompt in every step makes the
//! tokens of all its streams wait, so that seven steps in a row stretch one
//! event past what its reader bears, though the engine is half idle. Kept on
//! engines of their own, the streams never meet such a chunk. The split
//! follows the load, so that neither side waits while the other has room, and
//! there is none while only one kind comes. See
//! docs/DECISIONS/0601-on-the-platform.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::estimate::fit::Fit;

/// Answer tokens for each prompt token from which a route's calls spend their
/// time on writing. Reading a prompt token takes about a hundredth of the
/// time of writing one, so at a tenth writing takes ten times as long as
/// reading, and the pauses between tokens are what callers notice.
const WRITING_RATIO: f64 = 0.1;

/// Part of an engine's slots that streams should take on average; the rest
/// takes up bursts.
const SLOT_SHARE: f64 = 0.6;

/// Streams that one engine should write on average, however many slots it
/// has: each further one slows all the others down.
const STREAMS: f64 = 24.0;

/// Part of an engine's time that reading prompts should take on average; the
/// rest takes up bursts and writes the readers' own answers.
const READ_SHARE: f64 = 0.5;

/// Seconds that an engine takes to read a token before any was seen to be
/// read: engines in use read 80 to 160 tokens in a millisecond.
const READ_GUESS: f64 = 1e-5;

/// The fastest reading that is believed, in seconds for a token. Prompts that
/// are all cached would make any engine look endlessly fast.
const READ_LEAST: f64 = 2e-6;

/// The cut stays where it is while it is off by no more than this part of the
/// engines, and twice that before engines go back to prompts. Each move sends
/// prompts to engines that have not read their shared parts, and entries that
/// move at different moments mix streams and prompts in between.
const CUT_SLACK: f64 = 0.04;

/// One engine in so many is left to calls that read, whatever the load.
const READERS_LEAST: usize = 4;

/// How fast the measure of load follows it: a burst lasts some seconds.
const SMOOTH: Duration = Duration::from_millis(2500);

/// How much one call tells about the shape of its route's calls.
const SHAPE_STEP: f64 = 0.05;

/// What a call's time goes into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Reading a long prompt.
    Reading,
    /// Writing a long answer.
    Writing,
}

/// How the calls of a service load its engines, as one entry sees it.
#[derive(Debug, Default)]
pub struct Pools {
    routes: HashMap<String, Shape>,
    services: HashMap<Rc<str>, Demand>,
}

/// What the calls of a route are like on average.
#[derive(Debug, Clone, Copy)]
struct Shape {
    /// Tokens of the prompt.
    prompt: f64,
    /// Tokens of the answer.
    answer: f64,
}

/// What comes for a service.
#[derive(Debug, Clone, Copy)]
struct Demand {
    /// When the averages were brought up to date.
    at: Instant,
    /// Prompt tokens a second of calls that read.
    reading: f64,
    /// Calls in progress that write, now and on average.
    open: u32,
    writing: f64,
    /// Time to the first event by what had to be read.
    first: Fit,
    /// What other entries say of their own calls.
    others: Told,
    /// Engines that were left to calls that write.
    cut: usize,
}

/// What one entry, or several together, have for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Told {
    /// Prompt tokens a second of calls that read.
    pub reading: f64,
    /// Calls in progress that write.
    pub writing: f64,
    /// Seconds that an engine takes to read a token, on the mean of those who
    /// know; 0 when nobody does.
    pub pace: f64,
    /// How many entries know the pace.
    pub paced: u32,
}

impl Demand {
    /// This entry's own calls.
    fn told(&self) -> Told {
        let slope = self.first.slope() * 1e-6;
        Told {
            reading: self.reading,
            writing: self.writing.max(f64::from(self.open)),
            // More load makes it longer, and more engines are left to read.
            pace: match slope > 0.0 {
                true => slope.max(READ_LEAST),
                false => 0.0,
            },
            paced: u32::from(slope > 0.0),
        }
    }
}

impl Pools {
    /// Notes a call and says what its time goes into. `prompt` counts what the
    /// engine has to read, without the parts that its cache should hold.
    pub fn came(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        route: &str,
        prompt: u32,
        answer: u32,
    ) -> Work {
        let work = self.shape(route, f64::from(prompt), f64::from(answer));
        let demand = self.demand(now, service);
        match work {
            Work::Reading => demand.reading += f64::from(prompt) / SMOOTH.as_secs_f64(),
            Work::Writing => demand.open += 1,
        }
        work
    }

    /// Notes that the first event of a call came `took` after it was sent, for
    /// which the engine had to read `prompt` tokens.
    pub fn first(&mut self, now: Instant, service: &Rc<str>, prompt: u32, took: Duration) {
        let us = took.as_secs_f64() * 1e6;
        self.demand(now, service).first.add(prompt, us);
    }

    /// Notes that a call which writes has ended.
    pub fn ended(&mut self, now: Instant, service: &Rc<str>) {
        let demand = self.demand(now, service);
        demand.open = demand.open.saturating_sub(1);
    }

    /// What this entry has for each service.
    pub fn told(&mut self, now: Instant) -> Vec<(Rc<str>, Told)> {
        let services: Vec<Rc<str>> = self.services.keys().cloned().collect();
        let told = |s: Rc<str>| {
            let told = self.demand(now, &s).told();
            (s, told)
        };
        services.into_iter().map(told).collect()
    }

    /// Takes over what all other entries together have for a service.
    pub fn hear(&mut self, now: Instant, service: &Rc<str>, told: Told) {
        self.demand(now, service).others = told;
    }

    /// How many of `engines` with so many `slots` each should be left to
    /// calls that write; none when there is nothing to keep apart.
    pub fn writers(
        &mut self,
        now: Instant,
        service: &Rc<str>,
        engines: usize,
        slots: u32,
    ) -> usize {
        let demand = *self.demand(now, service);
        let (own, others) = (demand.told(), demand.others);
        let writing = own.writing + others.writing;
        let writing = writing / (f64::from(slots.max(1)) * SLOT_SHARE).min(STREAMS);
        // All entries weigh alike, or each would cut by its own few samples
        // and streams of one would meet prompts of another.
        let paced = own.paced + others.paced;
        let sum = own.pace * f64::from(own.paced) + others.pace * f64::from(others.paced);
        let pace = match paced {
            0 => READ_GUESS,
            _ => sum / f64::from(paced),
        };
        let reading = (own.reading + others.reading) * pace / READ_SHARE;
        if engines < 2 || writing <= 0.0 || reading <= 0.0 {
            self.demand(now, service).cut = 0;
            return 0;
        }
        // What is left over when both have what they need is shared in the
        // same proportion. When there is not enough for both, streams go
        // first: a prompt that waits is late at the worst, a stream among too
        // many makes all of them late.
        let share = engines as f64 * writing / (writing + reading);
        let wanted = share.max(writing);
        let readers = (engines / READERS_LEAST).max(1);
        let most = engines - readers;
        let held = &mut self.demand(now, service).cut;
        let off = wanted - *held as f64;
        let slack = CUT_SLACK * engines as f64;
        if *held == 0 || off > slack.max(0.5) || -off > 2.0 * slack.max(0.5) {
            *held = wanted.round() as usize;
        }
        *held = (*held).clamp(1, most);
        *held
    }

    fn shape(&mut self, route: &str, prompt: f64, answer: f64) -> Work {
        let shape = match self.routes.get_mut(route) {
            Some(shape) => {
                shape.prompt += (prompt - shape.prompt) * SHAPE_STEP;
                shape.answer += (answer - shape.answer) * SHAPE_STEP;
                *shape
            }
            None => {
                let shape = Shape { prompt, answer };
                self.routes.insert(route.to_owned(), shape);
                shape
            }
        };
        match shape.answer >= shape.prompt * WRITING_RATIO {
            true => Work::Writing,
            false => Work::Reading,
        }
    }

    /// The demand for a service, with its averages brought up to `now`.
    fn demand(&mut self, now: Instant, service: &Rc<str>) -> &mut Demand {
        if !self.services.contains_key(service) {
            let none = Demand {
                at: now,
                reading: 0.0,
                open: 0,
                writing: 0.0,
                first: Fit::default(),
                others: Told::default(),
                cut: 0,
            };
            self.services.insert(Rc::clone(service), none);
        }
        let demand = self.services.get_mut(service).expect("inserted above");
        let passed = now.saturating_duration_since(demand.at).as_secs_f64();
        let kept = (-passed / SMOOTH.as_secs_f64()).exp();
        demand.at = now;
        demand.reading *= kept;
        demand.writing = demand.writing * kept + f64::from(demand.open) * (1.0 - kept);
        demand
    }
}
