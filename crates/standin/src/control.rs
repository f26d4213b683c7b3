//! Faults of a stand-in that can be changed while it runs.

use std::sync::{Arc, Mutex, PoisonError};

/// Shared, thread-safe handle to the faults of a stand-in. Clones refer to the
/// same faults.
#[derive(Debug, Default)]
pub struct FaultControl<T> {
    faults: Arc<Mutex<T>>,
}

impl<T> Clone for FaultControl<T> {
    fn clone(&self) -> Self {
        Self {
            faults: Arc::clone(&self.faults),
        }
    }
}

impl<T: Clone> FaultControl<T> {
    /// Creates a handle with the given initial faults.
    #[must_use]
    pub fn new(faults: T) -> Self {
        Self {
            faults: Arc::new(Mutex::new(faults)),
        }
    }

    /// Returns a copy of the current faults.
    #[must_use]
    pub fn get(&self) -> T {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Updates the faults in place.
    pub fn change(&self, change: impl FnOnce(&mut T)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
