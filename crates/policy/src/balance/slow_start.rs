//! Slow start of calls to a server after a backoff.
//!
//! Load pattern: a full server asks for a backoff, and all calls that were held
//! back reach it at the moment the backoff ends. It is full again at once and
//! asks again, so that it is idle nearly all the time while callers are refused.
//! With slow start, an entry that returns sends one call more than it has open
//! at the server, and one more for each answered call. From half of the
//! concurrency that was too high it grows by one per round of answers.

/// The fraction of the concurrency that was too high up to which the window
/// doubles with each round of answers.
const THRESHOLD_RATIO: f64 = 0.5;

/// The concurrency window of one entry at a server that asked for a backoff.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlowStart {
    /// The most concurrent calls; unset until the first call after the backoff.
    window: Option<f64>,
    /// The window size from which growth is linear.
    threshold: f64,
}

impl SlowStart {
    /// The window at a server that rejected a call while `open_calls` of this
    /// entry were open there.
    pub(super) fn new(open_calls: u32) -> Self {
        Self {
            window: None,
            threshold: f64::from(open_calls) * THRESHOLD_RATIO,
        }
    }

    /// Whether the window has room for one more call beside `open_calls`.
    pub(super) fn has_room(&self, open_calls: u32) -> bool {
        self.window
            .is_none_or(|window| f64::from(open_calls) < window)
    }

    /// Records that a call is sent while `open_calls` are open.
    pub(super) fn call_sent(&mut self, open_calls: u32) {
        self.window.get_or_insert(f64::from(open_calls) + 1.0);
    }

    /// Records that a call was answered.
    pub(super) fn call_answered(&mut self) {
        if let Some(window) = &mut self.window {
            *window += if *window < self.threshold {
                1.0
            } else {
                1.0 / *window
            };
        }
    }
}
