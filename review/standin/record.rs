//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        let start = Instant::now();
        Ok(Self { start, file })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record is poisoned");
        let _ = writeln!(file, "{:>3}.{:03} {text}", ms / 1000, ms % 1000);
    }
}
