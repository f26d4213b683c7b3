//! An answer in the making, kept until its entry has it.

use std::collections::VecDeque;
use std::time::Instant;

use wire::{Chunk, ResponseEnd};

/// Bytes handed out by one pull. A pull that is repeated gets the same pieces
/// again, so this bounds what each repetition costs.
const BATCH: usize = 1 << 20;

/// An answer in the making.
#[derive(Default)]
pub(super) struct Answer {
    /// The number of the first piece that is still kept.
    first: u32,
    /// The pieces that are kept.
    pieces: VecDeque<Chunk>,
    /// Their size.
    bytes: usize,
    /// How the answer ended, and when.
    pub(super) end: Option<(ResponseEnd, Instant)>,
    /// Whether any piece was handed out.
    pub(super) delivered: bool,
    /// Whether the end was handed out, or nobody waits for it.
    pub(super) told: bool,
}

impl Answer {
    /// Adds a piece.
    pub(super) fn push(&mut self, piece: Chunk) {
        self.bytes += piece.data.len();
        self.pieces.push_back(piece);
    }

    /// Bytes kept.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Pieces made so far.
    pub(super) fn made(&self) -> u32 {
        self.first + u32::try_from(self.pieces.len()).unwrap_or(u32::MAX)
    }

    /// Whether more than one piece is kept.
    pub(super) fn several(&self) -> bool {
        self.pieces.len() > 1
    }

    /// Forgets the pieces before number `from`, which its entry has.
    pub(super) fn acknowledge(&mut self, from: u32) {
        while self.first < from
            && let Some(piece) = self.pieces.pop_front()
        {
            self.bytes -= piece.data.len();
            self.first += 1;
        }
    }

    /// Hands out the kept pieces, as many as fit into one batch, and the end
    /// if it follows them.
    pub(super) fn batch(&mut self) -> (u32, Vec<Chunk>, Option<ResponseEnd>) {
        let mut size = 0;
        let fits = |piece: &&Chunk| {
            let first = size == 0;
            size += piece.data.len().max(1);
            first || size <= BATCH
        };
        let pieces: Vec<Chunk> = self.pieces.iter().take_while(fits).cloned().collect();
        self.delivered |= !pieces.is_empty();

        let all = pieces.len() == self.pieces.len();
        let end = self.end.as_ref().filter(|_| all);
        let end = end.map(|(end, _)| end.clone());
        self.told |= end.is_some();
        (self.first, pieces, end)
    }

    /// Forgets every piece of an answer of which nothing was handed out.
    pub(super) fn clear(&mut self) {
        self.pieces.clear();
        self.bytes = 0;
    }
}
