//! Splits a stream of server-sent events and reads their ids.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes from a line's LF to the end of the blank line after it.
const MAX_EVENT_END: usize = 3;

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of bytes into complete events.
///
/// A server may stop in the middle of an event. If a caller got the first half, the event
/// with which another server resumes would be appended to it. Returning complete events
/// only prevents that.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of the buffer that were already searched.
    searched: usize,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(MAX_EVENT_END - 1);
        let Some(end) = event_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Number of bytes after the last complete event.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_pending(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// The end of the first blank line; a line ends with LF or CRLF.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let ends = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    let mut blanks = ends.filter_map(|(at, _)| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    });
    blanks.next()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|b| *b == b'\n')
        .find(|l| l.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
