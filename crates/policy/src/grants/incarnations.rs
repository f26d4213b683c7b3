//! Which incarnation of the engine is current.
//!
//! Load pattern: all engines lose power and come back under new names, while
//! the store lists the old ones for some seconds. Entries send requests for
//! either, and only the engine knows its own incarnation: it refuses calls
//! meant for another one. The first such refusal is reported to the sidecar,
//! which then refuses the requests of all other entries itself.

use std::collections::VecDeque;

/// Number of ended incarnations kept. An engine's host sees a few restarts per
/// hour at most.
const MAX_GONE: usize = 32;

/// The state of an incarnation that an entry asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The current incarnation.
    Current,
    /// A new one: its cache is empty and it runs nothing.
    New,
    /// The current incarnation, which is shutting down and takes no new calls.
    Leaving,
    /// One that has ended.
    Gone,
}

/// The incarnations of one engine.
#[derive(Debug, Default)]
pub struct Incarnations {
    /// Name of the current incarnation; none before the first request.
    current: Option<String>,
    /// Latest start time that requests gave for it.
    started_at: Option<u64>,
    /// Whether it has announced its shutdown.
    leaving: bool,
    /// Names that the engine has refused, with their start times if known.
    gone: VecDeque<(String, Option<u64>)>,
}

impl Incarnations {
    /// Handles a request for the incarnation `name` that started at
    /// `started_at`.
    pub fn resolve(&mut self, name: &str, started_at: Option<u64>) -> IncarnationStatus {
        // A later start under the same name is another incarnation.
        let gone = |(n, b): &(String, Option<u64>)| n == name && started_at <= *b;
        if self.gone.iter().any(gone) {
            return IncarnationStatus::Gone;
        }
        let known = self.current.as_deref() == Some(name);
        if !known || started_at > self.started_at {
            self.started_at = started_at;
            self.leaving = false;
        }
        if known {
            return match self.leaving {
                true => IncarnationStatus::Leaving,
                false => IncarnationStatus::Current,
            };
        }
        self.current = Some(name.to_owned());
        IncarnationStatus::New
    }

    /// Name of the current incarnation.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Notes that incarnation `name` is shutting down; returns whether it is
    /// the current one and was not known to leave.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        self.is_current(name) && !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that the engine has refused a call meant for incarnation `name`;
    /// returns whether that one was the current.
    pub fn mark_refused(&mut self, name: &str, started_at: Option<u64>) -> bool {
        if self.gone.len() == MAX_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back((name.to_owned(), started_at));
        let known = self.current.as_deref() == Some(name);
        if known {
            self.current = None;
        }
        known
    }

    /// Whether `name` is the current incarnation.
    #[must_use]
    pub fn is_current(&self, name: &str) -> bool {
        self.current.as_deref() == Some(name)
    }
}
