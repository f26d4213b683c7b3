//! Where the events of a stream end, and their numbers.

use bytes::{Bytes, BytesMut};

/// Most bytes from a line's end to the end of the blank line after it.
const BLANK_MOST: usize = 3;

/// The field that holds an event's number.
const NUMBER: &[u8] = b"id:";

/// Cuts a stream of bytes into whole events.
///
/// A server may stop in the middle of an event. A caller that got the first
/// half would see it joined to the event with which another server goes on;
/// handing out whole events only is enough to prevent that.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that were searched already.
    searched: usize,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(BLANK_MOST - 1);
        let Some(end) = blank(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(from + end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes that no event has ended yet.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes that no event has ended.
    pub fn take_pending(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Where the first blank line ends; lines end with or without a carriage
/// return.
fn blank(bytes: &[u8]) -> Option<usize> {
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
        .find(|l| l.starts_with(NUMBER))?;
    let text = std::str::from_utf8(&line[NUMBER.len()..]).ok()?;
    text.trim().parse().ok()
}
