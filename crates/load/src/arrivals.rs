//! The workload and the requests drawn from it. All random numbers are
//! seeded, so that a run can be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Upper limit of the tokens of a prompt or an answer.
const MAX_TOKENS: f64 = 16_384.0;

/// The requests of a run, described class by class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The fleet's name, shown in the report.
    pub fleet: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    /// The request classes by name.
    pub classes: BTreeMap<String, ClassWorkload>,
    /// A period with a higher arrival rate of one class.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// A period with a higher arrival rate of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Name of the class.
    pub class: String,
    /// Factor by which the class's usual rate is multiplied.
    #[serde(rename = "times")]
    pub factor: f64,
    /// Start of the period, in seconds from the start of the run.
    pub from: f64,
    /// End of the period, in seconds from the start of the run.
    pub until: f64,
}

/// The requests of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassWorkload {
    /// The tier, shown in the report; 0 is the top tier.
    pub tier: u8,
    /// Requests per second outside bursts.
    pub rate: f64,
    /// Whether the requests are completions or service calls.
    #[serde(default)]
    pub kind: RequestKind,
    /// Median number of prompt tokens, without the shared prefix.
    #[serde(rename = "prompt", default)]
    pub prompt_tokens: f64,
    /// Number of tokens in a shared prefix.
    #[serde(rename = "shared", default)]
    pub prefix_tokens: u32,
    /// Number of distinct shared prefixes.
    #[serde(rename = "prefixes", default = "one")]
    pub prefix_count: u32,
    /// Median number of answer tokens.
    #[serde(rename = "answer", default)]
    pub answer_tokens: f64,
    /// Standard deviation of the logarithm of the prompt and answer sizes,
    /// which are lognormal.
    #[serde(rename = "spread", default)]
    pub sigma: f64,
    /// The workspaces that send the requests.
    pub workspaces: Vec<WeightedWorkspace>,
    /// Share of requests whose answer is not streamed.
    #[serde(rename = "whole", default)]
    pub nonstreaming_share: f64,
    /// Share of callers that disconnect before a streamed answer ends.
    #[serde(rename = "leaving", default)]
    pub abandon_share: f64,
    /// Share of requests that must not run twice.
    #[serde(rename = "once", default)]
    pub nonrepeatable_share: f64,
    /// Share of requests that carry an idempotency key.
    #[serde(rename = "keyed", default)]
    pub keyed_share: f64,
    /// Target of the time to the first token, in milliseconds.
    pub first_ms: f64,
    /// Target of the mean time between tokens of an answer, in milliseconds.
    pub gap_ms: f64,
    /// Target of the time to the end of the answer, in milliseconds.
    pub whole_ms: f64,
}

/// A workspace that sends requests, and its share of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedWorkspace {
    /// The bearer token.
    pub token: String,
    /// Its share of the class's requests, relative to the other weights.
    pub weight: f64,
}

/// The kind of request that a class sends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RequestKind {
    /// A completion by a model engine.
    #[default]
    Completion,
    /// A call of a plain service, which runs no model.
    Call {
        /// The service's name.
        service: String,
    },
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Name of the class.
    pub class: String,
    /// Whether it is a completion or a service call.
    pub kind: RequestKind,
    /// The bearer token to use.
    pub token: String,
    /// Unique mark of the request, under which the stand-ins record it.
    pub mark: String,
    /// Number of prompt tokens, without the shared prefix.
    pub prompt_tokens: u32,
    /// Number of tokens in the shared prefix.
    pub prefix_tokens: u32,
    /// Index of the shared prefix.
    pub prefix_index: u32,
    /// Number of answer tokens.
    pub answer_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Number of tokens after which the caller disconnects; `None` if it stays.
    pub abandon_after: Option<u32>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

impl Workload {
    /// Draws all requests, sorted by arrival time. A burst adds requests and
    /// does not change the usual ones.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (i, (name, class)) in self.classes.iter().enumerate() {
            let seed = u128::from(self.seed) << 16 | (i as u128) << 1 | 1 << 100;
            let usual = (0.0, self.seconds);
            all.extend(draw_arrivals(name, class, class.rate, usual, "u", seed));

            let burst = self.burst.as_ref().filter(|b| &b.class == name);
            if let Some(burst) = burst {
                let rate = class.rate * (burst.factor - 1.0).max(0.0);
                let period = (burst.from, burst.until.min(self.seconds));
                let seed = seed | 1 << 101;
                all.extend(draw_arrivals(name, class, rate, period, "b", seed));
            }
        }
        all.sort_by_key(|a| a.at);
        all
    }
}

/// Draws the requests of one class in one period, as a Poisson process.
fn draw_arrivals(
    name: &str,
    class: &ClassWorkload,
    rate: f64,
    (from, until): (f64, f64),
    suffix: &str,
    seed: u128,
) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::new(seed);
    let mut all = Vec::new();
    let mut at = from;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        // At a rate of zero the time is infinite or NaN, which ends the loop.
        if at.is_nan() || at >= until {
            return all;
        }
        let mark = format!("{name}-{suffix}{}", all.len());
        all.push(draw_arrival(name, class, at, mark, &mut rng));
    }
}

/// Draws one request. Every random number is drawn even if it is not used, so
/// that a change of one share does not change the other values.
fn draw_arrival(
    name: &str,
    class: &ClassWorkload,
    at: f64,
    mark: String,
    rng: &mut Pcg64Mcg,
) -> Arrival {
    let prompt_tokens = draw_tokens(rng, class.prompt_tokens, class.sigma);
    let answer_tokens = draw_tokens(rng, class.answer_tokens, class.sigma);
    let prefix_index = rng.random_range(0..class.prefix_count.max(1));
    let token = pick_token(&class.workspaces, rng.random());
    let stream = rng.random::<f64>() >= class.nonstreaming_share;
    let abandons = rng.random::<f64>() < class.abandon_share;
    let tokens_read = rng.random_range(0..answer_tokens.max(1));
    let repeatable = rng.random::<f64>() >= class.nonrepeatable_share;
    let keyed = rng.random::<f64>() < class.keyed_share;
    Arrival {
        at: Duration::from_secs_f64(at),
        class: name.to_owned(),
        kind: class.kind.clone(),
        token,
        mark,
        prompt_tokens,
        prefix_tokens: class.prefix_tokens,
        prefix_index,
        answer_tokens,
        stream,
        abandon_after: (abandons && stream).then_some(tokens_read),
        repeatable,
        keyed,
    }
}

/// Picks a workspace by weight and returns its bearer token. `draw` is a
/// uniform random number in [0, 1).
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

/// Draws a number of tokens from a lognormal distribution.
fn draw_tokens(rng: &mut Pcg64Mcg, median: f64, sigma: f64) -> u32 {
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    let size = (median * (sigma * normal).exp()).clamp(1.0, MAX_TOKENS);
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
