//! A non-blocking log writer with a bounded buffer.
//!
//! When the reader of standard output stops reading, a blocking write would
//! stop the daemon at its next log line, and every call with it. Instead,
//! lines go into a buffer that a separate thread writes out. Lines that do not
//! fit are dropped and counted, and the count is logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Capacity of the buffer in bytes. With [`FLUSH_INTERVAL`] it limits a daemon
/// to 256 kB/s of logs: about 1,500 lines, ten for each call on a busy entry.
const BUFFER_LIMIT: usize = 64 << 10;

/// How long lines are batched before they are written. Each write costs a
/// system call and a thread wake-up, which is more than the lines cost.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Largest write to a pipe that is atomic (`PIPE_BUF`), in bytes.
const ATOMIC_WRITE: usize = 4096;

/// A handle to the buffer, for use as the target of a log sink.
#[derive(Debug, Clone)]
pub struct BoundedWriter(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    wake: Condvar,
    /// Ends the wait for more lines.
    flush: Condvar,
}

#[derive(Debug, Default)]
struct State {
    buffer: Vec<u8>,
    /// Lines dropped since the last write because they did not fit.
    dropped: u64,
    /// Whether lines were taken from the buffer that are not written yet.
    writing: bool,
    /// Whether lines are written without waiting for more.
    flushing: bool,
}

impl BoundedWriter {
    /// Starts the thread that writes buffered lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let worker = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || worker.run(out))?;
        Ok(Self(shared))
    }

    /// Number of dropped lines that are not yet reported in the log.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.0.lock().dropped
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock();
        match state.buffer.len() + line.len() > BUFFER_LIMIT {
            true => state.dropped += 1,
            false => state.buffer.extend_from_slice(line),
        }
        drop(state);
        self.0.wake.notify_all();
        Ok(line.len())
    }

    /// Waits until all lines are written; called before the process ends, which it must not
    /// delay past the grace period.
    fn flush(&mut self) -> io::Result<()> {
        let mut state = self.0.lock();
        state.flushing = true;
        self.0.flush.notify_all();
        let busy = |s: &mut State| s.writing || !s.buffer.is_empty();
        // Bounded, so that a stalled reader does not keep the process from ending.
        let waited = self
            .0
            .wake
            .wait_timeout_while(state, FLUSH_INTERVAL * 4, busy);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The buffer holds only complete lines, even if a thread panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut out: impl Write) {
        loop {
            let idle = |s: &mut State| s.buffer.is_empty() && s.dropped == 0;
            let state = self.wake.wait_while(self.lock(), idle);
            let state = state.unwrap_or_else(PoisonError::into_inner);
            let waiting = |s: &mut State| !s.flushing;
            let waited = self
                .flush
                .wait_timeout_while(state, FLUSH_INTERVAL, waiting);

            let (lines, dropped) = {
                let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
                (state.writing, state.flushing) = (true, false);
                let lines = std::mem::take(&mut state.buffer);
                (lines, std::mem::take(&mut state.dropped))
            };
            // A failure to write logs cannot be reported anywhere.
            let _ = write_lines(&mut out, &lines);
            if dropped > 0 {
                let _ = write_lines(&mut out, dropped_event(dropped).as_bytes());
            }
            self.lock().writing = false;
            self.wake.notify_all();
        }
    }
}

/// Writes complete lines in writes that are atomic on a pipe. Several daemons
/// may share one pipe, where longer writes would be interleaved.
fn write_lines(out: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let limit = lines.len().min(ATOMIC_WRITE);
        let end = lines[..limit].iter().rposition(|b| *b == b'\n');
        let (batch, rest) = lines.split_at(end.map_or(limit, |at| at + 1));
        out.write_all(batch)?;
        out.flush()?;
        lines = rest;
    }
    Ok(())
}

fn dropped_event(dropped: u64) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = ms.map_or(0, |d| d.as_millis());
    format!("time={ms} level=warn event=\"log lines left out\" count={dropped}\n")
}
