//! What entries ask of a sidecar, what it answers, and what its engine says.

use std::time::Duration;

/// A call, as its entry names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// The life of the entry.
    pub incarnation: u64,
    /// Its number in that life.
    pub number: u32,
}

/// What an entry asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantRequest {
    /// The call.
    pub id: CallId,
    /// The parts of its prompt in order, with their tokens.
    pub parts: Vec<(u64, u32)>,
    /// How long its first event may take; beyond, it is refused.
    pub ttft_limit: Duration,
    /// How long its caller waits.
    pub time_left: Duration,
    /// The longest pause that its own stream bears, if it is one whose time
    /// goes into writing.
    pub max_gap: Option<Duration>,
    /// Calls that the engine runs at once.
    pub slots: u32,
    /// Its rank inside the engine; 0 is the most urgent.
    pub rank: u8,
    /// Whether the engine is the home of the prompt's shared parts.
    pub is_home: bool,
    /// Whether it must be let in: its entry has found no better engine.
    pub forced: bool,
    /// Tokens from the start of its prompt that another engine holds, from
    /// which they can be fetched.
    pub fetchable: u32,
    /// Time to fetch a token, as the operators declare it.
    pub copy_time: Option<Duration>,
}

impl GrantRequest {
    /// Tokens of its prompt.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        let tokens = self.parts.iter().map(|(_, tokens)| *tokens);
        tokens.fold(0, u32::saturating_add)
    }
}

/// What is decided about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantDecision {
    /// It may be sent now.
    Granted,
    /// It will be let in; its first event is expected after this time.
    Queued(Duration),
    /// Its first event would take this long.
    Refused(Duration),
}

/// What the engine says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Calls inside the engine.
    pub running_calls: u32,
    /// Calls inside the engine that are not read to their end.
    pub unread_calls: u32,
    /// Tokens of memory that running calls hold.
    pub used_tokens: u64,
    /// Tokens of memory in all.
    pub total_tokens: u64,
    /// Unix millisecond at which this life of the engine began, if it says.
    pub started_at: Option<u64>,
}

/// What an engine is believed to be like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineEstimates {
    /// Nanoseconds for reading a token.
    pub pace_ns: u64,
    /// The fixed part of a first event, in microseconds.
    pub base_us: u64,
    /// Nanoseconds for fetching a token.
    pub fetch_ns: u64,
    /// Tokens that it may have to read at once.
    pub window: u64,
    /// Percentage of a pause that reading may take; 0 when no stream runs.
    pub gap_percent: u64,
}
