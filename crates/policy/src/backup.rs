//! Which streams get a copy of their KV cache at a second engine, and at which
//! one.
//!
//! Load pattern: a stream that may run only once is lost with its engine. Its
//! caller has waited for the whole answer and must ask for it again, if that is
//! allowed at all. With a copy, another engine continues the stream and prefills
//! only what had not arrived there.
//!
//! What a copy costs against what it saves, for a live stream of 715 prompt
//! tokens and 280 output tokens, with a tenth of the engines crashing at once:
//!
//! - Without a copy, a tenth of the callers lose up to 280 decoded tokens each,
//!   some 1.5 s of waiting.
//! - A copy transfers 995 tokens, 3.6 for each output token, for every stream,
//!   and holds as many tokens of memory at the second engine until the end.
//!
//! A prompt of 9,190 tokens with an answer of 50 transfers 185 tokens for each
//! output token and saves a caller only some 0.25 s. The rule is therefore a
//! limit on the tokens copied for each output token ([`MAX_COPY_RATIO`]), and
//! it holds for all tiers: the callers of a lower tier lose as much. What is
//! scarce is memory, and there the tiers differ: each tier may fill half of what
//! the tier above it may fill ([`MEMORY_SHARE`]), so that a lower tier never
//! takes the last room of a higher one.
//!
//! Entries decide without asking each other. Each has an equal part of the
//! share of every engine's memory. Where such a part is smaller than one copy,
//! each entry uses only some of the engines, with a larger part of each.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;

use crate::balance::ServerRecord;
use crate::rendezvous::{hash_name, score};
use crate::routes::Engine;

/// The most tokens that are copied for each output token. An output token takes
/// its caller about 5 ms; to copy a token takes a few hundredths of this, so
/// that a stream at the limit adds about a tenth of its own time in transfers.
pub const MAX_COPY_RATIO: u32 = 8;

/// Shortest answer worth a copy, in tokens. Engines send copies several times a
/// second; a shorter answer has ended by about the first of them.
pub const MIN_ANSWER_TOKENS: u32 = 64;

/// Shortest time left to a call that is worth a copy. A call with less time
/// would be over before a second engine could finish its answer.
pub const MIN_TIME_LEFT: Duration = Duration::from_secs(1);

/// Largest part of the call's time left that the transfer of its copy may take,
/// where operators declare the time to copy a token. Beyond it, the copy is
/// always far behind the stream.
pub const MAX_TRANSFER_SHARE: f64 = 0.1;

/// The part of an engine's KV cache that copies of the highest tier may fill;
/// each further tier may fill half as much. 24 live streams at each engine,
/// twice what is usual, need an eighth of 213,031 tokens.
pub const MEMORY_SHARE: f64 = 0.25;

/// How long the copy of a stream that did not end successfully is still counted.
/// The engine keeps it for some seconds after the last part has arrived.
pub const LINGER: Duration = Duration::from_secs(10);

/// A stream that is about to be sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct NewStream {
    /// Length of the whole prompt in tokens, with shared parts.
    pub prompt_tokens: u32,
    /// Expected number of output tokens; 0 if unknown.
    pub answer_tokens: u32,
    /// Its tier; 0 is the highest.
    pub tier: Tier,
    /// Time until its deadline.
    pub time_left: Duration,
}

impl NewStream {
    /// Tokens that its copy holds at the end.
    #[must_use]
    pub fn copied_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.answer_tokens)
    }

    /// Whether a copy is worth its cost at the service's engines. A stream of
    /// unknown length gets none.
    #[must_use]
    pub fn is_worth_copy(&self, engine: &Engine) -> bool {
        let tokens = self.copied_tokens();
        let transfer = engine.copy_time.unwrap_or_default().as_secs_f64() * tokens as f64;
        engine.backups
            && self.prompt_tokens > 0
            && self.answer_tokens >= MIN_ANSWER_TOKENS
            && tokens <= u64::from(self.answer_tokens) * u64::from(MAX_COPY_RATIO)
            && self.time_left >= MIN_TIME_LEFT
            && transfer <= self.time_left.as_secs_f64() * MAX_TRANSFER_SHARE
    }
}

/// The engine that holds the copy of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyPlace {
    /// The engine.
    pub server: ServerRecord,
    /// Tokens counted for the copy.
    pub tokens: u64,
}

/// The copies that the streams of one entry have at engines.
#[derive(Debug)]
pub struct CopyTable {
    /// Hash of the entry's name.
    entry: u64,
    /// Number of entries that share the engines' memory; 0 while unknown.
    entries: usize,
    /// Tokens counted at each engine.
    held: BTreeMap<Rc<str>, u64>,
    /// Copies of streams that have not ended successfully, with the time until
    /// which they are counted, in increasing order.
    lingering: VecDeque<(Instant, Rc<str>, u64)>,
}

impl CopyTable {
    /// Creates the table of the entry `name` without any copies. Until the
    /// entries are counted, no stream gets a copy.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            entry: hash_name(name),
            entries: 0,
            held: BTreeMap::new(),
            lingering: VecDeque::new(),
        }
    }

    /// Sets the number of entries that share the engines' memory.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Chooses the engine for the copy of a stream that is worth one, and counts
    /// the copy there. `ranked` are the possible engines, the best first
    /// ([`crate::balance::Balancer::copy_hosts`]); `free_tokens` returns the free
    /// memory that an engine has last reported, if it is known.
    pub fn reserve(
        &mut self,
        now: Instant,
        stream: &NewStream,
        engine: &Engine,
        ranked: &[&ServerRecord],
        free_tokens: impl Fn(&ServerRecord) -> Option<u32>,
    ) -> Option<CopyPlace> {
        self.expire(now);
        let tokens = stream.copied_tokens();
        let (limit, fold) = self.limit(stream, engine)?;
        let has_room = |server: &&&ServerRecord| {
            let held = self.held.get(&server.id).copied().unwrap_or(0);
            let is_used = score(self.entry, hash_name(&server.id)).is_multiple_of(fold);
            let is_free = free_tokens(server).is_none_or(|free| tokens <= u64::from(free));
            is_used && is_free && held + tokens <= limit
        };
        let server = ranked.iter().find(has_room)?;
        *self.held.entry(Rc::clone(&server.id)).or_default() += tokens;
        Some(CopyPlace {
            server: (*server).clone(),
            tokens,
        })
    }

    /// Tokens that this entry may count at one engine for streams of this tier,
    /// and the ratio of all engines to those that the entry uses.
    fn limit(&self, stream: &NewStream, engine: &Engine) -> Option<(u64, u64)> {
        if self.entries == 0 {
            return None;
        }
        let share = MEMORY_SHARE / 2f64.powi(i32::from(stream.tier.0));
        let memory = engine.memory_tokens as f64 * share;
        let tokens = stream.copied_tokens() as f64;
        if tokens > memory {
            return None;
        }
        let part = memory / self.entries as f64;
        let fold = (tokens / part).ceil().max(1.0);
        Some(((part * fold) as u64, fold as u64))
    }

    /// Ends the count of a copy. `freed` says whether its engine has freed it: the
    /// stream has ended successfully, or the copy was never begun. Otherwise it
    /// is counted for [`LINGER`] more.
    pub fn release(&mut self, now: Instant, place: &CopyPlace, freed: bool) {
        self.expire(now);
        let CopyPlace { server, tokens } = place;
        match freed {
            true => self.subtract(&server.id, *tokens),
            false => {
                let copy = (now + LINGER, Rc::clone(&server.id), *tokens);
                self.lingering.push_back(copy);
            }
        }
    }

    /// Tokens counted at an engine.
    #[must_use]
    pub fn held_tokens(&self, id: &str) -> u64 {
        self.held.get(id).copied().unwrap_or(0)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, id, tokens)) = self.lingering.pop_front() {
            if now < until {
                self.lingering.push_front((until, id, tokens));
                return;
            }
            self.subtract(&id, tokens);
        }
    }

    fn subtract(&mut self, id: &Rc<str>, tokens: u64) {
        if let Some(held) = self.held.get_mut(id) {
            *held = held.saturating_sub(tokens);
            if *held == 0 {
                self.held.remove(id);
            }
        }
    }
}
