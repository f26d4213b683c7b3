//! Content: whole, as a change of what is in force, or in parts.

use std::collections::BTreeMap;

use super::Acceptor;
use crate::content::{Content, Entries, Patch};
use crate::hash::Hash;
use crate::record::{Payload, content_operators, operators_hash};
use crate::verdict::{RecordError, Verdict};

/// How many unfinished sets of parts are kept.
const MAX_PART_SETS: usize = 4;

/// Most parts in a set, which bounds what one set can take of the memory.
const MAX_PARTS: u32 = 128;

impl Acceptor {
    /// Keeps a part for the record that needs it.
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
        // Sets whose last record never came must not pile up.
        if self.parts.len() == MAX_PART_SETS {
            self.parts.pop_front();
        }
        let set = BTreeMap::from([(index, entries)]);
        self.parts.push_back((digest, set));
        Verdict::PartBuffered
    }

    /// Takes over content if it has the signed digest, else leaves all as it
    /// was.
    pub(super) fn set_content(
        &mut self,
        digest: Hash,
        operators: &Hash,
        payload: Payload,
    ) -> Result<(), RecordError> {
        let fits = |content: &Content| {
            content.digest() == digest && operators_hash(&content_operators(content)) == *operators
        };
        let content = match payload {
            Payload::Delta(patch) => {
                let undo = self.content.apply(&patch);
                if fits(&self.content) {
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
        if !fits(&content) {
            return Err(RecordError::BadContent);
        }
        self.content = content;
        self.changed = None;
        Ok(())
    }

    /// Remembers which entries a patch changed.
    fn mark_changed(&mut self, patch: &Patch) {
        let Some(touched) = &mut self.changed else {
            return;
        };
        for (section, named) in patch {
            let entries = named.keys().map(|name| (section.clone(), name.clone()));
            touched.extend(entries);
        }
    }

    /// Joins the parts of larger content, if all are there.
    fn join_parts(&mut self, digest: Hash, count: u32) -> Option<Content> {
        let at = self.parts.iter().position(|(d, _)| *d == digest)?;
        let (_, set) = &self.parts[at];
        let last = set.keys().next_back().copied();
        if set.len() != count as usize || last != count.checked_sub(1) {
            return None;
        }
        let (_, set) = self.parts.remove(at)?;

        let mut whole = Entries::new();
        for entries in set.into_values() {
            for (section, named) in entries {
                whole.entry(section).or_default().extend(named);
            }
        }
        Some(Content::new(&whole))
    }
}
