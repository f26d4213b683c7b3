//! A bundle with an index for the token lookup of every request.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::ops::Deref;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::accept::ChangedEntries;
use crate::content::{Content, Error};
use crate::entry::Entry;
use crate::hash::Hash;
use crate::model::{Bundle, Workspace};

/// A bundle with an index of its bearer tokens. A bundle may have tens of
/// thousands of workspaces and every request is identified by a token; a
/// linear search would take milliseconds per request.
#[derive(Debug, Clone, Default)]
pub struct IndexedBundle {
    /// The bundle.
    bundle: Bundle,
    /// Workspace name by SHA-256 of the token.
    tokens: HashMap<Hash, Arc<str>>,
    /// Whether two workspaces share a token, which `check` rejects.
    duplicate_tokens: bool,
}

impl IndexedBundle {
    /// Indexes a bundle.
    #[must_use]
    pub fn new(bundle: Bundle) -> Self {
        let mut lookup = Self {
            bundle,
            ..Self::default()
        };
        lookup.index_all();
        lookup
    }

    /// Updates the `changed` entries from `content`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if this build cannot parse an entry; the
    /// bundle is then unchanged.
    pub fn update(&mut self, content: &Content, changed: &ChangedEntries) -> Result<(), Error> {
        let parsed = changed.iter().map(|(section, name)| {
            let entry = Entry::parse(content, section, name)?;
            Ok((section, name, entry))
        });
        let entries: Vec<_> = parsed.collect::<Result<_, Error>>()?;
        for (section, name, entry) in entries {
            if section == "workspaces" {
                self.unindex(name);
            }
            if let Entry::Workspace(workspace) = &entry {
                self.index(name, workspace);
            }
            self.bundle.set(section, name, entry);
        }
        // The index holds one owner per token. When that owner is removed, the
        // other one is only found by indexing all workspaces again.
        if self.duplicate_tokens {
            self.index_all();
        }
        Ok(())
    }

    fn index_all(&mut self) {
        self.tokens.clear();
        self.duplicate_tokens = false;
        for (name, workspace) in self.bundle.workspaces.clone() {
            self.index(&name, &workspace);
        }
    }

    /// Adds a workspace's tokens to the index. Invalid hashes are skipped.
    fn index(&mut self, name: &str, workspace: &Workspace) {
        let name: Arc<str> = name.into();
        for token in workspace.tokens.iter().filter_map(|t| t.parse().ok()) {
            let previous = self.tokens.insert(token, Arc::clone(&name));
            self.duplicate_tokens |= previous.is_some_and(|owner| owner != name);
        }
    }

    /// Removes a workspace's tokens from the index, except those that now
    /// belong to another workspace.
    fn unindex(&mut self, name: &str) {
        let Some(workspace) = self.bundle.workspaces.get(name) else {
            return;
        };
        for token in workspace.tokens.iter().filter_map(|t| t.parse().ok()) {
            if self
                .tokens
                .get(&token)
                .is_some_and(|owner| **owner == *name)
            {
                self.tokens.remove(&token);
            }
        }
    }

    /// Name of the workspace that a bearer token belongs to.
    #[must_use]
    pub fn token_workspace(&self, token: &str) -> Option<&str> {
        let hash = Hash(Sha256::digest(token.as_bytes()).into());
        self.tokens.get(&hash).map(|name| &**name)
    }
}

impl Deref for IndexedBundle {
    type Target = Bundle;

    fn deref(&self) -> &Bundle {
        &self.bundle
    }
}

/// The hex SHA-256 under which a bundle lists a token.
#[must_use]
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest
        .iter()
        .fold(String::with_capacity(64), |mut out, byte| {
            // Writing to memory cannot fail.
            let _ = write!(out, "{byte:02x}");
            out
        })
}
