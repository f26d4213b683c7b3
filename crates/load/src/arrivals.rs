//! Who asks for what, and when: seeded, so that a run can be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Most tokens of a prompt or an answer.
const MAX_TOKENS: f64 = 16_384.0;

/// The arrivals of a run, by class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The fleet's name, for the report.
    pub fleet: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// The classes by name.
    pub classes: BTreeMap<String, ClassWorkload>,
    /// A part of the run in which one class comes more often.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// A part of the run in which one class comes more often.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The class.
    pub class: String,
    /// By how much its usual rate is multiplied.
    #[serde(rename = "times")]
    pub factor: f64,
    /// When it begins, in seconds from the start of the run.
    pub from: f64,
    /// When it ends, in seconds from the start of the run.
    pub until: f64,
}

/// The arrivals of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassWorkload {
    /// The tier, for the report.
    pub tier: u8,
    /// Requests a second outside bursts.
    pub rate: f64,
    /// What is asked for.
    #[serde(default)]
    pub kind: RequestKind,
    /// Median tokens of a prompt, without its shared prefix.
    #[serde(rename = "prompt", default)]
    pub prompt_tokens: f64,
    /// Tokens of the prefix that many prompts share.
    #[serde(rename = "shared", default)]
    pub prefix_tokens: u32,
    /// How many different shared prefixes there are.
    #[serde(rename = "prefixes", default = "one")]
    pub prefix_count: u32,
    /// Median tokens of an answer.
    #[serde(rename = "answer", default)]
    pub answer_tokens: f64,
    /// Spread of prompt and answer, as the standard deviation of the
    /// logarithm.
    #[serde(rename = "spread", default)]
    pub sigma: f64,
    /// The workspaces that ask.
    pub workspaces: Vec<WeightedWorkspace>,
    /// Share of callers that take the answer whole.
    #[serde(rename = "whole", default)]
    pub nonstreaming_share: f64,
    /// Share of callers that go away before the answer ends.
    #[serde(rename = "leaving", default)]
    pub abandon_share: f64,
    /// Share of requests that may not run twice.
    #[serde(rename = "once", default)]
    pub nonrepeatable_share: f64,
    /// Share of requests that carry an idempotency key.
    #[serde(rename = "keyed", default)]
    pub keyed_share: f64,
    /// Target until the first token, in milliseconds.
    pub first_ms: f64,
    /// Target between tokens, in milliseconds, as a mean over the answer.
    pub gap_ms: f64,
    /// Target until the whole answer, in milliseconds.
    pub whole_ms: f64,
}

/// A workspace that asks.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedWorkspace {
    /// The bearer token.
    pub token: String,
    /// Its part of the class's requests, relative to the others.
    pub weight: f64,
}

/// What a class asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RequestKind {
    /// A completion by a model engine.
    #[default]
    Completion,
    /// A call of a plain service.
    Call {
        /// The service's name.
        service: String,
    },
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// The class.
    pub class: String,
    /// What is asked for.
    pub kind: RequestKind,
    /// The bearer token to use.
    pub token: String,
    /// The caller's own mark, by which stand-ins know the request.
    pub mark: String,
    /// Tokens of the prompt, without its shared prefix.
    pub prompt_tokens: u32,
    /// Tokens of the prompt's shared prefix.
    pub prefix_tokens: u32,
    /// Which shared prefix.
    pub prefix_index: u32,
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// Whether the answer is taken as it is made.
    pub stream: bool,
    /// After how many tokens the caller goes away, if it does.
    pub abandon_after: Option<u32>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

impl Workload {
    /// Draws all arrivals, in order of time. A burst adds to the usual
    /// arrivals and leaves those as they are.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (i, (name, flow)) in self.classes.iter().enumerate() {
            let seed = u128::from(self.seed) << 16 | (i as u128) << 1 | 1 << 100;
            let usual = (0.0, self.seconds);
            all.extend(draw_arrivals(name, flow, flow.rate, usual, "u", seed));

            let burst = self.burst.as_ref().filter(|b| &b.class == name);
            if let Some(burst) = burst {
                let rate = flow.rate * (burst.factor - 1.0).max(0.0);
                let part = (burst.from, burst.until.min(self.seconds));
                let seed = seed | 1 << 101;
                all.extend(draw_arrivals(name, flow, rate, part, "b", seed));
            }
        }
        all.sort_by_key(|a| a.at);
        all
    }
}

/// Draws the arrivals of one class in one part of the run.
fn draw_arrivals(
    class: &str,
    flow: &ClassWorkload,
    rate: f64,
    (from, until): (f64, f64),
    kind: &str,
    seed: u128,
) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::new(seed);
    let mut all = Vec::new();
    let mut at = from;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        // Also ends when the rate is zero and the time infinite.
        if at.is_nan() || at >= until {
            return all;
        }
        let mark = format!("{class}-{kind}{}", all.len());
        all.push(draw_arrival(class, flow, at, mark, &mut rng));
    }
}

/// Draws one arrival. Every number is drawn whether it is needed or not, so
/// that a changed share leaves all the others as they are.
fn draw_arrival(
    class: &str,
    flow: &ClassWorkload,
    at: f64,
    mark: String,
    rng: &mut Pcg64Mcg,
) -> Arrival {
    let prompt_tokens = draw_tokens(rng, flow.prompt_tokens, flow.sigma);
    let answer_tokens = draw_tokens(rng, flow.answer_tokens, flow.sigma);
    let prefix_index = rng.random_range(0..flow.prefix_count.max(1));
    let token = pick_token(&flow.workspaces, rng.random());
    let stream = rng.random::<f64>() >= flow.nonstreaming_share;
    let leaving = rng.random::<f64>() < flow.abandon_share;
    let leaves_after = rng.random_range(0..answer_tokens.max(1));
    let repeatable = rng.random::<f64>() >= flow.nonrepeatable_share;
    let keyed = rng.random::<f64>() < flow.keyed_share;
    Arrival {
        at: Duration::from_secs_f64(at),
        class: class.to_owned(),
        kind: flow.kind.clone(),
        token,
        mark,
        prompt_tokens,
        prefix_tokens: flow.prefix_tokens,
        prefix_index,
        answer_tokens,
        stream,
        abandon_after: (leaving && stream).then_some(leaves_after),
        repeatable,
        keyed,
    }
}

/// The bearer token of the workspace at `draw`, a number below 1, of all.
fn pick_token(workspaces: &[WeightedWorkspace], draw: f64) -> String {
    let total: f64 = workspaces.iter().map(|w| w.weight).sum();
    let mut left = draw * total;
    for workspace in workspaces {
        left -= workspace.weight;
        if left < 0.0 {
            return workspace.token.clone();
        }
    }
    workspaces.last().map_or(String::new(), |w| w.token.clone())
}

/// Draws a size from a lognormal distribution.
fn draw_tokens(rng: &mut Pcg64Mcg, median: f64, spread: f64) -> u32 {
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    let size = (median * (spread * normal).exp()).clamp(1.0, MAX_TOKENS);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to a small positive range"
    )]
    let size = size as u32;
    size
}

fn one() -> u32 {
    1
}
