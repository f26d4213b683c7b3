//! Which engines a call asks for admission, and when it leaves one for another.
//!
//! Load pattern: a burst fills some engines with calls of a high tier for
//! seconds, while others still admit calls of a lower one. Each engine takes
//! its most urgent calls first, but an entry asks only the homes of a prompt's
//! prefix and one more. Its call is refused, or waits at one of them until the
//! caller leaves, although an engine that it did not ask would take it at once.
//!
//! Each answer of a sidecar says how long calls of a rank take at its engine.
//! The entry keeps the latest answers in [`EngineWaits`]. An [`EngineSearch`]
//! goes on with the engines that they name, and a call that waits is moved to
//! one of them. See docs/DECISIONS/0609-urgent-calls.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::balance::ServerRecord;

/// How long an answer of a sidecar is used. Queues of engines change within
/// tenths of a second.
const ANSWER_TTL: Duration = Duration::from_millis(400);

/// Number of ranks at engines.
const RANKS: usize = 10;

/// Engines that a search asks after the preferred ones.
const MAX_FURTHER: u32 = 6;

/// How an engine is asked for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionTerms {
    /// It is the home of the prompt's shared prefix.
    Home,
    /// It is not the home and has to prefill the shared prefix.
    Spill,
    /// It has to admit the call.
    Forced,
}

/// Expected times to the first event at engines, as their sidecars stated them
/// last.
#[derive(Debug, Default)]
pub struct EngineWaits {
    engines: HashMap<Rc<str>, RankWaits>,
    /// When expired answers were last dropped.
    cleaned: Option<Instant>,
}

/// The latest answer of one sidecar to calls of each rank.
type RankWaits = [Option<(Instant, Duration)>; RANKS];

impl EngineWaits {
    /// Records that a call of `rank` is expected to have its first event after
    /// `expected` at an engine; zero if it was admitted at once.
    pub fn record(&mut self, now: Instant, engine: &Rc<str>, rank: u8, expected: Duration) {
        if self.cleaned.is_none_or(|at| now >= at + ANSWER_TTL) {
            self.cleaned = Some(now);
            let is_fresh = |(at, _): &(Instant, Duration)| now < *at + ANSWER_TTL;
            let any_fresh = |waits: &RankWaits| waits.iter().flatten().any(is_fresh);
            self.engines.retain(|_, waits| any_fresh(waits));
        }
        let waits = self.engines.entry(Rc::clone(engine)).or_default();
        if let Some(wait) = waits.get_mut(usize::from(rank)) {
            *wait = Some((now, expected));
        }
    }

    /// Number of engines with recorded times, expired ones among them.
    #[must_use]
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// The longest that a call of `rank` should take at an engine. Calls of a
    /// lower rank do not go before it, so that their times are bounds for it.
    #[must_use]
    pub fn expected(&self, now: Instant, engine: &str, rank: u8) -> Option<Duration> {
        let waits = self.engines.get(engine)?.iter().skip(usize::from(rank));
        let fresh = waits.flatten().filter(|(at, _)| now < *at + ANSWER_TTL);
        fresh.map(|(_, expected)| *expected).min()
    }

    /// The engine of `engines` at which a call of `rank` should take the least
    /// time, if one is known where it takes at most `limit`.
    #[must_use]
    pub fn shortest<'a>(
        &self,
        now: Instant,
        rank: u8,
        limit: Duration,
        engines: impl Iterator<Item = &'a ServerRecord>,
    ) -> Option<&'a ServerRecord> {
        let known = engines.filter_map(|engine| {
            let expected = self.expected(now, &engine.id, rank)?;
            (expected <= limit).then_some((expected, engine))
        });
        let shortest = known.min_by_key(|(expected, _)| *expected);
        shortest.map(|(_, engine)| engine)
    }
}

/// The search of one call for an engine that admits it.
#[derive(Debug)]
pub struct EngineSearch {
    /// The engines to ask first, the best first.
    preferred: Vec<ServerRecord>,
    /// Engines asked so far.
    asked: Vec<ServerRecord>,
    /// The engine that named the least time when it refused the call.
    lowest: Option<(Duration, ServerRecord)>,
    /// Engines that may still be asked after the preferred ones.
    further_left: u32,
}

impl EngineSearch {
    /// A search that begins with the `preferred` engines. Only a call of a high
    /// tier goes on with others: it goes before the calls there, while one of a
    /// low tier would only add a prefix to one more cache.
    #[must_use]
    pub fn new(preferred: Vec<ServerRecord>, high_tier: bool) -> Self {
        Self {
            preferred,
            asked: Vec::new(),
            lowest: None,
            further_left: if high_tier { MAX_FURTHER } else { 0 },
        }
    }

    /// The next preferred engine to ask, if any is left.
    pub fn next_preferred(&mut self) -> Option<(ServerRecord, AdmissionTerms)> {
        let terms = match self.asked.is_empty() {
            true => AdmissionTerms::Home,
            false => AdmissionTerms::Spill,
        };
        let next = self.preferred.get(self.asked.len())?.clone();
        self.asked.push(next.clone());
        Some((next, terms))
    }

    /// The next engine to ask after the preferred ones: the one that by `waits`
    /// takes a call of `rank` sooner than all that were asked, or else the first
    /// of `engines`, those that may take calls, that has not been asked.
    pub fn next_further(
        &mut self,
        now: Instant,
        waits: &EngineWaits,
        rank: u8,
        engines: &[ServerRecord],
    ) -> Option<ServerRecord> {
        self.further_left = self.further_left.checked_sub(1)?;
        let lowest = self
            .lowest
            .as_ref()
            .map_or(Duration::MAX, |(least, _)| *least);
        let not_asked = |s: &&ServerRecord| self.asked.iter().all(|asked| asked.id != s.id);
        let mut engines = engines.iter().filter(not_asked);
        let known = waits.shortest(now, rank, lowest, engines.clone());
        let next = known.or_else(|| engines.next())?.clone();
        self.asked.push(next.clone());
        Some(next)
    }

    /// Records that an engine takes no calls at all, so that another one may be
    /// asked in its place.
    pub fn replace(&mut self) {
        self.further_left += 1;
    }

    /// Records that an engine has refused the call and named this time.
    pub fn refused(&mut self, engine: &ServerRecord, expected: Duration) {
        if self
            .lowest
            .as_ref()
            .is_none_or(|(least, _)| expected < *least)
        {
            self.lowest = Some((expected, engine.clone()));
        }
    }

    /// The engine that named the least time, with that time.
    #[must_use]
    pub fn lowest(&self) -> Option<(Duration, &ServerRecord)> {
        self.lowest.as_ref().map(|(least, engine)| (*least, engine))
    }

    /// The engines asked so far, in order.
    #[must_use]
    pub fn asked(&self) -> &[ServerRecord] {
        &self.asked
    }
}
