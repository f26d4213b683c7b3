//! A bundle prepared for looking things up on every request.

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
/// thousands of workspaces, and every request names its own by a token; going
/// through them all would cost each request milliseconds.
#[derive(Debug, Clone, Default)]
pub struct IndexedBundle {
    /// The bundle.
    bundle: Bundle,
    /// Workspace names by the SHA-256 of a token.
    tokens: HashMap<Hash, Arc<str>>,
    /// Whether two workspaces have the same token; `check` refuses that.
    duplicate_tokens: bool,
}

impl IndexedBundle {
    /// Prepares a bundle.
    #[must_use]
    pub fn new(bundle: Bundle) -> Self {
        let mut lookup = Self {
            bundle,
            ..Self::default()
        };
        lookup.index_all();
        lookup
    }

    /// Follows a change of the `touched` entries, as section and name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] when this build cannot make sense of one;
    /// nothing has changed then.
    pub fn update(&mut self, content: &Content, touched: &ChangedEntries) -> Result<(), Error> {
        let read = touched.iter().map(|(section, name)| {
            let entry = Entry::parse(content, section, name)?;
            Ok((section, name, entry))
        });
        let entries: Vec<_> = read.collect::<Result<_, Error>>()?;
        for (section, name, entry) in entries {
            if section == "workspaces" {
                self.unindex(name);
            }
            if let Entry::Workspace(workspace) = &entry {
                self.index(name, workspace);
            }
            self.bundle.set(section, name, entry);
        }
        // The index knows one owner of a token; if it goes, the other one
        // stays, which only a look at all of them tells.
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

    /// Adds a workspace's tokens to the index. One that is no hash stands for
    /// no token.
    fn index(&mut self, name: &str, workspace: &Workspace) {
        let name: Arc<str> = name.into();
        for token in workspace.tokens.iter().filter_map(|t| t.parse().ok()) {
            let before = self.tokens.insert(token, Arc::clone(&name));
            self.duplicate_tokens |= before.is_some_and(|owner| owner != name);
        }
    }

    /// Takes a workspace's tokens out of the index, but for those that went
    /// over to another workspace.
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

    /// The workspace that a bearer token stands for.
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

/// The form in which a token stands in a bundle: hex SHA-256.
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
