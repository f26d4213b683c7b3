//! What an entry decides: where to ask for a slot.

use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;

/// A backend server as an entry knows it, by its place in the entry's list.
pub type ServerIndex = usize;

/// Chooses sidecars to ask for a slot.
#[derive(Debug)]
pub struct Placement {
    /// Random numbers, seeded so that a run can be repeated.
    rng: Pcg64Mcg,
}

impl Placement {
    /// Makes a placement whose choices follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::new(u128::from(seed) | 1),
        }
    }

    /// Chooses up to `count` of the candidates.
    pub fn choose(&mut self, candidates: &[ServerIndex], count: usize) -> Vec<ServerIndex> {
        candidates.iter().copied().sample(&mut self.rng, count)
    }
}
