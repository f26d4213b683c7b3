//! Who asks for what, and when: seeded, so that a run can be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The arrivals of a run, by class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The fleet's name, for the report.
    pub fleet: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// The classes by name.
    pub classes: BTreeMap<String, Flow>,
}

/// The arrivals of one class.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// The tier, for the report.
    pub tier: u8,
    /// Requests a second outside bursts.
    pub rate: f64,
    /// Median tokens of a prompt.
    pub prompt: f64,
    /// Median tokens of an answer.
    pub answer: f64,
    /// Spread of both, as the standard deviation of the logarithm.
    pub spread: f64,
    /// The bearer token to use.
    pub token: String,
    /// Target until the first token, in milliseconds.
    pub first_ms: f64,
    /// Target between tokens, in milliseconds, as a mean over the answer.
    pub gap_ms: f64,
    /// Target until the whole answer, in milliseconds.
    pub whole_ms: f64,
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// The class.
    pub class: String,
    /// The bearer token to use.
    pub token: String,
    /// The caller's own mark, by which stand-ins know the request.
    pub mark: String,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub answer: u32,
}

impl Mix {
    /// Draws all arrivals, in order of time.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (i, (name, flow)) in self.classes.iter().enumerate() {
            let mut rng = Pcg64Mcg::new(u128::from(self.seed) << 8 | i as u128 | 1 << 100);
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / flow.rate;
                if at >= self.seconds {
                    break;
                }
                all.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    class: name.clone(),
                    token: flow.token.clone(),
                    mark: format!("{name}-{}", all.len()),
                    prompt: size(&mut rng, flow.prompt, flow.spread),
                    answer: size(&mut rng, flow.answer, flow.spread),
                });
            }
        }
        all.sort_by_key(|a| a.at);
        all
    }
}

/// Draws a size from a lognormal distribution.
fn size(rng: &mut Pcg64Mcg, median: f64, spread: f64) -> u32 {
    let (u, v): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    let size = (median * (spread * normal).exp()).clamp(1.0, 16_384.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to a small positive range"
    )]
    let size = size as u32;
    size
}
