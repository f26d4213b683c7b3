//! Faults of a stand-in, changed while it runs.

use std::sync::{Arc, Mutex, PoisonError};

/// A stand-in's faults as one value that whoever runs it can change at any
/// time; clones share it, on whatever thread they live.
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
    /// Makes a control that starts with the given faults.
    #[must_use]
    pub fn new(faults: T) -> Self {
        Self {
            faults: Arc::new(Mutex::new(faults)),
        }
    }

    /// The faults as they are now.
    #[must_use]
    pub fn get(&self) -> T {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the faults.
    pub fn change(&self, change: impl FnOnce(&mut T)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
