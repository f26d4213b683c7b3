//! Moves of running streams away from engines that leave: which streams move, where to,
//! how many at a time, and the states of one move.
//!
//! A move copies the run's KV cache while the run continues, stops the run with a second,
//! short copy, and continues at the engine that has the copy. The entry that holds the
//! stream decides. See docs/design/moves.md.

mod machine;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use base::ids::Tier;

use crate::rendezvous::score;

pub use machine::{Action, CopyOutcome, Event, Move, Outcome, Phase, Site};

/// Time for which a leaving engine certainly goes on serving after it is known to leave.
/// Deployments configure drain times of 2 to 3 s or more and don't announce them. A stream
/// that is moved without need pauses once; a stream that is cut is lost.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Moves from one source that an entry has in progress at most. With two, one stream is
/// copied while another one continues.
pub const MAX_PER_SOURCE: usize = 2;

/// Moves from one source that an entry of `entries` has in progress at a time. The engine
/// queues the copies of all entries on its link, and a caller whose run has stopped waits for
/// the copies ahead of its own; more of them move nothing sooner.
#[must_use]
pub fn source_limit(entries: usize) -> usize {
    match entries > MAX_PER_SOURCE {
        true => 1,
        false => MAX_PER_SOURCE,
    }
}

/// Moves to one destination that an entry has in progress at a time.
pub const MAX_PER_DESTINATION: usize = 2;

/// Assumed time between two events of a stream that has sent fewer than two.
const DEFAULT_EVENT_TIME: Duration = Duration::from_millis(50);

/// Factor on the expected time to the end of a stream, since engines slow down at times.
const END_MARGIN: f64 = 1.25;

/// Room is compared in steps of this fraction. Counts of other entries are some tenths of a
/// second old; with exact values all entries would choose the same engine.
const ROOM_STEPS: f64 = 8.0;

/// A running stream on an engine that leaves.
#[derive(Debug, Clone, Copy)]
pub struct RunningStream {
    /// Identifies the stream at its entry.
    pub key: u64,
    /// Its tier; 0 is the highest.
    pub tier: Tier,
    /// Tokens of the prompt and of the answer so far, whose KV cache is copied.
    pub held_tokens: u64,
    /// Expected tokens of the answer that are still to come; `None` if unknown.
    pub tokens_left: Option<u32>,
    /// Tokens per event.
    pub event_tokens: u32,
    /// Mean time between two of its events; `None` before the second one.
    pub event_time: Option<Duration>,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

impl RunningStream {
    /// The expected time to its end, with a margin; `None` if unknown.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let events = self.tokens_left?.div_ceil(self.event_tokens.max(1));
        let event_time = self.event_time.unwrap_or(DEFAULT_EVENT_TIME);
        Some(event_time.mul_f64(f64::from(events) * END_MARGIN))
    }

    /// The time to copy its KV cache, given the time per token.
    fn copy_time(&self, per_token: Duration) -> Duration {
        let tokens = u32::try_from(self.held_tokens).unwrap_or(u32::MAX);
        per_token.saturating_mul(tokens)
    }
}

/// The streams to move from an engine that may exit at `exit_at`, the first one first:
/// those that would not end before. The highest tier precedes, then the streams whose copy
/// can be complete before the exit, then the longest remaining answer. A stream whose copy
/// would not be complete before its deadline is not moved. `copy_time` is the time to copy
/// the KV cache of one token.
#[must_use]
pub fn streams_to_move(
    now: Instant,
    exit_at: Instant,
    copy_time: Duration,
    streams: &[RunningStream],
) -> Vec<u64> {
    let ends_in_time = |s: &RunningStream| {
        s.time_left()
            .is_some_and(|left| now + left <= exit_at.max(now))
    };
    let in_time = |s: &RunningStream, at: Instant| now + s.copy_time(copy_time) < at;
    let mut leaving: Vec<&RunningStream> = streams
        .iter()
        .filter(|s| !ends_in_time(s) && in_time(s, s.deadline))
        .collect();
    leaving.sort_by_key(|s| {
        let left = s.tokens_left.unwrap_or(u32::MAX);
        (s.tier, !in_time(s, exit_at), Reverse(left), s.key)
    });
    leaving.iter().map(|s| s.key).collect()
}

/// An engine to which a stream may be moved.
#[derive(Debug, Clone, Copy)]
pub struct Destination {
    /// Hash of its name.
    pub name_hash: u64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Open calls of all entries there, with the streams that are on their way.
    pub open_calls: u32,
    /// KV cache tokens that it has free, if it has reported them.
    pub free_tokens: Option<u32>,
    /// Its typical time between two events of a stream, if known.
    pub event_time: Option<Duration>,
    /// Moves of this entry to it that are in progress.
    pub moves: usize,
}

/// What a stream needs at its destination.
#[derive(Debug, Clone, Copy)]
pub struct StreamNeeds {
    /// Hash of the request's ID.
    pub request_hash: u64,
    /// KV cache tokens that it will hold at its end.
    pub tokens: u64,
    /// The longest gap between two events that its route allows.
    pub max_gap: Option<Duration>,
}

/// The position in `engines` of the one to which a stream moves: of those that have a slot
/// and memory for it, are fast enough and take another move, the one with the most room,
/// by slots. Engines with about equal room are ordered by the rendezvous score for the
/// request, so that streams of one source spread.
#[must_use]
pub fn choose_destination(needs: &StreamNeeds, engines: &[Destination]) -> Option<usize> {
    let suitable = |d: &Destination| {
        let memory = d
            .free_tokens
            .is_none_or(|free| u64::from(free) >= needs.tokens);
        let pace = match (needs.max_gap, d.event_time) {
            (Some(gap), Some(event_time)) => event_time <= gap,
            _ => true,
        };
        memory && pace && d.open_calls < d.slots && d.moves < MAX_PER_DESTINATION
    };
    let rank = |d: &Destination| {
        let free = f64::from(d.slots - d.open_calls) / f64::from(d.slots);
        let room = (free * ROOM_STEPS) as u32;
        (room, score(needs.request_hash, d.name_hash))
    };
    let suitable = engines.iter().enumerate().filter(|(_, d)| suitable(d));
    suitable.max_by_key(|(_, d)| rank(d)).map(|(at, _)| at)
}
