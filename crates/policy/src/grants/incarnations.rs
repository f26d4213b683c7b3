//! Which life of the engine a sidecar stands beside.
//!
//! Load pattern: all engines lose power and come back under new names, while
//! the store goes on listing the old ones for seconds. Entries ask for either,
//! and only the engine itself knows which one it is: it refuses a call that is
//! meant for another life. The first such refusal is told to the sidecar, which
//! spares all other entries theirs.

use std::collections::VecDeque;

/// Names that are remembered as gone. An engine's host sees a few restarts an
/// hour at most.
const MAX_GONE: usize = 32;

/// What a name that is asked for stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationStatus {
    /// The life that is known.
    Current,
    /// One that was not known: it has read nothing, and runs nothing.
    New,
    /// The life that is known, which takes no new calls.
    Leaving,
    /// One that is gone.
    Gone,
}

/// The lives of one engine.
#[derive(Debug, Default)]
pub struct Incarnations {
    /// The name of the life that is known; none before any was asked for.
    current: Option<String>,
    /// When that life began, as far as those say who ask.
    started_at: Option<u64>,
    /// Whether that life has said that it leaves.
    leaving: bool,
    /// Names that the engine has refused, with when those lives had begun, if
    /// they say so.
    gone: VecDeque<(String, Option<u64>)>,
}

impl Incarnations {
    /// Notes that an entry means the life `name`, which began at `born`.
    pub fn resolve(&mut self, name: &str, started_at: Option<u64>) -> IncarnationStatus {
        // A life that began later under the same name is another one.
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

    /// The name of the life that is known.
    #[must_use]
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Notes that life `name` says that it leaves; returns whether that is news of
    /// the life that is known.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        self.is_current(name) && !std::mem::replace(&mut self.leaving, true)
    }

    /// Notes that the engine has refused a call as meant for another life;
    /// returns whether that life was the one known.
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

    /// Whether `name` is the life that is known.
    #[must_use]
    pub fn is_current(&self, name: &str) -> bool {
        self.current.as_deref() == Some(name)
    }
}
