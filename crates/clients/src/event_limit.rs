//! Bounds the bytes of one server-sent event, which its parser keeps until the event ends.

use bytes::Bytes;
use futures_util::{Stream, StreamExt, future};

/// Passes on `chunks` until one event has more than `limit` bytes, which ends the stream with
/// an error. An event ends with an empty line.
pub(crate) fn limit_events<E: ToString>(
    chunks: impl Stream<Item = Result<Bytes, E>>,
    limit: usize,
) -> impl Stream<Item = Result<Bytes, String>> {
    let mut event = EventLength::default();
    let checked = chunks.map(move |chunk| {
        let chunk = chunk.map_err(|e| e.to_string())?;
        match event.add(&chunk) > limit {
            true => Err(format!("event exceeds {limit} bytes")),
            false => Ok(chunk),
        }
    });
    checked.scan(false, |failed, chunk| {
        let ended = std::mem::replace(failed, chunk.is_err());
        future::ready((!ended).then_some(chunk))
    })
}

/// The length of the event that is being received.
#[derive(Debug, Default)]
struct EventLength {
    bytes: usize,
    /// Whether the current line has a character.
    in_line: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
}

impl EventLength {
    /// Adds a chunk; returns the largest length that an event has reached in it.
    fn add(&mut self, chunk: &[u8]) -> usize {
        let mut largest = self.bytes;
        for byte in chunk {
            self.bytes += 1;
            largest = largest.max(self.bytes);
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\r' | b'\n' if !std::mem::take(&mut self.in_line) => self.bytes = 0,
                b'\r' | b'\n' => {}
                _ => self.in_line = true,
            }
        }
        largest
    }
}
