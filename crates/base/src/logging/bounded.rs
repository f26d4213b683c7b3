//! Log output that is bounded and never waited for.
//!
//! A reader of standard output that stops reading would otherwise stop the
//! daemon at its next line, and every call with it. Lines wait in a buffer
//! and a thread of its own writes them; lines that do not fit are left out
//! and counted, and the count is logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Most bytes that wait, so that with [`GATHER`] a daemon logs 256 kB a second
/// at the most: about 1,500 lines, ten for each call on a busy entry.
const LIMIT: usize = 64 << 10;

/// How long lines are gathered before they are written together. Each write
/// is a system call and a wake-up, which cost more than the lines.
const GATHER: Duration = Duration::from_millis(250);

/// Bytes that a pipe takes in one piece, by POSIX.
const PIECE: usize = 4096;

/// The writing side, for a log sink.
#[derive(Debug, Clone)]
pub struct BoundedWriter(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    wake: Condvar,
}

#[derive(Debug, Default)]
struct State {
    buffer: Vec<u8>,
    /// Lines that did not fit since the last write.
    left_out: u64,
    /// Whether lines were taken that are not written yet.
    writing: bool,
}

impl BoundedWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error when no thread can be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let own = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || own.run(out))?;
        Ok(Self(shared))
    }

    /// Lines that are left out and not told of yet.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.0.lock().left_out
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.0.lock();
        match state.buffer.len() + line.len() > LIMIT {
            true => state.left_out += 1,
            false => state.buffer.extend_from_slice(line),
        }
        drop(state);
        self.0.wake.notify_all();
        Ok(line.len())
    }

    /// Waits until all lines are written; called when the process ends.
    fn flush(&mut self) -> io::Result<()> {
        let state = self.0.lock();
        let busy = |s: &mut State| s.writing || !s.buffer.is_empty();
        // A reader that never reads must not keep the process from ending.
        let waited = self.0.wake.wait_timeout_while(state, GATHER * 4, busy);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // A line is whole or not there, whatever a panicking thread did.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, mut out: impl Write) {
        loop {
            let idle = |s: &mut State| s.buffer.is_empty() && s.left_out == 0;
            let state = self.wake.wait_while(self.lock(), idle);
            drop(state.unwrap_or_else(PoisonError::into_inner));
            thread::sleep(GATHER);

            let (lines, left_out) = {
                let mut state = self.lock();
                state.writing = true;
                let lines = std::mem::take(&mut state.buffer);
                (lines, std::mem::take(&mut state.left_out))
            };
            // Nobody could be told of a failure to write logs.
            let _ = write(&mut out, &lines);
            if left_out > 0 {
                let _ = write(&mut out, note(left_out).as_bytes());
            }
            self.lock().writing = false;
            self.wake.notify_all();
        }
    }
}

/// Writes whole lines, at most as many at once as a pipe takes in one piece.
/// Several daemons may share one pipe, and longer writes would be torn.
fn write(out: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let most = lines.len().min(PIECE);
        let end = lines[..most].iter().rposition(|b| *b == b'\n');
        let (piece, rest) = lines.split_at(end.map_or(most, |at| at + 1));
        out.write_all(piece)?;
        out.flush()?;
        lines = rest;
    }
    Ok(())
}

fn note(left_out: u64) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = ms.map_or(0, |d| d.as_millis());
    format!("time={ms} level=warn event=\"log lines left out\" count={left_out}\n")
}
