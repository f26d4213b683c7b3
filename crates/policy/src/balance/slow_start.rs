//! How many calls a server gets at once after it has rested.
//!
//! Load pattern: a server that was full asks for rest, and all that has been
//! held back meanwhile comes to it in the moment in which the rest ends. It is
//! full again at once and asks again, so that it stands idle nearly all the
//! time while callers are refused. An entry that comes back sends one call more
//! than it has open there, and one more for each that is answered; from half of
//! what was too much before it goes on slowly.

/// The part of the calls that were too much up to which the window doubles with
/// each round of answers.
const SAFE_SHARE: f64 = 0.5;

/// The calls at once of one entry to a server that has asked for rest.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    /// Calls at once; none before the first call after the rest.
    size: Option<f64>,
    /// Up to how many it grows fast.
    safe: f64,
}

impl Window {
    /// The window of a server that has turned a call away with `open` calls of
    /// this entry there.
    pub(super) fn new(open: u32) -> Self {
        Self {
            size: None,
            safe: f64::from(open) * SAFE_SHARE,
        }
    }

    /// Whether there is room for one more call with `open` there.
    pub(super) fn takes(&self, open: u32) -> bool {
        self.size.is_none_or(|size| f64::from(open) < size)
    }

    /// Notes a call that goes out with `open` there.
    pub(super) fn sent(&mut self, open: u32) {
        self.size.get_or_insert(f64::from(open) + 1.0);
    }

    /// Notes that a call was answered.
    pub(super) fn answered(&mut self) {
        if let Some(size) = &mut self.size {
            *size += if *size < self.safe { 1.0 } else { 1.0 / *size };
        }
    }
}
