//! Requests of entries, the sidecar's decisions and the engine's reports.

use std::time::Duration;

/// Identifies a call across entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// The incarnation of the entry.
    pub incarnation: u64,
    /// The call's number within that incarnation.
    pub number: u32,
}

/// A request of an entry to run a call on the engine.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRequest {
    /// The call to admit.
    pub id: CallId,
    /// The prompt's parts in order: hash and number of tokens.
    pub parts: Vec<(u64, u32)>,
    /// Limit on the time to first token; a call expected to take longer is
    /// refused.
    pub ttft_limit: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Longest gap between events that the call's stream allows; set for calls
    /// that are dominated by decode.
    pub max_gap: Option<Duration>,
    /// Calls that the engine runs concurrently.
    pub slots: u32,
    /// Priority inside the engine; 0 is the most urgent.
    pub rank: u8,
    /// Whether the prompt's shared parts are normally cached on this engine.
    pub is_home: bool,
    /// Whether the call must be admitted because its entry has found no better
    /// engine.
    pub forced: bool,
    /// Tokens at the prompt's start that can be fetched from another engine.
    pub fetchable: u32,
    /// Time to fetch a token as declared by the operators.
    pub copy_time: Option<Duration>,
    /// Hash of the name of the call's workspace, if callers need keys.
    pub workspace: Option<u64>,
    /// Expected number of output tokens; 0 if unknown.
    pub output_tokens: u32,
}

impl GrantRequest {
    /// Total tokens of the prompt.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        let tokens = self.parts.iter().map(|(_, tokens)| *tokens);
        tokens.fold(0, u32::saturating_add)
    }
}

/// The decision about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantDecision {
    /// The call may be sent now.
    Granted,
    /// The call is queued; its expected time to first token.
    Queued(Duration),
    /// The call is refused; the time that its first token would take.
    Refused(Duration),
}

/// An engine's report about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Calls inside the engine.
    pub running_calls: u32,
    /// Calls whose prompts are not fully read.
    pub unread_calls: u32,
    /// KV cache tokens held by running calls.
    pub used_tokens: u64,
    /// Size of the KV cache in tokens.
    pub total_tokens: u64,
    /// Start of this incarnation in Unix milliseconds, if reported.
    pub started_at: Option<u64>,
}

/// Estimates about an engine, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEstimates {
    /// Prefill time per token in nanoseconds.
    pub pace_ns: u64,
    /// Fixed part of the time to first token, in microseconds.
    pub base_us: u64,
    /// Fetch time per token in nanoseconds.
    pub fetch_ns: u64,
    /// Unread prompt tokens up to which calls are admitted.
    pub window: u64,
    /// Percentage of a stream's maximum gap that prefill may take; 0 when no
    /// stream runs.
    pub gap_percent: u64,
}
