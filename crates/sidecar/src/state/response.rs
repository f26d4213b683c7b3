//! The buffered response of a request, kept until its entry has received it.

use std::collections::VecDeque;
use std::time::Instant;

use wire::{Chunk, ResponseEnd};

/// Upper bound on the bytes that one pull returns, unless its first chunk is
/// larger. A repeated pull returns the same chunks again, so this also bounds
/// the cost of each repetition.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// The chunks of a response that are not acknowledged yet, and its end.
#[derive(Default)]
pub(super) struct ResponseBuffer {
    /// The number of the first buffered chunk.
    first_kept: u32,
    /// The buffered chunks.
    chunks: VecDeque<Chunk>,
    /// The size of the buffered chunks, in bytes.
    retained_bytes: usize,
    /// How the response ended, and when.
    pub(super) end: Option<(ResponseEnd, Instant)>,
    /// Whether any chunk was delivered.
    pub(super) delivered: bool,
    /// Whether the end was delivered, or nobody waits for it.
    pub(super) end_delivered: bool,
}

impl ResponseBuffer {
    /// Appends a chunk.
    pub(super) fn push_chunk(&mut self, chunk: Chunk) {
        self.retained_bytes += chunk.data.len();
        self.chunks.push_back(chunk);
    }

    /// The size of the buffered chunks, in bytes.
    pub(super) fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// The number of chunks received from the backend server so far.
    pub(super) fn chunk_count(&self) -> u32 {
        self.first_kept + u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Whether more than one chunk is buffered.
    pub(super) fn has_multiple(&self) -> bool {
        self.chunks.len() > 1
    }

    /// Drops the chunks before number `from`, which the entry has received.
    pub(super) fn acknowledge(&mut self, from: u32) {
        while self.first_kept < from
            && let Some(chunk) = self.chunks.pop_front()
        {
            self.retained_bytes -= chunk.data.len();
            self.first_kept += 1;
        }
    }

    /// Returns the number of the first buffered chunk, as many chunks as fit
    /// into one batch, and the end if no chunk is left out.
    pub(super) fn batch(&mut self) -> (u32, Vec<Chunk>, Option<ResponseEnd>) {
        let mut size = 0;
        let fits = |chunk: &&Chunk| {
            let first = size == 0;
            size += chunk.data.len().max(1);
            first || size <= MAX_BATCH_BYTES
        };
        let chunks: Vec<Chunk> = self.chunks.iter().take_while(fits).cloned().collect();
        self.delivered |= !chunks.is_empty();

        let all = chunks.len() == self.chunks.len();
        let end = self.end.as_ref().filter(|_| all);
        let end = end.map(|(end, _)| end.clone());
        self.end_delivered |= end.is_some();
        (self.first_kept, chunks, end)
    }

    /// Drops all chunks of a response of which no chunk was delivered.
    pub(super) fn clear(&mut self) {
        self.chunks.clear();
        self.retained_bytes = 0;
    }
}
