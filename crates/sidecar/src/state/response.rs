//! An answer in the making, kept until its entry has it.

use std::collections::VecDeque;
use std::time::Instant;

use wire::{Chunk, ResponseEnd};

/// Bytes handed out by one pull. A pull that is repeated gets the same pieces
/// again, so this bounds what each repetition costs.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// An answer in the making.
#[derive(Default)]
pub(super) struct ResponseBuffer {
    /// The number of the first piece that is still kept.
    first_kept: u32,
    /// The pieces that are kept.
    chunks: VecDeque<Chunk>,
    /// Their size.
    retained_bytes: usize,
    /// How the answer ended, and when.
    pub(super) end: Option<(ResponseEnd, Instant)>,
    /// Whether any piece was handed out.
    pub(super) delivered: bool,
    /// Whether the end was handed out, or nobody waits for it.
    pub(super) end_delivered: bool,
}

impl ResponseBuffer {
    /// Adds a piece.
    pub(super) fn push_chunk(&mut self, piece: Chunk) {
        self.retained_bytes += piece.data.len();
        self.chunks.push_back(piece);
    }

    /// Bytes kept.
    pub(super) fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    /// Pieces made so far.
    pub(super) fn chunk_count(&self) -> u32 {
        self.first_kept + u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Whether more than one piece is kept.
    pub(super) fn has_multiple(&self) -> bool {
        self.chunks.len() > 1
    }

    /// Forgets the pieces before number `from`, which its entry has.
    pub(super) fn acknowledge(&mut self, from: u32) {
        while self.first_kept < from
            && let Some(piece) = self.chunks.pop_front()
        {
            self.retained_bytes -= piece.data.len();
            self.first_kept += 1;
        }
    }

    /// Hands out the kept pieces, as many as fit into one batch, and the end
    /// if it follows them.
    pub(super) fn batch(&mut self) -> (u32, Vec<Chunk>, Option<ResponseEnd>) {
        let mut size = 0;
        let fits = |piece: &&Chunk| {
            let first = size == 0;
            size += piece.data.len().max(1);
            first || size <= MAX_BATCH_BYTES
        };
        let pieces: Vec<Chunk> = self.chunks.iter().take_while(fits).cloned().collect();
        self.delivered |= !pieces.is_empty();

        let all = pieces.len() == self.chunks.len();
        let end = self.end.as_ref().filter(|_| all);
        let end = end.map(|(end, _)| end.clone());
        self.end_delivered |= end.is_some();
        (self.first_kept, pieces, end)
    }

    /// Forgets every piece of an answer of which nothing was handed out.
    pub(super) fn clear(&mut self) {
        self.chunks.clear();
        self.retained_bytes = 0;
    }
}
