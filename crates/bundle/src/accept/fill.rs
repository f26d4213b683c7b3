//! Loads the content of a version: in full, as a delta to the active content,
//! or from parts.

use std::collections::BTreeMap;

use super::Acceptor;
use crate::content::{Content, Entries, Patch};
use crate::hash::Hash;
use crate::record::{Payload, content_operators, operators_hash};
use crate::verdict::{RecordError, Verdict};

/// Maximum number of incomplete sets of parts.
const MAX_PART_SETS: usize = 4;

/// Maximum number of parts in a set, which bounds its memory.
const MAX_PARTS: u32 = 128;

impl Acceptor {
    /// Buffers a part for the record that refers to it.
    pub(super) fn buffer_part(&mut self, digest: Hash, index: u32, entries: Entries) -> Verdict {
        if index >= MAX_PARTS {
            return Verdict::Refused(RecordError::BadContent);
        }
        if digest == self.content.digest() {
            return Verdict::PartBuffered;
        }
        if let Some((_, set)) = self.parts.iter_mut().find(|(d, _)| *d == digest) {
            set.insert(index, entries);
            return Verdict::PartBuffered;
        }
        // Sets that are never completed must not accumulate.
        if self.parts.len() == MAX_PART_SETS {
            self.parts.pop_front();
        }
        let set = BTreeMap::from([(index, entries)]);
        self.parts.push_back((digest, set));
        Verdict::PartBuffered
    }

    /// Replaces the content if the new content has the signed digest, else
    /// leaves it unchanged.
    pub(super) fn set_content(
        &mut self,
        digest: Hash,
        operators: &Hash,
        payload: Payload,
    ) -> Result<(), RecordError> {
        let matches_digest = |content: &Content| {
            content.digest() == digest && operators_hash(&content_operators(content)) == *operators
        };
        let content = match payload {
            Payload::Delta(patch) => {
                let undo = self.content.apply(&patch);
                if matches_digest(&self.content) {
                    self.mark_changed(&patch);
                    return Ok(());
                }
                self.content.apply(&undo);
                return Err(RecordError::BadContent);
            }
            Payload::Parts(_) if self.content.digest() == digest => return Ok(()),
            Payload::Parts(count) => self
                .join_parts(digest, count)
                .ok_or(RecordError::BadContent)?,
            Payload::Full(entries) => Content::new(&entries),
        };
        if !matches_digest(&content) {
            return Err(RecordError::BadContent);
        }
        self.content = content;
        self.changed = None;
        Ok(())
    }

    /// Adds the entries of a patch to the changed entries.
    fn mark_changed(&mut self, patch: &Patch) {
        let Some(changed) = &mut self.changed else {
            return;
        };
        for (section, named) in patch {
            let entries = named.keys().map(|name| (section.clone(), name.clone()));
            changed.extend(entries);
        }
    }

    /// Assembles content from its parts; `None` if one is missing.
    fn join_parts(&mut self, digest: Hash, count: u32) -> Option<Content> {
        let at = self.parts.iter().position(|(d, _)| *d == digest)?;
        let (_, set) = &self.parts[at];
        let last = set.keys().next_back().copied();
        if set.len() != count as usize || last != count.checked_sub(1) {
            return None;
        }
        let (_, set) = self.parts.remove(at)?;

        let mut joined = Entries::new();
        for entries in set.into_values() {
            for (section, named) in entries {
                joined.entry(section).or_default().extend(named);
            }
        }
        Some(Content::new(&joined))
    }
}
